"""Load shedding by a gateway whose own responses show that the endpoints are overloaded."""

from __future__ import annotations

from heapq import heappop, heappush

from http_gateway.policy.actions import ShedRequest
from http_gateway.policy.events import Outcome, RequestArrived, RequestId
from http_gateway.policy.settings import Idempotency, RequestClass, Settings
from http_gateway.policy.time_units import US_PER_MS, US_PER_S
from tests.support.policy_driver import FinalAnswer, PolicyDriver

LOW = RequestClass("low", 150 * US_PER_MS, 500 * US_PER_MS, Idempotency.IDEMPOTENT, priority_weight=1.0)
HIGH = RequestClass("high", 150 * US_PER_MS, 500 * US_PER_MS, Idempotency.IDEMPOTENT, priority_weight=5.0)
CLASSES = (LOW, HIGH)
INTERVAL_US = 20 * US_PER_MS  # time between two requests


class Traffic:
    """Sends requests whose attempts succeed after a given latency."""

    def __init__(self, driver: PolicyDriver) -> None:
        self._driver = driver
        self._responses: list[tuple[int, RequestId]] = []  # min-heap of (time of the response, request)

    def wait(self, duration_us: int) -> None:
        """Advance the time and end the attempts that are due in the meantime."""
        driver, end_at_us = self._driver, self._driver.now_us + duration_us
        while self._responses and self._responses[0][0] <= end_at_us:
            response_at_us, request_id = heappop(self._responses)
            driver.advance_to(response_at_us)
            for attempt in driver.in_flight(request_id):
                driver.end_attempt(attempt, Outcome.OK)
        driver.advance_to(end_at_us)

    def send(self, request_class: RequestClass, latency_us: int, tenant: str = "") -> RequestId:
        """Send a request whose attempts succeed after the latency; return its id."""
        request_id = self._driver.send_request(request_class, tenant=tenant)
        heappush(self._responses, (self._driver.now_us + latency_us, request_id))
        return request_id


def send_both_classes(
    driver: PolicyDriver, latency_us: int, count: int, interval_us: int = INTERVAL_US
) -> None:
    """Send requests, alternating between the two classes."""
    traffic = Traffic(driver)
    for number in range(count):
        traffic.wait(interval_us)
        traffic.send(CLASSES[number % 2], latency_us)


def shed_count(driver: PolicyDriver, request_class: RequestClass, last: int) -> int:
    """Return how many of the last requests of a class were shed."""
    of_class = [
        request_id for request_id in driver.answers if driver.class_names[request_id] == request_class.name
    ]
    return sum(driver.answers[request_id] == [FinalAnswer.SHED] for request_id in of_class[-last:])


