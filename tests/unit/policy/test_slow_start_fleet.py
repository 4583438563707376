"""All gateways of a simulated fleet together must not overload endpoints that are warming up."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from http_gateway.policy.time_units import US_PER_S
from tests.support.fleet.fleet import Fleet
from tests.support.fleet.plan import FleetPlan
from tests.support.fleet.scenarios import (
    CROSS_ZONE_COST,
    FOUR_ZONE_ENDPOINTS,
    UNIFORM_ENDPOINTS,
    EndpointAttributes,
    assert_no_endpoint_overloaded,
    busy_first_zone,
    one_busy_gateway_in_four,
    replace_under_traffic,
    slow_start_settings,
    warm_endpoints,
)

GATEWAY_COUNTS = [1, 20, 60, 230]


@pytest.mark.parametrize("earn_credit", [False, True])
def test_cross_zone_traffic_of_a_replaced_zone_does_not_inflate_warm_up_buckets(earn_credit: bool) -> None:
    """The throughput estimate must not be scaled by the fraction of work that a gateway sends to a zone.

    The largest zone restarts, and its gateways send their requests to zones that usually get one in a hundred
    of them. Dividing the work of the warm endpoints there by that fraction made the estimate far too high.
    """
    shapes = [EndpointAttributes("a", "x", 1.0)] * 24
    shapes += [EndpointAttributes(zone, "x", 1.0) for zone in "bcd" for _ in range(4)]
    plan = FleetPlan(
        100,
        warm_endpoints(shapes),
        slow_start_settings(
            overload_factor=1.5,
            connect_timeout_s=0.25,
            initial_capacity=0.2,
            slow_start_window_s=60,
            cross_zone_cost=CROSS_ZONE_COST,
        ),
        capacity_per_s=50.0,
        traffic_shares=busy_first_zone(100, 4, 24 / 9),  # in proportion to the capacity of the zones
        max_list_delay_us=US_PER_S // 2,
        responses_earn_credit=earn_credit,
    )
    fleet, new = replace_under_traffic(plan, lambda endpoint: endpoint.zone == "a", after_s=4)
    assert_no_endpoint_overloaded(fleet)
    assert fleet.utilisation(new) > 0.2


@pytest.mark.parametrize("earn_credit", [False, True])
@pytest.mark.parametrize("gateway_count", GATEWAY_COUNTS)
def test_all_gateways_together_do_not_overload_endpoints_warming_up(
    gateway_count: int, earn_credit: bool
) -> None:
    """Gateways get unequal traffic, and endpoint lists and connections arrive late.

    The new endpoints must get requests nevertheless.
    """
    plan = FleetPlan(
        gateway_count,
        UNIFORM_ENDPOINTS,
        slow_start_settings(connect_timeout_s=1.5),
        traffic_shares=one_busy_gateway_in_four(gateway_count),
        max_list_delay_us=3 * US_PER_S,
        work_spread=0.5,
        responses_earn_credit=earn_credit,
    )
    fleet, new = replace_under_traffic(plan, lambda endpoint: endpoint.id % 5 == 0, after_s=8)
    assert_no_endpoint_overloaded(fleet)
    assert fleet.utilisation(new) > 0.05


@pytest.mark.parametrize("gateway_count", GATEWAY_COUNTS)
def test_endpoints_warming_up_are_used_at_a_fifth_of_their_capacity(gateway_count: int) -> None:
    """Endpoints in slow start are used at no less than a fifth of their capacity.

    Warm endpoints are used at three fifths of their capacity. The minimum of one request per overload window
    would use only a twentieth.
    """
    plan = FleetPlan(gateway_count, UNIFORM_ENDPOINTS, slow_start_settings(), capacity_per_s=60.0)
    fleet, new = replace_under_traffic(plan, lambda endpoint: endpoint.id % 5 == 0)
    assert_no_endpoint_overloaded(fleet)
    assert fleet.utilisation(new) > 0.2


@pytest.mark.parametrize("gateway_count", GATEWAY_COUNTS)
def test_gateway_restarts_do_not_overload_endpoints_warming_up(gateway_count: int) -> None:
    """Each second one gateway in four restarts, some with a cached list from before the replacement."""
    plan = FleetPlan(
        gateway_count,
        UNIFORM_ENDPOINTS,
        slow_start_settings(),
        max_list_delay_us=US_PER_S,
        responses_earn_credit=False,
    )
    fleet, new = replace_under_traffic(plan, lambda endpoint: endpoint.id % 5 == 0, after_s=1)
    for second in range(5):
        for gateway_index in range(second % 4, gateway_count, 4):
            fleet.restart_gateway(gateway_index, versions_back=gateway_index // 4 % 2)
        fleet.run(1)
    assert_no_endpoint_overloaded(fleet)
    assert fleet.utilisation(new) > 0


@pytest.mark.parametrize("earn_credit", [False, True])
@pytest.mark.parametrize("gateway_count", [20, 60, 230])
def test_clients_of_lost_gateways_do_not_overload_endpoints_warming_up(
    gateway_count: int, earn_credit: bool
) -> None:
    """Three gateways in ten get all of the traffic, because the others have failed.

    The gateway count in the settings of the remaining gateways still includes the failed ones.
    """
    shares = tuple(1.0 if index % 10 < 3 else 1e-6 for index in range(gateway_count))
    plan = FleetPlan(
        gateway_count,
        UNIFORM_ENDPOINTS,
        slow_start_settings(),
        traffic_shares=shares,
        max_list_delay_us=US_PER_S,
        responses_earn_credit=earn_credit,
    )
    fleet, new = replace_under_traffic(plan, lambda endpoint: endpoint.id % 2 == 0)
    assert_no_endpoint_overloaded(fleet)
    assert fleet.utilisation(new) > 0.1


@pytest.mark.parametrize("gateway_count", GATEWAY_COUNTS)
def test_endpoints_restarted_under_their_ids_are_not_overloaded(gateway_count: int) -> None:
    """Some endpoints restart again before all gateways have received the list with the first restart."""
    plan = FleetPlan(
        gateway_count,
        UNIFORM_ENDPOINTS,
        slow_start_settings(),
        max_list_delay_us=4 * US_PER_S,
        responses_earn_credit=False,
    )
    fleet = Fleet(plan)
    fleet.run(5)
    fleet.restart_endpoints(UNIFORM_ENDPOINTS[:6])
    fleet.run(3)
    fleet.restart_endpoints(UNIFORM_ENDPOINTS[4:8])
    fleet.run(5)
    assert_no_endpoint_overloaded(fleet)


@pytest.mark.parametrize("weights_are_capacities", [False, True])
@pytest.mark.parametrize("gateway_count", GATEWAY_COUNTS)
def test_small_endpoints_of_a_machine_type_are_not_overloaded(
    gateway_count: int, weights_are_capacities: bool
) -> None:
    """Endpoints of one machine type may differ in capacity.

    They must not be overloaded, whether or not the settings let the gateways use the weights as capacities.
    """
    weights = [0.5, 1.0, 2.0, 4.0] if weights_are_capacities else [0.5, 1.0, 1.0, 1.5]
    plan = FleetPlan(
        gateway_count,
        warm_endpoints([EndpointAttributes("a", "x", weight) for weight in weights * 5]),
        slow_start_settings(weights_are_capacities=weights_are_capacities),
        responses_earn_credit=False,
        max_list_delay_us=US_PER_S,
    )
    fleet, new = replace_under_traffic(plan, lambda endpoint: endpoint.id <= 4)
    assert_no_endpoint_overloaded(fleet)
    assert fleet.utilisation(new) > 0.05


@pytest.mark.parametrize("at_once", [False, True])
@pytest.mark.parametrize("gateway_count", GATEWAY_COUNTS)
def test_machine_type_without_a_warm_endpoint_is_not_overloaded(gateway_count: int, at_once: bool) -> None:
    """The endpoints of one machine type are replaced at once or one by one.

    If they are replaced one by one, the last warm ones serve only a few gateways, and the throughput that
    those gateways observe is far from the mean.
    """
    endpoints = warm_endpoints([EndpointAttributes("a", machine_type, 1.0) for machine_type in "xxxy" * 5])
    plan = FleetPlan(
        gateway_count,
        endpoints,
        slow_start_settings(),
        max_list_delay_us=2 * US_PER_S,
        responses_earn_credit=False,
    )
    fleet = Fleet(plan)
    fleet.run(5)
    replaced = [endpoint for endpoint in endpoints if endpoint.machine_type == "y"]
    if at_once:
        fleet.replace_endpoints(replaced)
    else:
        for endpoint in replaced:
            fleet.replace_endpoints([endpoint])
            fleet.run(0.7)
    fleet.run(5)
    assert_no_endpoint_overloaded(fleet)
    new = [endpoint for endpoint in fleet.endpoints if endpoint.machine_type == "y"]
    assert fleet.utilisation(new) > 0.05


@pytest.mark.parametrize("gap_s", [0, 4])
@pytest.mark.parametrize("gateway_count", GATEWAY_COUNTS)
def test_zone_that_returns_with_new_endpoints_is_not_overloaded(gateway_count: int, gap_s: int) -> None:
    """The endpoints of a zone are replaced at once, or are missing for some seconds before they return.

    While they are missing, the requests of the zone go to other zones.
    """
    endpoints = warm_endpoints([EndpointAttributes(zone, "x", 1.0) for zone in "abcd"] * 5)
    plan = FleetPlan(
        gateway_count,
        endpoints,
        slow_start_settings(cross_zone_cost=CROSS_ZONE_COST),
        max_list_delay_us=US_PER_S,
        responses_earn_credit=False,
    )
    other_zones = tuple(endpoint for endpoint in endpoints if endpoint.zone != "a")
    fleet = Fleet(plan)
    fleet.run(5)
    if gap_s:
        fleet.publish_list(other_zones)
        fleet.run(gap_s)
    new = [
        replace(endpoint, id=100 + endpoint.id, started_at_us=fleet.now_us)
        for endpoint in endpoints
        if endpoint.zone == "a"
    ]
    fleet.publish_list((*other_zones, *new))
    fleet.run(6)
    assert_no_endpoint_overloaded(fleet)
    assert fleet.utilisation(new) > 0.05


@pytest.mark.parametrize("gateway_count", GATEWAY_COUNTS)
def test_few_heavy_requests_do_not_overload_endpoints_warming_up(gateway_count: int) -> None:
    """The overload budget of an endpoint that has just started is 2.7 requests per overload window."""
    plan = FleetPlan(
        gateway_count,
        UNIFORM_ENDPOINTS,
        slow_start_settings(slow_start_window_s=80),
        capacity_per_s=3.0,
        work_spread=0.5,
        responses_earn_credit=False,
        latency_objective_us=3 * US_PER_S,
        timeout_us=6 * US_PER_S,
    )
    fleet, new = replace_under_traffic(plan, lambda endpoint: endpoint.id % 5 == 0, before_s=10, after_s=40)
    assert_no_endpoint_overloaded(fleet)
    assert fleet.utilisation(new) > 0.03


@pytest.mark.parametrize("earn_credit", [False, True])
@pytest.mark.parametrize("gateway_count", GATEWAY_COUNTS)
def test_many_light_requests_do_not_overload_endpoints_warming_up(
    gateway_count: int, earn_credit: bool
) -> None:
    """The overload budget of an endpoint that has just started is 180 requests per overload window.

    With so many requests, the margin for random variation is a small part of the budget.
    """
    plan = FleetPlan(
        gateway_count,
        warm_endpoints([EndpointAttributes("a", "x", 1.0)] * 6),
        slow_start_settings(overload_window_s=3, connect_timeout_s=0.1),
        capacity_per_s=135.0,
        traffic_shares=one_busy_gateway_in_four(gateway_count),
        responses_earn_credit=earn_credit,
    )
    fleet, new = replace_under_traffic(plan, lambda endpoint: endpoint.id <= 2, before_s=4, after_s=4)
    assert_no_endpoint_overloaded(fleet)
    assert fleet.utilisation(new) > 0.2


@pytest.mark.parametrize("earn_credit", [False, True])
@pytest.mark.parametrize(
    ("traffic_factor", "overload_factor", "initial_capacity"),
    [(1.5, 1.5, 0.15), (2.0, 1.5, 0.15), (2.0, 2.0, 0.1), (3.0, 1.5, 0.15)],
)
def test_zone_with_more_traffic_than_capacity_is_not_overloaded(
    traffic_factor: float, overload_factor: float, initial_capacity: float, earn_credit: bool
) -> None:
    """The busiest zone is replaced, and its gateways use most of the capacity of the other zones."""
    plan = FleetPlan(
        60,
        FOUR_ZONE_ENDPOINTS,
        slow_start_settings(
            overload_factor=overload_factor,
            overload_window_s=3.0,
            connect_timeout_s=0.1,
            initial_capacity=initial_capacity,
            slow_start_window_s=60.0,
            cross_zone_cost=CROSS_ZONE_COST,
        ),
        capacity_per_s=60.0,
        offered_load=0.8,
        traffic_shares=busy_first_zone(60, 4, traffic_factor),
        responses_earn_credit=earn_credit,
    )
    fleet, _ = replace_under_traffic(plan, lambda endpoint: endpoint.zone == "a", before_s=4, after_s=4)
    assert_no_endpoint_overloaded(fleet)


@st.composite
def fleet_plans(draw: st.DrawFn) -> tuple[FleetPlan, float]:
    """Draw a fleet plan, and the fraction of its endpoints that is replaced."""
    zone_count, machine_type_count = draw(st.integers(1, 4)), draw(st.integers(1, 3))
    endpoint_count = draw(st.integers(max(4, zone_count), 24))
    weights_are_capacities = draw(st.booleans())
    weights = draw(st.sampled_from([[1.0], [0.5, 1.0, 2.0]])) if weights_are_capacities else [1.0]
    policy_settings = slow_start_settings(
        overload_factor=draw(st.floats(1.5, 4)),
        overload_window_s=draw(st.floats(1, 3)),
        connect_timeout_s=draw(st.floats(0.1, 1.5)),
        initial_capacity=draw(st.floats(0.1, 0.5)),
        cross_zone_cost=draw(st.sampled_from([0.0, CROSS_ZONE_COST])),
        weights_are_capacities=weights_are_capacities,
    )
    shapes = [
        EndpointAttributes(
            zone="abcd"[number % zone_count],
            machine_type="xyz"[number // zone_count % machine_type_count],
            weight=weights[number // 2 % len(weights)],
        )
        for number in range(endpoint_count)
    ]
    gateway_count = draw(st.integers(1, 120))
    plan = FleetPlan(
        gateway_count,
        warm_endpoints(shapes),
        policy_settings,
        capacity_per_s=draw(st.sampled_from([3.0, 20.0, 50.0])),
        offered_load=draw(st.floats(0.3, 0.8)),
        traffic_shares=one_busy_gateway_in_four(gateway_count, 5.0, zone_count)
        if draw(st.booleans())
        else (),
        max_list_delay_us=draw(st.integers(0, 3)) * US_PER_S,
        responses_earn_credit=draw(st.booleans()),
        work_spread=draw(st.sampled_from([0.0, 0.5])),
        seed=draw(st.integers(1, 1000)),
    )
    return plan, draw(st.floats(0.1, 1))


@settings(derandomize=True, deadline=None, max_examples=80, database=None)
@given(drawn=fleet_plans())
def test_endpoints_warming_up_are_not_overloaded_in_any_fleet(drawn: tuple[FleetPlan, float]) -> None:
    plan, replaced_fraction = drawn
    last_replaced = max(1, round(replaced_fraction * len(plan.endpoints)))
    fleet, _ = replace_under_traffic(
        plan, lambda endpoint: endpoint.id <= last_replaced, before_s=4, after_s=4
    )
    assert_no_endpoint_overloaded(fleet)
