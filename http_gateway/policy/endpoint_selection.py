"""Endpoint selection by the power of two choices, with key affinity and zone preference."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice
from random import Random

from http_gateway.policy.endpoint_set import EndpointSet
from http_gateway.policy.latency_estimate import LatencyEstimate
from http_gateway.policy.pending_request import PendingRequest
from http_gateway.policy.retry_policy import may_retry_on
from http_gateway.policy.settings import Settings
from http_gateway.policy.slow_start import SlowStart
from http_gateway.policy.subsetting import rank_by_key
from http_gateway.policy.tracked_endpoint import TrackedEndpoint

CHOICE_COUNT = 2  # endpoints whose load scores are compared for an attempt
# Endpoints of the subset, and of the fallbacks, that are examined for one attempt. While a large fleet is
# overloaded or warming up, hardly any endpoint admits a request, and examining all of them takes too long.
MAX_EXAMINED = 4096


class EndpointSelector:
    """Selects the endpoint for each attempt."""

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
        """Select the endpoint with the lower load score of two that admit the request.

        The other one becomes the fallback for the next attempt. A fallback from an earlier call is selected
        without a new comparison if it still admits the request. Endpoints that the request has already been
        sent to are skipped.

        Returns:
            The selected endpoint, or None if no endpoint admits the request.
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
        sampled: list[TrackedEndpoint] = []
        for tracked in self._candidates(pending.request.key):
            if tracked in sampled or tracked.endpoint.id in tried:
                continue
            if self._admits(tracked, pending, cost_us, now_us):
                sampled.append(tracked)
                if len(sampled) == CHOICE_COUNT:
                    break
        sampled.sort(key=lambda tracked: tracked.load_score(now_us))
        pending.set_fallback(sampled[1].id if len(sampled) > 1 else None)
        return sampled[0] if sampled else None

    def _candidates(self, key: str | None) -> Iterator[TrackedEndpoint]:
        """Yield the endpoints in the order in which selection considers them; some occur more than once.

        In large fleets this is a part of the endpoints, see `MAX_EXAMINED`.

        The order is: the ranking by request key with key affinity, then endpoints of the gateway's own zone
        that use less than half of their concurrency limit, then the subset, then all other endpoints.
        """
        members = self._endpoints.subset.members
        if key is not None and self._settings.key_affinity:
            yield from rank_by_key(key, members, self._endpoints.zone_weights)
        if self._settings.cross_zone_cost > 0:
            local = [
                tracked
                for tracked in members
                if tracked.endpoint.zone == self._settings.zone and tracked.concurrency.is_under_half_used
            ]
            if len(local) >= CHOICE_COUNT:
                yield from islice(self._shuffled(local), MAX_EXAMINED)
        yield from islice(self._shuffled(members), MAX_EXAMINED)
        yield from islice(self._endpoints.subset.fallbacks(), MAX_EXAMINED)

    def _shuffled(self, endpoints: list[TrackedEndpoint]) -> Iterator[TrackedEndpoint]:
        """Shuffle a list in place, one element for each step of the iteration.

        If the caller stops early, the remaining elements are not shuffled, which saves processor time.
        """
        for index in range(len(endpoints)):
            other = self._random.randrange(index, len(endpoints))
            endpoints[index], endpoints[other] = endpoints[other], endpoints[index]
            yield endpoints[index]

    def _admits(self, tracked: TrackedEndpoint, pending: PendingRequest, cost_us: float, now_us: int) -> bool:
        if not tracked.admits(pending.request_class, now_us):
            return False
        if pending.attempts and not may_retry_on(tracked.endpoint, pending, self._endpoints.get_description):
            return False
        return self._slow_start.admits(tracked, cost_us, now_us)
