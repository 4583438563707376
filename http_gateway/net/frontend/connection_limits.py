"""Limits over all client connections: how many there may be, what they buffer and how long they may wait."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Set as AbstractSet
from typing import Generic, Protocol, TypeVar

MAX_BUFFERED_BYTES = 4 * 1024 * 1024
# Time to receive a complete request, from the start of the connection or of the request.
RECEIVE_TIMEOUT_S = 2.0
# Time for which a connection is kept open after a response. Some clients send one request and never close.
IDLE_TIMEOUT_S = 2.5
LINGER_S = 0.5  # time for which a client may go on sending after its request was rejected
# From this fraction of the connection limit on, idle connections make room for new ones: clients behind an
# address translation or a connection pool may have fewer connections than the gateway's limit.
IDLE_EVICTION_FRACTION = 0.5


class BufferLimit:
    """Bytes of requests that are queued or incomplete, of all client connections together."""

    def __init__(self) -> None:
        self._buffered_bytes = 0

    @property
    def buffered_bytes(self) -> int:
        """Bytes that are buffered now."""
        return self._buffered_bytes

    @property
    def is_exceeded(self) -> bool:
        """Whether more bytes are buffered than the limit allows."""
        return self._buffered_bytes > MAX_BUFFERED_BYTES

    def adjust(self, change_bytes: int) -> None:
        """Count a change of the bytes that one connection buffers; negative if it buffers less."""
        self._buffered_bytes += change_bytes


class LimitedConnection(Protocol):
    """What the limits need to know of a connection and may do with it."""

    @property
    def is_idle(self) -> bool:
        """Whether the connection is between requests."""

    @property
    def has_unread_bytes(self) -> bool:
        """Whether the client has sent bytes that were not read yet."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that the system has not taken yet."""

    def on_timeout(self) -> None:
        """Handle the end of the connection's timeout."""

    def drop(self) -> None:
        """Close the connection at once."""


ConnectionT = TypeVar("ConnectionT", bound=LimitedConnection)


class ConnectionLimits(Generic[ConnectionT]):
    """The open connections, and the timeouts of those with no request in flight."""

    def __init__(self, max_connections: int) -> None:
        self._max_connections = max_connections
        self._loop = asyncio.get_running_loop()
        self._connections: set[ConnectionT] = set()
        # Loop time at which the timeout ends, of each connection with no request in flight. The order is the
        # one in which connections are evicted.
        self._timeouts_at_s: OrderedDict[ConnectionT, float] = OrderedDict()

    @property
    def connections(self) -> AbstractSet[ConnectionT]:
        """The open connections."""
        return self._connections

    def admit(self, connection: ConnectionT) -> bool:
        """Add a connection, and evict another if needed; False if there is no capacity.

        More connections than the limit would use up the descriptors that connections to endpoints need.
        """
        if len(self._connections) >= self._max_connections:
            if not self._timeouts_at_s:
                return False
            self._evict_waiting_connection()
        elif len(self._connections) >= IDLE_EVICTION_FRACTION * self._max_connections:
            self._evict_idle_connection()
        self._connections.add(connection)
        return True

    def remove(self, connection: ConnectionT) -> None:
        """Forget a connection that has ended."""
        self._connections.discard(connection)
        self.stop_timeout(connection)

    def start_receive_timeout(self, connection: ConnectionT) -> None:
        """Limit the time until the connection's next request is complete."""
        self._start_timeout(connection, RECEIVE_TIMEOUT_S)

    def start_idle_timeout(self, connection: ConnectionT) -> None:
        """Limit the time until the connection's next request begins."""
        self._start_timeout(connection, IDLE_TIMEOUT_S)

    def start_linger_timeout(self, connection: ConnectionT, evict_first: bool = False) -> None:
        """Limit the time until the client closes; `evict_first` makes it the first one to be evicted."""
        self._start_timeout(connection, LINGER_S)
        if evict_first:
            self._timeouts_at_s.move_to_end(connection, last=False)

    def stop_timeout(self, connection: ConnectionT) -> None:
        """End the connection's timeout; it is not evicted while it has none."""
        self._timeouts_at_s.pop(connection, None)

    def timeout_at_s(self, connection: ConnectionT) -> float | None:
        """The loop time at which the connection's timeout ends; None if none is running."""
        return self._timeouts_at_s.get(connection)

    def enforce_timeouts(self) -> None:
        """Notify each connection whose timeout has ended."""
        now_s = self._loop.time()
        expired = [connection for connection, at_s in self._timeouts_at_s.items() if at_s <= now_s]
        for connection in expired:
            connection.on_timeout()

    def _start_timeout(self, connection: ConnectionT, timeout_s: float) -> None:
        self._timeouts_at_s[connection] = self._loop.time() + timeout_s
        self._timeouts_at_s.move_to_end(connection)

    def _evict_waiting_connection(self) -> None:
        """Drop a connection with no request in flight; one with unread bytes, maybe a request, is last."""
        oldest = next(iter(self._timeouts_at_s))
        candidates = (connection for connection in self._timeouts_at_s if not connection.has_unread_bytes)
        next(candidates, oldest).drop()

    def _evict_idle_connection(self) -> None:
        """Drop the connection that has been idle for longest and has nothing to read or send, if any."""
        for connection in self._timeouts_at_s:
            if connection.is_idle and not connection.unsent_bytes and not connection.has_unread_bytes:
                connection.drop()
                return
