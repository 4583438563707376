"""The gateway's listening socket and the client connections accepted on it."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Set as AbstractSet

from http_gateway.net.event_loop import running_poll_times
from http_gateway.net.frontend.acceptor import Acceptor
from http_gateway.net.frontend.client_connection import ClientConnection, FrontendState
from http_gateway.net.frontend.connection_limits import ConnectionLimits
from http_gateway.net.frontend.in_flight_request import RequestIdRegistry
from http_gateway.net.frontend.read_quota import ReadQuota
from http_gateway.net.frontend.request_parsing import RequestParser
from http_gateway.net.frontend.shutdown_state import ShutdownState
from http_gateway.net.http.shared_buffer import RECEIVE_BUFFER_BYTES
from http_gateway.net.memory.budget import MessageBudgets
from http_gateway.net.request_dispatcher import RequestDispatcher
from http_gateway.policy.settings import Settings

TIMEOUT_CHECK_INTERVAL_S = 0.25  # time between two checks for expired connection timeouts
BACKLOG_LENGTH = 512  # connections that the operating system queues until they are accepted


class Frontend:
    """Accepts client connections and limits how many are open.

    Args:
        dispatcher: Forwards the clients' requests to endpoints.
        settings: Settings that contain the request classes.
        max_connections: The number of client connections that may be open at the same time.
        budgets: The budgets of requests and responses.
    """

    def __init__(
        self,
        dispatcher: RequestDispatcher,
        settings: Settings,
        max_connections: int,
        budgets: MessageBudgets,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._poll_times = running_poll_times()
        shutdown = ShutdownState()
        self._state = FrontendState(
            dispatcher,
            RequestParser(settings.classes, shutdown.time_left_s),
            ConnectionLimits[ClientConnection](max_connections),
            budgets,
            RequestIdRegistry(dispatcher.attempted_ids),
            shutdown,
            ReadQuota(self._poll_times, RECEIVE_BUFFER_BYTES),
        )
        self._acceptor: Acceptor | None = None

    @property
    def connections(self) -> AbstractSet[ClientConnection]:
        """The open client connections."""
        return self._state.limits.connections

    @property
    def buffered_bytes(self) -> int:
        """Memory of all requests that are received, queued or in flight, in bytes."""
        return self._state.budgets.requests.held_bytes

    @property
    def unread_response_bytes(self) -> int:
        """Memory of the responses that are received, or that clients have not read, in bytes."""
        return self._state.budgets.responses.held_bytes

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

    def listen(self, listener: socket.socket) -> int:
        """Accept connections on a bound socket.

        Args:
            listener: The socket that `bind` returned.

        Returns:
            The port of the socket.
        """
        listener.setblocking(False)
        listener.listen(BACKLOG_LENGTH)
        self._acceptor = Acceptor(listener, self._poll_times, self._create_connection)
        self._acceptor.start()
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
        acceptor, self._acceptor = self._acceptor, None
        if acceptor is not None:
            acceptor.stop()
        for connection in list(self.connections):
            connection.close_if_idle()

    async def accept_backlog(self) -> None:
        """Accept all connections in the backlog; `stop_accepting` must be called right after it."""
        if self._acceptor is not None:
            await self._acceptor.accept_all()

    def _create_connection(self, connected_after_s: float | None) -> ClientConnection:
        return ClientConnection(self._state, self._poll_times, connected_after_s)

    def _enforce_timeouts(self) -> None:
        self._state.limits.enforce_timeouts()
        self._loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._enforce_timeouts)
