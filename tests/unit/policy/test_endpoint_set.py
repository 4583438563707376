"""The state that follows from the endpoint list, kept up to date change by change."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from http_gateway.policy.capacity_totals import CapacityTotals
from http_gateway.policy.circuit_breaker import FAILURE_THRESHOLD
from http_gateway.policy.endpoint import Endpoint, EndpointId, EndpointState
from http_gateway.policy.endpoint_set import WEIGHTS_UPDATE_INTERVAL_US, EndpointSet
from http_gateway.policy.events import EndpointListUpdate, ListUpdateKind
from http_gateway.policy.settings import Settings
from http_gateway.policy.time_units import US_PER_S
from tests.support.policy_driver import CLASSES, READ
from tests.support.reference_weights import compute_weights

START_US = 100 * US_PER_S
WINDOW_US = 12 * US_PER_S
WEIGHTS = (1.0, 0.1, 3.7, 1e-6, 1e6, 0.0, -1.0, 1e300)


def draw_settings(random: Random) -> Settings:
    gateway_count = random.choice([1, 40, 230, 1800])
    return Settings(
        CLASSES,
        zone=random.choice(["a", "b", "elsewhere"]),
        gateway_count=gateway_count,
        gateway_index=random.randrange(gateway_count),
        initial_capacity=random.choice([0.15, 0.3, 1.0]),
        slow_start_window_us=random.choice([WINDOW_US, WINDOW_US, 0]),
        weights_are_capacities=random.random() < 0.5,
        cross_zone_cost=random.choice([0.0, 0.03]),
    )


def draw_endpoint(random: Random, endpoint_id: EndpointId, settings: Settings, now_us: int) -> Endpoint:
    starts = [0, now_us, now_us - random.randrange(2 * WINDOW_US)]
    if settings.slow_start_window_us:
        starts.append(now_us + random.randrange(US_PER_S))  # the clocks of the machines differ
    return Endpoint(
        endpoint_id,
        random.choice([EndpointState.READY] * 4 + [EndpointState.DRAINING, EndpointState.REMOVED]),
        zone=random.choice("aabc"),
        machine_type=random.choice(["x", "x", "y", f"rare-{random.randrange(9)}"]),
        weight=random.choice(WEIGHTS),
        started_at_us=random.choice(starts),
    )


def assert_as_computed_anew(
    endpoint_set: EndpointSet, listed: dict[EndpointId, Endpoint], settings: Settings, now_us: int
) -> None:
    """Compare a set with the state that is computed from all endpoints of the list at the same time."""
    expected = compute_weights(list(listed.values()), settings, now_us)
    subset = endpoint_set.subset
    assert [tracked.id for tracked in subset.members] == expected.members
    assert [tracked.id for tracked in subset.fallbacks()] == expected.fallbacks
    assert subset.slice_count == expected.slice_count
    assert [tracked.id for tracked in subset.members if tracked not in subset] == []
    assert [tracked.id for tracked in subset.fallbacks() if tracked in subset] == []
    assert dict(endpoint_set.zone_weights) == pytest.approx(expected.zone_weights)
    for tracked in (*subset.members, *subset.fallbacks()):
        demand = endpoint_set.slow_start.relative_demand(tracked)
        assert demand == pytest.approx(expected.relative_demand[tracked.id])
        assert tracked.endpoint == listed[tracked.id]
    totals = endpoint_set._totals
    assert set(endpoint_set.slow_start._throughputs) == set(expected.warm_capacity)
    for machine_type, warm_capacity in expected.warm_capacity.items():
        assert totals.warm_capacity(machine_type) == pytest.approx(warm_capacity)
        throughput = endpoint_set.slow_start._throughputs[machine_type]
        assert throughput._warm_capacity == pytest.approx(warm_capacity)
    assert totals.all_warm == expected.all_warm


def apply_to(listed: dict[EndpointId, Endpoint], entries: list[Endpoint], kind: ListUpdateKind) -> None:
    """Apply an update to a plain dictionary of the ready endpoints."""
    if kind is not ListUpdateKind.DELTA:
        listed.clear()
    for endpoint in entries:
        listed.pop(endpoint.id, None)
        if endpoint.state is EndpointState.READY:
            listed[endpoint.id] = endpoint


@pytest.mark.parametrize("seed", range(40))
def test_changes_one_by_one_give_the_state_of_the_complete_list(seed: int) -> None:
    """Guards against totals or an order that a change leaves behind wrong."""
    random = Random(seed)
    settings = draw_settings(random)
    endpoint_set = EndpointSet(settings, Random(1))
    listed: dict[EndpointId, Endpoint] = {}
    id_count = random.choice([6, 60, 400])
    now_us = START_US
    for step in range(150):
        now_us += random.choice([0, 1, WEIGHTS_UPDATE_INTERVAL_US, US_PER_S, WINDOW_US // 3])
        kind = ListUpdateKind.DELTA if random.random() < 0.95 else ListUpdateKind.COMPLETE
        entry_count = random.choice([0, 1, 1, 1, 2, 30]) if kind is ListUpdateKind.DELTA else id_count // 2
        entries = [
            draw_endpoint(random, random.randrange(id_count), settings, now_us) for _ in range(entry_count)
        ]
        endpoint_set.apply(EndpointListUpdate(kind, tuple(entries)), now_us)
        apply_to(listed, list({entry.id: entry for entry in entries}.values()), kind)
        if step % 10 == 0:
            assert_as_computed_anew(endpoint_set, listed, settings, now_us)
    complete = EndpointSet(settings, Random(1))
    complete.apply(EndpointListUpdate(ListUpdateKind.COMPLETE, tuple(listed.values())), now_us)
    for state in (endpoint_set, complete):
        assert_as_computed_anew(state, listed, settings, now_us)
    assert endpoint_set._totals._zones == complete._totals._zones
    assert endpoint_set._totals._machine_types == complete._totals._machine_types
    assert endpoint_set._totals._warming_up == complete._totals._warming_up
    assert endpoint_set._totals._not_started == complete._totals._not_started


@pytest.mark.parametrize("seed", range(10))
def test_endpoints_that_warm_up_without_a_change_are_accounted_for(seed: int) -> None:
    random = Random(seed)
    settings = replace(draw_settings(random), slow_start_window_us=WINDOW_US, initial_capacity=0.15)
    endpoint_set = EndpointSet(settings, Random(1))
    entries = [draw_endpoint(random, number, settings, START_US) for number in range(100)]
    endpoint_set.apply(EndpointListUpdate(ListUpdateKind.COMPLETE, tuple(entries)), START_US)
    listed = {entry.id: entry for entry in entries if entry.state is EndpointState.READY}
    for step in range(1, 160):
        now_us = START_US + step * WEIGHTS_UPDATE_INTERVAL_US
        endpoint_set.update_weights_if_due(now_us)
        if not endpoint_set._totals.all_warm or step % 20 == 0:
            assert_as_computed_anew(endpoint_set, listed, settings, now_us)
    assert endpoint_set._totals.all_warm


def test_totals_do_not_drift_over_many_changes() -> None:
    """Sums of floats would keep the rounding errors of endpoints that have left."""
    random = Random(1)
    settings = Settings(
        CLASSES, initial_capacity=0.15, slow_start_window_us=WINDOW_US, weights_are_capacities=True
    )
    totals = CapacityTotals(settings)
    listed: dict[EndpointId, Endpoint] = {}
    for number in range(20_000):
        now_us = START_US + number * 2500
        totals.advance(now_us)
        endpoint_id = random.randrange(50)
        if endpoint_id in listed:
            totals.remove(listed.pop(endpoint_id))
        endpoint = draw_endpoint(random, endpoint_id, settings, now_us)
        listed[endpoint_id] = replace(endpoint, weight=random.choice([random.random(), *WEIGHTS]))
        totals.add(listed[endpoint_id])
    anew = CapacityTotals(settings)
    anew.advance(now_us)
    for endpoint in listed.values():
        anew.add(endpoint)
    assert totals._machine_types == anew._machine_types
    assert totals._zones == anew._zones
    for endpoint_id in list(listed):
        totals.remove(listed.pop(endpoint_id))
    assert (totals._machine_types, totals._zones, totals.all_warm) == ({}, {}, True)


def test_open_breakers_of_endpoints_that_leave_or_restart_are_not_counted() -> None:
    """A count that keeps them would stop the detection of outliers once half of the fleet was replaced."""
    endpoint_set = EndpointSet(Settings(CLASSES), Random(1))
    endpoints = tuple(Endpoint(number) for number in range(1, 5))
    endpoint_set.apply(EndpointListUpdate(ListUpdateKind.COMPLETE, endpoints), START_US)
    counts = endpoint_set.open_breakers

    def current_counts() -> tuple[int, int]:
        return counts.endpoints.value, counts.of_class(READ.name).value

    for endpoint in endpoints:
        tracked = endpoint_set.get(endpoint.id)
        assert tracked is not None
        for _ in range(2 * FAILURE_THRESHOLD):
            tracked.breaker.record_failure(START_US, is_probe=False)
            tracked.class_breaker(READ).record_failure(START_US, is_probe=False)
    assert current_counts() == (4, 4)
    restarted = replace(endpoints[0], started_at_us=START_US)
    removed = replace(endpoints[1], state=EndpointState.REMOVED)
    endpoint_set.apply(EndpointListUpdate(ListUpdateKind.DELTA, (restarted, removed)), START_US)
    assert current_counts() == (2, 2)
    tracked = endpoint_set.get(3)
    assert tracked is not None
    tracked.breaker.record_failure(START_US, is_probe=True)
    assert current_counts() == (2, 2)
    tracked.breaker.record_success(is_probe=True)
    tracked.class_breaker(READ).record_response(START_US, is_probe=True)
    assert current_counts() == (1, 1)
    endpoint_set.apply(EndpointListUpdate(ListUpdateKind.COMPLETE, (endpoints[2],)), START_US)
    assert current_counts() == (0, 0)


def test_start_in_the_future_without_slow_start_counts_as_warm() -> None:
    """Guards against a division by the length of the slow start window, which failed every later list."""
    endpoint_set = EndpointSet(Settings(CLASSES, slow_start_window_us=0), Random(1))
    endpoint = Endpoint(1, started_at_us=START_US + US_PER_S)
    endpoint_set.apply(EndpointListUpdate(ListUpdateKind.COMPLETE, (endpoint,)), START_US)
    assert endpoint_set.slow_start.capacity_fraction(endpoint, START_US) == 1
    assert [tracked.id for tracked in endpoint_set.subset.members] == [1]
