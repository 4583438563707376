"""Tests of the load score of an endpoint."""

from __future__ import annotations

import pytest

from http_gateway.policy.load_score import LATENCY_RATIO_GAIN, LATENCY_RATIO_WINDOW_US, LoadScore

FAILURE_WINDOW_US = 1000


def test_score_counts_attempts_in_flight_and_the_next_one() -> None:
    assert LoadScore(FAILURE_WINDOW_US).score(in_flight=0, now_us=0) == 1
    assert LoadScore(FAILURE_WINDOW_US).score(in_flight=3, now_us=0) == 4


def test_latency_ratio_multiplies_the_score_until_it_has_decayed() -> None:
    load = LoadScore(FAILURE_WINDOW_US)
    load.record_latency(latency_us=300, expected_us=100, now_us=0)
    ratio = 1 + LATENCY_RATIO_GAIN * 2
    assert load.score(1, 0) == pytest.approx(2 * ratio)
    assert load.score(1, LATENCY_RATIO_WINDOW_US // 2) == pytest.approx(2 * (1 + (ratio - 1) / 2))
    assert load.score(1, LATENCY_RATIO_WINDOW_US) == 2


def test_failure_counts_as_an_attempt_in_flight_until_it_has_decayed() -> None:
    load = LoadScore(FAILURE_WINDOW_US)
    load.record_failure(now_us=0)
    assert load.score(0, 0) == 2
    assert load.score(0, FAILURE_WINDOW_US // 2) == pytest.approx(1.5)
    assert load.score(0, FAILURE_WINDOW_US) == 1


def test_new_failure_adds_to_the_decayed_earlier_failures() -> None:
    load = LoadScore(FAILURE_WINDOW_US)
    load.record_failure(now_us=0)
    load.record_failure(now_us=FAILURE_WINDOW_US // 2)
    assert load.score(0, FAILURE_WINDOW_US // 2) == pytest.approx(2.5)
