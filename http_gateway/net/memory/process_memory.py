"""Resident memory of the gateway process, and a monitor that logs when it comes close to its limit."""

from __future__ import annotations

import asyncio
import logging
import resource
from collections.abc import Callable
from pathlib import Path

from http_gateway.net.memory.plan import BYTES_PER_MB

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.5
WARNING_FRACTION = 0.9  # of the limit
_PAGE_BYTES = resource.getpagesize()
_STATM = Path("/proc/self/statm")


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes; 0 if the system does not report it."""
    try:
        return int(_STATM.read_bytes().split()[1]) * _PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0


class MemoryMonitor:
    """Logs the resident memory, with what peers make the gateway hold, when it comes close to its limit.

    The monitor owns the timer of its next check.

    Args:
        limit_bytes: The memory limit of the process.
        describe_usage: Returns what the memory is used for, as `key=value` pairs.
    """

    def __init__(self, limit_bytes: int, describe_usage: Callable[[], str]) -> None:
        self._limit_bytes = limit_bytes
        self._describe_usage = describe_usage
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Log the memory at rest, and start to check it."""
        log.info(
            "memory at rest resident_mb=%.1f limit_mb=%.1f",
            resident_bytes() / BYTES_PER_MB,
            self._limit_bytes / BYTES_PER_MB,
        )
        self._schedule()

    def stop(self) -> None:
        """Stop the monitor; does nothing if it has not been started."""
        if self._timer is not None:
            self._timer.cancel()

    def _schedule(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        used_bytes = resident_bytes()
        if used_bytes > WARNING_FRACTION * self._limit_bytes:
            log.warning(
                "memory is near its limit resident_mb=%.1f limit_mb=%.1f %s",
                used_bytes / BYTES_PER_MB,
                self._limit_bytes / BYTES_PER_MB,
                self._describe_usage(),
            )
        self._schedule()
