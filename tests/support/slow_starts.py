"""Creates the slow start of a gateway with given endpoints, for unit tests of policy modules."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from http_gateway.policy.capacity_totals import CapacityTotals
from http_gateway.policy.settings import Settings
from http_gateway.policy.slow_start import SlowStart
from http_gateway.policy.subsetting import Subset
from http_gateway.policy.tracked_endpoint import TrackedEndpoint


def slow_start_of(
    settings: Settings, tracked_endpoints: Sequence[TrackedEndpoint], now_us: int = 0
) -> tuple[SlowStart, Subset]:
    """Return the slow start and the subset of a gateway that has just received an endpoint list."""
    totals = CapacityTotals(settings)
    totals.advance(now_us)
    subset = Subset(settings, {tracked.id: tracked for tracked in tracked_endpoints})
    for tracked in tracked_endpoints:
        totals.add(tracked.endpoint)
    subset.update(removed=(), added=tracked_endpoints)
    slow_start = SlowStart(settings, Random(1), totals, subset)
    slow_start.update(now_us)
    return slow_start, subset
