"""A simulated fleet: runs traffic, changes the endpoint list and measures the load of the endpoints."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from functools import partial
from random import Random

from http_gateway.policy.endpoint import Endpoint
from http_gateway.policy.events import ListUpdateKind
from http_gateway.policy.time_units import US_PER_S
from tests.support.fleet.endpoint_history import EndpointHistory
from tests.support.fleet.event_queue import EventQueue
from tests.support.fleet.gateway_member import GatewayMember, SimulationContext
from tests.support.fleet.overload_window import OverloadWindow, worst_overload_window
from tests.support.fleet.plan import FleetPlan

START_AT_US = 1000 * US_PER_S


class Fleet:
    """A running simulation of a `FleetPlan`."""

    def __init__(self, plan: FleetPlan) -> None:
        self._plan = plan
        self._random = Random(plan.seed)
        self._events = EventQueue(START_AT_US)
        self._endpoints = EndpointHistory(plan)
        self._simulation = SimulationContext(plan, self._random, self._events, self._endpoints)
        self._endpoints.publish(plan.endpoints)
        self._members = [
            self._start_gateway(index, ListUpdateKind.COMPLETE, list_version=1)
            for index in range(plan.gateway_count)
        ]
        for index, rate_per_s in enumerate(plan.request_rates_per_s()):
            self._schedule_request(index, rate_per_s)

    @property
    def now_us(self) -> int:
        """The current virtual time in microseconds."""
        return self._events.now_us

    @property
    def endpoints(self) -> tuple[Endpoint, ...]:
        """The endpoints of the latest list, all of which are running."""
        return self._endpoints.latest

    def run(self, duration_s: float) -> None:
        """Run the simulation for a duration in seconds."""
        self._events.run_for(round(duration_s * US_PER_S))

    def replace_endpoints(self, removed: Iterable[Endpoint]) -> list[Endpoint]:
        """Replace endpoints by new ones with the same attributes and new ids; return the new endpoints."""
        removed_ids = {endpoint.id for endpoint in removed}
        last_id = max(endpoint.id for endpoint in self.endpoints)
        replaced = [endpoint for endpoint in self.endpoints if endpoint.id in removed_ids]
        kept = [endpoint for endpoint in self.endpoints if endpoint.id not in removed_ids]
        new = [
            replace(endpoint, id=last_id + number, started_at_us=self.now_us)
            for number, endpoint in enumerate(replaced, 1)
        ]
        self.publish_list((*kept, *new))
        return new

    def restart_endpoints(self, restarted: Iterable[Endpoint]) -> None:
        """Restart endpoints; they keep their ids and get the current time as their start time."""
        restarted_ids = {endpoint.id for endpoint in restarted}
        self.publish_list(
            tuple(
                replace(endpoint, started_at_us=self.now_us) if endpoint.id in restarted_ids else endpoint
                for endpoint in self.endpoints
            )
        )

    def publish_list(self, endpoints: tuple[Endpoint, ...]) -> None:
        """Publish a new endpoint list; each gateway is notified after its own random delay."""
        self._endpoints.publish(endpoints)
        for member in self._members:
            self._schedule_notification(member)

    def restart_gateway(self, gateway_index: int, versions_back: int = 0) -> None:
        """Replace a gateway by a new instance that starts from a cached endpoint list.

        Args:
            gateway_index: The index of the gateway to replace.
            versions_back: How many versions the cached list is older than the latest list that the previous
                instance received.
        """
        predecessor = self._members[gateway_index]
        list_version = max(1, predecessor.list_version - versions_back)
        predecessor.stop()
        member = self._start_gateway(gateway_index, ListUpdateKind.CACHED, list_version)
        self._members[gateway_index] = member
        self._schedule_notification(member)

    def scale_refill(self, factor: float) -> None:
        """Multiply the refill rate of every warm-up bucket.

        Tests of the overload measurement use this to inject a fault.
        """
        for member in self._members:
            member.scale_refill(factor)

    def worst_overload_window(self) -> OverloadWindow:
        """Return the overload window with the greatest excess among all endpoints that were in slow start."""
        return worst_overload_window(self._endpoints.slow_start_incarnations, self._plan.settings)

    def utilisation(self, endpoints: Iterable[Endpoint]) -> float:
        """Return the work that endpoints have received since their start, as a fraction of their capacity.

        Only endpoints that started during the simulation are taken into account.
        """
        chosen_endpoints = set(endpoints)
        chosen = [
            simulated
            for simulated in self._endpoints.slow_start_incarnations
            if simulated.endpoint in chosen_endpoints
        ]
        arrived = sum(simulated.arrived_work() for simulated in chosen)
        return arrived / sum(simulated.possible_work(self.now_us) for simulated in chosen)

    def _start_gateway(self, gateway_index: int, update: ListUpdateKind, list_version: int) -> GatewayMember:
        plan = self._plan
        settings = replace(
            plan.settings,
            classes=(plan.request_class,),
            gateway_count=plan.gateway_count,
            gateway_index=gateway_index,
            zone=plan.zone_of(gateway_index),
        )
        seed = self._random.randrange(2**32)
        return GatewayMember(self._simulation, settings, seed, update, list_version)

    def _schedule_notification(self, member: GatewayMember) -> None:
        delay_us = round(self._random.uniform(0, self._plan.max_list_delay_us))
        self._events.schedule(delay_us, partial(member.notify, self._endpoints.latest_version))

    def _schedule_request(self, gateway_index: int, rate_per_s: float) -> None:
        delay_us = max(1, round(self._random.expovariate(rate_per_s) * US_PER_S))
        self._events.schedule(delay_us, partial(self._send_request, gateway_index, rate_per_s))

    def _send_request(self, gateway_index: int, rate_per_s: float) -> None:
        self._members[gateway_index].send_request()
        self._schedule_request(gateway_index, rate_per_s)
