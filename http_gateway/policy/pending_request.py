"""Requests that the policy still tracks, and their attempts."""

from __future__ import annotations

from dataclasses import dataclass, field

from http_gateway.policy.endpoint import Endpoint, EndpointId
from http_gateway.policy.events import Outcome, RequestArrived
from http_gateway.policy.settings import RequestClass


@dataclass(slots=True)
class Attempt:
    """One attempt of a request."""

    endpoint: Endpoint  # its endpoint list entry at the start of the attempt
    started_at_us: int
    is_probe: bool = False  # the half-open probe of the endpoint's circuit breaker
    is_class_probe: bool = False  # the half-open probe of the endpoint's breaker for this request class
    # The success or failure of the attempt was recorded for its endpoint while it was in flight. Its end is
    # then not recorded a second time.
    is_result_recorded: bool = False
    is_streaming: bool = False  # its response is being streamed to the client, so it is not cancelled
    reserved_cost_us: float = 0.0  # taken from the endpoint's slow start token bucket; 0 if it is warm
    outcome: Outcome | None = None  # None while the attempt is in flight

    @property
    def in_flight(self) -> bool:
        """Whether the attempt has not ended."""
        return self.outcome is None

    @property
    def possibly_executed(self) -> bool:
        """Whether the endpoint may have executed the request, or may still execute it."""
        return self.outcome is None or not self.outcome.proves_not_executed

    def end(self, outcome: Outcome) -> None:
        """Record how the attempt ended."""
        self.outcome = outcome

    def mark_result_recorded(self) -> None:
        """Mark the success or failure of the attempt as recorded for its endpoint."""
        self.is_result_recorded = True

    def mark_streaming(self) -> None:
        """Mark the response of the attempt as being streamed to the client.

        The start of the stream counts as the success of the attempt, so the attempt is also marked as
        recorded.
        """
        self.is_result_recorded = self.is_streaming = True


@dataclass(slots=True)
class PendingRequest:
    """A request that needs a final answer or has attempts in flight."""

    request: RequestArrived
    request_class: RequestClass
    arrived_at_us: int
    deadline_us: int
    fallback_id: EndpointId | None = None  # the other endpoint of the latest load comparison
    attempts: list[Attempt] = field(default_factory=list)
    is_answered: bool = False  # the request was answered or abandoned

    def add_attempt(self, attempt: Attempt) -> None:
        """Add an attempt that starts; its number is its index in `attempts`."""
        self.attempts.append(attempt)

    def set_fallback(self, endpoint_id: EndpointId | None) -> None:
        """Set the endpoint to prefer for the next attempt; None if no other endpoint was available."""
        self.fallback_id = endpoint_id

    def mark_answered(self) -> bool:
        """Mark the request as answered or abandoned, so that it needs no further answer.

        Returns:
            Whether this is the first call for the request.
        """
        is_new = not self.is_answered
        self.is_answered = True
        return is_new

    @property
    def attempts_in_flight(self) -> list[int]:
        """The numbers of the attempts in flight."""
        return [number for number, attempt in enumerate(self.attempts) if attempt.outcome is None]

    @property
    def has_attempt_in_flight(self) -> bool:
        """Whether any attempt is in flight."""
        return any(attempt.outcome is None for attempt in self.attempts)

    @property
    def possibly_executed_attempts(self) -> list[Attempt]:
        """The attempts that the endpoints have possibly executed, in starting order."""
        return [attempt for attempt in self.attempts if attempt.possibly_executed]

    @property
    def first_possibly_executed(self) -> Attempt | None:
        """The earliest attempt that an endpoint has possibly executed, or None."""
        return next((attempt for attempt in self.attempts if attempt.possibly_executed), None)
