"""The adaptive limit of attempts in flight at one endpoint (additive increase, multiplicative decrease)."""

from __future__ import annotations

INITIAL_LIMIT = 8.0
MIN_LIMIT = 1.0
DECREASE_FACTOR = 0.7


class ConcurrencyLimit:
    """Attempts in flight at an endpoint and how many there may be."""

    __slots__ = ("decreased_at_us", "in_flight", "limit")

    def __init__(self, in_flight: int = 0, limit: float = INITIAL_LIMIT) -> None:
        self.in_flight = in_flight
        self.limit = limit
        self.decreased_at_us = 0

    @property
    def has_capacity(self) -> bool:
        """Whether another attempt may start."""
        return self.in_flight < int(self.limit)

    @property
    def is_under_half_used(self) -> bool:
        """Whether less than half of the limit is in use."""
        return 2 * self.in_flight < self.limit

    def start_attempt(self) -> None:
        """Count an attempt that starts."""
        self.in_flight += 1

    def end_attempt(self) -> None:
        """Count an attempt that has ended."""
        self.in_flight = max(0, self.in_flight - 1)

    def increase(self) -> None:
        """Raise the limit after a response in time, if it is nearly reached."""
        if 2 * self.in_flight >= self.limit - 2:
            self.limit += min(self.limit, 1 / self.limit)

    def decrease(self, attempt_started_at_us: int, now_us: int) -> None:
        """Lower the limit after a sign of overload.

        One stall delays every attempt in flight, so attempts from before the last decrease do not count.
        """
        if attempt_started_at_us >= self.decreased_at_us:
            self.limit = max(MIN_LIMIT, self.limit * DECREASE_FACTOR)
            self.decreased_at_us = now_us
