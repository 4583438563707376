"""Adaptive limit of the attempts in flight at one endpoint."""

from __future__ import annotations

import pytest

from http_gateway.policy.concurrency_limit import DECREASE_FACTOR, INITIAL_LIMIT, MIN_LIMIT, ConcurrencyLimit


def test_attempts_in_flight_use_up_the_capacity() -> None:
    concurrency = ConcurrencyLimit(limit=2.9)
    concurrency.start_attempt()
    assert concurrency.has_capacity
    concurrency.start_attempt()
    assert not concurrency.has_capacity
    concurrency.end_attempt()
    assert concurrency.has_capacity


def test_in_flight_count_never_falls_below_zero() -> None:
    concurrency = ConcurrencyLimit()
    concurrency.end_attempt()
    assert concurrency.in_flight == 0


def test_limit_is_under_half_used_below_half_of_it() -> None:
    assert ConcurrencyLimit(in_flight=3, limit=8.0).is_under_half_used
    assert not ConcurrencyLimit(in_flight=4, limit=8.0).is_under_half_used


def test_increase_requires_about_half_of_the_limit_in_use() -> None:
    unused, used = ConcurrencyLimit(in_flight=2, limit=8.0), ConcurrencyLimit(in_flight=3, limit=8.0)
    unused.increase()
    used.increase()
    assert unused.limit == 8.0
    assert used.limit == 8.0 + 1 / 8


def test_decrease_multiplies_the_limit_down_to_the_minimum() -> None:
    concurrency = ConcurrencyLimit()
    concurrency.decrease(attempt_started_at_us=1, now_us=2)
    assert concurrency.limit == pytest.approx(INITIAL_LIMIT * DECREASE_FACTOR)
    for now_us in range(3, 30):
        concurrency.decrease(attempt_started_at_us=now_us, now_us=now_us)
    assert concurrency.limit == MIN_LIMIT
    assert concurrency.has_capacity


def test_decrease_ignores_attempts_that_started_before_the_last_decrease() -> None:
    concurrency = ConcurrencyLimit()
    concurrency.decrease(attempt_started_at_us=10, now_us=20)
    concurrency.decrease(attempt_started_at_us=19, now_us=30)
    assert concurrency.limit == pytest.approx(INITIAL_LIMIT * DECREASE_FACTOR)
    concurrency.decrease(attempt_started_at_us=20, now_us=30)
    assert concurrency.limit == pytest.approx(INITIAL_LIMIT * DECREASE_FACTOR**2)
