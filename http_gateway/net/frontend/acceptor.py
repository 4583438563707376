"""Accepts the connections that clients open to the gateway's listening socket."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable

from http_gateway.net.event_loop import PollTimes

log = logging.getLogger(__name__)

# Connections accepted in one iteration of the event loop; each uses a file descriptor before it is counted.
BATCH_SIZE = 16
# Failures in a row after which accepting pauses. One failure may concern a single connection only.
MAX_FAILURES_IN_A_ROW = 3
RETRY_DELAY_S = 0.01
MAX_RETRIES_AT_SHUTDOWN = 20  # without a connection accepted in between

ConnectionFactory = Callable[[float | None], asyncio.BaseProtocol]


class Acceptor:
    """Accepts connections until it is stopped, and owns the tasks that set them up.

    No failure of accept stops it for good. The connections that it could not accept stay in the backlog, and
    the next try is at most `RETRY_DELAY_S` later.

    Args:
        listener: A listening socket in non-blocking mode.
        poll_times: The poll times of the event loop.
        create_connection: Creates the protocol of a connection. Its argument is the loop time after which the
            client connected; None if it is unknown.
    """

    def __init__(
        self, listener: socket.socket, poll_times: PollTimes, create_connection: ConnectionFactory
    ) -> None:
        self._listener = listener
        self._poll_times = poll_times
        self._create_connection = create_connection
        self._loop = asyncio.get_running_loop()
        self._set_up_tasks: set[asyncio.Task[None]] = set()
        self._retry_timer: asyncio.TimerHandle | None = None
        # Whether the backlog was not emptied by the last call, and after which time its connections arrived.
        self._has_backlog = False
        self._backlog_after_s: float | None = None

    def start(self) -> None:
        """Accept connections from now on."""
        self._retry_timer = None
        self._loop.add_reader(self._listener, self._on_readable)

    def stop(self) -> None:
        """Accept no further connections, and close the listening socket."""
        self._pause()
        self._listener.close()

    async def accept_all(self) -> None:
        """Accept all connections in the backlog, which the system would reset when the listener is closed.

        Nothing is accepted after that. The event loop must not run before `stop` is called, because another
        connection could arrive meanwhile.
        """
        self._pause()
        retry_count = 0
        while True:
            is_empty = self._accept_batch()
            if self._set_up_tasks:
                retry_count = 0
                await asyncio.wait(self._set_up_tasks)
            elif is_empty:
                return
            elif retry_count == MAX_RETRIES_AT_SHUTDOWN:
                log.warning("backlog not accepted retries=%d", retry_count)
                return
            else:
                retry_count += 1
                await asyncio.sleep(RETRY_DELAY_S)

    def _pause(self) -> None:
        self._loop.remove_reader(self._listener)
        if self._retry_timer is not None:
            self._retry_timer.cancel()

    def _on_readable(self) -> None:
        is_empty = self._accept_batch()
        if not is_empty and not self._set_up_tasks:  # accept fails, and the loop would poll without a pause
            self._pause()
            self._retry_timer = self._loop.call_later(RETRY_DELAY_S, self.start)

    def _accept_batch(self) -> bool:
        """Accept up to `BATCH_SIZE` connections, and return whether the backlog is empty then."""
        if not self._has_backlog:
            self._backlog_after_s = self._poll_times.events_after_s
        self._has_backlog = True
        failures_in_a_row = 0
        for _ in range(BATCH_SIZE):
            try:
                accepted, _ = self._listener.accept()
            except BlockingIOError:
                self._has_backlog = False
                return True
            except OSError as error:
                name = errno.errorcode.get(error.errno or 0, "unknown")
                log.warning('accept failed errno=%s reason="%s"', name, error.strerror)
                failures_in_a_row += 1
                if failures_in_a_row == MAX_FAILURES_IN_A_ROW:
                    return False
            else:
                failures_in_a_row = 0
                self._start_set_up(accepted)
        return False

    def _start_set_up(self, accepted: socket.socket) -> None:
        task = self._loop.create_task(self._set_up(accepted, self._backlog_after_s))
        self._set_up_tasks.add(task)
        task.add_done_callback(self._set_up_tasks.discard)

    async def _set_up(self, accepted: socket.socket, connected_after_s: float | None) -> None:
        try:
            await self._loop.connect_accepted_socket(
                lambda: self._create_connection(connected_after_s), accepted
            )
        except OSError as error:
            log.warning('connection set-up failed reason="%s"', error)
            accepted.close()
