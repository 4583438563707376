"""A policy in a fleet of a given size, and the changes that a rolling deploy makes to its endpoint list."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

from http_gateway.policy.balancer import Balancer
from http_gateway.policy.endpoint import Endpoint, EndpointId, EndpointState
from http_gateway.policy.events import EndpointListUpdate, ListUpdateKind
from http_gateway.policy.settings import Idempotency, RequestClass, Settings
from http_gateway.policy.time_units import US_PER_S

GATEWAY_COUNT = 200
ZONES = ("a", "b", "c")
START_US = 1_000 * US_PER_S
CLASS = RequestClass("read", US_PER_S // 2, 2 * US_PER_S, Idempotency.IDEMPOTENT)
SETTINGS = Settings(
    (CLASS,),
    zone="a",
    gateway_count=GATEWAY_COUNT,
    max_attempts=4,
    initial_capacity=0.15,
    slow_start_window_us=24 * US_PER_S,
    overload_window_us=2 * US_PER_S,
    overload_factor=3.0,
    cross_zone_cost=0.03,
)


def make_endpoint(endpoint_id: EndpointId, started_at_us: int = 0) -> Endpoint:
    """Return a ready endpoint; its zone follows from its id."""
    return Endpoint(
        endpoint_id,
        zone=ZONES[endpoint_id % len(ZONES)],
        machine_type="standard",
        deduplication_group=endpoint_id // 6,
        started_at_us=started_at_us,
    )


def make_endpoints(count: int, started_at_us: int = 0) -> tuple[Endpoint, ...]:
    """Return ready endpoints with ids from 1."""
    return tuple(make_endpoint(endpoint_id, started_at_us) for endpoint_id in range(1, count + 1))


def make_balancer(endpoints: tuple[Endpoint, ...], settings: Settings = SETTINGS) -> Balancer:
    """Return a policy that has received an endpoint list at `START_US`."""
    balancer = Balancer(settings, seed=1)
    balancer.handle(EndpointListUpdate(ListUpdateKind.COMPLETE, endpoints), START_US)
    return balancer


def rolling_deploy(count: int, now_us: int, interval_us: int) -> Iterator[Endpoint]:
    """Yield the list entries of a rolling deploy without end, one for each change.

    Each endpoint drains, is removed and has a successor with a new id, which is warming up.

    Args:
        count: The size of the fleet.
        now_us: The time of the first change.
        interval_us: The time between two changes.
    """
    oldest, newest = 1, count
    while True:
        endpoint = make_endpoint(oldest)
        yield replace(endpoint, state=EndpointState.DRAINING)
        yield replace(endpoint, state=EndpointState.REMOVED)
        newest += 1
        yield make_endpoint(newest, now_us + 2 * interval_us)
        oldest += 1
        now_us += 3 * interval_us
