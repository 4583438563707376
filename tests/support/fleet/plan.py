"""The plan of a simulated fleet and of its traffic."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property

from http_gateway.policy.endpoint import Endpoint
from http_gateway.policy.settings import Idempotency, RequestClass, Settings
from http_gateway.policy.time_units import US_PER_S


@dataclass(frozen=True)
class FleetPlan:
    """Gateways, endpoints and traffic of a simulation.

    Amounts of work are in requests of mean work. The weight of an endpoint is its capacity relative to the
    others; whether gateways may rely on it, their settings say.
    """

    gateway_count: int
    endpoints: tuple[Endpoint, ...]
    settings: Settings  # of every gateway, but for its index, zone and classes
    capacity_per_s: float = 20.0  # work that a warm endpoint of weight 1 does
    offered_load: float = 0.6  # as a fraction of the capacity of all endpoints
    traffic_shares: tuple[float, ...] = ()  # of each gateway, in any unit; empty: all alike
    max_list_delay_us: int = 0  # a gateway is notified of a changed list within this time
    latency_objective_us: int = US_PER_S
    timeout_us: int = 2 * US_PER_S  # of a request
    # False: endpoints that are warming up respond as fast as warm ones, and responses credit no warm-up
    # bucket. What arrives then is what the throughput estimate alone admits.
    responses_earn_credit: bool = True
    queue_capacity: float = 50.0  # work that waits at an endpoint at most
    work_spread: float = 0.0  # a request's work is its mean, more or less this fraction of it
    seed: int = 1

    @cached_property
    def request_class(self) -> RequestClass:
        """The one class of the requests."""
        return RequestClass("work", self.latency_objective_us, self.timeout_us, Idempotency.IDEMPOTENT)

    @property
    def mean_cost_us(self) -> int:
        """The cost hint of a request of mean work."""
        return round(US_PER_S / self.capacity_per_s)

    def zone_of(self, gateway_index: int) -> str:
        """Return the zone of a gateway; gateways are dealt out to the zones in turn."""
        zones = sorted({endpoint.zone for endpoint in self.endpoints})
        return zones[gateway_index % len(zones)]

    def request_rates_per_s(self) -> list[float]:
        """Return the request rate at each gateway."""
        shares = self.traffic_shares or (1.0,) * self.gateway_count
        total = self.offered_load * self.capacity_per_s * sum(endpoint.weight for endpoint in self.endpoints)
        return [total * share / sum(shares) for share in shares]
