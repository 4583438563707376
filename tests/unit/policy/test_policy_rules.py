"""The policy rules over generated event sequences; the driver asserts them at every action."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from hypothesis import given, settings
from hypothesis import strategies as st

from http_gateway.policy.endpoint import Endpoint, EndpointId, EndpointState
from http_gateway.policy.events import ListUpdateKind, Outcome
from http_gateway.policy.settings import Settings
from http_gateway.policy.time_units import US_PER_MS, US_PER_S
from tests.support.policy_driver import CLASSES, PolicyDriver, endpoints


class Step(Protocol):
    """Something that happens to a gateway."""

    def apply(self, driver: PolicyDriver) -> None:
        """Let it happen."""


@dataclass(frozen=True)
class SendRequest:
    """A client sends a request."""

    class_index: int
    timeout_ms: int

    def apply(self, driver: PolicyDriver) -> None:
        """Send it."""
        driver.send_request(
            CLASSES[self.class_index],
            self.timeout_ms * US_PER_MS,
            cost_us=self.class_index * 10 * US_PER_MS,
            key=f"k{self.class_index}",
        )


@dataclass(frozen=True)
class EndAttempt:
    """An attempt in flight ends, if there is one."""

    number: int
    outcome: Outcome

    def apply(self, driver: PolicyDriver) -> None:
        """End it."""
        in_flight = driver.in_flight()
        if in_flight:
            attempt = in_flight[self.number % len(in_flight)]
            driver.end_attempt(attempt, self.outcome, {"queue": 1.0, "surprise": 2.0})


@dataclass(frozen=True)
class Wait:
    """Time passes."""

    duration_ms: int

    def apply(self, driver: PolicyDriver) -> None:
        """Let it pass."""
        driver.run_until(driver.now_us + self.duration_ms * US_PER_MS)


@dataclass(frozen=True)
class Disconnect:
    """A client disconnects, if one waits."""

    number: int

    def apply(self, driver: PolicyDriver) -> None:
        """Disconnect it."""
        if driver.unanswered:
            driver.abandon(list(driver.unanswered)[self.number % len(driver.unanswered)])


@dataclass(frozen=True)
class ChangeState:
    """An endpoint changes its state, or is new."""

    endpoint_id: EndpointId
    state: EndpointState

    def apply(self, driver: PolicyDriver) -> None:
        """Notify the gateway."""
        driver.notify_endpoints([changed_endpoint(self.endpoint_id, self.state)], ListUpdateKind.DELTA)


@dataclass(frozen=True)
class RestartEndpoint:
    """An endpoint restarts."""

    endpoint_id: EndpointId

    def apply(self, driver: PolicyDriver) -> None:
        """Notify the gateway."""
        restarted = changed_endpoint(self.endpoint_id, EndpointState.READY, driver.now_us)
        driver.notify_endpoints([restarted], ListUpdateKind.DELTA)


@dataclass(frozen=True)
class ReplaceList:
    """A whole endpoint list arrives."""

    endpoint_count: int
    kind: ListUpdateKind

    def apply(self, driver: PolicyDriver) -> None:
        """Notify the gateway."""
        driver.notify_endpoints(endpoints(self.endpoint_count), self.kind)


@dataclass(frozen=True)
class FailDiscovery:
    """A call to discovery fails."""

    def apply(self, driver: PolicyDriver) -> None:
        """Notify the gateway."""
        driver.notify_endpoints((), ListUpdateKind.FAILED)


def changed_endpoint(endpoint_id: EndpointId, state: EndpointState, started_at_us: int = 0) -> Endpoint:
    """An endpoint in the zone and group that `endpoints` gives it."""
    return Endpoint(
        endpoint_id,
        state,
        "ab"[endpoint_id % 2],
        deduplication_group=endpoint_id // 2,
        started_at_us=started_at_us,
    )


STEPS = st.lists(
    st.one_of(
        st.builds(SendRequest, st.integers(0, len(CLASSES) - 1), st.integers(1, 400)),
        st.builds(EndAttempt, st.integers(0, 50), st.sampled_from(list(Outcome))),
        st.builds(Wait, st.integers(0, 300)),
        st.builds(Disconnect, st.integers(0, 50)),
        st.builds(ChangeState, st.integers(1, 8), st.sampled_from(list(EndpointState))),
        st.builds(RestartEndpoint, st.integers(1, 8)),
        st.builds(
            ReplaceList,
            st.integers(0, 8),
            st.sampled_from([ListUpdateKind.COMPLETE, ListUpdateKind.CACHED]),
        ),
        st.builds(FailDiscovery),
    ),
    max_size=120,
)
SETTINGS = st.builds(
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


@settings(derandomize=True, database=None, deadline=None, max_examples=300)
@given(SETTINGS, st.integers(0, 6), st.integers(0, 3), STEPS)
def test_every_request_gets_one_final_answer_and_every_attempt_keeps_the_rules(
    policy_settings: Settings, endpoint_count: int, seed: int, steps: list[Step]
) -> None:
    driver = PolicyDriver(policy_settings, endpoint_count, seed)
    for step in steps:
        step.apply(driver)
    driver.run_until(driver.now_us + US_PER_S)
    assert not driver.unanswered
    assert all(len(answers) == 1 for answers in driver.answers.values())


NEW_ENDPOINT_ID = 9
USUAL_COST_MS = 40
MAX_COST_MS = 80


def serve_usual_traffic(driver: PolicyDriver, count: int) -> None:
    """Requests of the usual cost that succeed at once."""
    for _ in range(count):
        driver.advance(20 * US_PER_MS)
        driver.send_request(cost_us=USUAL_COST_MS * US_PER_MS)
        for attempt in driver.in_flight():
            driver.end_attempt(attempt)


@settings(derandomize=True, database=None, deadline=None, max_examples=60)
@given(
    st.integers(0, 3),
    st.sampled_from([0.12, 0.3]),
    st.lists(st.tuples(st.integers(1, 60), st.integers(1, MAX_COST_MS)), min_size=50, max_size=300),
)
def test_endpoint_warming_up_gets_no_more_than_its_share_in_any_window(
    seed: int, initial_capacity: float, gaps_and_costs_ms: list[tuple[int, int]]
) -> None:
    """Whatever this gateway's traffic, the endpoint's share of it stays near its share of the capacity."""
    policy_settings = Settings(
        CLASSES,
        initial_capacity=initial_capacity,
        slow_start_window_us=20 * US_PER_S,
        hedging_allowed=True,
        cancellation_allowed=True,
    )
    driver = PolicyDriver(policy_settings, 4, seed)
    serve_usual_traffic(driver, 100)
    started_at_us = driver.now_us
    driver.notify_endpoints([Endpoint(NEW_ENDPOINT_ID, started_at_us=started_at_us)], ListUpdateKind.DELTA)
    cost_ms = {attempt.request_id: USUAL_COST_MS for attempt in driver.attempts}
    for gap_ms, request_cost_ms in gaps_and_costs_ms:
        driver.run_until(driver.now_us + gap_ms * US_PER_MS)
        cost_ms[driver.send_request(cost_us=request_cost_ms * US_PER_MS)] = request_cost_ms
        for attempt in driver.in_flight():
            is_new = attempt.endpoint_id == NEW_ENDPOINT_ID
            driver.end_attempt(attempt, Outcome.REJECTED if is_new else Outcome.OK)
    window_us = policy_settings.overload_window_us
    for begin_at_us in range(started_at_us, driver.now_us, 500 * US_PER_MS):
        end_at_us = begin_at_us + window_us
        in_window = [
            attempt for attempt in driver.attempts if begin_at_us <= attempt.started_at_us < end_at_us
        ]
        total = sum(cost_ms[attempt.request_id] for attempt in in_window)
        of_new = sum(
            cost_ms[attempt.request_id] for attempt in in_window if attempt.endpoint_id == NEW_ENDPOINT_ID
        )
        age = (end_at_us - started_at_us) / policy_settings.slow_start_window_us
        capacity_fraction = initial_capacity + (1 - initial_capacity) * age
        allowed = policy_settings.overload_factor * total * capacity_fraction / 4
        assert of_new <= allowed + 2 * MAX_COST_MS
