"""Counts the file descriptors of connections to endpoints."""

from __future__ import annotations


class DescriptorCount:
    """Connections that are up, and connects in progress, against their limit."""

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self._connecting_count = 0
        self._connection_count = 0

    @property
    def connecting_count(self) -> int:
        """Connects in progress."""
        return self._connecting_count

    @property
    def connection_count(self) -> int:
        """Connections that are up."""
        return self._connection_count

    @property
    def open_descriptors(self) -> int:
        """Descriptors in use at most: a connect that has just succeeded is counted twice."""
        return self._connecting_count + self._connection_count

    @property
    def is_limit_reached(self) -> bool:
        """Whether another connection would exceed the limit."""
        return self.open_descriptors >= self.max_connections

    def connect_started(self) -> None:
        """Count a connect."""
        self._connecting_count += 1

    def connect_ended(self) -> None:
        """A connect has succeeded, failed or was cancelled."""
        self._connecting_count -= 1

    def connection_opened(self) -> None:
        """Count a connection."""
        self._connection_count += 1

    def connection_closed(self) -> None:
        """A connection is closed."""
        self._connection_count -= 1
