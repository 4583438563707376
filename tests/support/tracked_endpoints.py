"""Creates tracked endpoints for unit tests of policy modules."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from http_gateway.policy.endpoint import Endpoint
from http_gateway.policy.open_breakers import OpenBreakerCounts
from http_gateway.policy.token_bucket import WarmUpBucket
from http_gateway.policy.tracked_endpoint import TrackedEndpoint


def track(endpoints: Iterable[Endpoint]) -> list[TrackedEndpoint]:
    """Return the tracked state of endpoints, with empty warm-up buckets."""
    random = Random(1)
    counts = OpenBreakerCounts()
    return [TrackedEndpoint.create(endpoint, random, WarmUpBucket(0), counts) for endpoint in endpoints]
