"""State of the gateway's shutdown: whether it has begun, and its deadline."""

from __future__ import annotations

import asyncio
import math


class ShutdownState:
    """Records the deadline of the shutdown, which is infinity until the shutdown begins."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._deadline_at_s = math.inf

    @property
    def has_begun(self) -> bool:
        """Whether the shutdown has begun."""
        return self._deadline_at_s < math.inf

    @property
    def deadline_at_s(self) -> float:
        """Event loop time, in seconds, by which requests must be answered; infinity before the shutdown."""
        return self._deadline_at_s

    def begin(self, deadline_at_s: float) -> None:
        """Begin the shutdown.

        Args:
            deadline_at_s: Event loop time, in seconds, by which every request must be answered.
        """
        self._deadline_at_s = deadline_at_s

    def time_left_s(self) -> float:
        """Return the time until the deadline, in seconds; infinity before the shutdown."""
        return self._deadline_at_s - self._loop.time()
