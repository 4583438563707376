"""The gateway's clock."""

from __future__ import annotations

import time

_NS_PER_US = 1_000


class Clock:
    """Unix time in microseconds that never runs backwards.

    The wall clock is read once; the monotonic clock advances it.
    """

    def __init__(self) -> None:
        self._anchor_ns = time.time_ns() - time.monotonic_ns()

    def now_us(self) -> int:
        """The present moment."""
        return (self._anchor_ns + time.monotonic_ns()) // _NS_PER_US
