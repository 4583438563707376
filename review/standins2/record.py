"""The record of a run: what was sent, answered and run."""

from __future__ import annotations

import asyncio
import contextlib
import time
from pathlib import Path

LAG_CHECK_S = 0.01


class Record:
    """Collects lines with their time and writes them to a file.

    Attributes:
        max_lag_s: The longest time for which the stand-ins themselves were held up.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._lines: list[tuple[float, str]] = []
        self._started_at_s = time.time()
        self.max_lag_s = 0.0

    def add(self, text: str, at_s: float | None = None) -> None:
        """Add a line with the time of its event, which is now unless it is given."""
        self._lines.append((time.time() if at_s is None else at_s, text))

    def conclude(self, text: str) -> None:
        """Add a line and print it."""
        self.add(text)
        print(text)

    def write(self) -> None:
        """Write all lines in the order of their times, in seconds since the start."""
        lines = sorted(self._lines, key=lambda line: line[0])
        text = "".join(f"{at_s - self._started_at_s:9.4f} {line}\n" for at_s, line in lines)
        self._path.write_text(text)

    async def watch_lag(self) -> None:
        """Measure for how long this process is held up, until cancelled."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(asyncio.CancelledError):
            while True:
                due_at_s = loop.time() + LAG_CHECK_S
                await asyncio.sleep(LAG_CHECK_S)
                self.max_lag_s = max(self.max_lag_s, loop.time() - due_at_s)
