"""What servers that have just started get, where most of the fleet has."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from math import sqrt
from random import Random

import pytest

from http_gateway.policy.endpoint import Endpoint
from http_gateway.policy.events import Outcome
from http_gateway.policy.settings import Settings
from http_gateway.policy.subsetting import GATEWAYS_PER_ENDPOINT
from http_gateway.policy.time_units import US_PER_MS, US_PER_S
from tests.support.policy_driver import CLASSES, PolicyDriver, endpoints

FLOOR = 0.3


def sends_by_server(gateway_count: int, warm: int, cold: int) -> tuple[float, float]:
    """How often each warm and each cold server was sent to, by one balancer under steady traffic.

    A cold server can do `FLOOR` of what a warm one does for this balancer, and never answers what is beyond.
    """
    options = Settings(
        CLASSES, gateway_count=gateway_count, initial_capacity=FLOOR, slow_start_window_us=1000 * US_PER_S
    )
    driver = PolicyDriver(options, warm, seed=5)
    served: Counter[int] = Counter()

    def answers(server: int) -> bool:
        own = [host.id for host in driver.balancer._endpoints.subset.members]
        of_warm = [served[other] for other in own if other <= warm]
        return server <= warm or served[server] <= FLOOR * sum(of_warm) / len(of_warm)

    def pass_seconds(seconds: int) -> None:
        for _ in range(50 * seconds):
            driver.now_us += 20 * US_PER_MS
            driver.send_request(cost_us=10 * US_PER_MS)
            sent = driver.in_flight()[-1]
            if answers(sent.endpoint_id):
                served[sent.endpoint_id] += 1
                driver.end_attempt(sent)
            else:
                driver.abandon(sent.request_id)
                driver.end_attempt(sent, Outcome.CANCELLED)

    pass_seconds(4)
    new = tuple(Endpoint(100 + number, started_at_us=driver.now_us) for number in range(cold))
    driver.notify_endpoints((*endpoints(warm), *new))
    pass_seconds(4)  # until it is known what the warm ones take now
    before = len(driver.attempts)
    pass_seconds(40)
    got = Counter(sent.endpoint_id for sent in driver.attempts[before:])
    own = {host.id for host in driver.balancer._endpoints.subset.members}
    of_cold = [got[server.id] for server in new if server.id in own]
    of_warm = [got[server] for server in range(1, warm + 1) if server in own]
    return sum(of_warm) / len(of_warm), sum(of_cold) / len(of_cold)


@pytest.mark.parametrize("gateway_count", [1, 2 * GATEWAYS_PER_ENDPOINT, 6 * GATEWAYS_PER_ENDPOINT])
def test_a_cold_server_gets_its_share_however_many_are_cold(gateway_count: int) -> None:
    """Their own idleness, and the number of subsets, each held the share of cold servers down."""
    warm, cold = sends_by_server(gateway_count, warm=30, cold=60)
    can_do = FLOOR * warm
    # Below what would push it over: what a server has saved up waits until it is drawn.
    assert 0.64 * can_do < cold <= 1.76 * can_do


COST = 50 * US_PER_MS
BACKLOG = US_PER_S // 2


class Fleet:
    """Many gateways before the same servers.

    A server serves `capacity` requests a second once it is warm, and a part of that before. It answers at
    once, as long as it has no more than `BACKLOG` of work before it, and turns away what is beyond that.
    """

    def __init__(self, gateway_count: int, count: int, rates: list[float], capacity: float) -> None:
        self.capacity = capacity
        options = Settings(
            CLASSES, gateway_count=gateway_count, initial_capacity=0.15, slow_start_window_us=60 * US_PER_S
        )
        options = replace(options, overload_factor=3, overload_window_us=2 * US_PER_S)
        self.options = [replace(options, gateway_index=rank) for rank in range(gateway_count)]
        self.members = [Endpoint(number) for number in range(1, count + 1)]
        self.rates = rates
        self.random = Random(5)
        self.now = 1000 * US_PER_S
        self.sent: dict[int, list[int]] = {}  # moments at which each server was sent to
        self.busy_until: dict[int, float] = {}
        self.drivers = [self._start(rank) for rank in range(gateway_count)]

    def _start(self, rank: int) -> PolicyDriver:
        driver = PolicyDriver(self.options[rank], 0, seed=rank, now_us=self.now)
        driver.notify_endpoints(self.members)
        return driver

    def restart(self, rank: int) -> None:
        self.drivers[rank] = self._start(rank)

    def replace(self, count: int) -> list[Endpoint]:
        """As many servers leave; new ones come for them."""
        last = max(server.id for server in self.members)
        new = [Endpoint(last + number, started_at_us=self.now) for number in range(1, count + 1)]
        self.members = self.members[count:] + new
        for driver in self.drivers:
            driver.now_us = self.now
            driver.notify_endpoints(self.members)
        return new

    def run(self, seconds: float, step: int = 20 * US_PER_MS) -> None:
        end = self.now + round(seconds * US_PER_S)
        while self.now < end:
            self.now += step
            for driver, rate in zip(self.drivers, self.rates, strict=True):
                driver.now_us = self.now
                for _ in range(int(rate * step / US_PER_S + self.random.random())):
                    driver.send_request(cost_us=COST)
                    for sent in driver.in_flight():
                        self.sent.setdefault(sent.endpoint_id, []).append(self.now)
                        driver.end_attempt(sent, self.serve(sent.endpoint_id))
                    driver.attempts.clear()
                driver.timers.clear()

    def warmth(self, started: int, now: int) -> float:
        options = self.options[0]
        part = min(1.0, (now - started) / options.slow_start_window_us) if started else 1.0
        return options.initial_capacity + (1 - options.initial_capacity) * part

    def serve(self, server: int) -> Outcome:
        started = next(member.started_at_us for member in self.members if member.id == server)
        busy_until = max(self.now, self.busy_until.get(server, 0.0))
        if busy_until > self.now + BACKLOG:
            return Outcome.REJECTED
        self.busy_until[server] = busy_until + US_PER_S / (self.capacity * self.warmth(started, self.now))
        return Outcome.OK

    def excess(self, server: Endpoint) -> float:
        """The most that it got in any window beyond what is put down to chance; up to 0 it stands."""
        options, sent = self.options[0], self.sent.get(server.id, [])
        worst = -1.0
        for place, begin in enumerate(sent):
            got = sum(at < begin + options.overload_window_us for at in sent[place:])
            warm_rate = options.overload_factor * self.capacity * options.overload_window_us / US_PER_S
            budget = warm_rate * self.warmth(server.started_at_us, begin)
            worst = max(worst, got - (budget + 2 * sqrt(budget) + 2))
        return worst


def uneven(gateway_count: int, total: float) -> list[float]:
    """One in eight sees five times what each other one does."""
    parts = [5.0 if rank % 8 == 0 else 1.0 for rank in range(gateway_count)]
    return [total * part / sum(parts) for part in parts]


@pytest.mark.parametrize("even", [True, False])
@pytest.mark.parametrize("gateway_count", [1, 20, 30, 39, 100])
def test_all_balancers_together_leave_a_cold_server_standing(gateway_count: int, even: bool) -> None:
    """The servers take three requests a second each once warm, and are at four fifths of that."""
    capacity, count = 3.0, 20
    total = 0.8 * capacity * count
    rates = [total / gateway_count] * gateway_count if even else uneven(gateway_count, total)
    fleet = Fleet(gateway_count, count, rates, capacity)
    fleet.run(10)
    new = fleet.replace(4)
    fleet.run(45)
    assert max(fleet.excess(server) for server in new) <= 0
    got = [len(fleet.sent.get(server.id, [])) for server in new]
    assert sum(got) > 0.05 * capacity * 45 * len(new)  # they are used all the same


@pytest.mark.parametrize("gateway_count", [20, 30, 39])
def test_what_balancers_have_saved_up_for_a_cold_server_does_not_come_at_once(gateway_count: int) -> None:
    """Each had one request to its credit, and sent it as the others left."""
    capacity, count = 3.0, 20
    fleet = Fleet(gateway_count, count, [0.8 * capacity * count / gateway_count] * gateway_count, capacity)
    fleet.run(10)
    new = fleet.replace(4)
    fleet.run(25)
    fleet.members = new
    fleet.replace(0)
    fleet.run(5)
    assert max(fleet.excess(server) for server in new) <= 0


@pytest.mark.parametrize("gateway_count", [6, 30])
def test_servers_that_leave_do_not_make_the_others_look_stronger(gateway_count: int) -> None:
    """What the warm ones did was shared out over those that were left of them, one in ten."""
    capacity, count = 30.0, 20
    fleet = Fleet(gateway_count, count, [0.8 * capacity * count / gateway_count] * gateway_count, capacity)
    fleet.run(6)
    new = fleet.replace(18)
    fleet.run(2.5)
    assert max(fleet.excess(server) for server in new) <= 0


def test_restarts_leave_a_cold_server_standing() -> None:
    capacity, count, gateway_count = 3.0, 20, 30
    fleet = Fleet(gateway_count, count, [0.8 * capacity * count / gateway_count] * gateway_count, capacity)
    fleet.run(10)
    new = fleet.replace(4)
    for second in range(45):
        for rank in range(gateway_count):
            if rank % 4 == second % 4:
                fleet.restart(rank)
        fleet.run(1)
    assert max(fleet.excess(server) for server in new) <= 0
