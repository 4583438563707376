"""The warm-up buckets of one gateway: reserved costs, credit for responses and refill rates."""

from __future__ import annotations

from dataclasses import replace
from math import e

import pytest

from http_gateway.policy.endpoint import Endpoint, EndpointId
from http_gateway.policy.events import Outcome, RequestId
from http_gateway.policy.slow_start import CREDIT_DECAY_WINDOWS, MAX_BURST_WINDOWS, SlowStart
from http_gateway.policy.time_units import US_PER_MS, US_PER_S
from http_gateway.policy.tracked_endpoint import TrackedEndpoint
from tests.support.fleet.scenarios import (
    CROSS_ZONE_COST,
    FOUR_ZONE_ENDPOINTS,
    UNIFORM_ENDPOINTS,
    EndpointAttributes,
    slow_start_settings,
    warm_endpoints,
)
from tests.support.policy_driver import PolicyDriver
from tests.support.slow_starts import slow_start_of
from tests.support.tracked_endpoints import track

COST_US = 10 * US_PER_MS
STEP_US = 10 * US_PER_MS


def reservations(driver: PolicyDriver, request_id: RequestId) -> list[tuple[EndpointId, float]]:
    """Return the reserved cost of each attempt of a pending request.

    Args:
        driver: The driver of the policy.
        request_id: The id of the request.

    Returns:
        The endpoint and the reserved cost in microseconds of work of each attempt; empty once the request has
        ended.
    """
    pending = driver.balancer._pending.get(request_id)
    if pending is None:
        return []
    return [(attempt.endpoint.id, attempt.reserved_cost_us) for attempt in pending.attempts]


def test_every_attempt_at_an_endpoint_warming_up_reserves_its_cost() -> None:
    """This holds for first attempts, retries, hedges and probes, whatever their outcome.

    Attempts at warm endpoints reserve nothing.
    """
    settings = replace(
        slow_start_settings(slow_start_window_s=1000),
        hedging_allowed=True,
        cancellation_allowed=True,
        max_attempts=9,
    )
    driver = PolicyDriver(settings, 0)
    warming_up = [
        Endpoint(endpoint_id, machine_type="x", started_at_us=driver.now_us) for endpoint_id in range(1, 5)
    ]
    driver.notify_endpoints((*warming_up, Endpoint(5, machine_type="x")))
    outcomes = [Outcome.OK, Outcome.REJECTED, Outcome.ERROR, Outcome.CONNECT_FAILED, Outcome.TIMEOUT]
    is_reserved: dict[bool, set[bool]] = {True: set(), False: set()}  # key: endpoint is warming up
    attempt_count = 0
    for number in range(6000):
        request_id = driver.send_request(cost_us=COST_US)
        for turn, outcome in zip(range(3), outcomes[number % 5 :] + outcomes, strict=False):
            if turn == 0 and driver.in_flight(request_id):  # the attempt is slow, so a hedge may start
                driver.advance(200 * US_PER_MS)
                driver.fire_timer(driver.now_us, f"{request_id}:0")
            for endpoint_id, reserved_cost_us in reservations(driver, request_id):
                is_reserved[endpoint_id < 5].add(reserved_cost_us == COST_US)
                attempt_count += endpoint_id < 5
            if driver.in_flight(request_id):
                driver.end_attempt(driver.in_flight(request_id)[0], outcome)
        driver.advance(10 * US_PER_MS)
    assert attempt_count > 50
    assert is_reserved == {True: {True}, False: {False}}


def test_response_earns_credit_that_decays() -> None:
    settings = slow_start_settings(overload_factor=3, overload_window_s=2, slow_start_window_s=1000)
    (tracked,) = track([Endpoint(1, machine_type="x", started_at_us=1)])
    slow_start, _ = slow_start_of(settings, [tracked])
    reserved_cost_us = slow_start.reserve(tracked, COST_US, 0)
    assert reserved_cost_us == COST_US
    assert tracked.warm_up_bucket.credit_tokens == 0
    slow_start.record_response(tracked, reserved_cost_us, COST_US, US_PER_S)
    assert tracked.warm_up_bucket.credit_tokens == pytest.approx(COST_US)
    decay_us = CREDIT_DECAY_WINDOWS * settings.overload_window_us
    tracked.warm_up_bucket.decay(decay_us, US_PER_S + round(decay_us))
    assert tracked.warm_up_bucket.credit_tokens == pytest.approx(COST_US / e)


@pytest.mark.parametrize("overload_factor", [1.05, 1.5, 2, 3, 4, 20])
@pytest.mark.parametrize("overload_window_s", [0.5, 2, 5])
@pytest.mark.parametrize("connect_timeout_s", [0.0, 0.25, 1.5, 10])
def test_refill_and_credit_within_an_overload_window_add_up_to_the_budget(
    overload_factor: float, overload_window_s: float, connect_timeout_s: float
) -> None:
    """All tokens that requests can use within an overload window add up to the overload budget.

    They are the refill during the window and the connect timeout, the refill that a bucket can hold, and the
    credit for responses.
    """
    settings = slow_start_settings(overload_factor, overload_window_s, connect_timeout_s)
    slow_start, _ = slow_start_of(settings, [])
    refill_time_s = overload_window_s + connect_timeout_s + MAX_BURST_WINDOWS * overload_window_s
    refilled = slow_start._refill_ratio * refill_time_s / overload_window_s
    credited = slow_start._credit_ratio / overload_factor * (1 + CREDIT_DECAY_WINDOWS)
    assert refilled + credited == pytest.approx(1)
    assert 0 < slow_start._credit_ratio <= 1
    assert refilled > 0.37


