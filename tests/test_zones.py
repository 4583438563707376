"""Where work goes when crossing zones has its price."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from whinrouter.breaker import Breaker
from whinrouter.host import Budget, Host
from whinrouter.interface import MS, Server, Settings
from whinrouter.subset import weigh

from .helpers import CLASSES, Driver

SIZES = [(10, 10, 10), (5, 10, 15), (27, 20, 13), (1, 1, 40)]


def fleet(sizes: tuple[int, ...]) -> list[Server]:
    zones = "".join(zone * size for zone, size in zip("abc", sizes, strict=True))
    return [Server(number, zone=zone) for number, zone in enumerate(zones, 1)]


def settings(zone: str, rank: int = 0) -> Settings:
    return Settings(CLASSES, zone=zone, balancers=40, rank=rank, warm_keys=True, cross_zone_price=0.03)


@pytest.mark.parametrize("sizes", SIZES)
@pytest.mark.parametrize("warmth", [1.0, 0.2])
def test_all_zones_together_mean_as_much_for_each_unit_of_capacity(
    sizes: tuple[int, ...], warmth: float
) -> None:
    random = Random(1)
    hosts = [Host(server, random, Breaker(random), Budget(0)) for server in fleet(sizes)]
    held = {host: warmth if host.info.zone == "b" else 1.0 for host in hosts}
    meant = Counter[Host]()
    for zone in "abc":
        weigh(held, settings(zone))
        assert sum(host.weight * held[host] for host in hosts) == pytest.approx(1)
        meant.update({host: host.weight for host in hosts})
    assert max(meant.values()) == pytest.approx(min(meant.values()))


@pytest.mark.parametrize(("sizes", "away"), [((10, 10, 10), 0.0), ((5, 10, 15), 0.5), ((15, 10, 5), 0.0)])
def test_work_stays_in_its_zone_as_far_as_its_hosts_can_take_it(sizes: tuple[int, ...], away: float) -> None:
    """Of forty gateways' requests, three in five crossed zones: 20 ms later, at a price."""
    driver = Driver(settings("a"), 0)
    servers = fleet(sizes)
    driver.list_servers(servers)
    for number in range(600):
        driver.ask(key=f"k{number}")
        driver.now += 20 * MS
        driver.end(driver.out()[0])
    zones = Counter(servers[sent.server - 1].zone for sent in driver.sent)
    assert 1 - zones["a"] / len(driver.sent) == pytest.approx(away, abs=0.15)  # the less busy of two
    assert away == 0 or zones["c"] > 10 * zones["b"]  # where there is capacity to spare


def test_another_zone_stands_in_where_no_server_here_admits() -> None:
    driver = Driver(settings("a"), 0)
    servers = fleet((2, 2, 2))
    driver.list_servers(servers)
    for number in range(40):
        driver.ask(key=f"k{number}")
    assert {servers[sent.server - 1].zone for sent in driver.out()} == {"a", "b", "c"}
