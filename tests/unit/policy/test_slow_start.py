"""What all gateways together send to endpoints that have started lately, and how each works it out."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace
from math import e
from random import Random

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from http_gateway.policy.endpoint import Endpoint
from http_gateway.policy.events import Outcome
from http_gateway.policy.settings import Settings
from http_gateway.policy.slow_start import CREDIT_DECAY_WINDOWS, MAX_SAVED_WINDOWS, SlowStart
from http_gateway.policy.subsetting import Subset, choose_subset
from http_gateway.policy.throughput_estimate import LONG_RATE_WINDOW_US, MachineTypeThroughput
from http_gateway.policy.time_units import US_PER_MS, US_PER_S
from http_gateway.policy.token_bucket import WarmUpBucket
from http_gateway.policy.tracked_endpoint import TrackedEndpoint
from tests.support.fleet import START, Arrival, Fleet, Incarnation, Plan, Window
from tests.support.policy_driver import CLASSES, PolicyDriver

BALANCERS = [1, 20, 60, 230]
PRICE = 0.03

Chooses = Callable[[Endpoint], bool]


def cold_settings(
    overload_factor: float = 3.0,
    overload_window_us: float = 2.0,
    connect_timeout: float = 0.5,
    initial_capacity: float = 0.15,
    slow_start_window_us: float = 40.0,
    cross_zone_cost: float = 0.0,
    weights_are_capacities: bool = False,
) -> Settings:
    """Times are in seconds."""
    return Settings(
        CLASSES,
        initial_capacity=initial_capacity,
        slow_start_window_us=round(slow_start_window_us * US_PER_S),
        overload_factor=overload_factor,
        overload_window_us=round(overload_window_us * US_PER_S),
        connect_timeout_us=round(connect_timeout * US_PER_S),
        cross_zone_cost=cross_zone_cost,
        weights_are_capacities=weights_are_capacities,
    )


def line_up(kinds: Iterable[tuple[str, str, float]]) -> tuple[Endpoint, ...]:
    """Servers by zone, flavor and size."""
    return tuple(
        Endpoint(number, zone=zone, machine_type=flavor, weight=size)
        for number, (zone, flavor, size) in enumerate(kinds, 1)
    )


ALIKE = line_up([("a", "x", 1.0)] * 20)
ZONES = line_up([(zone, "x", 1.0) for zone in "abcd"] * 3)


def heavy(gateway_count: int, times: float = 6.0, zones: int = 4) -> tuple[float, ...]:
    """In each zone one balancer in four sees so many times what each other one does."""
    return tuple(times if rank // zones % 4 == 0 else 1.0 for rank in range(gateway_count))


def heavy_zone(gateway_count: int, zones: int, times: float) -> tuple[float, ...]:
    """The gateways of the first zone see so many times what those of the mean zone do."""
    first, others = times / zones, (1 - times / zones) / (zones - 1)
    return tuple(others if rank % zones else first for rank in range(gateway_count))


def report(window: Window) -> str:
    senders = ", ".join(f"{work:.0f} from {rank}" for rank, work in window.senders)
    return (
        f"server {window.server} got {window.got:.1f} requests of mean work, stands {window.limit:.1f}"
        f" (N is {window.budget:.1f}), {window.after:.2f} s after its start; {senders}"
    )


def stands(fleet: Fleet) -> None:
    """No cold server has got what pushes it over."""
    worst = fleet.worst()
    assert worst.excess <= 0, report(worst)


def play(
    plan: Plan, leaves: Chooses, before: float = 5.0, after: float = 6.0
) -> tuple[Fleet, list[Endpoint]]:
    """Some servers are replaced under steady traffic; the fleet afterwards, and the new ones."""
    fleet = Fleet(plan)
    fleet.run(before)
    new = fleet.replace([server for server in fleet.servers if leaves(server)])
    fleet.run(after)
    return fleet, new


# The case as found


@pytest.mark.parametrize("returns", [False, True])
def test_work_sent_where_nearly_none_is_meant_does_not_swell_the_budgets(returns: bool) -> None:
    """All of the largest zone starts anew, and its gateways go where next to none of their work is meant.

    What the warm servers there did was divided by the part that was meant for them, one in a hundred.
    """
    servers = line_up([("a", "x", 1.0)] * 24 + [(zone, "x", 1.0) for zone in "bcd" for _ in range(4)])
    settings = cold_settings(
        overload_factor=1.5, connect_timeout=0.25, initial_capacity=0.2, slow_start_window_us=60
    )
    settings = replace(settings, cross_zone_cost=PRICE)
    shares = heavy_zone(100, 4, 24 / 9)  # by the capacity of the zones
    plan = Plan(100, servers, settings, 50.0, shares=shares, list_delay=US_PER_S // 2, returns=returns)
    fleet, new = play(plan, lambda server: server.zone == "a", after=4)
    stands(fleet)
    assert fleet.used(new) > 0.2


# The sum over all gateway_count


@pytest.mark.parametrize("returns", [False, True])
@pytest.mark.parametrize("gateway_count", BALANCERS)
def test_all_balancers_together_leave_cold_servers_standing(gateway_count: int, returns: bool) -> None:
    """Traffic is uneven, lists and connections come late; the cold servers are used all the same."""
    settings = cold_settings(connect_timeout=1.5)
    plan = Plan(
        gateway_count, ALIKE, settings, shares=heavy(gateway_count), list_delay=3 * US_PER_S, spread=0.5,
        returns=returns,
    )  # fmt: skip
    fleet, new = play(plan, lambda server: server.id % 5 == 0, after=8)
    stands(fleet)
    assert fleet.used(new) > 0.05


@pytest.mark.parametrize("gateway_count", BALANCERS)
def test_cold_servers_get_a_good_part_of_what_they_can_do(gateway_count: int) -> None:
    """The warm ones are asked for three fifths; a request each fall time would be one in twenty."""
    fleet, new = play(Plan(gateway_count, ALIKE, cold_settings(), 60.0), lambda server: server.id % 5 == 0)
    stands(fleet)
    assert fleet.used(new) > 0.2


@pytest.mark.parametrize("gateway_count", BALANCERS)
def test_restarts_of_balancers_leave_cold_servers_standing(gateway_count: int) -> None:
    """Each second one in four starts anew, some of them with a list from before the change."""
    fleet, new = play(
        Plan(gateway_count, ALIKE, cold_settings(), list_delay=US_PER_S, returns=False),
        lambda server: server.id % 5 == 0,
        after=1,
    )
    for second in range(5):
        for rank in range(second % 4, gateway_count, 4):
            fleet.restart_balancer(rank, versions_back=rank // 4 % 2)
        fleet.run(1)
    stands(fleet)
    assert fleet.used(new) > 0


@pytest.mark.parametrize("returns", [False, True])
@pytest.mark.parametrize("gateway_count", [20, 60, 230])
def test_the_clients_of_balancers_that_were_killed_leave_cold_servers_standing(
    gateway_count: int, returns: bool
) -> None:
    """Seven in ten are gone, and the others see all of the traffic; the settings count them all."""
    shares = tuple(1.0 if rank % 10 < 3 else 1e-6 for rank in range(gateway_count))
    plan = Plan(gateway_count, ALIKE, cold_settings(), shares=shares, list_delay=US_PER_S, returns=returns)
    fleet, new = play(plan, lambda server: server.id % 2 == 0)
    stands(fleet)
    assert fleet.used(new) > 0.1


@pytest.mark.parametrize("gateway_count", BALANCERS)
def test_servers_that_start_again_under_their_ids_stand(gateway_count: int) -> None:
    """Some twice, while gateway_count still hear of the first time."""
    fleet = Fleet(Plan(gateway_count, ALIKE, cold_settings(), list_delay=4 * US_PER_S, returns=False))
    fleet.run(5)
    fleet.restart(ALIKE[:6])
    fleet.run(3)
    fleet.restart(ALIKE[4:8])
    fleet.run(5)
    stands(fleet)


@pytest.mark.parametrize("told", [False, True])
@pytest.mark.parametrize("gateway_count", BALANCERS)
def test_sizes_that_differ_within_a_flavor_leave_the_small_ones_standing(
    gateway_count: int, told: bool
) -> None:
    """Also where gateway_count can't tell the sizes."""
    sizes = [0.5, 1.0, 1.0, 1.5] if not told else [0.5, 1.0, 2.0, 4.0]
    servers = line_up([("a", "x", size) for size in sizes * 5])
    settings = cold_settings(weights_are_capacities=told)
    plan = Plan(gateway_count, servers, settings, returns=False, list_delay=US_PER_S)
    fleet, new = play(plan, lambda server: server.id <= 4)
    stands(fleet)
    assert fleet.used(new) > 0.05


