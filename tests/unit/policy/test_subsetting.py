"""Which servers a balancer keeps to where there are many balancers."""

from __future__ import annotations

from collections import Counter

from http_gateway.policy.events import Outcome
from http_gateway.policy.settings import Settings
from http_gateway.policy.subsetting import GATEWAYS_PER_ENDPOINT
from http_gateway.policy.time_units import US_PER_MS, US_PER_S
from tests.support.policy_driver import CLASSES, PolicyDriver


def servers_used(rank: int, balancers: int, count: int, requests: int = 40) -> set[int]:
    driver = PolicyDriver(Settings(CLASSES, gateway_count=balancers, gateway_index=rank), count)
    return {driver.serve_request().endpoint_id for _ in range(requests)}


def test_a_few_balancers_use_every_server() -> None:
    assert servers_used(3, 5, 12, requests=200) == set(range(1, 13))


def test_many_balancers_share_each_server_evenly() -> None:
    """Each opening a connection to every server, hundreds of balancers filled the tables of all of them."""
    balancers, count = 8 * GATEWAYS_PER_ENDPOINT, 64
    shared = Counter(server for rank in range(balancers) for server in servers_used(rank, balancers, count))
    assert len(shared) == count
    assert set(shared.values()) == {GATEWAYS_PER_ENDPOINT}


def test_another_server_stands_in_where_the_subset_does_not_admit() -> None:
    driver = PolicyDriver(
        Settings(CLASSES, gateway_count=100 * GATEWAYS_PER_ENDPOINT, gateway_index=7, max_attempts=9), 40
    )
    busy = [driver.in_flight(driver.send_request())[0].endpoint_id for _ in range(50)]
    assert len(set(busy)) > 4


def test_of_two_servers_the_one_with_quicker_answers_is_tried_first() -> None:
    driver = PolicyDriver(Settings(CLASSES), 2, seed=3)
    for _ in range(60):
        sent = driver.in_flight(driver.send_request())[0]
        driver.now_us += (40 if sent.endpoint_id == 1 else 10) * US_PER_MS
        driver.end_attempt(sent)
    assert sum(sent.endpoint_id == 2 for sent in driver.attempts[20:]) > 30


def test_a_pace_not_seen_again_is_forgotten() -> None:
    """A server once slow would never be drawn first again."""
    driver = PolicyDriver(Settings(CLASSES), 2, seed=3)
    used = []
    for _ in range(60):
        sent = driver.in_flight(driver.send_request())[0]
        used.append(sent.endpoint_id)
        driver.now_us += (40 if sent.endpoint_id == 1 else 10) * US_PER_MS
        driver.end_attempt(sent)
        driver.now_us += US_PER_S
    assert 15 < used.count(1) < 45


def test_of_two_servers_the_one_that_failed_lately_is_tried_second() -> None:
    """A server that fails every other request keeps its breakers closed: each success takes failures back."""
    driver = PolicyDriver(Settings(CLASSES, gateway_count=40), 2, seed=3)
    firsts, served = [], 0
    for _ in range(60):
        request = driver.send_request()
        firsts.append(driver.in_flight(request)[0].endpoint_id)
        while driver.in_flight(request):
            sent = driver.in_flight(request)[0]
            driver.now_us += 10 * US_PER_MS
            fails = sent.endpoint_id == 1 and served % 2 == 0
            served += sent.endpoint_id == 1
            driver.end_attempt(sent, Outcome.ERROR if fails else Outcome.OK)
        driver.now_us += 400 * US_PER_MS
    assert firsts.count(1) < 15


def test_a_failure_is_forgotten() -> None:
    driver = PolicyDriver(Settings(CLASSES, gateway_count=40), 2, seed=3)
    for _ in range(20):  # every request that meets it fails there
        sent = driver.in_flight(driver.send_request())[0]
        driver.now_us += 10 * US_PER_MS
        driver.end_attempt(sent, Outcome.ERROR if sent.endpoint_id == 1 else Outcome.OK)
        for other in driver.in_flight():
            driver.end_attempt(other)
    driver.now_us += 20 * US_PER_S
    used = []
    for _ in range(60):
        used.append(driver.serve_request().endpoint_id)
        driver.now_us += US_PER_S
    assert 15 < used.count(1) < 45
