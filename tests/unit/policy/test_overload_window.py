"""The measurement that the slow start tests rely on: it finds overload, and counts only what it should."""

from __future__ import annotations

from math import sqrt

import pytest

from http_gateway.policy.endpoint import Endpoint
from http_gateway.policy.time_units import US_PER_MS, US_PER_S
from tests.support.fleet.fleet import START_AT_US, Fleet
from tests.support.fleet.overload_window import OverloadWindow, worst_overload_window
from tests.support.fleet.plan import FleetPlan
from tests.support.fleet.scenarios import FOUR_ZONES, slow_start_settings
from tests.support.fleet.simulated_endpoint import Arrival, SimulatedEndpoint


def test_overload_is_found_where_warm_up_buckets_are_refilled_too_fast() -> None:
    settings = slow_start_settings(
        overload_factor=1.5, overload_window_s=3.0, connect_timeout_s=0.1, initial_capacity=0.1
    )
    fleet = Fleet(
        FleetPlan(
            20, FOUR_ZONES, settings, capacity_per_s=60.0, offered_load=0.8, responses_earn_credit=False
        )
    )
    fleet.scale_refill(6)
    fleet.run(4)
    fleet.replace_endpoints(fleet.endpoints[:3])
    fleet.run(4)
    assert fleet.worst_overload_window().excess > 0


def window_of_thirty_arrivals(notified_gateways: frozenset[int]) -> OverloadWindow:
    """Thirty requests from three gateways, of which some were notified of the endpoint's start."""
    settings = slow_start_settings(overload_factor=2, overload_window_s=1, initial_capacity=0.5)
    simulated = SimulatedEndpoint(
        Endpoint(9, started_at_us=START_AT_US),
        warm_speed=10 / US_PER_S,
        initial_capacity=0.5,
        slow_start_window_us=40 * US_PER_S,
        is_slowed_by_warm_up=True,
        queue_capacity=50.0,
        list_version=1,
    )
    for number in range(30):
        gateway_index = number % 3
        at_us = START_AT_US + number * US_PER_MS
        simulated.record(Arrival(at_us, 1.0, gateway_index, gateway_index in notified_gateways))
    return worst_overload_window([simulated], settings)


def test_requests_of_gateways_that_were_not_notified_make_no_overload() -> None:
    excess_of_all = 30 - (10 + 2 * sqrt(10) + 2)
    of_all = window_of_thirty_arrivals(frozenset({0, 1, 2}))
    assert of_all.budget == pytest.approx(10)
    assert of_all.excess == pytest.approx(excess_of_all)
    # Two thirds of all thirty are too few for them to count, so the worst window is a smaller one.
    assert window_of_thirty_arrivals(frozenset({1, 2})).excess < excess_of_all
    assert window_of_thirty_arrivals(frozenset()).arrived == 0
