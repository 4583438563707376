"""Tests of where and how long a possibly executed request may be retried or shed."""

from __future__ import annotations

from dataclasses import replace

import pytest

from http_gateway.policy.endpoint import Endpoint
from http_gateway.policy.events import ListUpdateKind, Outcome
from http_gateway.policy.hold_up_margin import HOLD_UP_MARGIN_US
from http_gateway.policy.settings import DeduplicationScope
from http_gateway.policy.time_units import US_PER_MS
from tests.support.policy_driver import KEYED_CLASSES, FinalAnswer, PolicyDriver

ENDPOINT = Endpoint(1, zone="a", deduplication_group=1)


def test_retry_has_to_be_written_within_the_deduplication_window() -> None:
    request_class = KEYED_CLASSES[DeduplicationScope.ALL]
    driver = PolicyDriver(endpoint_count=8)
    request_id = driver.send_request(request_class)
    started_at_us = driver.now_us
    assert driver.attempts_of(request_id)[0].last_byte_before_us == 0
    driver.advance(50 * US_PER_MS)
    driver.end_attempt(driver.in_flight(request_id)[0], Outcome.RESET)
    retry = driver.attempts_of(request_id)[1]
    window_end_us = started_at_us + request_class.deduplication_window_us
    assert retry.last_byte_before_us == window_end_us - HOLD_UP_MARGIN_US


@pytest.mark.parametrize(
    ("is_window_over", "answer"), [(False, FinalAnswer.SHED), (True, FinalAnswer.FAILED)]
)
def test_possibly_executed_request_is_shed_only_within_its_deduplication_window(
    is_window_over: bool, answer: FinalAnswer
) -> None:
    """A client may retry a shed request, and after the window the retry would be executed a second time."""
    request_class = KEYED_CLASSES[DeduplicationScope.ALL]
    driver = PolicyDriver(endpoint_count=1)
    request_id = driver.send_request(request_class)
    last_moment_us = request_class.deduplication_window_us - HOLD_UP_MARGIN_US - 1
    driver.advance(last_moment_us + (1 if is_window_over else 0))
    driver.end_attempt(driver.in_flight(request_id)[0], Outcome.RESET)
    assert driver.answers[request_id] == [answer]


def test_retry_without_risk_of_a_second_execution_has_no_deadline() -> None:
    """There is no such risk if the request was not executed or is idempotent."""
    driver = PolicyDriver(endpoint_count=8)
    rejected = driver.send_request(KEYED_CLASSES[DeduplicationScope.GROUP])
    driver.end_attempt(driver.in_flight(rejected)[0], Outcome.REJECTED)
    idempotent = driver.send_request()
    driver.end_attempt(driver.in_flight(idempotent)[0], Outcome.RESET)
    attempts = driver.attempts_of(rejected) + driver.attempts_of(idempotent)
    assert [attempt.last_byte_before_us for attempt in attempts] == [0, 0, 0, 0]


@pytest.mark.parametrize(
    ("scope", "moved_endpoint"),
    [
        (DeduplicationScope.ZONE, replace(ENDPOINT, zone="b")),
        (DeduplicationScope.GROUP, replace(ENDPOINT, deduplication_group=2)),
    ],
)
def test_retry_needs_both_the_former_and_the_current_scope_of_the_first_endpoint(
    scope: DeduplicationScope, moved_endpoint: Endpoint
) -> None:
    """After an endpoint has moved to another zone or group, its record of the key may be in either scope."""
    driver = PolicyDriver(endpoint_count=0)
    driver.notify_endpoints([ENDPOINT, replace(ENDPOINT, id=2)])
    request_id = driver.send_request(KEYED_CLASSES[scope])
    (attempt,) = driver.in_flight(request_id)
    driver.notify_endpoints([replace(moved_endpoint, id=attempt.endpoint_id)], ListUpdateKind.DELTA)
    driver.end_attempt(attempt, Outcome.RESET)
    assert driver.answers[request_id] == [FinalAnswer.FAILED]


@pytest.mark.parametrize(
    ("scope", "endpoint_without_scope"),
    [
        (DeduplicationScope.ZONE, replace(ENDPOINT, zone="")),
        (DeduplicationScope.GROUP, replace(ENDPOINT, deduplication_group=None)),
    ],
)
def test_endpoints_with_unknown_scope_do_not_share_it(
    scope: DeduplicationScope, endpoint_without_scope: Endpoint
) -> None:
    driver = PolicyDriver(endpoint_count=0)
    driver.notify_endpoints([endpoint_without_scope, replace(endpoint_without_scope, id=2)])
    request_id = driver.send_request(KEYED_CLASSES[scope])
    driver.end_attempt(driver.in_flight(request_id)[0], Outcome.RESET)
    assert len(driver.attempts_of(request_id)) == 1
