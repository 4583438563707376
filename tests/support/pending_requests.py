"""Pending requests for unit tests of policy modules."""

from __future__ import annotations

from http_gateway.policy.events import RequestArrived
from http_gateway.policy.pending_request import PendingRequest
from http_gateway.policy.settings import RequestClass
from tests.support.policy_driver import DEFAULT_TIMEOUT_US, READ


def pending_request(request_class: RequestClass = READ, cost_us: int = 0) -> PendingRequest:
    """Return a request that arrived at time 0 and has no attempts yet."""
    request = RequestArrived(1, request_class.name, DEFAULT_TIMEOUT_US, cost_us)
    return PendingRequest(request, request_class, 0, DEFAULT_TIMEOUT_US)