@pytest.mark.parametrize("weight", [0.0, -1.0, 1e300, -1e300, 1e-300])
def test_implausible_capacity_counts_as_one(weight: float) -> None:
    tracked_endpoints = track(
        [Endpoint(1, machine_type="x", weight=weight), Endpoint(2, machine_type="x", weight=1.0)]
    )
    slow_start, _ = slow_start_of(slow_start_settings(weights_are_capacities=True), tracked_endpoints)
    assert [slow_start.relative_demand(tracked) for tracked in tracked_endpoints] == [1.0, 1.0]


def admitted_count(slow_start: SlowStart, tracked: TrackedEndpoint, begin_s: int, duration_s: int) -> int:
    """Offer an endpoint one request at each step of a period.

    Args:
        slow_start: The instance that admits the requests.
        tracked: The endpoint.
        begin_s: The start of the period in seconds.
        duration_s: The length of the period in seconds.

    Returns:
        The number of requests that were admitted.
    """
    admitted = 0
    for now_us in range(begin_s * US_PER_S, (begin_s + duration_s) * US_PER_S, STEP_US):
        if slow_start.admits(tracked, COST_US, now_us):
            slow_start.reserve(tracked, COST_US, now_us)
            admitted += 1
    return admitted


def record_responses(slow_start: SlowStart, tracked: TrackedEndpoint, begin_s: int, duration_s: int) -> None:
    """Record one response of a warm endpoint at each step of a period; times are in seconds."""
    for now_us in range(begin_s * US_PER_S, (begin_s + duration_s) * US_PER_S, STEP_US):
        slow_start.record_response(tracked, 0, COST_US, now_us)


def test_endpoint_outside_the_subset_gets_one_request_each_window_from_all_gateways() -> None:
    gateway_count, duration_s = 40, 1600
    settings = replace(slow_start_settings(slow_start_window_s=10_000), gateway_count=gateway_count)
    # Two slices of four endpoints; the first ones are warm.
    tracked_endpoints = track(
        [
            *UNIFORM_ENDPOINTS[:1],
            *(Endpoint(endpoint_id, machine_type="x", started_at_us=1) for endpoint_id in range(101, 108)),
        ]
    )
    warm = tracked_endpoints[0]
    slow_start, subset = slow_start_of(settings, tracked_endpoints)
    member = next(tracked for tracked in subset.members if tracked is not warm)
    fallback = next(tracked for tracked in subset.fallbacks() if tracked is not warm)
    assert subset.slice_count == 2
    record_responses(slow_start, warm, 0, 20)
    expected = duration_s * US_PER_S / settings.overload_window_us / gateway_count
    admitted = admitted_count(slow_start, fallback, 20, duration_s)
    assert 0.4 * expected < admitted < 1.7 * expected
    record_responses(slow_start, warm, 20 + duration_s, 20)
    assert admitted_count(slow_start, member, 40 + duration_s, 2) > 10


@pytest.mark.parametrize("warm_zones", [set(), {"a"}, {"b"}, {"c", "d"}, {"a", "b", "c", "d"}])
@pytest.mark.parametrize("cross_zone_cost", [0.0, CROSS_ZONE_COST])
@pytest.mark.parametrize("weights_are_capacities", [False, True])
@pytest.mark.parametrize("gateway_count", [1, 30, 200])
def test_relative_demand_of_a_machine_type_has_a_mean_of_one_per_slice(
    gateway_count: int, weights_are_capacities: bool, cross_zone_cost: float, warm_zones: set[str]
) -> None:
    """This holds whichever zones the warm endpoints of the machine type are in."""
    shapes = [
        EndpointAttributes("a", "x", 0.5),
        EndpointAttributes("a", "y", 4.0),
        EndpointAttributes("b", "x", 1.0),
        EndpointAttributes("c", "x", 2.0),
        EndpointAttributes("d", "y", 1.0),
    ] * 4
    settings = replace(
        slow_start_settings(cross_zone_cost=cross_zone_cost, weights_are_capacities=weights_are_capacities),
        gateway_count=gateway_count,
        zone="a",
    )
    tracked_endpoints = track(
        replace(endpoint, started_at_us=0 if endpoint.zone in warm_zones else 1)
        for endpoint in warm_endpoints(shapes)
    )
    slow_start, subset = slow_start_of(settings, tracked_endpoints)
    for machine_type in "xy":
        of_type = [tracked for tracked in tracked_endpoints if tracked.endpoint.machine_type == machine_type]
        capacity = sum(tracked.endpoint.weight if weights_are_capacities else 1.0 for tracked in of_type)
        demand = sum(map(slow_start.relative_demand, of_type))
        assert demand / capacity == pytest.approx(subset.slice_count)


@pytest.mark.parametrize("cross_zone_cost", [0.0, CROSS_ZONE_COST])
def test_relative_demand_of_an_endpoint_has_a_mean_of_one_over_all_gateways(cross_zone_cost: float) -> None:
    """This holds if all zones have the same endpoints, also while one of the zones is warming up."""
    tracked_endpoints = track(
        replace(endpoint, started_at_us=1 if endpoint.zone == "a" else 0) for endpoint in FOUR_ZONE_ENDPOINTS
    )
    mean_demand = dict.fromkeys(tracked_endpoints, 0.0)
    for zone in "abcd":
        settings = replace(slow_start_settings(cross_zone_cost=cross_zone_cost), gateway_count=40, zone=zone)
        slow_start, subset = slow_start_of(settings, tracked_endpoints)
        for tracked in tracked_endpoints:
            # One gateway in `slice_count` has the endpoint in its subset.
            mean_demand[tracked] += slow_start.relative_demand(tracked) / subset.slice_count / 4
    assert list(mean_demand.values()) == pytest.approx([1.0] * len(tracked_endpoints))
