"""A balancer turns work away while its own answers show that the servers are overloaded."""

from __future__ import annotations

from http_gateway.policy.actions import ShedRequest
from http_gateway.policy.events import Outcome, RequestArrived
from http_gateway.policy.settings import Idempotency, RequestClass, Settings
from http_gateway.policy.time_units import US_PER_MS, US_PER_S
from tests.support.policy_driver import PolicyDriver

CHEAP = RequestClass("cheap", 150 * US_PER_MS, 500 * US_PER_MS, Idempotency.IDEMPOTENT, priority_weight=1.0)
DEAR = RequestClass("dear", 150 * US_PER_MS, 500 * US_PER_MS, Idempotency.IDEMPOTENT, priority_weight=5.0)
CLASSES = (CHEAP, DEAR)


def play(driver: PolicyDriver, taken: int, requests: int, gap: int = 20 * US_PER_MS) -> None:
    """Requests of both classes in turn, each answered after so long."""
    due: list[tuple[int, int]] = []
    for number in range(requests):
        arrives = driver.now_us + gap
        while due and due[0][0] <= arrives:
            driver.now_us, request = due.pop(0)
            for sent in driver.in_flight(request):
                driver.end_attempt(sent, Outcome.OK)
        driver.now_us = arrives
        due.append((driver.now_us + taken, driver.send_request(CLASSES[number % 2])))


def refused(driver: PolicyDriver, kind: RequestClass, last: int) -> int:
    requests = [number for number in driver.answers if driver.class_names[number] == kind.name][-last:]
    return sum(driver.answers[number] == ["shed"] for number in requests)


