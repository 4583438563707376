"""The event loop of the gateway, which records when it looked for events.

An event that one poll reports first had not happened when the previous poll looked for it. So the start of
the previous poll is a lower bound for the time of the event, even if the process was held up in between.
"""

from __future__ import annotations

import asyncio
import selectors
import time

# Longest wait for events. It limits how far the lower bound can be from the true time of an event.
MAX_POLL_S = 0.02


class PollTimes:
    """The starts of the latest two polls for events, in loop time."""

    __slots__ = ("_current_started_at_s", "_previous_started_at_s", "count")

    def __init__(self) -> None:
        self.count = 0
        self._current_started_at_s: float | None = None
        self._previous_started_at_s: float | None = None

    @property
    def events_after_s(self) -> float | None:
        """Loop time after which the events of the current poll happened; None before the second poll.

        Only valid for an event that the previous poll would have reported if it had already happened.
        """
        return self._previous_started_at_s

    def poll_started(self, now_s: float) -> None:
        """Record the start of a poll."""
        self.count += 1
        self._previous_started_at_s, self._current_started_at_s = self._current_started_at_s, now_s


class _TimedSelector(selectors.DefaultSelector):
    """A selector that records the start of each poll and limits its length.

    Args:
        poll_times: Where the starts are recorded.
    """

    def __init__(self, poll_times: PollTimes) -> None:
        super().__init__()
        self._poll_times = poll_times

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events; return none if there are none within the timeout or within `MAX_POLL_S`."""
        self._poll_times.poll_started(time.monotonic())
        return super().select(MAX_POLL_S if timeout is None else min(timeout, MAX_POLL_S))


class GatewayEventLoop(asyncio.SelectorEventLoop):
    """An event loop that records when it polls for events."""

    def __init__(self) -> None:
        self.poll_times = PollTimes()
        super().__init__(_TimedSelector(self.poll_times))


def running_poll_times() -> PollTimes:
    """Return the poll times of the running event loop; they stay empty if the loop does not record them."""
    loop = asyncio.get_running_loop()
    return loop.poll_times if isinstance(loop, GatewayEventLoop) else PollTimes()
