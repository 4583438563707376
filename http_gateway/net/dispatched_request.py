"""State of a client request from its submission until it is answered and all its attempts have ended."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from http_gateway.net.client_request import ClientRequest, Response, ResponseCallback
from http_gateway.net.memory.plan import REQUEST_STATE_BYTES
from http_gateway.net.upstream.attempt import UpstreamAttempt
from http_gateway.policy.endpoint import EndpointId
from http_gateway.policy.events import Outcome


@dataclass(slots=True)
class DispatchedAttempt:
    """An attempt that the policy has requested.

    The attempt number is the index in `DispatchedRequest.attempts`.
    """

    endpoint_id: EndpointId
    started_at_us: int
    upstream_attempt: UpstreamAttempt | None = None  # None unless the attempt is in flight
    has_ended: bool = False

    def start(self, upstream_attempt: UpstreamAttempt) -> None:
        """Record the upstream attempt that the pool has started."""
        self.upstream_attempt = upstream_attempt

    def end(self) -> None:
        """Mark the attempt as ended."""
        self.has_ended = True
        self.upstream_attempt = None


class DispatchedRequest:
    """A request that has no final response yet or still has attempts in flight.

    Args:
        client_request: The request as the client sent it.
        respond: Sends the final response to the client.
        has_client_disconnected: Returns whether the client has disconnected.
        deadline_at_us: Time on the gateway's clock, in microseconds, by which the response is due.

    Attributes:
        memory_bytes: Memory of the request and of its state, which is reserved in the budget of requests.
    """

    def __init__(
        self,
        client_request: ClientRequest,
        respond: ResponseCallback,
        has_client_disconnected: Callable[[], bool],
        deadline_at_us: int,
    ) -> None:
        self.client_request = client_request
        self.deadline_at_us = deadline_at_us
        self.memory_bytes = client_request.message.memory_bytes + REQUEST_STATE_BYTES
        self.attempts: list[DispatchedAttempt] = []
        self._respond: ResponseCallback | None = respond
        self._has_client_disconnected = has_client_disconnected
        self._deadline_timer: asyncio.TimerHandle | None = None
        self._timers: list[asyncio.TimerHandle] = []

    @property
    def needs_response(self) -> bool:
        """Whether the client still waits for the final response."""
        return self._respond is not None

    @property
    def is_finished(self) -> bool:
        """Whether the request needs no response and all its attempts have ended."""
        return not self.needs_response and all(attempt.has_ended for attempt in self.attempts)

    def has_client_disconnected(self) -> bool:
        """Return whether the client has disconnected, even if the event loop has not reported it yet."""
        return self._has_client_disconnected()

    def set_deadline_timer(self, timer: asyncio.TimerHandle) -> None:
        """Store the timer that fires at the deadline of the request."""
        self._deadline_timer = timer

    def add_timer(self, timer: asyncio.TimerHandle) -> None:
        """Store a timer that has no effect once the request is finished."""
        self._timers.append(timer)

    def cancel_timers(self) -> None:
        """Cancel all timers of the request."""
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        for timer in self._timers:
            timer.cancel()

    def respond(self, response: Response) -> None:
        """Send the final response; further calls have no effect."""
        respond, self._respond = self._respond, None
        if respond is not None:
            respond(response)

    def abandon(self) -> None:
        """Discard the response callback, because the client has disconnected."""
        self._respond = None

    def add_attempt(self, endpoint_id: EndpointId, now_us: int) -> int:
        """Add an attempt that the policy has requested, and return its attempt number."""
        self.attempts.append(DispatchedAttempt(endpoint_id, now_us))
        return len(self.attempts) - 1

    def tighten_last_byte_deadline(self, deadline_s: float) -> None:
        """Set a deadline, in loop time, for the last request byte of all attempts in flight."""
        for attempt in self.attempts:
            if attempt.upstream_attempt is not None:
                attempt.upstream_attempt.tighten_last_byte_deadline(deadline_s)

    # Stopping an attempt may append a retry to `attempts`. The loops of the following methods then process
    # the retry as well.

    def cancel_attempts(self) -> None:
        """Cancel every attempt in flight."""
        for attempt in self.attempts:
            if attempt.upstream_attempt is not None:
                attempt.upstream_attempt.stop(Outcome.CANCELLED)

    def cancel_unwritten_attempts(self) -> None:
        """Cancel the attempts in flight whose request is not completely written."""
        for attempt in self.attempts:
            if attempt.upstream_attempt is not None and not attempt.upstream_attempt.is_request_written:
                attempt.upstream_attempt.stop(Outcome.CANCELLED)

    def time_out_attempts(self) -> None:
        """Time out every attempt in flight."""
        for attempt in self.attempts:
            if attempt.upstream_attempt is not None:
                time_out(attempt.upstream_attempt)


def time_out(attempt: UpstreamAttempt) -> None:
    """End an attempt at its deadline.

    The outcome is `NOT_SENT` if the request was not completely written, because the endpoint cannot have
    executed it.
    """
    attempt.stop(Outcome.TIMEOUT if attempt.is_request_written else Outcome.NOT_SENT)
