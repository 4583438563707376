"""The configuration of a simulated fleet and its traffic."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property

from http_gateway.policy.endpoint import Endpoint
from http_gateway.policy.settings import Idempotency, RequestClass, Settings
from http_gateway.policy.time_units import US_PER_S


@dataclass(frozen=True)
class FleetPlan:
    """The gateways, endpoints and traffic of a simulation.

    All amounts of work are multiples of the work of a mean request. The weight of an endpoint is its capacity
    relative to the others. The setting `weights_are_capacities` determines whether gateways may rely on it.
    """

    gateway_count: int
    endpoints: tuple[Endpoint, ...]
    settings: Settings  # for all gateways; the fleet replaces the gateway count, index, zone and classes
    capacity_per_s: float = 20.0  # the work per second that a warm endpoint of weight 1 does
    offered_load: float = 0.6  # as a fraction of the total capacity of all endpoints
    traffic_shares: tuple[float, ...] = ()  # the relative traffic of each gateway; empty for equal shares
    max_list_delay_us: int = 0  # the maximum delay until a gateway receives a changed endpoint list
    latency_objective_us: int = US_PER_S
    timeout_us: int = 2 * US_PER_S  # from the arrival of a request to its deadline
    # If False, endpoints in slow start respond as fast as warm ones, and their responses add no credit to the
    # warm-up buckets. Only the refill from the throughput estimate then admits requests to these endpoints.
    responses_earn_credit: bool = True
    queue_capacity: float = 50.0  # the maximum work that may wait at an endpoint
    work_spread: float = 0.0  # the maximum deviation of a request's work, as a fraction of the mean
    seed: int = 1

    @cached_property
    def request_class(self) -> RequestClass:
        """The request class of all requests."""
        return RequestClass("work", self.latency_objective_us, self.timeout_us, Idempotency.IDEMPOTENT)

    @property
    def mean_cost_us(self) -> int:
        """The cost hint, in microseconds, of a request of mean work."""
        return round(US_PER_S / self.capacity_per_s)

    def zone_of(self, gateway_index: int) -> str:
        """Return the zone of a gateway; gateways are assigned to the zones in round-robin order."""
        zones = sorted({endpoint.zone for endpoint in self.endpoints})
        return zones[gateway_index % len(zones)]

    def request_rates_per_s(self) -> list[float]:
        """Return the request rate of each gateway, in requests per second."""
        shares = self.traffic_shares or (1.0,) * self.gateway_count
        total = self.offered_load * self.capacity_per_s * sum(endpoint.weight for endpoint in self.endpoints)
        return [total * share / sum(shares) for share in shares]
