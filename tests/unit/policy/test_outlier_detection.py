"""Outlier detection of slow attempts while they are in flight."""

from __future__ import annotations

from http_gateway.policy.time_units import US_PER_MS
from tests.support.policy_driver import FinalAnswer, PolicyDriver


def test_unresponsive_endpoint_is_ejected_before_its_attempts_time_out() -> None:
    driver = PolicyDriver(endpoint_count=1)
    for _ in range(60):
        driver.serve_request(latency_us=20 * US_PER_MS)
    for _ in range(3):
        driver.send_request()
    for timer in sorted(driver.timers):
        driver.fire_timer(timer.due_at_us, timer.token)
    assert driver.now_us < driver.in_flight()[0].started_at_us + 200 * US_PER_MS
    assert driver.answers[driver.send_request()] == [FinalAnswer.SHED]
