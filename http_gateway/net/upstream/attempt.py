"""One attempt to send a request to an endpoint, from its start until its outcome is known."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from http_gateway.net.http.messages import Message
from http_gateway.net.http.writer import write_request
from http_gateway.policy.events import Outcome


class AttemptEndCallback(Protocol):
    """Callback that is called exactly once when an attempt ends."""

    def __call__(self, outcome: Outcome, response: Message | None, /) -> None:
        """Receive the outcome of the attempt, and the response if there is one."""


class AttemptConnection(Protocol):
    """The part of a connection that an attempt uses while it is in flight."""

    @property
    def is_request_written(self) -> bool:
        """Whether the whole request is written, so that the endpoint may have received its last byte."""

    def drop(self) -> None:
        """Close the connection immediately."""


class UpstreamAttempt:
    """One attempt to send a request to an endpoint; it ends exactly once.

    The attempt owns the task that opens a connection for it, and the timer for the deadline of its last byte.
    `stop` cancels the task, and the timer is cancelled whenever the attempt ends.

    Args:
        request: The client's request.
        expires_at_s: Loop time at which the client stops waiting.
        on_end: Called exactly once with the outcome.
        is_client_waiting: Returns whether the client still waits for the response.
    """

    def __init__(
        self,
        request: Message,
        expires_at_s: float,
        on_end: AttemptEndCallback,
        is_client_waiting: Callable[[], bool],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._request = request
        self._expires_at_s = expires_at_s
        self._on_end: AttemptEndCallback | None = on_end
        self._is_client_waiting = is_client_waiting
        self._connection: AttemptConnection | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._last_byte_deadline_s = math.inf  # loop time
        self._last_byte_timer: asyncio.TimerHandle | None = None

    @property
    def has_ended(self) -> bool:
        """Whether the attempt has ended and its outcome has been reported."""
        return self._on_end is None

    @property
    def has_safe_method(self) -> bool:
        """Whether the method is safe (RFC 9110, section 9.2.1), so that the request may be executed twice."""
        return self._request.has_safe_method

    @property
    def connection(self) -> AttemptConnection | None:
        """The connection that the attempt uses, or None while it has none."""
        return self._connection

    @property
    def is_request_written(self) -> bool:
        """Whether the whole request is written, so that the endpoint may have received its last byte."""
        return self._connection is not None and self._connection.is_request_written

    @property
    def is_before_last_byte_deadline(self) -> bool:
        """Whether the deadline for the last byte has not passed yet."""
        return self._loop.time() < self._last_byte_deadline_s

    def is_client_waiting(self) -> bool:
        """Return whether the client still waits for the response.

        Called right before bytes are written. The check may end the attempt.
        """
        return self._is_client_waiting()

    def request_bytes(self) -> bytes:
        """Serialize the request; the header `x-deadline` gives the seconds that remain until the deadline."""
        remaining_s = max(0.0, self._expires_at_s - self._loop.time())
        return write_request(self._request, [(b"x-deadline", b"%.3f" % remaining_s)])

    def tighten_last_byte_deadline(self, deadline_s: float) -> None:
        """Set a deadline, in loop time, for writing the last byte of the request.

        If the last byte is not written by then, the attempt ends with `NOT_SENT`. A later deadline than the
        current one is ignored.
        """
        if deadline_s >= self._last_byte_deadline_s or self.has_ended:
            return
        if self._last_byte_timer is not None:
            self._last_byte_timer.cancel()
        self._last_byte_deadline_s = deadline_s
        self._last_byte_timer = self._loop.call_at(deadline_s, self._stop_if_unwritten)

    def connect(self, connecting: Coroutine[Any, Any, None], on_done: Callable[[], None]) -> None:
        """Run a coroutine that opens a connection for this attempt, in a task that `stop` cancels.

        If the attempt has no connection when the task is done, it ends with `CONNECT_FAILED`.

        Args:
            connecting: The coroutine that opens the connection.
            on_done: Called when the task is done, even if it was cancelled before its first step.
        """
        self._connect_task = self._loop.create_task(connecting)
        self._connect_task.add_done_callback(lambda _: self._connect_done(on_done))

    def attach(self, connection: AttemptConnection) -> None:
        """Record the connection on which the attempt is sent."""
        self._connection = connection

    def stop(self, outcome: Outcome) -> None:
        """End the attempt with this outcome and close its connection; has no effect once it has ended."""
        if self.has_ended:
            return
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.drop()
        if self._connect_task is not None:
            self._connect_task.cancel()
        self.end(outcome)

    def end(self, outcome: Outcome, response: Message | None = None) -> None:
        """End the attempt and report the outcome; further calls report nothing."""
        if self._last_byte_timer is not None:
            self._last_byte_timer.cancel()
        self._connection = None
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            on_end(outcome, response)

    def _stop_if_unwritten(self) -> None:
        if not self.is_request_written:
            self.stop(Outcome.NOT_SENT)

    def _connect_done(self, on_done: Callable[[], None]) -> None:
        on_done()
        self._connect_task = None
        if self._connection is None:
            self.end(Outcome.CONNECT_FAILED)
