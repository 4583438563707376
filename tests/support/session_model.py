"""A seeded model of clients, endpoints and discovery, for recorded sessions of the simulator protocol.

The model produces batches of events and reacts to the replies of the adapter. All times are whole
microseconds. The field names and codes of messages are those of the simulator protocol.
"""

from __future__ import annotations

import functools
import heapq
import itertools
from collections.abc import Callable, Iterable
from random import Random
from typing import NamedTuple

from tests.support.session_scenario import (
    CANCELLED,
    CONNECT_FAILED,
    NOT_SENT,
    OK,
    REJECTED,
    RESET,
    TIMEOUT,
    US_PER_MS,
    ClassTraffic,
    Scenario,
    SimulatedEndpoint,
    WireMessage,
)
from tests.support.session_state import ClientRequest, SimulatedAttempt, SimulatedGateway

START_CLOCK_US = 5_000_000
NETWORK_LATENCY_US = 1 * US_PER_MS
REJECTION_LATENCY_US = 2 * US_PER_MS
CONNECT_FAILURE_LATENCY_US = 5 * US_PER_MS
DISCOVERY_LATENCY_US = 20 * US_PER_MS
CLIENT_RETRY_DELAY_US = 20 * US_PER_MS
STREAM_DURATION_US = 80 * US_PER_MS


class UnexpectedActionError(Exception):
    """The adapter sent an action that the model does not support."""

    def __init__(self, verb: str) -> None:
        self.verb = verb
        super().__init__(f"the adapter sent the unsupported action {verb!r}")


class ScheduledEvent(NamedTuple):
    """An event at a given time; events that are due at the same time run in the order of scheduling."""

    due_us: int
    sequence: int
    run: Callable[[], None]


