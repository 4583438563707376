"""The endpoint lists of a fleet, and the simulated endpoints that they name."""

from __future__ import annotations

from http_gateway.policy.endpoint import Endpoint, EndpointId
from http_gateway.policy.time_units import US_PER_S
from tests.support.fleet.plan import FleetPlan
from tests.support.fleet.simulated_endpoint import SimulatedEndpoint


class EndpointHistory:
    """Every version of the endpoint list, and every incarnation of every endpoint."""

    def __init__(self, plan: FleetPlan) -> None:
        self._plan = plan
        self._versions: list[tuple[Endpoint, ...]] = [()]
        self._running: dict[EndpointId, SimulatedEndpoint] = {}
        self._incarnations: list[SimulatedEndpoint] = []

    @property
    def latest_version(self) -> int:
        """The version of the latest list."""
        return len(self._versions) - 1

    @property
    def latest(self) -> tuple[Endpoint, ...]:
        """The endpoints of the latest list."""
        return self._versions[-1]

    @property
    def warmed_up_incarnations(self) -> list[SimulatedEndpoint]:
        """Every incarnation that started within the simulation, and so had to warm up."""
        return [simulated for simulated in self._incarnations if simulated.started_warming_up]

    def at_version(self, version: int) -> tuple[Endpoint, ...]:
        """Return the endpoints of an earlier list."""
        return self._versions[version]

    def running(self, endpoint_id: EndpointId) -> SimulatedEndpoint | None:
        """Return the present incarnation of an endpoint; None once it is removed."""
        return self._running.get(endpoint_id)

    def publish(self, endpoints: tuple[Endpoint, ...]) -> None:
        """Add a version of the list; endpoints that are new in it or have restarted start now."""
        self._versions.append(endpoints)
        running = {}
        for endpoint in endpoints:
            known = self._running.get(endpoint.id)
            running[endpoint.id] = known if known and known.endpoint == endpoint else self._start(endpoint)
        for earlier in self._running.values():
            if running.get(earlier.endpoint.id) is not earlier:
                earlier.stop()
        self._running = running

    def _start(self, endpoint: Endpoint) -> SimulatedEndpoint:
        plan = self._plan
        simulated = SimulatedEndpoint(
            endpoint,
            warm_speed=plan.capacity_per_s * endpoint.weight / US_PER_S,
            initial_capacity=plan.settings.initial_capacity,
            slow_start_window_us=plan.settings.slow_start_window_us,
            is_slowed_by_warm_up=plan.responses_earn_credit,
            queue_capacity=plan.queue_capacity,
            list_version=self.latest_version,
        )
        self._incarnations.append(simulated)
        return simulated
