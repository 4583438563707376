"""The listening socket, and the client connections that it accepts."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Set as AbstractSet

from http_gateway.net.frontend.client_connection import ClientConnection, FrontendState
from http_gateway.net.frontend.connection_limits import BufferLimit, ConnectionLimits
from http_gateway.net.frontend.in_flight_request import OpenRequestIds
from http_gateway.net.frontend.request_parsing import RequestParser
from http_gateway.net.frontend.shutdown_state import ShutdownState
from http_gateway.net.request_dispatcher import RequestDispatcher
from http_gateway.policy.settings import Settings

SWEEP_INTERVAL_S = 0.25  # between two checks of the connections' timeouts
BACKLOG_LENGTH = 512  # connections that wait in the system to be accepted
ACCEPT_BATCH_SIZE = 16  # accepted at once; each takes a descriptor before it is counted
TURNS_TO_ACCEPT = 3  # turns of the event loop between accepting a connection and `connection_made`


class Frontend:
    """Accepts client connections; `max_connections` limits those that are open."""

    def __init__(self, dispatcher: RequestDispatcher, settings: Settings, max_connections: int) -> None:
        shutdown = ShutdownState()
        self._state = FrontendState(
            dispatcher,
            RequestParser(settings.classes, shutdown.time_left_s),
            ConnectionLimits[ClientConnection](max_connections),
            BufferLimit(),
            OpenRequestIds(),
            shutdown,
        )
        self._loop = asyncio.get_running_loop()
        self._server: asyncio.Server | None = None
        self._listener: socket.socket | None = None

    @property
    def connections(self) -> AbstractSet[ClientConnection]:
        """The open client connections."""
        return self._state.limits.connections

    @property
    def buffered_bytes(self) -> int:
        """Bytes of requests that are queued or incomplete."""
        return self._state.buffer_limit.buffered_bytes

    @property
    def open_request_count(self) -> int:
        """How many requests in flight have reserved their ids."""
        return len(self._state.open_request_ids)

    @property
    def is_ready(self) -> bool:
        """Whether requests are served: there is an endpoint list, and no shutdown has begun."""
        return self._state.is_ready

    @property
    def is_stopping(self) -> bool:
        """Whether the shutdown has begun."""
        return self._state.shutdown.has_begun

    @staticmethod
    def bind(host: str, port: int) -> socket.socket:
        """Reserve an address; the system rejects connections until `listen` is called. Raises OSError."""
        listener = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((host, port))
        except OSError:
            listener.close()
            raise
        return listener

    async def listen(self, listener: socket.socket) -> int:
        """Accept connections on a bound socket; return its port."""
        self._listener = listener
        self._server = await self._loop.create_server(
            self._create_connection, sock=listener, backlog=ACCEPT_BATCH_SIZE
        )
        # asyncio uses `backlog` both for the queue's length and for how many it accepts at once.
        listener.listen(BACKLOG_LENGTH)
        self._loop.call_later(SWEEP_INTERVAL_S, self._enforce_timeouts)
        return int(listener.getsockname()[1])

    def begin_shutdown(self, deadline_at_s: float) -> None:
        """Become not ready, and limit the timeout of every new request to this loop time."""
        self._state.shutdown.begin(deadline_at_s)

    def stop_accepting(self) -> None:
        """Accept no new connection, and close those that are between requests."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close_if_idle()

    async def accept_backlog(self) -> None:
        """Accept all connections that wait in the backlog, which the system would reset with the listener.

        Between the last accept and `stop_accepting` the event loop must not run, as it could accept another.
        """
        if self._listener is None:
            return
        self._loop.remove_reader(self._listener)
        for _ in range(TURNS_TO_ACCEPT):
            await asyncio.sleep(0)
        with contextlib.suppress(OSError):  # the backlog is empty, or there is no descriptor
            while True:
                accepted, _ = self._listener.accept()
                accepted.setblocking(False)
                await self._loop.connect_accepted_socket(self._create_connection, accepted)

    def _create_connection(self) -> ClientConnection:
        return ClientConnection(self._state)

    def _enforce_timeouts(self) -> None:
        self._state.limits.enforce_timeouts()
        self._loop.call_later(SWEEP_INTERVAL_S, self._enforce_timeouts)
