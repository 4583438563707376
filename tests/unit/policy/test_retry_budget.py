"""Attempts past the fallback, and hedges, share one budget."""

from __future__ import annotations

from http_gateway.policy.events import Outcome
from http_gateway.policy.retry_budget import TOKENS_PER_REQUEST
from http_gateway.policy.settings import Settings
from http_gateway.policy.time_units import US_PER_MS
from tests.support.policy_driver import CLASSES, PolicyDriver


def attempts_when_all_are_full(balancers: int, requests: int) -> int:
    settings = Settings(CLASSES, gateway_count=balancers, max_attempts=9, hedging_allowed=True)
    driver = PolicyDriver(settings, 60)
    for _ in range(requests):
        driver.send_request()
        while driver.in_flight():
            driver.end_attempt(driver.in_flight()[0], Outcome.REJECTED)
        driver.now_us += 100 * US_PER_MS
    return len(driver.attempts)


def test_full_servers_get_a_try_a_fallback_and_a_tenth_more() -> None:
    """Each of hundreds of balancers retrying as often as allowed kept full servers full."""
    assert attempts_when_all_are_full(400, 100) <= 100 * (2 + TOKENS_PER_REQUEST) + 1


def test_the_burst_is_split_among_the_balancers() -> None:
    assert attempts_when_all_are_full(1, 1) == 9
    assert attempts_when_all_are_full(400, 1) == 3
