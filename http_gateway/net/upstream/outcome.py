"""Mapping from responses of endpoints to the outcomes that the policy distinguishes."""

from __future__ import annotations

from http import HTTPStatus

from http_gateway.net.http.messages import Message
from http_gateway.policy.events import Outcome

_REJECTION_STATUSES = (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT)


def response_outcome(response: Message) -> Outcome:
    """Return the outcome of an attempt that ended with this response."""
    if response.status == HTTPStatus.OK:
        return Outcome.OK
    if response.status in _REJECTION_STATUSES and response.header(b"x-not-run") == "1":
        return Outcome.REJECTED
    # Without the header x-not-run, even a 503 does not prove that the request was not executed.
    return Outcome.ERROR
