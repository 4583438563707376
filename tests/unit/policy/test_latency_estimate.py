"""The latency to expect of a request."""

from __future__ import annotations

import pytest

from http_gateway.policy.latency_estimate import INITIAL_OBJECTIVE_FRACTION, STEP_FACTOR, LatencyEstimate
from tests.support.pending_requests import pending_request
from tests.support.policy_driver import BUY, READ

INITIAL_US = READ.latency_objective_us * INITIAL_OBJECTIVE_FRACTION


@pytest.mark.parametrize("cost_us", [0, 1, 40_000])
def test_estimate_before_the_first_response_is_a_fraction_of_the_latency_objective(cost_us: int) -> None:
    assert LatencyEstimate().expected_us(pending_request(cost_us=cost_us)) == pytest.approx(INITIAL_US)


def test_estimate_follows_responses_step_by_step() -> None:
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
    of_one = estimate.expected_us(pending_request(cost_us=100))
    assert estimate.expected_us(pending_request(cost_us=300)) == pytest.approx(3 * of_one)


def test_estimate_is_kept_for_each_request_class() -> None:
    estimate = LatencyEstimate()
    estimate.record(pending_request(READ), 1000)
    assert estimate.expected_us(pending_request(BUY)) == BUY.latency_objective_us * INITIAL_OBJECTIVE_FRACTION


def test_estimate_does_not_fall_below_a_microsecond() -> None:
    estimate, pending = LatencyEstimate(), pending_request(cost_us=10)
    estimate.record(pending, 0)
    assert estimate.expected_us(pending) == pytest.approx(1)


def test_expected_latency_stands_for_a_cost_that_is_not_known() -> None:
    estimate = LatencyEstimate()
    assert estimate.cost_us(pending_request(cost_us=700)) == 700
    assert estimate.cost_us(pending_request(cost_us=0)) == pytest.approx(INITIAL_US)
