"""Limit on the time that one iteration of the event loop spends on parsing what clients send."""

from __future__ import annotations

import time

from http_gateway.net.event_loop import PollTimes

# Parsing time in one iteration after which clients are read in small pieces until the next iteration.
MAX_PARSING_S = 0.02
SMALL_READ_BYTES = 1024  # more than most requests have


class ReadQuota:
    """Decides how much is read from a client at once, so that the others are not held up for long.

    Some bytes take a hundred times as long to parse as others (a body in chunks of one byte). Clients are
    read in small pieces once an iteration has taken long, and the rest stays in their sockets.

    Args:
        poll_times: The poll times of the event loop, which number its iterations.
        max_read_bytes: The size of a read in an iteration that has not taken long.
    """

    def __init__(self, poll_times: PollTimes, max_read_bytes: int) -> None:
        self._poll_times = poll_times
        self._max_read_bytes = max_read_bytes
        self._iteration = 0
        self._spent_s = 0.0
        self._started_at_s = 0.0

    def next_read_bytes(self) -> int:
        """Return how many bytes the next read may have."""
        if self._poll_times.count != self._iteration:
            self._iteration = self._poll_times.count
            self._spent_s = 0.0
        return self._max_read_bytes if self._spent_s < MAX_PARSING_S else SMALL_READ_BYTES

    def parsing_started(self) -> None:
        """Record that the bytes of a read are parsed from now on."""
        self._started_at_s = time.monotonic()

    def parsing_ended(self) -> None:
        """Record that the bytes of a read are parsed."""
        self._spent_s += time.monotonic() - self._started_at_s
