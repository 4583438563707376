"""Endpoint selection: power of two choices, key affinity and zone preference."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random

from http_gateway.policy.endpoint_set import EndpointSet
from http_gateway.policy.latency_estimate import LatencyEstimate
from http_gateway.policy.pending_request import PendingRequest
from http_gateway.policy.retry_policy import may_retry_on
from http_gateway.policy.settings import Settings
from http_gateway.policy.slow_start import SlowStart
from http_gateway.policy.subsetting import rank_by_key
from http_gateway.policy.tracked_endpoint import TrackedEndpoint

CHOICES = 2  # endpoints that are compared by their load


class EndpointSelector:
    """Chooses the endpoint of an attempt."""

    def __init__(
        self,
        settings: Settings,
        random: Random,
        endpoints: EndpointSet,
        slow_start: SlowStart,
        latency: LatencyEstimate,
    ) -> None:
        self._settings = settings
        self._random = random
        self._endpoints = endpoints
        self._slow_start = slow_start
        self._latency = latency

    def choose(self, pending: PendingRequest, now_us: int) -> TrackedEndpoint | None:
        """The less busy of two endpoints that admit the request; the other becomes its fallback.

        A fallback that still admits the request is chosen without a new draw. None if no endpoint admits it.
        """
        tried = {attempt.endpoint.id for attempt in pending.attempts}
        cost_us = self._latency.cost_us(pending)
        fallback = None if pending.fallback_id is None else self._endpoints.get(pending.fallback_id)
        if (
            fallback is not None
            and fallback.id not in tried
            and self._admits(fallback, pending, cost_us, now_us)
        ):
            return fallback
        drawn: list[TrackedEndpoint] = []
        for tracked in self._candidates(pending.request.key):
            if tracked in drawn or tracked.endpoint.id in tried:
                continue
            if self._admits(tracked, pending, cost_us, now_us):
                drawn.append(tracked)
                if len(drawn) == CHOICES:
                    break
        drawn.sort(key=lambda tracked: tracked.load_score(now_us))
        pending.set_fallback(drawn[1].id if len(drawn) > 1 else None)
        return drawn[0] if drawn else None

    def _candidates(self, key: str | None) -> Iterator[TrackedEndpoint]:
        """The endpoints in the order in which they are tried, some of them more than once."""
        members = self._endpoints.subset.members
        if key is not None and self._settings.key_affinity:
            yield from rank_by_key(key, members, self._endpoints.zone_weights)
        if self._settings.cross_zone_cost > 0:
            local = [
                tracked
                for tracked in members
                if tracked.endpoint.zone == self._settings.zone and tracked.concurrency.is_under_half_used
            ]
            if len(local) >= CHOICES:
                yield from self._shuffled(local)
        yield from self._shuffled(members)
        yield from self._endpoints.subset.fallbacks

    def _shuffled(self, endpoints: list[TrackedEndpoint]) -> Iterator[TrackedEndpoint]:
        """Shuffle in place, only as far as the caller iterates."""
        for place in range(len(endpoints)):
            other = self._random.randrange(place, len(endpoints))
            endpoints[place], endpoints[other] = endpoints[other], endpoints[place]
            yield endpoints[place]

    def _admits(self, tracked: TrackedEndpoint, pending: PendingRequest, cost_us: float, now_us: int) -> bool:
        if not tracked.admits(pending.request_class, now_us):
            return False
        if pending.attempts and not may_retry_on(tracked.endpoint, pending, self._endpoints.get_description):
            return False
        return self._slow_start.admits(tracked, cost_us, now_us)
