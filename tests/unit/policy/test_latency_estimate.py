"""Tests of the latency estimate."""

from __future__ import annotations

import pytest

from http_gateway.policy.latency_estimate import INITIAL_OBJECTIVE_FRACTION, STEP_FACTOR, LatencyEstimate
from tests.support.pending_requests import pending_request
from tests.support.policy_driver import BUY, READ

INITIAL_US = READ.latency_objective_us * INITIAL_OBJECTIVE_FRACTION


@pytest.mark.parametrize("cost_us", [0, 1, 40_000])
def test_initial_estimate_is_a_fraction_of_the_latency_objective(cost_us: int) -> None:
    assert LatencyEstimate().expected_us(pending_request(cost_us=cost_us)) == pytest.approx(INITIAL_US)


def test_each_response_moves_the_estimate_by_one_step() -> None:
    estimate, pending = LatencyEstimate(), pending_request()
    estimate.record(pending, 1000)
    first_us = estimate.expected_us(pending)
    assert first_us == pytest.approx(1000 / STEP_FACTOR)
    estimate.record(pending, 9000)
    assert estimate.expected_us(pending) == pytest.approx(first_us * STEP_FACTOR)
    estimate.record(pending, 10)
    assert estimate.expected_us(pending) == pytest.approx(first_us)


def test_estimate_is_proportional_to_the_cost() -> None:
    estimate = LatencyEstimate()
    estimate.record(pending_request(cost_us=100), 1000)
    expected_us_at_cost_100 = estimate.expected_us(pending_request(cost_us=100))
    assert estimate.expected_us(pending_request(cost_us=300)) == pytest.approx(3 * expected_us_at_cost_100)


def test_each_request_class_has_its_own_estimate() -> None:
    estimate = LatencyEstimate()
    estimate.record(pending_request(READ), 1000)
    assert estimate.expected_us(pending_request(BUY)) == BUY.latency_objective_us * INITIAL_OBJECTIVE_FRACTION


def test_estimate_is_at_least_one_microsecond() -> None:
    estimate, pending = LatencyEstimate(), pending_request(cost_us=10)
    estimate.record(pending, 0)
    assert estimate.expected_us(pending) == pytest.approx(1)


def test_expected_latency_replaces_an_unknown_cost() -> None:
    estimate = LatencyEstimate()
    assert estimate.cost_us(pending_request(cost_us=700)) == 700
    assert estimate.cost_us(pending_request(cost_us=0)) == pytest.approx(INITIAL_US)
