"""The overload measurement of the simulated fleet detects overload and ignores unnotified gateways.

The slow-start tests rely on this measurement: if it missed overload, they would pass without checking
anything.
"""

from __future__ import annotations

from math import sqrt

import pytest

from http_gateway.policy.endpoint import Endpoint
from http_gateway.policy.time_units import US_PER_MS, US_PER_S
from tests.support.fleet.fleet import START_AT_US, Fleet
from tests.support.fleet.overload_window import OverloadWindow, worst_overload_window
from tests.support.fleet.plan import FleetPlan
from tests.support.fleet.scenarios import FOUR_ZONE_ENDPOINTS, slow_start_settings
from tests.support.fleet.simulated_endpoint import Arrival, SimulatedEndpoint


def test_overload_is_detected_when_warm_up_buckets_refill_too_fast() -> None:
    settings = slow_start_settings(
        overload_factor=1.5, overload_window_s=3.0, connect_timeout_s=0.1, initial_capacity=0.1
    )
    fleet = Fleet(
        FleetPlan(
            20,
            FOUR_ZONE_ENDPOINTS,
            settings,
            capacity_per_s=60.0,
            offered_load=0.8,
            responses_earn_credit=False,
        )
    )
    fleet.scale_refill(6)
    fleet.run(4)
    fleet.replace_endpoints(fleet.endpoints[:3])
    fleet.run(4)
    assert fleet.worst_overload_window().excess > 0


def window_of_thirty_arrivals(notified_gateways: frozenset[int]) -> OverloadWindow:
    """Measure thirty requests that three gateways send in turn within 30 ms.

    Args:
        notified_gateways: The indexes of the gateways that know of the endpoint's start.

    Returns:
        The worst overload window of the endpoint, or an empty one if no window counts.
    """
    settings = slow_start_settings(overload_factor=2, overload_window_s=1, initial_capacity=0.5)
    simulated = SimulatedEndpoint(
        Endpoint(9, started_at_us=START_AT_US),
        warm_service_rate=10 / US_PER_S,
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


def test_requests_from_unnotified_gateways_are_not_counted_as_overload() -> None:
    excess_of_all = 30 - (10 + 2 * sqrt(10) + 2)
    all_notified = window_of_thirty_arrivals(frozenset({0, 1, 2}))
    assert all_notified.budget == pytest.approx(10)
    assert all_notified.excess == pytest.approx(excess_of_all)
    # A window counts only if more than two thirds of its requests come from notified gateways. Two of three
    # gateways send exactly two thirds of the thirty requests, so the worst window that counts is a shorter
    # one.
    assert window_of_thirty_arrivals(frozenset({1, 2})).excess < excess_of_all
    assert window_of_thirty_arrivals(frozenset()).arrived == 0
