"""What one event costs must not grow with the number of endpoints."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from http_gateway.policy.actions import StartAttempt
from http_gateway.policy.balancer import Balancer
from http_gateway.policy.endpoint_selection import MAX_EXAMINED
from http_gateway.policy.events import (
    AttemptEnded,
    EndpointListUpdate,
    ListUpdateKind,
    Outcome,
    RequestArrived,
)
from http_gateway.policy.time_units import US_PER_MS, US_PER_S
from tests.scale.costs import list_change_ms
from tests.scale.fleet import (
    CLASS,
    SETTINGS,
    START_US,
    make_balancer,
    make_endpoint,
    make_endpoints,
    rolling_deploy,
)
from tests.support.opcodes import executed_opcodes

SMALL_FLEET, LARGE_FLEET, LARGEST_FLEET = 200, 3200, 23_000
MANY_GATEWAYS = 1800
MAX_GROWTH = 4  # of the cost of an event from the smallest fleet to the largest one
MAX_CHANGE_MS = 0.25  # processor time of a change with 3,200 endpoints
# Zone preference looks at the whole subset for each request, so it is left out here.
WITHOUT_ZONE_PREFERENCE = replace(SETTINGS, cross_zone_cost=0.0)


def apply_changes(endpoint_count: int) -> int:
    """Return the cost of thirty changes of a rolling deploy, each in an update of its own."""
    balancer = make_balancer(make_endpoints(endpoint_count))
    changes = rolling_deploy(endpoint_count, START_US, 2500)

    def apply() -> None:
        for number in range(30):
            update = EndpointListUpdate(ListUpdateKind.DELTA, (next(changes),))
            balancer.handle(update, START_US + number * 2500)

    return executed_opcodes(apply)


def send_requests(
    balancer: Balancer, now_us: int, interval_us: int, request_count: int = 30
) -> tuple[list[StartAttempt], int]:
    """Send requests; return the attempts that they start, and their cost."""
    started: list[StartAttempt] = []

    def send() -> None:
        for number in range(request_count):
            request = RequestArrived(now_us + number, CLASS.name, CLASS.timeout_us, 10 * US_PER_MS)
            actions = balancer.handle(request, now_us + number * interval_us)
            started.extend(action for action in actions if isinstance(action, StartAttempt))

    cost = executed_opcodes(send)
    return started, cost


def refresh_weights(endpoint_count: int) -> int:
    """Return the cost of requests that come every 100 ms while one endpoint is warming up."""
    endpoints = (*make_endpoints(endpoint_count - 1), make_endpoint(endpoint_count, START_US))
    balancer = make_balancer(endpoints, WITHOUT_ZONE_PREFERENCE)
    send_requests(balancer, START_US, 1)
    return send_requests(balancer, START_US + US_PER_S, US_PER_S // 10)[1]


def record_failures(endpoint_count: int) -> int:
    """Return the cost of attempts that end with an error."""
    balancer = make_balancer(make_endpoints(endpoint_count), WITHOUT_ZONE_PREFERENCE)
    started, _ = send_requests(balancer, START_US, 1)

    def fail() -> None:
        for action in started:
            ended = AttemptEnded(action.request_id, 0, action.endpoint_id, Outcome.ERROR, 1, True)
            balancer.handle(ended, START_US + US_PER_S)

    assert len(started) == 30
    return executed_opcodes(fail)


@pytest.mark.parametrize("cost", [apply_changes, refresh_weights, record_failures])
def test_cost_of_an_event_does_not_follow_the_number_of_endpoints(cost: Callable[[int], int]) -> None:
    """Guards against requests that wait for seconds while a deploy changes the list of a large fleet."""
    small = cost(SMALL_FLEET)
    assert cost(LARGE_FLEET) <= MAX_GROWTH * small
    assert cost(LARGEST_FLEET) <= MAX_GROWTH * small


def test_request_looks_at_a_limited_number_of_endpoints() -> None:
    """Guards against requests that wait while a large fleet that is warming up admits hardly any of them."""

    def cost(endpoint_count: int) -> int:
        settings = replace(WITHOUT_ZONE_PREFERENCE, gateway_count=MANY_GATEWAYS)
        balancer = make_balancer(make_endpoints(endpoint_count, START_US), settings)
        return send_requests(balancer, START_US, 1, request_count=2)[1]

    assert cost(LARGEST_FLEET) <= 1.2 * cost(2 * MAX_EXAMINED)


def test_changes_of_a_deploy_take_a_small_part_of_a_core() -> None:
    """A deploy of 3,200 endpoints brings up to 400 changes a second; a change once took 11 ms."""
    assert list_change_ms(LARGE_FLEET) < MAX_CHANGE_MS
