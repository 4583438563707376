"""The endpoints that a gateway may send to: the list, their subset, their weights and their warm-up."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Mapping
from random import Random

from http_gateway.policy.endpoint import Endpoint, EndpointId, EndpointState
from http_gateway.policy.events import EndpointListUpdate, ListUpdateKind
from http_gateway.policy.pending_request import Attempt
from http_gateway.policy.settings import Settings
from http_gateway.policy.slow_start import SlowStart
from http_gateway.policy.subsetting import Subset, choose_subset
from http_gateway.policy.time_units import US_PER_S
from http_gateway.policy.tracked_endpoint import TrackedEndpoint
from http_gateway.policy.zone_weights import zone_weights

# While any endpoint is warming up, shares follow its capacity this often; at each request it would take too
# much processor time.
SHARES_INTERVAL_US = US_PER_S // 10


class EndpointSet:
    """The ready endpoints and this gateway's shares in them."""

    def __init__(self, settings: Settings, random: Random, slow_start: SlowStart) -> None:
        self._settings = settings
        self._random = random
        self._slow_start = slow_start
        self._endpoints: dict[EndpointId, TrackedEndpoint] = {}
        self._subset = Subset([], [], 1)
        self._zone_weights: dict[str, float] = {}
        self._shares_updated_at_us: int | None = None  # None while all endpoints are warm

    @property
    def all(self) -> Collection[TrackedEndpoint]:
        """Every ready endpoint."""
        return self._endpoints.values()

    @property
    def subset(self) -> Subset:
        """The endpoints that this gateway keeps to, and the others."""
        return self._subset

    @property
    def zone_weights(self) -> Mapping[str, float]:
        """The part of this gateway's work that is meant for each unit of capacity, by zone."""
        return self._zone_weights

    def get(self, endpoint_id: EndpointId) -> TrackedEndpoint | None:
        """A ready endpoint, or None."""
        return self._endpoints.get(endpoint_id)

    def listed(self, endpoint_id: EndpointId) -> Endpoint | None:
        """A ready endpoint as it is listed now, or None."""
        tracked = self._endpoints.get(endpoint_id)
        return None if tracked is None else tracked.endpoint

    def of_attempt(self, attempt: Attempt) -> TrackedEndpoint | None:
        """The endpoint of an attempt; None if it was removed or restarted since."""
        tracked = self._endpoints.get(attempt.endpoint.id)
        if tracked is None or tracked.endpoint.started_at_us != attempt.endpoint.started_at_us:
            return None
        return tracked

    def apply(self, update: EndpointListUpdate, now_us: int) -> None:
        """Follow an endpoint list that has come."""
        named = {endpoint.id: endpoint for endpoint in update.endpoints}
        if update.kind is not ListUpdateKind.DELTA:
            self._endpoints = {
                endpoint_id: tracked
                for endpoint_id, tracked in self._endpoints.items()
                if endpoint_id in named
            }
        for endpoint in named.values():
            self._apply_entry(endpoint, now_us)
        self._update_shares(now_us)

    def follow_warm_up(self, now_us: int) -> None:
        """Update shares if an endpoint is warming up and the last update is old."""
        if (
            self._shares_updated_at_us is not None
            and now_us >= self._shares_updated_at_us + SHARES_INTERVAL_US
        ):
            self._update_shares(now_us)

    def _apply_entry(self, endpoint: Endpoint, now_us: int) -> None:
        known = self._endpoints.get(endpoint.id)
        if endpoint.state is not EndpointState.READY:
            self._endpoints.pop(endpoint.id, None)
        elif known is None or known.endpoint.started_at_us != endpoint.started_at_us:
            bucket = self._slow_start.new_bucket(now_us)
            self._endpoints[endpoint.id] = TrackedEndpoint.create(
                endpoint, self._random, bucket, self._settings.gateway_count
            )
        else:
            known.update(endpoint)

    def _update_shares(self, now_us: int) -> None:
        capacity_fractions = {
            tracked: self._slow_start.capacity_fraction(tracked.endpoint, now_us)
            for tracked in self._endpoints.values()
        }
        self._zone_weights = zone_weights(capacity_by_zone(capacity_fractions), self._settings)
        self._subset = choose_subset(self._endpoints.values(), self._settings)
        self._slow_start.update(capacity_fractions, self._subset, now_us)
        all_warm = min(capacity_fractions.values(), default=1) == 1
        self._shares_updated_at_us = None if all_warm else now_us


def capacity_by_zone(capacity_fractions: Mapping[TrackedEndpoint, float]) -> dict[str, float]:
    """The capacity of each zone, in warm endpoints."""
    capacity: defaultdict[str, float] = defaultdict(float)
    for tracked, fraction in capacity_fractions.items():
        capacity[tracked.endpoint.zone] += fraction
    return capacity
