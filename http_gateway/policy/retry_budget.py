"""The retry budget, which limits hedged attempts and all attempts of a request after the second."""

from __future__ import annotations

TOKENS_PER_REQUEST = 0.1  # in the long run, at most one retry from the budget for every ten requests
MAX_FLEET_TOKENS = 20.0  # capacity of the budgets of all gateways together


class RetryBudget:
    """A token bucket that each new request refills by a fraction of a token.

    It starts full. Its capacity is an equal part of the capacity for all gateways, but at least one token.
    """

    def __init__(self, gateway_count: int) -> None:
        self._capacity = max(1.0, MAX_FLEET_TOKENS / gateway_count)
        self._tokens = self._capacity

    @property
    def has_token(self) -> bool:
        """Whether the budget holds at least one token."""
        return self._tokens >= 1

    def deposit(self) -> None:
        """Add the fraction of a token that each new request contributes."""
        self._tokens = min(self._capacity, self._tokens + TOKENS_PER_REQUEST)

    def withdraw(self) -> None:
        """Remove one token."""
        self._tokens -= 1
