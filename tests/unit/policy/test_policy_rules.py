"""The four rules over generated event sequences; the driver asserts them at every action."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from http_gateway.policy.endpoint import Endpoint, EndpointState
from http_gateway.policy.events import ListUpdateKind, Outcome
from http_gateway.policy.settings import Settings
from http_gateway.policy.time_units import US_PER_MS, US_PER_S
from tests.support.policy_driver import CLASSES, PolicyDriver, endpoints

STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("ask"), st.integers(0, len(CLASSES) - 1), st.integers(1, 400)),
        st.tuples(st.just("end"), st.integers(0, 50), st.sampled_from(list(Outcome))),
        st.tuples(st.just("wait"), st.integers(0, 300), st.just(0)),
        st.tuples(st.just("leave"), st.integers(0, 50), st.just(0)),
        st.tuples(st.just("change"), st.integers(1, 8), st.sampled_from(list(EndpointState))),
        st.tuples(st.just("restart"), st.integers(1, 8), st.just(0)),
        st.tuples(
            st.just("relist"),
            st.integers(0, 8),
            st.sampled_from([ListUpdateKind.COMPLETE, ListUpdateKind.CACHED]),
        ),
        st.tuples(st.just("break"), st.just(0), st.just(0)),
    ),
    max_size=120,
)
OPTIONS = st.builds(
    Settings,
    classes=st.just(CLASSES),
    zone=st.sampled_from(["a", "b", ""]),
    max_attempts=st.integers(1, 5),
    hedging_allowed=st.booleans(),
    cancellation_allowed=st.booleans(),
    health_checks_allowed=st.booleans(),
    discovery_is_polled=st.booleans(),
    load_reports_in_responses=st.booleans(),
    load_reports_in_health_checks=st.booleans(),
    key_affinity=st.booleans(),
    initial_capacity=st.sampled_from([0.1, 0.5, 1.0]),
    slow_start_window_us=st.sampled_from([0, 10 * US_PER_S]),
)


def pass_time(driver: PolicyDriver, until: int) -> None:
    """Let timers fire and deadlines pass in their order."""
    while True:
        timers = [due for due, _ in driver.timers]
        deadlines = [due for _, due in driver.unanswered.values()]
        expiries = [sent.expires_at_us for sent in driver.in_flight() if sent.expires_at_us]
        soonest = min([*timers, *deadlines, *expiries], default=until + 1)
        if soonest > until:
            break
        driver.now_us = max(driver.now_us, soonest)
        driver.expire_overdue()
        for timer in [timer for timer in driver.timers if timer[0] <= driver.now_us]:
            driver.timers.remove(timer)
            driver.fire_timer(*timer)
    driver.now_us = until


def step(driver: PolicyDriver, what: str, number: int, detail: object) -> None:
    if what == "ask":
        assert isinstance(detail, int)
        driver.send_request(
            CLASSES[number], detail * US_PER_MS, cost_us=number * 10 * US_PER_MS, key=f"k{number}"
        )
    elif what == "wait":
        pass_time(driver, driver.now_us + number * US_PER_MS)
    elif what == "end" and driver.in_flight():
        assert isinstance(detail, Outcome)
        driver.end_attempt(
            driver.in_flight()[number % len(driver.in_flight())], detail, {"queue": 1.0, "surprise": 2.0}
        )
    elif what == "leave" and driver.unanswered:
        driver.abandon(list(driver.unanswered)[number % len(driver.unanswered)])
    elif what == "change":
        assert isinstance(detail, EndpointState)
        driver.notify_endpoints(
            [Endpoint(number, detail, "ab"[number % 2], deduplication_group=number // 2)],
            ListUpdateKind.DELTA,
        )
    elif what == "restart":
        entry = Endpoint(
            number,
            EndpointState.READY,
            "ab"[number % 2],
            deduplication_group=number // 2,
            started_at_us=driver.now_us,
        )
        driver.notify_endpoints([entry], ListUpdateKind.DELTA)
    elif what == "relist":
        assert isinstance(detail, ListUpdateKind)
        driver.notify_endpoints(endpoints(number), detail)
    elif what == "break":
        driver.notify_endpoints((), ListUpdateKind.FAILED)


@settings(derandomize=True, database=None, deadline=None, max_examples=300)
@given(OPTIONS, st.integers(0, 6), st.integers(0, 3), STEPS)
def test_every_request_gets_one_answer_and_no_send_breaks_a_rule(
    options: Settings, count: int, seed: int, steps: list[tuple[str, int, object]]
) -> None:
    driver = PolicyDriver(options, count, seed)
    for what, number, detail in steps:
        step(driver, what, number, detail)
    pass_time(driver, driver.now_us + US_PER_S)
    assert not driver.unanswered
    assert all(len(answers) == 1 for answers in driver.answers.values())


@settings(derandomize=True, database=None, deadline=None, max_examples=60)
@given(
    st.integers(0, 3),
    st.sampled_from([0.12, 0.3]),
    st.lists(st.tuples(st.integers(1, 60), st.integers(1, 80)), min_size=50, max_size=300),
)
def test_a_cold_server_never_gets_more_than_its_share_in_any_window(
    seed: int, share: float, arrivals: list[tuple[int, int]]
) -> None:
    """Whatever this balancer's traffic, the cold server's part in it stays near its part in the capacity."""
    options = Settings(
        CLASSES,
        initial_capacity=share,
        slow_start_window_us=20 * US_PER_S,
        hedging_allowed=True,
        cancellation_allowed=True,
    )
    driver = PolicyDriver(options, 4, seed)
    for _ in range(100):
        driver.now_us += 20 * US_PER_MS
        driver.send_request(cost_us=40 * US_PER_MS)
        for sent in driver.in_flight():
            driver.end_attempt(sent)
    driver.notify_endpoints([Endpoint(9, started_at_us=driver.now_us)], ListUpdateKind.DELTA)
    started = driver.now_us
    work = {sent.request_id: 40 for sent in driver.attempts}
    for gap, cost in arrivals:
        pass_time(driver, driver.now_us + gap * US_PER_MS)
        work[driver.send_request(cost_us=cost * US_PER_MS)] = cost
        for sent in driver.in_flight():
            driver.end_attempt(sent, Outcome.REJECTED if sent.endpoint_id == 9 else Outcome.OK)
    window = options.overload_window_us
    for start in range(started, driver.now_us, 500 * US_PER_MS):
        at_work = [sent for sent in driver.attempts if start <= sent.started_at_us < start + window]
        total = sum(work[sent.request_id] for sent in at_work)
        cold = sum(work[sent.request_id] for sent in at_work if sent.endpoint_id == 9)
        warmth = share + (1 - share) * (start + window - started) / options.slow_start_window_us
        assert cold <= options.overload_factor * total * warmth / 4 + 2 * 80
