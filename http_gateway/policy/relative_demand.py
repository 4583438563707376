"""The work that is intended for an endpoint, relative to the other endpoints of its machine type."""

from __future__ import annotations

from http_gateway.policy.capacity_totals import CapacityTotals, full_capacity
from http_gateway.policy.endpoint import Endpoint
from http_gateway.policy.settings import Settings
from http_gateway.policy.zone_weights import zone_weights


class RelativeDemand:
    """Computes relative demands from the totals, and keeps the intermediate results until these change.

    Args:
        settings: The settings of the gateway.
        totals: The totals over the ready endpoints.
    """

    def __init__(self, settings: Settings, totals: CapacityTotals) -> None:
        self._settings = settings
        self._totals = totals
        self._revision = totals.revision  # of the totals from which the following fields were computed
        self._zone_weights: dict[str, float] = {}
        self._capacity_per_demand: dict[str, float] = {}  # keyed by machine type

    def of(self, endpoint: Endpoint) -> float:
        """Return the relative demand of a ready endpoint; the mean over a machine type is 1."""
        if self._revision != self._totals.revision or not self._zone_weights:
            self._revision = self._totals.revision
            self._zone_weights = zone_weights(self._totals.endpoints_by_zone(), self._settings)
            self._capacity_per_demand.clear()
        ratio = self._capacity_per_demand.get(endpoint.machine_type)
        if ratio is None:
            ratio = self._compute_capacity_per_demand(endpoint.machine_type)
            self._capacity_per_demand[endpoint.machine_type] = ratio
        return full_capacity(endpoint, self._settings) * self._zone_weights[endpoint.zone] * ratio

    def _compute_capacity_per_demand(self, machine_type: str) -> float:
        capacity_by_zone = self._totals.capacity_by_type_and_zone(machine_type)
        demand = sum(capacity * self._zone_weights[zone] for zone, capacity in capacity_by_zone.items())
        return sum(capacity_by_zone.values()) / demand
