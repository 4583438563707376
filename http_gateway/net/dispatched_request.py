"""The state of one client request until it has its response and all its attempts have ended."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from http_gateway.net.client_request import ClientRequest, Response, ResponseCallback
from http_gateway.net.upstream.attempt import UpstreamAttempt
from http_gateway.policy.endpoint import EndpointId
from http_gateway.policy.events import Outcome


@dataclass(slots=True)
class DispatchedAttempt:
    """An attempt that the policy has requested; its number is its place in `DispatchedRequest.attempts`."""

    endpoint_id: EndpointId
    started_at_us: int
    upstream_attempt: UpstreamAttempt | None = None  # while it is in flight
    has_ended: bool = False

    def start(self, upstream_attempt: UpstreamAttempt) -> None:
        """Note the attempt that the pool has started."""
        self.upstream_attempt = upstream_attempt

    def end(self) -> None:
        """Note that the attempt has ended."""
        self.has_ended = True
        self.upstream_attempt = None


class DispatchedRequest:
    """A request that needs its response, or has attempts in flight."""

    def __init__(
        self,
        client_request: ClientRequest,
        respond: ResponseCallback,
        has_client_disconnected: Callable[[], bool],
        deadline_at_us: int,
    ) -> None:
        self.client_request = client_request
        self.deadline_at_us = deadline_at_us
        self.attempts: list[DispatchedAttempt] = []
        self._respond: ResponseCallback | None = respond
        self._has_client_disconnected = has_client_disconnected
        self._deadline_timer: asyncio.TimerHandle | None = None

    @property
    def needs_response(self) -> bool:
        """Whether the client still waits for its final response."""
        return self._respond is not None

    @property
    def is_finished(self) -> bool:
        """Whether there is nothing more to respond to or to wait for."""
        return not self.needs_response and all(attempt.has_ended for attempt in self.attempts)

    def has_client_disconnected(self) -> bool:
        """Whether the client has disconnected, though the gateway may not have been notified yet."""
        return self._has_client_disconnected()

    def set_deadline_timer(self, timer: asyncio.TimerHandle) -> None:
        """Note the timer that runs until the deadline."""
        self._deadline_timer = timer

    def cancel_deadline_timer(self) -> None:
        """Stop the timer that runs until the deadline."""
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()

    def respond(self, response: Response) -> None:
        """Send the final response; does nothing after the first one."""
        respond, self._respond = self._respond, None
        if respond is not None:
            respond(response)

    def abandon(self) -> None:
        """Send no response any more, since the client has disconnected."""
        self._respond = None

    def add_attempt(self, endpoint_id: EndpointId, now_us: int) -> int:
        """Add an attempt that the policy has requested; return its number."""
        self.attempts.append(DispatchedAttempt(endpoint_id, now_us))
        return len(self.attempts) - 1

    def limit_last_byte(self, before_s: float) -> None:
        """End attempts whose last byte is not written by this loop time."""
        for attempt in self.attempts:
            if attempt.upstream_attempt is not None:
                attempt.upstream_attempt.limit_last_byte(before_s)

    # Stopping an attempt may add another one to the list, which the loops below then meet.

    def cancel_attempts(self) -> None:
        """Cancel every attempt in flight."""
        for attempt in self.attempts:
            if attempt.upstream_attempt is not None:
                attempt.upstream_attempt.stop(Outcome.CANCELLED)

    def cancel_unwritten_attempts(self) -> None:
        """Cancel the attempts whose request has not reached its endpoint."""
        for attempt in self.attempts:
            if attempt.upstream_attempt is not None and not attempt.upstream_attempt.is_written:
                attempt.upstream_attempt.stop(Outcome.CANCELLED)

    def time_out_attempts(self) -> None:
        """Time out every attempt in flight."""
        for attempt in self.attempts:
            if attempt.upstream_attempt is not None:
                time_out(attempt.upstream_attempt)


def time_out(attempt: UpstreamAttempt) -> None:
    """End an attempt at its deadline; one that was not written completely was not executed."""
    attempt.stop(Outcome.TIMEOUT if attempt.is_written else Outcome.NOT_SENT)
