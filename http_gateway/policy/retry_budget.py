"""The retry budget: attempts beyond the first and its fallback, and hedged requests."""

from __future__ import annotations

TOKENS_PER_REQUEST = 0.1
MAX_TOKENS_OF_FLEET = 20.0  # of all gateways together


class RetryBudget:
    """A token bucket, refilled by a fraction of a token for each request."""

    def __init__(self, gateway_count: int) -> None:
        self._capacity = max(1.0, MAX_TOKENS_OF_FLEET / gateway_count)
        self._tokens = self._capacity

    @property
    def has_token(self) -> bool:
        """Whether it has a whole token."""
        return self._tokens >= 1

    def deposit(self) -> None:
        """Add the part of a token that a new request brings."""
        self._tokens = min(self._capacity, self._tokens + TOKENS_PER_REQUEST)

    def withdraw(self) -> None:
        """Take one token."""
        self._tokens -= 1
