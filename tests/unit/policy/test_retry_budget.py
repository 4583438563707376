"""Tests of the budget that limits hedged attempts and all attempts of a request after the second."""

from __future__ import annotations

from http_gateway.policy.events import Outcome
from http_gateway.policy.retry_budget import MAX_FLEET_TOKENS, TOKENS_PER_REQUEST, RetryBudget
from http_gateway.policy.settings import Settings
from http_gateway.policy.time_units import US_PER_MS
from tests.support.policy_driver import CLASSES, PolicyDriver


def withdraw_all(budget: RetryBudget) -> int:
    """Withdraw all whole tokens and return their number."""
    withdrawn = 0
    while budget.has_token:
        budget.withdraw()
        withdrawn += 1
    return withdrawn


def count_attempts_if_all_reject(gateway_count: int, request_count: int) -> int:
    settings = Settings(CLASSES, gateway_count=gateway_count, max_attempts=9, hedging_allowed=True)
    driver = PolicyDriver(settings, 60)
    for _ in range(request_count):
        driver.send_request()
        while driver.in_flight():
            driver.end_attempt(driver.in_flight()[0], Outcome.REJECTED)
        driver.advance(100 * US_PER_MS)
    return len(driver.attempts)


def test_rejected_request_gets_two_attempts_and_a_tenth_of_another() -> None:
    """Guards against a retry storm, in which the retries of hundreds of gateways keep full endpoints full."""
    assert count_attempts_if_all_reject(400, 100) <= 100 * (2 + TOKENS_PER_REQUEST) + 1


def test_initial_tokens_are_divided_among_the_gateways() -> None:
    assert count_attempts_if_all_reject(1, 1) == 9
    assert count_attempts_if_all_reject(400, 1) == 3


def test_new_budget_is_full_and_has_at_least_one_token() -> None:
    assert withdraw_all(RetryBudget(gateway_count=1)) == MAX_FLEET_TOKENS
    assert withdraw_all(RetryBudget(gateway_count=1000)) == 1


def test_deposits_add_up_to_whole_tokens_up_to_the_capacity() -> None:
    budget = RetryBudget(gateway_count=10)
    withdraw_all(budget)
    deposits_per_token = round(1 / TOKENS_PER_REQUEST)
    for _ in range(deposits_per_token - 1):
        budget.deposit()
    assert not budget.has_token
    for _ in range(100 * deposits_per_token):
        budget.deposit()
    assert withdraw_all(budget) == 2