@pytest.mark.parametrize("at_once", [False, True])
@pytest.mark.parametrize("gateway_count", BALANCERS)
def test_a_flavor_without_a_warm_server_stands(gateway_count: int, at_once: bool) -> None:
    """As its servers leave one by one, the last are all that a few gateway_count see of it."""
    servers = line_up([("a", flavor, 1.0) for flavor in "xxxy" * 5])
    plan = Plan(gateway_count, servers, cold_settings(), list_delay=2 * US_PER_S, returns=False)
    fleet = Fleet(plan)
    fleet.run(5)
    leaving = [server for server in servers if server.machine_type == "y"]
    if at_once:
        fleet.replace(leaving)
    else:
        for server in leaving:
            fleet.replace([server])
            fleet.run(0.7)
    fleet.run(5)
    stands(fleet)
    assert fleet.used([server for server in fleet.servers if server.machine_type == "y"]) > 0.05


@pytest.mark.parametrize("gap", [0, 4])
@pytest.mark.parametrize("gateway_count", BALANCERS)
def test_a_zone_that_is_back_cold_stands(gateway_count: int, gap: int) -> None:
    """Replaced at once, or gone for some seconds in which its work goes elsewhere."""
    servers = line_up([(zone, "x", 1.0) for zone in "abcd"] * 5)
    settings = cold_settings(cross_zone_cost=PRICE)
    plan = Plan(gateway_count, servers, settings, list_delay=US_PER_S, returns=False)
    fleet = Fleet(plan)
    fleet.run(5)
    if gap:
        fleet.announce(tuple(server for server in servers if server.zone != "a"))
        fleet.run(gap)
    new = [replace(s, id=100 + s.id, started_at_us=fleet.now) for s in servers if s.zone == "a"]
    fleet.announce((*(server for server in servers if server.zone != "a"), *new))
    fleet.run(6)
    stands(fleet)
    assert fleet.used(new) > 0.05


