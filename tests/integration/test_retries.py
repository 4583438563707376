"""When and where the policy allows a retry of a request that must not be executed twice."""

from __future__ import annotations

from typing import Any

import pytest

from http_gateway.policy.endpoint import Endpoint
from http_gateway.policy.events import ListUpdateKind, Outcome
from http_gateway.policy.settings import DeduplicationScope, RequestClass
from http_gateway.policy.time_units import US_PER_MS
from tests.support.policy_driver import KEYED_CLASSES, PolicyDriver

# What the module allows


def first_and_repeat(driver: PolicyDriver, kind: RequestClass) -> list[int]:
    """Ask, lose the first answer, and tell where it was sent."""
    request = driver.send_request(kind)
    driver.end_attempt(driver.in_flight(request)[0], Outcome.RESET)
    return [sent.endpoint_id for sent in driver.attempts_of(request)]


def test_a_repeat_bears_the_moment_by_which_it_has_to_leave() -> None:
    driver = PolicyDriver(endpoint_count=8)
    request = driver.send_request(KEYED_CLASSES[DeduplicationScope.ALL])
    assert driver.attempts_of(request)[0].last_byte_before_us == 0
    began, driver.now_us = driver.now_us, driver.now_us + 150 * US_PER_MS
    driver.end_attempt(driver.in_flight(request)[0], Outcome.RESET)
    assert (
        driver.attempts_of(request)[1].last_byte_before_us
        == began + KEYED_CLASSES[DeduplicationScope.ALL].deduplication_window_us
    )


@pytest.mark.parametrize(("late", "answer"), [(False, "shed"), (True, "failed")])
def test_a_request_that_may_have_run_is_refused_inside_its_window_only(late: bool, answer: str) -> None:
    """Who is refused comes again; past the window that would run a second time."""
    driver = PolicyDriver(endpoint_count=1)
    request = driver.send_request(KEYED_CLASSES[DeduplicationScope.ALL])
    driver.now_us += KEYED_CLASSES[DeduplicationScope.ALL].deduplication_window_us - (0 if late else 1)
    driver.end_attempt(driver.in_flight(request)[0], Outcome.RESET)
    assert driver.answers[request] == [answer]


def test_what_never_ran_and_what_is_safe_bear_none() -> None:
    driver = PolicyDriver(endpoint_count=8)
    moved = driver.send_request(KEYED_CLASSES[DeduplicationScope.GROUP])
    driver.end_attempt(driver.in_flight(moved)[0], Outcome.REJECTED)
    safe = driver.send_request()
    driver.end_attempt(driver.in_flight(safe)[0], Outcome.RESET)
    assert [sent.last_byte_before_us for sent in driver.attempts_of(moved) + driver.attempts_of(safe)] == [
        0,
        0,
        0,
        0,
    ]


@pytest.mark.parametrize(
    ("scope", "field"), [(DeduplicationScope.ZONE, "zone"), (DeduplicationScope.GROUP, "deduplication_group")]
)
def test_a_repeat_keeps_to_its_group_as_it_was_and_as_it_is(scope: DeduplicationScope, field: str) -> None:
    """Its host has moved since: whether the old group or the new one remembers, nobody tells."""
    driver = PolicyDriver(endpoint_count=0)
    group: dict[str, Any] = {"zone": "a", "deduplication_group": 1}
    driver.notify_endpoints([Endpoint(number, **group) for number in (1, 2)])
    request = driver.send_request(KEYED_CLASSES[scope])
    (sent,) = driver.in_flight(request)
    moved = Endpoint(sent.endpoint_id, **{**group, field: "b" if field == "zone" else 2})
    driver.notify_endpoints([moved], ListUpdateKind.DELTA)
    driver.end_attempt(sent, Outcome.RESET)
    assert driver.answers[request] == ["failed"]


@pytest.mark.parametrize(
    ("scope", "unknown"),
    [(DeduplicationScope.ZONE, {"zone": ""}), (DeduplicationScope.GROUP, {"deduplication_group": None})],
)
def test_hosts_of_unknown_groups_are_not_taken_for_one_group(
    scope: DeduplicationScope, unknown: dict[str, Any]
) -> None:
    driver = PolicyDriver(endpoint_count=0)
    driver.notify_endpoints(
        [Endpoint(number, **{"zone": "a", "deduplication_group": 1, **unknown}) for number in (1, 2)]
    )
    assert len(first_and_repeat(driver, KEYED_CLASSES[scope])) == 1
