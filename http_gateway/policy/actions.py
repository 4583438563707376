"""Actions that the policy returns and its caller executes. Times are whole microseconds."""

from __future__ import annotations

from typing import NamedTuple

from http_gateway.policy.endpoint import EndpointId
from http_gateway.policy.events import RequestId


class StartAttempt(NamedTuple):
    """Send a request to an endpoint.

    The attempts of a request are numbered from 0, in the order of these actions.
    """

    request_id: RequestId
    endpoint_id: EndpointId
    expires_at_us: int = 0  # time at which the attempt times out; 0: the client's deadline
    # The last byte of a retry has to be written before this time. The same limit then applies to every
    # earlier attempt of the request that is not completely written. 0: no limit.
    last_byte_before_us: int = 0


class CancelAttempt(NamedTuple):
    """Stop waiting for the response to an attempt."""

    request_id: RequestId
    attempt_number: int


class ShedRequest(NamedTuple):
    """Reject a request as its final answer; the client can retry it safely."""

    request_id: RequestId
    retry_after_us: int = 0  # delay before the client should retry; 0: no delay is suggested


class FailRequest(NamedTuple):
    """Report failure as the final answer to a request, which may or may not have been executed."""

    request_id: RequestId


class CheckHealth(NamedTuple):
    """Send a health check to an endpoint."""

    endpoint_id: EndpointId


class SetTimer(NamedTuple):
    """Send a `TimerFired` event with this token to the policy after a delay.

    A timer that belongs to a request has no effect once the request is answered and its attempts have ended.
    """

    delay_us: int
    token: str
    request_id: RequestId | None = None


class WatchEndpointList(NamedTuple):
    """Subscribe to all further changes of the endpoint list at discovery."""


Action = StartAttempt | CancelAttempt | ShedRequest | FailRequest | CheckHealth | SetTimer | WatchEndpointList
