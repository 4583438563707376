"""The token bucket that limits what a gateway sends to an endpoint that is warming up."""

from __future__ import annotations

from dataclasses import dataclass
from math import exp


@dataclass(slots=True)
class WarmUpBucket:
    """Tokens in microseconds of work, from two sources: a refill rate, and credit for responses."""

    refilled_at_us: int
    refilled: float = 0.0  # as of `refilled_at_us`
    credit: float = 0.0  # as of `decayed_at_us`
    decayed_at_us: int = 0

    @property
    def tokens(self) -> float:
        """The tokens in it, as of the last `refill` and `decay`."""
        return self.refilled + self.credit

    def refill(self, rate: float, capacity: float, now_us: int) -> None:
        """Add what has come in at `rate` since the last refill, up to `capacity`."""
        self.refilled = min(self.refilled + rate * (now_us - self.refilled_at_us), capacity)
        self.refilled_at_us = now_us

    def decay(self, time_constant_us: float, now_us: int) -> None:
        """Let credit decay exponentially, by 1/e within the time constant."""
        self.credit *= exp((self.decayed_at_us - now_us) / time_constant_us)
        self.decayed_at_us = now_us

    def add_credit(self, amount: float) -> None:
        """Add credit, which the caller has decayed to this moment."""
        self.credit += amount

    def take(self, cost: float) -> None:
        """Take a cost out, of the credit first; the bucket may have less."""
        from_credit = min(cost, self.credit)
        self.credit -= from_credit
        self.refilled = max(0.0, self.refilled - cost + from_credit)

    def empty(self) -> None:
        """Drop every token."""
        self.refilled = self.credit = 0.0
