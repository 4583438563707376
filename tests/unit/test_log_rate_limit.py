"""Tests for the rate limit on log lines."""

from __future__ import annotations

import logging

from http_gateway.net.log_rate_limit import (
    MAX_ENTRY_CHARACTERS,
    MIN_INTERVAL_S,
    BoundedFormatter,
    LogRateLimiter,
)


def record_at(created_s: float, message: str, *arguments: object) -> logging.LogRecord:
    """Return a log record with the given creation time, in seconds."""
    record = logging.LogRecord("test", logging.INFO, __file__, 1, message, arguments, None)
    record.created = created_s
    return record


def test_one_line_per_template_and_interval_passes() -> None:
    limiter = LogRateLimiter()
    assert limiter.filter(record_at(100.0, "connect failed port=%d", 1))
    assert not limiter.filter(record_at(100.1, "connect failed port=%d", 2))
    assert limiter.filter(record_at(100.1, "shutdown started"))
    assert limiter.filter(record_at(100.0 + MIN_INTERVAL_S, "connect failed port=%d", 3))


def test_next_line_reports_the_number_of_suppressed_lines() -> None:
    limiter = LogRateLimiter()
    limiter.filter(record_at(100.0, "connect failed port=%d", 1))
    for _ in range(2):
        limiter.filter(record_at(100.5, "connect failed port=%d", 2))
    record = record_at(101.0, "connect failed port=%d", 3)
    assert limiter.filter(record)
    assert record.getMessage() == "connect failed port=3 suppressed_lines=2"
    later = record_at(102.0, "connect failed port=%d", 4)
    assert limiter.filter(later)
    assert later.getMessage() == "connect failed port=4"


def test_debug_lines_are_not_limited() -> None:
    limiter = LogRateLimiter()
    for _ in range(3):
        record = record_at(100.0, "attempt started request_id=%d", 1)
        record.levelno = logging.DEBUG
        assert limiter.filter(record)


def test_wall_clock_that_is_set_back_suppresses_no_line_for_longer() -> None:
    limiter = LogRateLimiter()
    assert limiter.filter(record_at(7200.0, "connect failed port=%d", 1))
    assert limiter.filter(record_at(3600.0, "connect failed port=%d", 2))
    assert not limiter.filter(record_at(3600.5, "connect failed port=%d", 3))


def test_long_entry_is_cut_off() -> None:
    long_name = "x" * 100_000
    record = logging.LogRecord("gateway", logging.INFO, "", 0, "lost name=%s", (long_name,), None)
    text = BoundedFormatter("%(message)s").format(record)
    assert len(text) < MAX_ENTRY_CHARACTERS + 100
    assert text.endswith(f"cut_characters={len('lost name=') + len(long_name) - MAX_ENTRY_CHARACTERS}")