def overloaded(gap: int = 20 * US_PER_MS) -> PolicyDriver:
    driver = PolicyDriver(Settings(CLASSES, cancellation_allowed=True), 12, classes=CLASSES)
    play(driver, 20 * US_PER_MS, 10 * US_PER_S // gap // 5, gap)
    assert not refused(driver, CHEAP, 50)
    play(driver, 350 * US_PER_MS, 2 * US_PER_S // gap, gap)
    return driver


def test_late_answers_turn_work_away_and_the_cheapest_first() -> None:
    """Queues longer than the clients' patience kept every server busy with work nobody waited for."""
    driver = overloaded()
    assert refused(driver, CHEAP, 20) > 10
    assert refused(driver, DEAR, 20) < refused(driver, CHEAP, 20)


def test_answers_in_time_bring_it_back() -> None:
    driver = overloaded()
    play(driver, 20 * US_PER_MS, 400)
    assert not refused(driver, CHEAP, 20)


def test_a_balancer_with_little_traffic_reacts_as_soon() -> None:
    """Counting late answers would make one of hundreds of balancers react after a minute."""
    driver = overloaded(gap=150 * US_PER_MS)
    assert refused(driver, CHEAP, 3) >= 2


def test_a_full_server_is_no_overload_while_another_serves() -> None:
    """Slow servers with full queues made balancers refuse what the rest of the fleet had room for."""
    driver = PolicyDriver(Settings(CLASSES, cancellation_allowed=True), 12, classes=CLASSES)
    for _ in range(200):
        driver.now_us += 20 * US_PER_MS
        request = driver.send_request(CHEAP)
        for outcome in (Outcome.REJECTED, Outcome.OK):
            for sent in driver.in_flight(request):
                driver.now_us += US_PER_MS
                driver.end_attempt(sent, outcome)
    assert not refused(driver, CHEAP, 200)


def test_a_retry_whose_aim_has_passed_is_refused() -> None:
    """Clients that gave up came back for answers worth nothing and kept the servers from those in time."""
    driver = PolicyDriver(Settings(CLASSES), 12, classes=CLASSES)
    driver.send_request(CHEAP, timeout_us=300 * US_PER_MS)
    after_refusal = driver.send_request(CHEAP, timeout_us=300 * US_PER_MS, is_client_retry=True)
    after_time_out = driver.send_request(CHEAP, timeout_us=190 * US_PER_MS, is_client_retry=True)
    assert driver.answers[after_refusal] == []
    assert driver.answers[after_time_out] == ["shed"]


def test_a_late_retry_is_served_where_late_answers_have_worth() -> None:
    patient = RequestClass("cheap", 150 * US_PER_MS, 500 * US_PER_MS, Idempotency.IDEMPOTENT, late_weight=0.5)
    driver = PolicyDriver(Settings((patient,)), 12, classes=(patient,))
    driver.send_request(patient, timeout_us=300 * US_PER_MS)
    assert (
        driver.answers[driver.send_request(patient, timeout_us=190 * US_PER_MS, is_client_retry=True)] == []
    )


def test_what_a_tenant_sends_beyond_its_share_is_turned_away_first() -> None:
    """Such traffic is worth little, yet it took the room of tenants that kept to their shares."""
    options = Settings((CHEAP,), tenant_quotas_per_s={"modest": 30.0, "greedy": 5.0}, over_quota_weight=0.1)
    driver = PolicyDriver(options, 12, classes=(CHEAP,))
    asked: dict[str, list[int]] = {"modest": [], "greedy": []}
    due: list[tuple[int, int]] = []
    for number in range(400):
        arrives = driver.now_us + 25 * US_PER_MS
        due.sort()
        while due and due[0][0] <= arrives:
            driver.now_us, request = due.pop(0)
            for sent in driver.in_flight(request):
                driver.end_attempt(sent, Outcome.OK)
        driver.now_us = arrives
        tenant = ("modest", "greedy")[number % 2]
        asked[tenant].append(driver.send_request(CHEAP, tenant=tenant))
        taken = 20 if number < 200 or number % 4 < 2 else 120
        due.append((driver.now_us + taken * US_PER_MS, asked[tenant][-1]))
    lost = {name: sum(driver.answers[r] == ["shed"] for r in asked[name][100:]) for name in asked}
    assert lost["greedy"] > 10
    assert lost["modest"] < lost["greedy"] / 2


def test_it_never_turns_all_away_for_good() -> None:
    """Some balancers that had lost their zone's servers refused all for the rest of the day, at no load."""
    driver = PolicyDriver(Settings(CLASSES, cancellation_allowed=True), 12, classes=CLASSES)
    for _ in range(300):
        driver.send_request(CHEAP)
        driver.now_us += 20 * US_PER_MS
        while driver.in_flight():
            driver.end_attempt(driver.in_flight()[0], Outcome.REJECTED)
    assert driver.balancer._shedder.admitted_fraction < 0.01
    driver.now_us += US_PER_S
    for _ in range(100):
        driver.send_request(CHEAP)
        driver.now_us += 20 * US_PER_MS
        for sent in driver.in_flight():
            driver.end_attempt(sent)
    assert not refused(driver, CHEAP, 20)


def test_servers_that_fail_are_no_overload() -> None:
    """With no server of a zone left to connect to, the others had room for what was turned away."""
    driver = PolicyDriver(Settings(CLASSES), 12, classes=CLASSES)
    for _ in range(60):
        driver.send_request(CHEAP)
        driver.now_us += 20 * US_PER_MS
        while driver.in_flight():
            driver.end_attempt(driver.in_flight()[0], Outcome.CONNECT_FAILED)
        driver.now_us += 500 * US_PER_MS
    assert driver.balancer._shedder.admitted_fraction == 1


def told_to_wait(longest: int, honoured: bool = True) -> list[int]:
    settings = Settings(CLASSES, retry_after_allowed=honoured, max_retry_after_us=longest)
    return [refusal(settings, seed).retry_after_us for seed in range(20)]


def test_who_is_refused_is_told_when_to_come_back() -> None:
    waits = told_to_wait(longest=600 * US_PER_MS)
    assert len(set(waits)) > 10  # not all at the same time
    assert 0 < min(waits) < max(waits) < CHEAP.latency_objective_us
    assert (
        0
        < min(told_to_wait(longest=20 * US_PER_MS))
        <= max(told_to_wait(longest=20 * US_PER_MS))
        <= 20 * US_PER_MS
    )


def test_nobody_is_told_where_clients_do_not_take_it() -> None:
    assert set(told_to_wait(longest=600 * US_PER_MS, honoured=False)) == {0}


def refusal(settings: Settings, seed: int) -> ShedRequest:
    driver = PolicyDriver(settings, 0, seed, classes=CLASSES)
    driver.send_request(CHEAP)
    request = RequestArrived(len(driver.answers) + 1, CHEAP.name, 400 * US_PER_MS)
    [answer] = driver.balancer.handle(request, driver.now_us)
    assert isinstance(answer, ShedRequest)
    return answer
