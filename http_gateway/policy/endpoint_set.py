"""The endpoints that a gateway may send to, with its subset of them, their zone weights and their warm-up."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random

from http_gateway.policy.capacity_totals import CapacityTotals
from http_gateway.policy.endpoint import Endpoint, EndpointId, EndpointState
from http_gateway.policy.events import EndpointListUpdate, ListUpdateKind
from http_gateway.policy.open_breakers import OpenBreakerCounts
from http_gateway.policy.pending_request import Attempt
from http_gateway.policy.settings import Settings
from http_gateway.policy.slow_start import SlowStart
from http_gateway.policy.subsetting import Subset
from http_gateway.policy.time_units import US_PER_S
from http_gateway.policy.tracked_endpoint import TrackedEndpoint
from http_gateway.policy.zone_weights import zone_weights

# While an endpoint is warming up its capacity grows, so the weights are brought up to date at this interval.
WEIGHTS_UPDATE_INTERVAL_US = US_PER_S // 10


@dataclass(slots=True)
class _Changes:
    """The endpoints that one update removes and adds; one that has restarted is in both lists."""

    removed: list[TrackedEndpoint] = field(default_factory=list)
    added: list[TrackedEndpoint] = field(default_factory=list)


class EndpointSet:
    """The ready endpoints, and how this gateway's work is divided among them.

    Args:
        settings: The settings of the gateway.
        random: The source of random numbers for slow start and for the circuit breakers.
    """

    def __init__(self, settings: Settings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._endpoints: dict[EndpointId, TrackedEndpoint] = {}
        self._totals = CapacityTotals(settings)
        self._subset = Subset(settings, self._endpoints)
        self._slow_start = SlowStart(settings, random, self._totals, self._subset)
        self._open_breakers = OpenBreakerCounts()
        self._zone_weights: dict[str, float] | None = None  # None until they are needed after a change
        self._weights_updated_at_us: int | None = None  # None while all endpoints are warm

    def __len__(self) -> int:
        """Return the number of ready endpoints."""
        return len(self._endpoints)

    @property
    def subset(self) -> Subset:
        """The subset that this gateway normally sends to."""
        return self._subset

    @property
    def slow_start(self) -> SlowStart:
        """The limits of the endpoints that are warming up."""
        return self._slow_start

    @property
    def open_breakers(self) -> OpenBreakerCounts:
        """The numbers of open circuit breakers of the ready endpoints."""
        return self._open_breakers

    @property
    def zone_weights(self) -> Mapping[str, float]:
        """The fraction of this gateway's work that is intended for one unit of capacity in each zone."""
        if self._zone_weights is None:
            self._zone_weights = zone_weights(self._totals.capacity_by_zone(), self._settings)
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
        self._totals.advance(now_us)
        entries = {endpoint.id: endpoint for endpoint in update.endpoints}
        changes = _Changes()
        if update.kind is not ListUpdateKind.DELTA:
            unlisted = [endpoint_id for endpoint_id in self._endpoints if endpoint_id not in entries]
            changes.removed.extend(self._remove(endpoint_id) for endpoint_id in unlisted)
        for endpoint in entries.values():
            self._apply_entry(endpoint, now_us, changes)
        self._subset.update(changes.removed, changes.added)
        self._on_totals_changed(now_us)

    def update_weights_if_due(self, now_us: int) -> None:
        """Bring the weights up to date if an endpoint is warming up and the update interval has passed."""
        if (
            self._weights_updated_at_us is not None
            and now_us >= self._weights_updated_at_us + WEIGHTS_UPDATE_INTERVAL_US
        ):
            self._totals.advance(now_us)
            self._subset.restart_shuffle()
            self._on_totals_changed(now_us)

    def _apply_entry(self, endpoint: Endpoint, now_us: int, changes: _Changes) -> None:
        """Add, update or remove one endpoint; a changed start time means that the endpoint has restarted."""
        tracked = self._endpoints.get(endpoint.id)
        is_ready = endpoint.state is EndpointState.READY
        if tracked is not None and is_ready and tracked.endpoint.started_at_us == endpoint.started_at_us:
            self._update(tracked, endpoint)
            return
        if tracked is not None:
            changes.removed.append(self._remove(endpoint.id))
        if is_ready:
            changes.added.append(self._add(endpoint, now_us))

    def _add(self, endpoint: Endpoint, now_us: int) -> TrackedEndpoint:
        tracked = TrackedEndpoint.create(
            endpoint,
            self._random,
            self._slow_start.new_bucket(now_us),
            self._open_breakers,
            self._settings.gateway_count,
        )
        self._endpoints[endpoint.id] = tracked
        self._totals.add(endpoint)
        return tracked

    def _remove(self, endpoint_id: EndpointId) -> TrackedEndpoint:
        tracked = self._endpoints.pop(endpoint_id)
        self._totals.remove(tracked.endpoint)
        tracked.stop_counting_breakers()
        return tracked

    def _update(self, tracked: TrackedEndpoint, endpoint: Endpoint) -> None:
        """Replace the description of an endpoint that has not restarted."""
        if tracked.endpoint == endpoint:
            return
        self._totals.remove(tracked.endpoint)
        self._totals.add(endpoint)
        tracked.update(endpoint)

    def _on_totals_changed(self, now_us: int) -> None:
        self._slow_start.update(now_us)
        self._zone_weights = None
        self._weights_updated_at_us = None if self._totals.all_warm else now_us
