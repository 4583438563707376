"""A simulated gateway of a fleet, which calls its policy in virtual time."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from random import Random

from http_gateway.policy.endpoint import EndpointId
from http_gateway.policy.events import ListUpdateKind, Outcome, RequestId
from http_gateway.policy.settings import Settings
from http_gateway.policy.time_units import US_PER_MS
from tests.support.fleet.endpoint_history import EndpointHistory
from tests.support.fleet.event_queue import EventQueue
from tests.support.fleet.plan import FleetPlan
from tests.support.fleet.simulated_endpoint import Arrival, SimulatedEndpoint
from tests.support.policy_driver import AttemptRecord, PolicyDriver

# The time until an attempt fails at an endpoint that has stopped or whose queue is full.
REJECTION_LATENCY_US = US_PER_MS
# The driver searches all recorded attempts, so a larger number would slow down long simulations.
MAX_RECORDED_ATTEMPTS = 100


@dataclass(frozen=True)
class SimulationContext:
    """The objects that all gateways of a fleet share."""

    plan: FleetPlan
    random: Random
    events: EventQueue
    endpoints: EndpointHistory


class GatewayMember:
    """One instance of a gateway; a restart replaces it by a new instance.

    A `PolicyDriver` calls the policy, so that the policy rules are checked at every action.
    """

    def __init__(
        self,
        simulation: SimulationContext,
        settings: Settings,
        seed: int,
        update: ListUpdateKind,
        list_version: int,
    ) -> None:
        self._simulation = simulation
        self._events = simulation.events
        self._settings = settings
        self._driver = PolicyDriver(settings, 0, seed, settings.classes, self._events.now_us)
        self._list_version = list_version  # the latest version that this instance has received
        self._is_running = True
        self._work_by_request: dict[RequestId, float] = {}  # of open requests; 1.0 is a mean request
        # The ids and start times of the endpoint incarnations to which a connection is open.
        self._connected_incarnations: set[tuple[EndpointId, int]] = set()
        if not simulation.plan.responses_earn_credit:
            self._driver.balancer._slow_start._credit_ratio = 0.0
        self._driver.notify_endpoints(simulation.endpoints.at_version(list_version), update)

    @property
    def list_version(self) -> int:
        """The latest version of the endpoint list that this instance has received."""
        return self._list_version

    def stop(self) -> None:
        """Stop this instance; events that are still scheduled for it have no effect."""
        self._is_running = False

    def scale_refill(self, factor: float) -> None:
        """Multiply the refill rate of this gateway's warm-up buckets.

        Tests of the overload measurement use this to inject a fault.
        """
        self._driver.balancer._slow_start._refill_ratio *= factor

    def notify(self, list_version: int) -> None:
        """Deliver a version of the endpoint list, unless this instance has that or a later version."""
        if self._is_running and list_version > self._list_version:
            self._driver.advance_to(self._events.now_us)
            self._list_version = list_version
            self._driver.notify_endpoints(self._simulation.endpoints.at_version(list_version))
            self._execute_actions()

    def send_request(self) -> None:
        """Send a client request whose work is random."""
        plan, driver = self._simulation.plan, self._driver
        driver.advance_to(self._events.now_us)
        driver.discard_completed(MAX_RECORDED_ATTEMPTS)
        work = self._simulation.random.uniform(1 - plan.work_spread, 1 + plan.work_spread)
        cost_us = max(1, round(plan.mean_cost_us * work))
        request_id = driver.send_request(plan.request_class, plan.timeout_us, cost_us)
        self._work_by_request[request_id] = work
        self._events.schedule(plan.timeout_us, partial(self._expire_request, request_id))
        self._execute_actions()

    def _expire_request(self, request_id: RequestId) -> None:
        """End a request at its deadline: its attempts in flight time out, and it must have a final answer."""
        if not self._is_running:
            return
        self._driver.advance_to(self._events.now_us)
        for attempt in self._driver.in_flight(request_id):
            self._driver.end_attempt(attempt, Outcome.TIMEOUT)
        assert request_id not in self._driver.unanswered, "no final answer by the deadline"
        del self._work_by_request[request_id]
        self._execute_actions()

    def _execute_actions(self) -> None:
        """Start the attempts and schedule the timers that the policy has requested."""
        for attempt in reversed(self._driver.take_new_attempts()):
            self._start_attempt(attempt)
        for timer in reversed(self._driver.take_timers()):
            delay_us = timer.due_at_us - self._events.now_us
            self._events.schedule(delay_us, partial(self._fire_timer, timer.token))

    def _fire_timer(self, token: str) -> None:
        request_id = int(token.split(":")[0])
        if self._is_running and request_id in self._work_by_request:
            self._driver.fire_timer(self._events.now_us, token)
            self._execute_actions()

    def _start_attempt(self, attempt: AttemptRecord) -> None:
        """Send an attempt to its endpoint.

        Until an attempt has arrived at an incarnation of an endpoint, each attempt opens a connection.
        The time that this takes is random, up to the connect timeout.
        """
        simulated = self._simulation.endpoints.running(attempt.endpoint_id)
        if simulated is None:
            self._end_after(REJECTION_LATENCY_US, attempt, Outcome.CONNECT_FAILED)
            return
        delay_us = 0
        if _incarnation(simulated) not in self._connected_incarnations:
            delay_us = round(self._simulation.random.uniform(0, self._settings.connect_timeout_us))
        was_notified = self._list_version >= simulated.list_version
        self._events.schedule(delay_us, partial(self._arrive, attempt, simulated, was_notified))

    def _arrive(self, attempt: AttemptRecord, simulated: SimulatedEndpoint, was_notified: bool) -> None:
        if not self._is_running or attempt.outcome is not None:
            return
        if not simulated.is_running:
            self._end_after(REJECTION_LATENCY_US, attempt, Outcome.CONNECT_FAILED)
            return
        self._connected_incarnations.add(_incarnation(simulated))
        now_us, work = self._events.now_us, self._work_by_request[attempt.request_id]
        arrival = Arrival(now_us, work, self._settings.gateway_index, was_notified)
        response_at_us = simulated.accept(arrival)
        if response_at_us is None:
            self._end_after(REJECTION_LATENCY_US, attempt, Outcome.REJECTED)
        else:
            self._events.schedule(response_at_us - now_us, partial(self._respond, attempt, simulated))

    def _respond(self, attempt: AttemptRecord, simulated: SimulatedEndpoint) -> None:
        self._end(attempt, Outcome.OK if simulated.is_running else Outcome.RESET)

    def _end_after(self, delay_us: int, attempt: AttemptRecord, outcome: Outcome) -> None:
        self._events.schedule(delay_us, partial(self._end, attempt, outcome))

    def _end(self, attempt: AttemptRecord, outcome: Outcome) -> None:
        if self._is_running and attempt.outcome is None:
            self._driver.advance_to(self._events.now_us)
            self._driver.end_attempt(attempt, outcome)
            self._execute_actions()


def _incarnation(simulated: SimulatedEndpoint) -> tuple[EndpointId, int]:
    return simulated.endpoint.id, simulated.endpoint.started_at_us
