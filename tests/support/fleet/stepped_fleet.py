"""A simplified simulation of a fleet that advances in fixed time steps.

Unlike `Fleet`, it simulates no connections, queueing delays or delayed notifications. Endpoints respond at
once, every gateway receives a changed endpoint list at the same time, and all requests have the same work.
The number of arrivals therefore shows the effect of the warm-up buckets alone. Only the first attempt of a
request reaches an endpoint: a retry after a rejection is neither completed nor counted.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import replace
from random import Random

from http_gateway.policy.endpoint import Endpoint, EndpointId
from http_gateway.policy.events import Outcome
from http_gateway.policy.settings import Settings
from http_gateway.policy.time_units import US_PER_MS, US_PER_S
from tests.support.fleet.overload_window import worst_overload_window
from tests.support.fleet.simulated_endpoint import Arrival, SimulatedEndpoint
from tests.support.policy_driver import CLASSES, PolicyDriver

START_AT_US = 1000 * US_PER_S
STEP_US = 20 * US_PER_MS
COST_HINT_US = 50 * US_PER_MS  # the cost hint of every request
MAX_BACKLOG_US = US_PER_S // 2  # an endpoint with more queued work than this rejects requests

SETTINGS = Settings(
    CLASSES,
    initial_capacity=0.15,
    slow_start_window_us=60 * US_PER_S,
    overload_factor=3,
    overload_window_us=2 * US_PER_S,
)


class SteppedFleet:
    """Gateways that share a set of endpoints.

    A warm endpoint serves `capacity_per_s` requests per second, and an endpoint in slow start a fraction of
    that.
    """

    def __init__(
        self,
        gateway_count: int,
        endpoint_count: int,
        request_rates_per_s: Sequence[float],
        capacity_per_s: float,
    ) -> None:
        self._capacity_per_s = capacity_per_s
        self._rates_per_s = request_rates_per_s
        self._random = Random(5)
        self._now_us = START_AT_US
        self._endpoints = [Endpoint(endpoint_id) for endpoint_id in range(1, endpoint_count + 1)]
        self._simulated: dict[EndpointId, SimulatedEndpoint] = {}
        self._busy_until_us: dict[EndpointId, float] = {}
        self._settings = [
            replace(SETTINGS, gateway_count=gateway_count, gateway_index=index)
            for index in range(gateway_count)
        ]
        self._drivers = [self._start_gateway(index) for index in range(gateway_count)]

    def run(self, duration_s: float) -> None:
        """Run the simulation under traffic for a duration in seconds."""
        end_at_us = self._now_us + round(duration_s * US_PER_S)
        while self._now_us < end_at_us:
            self._now_us += STEP_US
            for index, rate_per_s in enumerate(self._rates_per_s):
                self._send_requests(index, rate_per_s)

    def replace_endpoints(self, count: int) -> list[Endpoint]:
        """Replace the `count` oldest endpoints by new ones; return the new endpoints."""
        last_id = max(endpoint.id for endpoint in self._endpoints)
        new = [Endpoint(last_id + number, started_at_us=self._now_us) for number in range(1, count + 1)]
        self._publish_list(self._endpoints[count:] + new)
        return new

    def remove_all_endpoints_but(self, kept: Sequence[Endpoint]) -> None:
        """Publish a list that contains only the given endpoints."""
        self._publish_list(list(kept))

    def restart_gateway(self, gateway_index: int) -> None:
        """Replace a gateway by a new instance, which has no state of the previous one."""
        self._drivers[gateway_index] = self._start_gateway(gateway_index)

    def arrival_count(self, endpoints: Iterable[Endpoint]) -> int:
        """Return the number of requests that have arrived at the given endpoints."""
        return sum(len(self._simulated_endpoint(endpoint).arrivals) for endpoint in endpoints)

    def worst_excess(self, endpoints: Iterable[Endpoint]) -> float:
        """Return the greatest excess over the limit in any overload window of the given endpoints.

        The excess is a multiple of the work of a mean request; a positive value means overload.
        """
        return worst_overload_window(map(self._simulated_endpoint, endpoints), SETTINGS).excess

    def _start_gateway(self, gateway_index: int) -> PolicyDriver:
        driver = PolicyDriver(self._settings[gateway_index], 0, seed=gateway_index, now_us=self._now_us)
        driver.notify_endpoints(self._endpoints)
        return driver

    def _publish_list(self, endpoints: list[Endpoint]) -> None:
        self._endpoints = endpoints
        for driver in self._drivers:
            driver.advance_to(self._now_us)
            driver.notify_endpoints(endpoints)

    def _send_requests(self, gateway_index: int, rate_per_s: float) -> None:
        driver = self._drivers[gateway_index]
        driver.advance_to(self._now_us)
        for _ in range(int(rate_per_s * STEP_US / US_PER_S + self._random.random())):
            driver.send_request(cost_us=COST_HINT_US)
            for attempt in driver.in_flight():
                driver.end_attempt(attempt, self._respond(gateway_index, attempt.endpoint_id))
            driver.discard_attempts_and_timers()

    def _respond(self, gateway_index: int, endpoint_id: EndpointId) -> Outcome:
        endpoint = next(endpoint for endpoint in self._endpoints if endpoint.id == endpoint_id)
        simulated = self._simulated_endpoint(endpoint)
        simulated.record(Arrival(self._now_us, 1.0, gateway_index, gateway_was_notified=True))
        busy_until_us = max(self._now_us, self._busy_until_us.get(endpoint_id, 0.0))
        if busy_until_us > self._now_us + MAX_BACKLOG_US:
            return Outcome.REJECTED
        rate_per_s = self._capacity_per_s * simulated.capacity_fraction(self._now_us)
        self._busy_until_us[endpoint_id] = busy_until_us + US_PER_S / rate_per_s
        return Outcome.OK

    def _simulated_endpoint(self, endpoint: Endpoint) -> SimulatedEndpoint:
        simulated = self._simulated.get(endpoint.id)
        if simulated is None:
            simulated = self._simulated[endpoint.id] = SimulatedEndpoint(
                endpoint,
                warm_service_rate=self._capacity_per_s / US_PER_S,
                initial_capacity=SETTINGS.initial_capacity,
                slow_start_window_us=SETTINGS.slow_start_window_us,
                is_slowed_by_warm_up=True,
                queue_capacity=0.0,
                list_version=1,
            )
        return simulated
