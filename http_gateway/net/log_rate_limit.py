"""Limits the rate of log lines, some of which peers can cause at will."""

from __future__ import annotations

import logging

MIN_INTERVAL_S = 1.0


class LogRateLimiter(logging.Filter):
    """Passes one line per message text and interval; the next one reports how many were suppressed.

    The text is the one before its arguments are filled in, so the state is bounded by the source code.
    """

    def __init__(self) -> None:
        super().__init__()
        self._passed_at_s: dict[str, float] = {}
        self._suppressed_counts: dict[str, int] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line passes; the count of suppressed lines is appended to it."""
        message = str(record.msg)
        if record.created < self._passed_at_s.get(message, 0.0) + MIN_INTERVAL_S:
            self._suppressed_counts[message] = self._suppressed_counts.get(message, 0) + 1
            return False
        self._passed_at_s[message] = record.created
        suppressed_count = self._suppressed_counts.pop(message, 0)
        if suppressed_count:
            record.msg = f"{message} suppressed_lines={suppressed_count}"
        return True
