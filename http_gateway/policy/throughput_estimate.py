"""Estimates the work that the warm endpoints of a machine type do for this gateway.

All times are in microseconds.
"""

from __future__ import annotations

from math import exp

from http_gateway.policy.time_units import US_PER_S

# Averaging time constant while at least one endpoint of the machine type is warm.
RATE_TIME_CONSTANT_US = 2 * US_PER_S
# Averaging time constant once no endpoint of the machine type is warm. When the warm endpoints are removed
# one by one, the last of them serve only a few gateways. The throughput that a gateway observes at that time
# is far from the mean over all gateways. The longer average gives it less weight.
LONG_RATE_TIME_CONSTANT_US = 10 * US_PER_S


class DecayingRate:
    """An exponentially weighted average of a rate per microsecond.

    The weight of an amount falls to 1/e within each time constant.
    """

    def __init__(self, time_constant_us: int, now_us: int) -> None:
        self._time_constant_us = time_constant_us
        self._weighted_sum = 0.0
        self._updated_at_us = now_us

    def add(self, amount: float, now_us: int) -> None:
        """Add an amount at the current time."""
        self._weighted_sum = (
            self._weighted_sum * exp((self._updated_at_us - now_us) / self._time_constant_us) + amount
        )
        self._updated_at_us = now_us

    def rate(self, now_us: int) -> float:
        """Return the average rate per microsecond as of now."""
        return (
            self._weighted_sum
            * exp((self._updated_at_us - now_us) / self._time_constant_us)
            / self._time_constant_us
        )


class MachineTypeThroughput:
    """The work that warm endpoints of one machine type do, per unit of their total capacity."""

    def __init__(self, now_us: int) -> None:
        self._recent = DecayingRate(RATE_TIME_CONSTANT_US, now_us)
        self._long_term = DecayingRate(LONG_RATE_TIME_CONSTANT_US, now_us)
        self._created_at_us = now_us
        self._none_warm_since_us = now_us
        self._warm_capacity = 0.0

    def set_warm_capacity(self, warm_capacity: float, now_us: int) -> None:
        """Set the total capacity of the warm endpoints of this machine type."""
        if warm_capacity == 0 < self._warm_capacity:
            self._none_warm_since_us = now_us
        self._warm_capacity = warm_capacity

    def record_response(self, cost: float, now_us: int) -> None:
        """Record the work of a response from a warm endpoint.

        The work is divided by the capacity that is warm at this moment. If the accumulated work were divided
        by the current capacity when it is read, each removal of a warm endpoint would raise the estimate.
        """
        if self._warm_capacity > 0:
            self._recent.add(cost / self._warm_capacity, now_us)
            self._long_term.add(cost / self._warm_capacity, now_us)

    def rate(self, now_us: int) -> float:
        """Return the work per microsecond and unit of capacity.

        While no endpoint is warm, the result is the long-term average at the time when the last one was. That
        average started at zero, so it is scaled up if the machine type was observed only for a short time.
        """
        if self._warm_capacity > 0:
            return self._recent.rate(now_us)
        age_us = max(RATE_TIME_CONSTANT_US, self._none_warm_since_us - self._created_at_us)
        observed_fraction = 1 - exp(-age_us / LONG_RATE_TIME_CONSTANT_US)
        return self._long_term.rate(self._none_warm_since_us) / observed_fraction
