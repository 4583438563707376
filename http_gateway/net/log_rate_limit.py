"""Rate limit for log lines, because clients and endpoints can trigger some of them at any rate."""

from __future__ import annotations

import logging

MIN_INTERVAL_S = 1.0


class LogRateLimiter(logging.Filter):
    """Passes one line per message template and interval, and suppresses the others; passes all DEBUG lines.

    The next line that passes reports how many were suppressed. The template is the message before its
    arguments are filled in. The state is therefore bounded by the number of log calls in the source code.
    """

    def __init__(self) -> None:
        super().__init__()
        self._last_passed_at_s: dict[str, float] = {}
        self._suppressed_counts: dict[str, int] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line passes, and append the number of suppressed lines to its message."""
        if record.levelno <= logging.DEBUG:  # switched on to follow each request
            return True
        message = str(record.msg)
        since_last_s = record.created - self._last_passed_at_s.get(message, 0.0)
        if 0 <= since_last_s < MIN_INTERVAL_S:  # negative after the wall clock was set back
            self._suppressed_counts[message] = self._suppressed_counts.get(message, 0) + 1
            return False
        self._last_passed_at_s[message] = record.created
        suppressed_count = self._suppressed_counts.pop(message, 0)
        if suppressed_count:
            record.msg = f"{message} suppressed_lines={suppressed_count}"
        return True
