"""Settings, endpoint lists and traffic that several slow-start tests share."""

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


class EndpointAttributes(NamedTuple):
    """The attributes in which the endpoints of a list differ."""

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
    """Return settings that enable slow start; times are in seconds."""
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


def warm_endpoints(shapes: Iterable[EndpointAttributes]) -> tuple[Endpoint, ...]:
    """Return warm endpoints with these attributes, and with consecutive ids from 1."""
    return tuple(
        Endpoint(endpoint_id, zone=shape.zone, machine_type=shape.machine_type, weight=shape.weight)
        for endpoint_id, shape in enumerate(shapes, 1)
    )


UNIFORM_ENDPOINTS = warm_endpoints([EndpointAttributes("a", "x", 1.0)] * 20)
FOUR_ZONE_ENDPOINTS = warm_endpoints([EndpointAttributes(zone, "x", 1.0) for zone in "abcd"] * 3)


def one_busy_gateway_in_four(
    gateway_count: int, factor: float = 6.0, zone_count: int = 4
) -> tuple[float, ...]:
    """Return the traffic shares of a fleet in which one gateway in four of each zone is busy.

    Args:
        gateway_count: The number of gateways.
        factor: The traffic of a busy gateway, as a multiple of the traffic of any other gateway.
        zone_count: The number of zones, to which gateways are assigned in round-robin order.

    Returns:
        The relative traffic of each gateway, by its index.
    """
    return tuple(factor if index // zone_count % 4 == 0 else 1.0 for index in range(gateway_count))


def busy_first_zone(gateway_count: int, zone_count: int, factor: float) -> tuple[float, ...]:
    """Return the traffic shares of a fleet whose first zone is busy.

    Args:
        gateway_count: The number of gateways.
        zone_count: The number of zones, to which gateways are assigned in round-robin order.
        factor: The traffic of the first zone, as a multiple of the mean traffic of a zone.

    Returns:
        The relative traffic of each gateway, by its index.
    """
    first, others = factor / zone_count, (1 - factor / zone_count) / (zone_count - 1)
    return tuple(others if index % zone_count else first for index in range(gateway_count))


def replace_under_traffic(
    plan: FleetPlan, is_replaced: Callable[[Endpoint], bool], before_s: float = 5.0, after_s: float = 6.0
) -> tuple[Fleet, list[Endpoint]]:
    """Run a fleet, and replace some of its endpoints under steady traffic.

    Args:
        plan: The configuration of the fleet.
        is_replaced: Whether an endpoint is one of those to replace.
        before_s: How long the fleet runs before the replacement, in seconds.
        after_s: How long the fleet runs after the replacement, in seconds.

    Returns:
        The fleet after the run, and the new endpoints.
    """
    fleet = Fleet(plan)
    fleet.run(before_s)
    new = fleet.replace_endpoints([endpoint for endpoint in fleet.endpoints if is_replaced(endpoint)])
    fleet.run(after_s)
    return fleet, new


def assert_no_endpoint_overloaded(fleet: Fleet) -> None:
    """Assert that no endpoint in slow start received more work within an overload window than its limit."""
    worst = fleet.worst_overload_window()
    assert worst.excess <= 0, worst.describe()
