"""Lower bounds for the times at which the bytes of one client connection arrived.

A client's timeout starts when it has sent its request. The gateway may be held up before it accepts the
connection or reads the request, and this delay is part of the client's timeout.
"""

from __future__ import annotations

from http_gateway.net.event_loop import PollTimes


class ArrivalTimes:
    """Tracks after which time the bytes that a connection reads arrived.

    Args:
        poll_times: The poll times of the event loop.
        connected_after_s: Loop time after which the client connected; None if it is unknown.
    """

    __slots__ = ("_connected_after_s", "_first_poll", "_has_unread_rest", "_latest_s", "_poll_times")

    def __init__(self, poll_times: PollTimes, connected_after_s: float | None) -> None:
        self._poll_times = poll_times
        self._connected_after_s = connected_after_s
        self._first_poll = 0  # the first poll that can report bytes of this connection
        self._latest_s = connected_after_s
        self._has_unread_rest = False

    def reading_started(self) -> None:
        """Record that the event loop reports bytes of the connection from its next poll on."""
        self._first_poll = self._poll_times.count + 1

    def on_read(self, is_buffer_full: bool) -> float | None:
        """Return the loop time after which the bytes of a read arrived; None if it is unknown.

        Args:
            is_buffer_full: Whether the read filled the receive buffer. The bytes of the next read may then
                have arrived at the same time.
        """
        if self._poll_times.count <= self._first_poll:
            self._latest_s = self._connected_after_s
        elif not self._has_unread_rest:
            self._latest_s = self._poll_times.events_after_s
        self._has_unread_rest = is_buffer_full
        return self._latest_s
