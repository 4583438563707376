"""The endpoints that a gateway may send to, with its subset of them, their zone weights and their warm-up."""

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

# While an endpoint is warming up its capacity grows, so the weights are recomputed at this interval.
# Recomputing them at each request would take too much processor time.
WEIGHTS_UPDATE_INTERVAL_US = US_PER_S // 10


class EndpointSet:
    """The ready endpoints, and how this gateway's work is divided among them."""

    def __init__(self, settings: Settings, random: Random, slow_start: SlowStart) -> None:
        self._settings = settings
        self._random = random
        self._slow_start = slow_start
        self._endpoints: dict[EndpointId, TrackedEndpoint] = {}
        self._subset = Subset([], [], 1)
        self._zone_weights: dict[str, float] = {}
        self._weights_updated_at_us: int | None = None  # None while all endpoints are warm

    @property
    def all(self) -> Collection[TrackedEndpoint]:
        """All ready endpoints."""
        return self._endpoints.values()

    @property
    def subset(self) -> Subset:
        """The subset that this gateway normally sends to, and the other endpoints."""
        return self._subset

    @property
    def zone_weights(self) -> Mapping[str, float]:
        """The fraction of this gateway's work that is intended for one unit of capacity in each zone."""
        return self._zone_weights

    def get(self, endpoint_id: EndpointId) -> TrackedEndpoint | None:
        """Return the state of a ready endpoint, or None if there is no such endpoint."""
        return self._endpoints.get(endpoint_id)

    def get_description(self, endpoint_id: EndpointId) -> Endpoint | None:
        """Return a ready endpoint as it is listed now, or None if there is no such endpoint."""
        tracked = self._endpoints.get(endpoint_id)
        return None if tracked is None else tracked.endpoint

    def get_for_attempt(self, attempt: Attempt) -> TrackedEndpoint | None:
        """Return the endpoint of an attempt.

        Args:
            attempt: An attempt that this gateway started.

        Returns:
            The state of the endpoint; None if it was removed or has restarted since the attempt started.
        """
        tracked = self._endpoints.get(attempt.endpoint.id)
        if tracked is None or tracked.endpoint.started_at_us != attempt.endpoint.started_at_us:
            return None
        return tracked

    def apply(self, update: EndpointListUpdate, now_us: int) -> None:
        """Apply an update of the endpoint list.

        Args:
            update: A delta, or a full list, which removes all endpoints that it does not contain.
            now_us: The current time in microseconds.
        """
        entries = {endpoint.id: endpoint for endpoint in update.endpoints}
        if update.kind is not ListUpdateKind.DELTA:
            self._endpoints = {
                endpoint_id: tracked
                for endpoint_id, tracked in self._endpoints.items()
                if endpoint_id in entries
            }
        for endpoint in entries.values():
            self._apply_entry(endpoint, now_us)
        self._update_weights(now_us)

    def update_weights_if_due(self, now_us: int) -> None:
        """Recompute the weights if an endpoint is warming up and the update interval has passed."""
        if (
            self._weights_updated_at_us is not None
            and now_us >= self._weights_updated_at_us + WEIGHTS_UPDATE_INTERVAL_US
        ):
            self._update_weights(now_us)

    def _apply_entry(self, endpoint: Endpoint, now_us: int) -> None:
        """Add, update or remove one endpoint; a changed start time means that the endpoint has restarted."""
        tracked = self._endpoints.get(endpoint.id)
        if endpoint.state is not EndpointState.READY:
            self._endpoints.pop(endpoint.id, None)
        elif tracked is None or tracked.endpoint.started_at_us != endpoint.started_at_us:
            bucket = self._slow_start.new_bucket(now_us)
            self._endpoints[endpoint.id] = TrackedEndpoint.create(
                endpoint, self._random, bucket, self._settings.gateway_count
            )
        else:
            tracked.update(endpoint)

    def _update_weights(self, now_us: int) -> None:
        """Recompute the zone weights, the subset and the estimates of slow start."""
        capacity_fractions = {
            tracked: self._slow_start.capacity_fraction(tracked.endpoint, now_us)
            for tracked in self._endpoints.values()
        }
        self._zone_weights = zone_weights(capacity_by_zone(capacity_fractions), self._settings)
        self._subset = choose_subset(self._endpoints.values(), self._settings)
        self._slow_start.update(capacity_fractions, self._subset, now_us)
        all_warm = min(capacity_fractions.values(), default=1) == 1
        self._weights_updated_at_us = None if all_warm else now_us


def capacity_by_zone(capacity_fractions: Mapping[TrackedEndpoint, float]) -> dict[str, float]:
    """Return the total capacity of each zone, in units of one warm endpoint.

    Args:
        capacity_fractions: The fraction of its full capacity that each endpoint has now.

    Returns:
        The capacity by zone name.
    """
    capacity: defaultdict[str, float] = defaultdict(float)
    for tracked, fraction in capacity_fractions.items():
        capacity[tracked.endpoint.zone] += fraction
    return capacity
