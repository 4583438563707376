"""What clients and endpoints saw in a soak, and the rules of the service on it.

All times are seconds of the monotonic clock of the soak process.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

# Every limit of the rules is this much longer over sockets.
LIMIT_SLACK_S = 0.05
# The settings of the soak allow an answer this much later.
ANSWER_SLACK_S = 0.02
TOLD_DEADLINE_SLACK_S = 0.15
CLIENT_LEFT_SLACK_S = 0.1


class Effect(Enum):
    """What a second execution of a request does; the values are those of the protocol."""

    IDEMPOTENT = "idempotent"
    KEYED = "deduplicated"
    AT_MOST_ONCE = "at_most_once"


class RequestEnd(Enum):
    """How a request ended for its client."""

    ANSWERED = "answered"
    CLOSED = "connection closed without an answer"
    NONE = "no answer"
    LEFT = "client left"
    NOT_TAKEN = "kept connection closed before the request was read, or reset by a failed accept"


@dataclass
class RequestRecord:
    """One request as its client saw it.

    Attributes:
        is_foreign: Whether the response was made for another request.
    """

    id: str
    gateway: str
    effect: Effect
    sent_at_s: float
    timeout_s: float
    end: RequestEnd = RequestEnd.NONE
    ended_at_s: float = 0.0
    status: int = 0
    is_foreign: bool = False


@dataclass
class AttemptRecord:
    """One complete request as an endpoint received it."""

    request_id: str
    endpoint: str
    gateway: str
    received_at_s: float
    told_timeout_s: float
    is_rejected: bool = False


@dataclass
class History:
    """Everything that a soak has recorded.

    Attributes:
        drain_told_at_s: When discovery told a gateway that an endpoint drains, by gateway and endpoint.
        lags: Lateness of the soak's own event loop, as pairs of a time and a lag.
    """

    window_s: float
    drain_grace_s: float
    requests: dict[str, RequestRecord] = field(default_factory=dict)
    attempts: list[AttemptRecord] = field(default_factory=list)
    drain_told_at_s: dict[tuple[str, str], float] = field(default_factory=dict)
    lags: list[tuple[float, float]] = field(default_factory=list)

    def lag_before(self, at_s: float) -> float:
        """Return the largest lag of the soak's own event loop in the half second before a time.

        What the soak recorded at that time may have happened earlier by the lag.
        """
        return max((lag for lag_at_s, lag in self.lags if at_s - 0.5 <= lag_at_s <= at_s + 0.05), default=0.0)

    def broken_rules(self) -> list[str]:
        """Return a sentence for each case in which a rule was broken."""
        return [
            *self._lost_requests(),
            *self._late_attempts(),
            *self._attempts_at_draining_endpoints(),
            *self._repeated_executions(),
        ]

    def _judged_attempts(self) -> list[AttemptRecord]:
        """Return the attempts of sound clients; those of a crowd are not judged."""
        return [attempt for attempt in self.attempts if attempt.request_id in self.requests]

    def _lost_requests(self) -> list[str]:
        broken = []
        for request in self.requests.values():
            if request.end in (RequestEnd.LEFT, RequestEnd.NOT_TAKEN):
                continue
            took_s = request.ended_at_s - request.sent_at_s
            allowed_s = (
                request.timeout_s + LIMIT_SLACK_S + ANSWER_SLACK_S + self.lag_before(request.ended_at_s)
            )
            if request.is_foreign:
                broken.append(f"lost: {request.id} at {request.gateway}: response to another request")
            if request.end is not RequestEnd.ANSWERED:
                broken.append(
                    f"lost: {request.id} at {request.gateway}: {request.end.value} after {took_s:.3f} s"
                )
            elif took_s > allowed_s:
                text = f"answered after {took_s:.3f} s, allowed {allowed_s:.3f}"
                broken.append(f"lost: {request.id} at {request.gateway}: {text}")
        return broken

    def _late_attempts(self) -> list[str]:
        """Attempts that began after their client had left, or that told their endpoint too long a timeout."""
        broken = []
        for attempt in self._judged_attempts():
            request = self.requests[attempt.request_id]
            lag_s = self.lag_before(attempt.received_at_s)
            left_s = request.sent_at_s + request.timeout_s - (attempt.received_at_s - lag_s)
            if attempt.told_timeout_s > left_s + TOLD_DEADLINE_SLACK_S:
                text = f"told {attempt.told_timeout_s:.3f} s with {left_s:.3f} s left"
                broken.append(f"lost: {request.id} at {attempt.endpoint}: {text}")
            since_left_s = attempt.received_at_s - lag_s - request.ended_at_s
            if request.end is RequestEnd.LEFT and since_left_s > CLIENT_LEFT_SLACK_S:
                broken.append(
                    f"lost: {request.id} at {attempt.endpoint}: {since_left_s:.3f} s after its client left"
                )
        return broken

    def _attempts_at_draining_endpoints(self) -> list[str]:
        broken = []
        for attempt in self._judged_attempts():
            told_at_s = self.drain_told_at_s.get((attempt.gateway, attempt.endpoint))
            if told_at_s is None:
                continue
            after_s = attempt.received_at_s - self.lag_before(attempt.received_at_s) - told_at_s
            if after_s > self.drain_grace_s + LIMIT_SLACK_S:
                text = f"{after_s:.3f} s after {attempt.gateway} was told of the drain"
                broken.append(f"drain: {attempt.request_id} at {attempt.endpoint}: {text}")
        return broken

    def _repeated_executions(self) -> list[str]:
        executed: dict[str, list[AttemptRecord]] = {}
        for attempt in self._judged_attempts():
            if not attempt.is_rejected:
                executed.setdefault(attempt.request_id, []).append(attempt)
        broken = []
        for request_id, attempts in executed.items():
            effect = self.requests[request_id].effect
            for repeat in attempts[1:]:
                after_s = repeat.received_at_s - attempts[0].received_at_s
                is_late = after_s - self.lag_before(repeat.received_at_s) > self.window_s + LIMIT_SLACK_S
                if effect is Effect.AT_MOST_ONCE or (effect is Effect.KEYED and is_late):
                    broken.append(f"duplicate: {request_id}, {effect.value}, again after {after_s:.3f} s")
        return broken
