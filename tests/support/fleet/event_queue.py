"""Virtual time: events that are due at later moments, run in order."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count


class EventQueue:
    """A clock in microseconds that runs scheduled events.

    Of two events at one moment, the one that was scheduled first runs first.
    """

    def __init__(self, now_us: int) -> None:
        self._now_us = now_us
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._numbers = count()

    @property
    def now_us(self) -> int:
        """The present moment."""
        return self._now_us

    def schedule(self, delay_us: int, event: Callable[[], None]) -> None:
        """Run an event after a delay."""
        heappush(self._events, (self._now_us + delay_us, next(self._numbers), event))

    def run_for(self, duration_us: int) -> None:
        """Let time pass, and run the events that are due within it."""
        end_at_us = self._now_us + duration_us
        while self._events and self._events[0][0] <= end_at_us:
            self._now_us, _, event = heappop(self._events)
            event()
        self._now_us = end_at_us
