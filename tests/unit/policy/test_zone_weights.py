"""Where work goes when crossing zones has its price."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from http_gateway.policy.endpoint import Endpoint
from http_gateway.policy.endpoint_set import capacity_by_zone
from http_gateway.policy.settings import Settings
from http_gateway.policy.time_units import US_PER_MS
from http_gateway.policy.token_bucket import WarmUpBucket
from http_gateway.policy.tracked_endpoint import TrackedEndpoint
from http_gateway.policy.zone_weights import zone_weights
from tests.support.policy_driver import CLASSES, PolicyDriver

SIZES = [(10, 10, 10), (5, 10, 15), (27, 20, 13), (1, 1, 40)]


def fleet(sizes: tuple[int, ...]) -> list[Endpoint]:
    zones = "".join(zone * size for zone, size in zip("abc", sizes, strict=True))
    return [Endpoint(number, zone=zone) for number, zone in enumerate(zones, 1)]


def settings(zone: str, rank: int = 0) -> Settings:
    return Settings(
        CLASSES, zone=zone, gateway_count=40, gateway_index=rank, key_affinity=True, cross_zone_cost=0.03
    )


@pytest.mark.parametrize("sizes", SIZES)
@pytest.mark.parametrize("warmth", [1.0, 0.2])
def test_all_zones_together_mean_as_much_for_each_unit_of_capacity(
    sizes: tuple[int, ...], warmth: float
) -> None:
    random = Random(1)
    hosts = [TrackedEndpoint.create(server, random, WarmUpBucket(0)) for server in fleet(sizes)]
    held = {host: warmth if host.endpoint.zone == "b" else 1.0 for host in hosts}
    meant = Counter[TrackedEndpoint]()
    for zone in "abc":
        weights = zone_weights(capacity_by_zone(held), settings(zone))
        assert sum(weights[host.endpoint.zone] * held[host] for host in hosts) == pytest.approx(1)
        meant.update({host: weights[host.endpoint.zone] for host in hosts})
    assert max(meant.values()) == pytest.approx(min(meant.values()))


@pytest.mark.parametrize(("sizes", "away"), [((10, 10, 10), 0.0), ((5, 10, 15), 0.5), ((15, 10, 5), 0.0)])
def test_work_stays_in_its_zone_as_far_as_its_hosts_can_take_it(sizes: tuple[int, ...], away: float) -> None:
    """Of forty gateways' requests, three in five crossed zones: 20 ms later, at a price."""
    driver = PolicyDriver(settings("a"), 0)
    servers = fleet(sizes)
    driver.notify_endpoints(servers)
    for number in range(600):
        driver.send_request(key=f"k{number}")
        driver.now_us += 20 * US_PER_MS
        driver.end_attempt(driver.in_flight()[0])
    zones = Counter(servers[sent.endpoint_id - 1].zone for sent in driver.attempts)
    assert 1 - zones["a"] / len(driver.attempts) == pytest.approx(away, abs=0.15)  # the less busy of two
    assert away == 0 or zones["c"] > 10 * zones["b"]  # where there is capacity to spare


def test_another_zone_stands_in_where_no_server_here_admits() -> None:
    driver = PolicyDriver(settings("a"), 0)
    servers = fleet((2, 2, 2))
    driver.notify_endpoints(servers)
    for number in range(40):
        driver.send_request(key=f"k{number}")
    assert {servers[sent.endpoint_id - 1].zone for sent in driver.in_flight()} == {"a", "b", "c"}
