"""Counting of the file descriptors that connections to endpoints use."""

from __future__ import annotations


class DescriptorCount:
    """Counts open connections and connects in progress, and compares them with the connection limit."""

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self._connecting_count = 0
        self._connection_count = 0

    @property
    def connecting_count(self) -> int:
        """Number of connects in progress."""
        return self._connecting_count

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return self._connection_count

    @property
    def open_descriptors(self) -> int:
        """Upper bound on the descriptors in use; a connect that has just succeeded is counted twice."""
        return self._connecting_count + self._connection_count

    @property
    def is_limit_reached(self) -> bool:
        """Whether another connection would exceed the connection limit."""
        return self.open_descriptors >= self.max_connections

    def connect_started(self) -> None:
        """Count a connect that has started."""
        self._connecting_count += 1

    def connect_ended(self) -> None:
        """Stop counting a connect that has succeeded, failed or been cancelled."""
        self._connecting_count -= 1

    def connection_opened(self) -> None:
        """Count a connection that has been opened."""
        self._connection_count += 1

    def connection_closed(self) -> None:
        """Stop counting a connection that has been closed."""
        self._connection_count -= 1
