"""Where and until when a request that was possibly executed is retried or shed."""

from __future__ import annotations

from dataclasses import replace

import pytest

from http_gateway.policy.endpoint import Endpoint
from http_gateway.policy.events import ListUpdateKind, Outcome
from http_gateway.policy.settings import DeduplicationScope
from http_gateway.policy.time_units import US_PER_MS
from tests.support.policy_driver import KEYED_CLASSES, FinalAnswer, PolicyDriver

MEMBER = Endpoint(1, zone="a", deduplication_group=1)


def test_retry_has_to_be_written_within_the_deduplication_window() -> None:
    request_class = KEYED_CLASSES[DeduplicationScope.ALL]
    driver = PolicyDriver(endpoint_count=8)
    request_id = driver.send_request(request_class)
    started_at_us = driver.now_us
    assert driver.attempts_of(request_id)[0].last_byte_before_us == 0
    driver.advance(150 * US_PER_MS)
    driver.end_attempt(driver.in_flight(request_id)[0], Outcome.RESET)
    retry = driver.attempts_of(request_id)[1]
    assert retry.last_byte_before_us == started_at_us + request_class.deduplication_window_us


@pytest.mark.parametrize(
    ("is_window_over", "answer"), [(False, FinalAnswer.SHED), (True, FinalAnswer.FAILED)]
)
def test_possibly_executed_request_is_shed_within_its_deduplication_window_only(
    is_window_over: bool, answer: FinalAnswer
) -> None:
    """A client may retry a request that is shed; after the window that would be executed a second time."""
    request_class = KEYED_CLASSES[DeduplicationScope.ALL]
    driver = PolicyDriver(endpoint_count=1)
    request_id = driver.send_request(request_class)
    driver.advance(request_class.deduplication_window_us - (0 if is_window_over else 1))
    driver.end_attempt(driver.in_flight(request_id)[0], Outcome.RESET)
    assert driver.answers[request_id] == [answer]


def test_retry_without_risk_of_a_second_execution_has_no_deadline() -> None:
    """The request was not executed, or is idempotent."""
    driver = PolicyDriver(endpoint_count=8)
    rejected = driver.send_request(KEYED_CLASSES[DeduplicationScope.GROUP])
    driver.end_attempt(driver.in_flight(rejected)[0], Outcome.REJECTED)
    idempotent = driver.send_request()
    driver.end_attempt(driver.in_flight(idempotent)[0], Outcome.RESET)
    attempts = driver.attempts_of(rejected) + driver.attempts_of(idempotent)
    assert [attempt.last_byte_before_us for attempt in attempts] == [0, 0, 0, 0]


@pytest.mark.parametrize(
    ("scope", "moved_member"),
    [
        (DeduplicationScope.ZONE, replace(MEMBER, zone="b")),
        (DeduplicationScope.GROUP, replace(MEMBER, deduplication_group=2)),
    ],
)
def test_retry_needs_the_scope_of_the_endpoint_as_it_was_and_as_it_is_now(
    scope: DeduplicationScope, moved_member: Endpoint
) -> None:
    """The endpoint has moved since: either scope may have its memory of the key."""
    driver = PolicyDriver(endpoint_count=0)
    driver.notify_endpoints([MEMBER, replace(MEMBER, id=2)])
    request_id = driver.send_request(KEYED_CLASSES[scope])
    (attempt,) = driver.in_flight(request_id)
    driver.notify_endpoints([replace(moved_member, id=attempt.endpoint_id)], ListUpdateKind.DELTA)
    driver.end_attempt(attempt, Outcome.RESET)
    assert driver.answers[request_id] == [FinalAnswer.FAILED]


@pytest.mark.parametrize(
    ("scope", "unknown_member"),
    [
        (DeduplicationScope.ZONE, replace(MEMBER, zone="")),
        (DeduplicationScope.GROUP, replace(MEMBER, deduplication_group=None)),
    ],
)
def test_endpoints_of_unknown_scope_do_not_share_one(
    scope: DeduplicationScope, unknown_member: Endpoint
) -> None:
    driver = PolicyDriver(endpoint_count=0)
    driver.notify_endpoints([unknown_member, replace(unknown_member, id=2)])
    request_id = driver.send_request(KEYED_CLASSES[scope])
    driver.end_attempt(driver.in_flight(request_id)[0], Outcome.RESET)
    assert len(driver.attempts_of(request_id)) == 1
