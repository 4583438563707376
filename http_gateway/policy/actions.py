"""Actions that the policy returns for its caller to execute. Times are whole microseconds."""

from __future__ import annotations

from typing import NamedTuple

from http_gateway.policy.endpoint import EndpointId
from http_gateway.policy.events import RequestId


class StartAttempt(NamedTuple):
    """Forward a request to an endpoint; attempts of a request are numbered from 0 in this order."""

    request_id: RequestId
    endpoint_id: EndpointId
    expires_at_us: int = 0  # moment at which to time the attempt out; 0: when the client gives up
    # Moment before which the last byte of a retry has to be written, and that of any earlier attempt of its
    # request that is not fully written yet; 0: no limit.
    last_byte_before_us: int = 0


class CancelAttempt(NamedTuple):
    """Stop waiting for an attempt."""

    request_id: RequestId
    attempt_number: int


class ShedRequest(NamedTuple):
    """Final answer: rejected by the gateway; a retry does no harm."""

    request_id: RequestId
    retry_after_us: int = 0  # 0: no advice


class FailRequest(NamedTuple):
    """Final answer: failed, with no promise whether it was executed."""

    request_id: RequestId


class CheckHealth(NamedTuple):
    """Send a health check to an endpoint."""

    endpoint_id: EndpointId


class SetTimer(NamedTuple):
    """Deliver a `TimerFired` with this token after a delay."""

    delay_us: int
    token: str


class WatchEndpointList(NamedTuple):
    """Request changes of the endpoint list from discovery from now on."""


Action = StartAttempt | CancelAttempt | ShedRequest | FailRequest | CheckHealth | SetTimer | WatchEndpointList
