"""Estimates of the latency of a request, from the responses of all endpoints."""

from __future__ import annotations

from http_gateway.policy.pending_request import PendingRequest

STEP_FACTOR = 1.04  # each response raises or lowers the estimate by this factor
# The initial estimate of a request class, as a fraction of its latency objective.
INITIAL_OBJECTIVE_FRACTION = 1 / 4


class LatencyEstimate:
    """Estimates the median latency of each request class, per microsecond of request cost."""

    def __init__(self) -> None:
        self._median_per_cost: dict[str, float] = {}  # by class name

    def expected_us(self, pending: PendingRequest) -> float:
        """Return the estimated median latency over all endpoints for requests of this class and cost."""
        cost_us = pending.request.cost_us or 1
        request_class = pending.request_class
        initial = request_class.latency_objective_us * INITIAL_OBJECTIVE_FRACTION / cost_us
        return self._median_per_cost.get(request_class.name, initial) * cost_us

    def cost_us(self, pending: PendingRequest) -> float:
        """Return the expected work of a request: its cost hint, or its expected latency if it has none."""
        return pending.request.cost_us or self.expected_us(pending)

    def record(self, pending: PendingRequest, latency_us: int) -> None:
        """Move the estimate by one step towards the latency of a response."""
        name, cost_us = pending.request_class.name, pending.request.cost_us or 1
        observed = latency_us / cost_us
        median = self._median_per_cost.setdefault(name, observed)
        adjusted = median * STEP_FACTOR if observed > median else median / STEP_FACTOR
        self._median_per_cost[name] = max(1 / cost_us, adjusted)
