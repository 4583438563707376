"""A queue that runs scheduled events in the order of their virtual time."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count


class EventQueue:
    """A virtual clock in microseconds that runs scheduled events.

    Events that are due at the same time run in the order in which they were scheduled.
    """

    def __init__(self, now_us: int) -> None:
        self._now_us = now_us
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence_numbers = count()

    @property
    def now_us(self) -> int:
        """The current virtual time in microseconds."""
        return self._now_us

    def schedule(self, delay_us: int, event: Callable[[], None]) -> None:
        """Schedule an event to run after a delay in microseconds."""
        heappush(self._events, (self._now_us + delay_us, next(self._sequence_numbers), event))

    def run_for(self, duration_us: int) -> None:
        """Advance the clock by a duration, and run the events that become due."""
        end_at_us = self._now_us + duration_us
        while self._events and self._events[0][0] <= end_at_us:
            self._now_us, _, event = heappop(self._events)
            event()
        self._now_us = end_at_us