def overloaded_driver(interval_us: int = INTERVAL_US) -> PolicyDriver:
    """Return a gateway that received responses in time, then late responses for two seconds."""
    driver = PolicyDriver(Settings(CLASSES, cancellation_allowed=True), 12, classes=CLASSES)
    send_both_classes(driver, 20 * US_PER_MS, 10 * US_PER_S // interval_us // 5, interval_us)
    assert not shed_count(driver, LOW, 50)
    send_both_classes(driver, 350 * US_PER_MS, 2 * US_PER_S // interval_us, interval_us)
    return driver


def test_late_responses_shed_load_lowest_priority_first() -> None:
    """Guards against endpoints that work only on requests whose clients have given up.

    Without load shedding, the queues of overloaded endpoints become longer than the clients' timeouts.
    """
    driver = overloaded_driver()
    assert shed_count(driver, LOW, 20) > 10
    assert shed_count(driver, HIGH, 20) < shed_count(driver, LOW, 20)


def test_responses_in_time_end_load_shedding() -> None:
    driver = overloaded_driver()
    send_both_classes(driver, 20 * US_PER_MS, 400)
    assert not shed_count(driver, LOW, 20)


def test_gateway_with_little_traffic_sheds_load_equally_soon() -> None:
    """Guards against a reaction time that depends on the traffic of the gateway.

    If late responses were counted instead of weighted by time, one gateway of hundreds would start to shed
    load only after a minute.
    """
    driver = overloaded_driver(interval_us=150 * US_PER_MS)
    assert shed_count(driver, LOW, 3) >= 2


def test_rejection_by_one_endpoint_is_no_sign_of_overload_if_another_serves_the_request() -> None:
    """Guards against shedding requests for which other endpoints have capacity.

    Slow endpoints with full queues reject requests. Gateways must not take these rejections as overload while
    other endpoints serve the same requests.
    """
    driver = PolicyDriver(Settings(CLASSES, cancellation_allowed=True), 12, classes=CLASSES)
    for _ in range(200):
        driver.advance(20 * US_PER_MS)
        request_id = driver.send_request(LOW)
        for outcome in (Outcome.REJECTED, Outcome.OK):
            for attempt in driver.in_flight(request_id):
                driver.advance(US_PER_MS)
                driver.end_attempt(attempt, outcome)
    assert not shed_count(driver, LOW, 200)


def test_client_retry_after_the_latency_objective_is_shed() -> None:
    """Guards against work on client retries that can only be answered late.

    Their responses have no weight, but they delay responses that could be in time.
    """
    driver = PolicyDriver(Settings(CLASSES), 12, classes=CLASSES)
    driver.send_request(LOW, timeout_us=300 * US_PER_MS)
    in_time = driver.send_request(LOW, timeout_us=300 * US_PER_MS, is_client_retry=True)
    late = driver.send_request(LOW, timeout_us=190 * US_PER_MS, is_client_retry=True)
    assert driver.answers[in_time] == []
    assert driver.answers[late] == [FinalAnswer.SHED]


def test_late_client_retry_is_served_where_late_responses_have_weight() -> None:
    class_with_late_weight = RequestClass(
        "low", 150 * US_PER_MS, 500 * US_PER_MS, Idempotency.IDEMPOTENT, late_weight=0.5
    )
    driver = PolicyDriver(Settings((class_with_late_weight,)), 12, classes=(class_with_late_weight,))
    driver.send_request(class_with_late_weight, timeout_us=300 * US_PER_MS)
    late = driver.send_request(class_with_late_weight, timeout_us=190 * US_PER_MS, is_client_retry=True)
    assert driver.answers[late] == []


def test_requests_over_quota_are_shed_first() -> None:
    """Guards against requests over quota using the capacity for tenants that are within their quotas.

    Requests over quota have a lower weight here.
    """
    settings = Settings((LOW,), tenant_quotas_per_s={"within": 30.0, "over": 5.0}, over_quota_weight=0.1)
    driver = PolicyDriver(settings, 12, classes=(LOW,))
    traffic = Traffic(driver)
    requests: dict[str, list[RequestId]] = {"within": [], "over": []}
    for number in range(400):
        traffic.wait(25 * US_PER_MS)
        tenant = ("within", "over")[number % 2]
        latency_ms = 20 if number < 200 or number % 4 < 2 else 120
        requests[tenant].append(traffic.send(LOW, latency_ms * US_PER_MS, tenant))
    shed = {
        tenant: sum(driver.answers[request_id] == [FinalAnswer.SHED] for request_id in sent[100:])
        for tenant, sent in requests.items()
    }
    assert shed["over"] > 10
    assert shed["within"] < shed["over"] / 2


def test_load_shedding_admits_enough_to_notice_that_overload_has_ended() -> None:
    """Guards against shedding all requests forever, even without load.

    Gateways without endpoints in their zone did so: when no request is admitted, no response can show that
    the overload has ended.
    """
    driver = PolicyDriver(Settings(CLASSES, cancellation_allowed=True), 12, classes=CLASSES)
    for _ in range(300):
        driver.send_request(LOW)
        driver.advance(20 * US_PER_MS)
        while driver.in_flight():
            driver.end_attempt(driver.in_flight()[0], Outcome.REJECTED)
    assert driver.balancer._shedder.admitted_fraction < 0.01
    driver.advance(US_PER_S)
    for _ in range(100):
        driver.send_request(LOW)
        driver.advance(20 * US_PER_MS)
        for attempt in driver.in_flight():
            driver.end_attempt(attempt)
    assert not shed_count(driver, LOW, 20)


def test_failed_connections_are_no_sign_of_overload() -> None:
    """Guards against shedding requests for which other endpoints have capacity.

    When no endpoint of one zone accepted connections, gateways shed requests that endpoints of other zones
    could have served.
    """
    driver = PolicyDriver(Settings(CLASSES), 12, classes=CLASSES)
    for _ in range(60):
        driver.send_request(LOW)
        driver.advance(20 * US_PER_MS)
        while driver.in_flight():
            driver.end_attempt(driver.in_flight()[0], Outcome.CONNECT_FAILED)
        driver.advance(500 * US_PER_MS)
    assert driver.balancer._shedder.admitted_fraction == 1


def shed_request(settings: Settings, seed: int) -> ShedRequest:
    """Return the action of a gateway without endpoints for a request, which must be to shed it."""
    driver = PolicyDriver(settings, 0, seed, classes=CLASSES)
    driver.send_request(LOW)
    request = RequestArrived(len(driver.answers) + 1, LOW.name, 400 * US_PER_MS)
    [answer] = driver.balancer.handle(request, driver.now_us)
    assert isinstance(answer, ShedRequest)
    return answer


def retry_after_us(max_retry_after_us: int, is_allowed: bool = True) -> list[int]:
    """Return the Retry-After times of twenty gateways with different seeds."""
    settings = Settings(CLASSES, retry_after_allowed=is_allowed, max_retry_after_us=max_retry_after_us)
    return [shed_request(settings, seed).retry_after_us for seed in range(20)]


def test_shed_request_gets_a_jittered_retry_after() -> None:
    times_us = retry_after_us(max_retry_after_us=600 * US_PER_MS)
    assert len(set(times_us)) > 10  # Different times spread the retries.
    assert 0 < min(times_us) < max(times_us) < LOW.latency_objective_us
    capped_times_us = retry_after_us(max_retry_after_us=20 * US_PER_MS)
    assert 0 < min(capped_times_us) <= max(capped_times_us) <= 20 * US_PER_MS


def test_shed_request_gets_no_retry_after_where_clients_do_not_honour_it() -> None:
    assert set(retry_after_us(max_retry_after_us=600 * US_PER_MS, is_allowed=False)) == {0}
