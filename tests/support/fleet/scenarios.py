"""Settings, endpoint lists and traffic that several tests of slow start use."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from http_gateway.policy.endpoint import Endpoint
from http_gateway.policy.settings import Settings
from http_gateway.policy.time_units import US_PER_S
from tests.support.fleet.fleet import Fleet
from tests.support.fleet.plan import FleetPlan
from tests.support.policy_driver import CLASSES

CROSS_ZONE_COST = 0.03


class EndpointShape(NamedTuple):
    """What distinguishes the endpoints of a list."""

    zone: str
    machine_type: str
    weight: float


def slow_start_settings(
    overload_factor: float = 3.0,
    overload_window_s: float = 2.0,
    connect_timeout_s: float = 0.5,
    initial_capacity: float = 0.15,
    slow_start_window_s: float = 40.0,
    cross_zone_cost: float = 0.0,
    weights_are_capacities: bool = False,
) -> Settings:
    """Return settings with slow start."""
    return Settings(
        CLASSES,
        initial_capacity=initial_capacity,
        slow_start_window_us=round(slow_start_window_s * US_PER_S),
        overload_factor=overload_factor,
        overload_window_us=round(overload_window_s * US_PER_S),
        connect_timeout_us=round(connect_timeout_s * US_PER_S),
        cross_zone_cost=cross_zone_cost,
        weights_are_capacities=weights_are_capacities,
    )


def shaped_endpoints(shapes: Iterable[EndpointShape]) -> tuple[Endpoint, ...]:
    """Return warm endpoints of these shapes, with ids from 1."""
    return tuple(
        Endpoint(endpoint_id, zone=shape.zone, machine_type=shape.machine_type, weight=shape.weight)
        for endpoint_id, shape in enumerate(shapes, 1)
    )


ALIKE = shaped_endpoints([EndpointShape("a", "x", 1.0)] * 20)
FOUR_ZONES = shaped_endpoints([EndpointShape(zone, "x", 1.0) for zone in "abcd"] * 3)


def one_busy_gateway_in_four(
    gateway_count: int, factor: float = 6.0, zone_count: int = 4
) -> tuple[float, ...]:
    """Return traffic shares: in each zone one gateway in four gets `factor` times what another one gets."""
    return tuple(factor if index // zone_count % 4 == 0 else 1.0 for index in range(gateway_count))


def busy_first_zone(gateway_count: int, zone_count: int, factor: float) -> tuple[float, ...]:
    """Return traffic shares: the first zone gets `factor` times the traffic of the mean zone."""
    first, others = factor / zone_count, (1 - factor / zone_count) / (zone_count - 1)
    return tuple(others if index % zone_count else first for index in range(gateway_count))


def replace_under_traffic(
    plan: FleetPlan, is_replaced: Callable[[Endpoint], bool], before_s: float = 5.0, after_s: float = 6.0
) -> tuple[Fleet, list[Endpoint]]:
    """Replace some endpoints under steady traffic; return the fleet afterwards, and the new endpoints."""
    fleet = Fleet(plan)
    fleet.run(before_s)
    new = fleet.replace_endpoints([endpoint for endpoint in fleet.endpoints if is_replaced(endpoint)])
    fleet.run(after_s)
    return fleet, new


def assert_endpoints_withstand(fleet: Fleet) -> None:
    """No endpoint that was warming up has got more than it withstands within an overload window."""
    worst = fleet.worst_overload_window()
    assert worst.excess <= 0, worst.describe()
