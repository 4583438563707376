"""State transitions of the circuit breaker."""

from __future__ import annotations

from random import Random

import pytest

from http_gateway.policy.circuit_breaker import (
    BASE_COOLDOWN_US,
    COOLDOWN_JITTER,
    FAILURE_THRESHOLD,
    FAILURE_WINDOW_US,
    MAX_COOLDOWN_US,
    CircuitBreaker,
)
from http_gateway.policy.open_breakers import OpenBreakerCount

NOW_US = 1_000_000_000


@pytest.fixture
def breaker() -> CircuitBreaker:
    """Return a closed breaker."""
    return CircuitBreaker(Random(1), OpenBreakerCount())


def record_failures(breaker: CircuitBreaker, now_us: int, count: int = FAILURE_THRESHOLD) -> None:
    for _ in range(count):
        breaker.record_failure(now_us, is_probe=False)


def cooldown_us(breaker: CircuitBreaker, now_us: int) -> int:
    """Return the time from now until an open breaker admits a request, found by binary search."""
    low, high = 0, 2 * MAX_COOLDOWN_US
    while low < high:
        middle = (low + high) // 2
        if breaker.admits(now_us + middle):
            high = middle
        else:
            low = middle + 1
    return low


def start_probe(breaker: CircuitBreaker, now_us: int) -> int:
    """Start the probe of an open breaker at the end of its cooldown; return the time of the start."""
    now_us += cooldown_us(breaker, now_us)
    assert breaker.start_attempt()
    return now_us


def test_closed_breaker_admits_below_the_failure_threshold(breaker: CircuitBreaker) -> None:
    record_failures(breaker, NOW_US, FAILURE_THRESHOLD - 1)
    assert breaker.is_closed
    assert breaker.admits(NOW_US)
    assert not breaker.start_attempt()


def test_success_clears_the_failures(breaker: CircuitBreaker) -> None:
    record_failures(breaker, NOW_US, FAILURE_THRESHOLD - 1)
    breaker.record_success(is_probe=False)
    record_failures(breaker, NOW_US, FAILURE_THRESHOLD - 1)
    assert breaker.is_closed


def test_failures_expire_after_the_failure_window(breaker: CircuitBreaker) -> None:
    record_failures(breaker, NOW_US, FAILURE_THRESHOLD - 1)
    record_failures(breaker, NOW_US + FAILURE_WINDOW_US, 1)
    assert breaker.is_closed


def test_failures_at_the_threshold_open_the_breaker_for_a_jittered_cooldown(breaker: CircuitBreaker) -> None:
    record_failures(breaker, NOW_US)
    assert not breaker.is_closed
    assert not breaker.admits(NOW_US)
    shortest_us, longest_us = (
        BASE_COOLDOWN_US * (1 - COOLDOWN_JITTER),
        BASE_COOLDOWN_US * (1 + COOLDOWN_JITTER),
    )
    assert shortest_us <= cooldown_us(breaker, NOW_US) <= longest_us


def test_cooldowns_differ_between_breakers() -> None:
    cooldowns_us = set()
    for seed in range(5):
        breaker = CircuitBreaker(Random(seed), OpenBreakerCount())
        record_failures(breaker, NOW_US)
        cooldowns_us.add(cooldown_us(breaker, NOW_US))
    assert len(cooldowns_us) == 5


def test_half_open_breaker_admits_a_single_probe(breaker: CircuitBreaker) -> None:
    record_failures(breaker, NOW_US)
    now_us = start_probe(breaker, NOW_US)
    assert not breaker.admits(now_us + MAX_COOLDOWN_US)


def test_successful_probe_closes_the_breaker_and_restores_the_base_cooldown(breaker: CircuitBreaker) -> None:
    record_failures(breaker, NOW_US)
    now_us = start_probe(breaker, NOW_US)
    breaker.record_failure(now_us, is_probe=True)
    now_us = start_probe(breaker, now_us)
    breaker.record_success(is_probe=True)
    assert breaker.is_closed
    record_failures(breaker, now_us)
    assert cooldown_us(breaker, now_us) <= BASE_COOLDOWN_US * (1 + COOLDOWN_JITTER)


def test_failed_probes_double_the_cooldown_up_to_the_cap(breaker: CircuitBreaker) -> None:
    record_failures(breaker, NOW_US)
    now_us, expected_us = NOW_US, BASE_COOLDOWN_US
    for _ in range(12):
        now_us = start_probe(breaker, now_us)
        breaker.record_failure(now_us, is_probe=True)
        expected_us = min(2 * expected_us, MAX_COOLDOWN_US)
        shortest_us, longest_us = expected_us * (1 - COOLDOWN_JITTER), expected_us * (1 + COOLDOWN_JITTER)
        assert shortest_us <= cooldown_us(breaker, now_us) <= longest_us


def test_abandoned_probe_frees_its_slot_without_closing_the_breaker(breaker: CircuitBreaker) -> None:
    record_failures(breaker, NOW_US)
    now_us = start_probe(breaker, NOW_US)
    breaker.abandon_probe()
    assert not breaker.is_closed
    assert breaker.admits(now_us)


def test_open_breaker_ignores_failures_of_attempts_that_started_before_it_opened(
    breaker: CircuitBreaker,
) -> None:
    record_failures(breaker, NOW_US)
    cooldown_before_us = cooldown_us(breaker, NOW_US)
    record_failures(breaker, NOW_US + 1)
    assert cooldown_us(breaker, NOW_US) == cooldown_before_us
