"""What warm endpoints of a machine type do for this gateway. Times are microseconds."""

from __future__ import annotations

from math import exp

from http_gateway.policy.time_units import US_PER_S

RATE_WINDOW_US = 2 * US_PER_S  # while any endpoint of the type is warm
# Once none remains. As the warm ones are removed one by one, the last ones serve few gateways, and what
# those see of them is far from the mean.
LONG_RATE_WINDOW_US = 10 * US_PER_S


class DecayingRate:
    """A rate per microsecond, averaged over the past with weights that fall by 1/e within each window."""

    def __init__(self, window_us: int, now_us: int) -> None:
        self._window_us = window_us
        self._sum = 0.0
        self._updated_at_us = now_us

    def add(self, amount: float, now_us: int) -> None:
        """Count an amount."""
        self._sum = self._sum * exp((self._updated_at_us - now_us) / self._window_us) + amount
        self._updated_at_us = now_us

    def rate(self, now_us: int) -> float:
        """The present rate."""
        return self._sum * exp((self._updated_at_us - now_us) / self._window_us) / self._window_us


class MachineTypeThroughput:
    """Work done by warm endpoints of a machine type, per unit of capacity of all such endpoints."""

    def __init__(self, now_us: int) -> None:
        self._recent = DecayingRate(RATE_WINDOW_US, now_us)
        self._long_term = DecayingRate(LONG_RATE_WINDOW_US, now_us)
        self._created_at_us = now_us
        self._none_warm_since_us = now_us
        self._warm_capacity = 0.0

    def set_warm_capacity(self, warm_capacity: float, now_us: int) -> None:
        """Follow the list, or time: how much capacity of the type is warm now."""
        if warm_capacity == 0 < self._warm_capacity:
            self._none_warm_since_us = now_us
        self._warm_capacity = warm_capacity

    def record_response(self, cost: float, now_us: int) -> None:
        """Count the work of a response from a warm endpoint.

        It is divided by the capacity that is warm now: divided later, it would count as more for each
        endpoint that remains.
        """
        if self._warm_capacity > 0:
            self._recent.add(cost / self._warm_capacity, now_us)
            self._long_term.add(cost / self._warm_capacity, now_us)

    def rate(self, now_us: int) -> float:
        """Work per microsecond and unit of capacity; as last known while no endpoint is warm."""
        if self._warm_capacity > 0:
            return self._recent.rate(now_us)
        age_us = max(RATE_WINDOW_US, self._none_warm_since_us - self._created_at_us)
        observed_part = 1 - exp(-age_us / LONG_RATE_WINDOW_US)
        return self._long_term.rate(self._none_warm_since_us) / observed_part
