"""The load score of an endpoint, which endpoint selection compares between two endpoints."""

from __future__ import annotations

from http_gateway.policy.time_units import US_PER_S

# The weight of a latency ratio falls linearly to 0 within this time after the latest response.
LATENCY_RATIO_WINDOW_US = US_PER_S // 2
LATENCY_RATIO_GAIN = 0.2  # weight of the latest response in the moving average of the latency ratio
# The weight of a failure falls linearly to 0 within this time, multiplied by the number of gateways. If
# there are many gateways, each one observes only a small part of the failures of an endpoint. Each observed
# failure therefore has to count for a longer time.
FAILURE_WINDOW_PER_GATEWAY_US = US_PER_S // 4


class LoadScore:
    """Counts attempts in flight and recent failures, multiplied by a latency ratio.

    A failure counts like one attempt in flight, with a weight that falls to 0 over the failure window.
    """

    __slots__ = ("failed_at_us", "failure_window_us", "failures", "latency_ratio", "latency_ratio_at_us")

    def __init__(self, failure_window_us: int) -> None:
        self.failure_window_us = failure_window_us
        self.latency_ratio = 1.0  # average of observed latency / latency expected over all endpoints
        self.latency_ratio_at_us = 0
        self.failures = 0.0  # weighted count at the time `failed_at_us`
        self.failed_at_us = 0

    def score(self, in_flight: int, now_us: int) -> float:
        """Return the load score at present; the endpoint with the lower score is selected."""
        attempts = in_flight + 1 + self._decayed_failures(now_us)
        ratio_weight = max(0.0, 1 - (now_us - self.latency_ratio_at_us) / LATENCY_RATIO_WINDOW_US)
        return attempts * (1 + (self.latency_ratio - 1) * ratio_weight)

    def record_latency(self, latency_us: int, expected_us: float, now_us: int) -> None:
        """Update the latency ratio with a response and its expected latency."""
        self.latency_ratio_at_us = now_us
        self.latency_ratio += LATENCY_RATIO_GAIN * (latency_us / expected_us - self.latency_ratio)

    def record_failure(self, now_us: int) -> None:
        """Add a failed attempt to the recent failures."""
        self.failures = self._decayed_failures(now_us) + 1
        self.failed_at_us = now_us

    def _decayed_failures(self, now_us: int) -> float:
        return self.failures * max(0.0, 1 - (now_us - self.failed_at_us) / self.failure_window_us)
