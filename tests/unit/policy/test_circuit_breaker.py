"""Every transition of the breaker."""

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

NOW = 1_000_000_000


@pytest.fixture
def breaker() -> CircuitBreaker:
    return CircuitBreaker(Random(1))


def fail(breaker: CircuitBreaker, now: int, times: int = FAILURE_THRESHOLD) -> None:
    for _ in range(times):
        breaker.record_failure(now, is_probe=False)


def reopening(breaker: CircuitBreaker, now: int) -> int:
    """How long an open breaker admits nothing from now on."""
    low, high = 0, 2 * MAX_COOLDOWN_US
    while low < high:
        middle = (low + high) // 2
        if breaker.admits(now + middle):
            high = middle
        else:
            low = middle + 1
    return low


def half_open(breaker: CircuitBreaker, now: int) -> int:
    """Start the trial of an open breaker; return when."""
    now += reopening(breaker, now)
    assert breaker.start_attempt()
    return now


def test_closed_it_admits_below_the_threshold(breaker: CircuitBreaker) -> None:
    fail(breaker, NOW, FAILURE_THRESHOLD - 1)
    assert breaker.is_closed
    assert breaker.admits(NOW)
    assert not breaker.start_attempt()


def test_a_success_clears_the_failures(breaker: CircuitBreaker) -> None:
    fail(breaker, NOW, FAILURE_THRESHOLD - 1)
    breaker.record_success(is_probe=False)
    fail(breaker, NOW, FAILURE_THRESHOLD - 1)
    assert breaker.is_closed


def test_old_failures_age_out(breaker: CircuitBreaker) -> None:
    fail(breaker, NOW, FAILURE_THRESHOLD - 1)
    fail(breaker, NOW + FAILURE_WINDOW_US, 1)
    assert breaker.is_closed


def test_failures_at_the_threshold_open_it_for_a_jittered_cooldown(breaker: CircuitBreaker) -> None:
    fail(breaker, NOW)
    assert not breaker.is_closed
    assert not breaker.admits(NOW)
    assert (
        BASE_COOLDOWN_US * (1 - COOLDOWN_JITTER)
        <= reopening(breaker, NOW)
        <= BASE_COOLDOWN_US * (1 + COOLDOWN_JITTER)
    )


def test_cooldowns_differ_between_breakers() -> None:
    found = set()
    for seed in range(5):
        breaker = CircuitBreaker(Random(seed))
        fail(breaker, NOW)
        found.add(reopening(breaker, NOW))
    assert len(found) == 5


def test_half_open_it_admits_a_single_trial(breaker: CircuitBreaker) -> None:
    fail(breaker, NOW)
    now = half_open(breaker, NOW)
    assert not breaker.admits(now + MAX_COOLDOWN_US)


def test_a_good_trial_closes_it_and_restores_the_base_cooldown(breaker: CircuitBreaker) -> None:
    fail(breaker, NOW)
    now = half_open(breaker, NOW)
    breaker.record_failure(now, is_probe=True)
    now = half_open(breaker, now)
    breaker.record_success(is_probe=True)
    assert breaker.is_closed
    fail(breaker, now)
    assert reopening(breaker, now) <= BASE_COOLDOWN_US * (1 + COOLDOWN_JITTER)


def test_failed_trials_double_the_cooldown_up_to_the_cap(breaker: CircuitBreaker) -> None:
    fail(breaker, NOW)
    now, expected = NOW, BASE_COOLDOWN_US
    for _ in range(12):
        now = half_open(breaker, now)
        breaker.record_failure(now, is_probe=True)
        expected = min(2 * expected, MAX_COOLDOWN_US)
        assert expected * (1 - COOLDOWN_JITTER) <= reopening(breaker, now) <= expected * (1 + COOLDOWN_JITTER)


def test_a_trial_given_up_frees_the_slot_without_a_verdict(breaker: CircuitBreaker) -> None:
    fail(breaker, NOW)
    now = half_open(breaker, NOW)
    breaker.abandon_probe()
    assert not breaker.is_closed
    assert breaker.admits(now)


def test_an_open_breaker_passes_over_late_failures_of_earlier_attempts(breaker: CircuitBreaker) -> None:
    fail(breaker, NOW)
    before = reopening(breaker, NOW)
    fail(breaker, NOW + 1)
    assert reopening(breaker, NOW) == before
