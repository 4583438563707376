"""Adaptive limit of the attempts in flight at one endpoint (additive increase, multiplicative decrease)."""

from __future__ import annotations

INITIAL_LIMIT = 8.0
MIN_LIMIT = 1.0
DECREASE_FACTOR = 0.7


class ConcurrencyLimit:
    """The number of attempts in flight at an endpoint, and its limit."""

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
        """Stop counting an attempt that has ended."""
        self.in_flight = max(0, self.in_flight - 1)

    def increase(self) -> None:
        """Raise the limit after a response in time.

        The limit rises only while at least half of it, less one attempt, is in use.
        """
        if 2 * self.in_flight >= self.limit - 2:
            self.limit += min(self.limit, 1 / self.limit)

    def decrease(self, attempt_started_at_us: int, now_us: int) -> None:
        """Lower the limit after an attempt that indicates overload.

        A single stall delays every attempt in flight. Attempts that started before the last decrease are
        therefore ignored, so that one stall lowers the limit only once.
        """
        if attempt_started_at_us >= self.decreased_at_us:
            self.limit = max(MIN_LIMIT, self.limit * DECREASE_FACTOR)
            self.decreased_at_us = now_us
