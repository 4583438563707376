"""The share of steady traffic that endpoints get while they warm up, when many endpoints are replaced."""

from __future__ import annotations

from collections import Counter

import pytest

from http_gateway.policy.endpoint import Endpoint, EndpointId
from http_gateway.policy.events import Outcome
from http_gateway.policy.settings import Settings
from http_gateway.policy.subsetting import GATEWAYS_PER_ENDPOINT
from http_gateway.policy.time_units import US_PER_MS, US_PER_S
from tests.support.fleet.stepped_fleet import SteppedFleet
from tests.support.policy_driver import CLASSES, PolicyDriver, endpoints

INITIAL_CAPACITY = 0.3
STEP_US = 20 * US_PER_MS

CAPACITY_PER_S = 3.0
ENDPOINT_COUNT = 20
OFFERED_LOAD = 0.8  # as a fraction of the capacity of all endpoints


class SteadyTraffic:
    """One gateway with steady traffic, in front of warm endpoints and some that are warming up.

    An endpoint that is warming up serves the fraction `INITIAL_CAPACITY` of the requests that a warm one
    serves for this gateway. It does not respond to any request beyond that.
    """

    def __init__(self, gateway_count: int, warm_count: int) -> None:
        settings = Settings(
            CLASSES,
            gateway_count=gateway_count,
            initial_capacity=INITIAL_CAPACITY,
            slow_start_window_us=1000 * US_PER_S,  # long enough that the capacities hardly change
        )
        self._warm_count = warm_count
        self._driver = PolicyDriver(settings, warm_count, seed=5)
        self._responses: Counter[EndpointId] = Counter()

    def start_endpoints(self, count: int) -> list[EndpointId]:
        """Add endpoints that are warming up.

        Args:
            count: The number of endpoints to add.

        Returns:
            The ids of the new endpoints.
        """
        new = [Endpoint(100 + number, started_at_us=self._driver.now_us) for number in range(count)]
        self._driver.notify_endpoints((*endpoints(self._warm_count), *new))
        return [endpoint.id for endpoint in new]

    def run(self, duration_s: int) -> Counter[EndpointId]:
        """Send one request at each step of a period.

        Args:
            duration_s: The length of the period in seconds.

        Returns:
            The number of attempts that each endpoint got.
        """
        before = len(self._driver.attempts)
        for _ in range(duration_s * US_PER_S // STEP_US):
            self._driver.advance(STEP_US)
            self._driver.send_request(cost_us=10 * US_PER_MS)
            attempt = self._driver.in_flight()[-1]
            if self._responds(attempt.endpoint_id):
                self._responses[attempt.endpoint_id] += 1
                self._driver.end_attempt(attempt)
            else:
                self._driver.abandon(attempt.request_id)
                self._driver.end_attempt(attempt, Outcome.CANCELLED)
        return Counter(attempt.endpoint_id for attempt in self._driver.attempts[before:])

    def subset_ids(self) -> set[EndpointId]:
        """Return the ids of the endpoints in the gateway's subset."""
        return {tracked.id for tracked in self._driver.balancer._endpoints.subset.members}

    def _responds(self, endpoint_id: EndpointId) -> bool:
        if endpoint_id <= self._warm_count:
            return True
        warm_responses = [self._responses[other] for other in self.subset_ids() if other <= self._warm_count]
        return self._responses[endpoint_id] <= INITIAL_CAPACITY * sum(warm_responses) / len(warm_responses)


@pytest.mark.parametrize("gateway_count", [1, 2 * GATEWAYS_PER_ENDPOINT, 6 * GATEWAYS_PER_ENDPOINT])
def test_endpoint_warming_up_gets_its_share_however_many_are_warming_up(gateway_count: int) -> None:
    """Neither a lack of traffic at the new endpoints nor the number of subsets may lower their share.

    Two thirds of the endpoints are new, and there are up to six subsets.
    """
    warm_count = 30
    traffic = SteadyTraffic(gateway_count, warm_count)
    traffic.run(4)
    new_ids = traffic.start_endpoints(60)
    traffic.run(4)  # until the throughput estimate has adapted to the new endpoints
    attempts = traffic.run(40)
    subset_ids = traffic.subset_ids()
    attempts_at_new = [attempts[endpoint_id] for endpoint_id in new_ids if endpoint_id in subset_ids]
    attempts_at_warm = [attempts[endpoint_id] for endpoint_id in subset_ids if endpoint_id <= warm_count]
    mean_capacity = INITIAL_CAPACITY * sum(attempts_at_warm) / len(attempts_at_warm)
    # The upper limit is what an endpoint withstands. Tokens accumulate until endpoint selection considers the
    # endpoint, so it may get more than its capacity for a while.
    assert 0.64 * mean_capacity < sum(attempts_at_new) / len(attempts_at_new) <= 1.76 * mean_capacity


def even_rates_per_s(gateway_count: int, capacity_per_s: float = CAPACITY_PER_S) -> list[float]:
    """Return the same request rate for each gateway, in requests per second."""
    return [OFFERED_LOAD * capacity_per_s * ENDPOINT_COUNT / gateway_count] * gateway_count


def uneven_rates_per_s(gateway_count: int) -> list[float]:
    """Return request rates per second of which one in eight is five times each of the others."""
    parts = [5.0 if index % 8 == 0 else 1.0 for index in range(gateway_count)]
    return [OFFERED_LOAD * CAPACITY_PER_S * ENDPOINT_COUNT * part / sum(parts) for part in parts]


@pytest.mark.parametrize("is_even", [True, False])
@pytest.mark.parametrize("gateway_count", [1, 20, 30, 39, 100])
def test_heavily_used_gateways_together_do_not_overload_endpoints_warming_up(
    gateway_count: int, is_even: bool
) -> None:
    rates_per_s = even_rates_per_s(gateway_count) if is_even else uneven_rates_per_s(gateway_count)
    fleet = SteppedFleet(gateway_count, ENDPOINT_COUNT, rates_per_s, CAPACITY_PER_S)
    fleet.run(10)
    new = fleet.replace_endpoints(4)
    fleet.run(45)
    assert fleet.worst_excess(new) <= 0
    assert fleet.arrival_count(new) > 0.05 * CAPACITY_PER_S * 45 * len(new)  # the new endpoints are used


@pytest.mark.parametrize("gateway_count", [20, 30, 39])
def test_tokens_saved_up_at_all_gateways_are_not_spent_at_once(gateway_count: int) -> None:
    """Gateways must not save up tokens for a whole request each.

    If they do, all of them send that request at the same time once the other endpoints are removed.
    """
    fleet = SteppedFleet(gateway_count, ENDPOINT_COUNT, even_rates_per_s(gateway_count), CAPACITY_PER_S)
    fleet.run(10)
    new = fleet.replace_endpoints(4)
    fleet.run(25)
    fleet.remove_all_endpoints_but(new)
    fleet.run(5)
    assert fleet.worst_excess(new) <= 0


@pytest.mark.parametrize("gateway_count", [6, 30])
def test_removed_endpoints_do_not_raise_the_estimate_of_the_others(gateway_count: int) -> None:
    """Recorded work must be divided by the capacity that was warm when the work was done.

    If nine in ten endpoints are replaced, dividing the work that all warm endpoints did by the number of the
    remaining ones makes the estimate far too high.
    """
    capacity_per_s = 30.0
    rates_per_s = even_rates_per_s(gateway_count, capacity_per_s)
    fleet = SteppedFleet(gateway_count, ENDPOINT_COUNT, rates_per_s, capacity_per_s)
    fleet.run(6)
    new = fleet.replace_endpoints(18)
    fleet.run(2.5)
    assert fleet.worst_excess(new) <= 0


def test_gateway_restarts_under_steady_traffic_do_not_overload_endpoints_warming_up() -> None:
    gateway_count = 30
    fleet = SteppedFleet(gateway_count, ENDPOINT_COUNT, even_rates_per_s(gateway_count), CAPACITY_PER_S)
    fleet.run(10)
    new = fleet.replace_endpoints(4)
    for second in range(45):
        for gateway_index in range(second % 4, gateway_count, 4):
            fleet.restart_gateway(gateway_index)
        fleet.run(1)
    assert fleet.worst_excess(new) <= 0
