"""The published endpoint lists of a fleet, and the simulated endpoints that they contain."""

from __future__ import annotations

from http_gateway.policy.endpoint import Endpoint, EndpointId
from http_gateway.policy.time_units import US_PER_S
from tests.support.fleet.plan import FleetPlan
from tests.support.fleet.simulated_endpoint import SimulatedEndpoint


class EndpointHistory:
    """Every published version of the endpoint list, and every incarnation of every endpoint.

    An incarnation is one run of an endpoint, from its start until it is restarted or removed.
    """

    def __init__(self, plan: FleetPlan) -> None:
        self._plan = plan
        self._versions: list[tuple[Endpoint, ...]] = [()]
        self._running: dict[EndpointId, SimulatedEndpoint] = {}
        self._incarnations: list[SimulatedEndpoint] = []

    @property
    def latest_version(self) -> int:
        """The version number of the latest list; the first published list has version 1."""
        return len(self._versions) - 1

    @property
    def latest(self) -> tuple[Endpoint, ...]:
        """The endpoints of the latest list."""
        return self._versions[-1]

    @property
    def slow_start_incarnations(self) -> list[SimulatedEndpoint]:
        """Every incarnation that started during the simulation and was therefore in slow start."""
        return [simulated for simulated in self._incarnations if simulated.had_slow_start]

    def at_version(self, version: int) -> tuple[Endpoint, ...]:
        """Return the endpoints of a given version of the list."""
        return self._versions[version]

    def running(self, endpoint_id: EndpointId) -> SimulatedEndpoint | None:
        """Return the current incarnation of an endpoint, or None if it is not in the latest list."""
        return self._running.get(endpoint_id)

    def publish(self, endpoints: tuple[Endpoint, ...]) -> None:
        """Publish a new version of the endpoint list.

        Endpoints that are new or have changed since the previous version start a new incarnation. The earlier
        incarnations of changed and removed endpoints stop.
        """
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
            warm_service_rate=plan.capacity_per_s * endpoint.weight / US_PER_S,
            initial_capacity=plan.settings.initial_capacity,
            slow_start_window_us=plan.settings.slow_start_window_us,
            is_slowed_by_warm_up=plan.responses_earn_credit,
            queue_capacity=plan.queue_capacity,
            list_version=self.latest_version,
        )
        self._incarnations.append(simulated)
        return simulated
