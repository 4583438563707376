"""The gateway's listening socket and the client connections accepted on it."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Set as AbstractSet

from http_gateway.net.frontend.client_connection import ClientConnection, FrontendState
from http_gateway.net.frontend.connection_limits import BufferLimit, ConnectionLimits
from http_gateway.net.frontend.in_flight_request import RequestIdRegistry
from http_gateway.net.frontend.request_parsing import RequestParser
from http_gateway.net.frontend.shutdown_state import ShutdownState
from http_gateway.net.request_dispatcher import RequestDispatcher
from http_gateway.policy.settings import Settings

TIMEOUT_CHECK_INTERVAL_S = 0.25  # time between two checks for expired connection timeouts
BACKLOG_LENGTH = 512  # connections that the operating system queues until they are accepted
ACCEPT_BATCH_SIZE = 16  # connections accepted at once; each uses a file descriptor before it is counted
ACCEPT_LOOP_ITERATIONS = 3  # event loop iterations between `accept` and `connection_made`


class Frontend:
    """Accepts client connections and limits how many are open.

    Args:
        dispatcher: Forwards the clients' requests to endpoints.
        settings: Settings that contain the request classes.
        max_connections: The number of client connections that may be open at the same time.
    """

    def __init__(self, dispatcher: RequestDispatcher, settings: Settings, max_connections: int) -> None:
        shutdown = ShutdownState()
        self._state = FrontendState(
            dispatcher,
            RequestParser(settings.classes, shutdown.time_left_s),
            ConnectionLimits[ClientConnection](max_connections),
            BufferLimit(),
            RequestIdRegistry(),
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
        """Number of bytes of queued and incomplete requests on all connections."""
        return self._state.buffer_limit.buffered_bytes

    @property
    def reserved_request_id_count(self) -> int:
        """Number of request ids that are reserved by requests in flight."""
        return len(self._state.request_id_registry)

    @property
    def is_ready(self) -> bool:
        """Whether requests are served: the gateway has an endpoint list and is not shutting down."""
        return self._state.is_ready

    @property
    def is_stopping(self) -> bool:
        """Whether the shutdown has begun."""
        return self._state.shutdown.has_begun

    @staticmethod
    def bind(host: str, port: int) -> socket.socket:
        """Bind a socket to an address; the operating system refuses connections until `listen` is called.

        Args:
            host: An IPv4 or IPv6 address, or a name for IPv4.
            port: The port; 0 lets the operating system choose one.

        Returns:
            The bound socket.

        Raises:
            OSError: The address cannot be bound.
        """
        listener = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((host, port))
        except OSError:
            listener.close()
            raise
        return listener

    async def listen(self, listener: socket.socket) -> int:
        """Accept connections on a bound socket.

        Args:
            listener: The socket that `bind` returned.

        Returns:
            The port of the socket.
        """
        self._listener = listener
        self._server = await self._loop.create_server(
            self._create_connection, sock=listener, backlog=ACCEPT_BATCH_SIZE
        )
        # asyncio uses `backlog` both as the queue length and as the number of connections accepted at once.
        # This call changes only the queue length.
        listener.listen(BACKLOG_LENGTH)
        self._loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._enforce_timeouts)
        return int(listener.getsockname()[1])

    def begin_shutdown(self, deadline_at_s: float) -> None:
        """Report the gateway as not ready, and limit the timeouts of new requests to the deadline.

        Args:
            deadline_at_s: Event loop time, in seconds, by which every request must be answered.
        """
        self._state.shutdown.begin(deadline_at_s)

    def stop_accepting(self) -> None:
        """Stop accepting connections, and close the connections that are between requests."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close_if_idle()

    async def accept_backlog(self) -> None:
        """Accept all connections in the backlog, which the system would reset when the listener is closed.

        The event loop must not run between the last accept and `stop_accepting`, because another connection
        could be accepted meanwhile.
        """
        if self._listener is None:
            return
        self._loop.remove_reader(self._listener)
        for _ in range(ACCEPT_LOOP_ITERATIONS):
            await asyncio.sleep(0)
        with contextlib.suppress(OSError):  # the backlog is empty, or no file descriptor is left
            while True:
                accepted, _ = self._listener.accept()
                accepted.setblocking(False)
                await self._loop.connect_accepted_socket(self._create_connection, accepted)

    def _create_connection(self) -> ClientConnection:
        return ClientConnection(self._state)

    def _enforce_timeouts(self) -> None:
        self._state.limits.enforce_timeouts()
        self._loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._enforce_timeouts)
