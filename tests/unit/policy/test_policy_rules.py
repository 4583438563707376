"""Property tests of the policy rules with generated event sequences.

The driver checks every action of the policy against the rules.
"""

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
    """One step of a generated sequence, such as an event or a pause."""

    def apply(self, driver: PolicyDriver) -> None:
        """Apply the step to the policy that a driver calls."""


@dataclass(frozen=True)
class SendRequest:
    """A client sends a request."""

    class_index: int
    timeout_ms: int

    def apply(self, driver: PolicyDriver) -> None:
        """Send the request."""
        driver.send_request(
            CLASSES[self.class_index],
            self.timeout_ms * US_PER_MS,
            cost_us=self.class_index * 10 * US_PER_MS,
            key=f"k{self.class_index}",
        )


@dataclass(frozen=True)
class EndAttempt:
    """An attempt ends; nothing happens if none is in flight."""

    number: int
    outcome: Outcome

    def apply(self, driver: PolicyDriver) -> None:
        """End the attempt."""
        in_flight = driver.in_flight()
        if in_flight:
            attempt = in_flight[self.number % len(in_flight)]
            driver.end_attempt(attempt, self.outcome, {"queue": 1.0, "surprise": 2.0})


@dataclass(frozen=True)
class Wait:
    """Time passes."""

    duration_ms: int

    def apply(self, driver: PolicyDriver) -> None:
        """Advance the clock of the driver."""
        driver.run_until(driver.now_us + self.duration_ms * US_PER_MS)


@dataclass(frozen=True)
class Disconnect:
    """A client disconnects; nothing happens if no request is unanswered."""

    number: int

    def apply(self, driver: PolicyDriver) -> None:
        """Disconnect one of the waiting clients."""
        if driver.unanswered:
            driver.abandon(list(driver.unanswered)[self.number % len(driver.unanswered)])


@dataclass(frozen=True)
class ChangeState:
    """Discovery lists an endpoint, known or new, with a certain state."""

    endpoint_id: EndpointId
    state: EndpointState

    def apply(self, driver: PolicyDriver) -> None:
        """Send the new state of the endpoint to the policy."""
        driver.notify_endpoints([changed_endpoint(self.endpoint_id, self.state)], ListUpdateKind.DELTA)


@dataclass(frozen=True)
class RestartEndpoint:
    """An endpoint restarts, so it is listed with a new start time."""

    endpoint_id: EndpointId

    def apply(self, driver: PolicyDriver) -> None:
        """Send the restarted endpoint to the policy."""
        restarted = changed_endpoint(self.endpoint_id, EndpointState.READY, driver.now_us)
        driver.notify_endpoints([restarted], ListUpdateKind.DELTA)


@dataclass(frozen=True)
class ReplaceList:
    """Discovery sends a complete endpoint list."""

    endpoint_count: int
    kind: ListUpdateKind

    def apply(self, driver: PolicyDriver) -> None:
        """Send the complete list to the policy."""
        driver.notify_endpoints(endpoints(self.endpoint_count), self.kind)


@dataclass(frozen=True)
class FailDiscovery:
    """A call to discovery fails."""

    def apply(self, driver: PolicyDriver) -> None:
        """Report the failed call to the policy."""
        driver.notify_endpoints((), ListUpdateKind.FAILED)


def changed_endpoint(endpoint_id: EndpointId, state: EndpointState, started_at_us: int = 0) -> Endpoint:
    """Return an endpoint in the same zone and deduplication group as `endpoints` would create it."""
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
def test_each_request_gets_one_final_answer_and_actions_follow_the_rules(
    policy_settings: Settings, endpoint_count: int, seed: int, steps: list[Step]
) -> None:
    driver = PolicyDriver(policy_settings, endpoint_count, seed)
    for step in steps:
        step.apply(driver)
    driver.run_until(driver.now_us + US_PER_S)
    assert not driver.unanswered
    assert all(len(answers) == 1 for answers in driver.answers.values())


NEW_ENDPOINT_ID = 9
TYPICAL_COST_MS = 40
MAX_COST_MS = 80


def serve_typical_traffic(driver: PolicyDriver, count: int) -> None:
    """Send requests of typical cost that succeed at once."""
    for _ in range(count):
        driver.advance(20 * US_PER_MS)
        driver.send_request(cost_us=TYPICAL_COST_MS * US_PER_MS)
        for attempt in driver.in_flight():
            driver.end_attempt(attempt)


@settings(derandomize=True, database=None, deadline=None, max_examples=60)
@given(
    st.integers(0, 3),
    st.sampled_from([0.12, 0.3]),
    st.lists(st.tuples(st.integers(1, 60), st.integers(1, MAX_COST_MS)), min_size=50, max_size=300),
)
def test_endpoint_in_slow_start_gets_at_most_its_share_in_any_window(
    seed: int, initial_capacity: float, gaps_and_costs_ms: list[tuple[int, int]]
) -> None:
    """Slow start must limit the work of a new endpoint for any request costs and gaps between requests.

    In every overload window the endpoint gets at most the overload factor times its share of the capacity,
    and two requests of maximal cost.
    """
    policy_settings = Settings(
        CLASSES,
        initial_capacity=initial_capacity,
        slow_start_window_us=20 * US_PER_S,
        hedging_allowed=True,
        cancellation_allowed=True,
    )
    driver = PolicyDriver(policy_settings, 4, seed)
    serve_typical_traffic(driver, 100)
    started_at_us = driver.now_us
    driver.notify_endpoints([Endpoint(NEW_ENDPOINT_ID, started_at_us=started_at_us)], ListUpdateKind.DELTA)
    cost_ms = {attempt.request_id: TYPICAL_COST_MS for attempt in driver.attempts}
    for gap_ms, request_cost_ms in gaps_and_costs_ms:
        driver.run_until(driver.now_us + gap_ms * US_PER_MS)
        cost_ms[driver.send_request(cost_us=request_cost_ms * US_PER_MS)] = request_cost_ms
        for attempt in driver.in_flight():
            is_new_endpoint = attempt.endpoint_id == NEW_ENDPOINT_ID
            driver.end_attempt(attempt, Outcome.REJECTED if is_new_endpoint else Outcome.OK)
    window_us = policy_settings.overload_window_us
    for window_start_us in range(started_at_us, driver.now_us, 500 * US_PER_MS):
        window_end_us = window_start_us + window_us
        in_window = [
            attempt for attempt in driver.attempts if window_start_us <= attempt.started_at_us < window_end_us
        ]
        total_cost_ms = sum(cost_ms[attempt.request_id] for attempt in in_window)
        new_endpoint_cost_ms = sum(
            cost_ms[attempt.request_id] for attempt in in_window if attempt.endpoint_id == NEW_ENDPOINT_ID
        )
        elapsed_fraction = (window_end_us - started_at_us) / policy_settings.slow_start_window_us
        capacity_fraction = initial_capacity + (1 - initial_capacity) * elapsed_fraction
        allowed_cost_ms = policy_settings.overload_factor * total_cost_ms * capacity_fraction / 4
        assert new_endpoint_cost_ms <= allowed_cost_ms + 2 * MAX_COST_MS
