"""The distribution of requests over zones if requests to other zones have a cost."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from http_gateway.policy.capacity_totals import CapacityTotals
from http_gateway.policy.endpoint import Endpoint
from http_gateway.policy.settings import Settings
from http_gateway.policy.time_units import US_PER_MS, US_PER_S
from http_gateway.policy.zone_weights import zone_weights
from tests.support.policy_driver import CLASSES, PolicyDriver

NOW_US = 1000 * US_PER_S
ENDPOINTS_PER_ZONE = [(10, 10, 10), (5, 10, 15), (27, 20, 13), (1, 1, 40)]


def zoned_endpoints(endpoints_per_zone: tuple[int, ...]) -> list[Endpoint]:
    zones = "".join(zone * count for zone, count in zip("abc", endpoints_per_zone, strict=True))
    return [Endpoint(endpoint_id, zone=zone) for endpoint_id, zone in enumerate(zones, 1)]


def zone_settings(zone: str, cross_zone_cost: float = 0.03, gateway_count: int = 40) -> Settings:
    return Settings(
        CLASSES,
        zone=zone,
        gateway_count=gateway_count,
        key_affinity=True,
        cross_zone_cost=cross_zone_cost,
    )


@pytest.mark.parametrize("endpoints_per_zone", ENDPOINTS_PER_ZONE)
@pytest.mark.parametrize("capacity_fraction", [1.0, 0.2])
def test_weights_summed_over_all_gateway_zones_are_equal_for_each_unit_of_capacity(
    endpoints_per_zone: tuple[int, ...], capacity_fraction: float
) -> None:
    endpoints = [
        replace(endpoint, started_at_us=NOW_US if endpoint.zone == "b" else 0)
        for endpoint in zoned_endpoints(endpoints_per_zone)
    ]
    total_weight = Counter[Endpoint]()
    for zone in "abc":
        settings = replace(
            zone_settings(zone), initial_capacity=capacity_fraction, slow_start_window_us=US_PER_S
        )
        totals = CapacityTotals(settings)
        totals.advance(NOW_US)
        for endpoint in endpoints:
            totals.add(endpoint)
        weights = zone_weights(totals.capacity_by_zone(), settings)
        weight_of = {endpoint: weights[endpoint.zone] for endpoint in endpoints}
        assert sum(
            weight_of[endpoint] * (capacity_fraction if endpoint.zone == "b" else 1.0)
            for endpoint in endpoints
        ) == pytest.approx(1)
        total_weight.update(weight_of)
    assert max(total_weight.values()) == pytest.approx(min(total_weight.values()))


@pytest.mark.parametrize(
    ("endpoints_per_zone", "remote_fraction"), [((10, 10, 10), 0.0), ((5, 10, 15), 0.5), ((15, 10, 5), 0.0)]
)
def test_requests_stay_in_their_zone_up_to_its_capacity(
    endpoints_per_zone: tuple[int, ...], remote_fraction: float
) -> None:
    """Without zone preference most requests go to other zones.

    Three in five requests of forty gateways did so, each at a cost and 20 ms later.
    """
    driver = PolicyDriver(zone_settings("a"), 0)
    endpoints = zoned_endpoints(endpoints_per_zone)
    driver.notify_endpoints(endpoints)
    for number in range(600):
        driver.send_request(key=f"k{number}")
        driver.advance(20 * US_PER_MS)
        driver.end_attempt(driver.in_flight()[0])
    attempts_in_zone = Counter(endpoints[attempt.endpoint_id - 1].zone for attempt in driver.attempts)
    measured = 1 - attempts_in_zone["a"] / len(driver.attempts)
    # The tolerance is needed because the less loaded of two endpoints is chosen.
    assert measured == pytest.approx(remote_fraction, abs=0.15)
    # Requests that leave the zone go to the zone with spare capacity.
    assert remote_fraction == 0 or attempts_in_zone["c"] > 10 * attempts_in_zone["b"]


def test_other_zones_are_used_when_no_local_endpoint_admits_requests() -> None:
    driver = PolicyDriver(zone_settings("a"), 0)
    endpoints = zoned_endpoints((2, 2, 2))
    driver.notify_endpoints(endpoints)
    for number in range(40):
        driver.send_request(key=f"k{number}")
    assert {endpoints[attempt.endpoint_id - 1].zone for attempt in driver.in_flight()} == {"a", "b", "c"}


def test_fleet_without_capacity_has_no_weights() -> None:
    assert zone_weights({}, zone_settings("a")) == {}
    assert zone_weights({"b": 0.0}, zone_settings("a")) == {"b": 0.0}


@pytest.mark.parametrize(
    "settings",
    [
        zone_settings("a", cross_zone_cost=0.0),
        zone_settings("elsewhere"),
        zone_settings("a", gateway_count=1),
    ],
)
def test_zones_have_equal_weights_without_zone_preference(settings: Settings) -> None:
    """Three cases: other zones cost nothing, the local zone has no endpoint, or there is only one gateway."""
    assert zone_weights({"a": 10.0, "b": 30.0}, settings) == pytest.approx({"a": 1 / 40, "b": 1 / 40})