@pytest.mark.parametrize("gateway_count", BALANCERS)
def test_few_heavy_requests_leave_cold_servers_standing(gateway_count: int) -> None:
    """N is 2.7 at the start."""
    plan = Plan(gateway_count, ALIKE, cold_settings(slow_start_window_us=80), 3.0, spread=0.5, returns=False)
    plan = replace(plan, latency_objective_us=3 * US_PER_S, patience=6 * US_PER_S)
    fleet, new = play(plan, lambda server: server.id % 5 == 0, before=10, after=40)
    stands(fleet)
    assert fleet.used(new) > 0.03


@pytest.mark.parametrize("returns", [False, True])
@pytest.mark.parametrize("gateway_count", BALANCERS)
def test_many_light_requests_leave_cold_servers_standing(gateway_count: int, returns: bool) -> None:
    """N is 180 at the start: little is put down to chance."""
    settings = cold_settings(overload_window_us=3, connect_timeout=0.1)
    servers = line_up([("a", "x", 1.0)] * 6)
    plan = Plan(gateway_count, servers, settings, 135.0, shares=heavy(gateway_count), returns=returns)
    fleet, new = play(plan, lambda server: server.id <= 2, before=4, after=4)
    stands(fleet)
    assert fleet.used(new) > 0.2


@pytest.mark.parametrize("returns", [False, True])
@pytest.mark.parametrize(
    ("times", "overload_factor", "initial_capacity"),
    [(1.5, 1.5, 0.15), (2.0, 1.5, 0.15), (2.0, 2.0, 0.1), (3.0, 1.5, 0.15)],
)
def test_a_zone_with_more_than_its_part_of_the_traffic_stands(
    times: float, overload_factor: float, initial_capacity: float, returns: bool
) -> None:
    """It is replaced, and its gateway_count take most of what the others can do."""
    settings = cold_settings(overload_factor, 3.0, 0.1, initial_capacity, 60.0, PRICE)
    shares = heavy_zone(60, 4, times)
    plan = Plan(60, ZONES, settings, 60.0, load=0.8, shares=shares, returns=returns)
    fleet, _ = play(plan, lambda server: server.zone == "a", before=4, after=4)
    stands(fleet)


