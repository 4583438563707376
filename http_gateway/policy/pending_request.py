"""Requests without a final answer, and the attempts made for them."""

from __future__ import annotations

from dataclasses import dataclass, field

from http_gateway.policy.endpoint import Endpoint, EndpointId
from http_gateway.policy.events import Outcome, RequestArrived
from http_gateway.policy.settings import RequestClass


@dataclass(slots=True)
class Attempt:
    """One attempt of a request."""

    endpoint: Endpoint  # as it was listed when the attempt started
    started_at_us: int
    is_probe: bool = False  # the half-open probe request of its endpoint's breaker
    is_class_probe: bool = False  # likewise of the breaker for its class there
    is_judged: bool = False  # its endpoint has been charged with it, or credited, while it was in flight
    is_streaming: bool = False  # it belongs to the client since its response began
    reserved_cost_us: float = 0.0  # taken for it out of the bucket of an endpoint that is warming up
    outcome: Outcome | None = None  # None while it is in flight

    @property
    def in_flight(self) -> bool:
        """Whether it has not ended."""
        return self.outcome is None

    @property
    def possibly_executed(self) -> bool:
        """Whether the endpoint may have executed the request, or may yet do so."""
        return self.outcome is None or not self.outcome.proves_not_executed

    def end(self, outcome: Outcome) -> None:
        """Record how it ended."""
        self.outcome = outcome

    def mark_judged(self) -> None:
        """Record that its endpoint has been charged with it, or credited."""
        self.is_judged = True

    def mark_streaming(self) -> None:
        """Record that its response has begun: it is judged by that, and belongs to the client."""
        self.is_judged = self.is_streaming = True


@dataclass(slots=True)
class PendingRequest:
    """A request that needs a final answer, or has attempts in flight."""

    request: RequestArrived
    request_class: RequestClass
    arrived_at_us: int
    deadline_us: int
    fallback_id: EndpointId | None = None  # the endpoint that was chosen second
    attempts: list[Attempt] = field(default_factory=list)
    is_answered: bool = False

    def add_attempt(self, attempt: Attempt) -> None:
        """Record an attempt that starts; its number is its place among all."""
        self.attempts.append(attempt)

    def set_fallback(self, endpoint_id: EndpointId | None) -> None:
        """Record the endpoint that was chosen second; None if there was no other."""
        self.fallback_id = endpoint_id

    def mark_answered(self) -> bool:
        """Record that no answer is needed any more; return whether that is new."""
        is_new = not self.is_answered
        self.is_answered = True
        return is_new

    @property
    def attempts_in_flight(self) -> list[int]:
        """The numbers of the attempts that have not ended."""
        return [number for number, attempt in enumerate(self.attempts) if attempt.outcome is None]

    @property
    def has_attempt_in_flight(self) -> bool:
        """Whether any attempt has not ended."""
        return any(attempt.outcome is None for attempt in self.attempts)

    @property
    def possibly_executed_attempts(self) -> list[Attempt]:
        """The attempts that were possibly executed, the earliest first."""
        return [attempt for attempt in self.attempts if attempt.possibly_executed]

    @property
    def first_possibly_executed(self) -> Attempt | None:
        """The earliest attempt that was possibly executed."""
        return next((attempt for attempt in self.attempts if attempt.possibly_executed), None)
