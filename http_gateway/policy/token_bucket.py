"""The token bucket that limits the work a gateway sends to an endpoint during its warm-up."""

from __future__ import annotations

from dataclasses import dataclass
from math import exp


@dataclass(slots=True)
class WarmUpBucket:
    """A token bucket with two sources of tokens: a refill rate, and credit for responses.

    One token stands for one microsecond of work. Tokens of both kinds are spent on requests. Refilled
    tokens are capped and do not decay. Credit decays over time and has no cap.
    """

    refilled_at_us: int
    refill_tokens: float = 0.0  # tokens from the refill rate, at the time `refilled_at_us`
    credit_tokens: float = 0.0  # tokens from responses, at the time `decayed_at_us`
    decayed_at_us: int = 0

    @property
    def tokens(self) -> float:
        """All available tokens, as of the last calls of `refill` and `decay`."""
        return self.refill_tokens + self.credit_tokens

    def refill(self, rate: float, capacity: float, now_us: int) -> None:
        """Add the tokens that have accrued since the last refill.

        Args:
            rate: Tokens per microsecond.
            capacity: The maximum of refilled tokens; any excess is dropped. Credit does not count towards it.
            now_us: The current time in microseconds.
        """
        self.refill_tokens = min(self.refill_tokens + rate * (now_us - self.refilled_at_us), capacity)
        self.refilled_at_us = now_us

    def decay(self, time_constant_us: float, now_us: int) -> None:
        """Reduce credit exponentially: it falls to 1/e of its value within each time constant."""
        self.credit_tokens *= exp((self.decayed_at_us - now_us) / time_constant_us)
        self.decayed_at_us = now_us

    def add_credit(self, amount: float) -> None:
        """Add credit tokens; the caller must have called `decay` for the current time first."""
        self.credit_tokens += amount

    def take(self, cost: float) -> None:
        """Remove the cost of a request, from credit first; a cost above the tokens empties the bucket."""
        from_credit = min(cost, self.credit_tokens)
        self.credit_tokens -= from_credit
        self.refill_tokens = max(0.0, self.refill_tokens - cost + from_credit)

    def empty(self) -> None:
        """Remove all tokens."""
        self.refill_tokens = self.credit_tokens = 0.0
