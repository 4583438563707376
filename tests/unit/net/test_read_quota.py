"""Tests of the limit on the time that one iteration of the event loop parses."""

from __future__ import annotations

import time

import pytest

from http_gateway.net.event_loop import PollTimes
from http_gateway.net.frontend.read_quota import MAX_PARSING_S, SMALL_READ_BYTES, ReadQuota

MAX_READ_BYTES = 65536


def test_reads_are_small_after_long_parsing_until_the_next_iteration(monkeypatch: pytest.MonkeyPatch) -> None:
    now_s = 0.0
    monkeypatch.setattr(time, "monotonic", lambda: now_s)
    poll_times = PollTimes()
    quota = ReadQuota(poll_times, MAX_READ_BYTES)
    poll_times.poll_started(now_s)
    for _ in range(2):
        assert quota.next_read_bytes() == MAX_READ_BYTES
        quota.parsing_started()
        now_s += 0.6 * MAX_PARSING_S
        quota.parsing_ended()
    assert quota.next_read_bytes() == SMALL_READ_BYTES
    poll_times.poll_started(now_s)
    assert quota.next_read_bytes() == MAX_READ_BYTES
