"""Events that only the balancer handles: requests without time, response streams and discovery results."""

from __future__ import annotations

import pytest

from http_gateway.policy.actions import CancelAttempt
from http_gateway.policy.balancer import WATCH_RETRY_JITTER, WATCH_RETRY_US, WATCH_TIMER
from http_gateway.policy.events import ListUpdateKind, Outcome
from http_gateway.policy.settings import Settings
from http_gateway.policy.time_units import US_PER_MS
from tests.support.policy_driver import CLASSES, FinalAnswer, PolicyDriver


@pytest.mark.parametrize("timeout_us", [0, -5 * US_PER_MS])
def test_request_without_time_left_is_shed_at_once(timeout_us: int) -> None:
    driver = PolicyDriver(Settings(CLASSES))
    request_id = driver.send_request(timeout_us=timeout_us)
    assert driver.answers[request_id] == [FinalAnswer.SHED]
    assert driver.attempts_of(request_id) == []


def test_response_stream_cancels_only_the_other_attempts() -> None:
    driver = PolicyDriver(Settings(CLASSES, hedging_allowed=True, cancellation_allowed=True))
    request_id = driver.send_request()
    [timer] = driver.take_timers()
    driver.fire_timer(timer.due_at_us, timer.token)
    streaming, hedged = driver.in_flight(request_id)
    assert driver.start_stream(streaming) == [CancelAttempt(request_id, hedged.number)]
    driver.end_attempt(hedged, Outcome.CANCELLED)
    driver.end_attempt(streaming, Outcome.OK)
    assert driver.answers[request_id] == [FinalAnswer.SERVED]


def test_streaming_attempt_never_counts_as_slow() -> None:
    driver = PolicyDriver(Settings(CLASSES, hedging_allowed=True))
    request_id = driver.send_request()
    [timer] = driver.take_timers()
    driver.start_stream(driver.in_flight(request_id)[0])
    assert driver.fire_timer(timer.due_at_us, timer.token) == []
    assert len(driver.attempts_of(request_id)) == 1


@pytest.mark.parametrize(
    ("is_polled", "kind", "watch_requests"),
    [
        (True, ListUpdateKind.CACHED, 1),
        (True, ListUpdateKind.COMPLETE, 0),
        (True, ListUpdateKind.DELTA, 0),
        (False, ListUpdateKind.CACHED, 0),
    ],
)
def test_cached_list_starts_a_watch_if_discovery_is_polled(
    is_polled: bool, kind: ListUpdateKind, watch_requests: int
) -> None:
    driver = PolicyDriver(Settings(CLASSES, discovery_is_polled=is_polled), endpoint_count=0)
    driver.notify_endpoints((), kind)
    assert driver.watch_requests == watch_requests


def test_failed_watch_is_retried_after_a_jittered_delay() -> None:
    driver = PolicyDriver(Settings(CLASSES, discovery_is_polled=True), endpoint_count=0)
    driver.notify_endpoints((), ListUpdateKind.FAILED)
    [timer] = driver.take_timers()
    assert timer.token == WATCH_TIMER
    delay_us = timer.due_at_us - driver.now_us
    assert abs(delay_us - WATCH_RETRY_US) <= WATCH_RETRY_JITTER * WATCH_RETRY_US
    driver.fire_timer(timer.due_at_us, timer.token)
    assert driver.watch_requests == 1
