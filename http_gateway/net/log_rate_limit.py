"""Limits on the rate and the length of log lines, because peers can trigger some of them with any content."""

from __future__ import annotations

import logging

MIN_INTERVAL_S = 1.0
MAX_ENTRY_CHARACTERS = 8000  # of a line with its traceback


class BoundedFormatter(logging.Formatter):
    """Cuts log entries off at a length; the names that peers choose can be very long."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the text of an entry, cut off at `MAX_ENTRY_CHARACTERS`."""
        text = super().format(record)
        if len(text) <= MAX_ENTRY_CHARACTERS:
            return text
        return f"{text[:MAX_ENTRY_CHARACTERS]}... cut_characters={len(text) - MAX_ENTRY_CHARACTERS}"


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
