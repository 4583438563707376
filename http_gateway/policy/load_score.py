"""The load score of one endpoint, by which the less busy of two is chosen."""

from __future__ import annotations

from http_gateway.policy.time_units import US_PER_S

LATENCY_RATIO_WINDOW_US = US_PER_S // 2  # a latency ratio that is not observed again is forgotten within this
LATENCY_RATIO_GAIN = 0.2  # weight of the latest response
# Times the number of gateways: where there are many, each sees few of an endpoint's failures.
FAILURE_WINDOW_PER_GATEWAY_US = US_PER_S // 4


class LoadScore:
    """Attempts in flight, weighted by latency; recent failures count as attempts in flight that fade away."""

    __slots__ = ("failed_at_us", "failure_window_us", "failures", "latency_ratio", "latency_ratio_at_us")

    def __init__(self, failure_window_us: int) -> None:
        self.failure_window_us = failure_window_us
        self.latency_ratio = 1.0  # latency as a multiple of the estimate over all endpoints
        self.latency_ratio_at_us = 0
        self.failures = 0.0  # as of `failed_at_us`
        self.failed_at_us = 0

    def score(self, in_flight: int, now_us: int) -> float:
        """The present load; the endpoint with the lower score is tried first."""
        attempts = in_flight + 1 + self._remaining_failures(now_us)
        remembered = max(0.0, 1 - (now_us - self.latency_ratio_at_us) / LATENCY_RATIO_WINDOW_US)
        return attempts * (1 + (self.latency_ratio - 1) * remembered)

    def record_latency(self, latency_us: int, expected_us: float, now_us: int) -> None:
        """Count the latency of a response against its estimate."""
        self.latency_ratio_at_us = now_us
        self.latency_ratio += LATENCY_RATIO_GAIN * (latency_us / expected_us - self.latency_ratio)

    def record_failure(self, now_us: int) -> None:
        """Count a failed attempt."""
        self.failures = self._remaining_failures(now_us) + 1
        self.failed_at_us = now_us

    def _remaining_failures(self, now_us: int) -> float:
        return self.failures * max(0.0, 1 - (now_us - self.failed_at_us) / self.failure_window_us)
