"""One gateway of a fleet: the caller of its policy, in virtual time."""

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

REJECTION_LATENCY_US = US_PER_MS  # of an endpoint that is full, or gone
MAX_REMEMBERED_ATTEMPTS = 100


@dataclass(frozen=True)
class Simulation:
    """What all gateways of a fleet share."""

    plan: FleetPlan
    random: Random
    events: EventQueue
    endpoints: EndpointHistory


class GatewayMember:
    """One instance of a gateway; a restarted gateway is another instance.

    A `PolicyDriver` calls its policy, so the policy rules are checked at every action.
    """

    def __init__(
        self, simulation: Simulation, settings: Settings, seed: int, update: ListUpdateKind, list_version: int
    ) -> None:
        self._simulation = simulation
        self._events = simulation.events
        self._settings = settings
        self._driver = PolicyDriver(settings, 0, seed, settings.classes, self._events.now_us)
        self._list_version = list_version  # of the list that it was notified of last
        self._is_running = True
        self._work: dict[RequestId, float] = {}  # of each open request, in requests of mean work
        self._connected: set[tuple[EndpointId, int]] = set()  # endpoint ids and their moments of start
        if not simulation.plan.responses_earn_credit:
            self._driver.balancer._slow_start._credit_ratio = 0.0
        self._driver.notify_endpoints(simulation.endpoints.at_version(list_version), update)

    @property
    def list_version(self) -> int:
        """The version of the endpoint list that it was notified of last."""
        return self._list_version

    def stop(self) -> None:
        """End this instance: whatever is scheduled for it does nothing any more."""
        self._is_running = False

    def scale_refill(self, factor: float) -> None:
        """Multiply what refills its warm-up buckets: a fault, for tests of the measurement."""
        self._driver.balancer._slow_start._refill_ratio *= factor

    def notify(self, list_version: int) -> None:
        """Notify it of a version of the endpoint list, unless it knows that or a later one."""
        if self._is_running and list_version > self._list_version:
            self._driver.advance_to(self._events.now_us)
            self._list_version = list_version
            self._driver.notify_endpoints(self._simulation.endpoints.at_version(list_version))
            self._execute_actions()

    def send_request(self) -> None:
        """Have a client send a request of random work."""
        plan, driver = self._simulation.plan, self._driver
        driver.advance_to(self._events.now_us)
        driver.discard_completed(MAX_REMEMBERED_ATTEMPTS)
        work = self._simulation.random.uniform(1 - plan.work_spread, 1 + plan.work_spread)
        cost_us = max(1, round(plan.mean_cost_us * work))
        request_id = driver.send_request(plan.request_class, plan.timeout_us, cost_us)
        self._work[request_id] = work
        self._events.schedule(plan.timeout_us, partial(self._time_out, request_id))
        self._execute_actions()

    def _time_out(self, request_id: RequestId) -> None:
        """Pass the deadline of a request: its client is gone, and its attempts in flight end."""
        if not self._is_running:
            return
        self._driver.advance_to(self._events.now_us)
        for attempt in self._driver.in_flight(request_id):
            self._driver.end_attempt(attempt, Outcome.TIMEOUT)
        assert request_id not in self._driver.unanswered, "no final answer by the deadline"
        del self._work[request_id]
        self._execute_actions()

    def _execute_actions(self) -> None:
        """Start the attempts that the policy has decided on, and set its timers."""
        for attempt in reversed(self._driver.take_new_attempts()):
            self._connect(attempt)
        for timer in reversed(self._driver.take_timers()):
            delay_us = timer.due_at_us - self._events.now_us
            self._events.schedule(delay_us, partial(self._fire_timer, timer.token))

    def _fire_timer(self, token: str) -> None:
        request_id = int(token.split(":")[0])
        if self._is_running and request_id in self._work:
            self._driver.fire_timer(self._events.now_us, token)
            self._execute_actions()

    def _connect(self, attempt: AttemptRecord) -> None:
        """Send an attempt.

        Until a connection to an incarnation of an endpoint is up, each attempt opens one, which takes time.
        """
        simulated = self._simulation.endpoints.running(attempt.endpoint_id)
        if simulated is None:
            self._end_after(REJECTION_LATENCY_US, attempt, Outcome.CONNECT_FAILED)
            return
        delay_us = 0
        if _incarnation(simulated) not in self._connected:
            delay_us = round(self._simulation.random.uniform(0, self._settings.connect_timeout_us))
        was_notified = self._list_version >= simulated.list_version
        self._events.schedule(delay_us, partial(self._arrive, attempt, simulated, was_notified))

    def _arrive(self, attempt: AttemptRecord, simulated: SimulatedEndpoint, was_notified: bool) -> None:
        if not self._is_running or attempt.outcome is not None:
            return
        if not simulated.is_running:
            self._end_after(REJECTION_LATENCY_US, attempt, Outcome.CONNECT_FAILED)
            return
        self._connected.add(_incarnation(simulated))
        now_us, work = self._events.now_us, self._work[attempt.request_id]
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