@st.composite
def plans(draw: st.DrawFn) -> tuple[Plan, float]:
    """A plan, and the share of its servers that is replaced."""
    zones, flavors = draw(st.integers(1, 4)), draw(st.integers(1, 3))
    hosts = draw(st.integers(max(4, zones), 24))
    known = draw(st.booleans())
    sizes = draw(st.sampled_from([[1.0], [0.5, 1.0, 2.0]])) if known else [1.0]
    settings = cold_settings(
        overload_factor=draw(st.floats(1.5, 4)),
        overload_window_us=draw(st.floats(1, 3)),
        connect_timeout=draw(st.floats(0.1, 1.5)),
        initial_capacity=draw(st.floats(0.1, 0.5)),
        cross_zone_cost=draw(st.sampled_from([0.0, PRICE])),
        weights_are_capacities=known,
    )
    kinds = [
        ("abcd"[n % zones], "xyz"[n // zones % flavors], sizes[n // 2 % len(sizes)]) for n in range(hosts)
    ]
    gateway_count = draw(st.integers(1, 120))
    plan = Plan(
        gateway_count,
        line_up(kinds),
        settings,
        capacity=draw(st.sampled_from([3.0, 20.0, 50.0])),
        load=draw(st.floats(0.3, 0.8)),
        shares=heavy(gateway_count, 5.0, zones) if draw(st.booleans()) else (),
        list_delay=draw(st.integers(0, 3)) * US_PER_S,
        returns=draw(st.booleans()),
        spread=draw(st.sampled_from([0.0, 0.5])),
        seed=draw(st.integers(1, 1000)),
    )
    return plan, draw(st.floats(0.1, 1))


@hypothesis_settings(derandomize=True, deadline=None, max_examples=80, database=None)
@given(drawn=plans())
def test_cold_servers_stand_whatever_the_fleet(drawn: tuple[Plan, float]) -> None:
    plan, share = drawn
    leaving = max(1, round(share * len(plan.servers)))
    fleet, _ = play(plan, lambda server: server.id <= leaving, before=4, after=4)
    stands(fleet)


# The measure itself


def test_the_measure_shows_budgets_that_are_too_large() -> None:
    settings = cold_settings(1.5, 3.0, 0.1, 0.1)
    fleet = Fleet(Plan(20, ZONES, settings, 60.0, load=0.8, returns=False))
    for member in fleet.members:
        member.balancer._slow_start._refill_ratio *= 6
    fleet.run(4)
    fleet.replace(fleet.servers[:3])
    fleet.run(4)
    assert fleet.worst().excess > 0


def test_what_balancers_sent_that_had_not_been_told_makes_no_fall() -> None:
    settings = cold_settings(overload_factor=2, overload_window_us=1, initial_capacity=0.5)
    fleet = Fleet(Plan(1, ALIKE[:1], settings, 10.0))
    cold = Incarnation(Endpoint(9, started_at_us=START), 10 / US_PER_S, 0.5, 40 * US_PER_S, True, 50.0, 1)
    fleet.incarnations.append(cold)
    told = [Arrival(START + n * US_PER_MS, 1.0, n % 3, True) for n in range(30)]
    cold.arrivals = told
    assert fleet.worst().budget == pytest.approx(10)
    assert fleet.worst().excess == pytest.approx(30 - (10 + 2 * 10**0.5 + 2))
    cold.arrivals = [replace(arrival, told=arrival.rank > 0) for arrival in told]
    assert fleet.worst().excess < 30 - (10 + 2 * 10**0.5 + 2)  # all of it is two thirds only
    cold.arrivals = [replace(arrival, told=False) for arrival in told]
    assert fleet.worst().got == 0


# What is paid for


def test_first_attempts_fallbacks_hedges_and_trials_at_cold_servers_are_paid_for() -> None:
    """Whatever becomes of them; what is sent to warm servers costs nothing."""
    settings = replace(
        cold_settings(slow_start_window_us=1000),
        hedging_allowed=True,
        cancellation_allowed=True,
        max_attempts=9,
    )
    driver = PolicyDriver(settings, 0)
    cold = [Endpoint(number, machine_type="x", started_at_us=driver.now_us) for number in range(1, 5)]
    driver.notify_endpoints((*cold, Endpoint(5, machine_type="x")))
    outcomes = [Outcome.OK, Outcome.REJECTED, Outcome.ERROR, Outcome.CONNECT_FAILED, Outcome.TIMEOUT]
    reserved: dict[bool, set[bool]] = {True: set(), False: set()}
    tries = 0
    for number in range(6000):
        request = driver.send_request(cost_us=10 * US_PER_MS)
        for turn, outcome in zip(range(3), outcomes[number % 5 :] + outcomes, strict=False):
            if turn == 0 and driver.in_flight(request):  # late: its hedge may start beside it
                driver.now_us += 200 * US_PER_MS
                driver.fire_timer(driver.now_us, f"{request}:0")
            pending = driver.balancer._pending.get(request)
            for attempt in pending.attempts if pending else []:
                reserved[attempt.endpoint.id < 5].add(attempt.reserved_cost_us == 10 * US_PER_MS)
                tries += attempt.endpoint.id < 5
            if driver.in_flight(request):
                driver.end_attempt(driver.in_flight(request)[0], outcome)
        driver.now_us += 10 * US_PER_MS
    assert tries > 50
    assert reserved == {True: {True}, False: {False}}


def test_what_a_cold_server_answered_is_given_back_and_fades() -> None:
    settings = cold_settings(overload_factor=3, overload_window_us=2, slow_start_window_us=1000)
    slow = SlowStart(settings, Random(1))
    (host,) = hosts_of([Endpoint(1, machine_type="x", started_at_us=1)])
    slow.update({host: 0.15}, Subset([host], [], 1), 0)
    reserved = slow.reserve(host, 10 * US_PER_MS, 0)
    assert reserved == 10 * US_PER_MS
    assert host.warm_up_bucket.credit == 0
    slow.record_response(host, reserved, 10 * US_PER_MS, US_PER_S)
    assert host.warm_up_bucket.credit == pytest.approx(10 * US_PER_MS)
    host.warm_up_bucket.decay(
        CREDIT_DECAY_WINDOWS * settings.overload_window_us,
        US_PER_S + round(CREDIT_DECAY_WINDOWS * settings.overload_window_us),
    )
    assert host.warm_up_bucket.credit == pytest.approx(10 * US_PER_MS / e)


@pytest.mark.parametrize("overload_factor", [1.05, 1.5, 2, 3, 4, 20])
@pytest.mark.parametrize("overload_window_us", [0.5, 2, 5])
@pytest.mark.parametrize("connect_time", [0.0, 0.25, 1.5, 10])
def test_all_that_may_arrive_together_adds_up_to_the_budget(
    overload_factor: float, overload_window_us: float, connect_time: float
) -> None:
    """Refilled within the fall time and the connect time, saved up, and given back for what was answered."""
    slow = SlowStart(cold_settings(overload_factor, overload_window_us, connect_time), Random(1))
    refilled = (
        slow._refill_ratio
        * (overload_window_us + connect_time + MAX_SAVED_WINDOWS * overload_window_us)
        / overload_window_us
    )
    returned = slow._credit_ratio / overload_factor * (1 + CREDIT_DECAY_WINDOWS)
    assert refilled + returned == pytest.approx(1)
    assert 0 < slow._credit_ratio <= 1
    assert refilled > 0.37


@pytest.mark.parametrize("size", [0.0, -1.0, 1e300, -1e300, 1e-300])
def test_sizes_that_make_no_sense_count_as_one(size: float) -> None:
    slow = SlowStart(cold_settings(weights_are_capacities=True), Random(1))
    hosts = hosts_of([Endpoint(1, machine_type="x", weight=size), Endpoint(2, machine_type="x", weight=1.0)])
    slow.update(dict.fromkeys(hosts, 1.0), Subset(hosts, [], 1), 0)
    assert [slow.relative_demand(host) for host in hosts] == [1.0, 1.0]


# How a balancer works out its part


def serve(load: MachineTypeThroughput, begin: float, end: float, work: float) -> int:
    """Each 10 ms so much work is done, from one second to another; the last moment."""
    for now in range(round(begin * US_PER_S), round(end * US_PER_S), 10 * US_PER_MS):
        load.record_response(work, now)
    return round(end * US_PER_S)


def test_a_flavor_keeps_its_rate_once_no_warm_server_is_left() -> None:
    load = MachineTypeThroughput(0)
    load.set_warm_capacity(4.0, 0)
    now = serve(load, 0, 30, 8.0)
    known = load.rate(now)
    assert known == pytest.approx(8 / 4 / (10 * US_PER_MS), rel=0.05)
    load.set_warm_capacity(0.0, now)
    for later in (0, US_PER_S, 3600 * US_PER_S):
        assert load.rate(now + later) == pytest.approx(known, rel=0.05)
        load.set_warm_capacity(0.0, now + later)


def test_a_flavor_met_lately_keeps_its_rate_as_well() -> None:
    load = MachineTypeThroughput(0)
    load.set_warm_capacity(4.0, 0)
    now = serve(load, 0, 3, 8.0)
    load.set_warm_capacity(0.0, now)
    assert load.rate(now + US_PER_S) == pytest.approx(8 / 4 / (10 * US_PER_MS), rel=0.05)


def test_the_last_server_of_a_flavor_does_not_stand_for_all() -> None:
    """It served one balancer alone for a second, five times what a server had taken."""
    load = MachineTypeThroughput(0)
    load.set_warm_capacity(10.0, 0)
    now = serve(load, 0, 60, 10.0)
    usual = load.rate(now)
    load.set_warm_capacity(1.0, now)
    now = serve(load, 60, 61, 5.0)
    load.set_warm_capacity(0.0, now)
    assert usual <= load.rate(now) < usual * (1 + 5 * US_PER_S / LONG_RATE_WINDOW_US)


def test_work_is_divided_by_the_warm_servers_there_were_when_it_was_done() -> None:
    load = MachineTypeThroughput(0)
    load.set_warm_capacity(10.0, 0)
    now = serve(load, 0, 20, 10.0)
    before = load.rate(now)
    load.set_warm_capacity(1.0, now)
    assert load.rate(now) == before
    now = serve(load, 20, 30, 1.0)
    assert load.rate(now) == pytest.approx(before, rel=0.05)


def hosts_of(servers: Iterable[Endpoint]) -> list[TrackedEndpoint]:
    random = Random(1)
    return [TrackedEndpoint.create(server, random, WarmUpBucket(0)) for server in servers]


def admitted(slow: SlowStart, host: TrackedEndpoint, begin: int, seconds: int, cost: int) -> int:
    """How many requests a server is sent that is asked for each 10 ms."""
    count = 0
    for now in range(begin, begin + seconds * US_PER_S, 10 * US_PER_MS):
        if slow.admits(host, cost, now):
            slow.reserve(host, cost, now)
            count += 1
    return count


def test_a_server_outside_the_subset_gets_a_trickle_only() -> None:
    """From all gateway_count together one request each fall time, of two seconds here."""
    gateway_count, cost, seconds = 10, 10 * US_PER_MS, 400
    settings = replace(cold_settings(slow_start_window_us=10_000), gateway_count=gateway_count)
    slow = SlowStart(settings, Random(1))
    warm, own, other = hosts_of(
        [*ALIKE[:1], *(Endpoint(n, machine_type="x", started_at_us=1) for n in (2, 3))]
    )
    slow.update({warm: 1.0, own: 0.15, other: 0.15}, Subset([warm, own], [other], 1), 0)
    for now in range(0, 20 * US_PER_S, 10 * US_PER_MS):
        slow.record_response(warm, 0, cost, now)
    expected = seconds * US_PER_S / settings.overload_window_us / gateway_count
    got = admitted(slow, other, 20 * US_PER_S, seconds, cost)
    assert 0.4 * expected < got < 1.7 * expected
    for now in range(0, 20 * US_PER_S, 10 * US_PER_MS):
        slow.record_response(warm, 0, cost, now + 400 * US_PER_S)
    assert admitted(slow, own, 420 * US_PER_S, 2, cost) > 10


@pytest.mark.parametrize("warm", [set(), {"a"}, {"b"}, {"c", "d"}, {"a", "b", "c", "d"}])
@pytest.mark.parametrize("price", [0.0, PRICE])
@pytest.mark.parametrize("sizes", [False, True])
@pytest.mark.parametrize("gateway_count", [1, 30, 200])
def test_the_parts_of_a_flavor_have_a_mean_of_one_wherever_its_warm_servers_are(
    gateway_count: int, sizes: bool, price: float, warm: set[str]
) -> None:
    kinds = [("a", "x", 0.5), ("a", "y", 4.0), ("b", "x", 1.0), ("c", "x", 2.0), ("d", "y", 1.0)] * 4
    settings = cold_settings(cross_zone_cost=price, weights_are_capacities=sizes)
    settings = replace(settings, gateway_count=gateway_count, zone="a")
    slow = SlowStart(settings, Random(1))
    hosts = hosts_of(line_up(kinds))
    warmth = {host: 1.0 if host.endpoint.zone in warm else 0.15 for host in hosts}
    chosen = choose_subset(hosts, settings)
    slow.update(warmth, chosen, 0)
    for flavor in "xy":
        members = [host for host in hosts if host.endpoint.machine_type == flavor]
        total = sum(host.endpoint.weight if sizes else 1.0 for host in members)
        assert sum(map(slow.relative_demand, members)) / total == pytest.approx(chosen.slice_count)


@pytest.mark.parametrize("price", [0.0, PRICE])
def test_the_parts_of_a_server_at_all_balancers_have_a_mean_of_one(price: float) -> None:
    """Where the zones are alike; also while one of them is cold."""
    hosts = hosts_of(ZONES)
    totals = dict.fromkeys(hosts, 0.0)
    for zone in "abcd":
        settings = replace(cold_settings(cross_zone_cost=price), gateway_count=40, zone=zone)
        slow = SlowStart(settings, Random(1))
        capacity_fractions = {h: 0.15 if h.endpoint.zone == "a" else 1.0 for h in hosts}
        slow.update(capacity_fractions, Subset(hosts, [], 1), 0)
        totals = {host: total + slow.relative_demand(host) / 4 for host, total in totals.items()}
    assert list(totals.values()) == pytest.approx([1.0] * len(hosts))
