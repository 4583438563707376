"""The subset of endpoints that a gateway uses, and the choice between two endpoints by their load."""

from __future__ import annotations

from collections import Counter

from http_gateway.policy.endpoint import EndpointId
from http_gateway.policy.events import Outcome
from http_gateway.policy.settings import Settings
from http_gateway.policy.subsetting import GATEWAYS_PER_ENDPOINT
from http_gateway.policy.time_units import US_PER_MS, US_PER_S
from tests.support.policy_driver import CLASSES, PolicyDriver


def endpoints_used(
    gateway_index: int, gateway_count: int, endpoint_count: int, request_count: int = 40
) -> set[EndpointId]:
    settings = Settings(CLASSES, gateway_count=gateway_count, gateway_index=gateway_index)
    driver = PolicyDriver(settings, endpoint_count)
    return {driver.serve_request().endpoint_id for _ in range(request_count)}


def test_few_gateways_use_every_endpoint() -> None:
    assert endpoints_used(3, 5, 12, request_count=200) == set(range(1, 13))


def test_every_endpoint_serves_the_same_number_of_gateways() -> None:
    """Connections from each of hundreds of gateways would fill the connection table of an endpoint."""
    gateway_count, endpoint_count = 8 * GATEWAYS_PER_ENDPOINT, 64
    gateways_of_endpoint = Counter(
        endpoint_id
        for gateway_index in range(gateway_count)
        for endpoint_id in endpoints_used(gateway_index, gateway_count, endpoint_count)
    )
    assert len(gateways_of_endpoint) == endpoint_count
    assert set(gateways_of_endpoint.values()) == {GATEWAYS_PER_ENDPOINT}


def test_endpoints_outside_the_subset_are_used_when_it_admits_no_request() -> None:
    settings = Settings(CLASSES, gateway_count=100 * GATEWAYS_PER_ENDPOINT, gateway_index=7, max_attempts=9)
    driver = PolicyDriver(settings, 40)
    used = {driver.in_flight(driver.send_request())[0].endpoint_id for _ in range(50)}
    assert len(used) > 4


def test_faster_of_two_endpoints_is_preferred() -> None:
    driver = PolicyDriver(Settings(CLASSES), 2, seed=3)
    for _ in range(60):
        attempt = driver.in_flight(driver.send_request())[0]
        driver.advance((40 if attempt.endpoint_id == 1 else 10) * US_PER_MS)
        driver.end_attempt(attempt)
    assert sum(attempt.endpoint_id == 2 for attempt in driver.attempts[20:]) > 30


def test_high_latency_is_forgotten_unless_observed_again() -> None:
    """Otherwise an endpoint that was slow once would never be tried first again."""
    driver = PolicyDriver(Settings(CLASSES), 2, seed=3)
    used = []
    for _ in range(60):
        attempt = driver.in_flight(driver.send_request())[0]
        used.append(attempt.endpoint_id)
        driver.advance((40 if attempt.endpoint_id == 1 else 10) * US_PER_MS)
        driver.end_attempt(attempt)
        driver.advance(US_PER_S)
    assert 15 < used.count(1) < 45


def test_endpoint_that_failed_recently_is_rarely_tried_first() -> None:
    """An endpoint that fails every other request gets few first attempts.

    Its circuit breakers stay closed, because each success clears the recorded failures. Only the load score
    can direct requests away from it.
    """
    driver = PolicyDriver(Settings(CLASSES, gateway_count=40), 2, seed=3)
    tried_first, attempts_at_failing = [], 0
    for _ in range(60):
        request_id = driver.send_request()
        tried_first.append(driver.in_flight(request_id)[0].endpoint_id)
        while driver.in_flight(request_id):
            attempt = driver.in_flight(request_id)[0]
            driver.advance(10 * US_PER_MS)
            fails = attempt.endpoint_id == 1 and attempts_at_failing % 2 == 0
            attempts_at_failing += attempt.endpoint_id == 1
            driver.end_attempt(attempt, Outcome.ERROR if fails else Outcome.OK)
        driver.advance(400 * US_PER_MS)
    assert tried_first.count(1) < 15


def test_failures_are_forgotten() -> None:
    driver = PolicyDriver(Settings(CLASSES, gateway_count=40), 2, seed=3)
    for _ in range(20):  # endpoint 1 fails every request
        attempt = driver.in_flight(driver.send_request())[0]
        driver.advance(10 * US_PER_MS)
        driver.end_attempt(attempt, Outcome.ERROR if attempt.endpoint_id == 1 else Outcome.OK)
        for fallback in driver.in_flight():
            driver.end_attempt(fallback)
    driver.advance(20 * US_PER_S)
    used = []
    for _ in range(60):
        used.append(driver.serve_request().endpoint_id)
        driver.advance(US_PER_S)
    assert 15 < used.count(1) < 45
