"""Events that the caller passes to the policy. Times are whole microseconds."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from http_gateway.policy.endpoint import Endpoint, EndpointId

RequestId = int


class Outcome(Enum):
    """How an attempt or a health check ended."""

    OK = "ok"
    ERROR = "error"  # the endpoint answered with an error response
    REJECTED = "rejected"  # refused without execution: the endpoint has a full queue or is draining
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"  # the connection broke while the attempt was in flight
    CANCELLED = "cancelled"  # the gateway stopped waiting for the response
    NOT_SENT = "not sent"
    UNKNOWN = "unknown"  # any other result; the request was possibly executed

    @property
    def proves_not_executed(self) -> bool:
        """Whether the endpoint is known not to have executed the request."""
        return self in _NOT_EXECUTED


_NOT_EXECUTED = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


class ListUpdateKind(Enum):
    """Which endpoints an `EndpointListUpdate` contains."""

    COMPLETE = "complete"  # every endpoint that exists
    CACHED = "cached"  # every endpoint that the gateway knew before it restarted
    DELTA = "delta"  # only the endpoints that have changed
    FAILED = "failed"  # none: a call to discovery failed, or a watch ended


class EndpointListUpdate(NamedTuple):
    """Discovery has sent an endpoint list, or a call to it has failed."""

    kind: ListUpdateKind
    endpoints: tuple[Endpoint, ...] = ()


class RequestArrived(NamedTuple):
    """A client has sent a request, which must get exactly one final answer."""

    request_id: RequestId
    class_name: str
    timeout_us: int  # how long the client still waits for the final answer; 0 or less if its time is over
    cost_us: int = 0  # expected processor time on a standard core; 0 if unknown
    key: str | None = None  # request key for key affinity; None if it has none
    is_client_retry: bool = False  # marked as a retry by the client; False if clients do not mark retries
    tenant: str = ""


class ResponseStreamStarted(NamedTuple):
    """The gateway has started to stream the response of an attempt to the client.

    That response is the final answer. The policy therefore cancels the other attempts of the request, if
    cancellation is allowed, and never this one.
    """

    request_id: RequestId
    attempt_number: int
    endpoint_id: EndpointId
    latency_us: int


class AttemptEnded(NamedTuple):
    """An attempt has ended; each `StartAttempt` is followed by exactly one of these events."""

    request_id: RequestId
    attempt_number: int
    endpoint_id: EndpointId
    outcome: Outcome
    latency_us: int
    request_completed: bool  # the client has received its final answer
    load_report: dict[str, float] | None = None


class RequestAbandoned(NamedTuple):
    """A request needs no final answer: its client disconnected, or gets the answer in another way."""

    request_id: RequestId


class HealthCheckEnded(NamedTuple):
    """A health check has ended."""

    endpoint_id: EndpointId
    outcome: Outcome
    latency_us: int
    load_report: dict[str, float] | None = None


class TimerFired(NamedTuple):
    """A timer that the policy set with `SetTimer` is due."""

    token: str


Event = (
    EndpointListUpdate
    | RequestArrived
    | ResponseStreamStarted
    | AttemptEnded
    | RequestAbandoned
    | HealthCheckEnded
    | TimerFired
)
