"""Whether the gateway is shutting down, and by when every request has to be answered."""

from __future__ import annotations

import asyncio
import math


class ShutdownState:
    """The deadline of the shutdown, once it has begun."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._deadline_at_s = math.inf

    @property
    def has_begun(self) -> bool:
        """Whether the shutdown has begun."""
        return self._deadline_at_s < math.inf

    @property
    def deadline_at_s(self) -> float:
        """The loop time by which every request has to be answered; infinity before the shutdown."""
        return self._deadline_at_s

    def begin(self, deadline_at_s: float) -> None:
        """Begin the shutdown, which ends at this loop time."""
        self._deadline_at_s = deadline_at_s

    def time_left_s(self) -> float:
        """The time until the deadline; infinity before the shutdown."""
        return self._deadline_at_s - self._loop.time()
