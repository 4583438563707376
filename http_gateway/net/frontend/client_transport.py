"""Transport of a client connection, which can also poll the socket for events that asyncio has not read."""

from __future__ import annotations

import asyncio
import contextlib
import select
from enum import Enum

# POLLRDHUP reports that the peer has closed its sending side. On systems without it, POLLHUP reports only
# connections that are closed in both directions.
_DISCONNECT_EVENT = getattr(select, "POLLRDHUP", select.POLLHUP)


class ClientPresence(Enum):
    """Whether a client still waits for its response."""

    CONNECTED = "connected"
    DISCONNECTED = "disconnected"
    UNKNOWN = "unknown"  # the client may have disconnected behind bytes that are unread


class ClientTransport:
    """Writes to a client and polls the client's socket.

    Args:
        asyncio_transport: The asyncio transport of the connection.
    """

    __slots__ = ("asyncio_transport",)

    def __init__(self, asyncio_transport: asyncio.Transport) -> None:
        self.asyncio_transport = asyncio_transport

    @property
    def is_closing(self) -> bool:
        """Whether the transport is closed or closing."""
        return self.asyncio_transport.is_closing()

    @property
    def has_unread_bytes(self) -> bool:
        """Whether the socket holds bytes that asyncio has not read yet and that a close would lose."""
        return self._poll_events(select.POLLIN) != 0

    @property
    def presence(self) -> ClientPresence:
        """Whether the client still waits, even if the event loop has not read its disconnect yet.

        The operating system learns of a disconnect only when it has room for the bytes before it.
        """
        events = self._poll_events(select.POLLIN | _DISCONNECT_EVENT)
        if events & (_DISCONNECT_EVENT | select.POLLERR | select.POLLHUP):
            return ClientPresence.DISCONNECTED
        return ClientPresence.UNKNOWN if events & select.POLLIN else ClientPresence.CONNECTED

    @property
    def unsent_bytes(self) -> int:
        """Number of written bytes that the operating system has not accepted for sending yet."""
        return self.asyncio_transport.get_write_buffer_size()

    def write(self, data: bytes) -> None:
        """Send bytes, which are buffered until the operating system accepts them."""
        self.asyncio_transport.write(data)

    def write_eof(self) -> None:
        """Close the sending side of the connection after all written bytes are sent."""
        with contextlib.suppress(OSError):  # the client has reset the connection, which asyncio reports
            self.asyncio_transport.write_eof()

    def close(self) -> None:
        """Close the connection after all written bytes are sent."""
        self.asyncio_transport.close()

    def abort(self) -> None:
        """Close the connection at once and discard unsent bytes."""
        self.asyncio_transport.abort()

    def _poll_events(self, events: int) -> int:
        """Return the events that the operating system reports for the socket; none if it is closing."""
        if self.is_closing:
            return 0
        poll = select.poll()
        poll.register(self.asyncio_transport.get_extra_info("socket"), events)
        return sum(reported_events for _, reported_events in poll.poll(0))
