"""One attempt at an endpoint, from its start to its single end."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from http_gateway.net.http.messages import Message
from http_gateway.net.http.writer import write_request
from http_gateway.policy.events import Outcome


class AttemptEndCallback(Protocol):
    """Called once when an attempt ends."""

    def __call__(self, outcome: Outcome, response: Message | None, /) -> None:
        """Take the outcome, and the response if there is one."""


class AttemptConnection(Protocol):
    """The connection that an attempt is in flight on."""

    @property
    def is_request_written(self) -> bool:
        """Whether the endpoint may have received the last byte of the request."""

    def drop(self) -> None:
        """Close the connection at once."""


class UpstreamAttempt:
    """One attempt to have an endpoint serve a request; it ends exactly once.

    It owns the task that connects for it and the timer that limits its last byte. `stop` cancels the
    task, and every end cancels the timer.
    """

    def __init__(
        self,
        request: Message,
        expires_at_s: float,
        on_end: AttemptEndCallback,
        is_wanted: Callable[[], bool],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._request = request
        self._expires_at_s = expires_at_s
        self._on_end: AttemptEndCallback | None = on_end
        self._is_wanted = is_wanted
        self._connection: AttemptConnection | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._last_byte_before_s = math.inf  # loop time
        self._last_byte_timer: asyncio.TimerHandle | None = None

    @property
    def has_ended(self) -> bool:
        """Whether the attempt has its outcome."""
        return self._on_end is None

    @property
    def has_safe_method(self) -> bool:
        """Whether the method is safe (RFC 9110, 9.2.1): executing the request twice does no harm."""
        return self._request.method == b"GET"

    @property
    def connection(self) -> AttemptConnection | None:
        """The connection that the attempt is in flight on."""
        return self._connection

    @property
    def is_written(self) -> bool:
        """Whether the endpoint may have received the last byte of the request."""
        return self._connection is not None and self._connection.is_request_written

    @property
    def is_in_time(self) -> bool:
        """Whether the last byte may still be written."""
        return self._loop.time() < self._last_byte_before_s

    def is_wanted(self) -> bool:
        """Whether a client still waits; checked right before bytes are written, and may end the attempt."""
        return self._is_wanted()

    def request_bytes(self) -> bytes:
        """The request as it is written now, with the time that remains in `x-deadline`."""
        remaining_s = max(0.0, self._expires_at_s - self._loop.time())
        return write_request(self._request, [(b"x-deadline", b"%.3f" % remaining_s)])

    def limit_last_byte(self, before_s: float) -> None:
        """End the attempt at this loop time as not sent if its last byte is not written by then."""
        if before_s >= self._last_byte_before_s or self.has_ended:
            return
        if self._last_byte_timer is not None:
            self._last_byte_timer.cancel()
        self._last_byte_before_s = before_s
        self._last_byte_timer = self._loop.call_at(before_s, self._stop_unwritten)

    def connect(self, connecting: Coroutine[Any, Any, None], on_done: Callable[[], None]) -> None:
        """Run the coroutine that connects for this attempt in a task; `stop` cancels it.

        `on_done` is called when the task is done, even if it was cancelled before its first step. Without a
        connection by then the attempt has failed to connect.
        """
        self._connect_task = self._loop.create_task(connecting)
        self._connect_task.add_done_callback(lambda _: self._connect_done(on_done))

    def attach(self, connection: AttemptConnection) -> None:
        """Note the connection that the attempt is in flight on from now on."""
        self._connection = connection

    def stop(self, outcome: Outcome) -> None:
        """End the attempt with this outcome and close its connection; does nothing after its end."""
        if self.has_ended:
            return
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.drop()
        if self._connect_task is not None:
            self._connect_task.cancel()
        self.end(outcome)

    def end(self, outcome: Outcome, response: Message | None = None) -> None:
        """Report the outcome; does nothing after the first time."""
        if self._last_byte_timer is not None:
            self._last_byte_timer.cancel()
        self._connection = None
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            on_end(outcome, response)

    def _stop_unwritten(self) -> None:
        if not self.is_written:
            self.stop(Outcome.NOT_SENT)

    def _connect_done(self, on_done: Callable[[], None]) -> None:
        on_done()
        self._connect_task = None
        if self._connection is None:
            self.end(Outcome.CONNECT_FAILED)
