"""The time source of the gateway."""

from __future__ import annotations

import time

_NS_PER_US = 1_000
_NS_PER_S = 1_000_000_000


class Clock:
    """A clock that returns Unix time in microseconds and never runs backwards.

    The wall clock is read once, at construction. From then on the monotonic clock advances the time, so that
    adjustments of the system time have no effect.
    """

    def __init__(self) -> None:
        self._epoch_offset_ns = time.time_ns() - time.monotonic_ns()

    def now_us(self) -> int:
        """Return the current Unix time in microseconds."""
        return (self._epoch_offset_ns + time.monotonic_ns()) // _NS_PER_US

    def to_monotonic_s(self, at_us: int) -> float:
        """Convert a time of this clock to the monotonic clock, in seconds."""
        return (at_us * _NS_PER_US - self._epoch_offset_ns) / _NS_PER_S

    def from_monotonic_s(self, monotonic_s: float) -> int:
        """Convert a time of the monotonic clock, in seconds, which is also the event loop's clock."""
        return (self._epoch_offset_ns + round(monotonic_s * _NS_PER_S)) // _NS_PER_US
