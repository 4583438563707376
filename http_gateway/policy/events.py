"""Events that the caller feeds to the policy. Times are whole microseconds."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from http_gateway.policy.endpoint import Endpoint, EndpointId

RequestId = int


class Outcome(Enum):
    """How an attempt or a health check ended."""

    OK = "ok"
    ERROR = "error"  # the endpoint answered with an error
    REJECTED = "rejected"  # by the endpoint, unseen: its queue is full, or it is draining
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"  # the connection broke while the attempt was in flight
    CANCELLED = "cancelled"  # by the gateway
    NOT_SENT = "not sent"
    UNKNOWN = "unknown"  # anything else; possibly executed

    @property
    def proves_not_executed(self) -> bool:
        """Whether the endpoint is known to have done nothing."""
        return self in _NOT_EXECUTED


_NOT_EXECUTED = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


class ListUpdateKind(Enum):
    """What an `EndpointListUpdate` contains."""

    COMPLETE = "complete"  # every endpoint there is
    CACHED = "cached"  # every endpoint this gateway knew before it restarted
    DELTA = "delta"  # changed endpoints only
    FAILED = "failed"  # nothing: a call to discovery failed, or a watch ended


class EndpointListUpdate(NamedTuple):
    """Discovery has notified the gateway of endpoints."""

    kind: ListUpdateKind
    endpoints: tuple[Endpoint, ...] = ()


class RequestArrived(NamedTuple):
    """A client has sent a request, which needs exactly one final answer."""

    request_id: RequestId
    class_name: str
    timeout_us: int  # the client waits no longer
    cost_us: int = 0  # expected work, as processor time on a standard core; 0: not known
    key: str | None = None
    is_client_retry: bool = False  # where clients mark their retries
    tenant: str = ""


class ResponseStreamStarted(NamedTuple):
    """The response has begun to flow: from now on this attempt belongs to the client."""

    request_id: RequestId
    attempt_number: int
    endpoint_id: EndpointId
    latency_us: int


class AttemptEnded(NamedTuple):
    """An attempt has ended; every `StartAttempt` gets exactly one."""

    request_id: RequestId
    attempt_number: int
    endpoint_id: EndpointId
    outcome: Outcome
    latency_us: int
    request_completed: bool  # the client has its final answer
    load_report: dict[str, float] | None = None


class RequestAbandoned(NamedTuple):
    """The client has disconnected, or gets its answer elsewhere: none is needed any more."""

    request_id: RequestId


class HealthCheckEnded(NamedTuple):
    """A health check has ended."""

    endpoint_id: EndpointId
    outcome: Outcome
    latency_us: int
    load_report: dict[str, float] | None = None


class TimerFired(NamedTuple):
    """A timer set earlier is due."""

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