class SessionModel:
    """Produces batches of events and handles the replies, for the duration of a scenario."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.now_us = START_CLOCK_US
        self.endpoints = {endpoint.id: endpoint for endpoint in scenario.endpoints()}
        self._random = Random(scenario.seed)
        self._gateways = [SimulatedGateway(index) for index in range(scenario.gateway_count)]
        self._requests: dict[tuple[int, int], ClientRequest] = {}
        self._batch: list[WireMessage] = []
        self._scheduled: list[ScheduledEvent] = []
        self._sequence = itertools.count()
        self._request_ids = itertools.count(1001)
        self._revision = 40
        self._failing_watches = scenario.failing_watches
        for gateway in self._gateways:
            self._configure(gateway)
        for step in scenario.steps:
            self._schedule(START_CLOCK_US + step.at_us, functools.partial(step.run, self))
        self._schedule_arrival()

    @property
    def elapsed_us(self) -> int:
        """The time since the start of the session, in microseconds."""
        return self.now_us - START_CLOCK_US

    def batches(self) -> Iterable[list[WireMessage]]:
        """Yield the batches of the session in order.

        The caller must pass the reply to each batch to `handle_reply` before it requests the next batch.
        """
        yield self._take_batch()
        while self.elapsed_us < self.scenario.duration_us:
            self.now_us += self.scenario.tick_us
            while self._scheduled and self._scheduled[0].due_us <= self.now_us:
                heapq.heappop(self._scheduled).run()
            if self._batch:
                yield self._take_batch()

    def handle_reply(self, actions: Iterable[WireMessage]) -> None:
        """Execute the actions of a reply.

        Raises:
            UnexpectedActionError: The reply contains an unsupported action.
        """
        for action in actions:
            gateway = self._gateways[action["gateway"]]
            match action["verb"]:
                case "dispatch":
                    self._on_dispatch(gateway, action)
                case "abortAttempt":
                    self._on_abort(gateway, action)
                case "refuse" | "giveUp":
                    self._on_final_answer(gateway, action)
                case "wakeMe":
                    self._on_timer_request(gateway, action)
                case "follow":
                    self._on_watch(gateway)
                case verb:
                    raise UnexpectedActionError(verb)

    # Changes that the steps of a scenario make

    def send(self, message: WireMessage) -> None:
        """Add a message to the current batch without changing it."""
        self._batch.append(message)

    def list_endpoint(self, endpoint_id: int, state: str, how: str = "diff") -> None:
        """Change the listed state of an endpoint, and send the changed entry."""
        self.endpoints[endpoint_id].change_state(state)
        self._send_list(how, [self.endpoints[endpoint_id]])

    def restart_endpoint(self, endpoint_id: int) -> None:
        """Restart an endpoint, and send its entry with the new start time."""
        endpoint = self.endpoints[endpoint_id]
        endpoint.restart(self.now_us)
        self._send_list("diff", [endpoint])

    def move_endpoint(self, endpoint_id: int, zone: str, group: int) -> None:
        """Move an endpoint to another zone and deduplication group, and send its changed entry."""
        endpoint = self.endpoints[endpoint_id]
        endpoint.move(zone, group)
        self._send_list("diff", [endpoint])

    def add_endpoint(self, endpoint: SimulatedEndpoint) -> None:
        """Start a new endpoint, and send its entry."""
        endpoint.restart(self.now_us)
        self.endpoints[endpoint.id] = endpoint
        self._send_list("diff", [endpoint])

    def send_complete_list(self, without: int | None = None) -> None:
        """Send the complete endpoint list, after removing the endpoint `without`, if any."""
        if without is not None:
            self.endpoints[without].change_state("OUT")
        self._send_list("snapshot", [entry for entry in self.endpoints.values() if entry.state != "OUT"])

    def send_list_failure(self) -> None:
        """Send a discovery failure to the gateways, which ends every watch."""
        self._send_list("error", [])
        for gateway in self._gateways:
            gateway.end_watch()

    def retire_gateway(self, index: int) -> None:
        """Retire a gateway instance, and discard its requests, attempts, timers and undelivered events."""
        gateway = self._gateways[index]
        gateway.retire()
        self._requests = {key: request for key, request in self._requests.items() if key[0] != index}
        self._batch = [message for message in self._batch if message["gateway"] != index]
        self._batch.append({"verb": "retire", "gateway": index})

    def configure_gateway(self, index: int) -> None:
        """Configure a retired gateway instance again.

        The configuration may be in the same batch as the retirement or in a later one.
        """
        self._gateways[index].start()
        self._configure(self._gateways[index])

    def restart_gateway(self, index: int) -> None:
        """Retire a gateway instance, and configure it again in the same batch."""
        self.retire_gateway(index)
        self.configure_gateway(index)

    # Discovery

    def _configure(self, gateway: SimulatedGateway) -> None:
        self._batch.append(
            {
                "verb": "configure",
                "gateway": gateway.index,
                "seed": self._random.randrange(2**32),
                "setup": {**self.scenario.setup, "rank": gateway.index},
            }
        )
        listed = [endpoint for endpoint in self.endpoints.values() if endpoint.state != "OUT"]
        self._append_list(gateway, "disk", listed)

    def _send_list(self, how: str, entries: list[SimulatedEndpoint]) -> None:
        self._revision += 1
        is_polled = self.scenario.setup["registryMode"] == "subscribe"
        for gateway in self._gateways:
            if gateway.is_running and (gateway.is_watching or not is_polled):
                self._append_list(gateway, how, entries)

    def _append_list(self, gateway: SimulatedGateway, how: str, entries: list[SimulatedEndpoint]) -> None:
        self._batch.append(
            {
                "verb": "discovery",
                "gateway": gateway.index,
                "how": how,
                "serial": self._revision,
                "elements": [entry.list_entry() for entry in entries],
            }
        )

    def _on_watch(self, gateway: SimulatedGateway) -> None:
        def respond() -> None:
            if self._failing_watches > 0:
                self._failing_watches -= 1
                self._append_list(gateway, "error", [])
                return
            gateway.start_watch()
            self._append_list(gateway, "snapshot", list(self.endpoints.values()))

        self._schedule_for(gateway, self.now_us + DISCOVERY_LATENCY_US, respond)

    # Clients

    def _schedule_arrival(self) -> None:
        rate = [phase for phase in self.scenario.rates if phase.from_us <= self.elapsed_us][-1]
        delay_us = round(self._random.expovariate(rate.requests_per_s) * 1_000_000)
        self._schedule(self.now_us + delay_us, self._on_arrival)

    def _on_arrival(self) -> None:
        traffic = self._random.choices(
            self.scenario.traffic, [traffic.share for traffic in self.scenario.traffic]
        )[0]
        self._send_request(
            self._random.choice([gateway for gateway in self._gateways if gateway.is_running]),
            traffic,
            traffic.timeout_us,
            f"user:{self._random.randrange(12)}" if traffic.has_key else None,
            self._random.choice(self.scenario.tenants) if self.scenario.tenants else None,
        )
        self._schedule_arrival()

    def _send_request(
        self,
        gateway: SimulatedGateway,
        traffic: ClassTraffic,
        timeout_us: int,
        key: str | None,
        tenant: str | None,
        *,
        is_retry: bool = False,
    ) -> None:
        request = ClientRequest(
            next(self._request_ids),
            gateway.index,
            traffic,
            self.now_us + timeout_us,
            key,
            tenant,
            is_retry,
        )
        self._requests[gateway.index, request.id] = request
        self._batch.append(
            {
                "verb": "order",
                "gateway": gateway.index,
                "corr": request.id,
                "mutates": traffic.has_key,
                "expiresIn": timeout_us,
                "routeKey": key,
                "grade": traffic.name,
                "weightHint": self._cost_hint(),
                "isRetry": is_retry,
                "tenant": tenant,
            }
        )
        self._schedule_for(gateway, request.deadline_us, lambda: self._on_deadline(request))
        if self._random.random() < self.scenario.disconnect_probability:
            disconnect_at_us = self.now_us + round(timeout_us * self._random.uniform(0.01, 0.5))
            self._schedule_for(gateway, disconnect_at_us, lambda: self._on_disconnect(request))

    def _cost_hint(self) -> int | None:
        return self._random.randrange(5_000, 25_000) if self._random.random() < 0.8 else None

    def _on_deadline(self, request: ClientRequest) -> None:
        for attempt in request.attempts:
            if not attempt.is_streaming:
                self._end_attempt(attempt, TIMEOUT)
        if not request.is_streaming:
            overdue_us = request.deadline_us + self.scenario.setup["invariants"]["answerSlack"]
            gateway = self._gateways[request.gateway]
            self._schedule_for(gateway, overdue_us, lambda: self._on_disconnect(request))

    def _on_disconnect(self, request: ClientRequest) -> None:
        if request.is_complete:
            return
        request.complete()
        self._batch.append({"verb": "expired", "gateway": request.gateway, "corr": request.id})

    def _on_final_answer(self, gateway: SimulatedGateway, action: WireMessage) -> None:
        request = self._requests[gateway.index, action["corr"]]
        if request.is_complete:
            return
        request.complete()
        if not request.traffic.retries or request.is_retry:
            return
        retry_at_us = self.now_us + max(CLIENT_RETRY_DELAY_US, action.get("backoff") or 0)
        remaining_us = request.deadline_us - retry_at_us
        if remaining_us > 0:
            self._schedule_for(
                gateway,
                retry_at_us,
                lambda: self._send_request(
                    gateway, request.traffic, remaining_us, request.key, request.tenant, is_retry=True
                ),
            )

    # Attempts

    def _on_dispatch(self, gateway: SimulatedGateway, action: WireMessage) -> None:
        request = self._requests[gateway.index, action["corr"]]
        attempt = SimulatedAttempt(request, len(request.attempts), action["host"], self.now_us)
        request.attempts.append(attempt)
        max_attempts = self.scenario.setup["permissions"]["maxAttempts"]
        if request.is_complete or request.is_streaming or len(request.attempts) > max_attempts:
            self._schedule_end(attempt, self.now_us, NOT_SENT)
            return
        endpoint = self.endpoints[attempt.endpoint_id]
        if endpoint.state == "OUT":
            self._schedule_end(attempt, self.now_us + CONNECT_FAILURE_LATENCY_US, CONNECT_FAILED)
            return
        self._execute(attempt, endpoint)

    def _execute(self, attempt: SimulatedAttempt, endpoint: SimulatedEndpoint) -> None:
        class_name = attempt.request.traffic.name
        for fault in endpoint.faults:
            if fault.applies(class_name, self.elapsed_us) and self._random.random() < fault.probability:
                if fault.outcome != TIMEOUT:
                    latency_us = round(self._random.uniform(1, 10) * US_PER_MS)
                    self._schedule_end(attempt, self.now_us + latency_us, fault.outcome)
                return
        service_time_us = round(endpoint.service_time_us * self._random.uniform(0.5, 1.8))
        served_at_us = endpoint.enqueue(service_time_us, self.now_us + NETWORK_LATENCY_US)
        if served_at_us is None:
            self._schedule_end(attempt, self.now_us + REJECTION_LATENCY_US, REJECTED)
        elif attempt.request.traffic.is_stream:
            gateway = self._gateways[attempt.request.gateway]
            self._schedule_for(gateway, served_at_us, lambda: self._start_stream(attempt))
        else:
            self._schedule_end(attempt, served_at_us + NETWORK_LATENCY_US, OK)

    def _start_stream(self, attempt: SimulatedAttempt) -> None:
        if attempt.has_ended:
            return
        if attempt.request.is_complete or attempt.request.is_streaming:
            self._end_attempt(attempt, CANCELLED)
            return
        attempt.start_stream()
        self._batch.append(
            {
                "verb": "headers",
                "gateway": attempt.request.gateway,
                "corr": attempt.request.id,
                "copy": attempt.number,
                "host": attempt.endpoint_id,
                "duration": self.now_us - attempt.started_at_us,
            }
        )
        outcome = RESET if self._random.random() < 0.2 else OK
        self._schedule_end(attempt, self.now_us + STREAM_DURATION_US, outcome)

    def _on_abort(self, gateway: SimulatedGateway, action: WireMessage) -> None:
        attempt = self._requests[gateway.index, action["corr"]].attempts[action["copy"]]
        if not attempt.is_streaming:
            self._schedule_end(attempt, self.now_us + NETWORK_LATENCY_US, CANCELLED)

    def _schedule_end(self, attempt: SimulatedAttempt, at_us: int, outcome: int) -> None:
        gateway = self._gateways[attempt.request.gateway]
        self._schedule_for(gateway, at_us, lambda: self._end_attempt(attempt, outcome))

    def _end_attempt(self, attempt: SimulatedAttempt, outcome: int) -> None:
        if attempt.has_ended:
            return
        attempt.end(outcome)
        request = attempt.request
        self._batch.append(
            {
                "verb": "attemptEnd",
                "gateway": request.gateway,
                "corr": request.id,
                "copy": attempt.number,
                "host": attempt.endpoint_id,
                "rc": outcome,
                "duration": self.now_us - attempt.started_at_us,
                "closed": request.is_complete,
                "feedback": self._load_report(attempt),
            }
        )

    def _load_report(self, attempt: SimulatedAttempt) -> WireMessage | None:
        if self.scenario.setup["report"]["how"] != "piggyback":
            return None
        in_flight = self.endpoints[attempt.endpoint_id].in_flight(self.now_us)
        return {"inflight": in_flight, "util": min(1.0, in_flight / 2)}

    # Time

    def _on_timer_request(self, gateway: SimulatedGateway, action: WireMessage) -> None:
        message = {"verb": "wakeup", "gateway": gateway.index, "ctx": action["ctx"]}
        self._schedule_for(gateway, self.now_us + action["offset"], lambda: self._batch.append(message))

    def _schedule_for(self, gateway: SimulatedGateway, at_us: int, run: Callable[[], None]) -> None:
        """Schedule an event that runs only if the gateway has not been retired since the call."""
        incarnation = gateway.incarnation

        def run_if_current() -> None:
            if gateway.incarnation == incarnation:
                run()

        self._schedule(at_us, run_if_current)

    def _schedule(self, at_us: int, run: Callable[[], None]) -> None:
        due_us = max(at_us, self.now_us + 1)
        heapq.heappush(self._scheduled, ScheduledEvent(due_us, next(self._sequence), run))

    def _take_batch(self) -> list[WireMessage]:
        batch, self._batch = self._batch, []
        return batch
