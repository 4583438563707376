"""Monitoring of event loop lag."""

from __future__ import annotations

import asyncio
import logging

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.1
LAG_WARNING_THRESHOLD_S = 0.05
_MS_PER_S = 1000


class LoopLagMonitor:
    """Logs a warning when the event loop runs late, because all its timers are then late as well.

    The monitor owns the task that measures the lag.
    """

    def __init__(self) -> None:
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to monitor the running event loop."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Stop the monitor; does nothing if it has not been started."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_at_s = loop.time() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            if loop.time() - due_at_s > LAG_WARNING_THRESHOLD_S:
                log.warning("event loop is late lag_ms=%d", (loop.time() - due_at_s) * _MS_PER_S)
