"""Limits on the number and the waiting times of all client connections."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Set as AbstractSet
from typing import Generic, Protocol, TypeVar

from http_gateway.net.frontend.connection_log import CloseReason

# Time allowed to receive a complete request, counted from the start of the connection or of the request.
RECEIVE_TIMEOUT_S = 2.0
# Time that a connection is kept open after a response. Some clients send one request and never close the
# connection.
IDLE_TIMEOUT_S = 2.5
# Time that a connection stays open after its request was rejected, while the client may still be sending, or
# after the client has disconnected, while responses may still be unsent.
LINGER_TIMEOUT_S = 0.5
# From this fraction of the connection limit on, each new connection evicts an idle one. Clients behind
# network address translation or a connection pool may be limited to fewer connections than the gateway
# accepts, and idle connections would use up that limit.
IDLE_EVICTION_FRACTION = 0.5
# A connection is not evicted as idle within this time from its start, as its first request may be on its way.
NEW_CONNECTION_S = 0.25


class LimitedConnection(Protocol):
    """Interface that `ConnectionLimits` needs of a connection."""

    @property
    def is_idle(self) -> bool:
        """Whether the connection has no request in flight, queued or partly received."""

    @property
    def has_begun_request(self) -> bool:
        """Whether the client has begun to send a request at any time."""

    @property
    def has_unread_bytes(self) -> bool:
        """Whether the socket holds received bytes that asyncio has not read yet."""

    @property
    def unsent_bytes(self) -> int:
        """Number of response bytes that the operating system has not accepted for sending yet."""

    def on_timeout(self) -> None:
        """Handle the expiry of the connection's timeout."""

    def drop(self, reason: CloseReason) -> None:
        """Close the connection at once."""


ConnectionT = TypeVar("ConnectionT", bound=LimitedConnection)


class ConnectionLimits(Generic[ConnectionT]):
    """Limits the number of open connections and runs the timeouts of those without a request in flight.

    Args:
        max_connections: The number of connections that may be open at the same time.
    """

    def __init__(self, max_connections: int) -> None:
        self._max_connections = max_connections
        self._loop = asyncio.get_running_loop()
        self._connections: set[ConnectionT] = set()
        # Event loop time, in seconds, at which the timeout of each connection expires. A connection with a
        # request in flight has no entry. Connections are evicted in the order of the entries.
        self._timeouts_at_s: OrderedDict[ConnectionT, float] = OrderedDict()

    @property
    def connections(self) -> AbstractSet[ConnectionT]:
        """The open connections."""
        return self._connections

    def admit(self, connection: ConnectionT) -> bool:
        """Add a connection, and evict another one if needed.

        More connections than the limit would use up the file descriptors that connections to endpoints need.

        Args:
            connection: The new connection.

        Returns:
            Whether the connection was added. It is rejected if the limit is reached and no connection can be
            evicted, because each has a request in flight.
        """
        if len(self._connections) >= self._max_connections:
            if not self._timeouts_at_s:
                return False
            self._evict_first_connection()
        elif len(self._connections) >= IDLE_EVICTION_FRACTION * self._max_connections:
            self._evict_idle_connection()
        self._connections.add(connection)
        return True

    def remove(self, connection: ConnectionT) -> None:
        """Remove a closed connection and stop its timeout."""
        self._connections.discard(connection)
        self.stop_timeout(connection)

    def start_receive_timeout(self, connection: ConnectionT) -> None:
        """Start the timeout within which the connection's next request must be complete."""
        self._start_timeout(connection, RECEIVE_TIMEOUT_S)

    def start_idle_timeout(self, connection: ConnectionT) -> None:
        """Start the timeout within which the connection's next request must begin."""
        self._start_timeout(connection, IDLE_TIMEOUT_S)

    def start_linger_timeout(self, connection: ConnectionT, evict_first: bool = False) -> None:
        """Start the timeout within which the client must close the connection.

        Args:
            connection: The connection; the gateway handles no further requests that arrive on it.
            evict_first: Whether the connection moves to the front of the eviction order.
        """
        self._start_timeout(connection, LINGER_TIMEOUT_S)
        if evict_first:
            self._timeouts_at_s.move_to_end(connection, last=False)

    def stop_timeout(self, connection: ConnectionT) -> None:
        """Stop the connection's timeout; a connection without a timeout is not evicted."""
        self._timeouts_at_s.pop(connection, None)

    def timeout_at_s(self, connection: ConnectionT) -> float | None:
        """Return the event loop time, in seconds, at which the timeout expires; None if none is running."""
        return self._timeouts_at_s.get(connection)

    def enforce_timeouts(self) -> None:
        """Call `on_timeout` of each connection whose timeout has expired."""
        now_s = self._loop.time()
        expired = [connection for connection, at_s in self._timeouts_at_s.items() if at_s <= now_s]
        for connection in expired:
            connection.on_timeout()

    def _start_timeout(self, connection: ConnectionT, timeout_s: float) -> None:
        self._timeouts_at_s[connection] = self._loop.time() + timeout_s
        self._timeouts_at_s.move_to_end(connection)

    def _evict_first_connection(self) -> None:
        """Drop the first connection in the eviction order.

        A connection with unread bytes, which may be a request, is dropped only if all others have some too.
        """
        oldest = next(iter(self._timeouts_at_s))
        candidates = (connection for connection in self._timeouts_at_s if not connection.has_unread_bytes)
        next(candidates, oldest).drop(CloseReason.EVICTED)

    def _evict_idle_connection(self) -> None:
        """Drop the longest idle connection that has nothing to read or send, if there is one."""
        new_until_s = self._loop.time() - NEW_CONNECTION_S + RECEIVE_TIMEOUT_S
        for connection, timeout_at_s in self._timeouts_at_s.items():
            is_new = not connection.has_begun_request and timeout_at_s > new_until_s
            if is_new or not connection.is_idle or connection.unsent_bytes:
                continue
            if not connection.has_unread_bytes:
                connection.drop(CloseReason.EVICTED)
                return
