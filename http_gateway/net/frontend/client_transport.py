"""One client's transport, and what its socket shows before the event loop has read it."""

from __future__ import annotations

import asyncio
import select
import socket

# Where POLLRDHUP is missing, only a connection that is closed in both directions shows as disconnected.
_DISCONNECTED = getattr(select, "POLLRDHUP", select.POLLHUP)


class ClientTransport:
    """Writes to a client and polls its socket."""

    __slots__ = ("stream",)

    def __init__(self, stream: asyncio.Transport) -> None:
        self.stream = stream

    @property
    def is_closing(self) -> bool:
        """Whether the transport is closed or closing."""
        return self.stream.is_closing()

    @property
    def has_unread_bytes(self) -> bool:
        """Whether something was received that has not been read yet: a close would lose it."""
        return self._poll(select.POLLIN)

    @property
    def has_disconnected(self) -> bool:
        """Whether the client has ended the connection, even if unread bytes come first."""
        return self._poll(_DISCONNECTED)

    @property
    def unsent_bytes(self) -> int:
        """Written bytes that the system has not taken yet."""
        return self.stream.get_write_buffer_size()

    def write(self, data: bytes) -> None:
        """Send bytes."""
        self.stream.write(data)

    def write_eof(self) -> None:
        """End the sending direction once all is sent."""
        self.stream.write_eof()

    def close(self) -> None:
        """Close once all is sent."""
        self.stream.close()

    def abort(self) -> None:
        """Close at once."""
        self.stream.abort()

    def _poll(self, events: int) -> bool:
        if self.is_closing:
            return False
        return _has_event(self.stream.get_extra_info("socket"), events)


def _has_event(polled: socket.socket, events: int) -> bool:
    poll = select.poll()
    poll.register(polled, events)
    return any(found & (events | select.POLLERR | select.POLLHUP) for _, found in poll.poll(0))
