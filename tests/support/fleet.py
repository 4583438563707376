"""Many gateways before the same endpoints, in virtual time: traffic, late lists, and what arrives.

Each gateway is played by a `PolicyDriver`, so the rules are checked at every action. An endpoint is a queue
that works at its capacity times its present warmth. It never falls over here: it records what arrives, and
`worst` returns how far that went beyond what it withstands.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from functools import partial
from heapq import heappop, heappush
from itertools import accumulate, count
from math import sqrt
from random import Random

from http_gateway.policy.actions import StartAttempt
from http_gateway.policy.endpoint import Endpoint, EndpointId
from http_gateway.policy.events import ListUpdateKind, Outcome
from http_gateway.policy.settings import Idempotency, RequestClass, Settings
from http_gateway.policy.time_units import US_PER_MS, US_PER_S
from tests.support.policy_driver import DrivenAttempt, PolicyDriver

START = 1000 * US_PER_S
TURNED_AWAY = US_PER_MS  # after which a server that is full, or gone, has said so


@dataclass(frozen=True)
class Plan:
    """The fleet, and the traffic before it.

    The weight of a server is its size; whether balancers can tell, their settings say.
    """

    gateway_count: int
    servers: tuple[Endpoint, ...]
    settings: Settings  # of every balancer, but for its rank, zone and classes
    capacity: float = 20.0  # requests of mean work a second of a warm server of size 1
    load: float = 0.6  # requests asked for, as a part of the capacity of all servers
    shares: tuple[float, ...] = ()  # of each balancer in the traffic, in any unit; none: all alike
    list_delay: int = 0  # a balancer is told of a change within this time
    latency_objective_us: int = US_PER_S  # of the one class of request
    patience: int = 2 * US_PER_S  # a client waits for so long
    # Else cold servers answer as soon as warm ones, though they stand no more for that, and none of it is
    # given back to their budgets: what arrives is what the estimate alone allows.
    returns: bool = True
    queue: float = 50.0  # requests of mean work that wait at a server at most
    spread: float = 0.0  # a request's work is its mean, more or less this part of it
    seed: int = 1

    @property
    def zones(self) -> list[str]:
        return sorted({server.zone for server in self.servers})

    def zone(self, rank: int) -> str:
        """Balancers in turn stand in the zones."""
        return self.zones[rank % len(self.zones)]

    def rates(self) -> list[float]:
        """Requests per second at each balancer."""
        shares = self.shares or (1.0,) * self.gateway_count
        total = self.load * self.capacity * sum(server.weight for server in self.servers)
        return [total * share / sum(shares) for share in shares]


@dataclass(frozen=True, slots=True)
class Arrival:
    """The last byte of a request has reached a server."""

    at: int
    work: float  # in requests of mean work
    rank: int  # of the balancer
    told: bool  # whether that balancer knew of the server's start as it sent


@dataclass
class Incarnation:
    """A server from one of its starts to the next."""

    server: Endpoint
    speed: float  # once warm, in requests of mean work per microsecond
    floor: float  # its warmth at its start
    ramp: int
    slow_when_cold: bool
    queue: float  # it holds so many requests of mean work
    version: int  # of the list that first held it
    free: int = 0  # when its queue will be empty
    up: bool = True
    arrivals: list[Arrival] = field(default_factory=list)

    def warmth(self, now: int) -> float:
        if not self.server.started_at_us or now >= self.server.started_at_us + self.ramp:
            return 1.0
        return self.floor + (1 - self.floor) * (now - self.server.started_at_us) / self.ramp

    def take(self, work: float, now: int) -> int | None:
        """When a request that has arrived will be answered; None if the queue is full."""
        speed = self.speed * (self.warmth(now) if self.slow_when_cold else 1.0)
        if (self.free - now) * speed > self.queue:
            return None
        self.free = max(now, self.free) + max(1, round(work / speed))
        return self.free

    def received(self) -> float:
        """In requests of mean work."""
        return sum(arrival.work for arrival in self.arrivals)

    def could_do(self, now: int) -> float:
        """Since its start, in requests of mean work: its warmth rises evenly."""
        begin = self.server.started_at_us
        return self.speed * (now - begin) * (self.warmth(begin) + self.warmth(now)) / 2


@dataclass(frozen=True)
class Window:
    """What arrived at a cold server within the fall time, and what it stands."""

    server: EndpointId
    after: float  # seconds from the server's start to the begin of the window
    got: float  # in requests of mean work
    budget: float
    senders: tuple[tuple[int, float], ...] = ()  # the ranks that sent most, and how much

    @property
    def limit(self) -> float:
        """The budget, and what is put down to chance."""
        return self.budget + 2 * sqrt(self.budget) + 2

    @property
    def excess(self) -> float:
        """Above 0 the server falls over."""
        return self.got - self.limit


@dataclass
class Member(PolicyDriver):
    """The host program of one balancer of a fleet."""

    version: int = 0  # of the list it has been told last
    fresh: list[DrivenAttempt] = field(default_factory=list)  # sent, and not yet on its way
    work: dict[int, float] = field(default_factory=dict)  # of each request that is open
    connected: set[tuple[EndpointId, int]] = field(default_factory=set)  # ids and starts

    def _check_send(self, action: StartAttempt) -> None:
        super()._check_send(action)
        self.fresh.append(self.attempts[-1])

    def forget(self) -> None:
        """Drop the attempts of requests that are over: the driver looks through all it keeps."""
        if len(self.attempts) > 100:
            busy = {sent.request_id for sent in self.attempts if sent.outcome is None}
            self.attempts = [
                sent
                for sent in self.attempts
                if sent.request_id in busy or sent.request_id in self.unanswered
            ]


class Fleet:
    """A plan under way."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.now = START
        self._random = Random(plan.seed)
        self._cost = round(US_PER_S / plan.capacity)  # of mean work
        self._kind = RequestClass("work", plan.latency_objective_us, plan.patience, Idempotency.IDEMPOTENT)
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._number = count()
        self._versions: list[tuple[Endpoint, ...]] = [()]
        self._running: dict[EndpointId, Incarnation] = {}
        self.incarnations: list[Incarnation] = []
        self.answers = Counter[str]()
        self._publish(plan.servers)
        self.members = [self._start(rank, ListUpdateKind.COMPLETE) for rank in range(plan.gateway_count)]
        for rank, rate in enumerate(plan.rates()):
            self._ask_later(rank, rate)

    @property
    def servers(self) -> tuple[Endpoint, ...]:
        """Those that run now."""
        return self._versions[-1]

    @property
    def cold(self) -> list[Incarnation]:
        """The incarnations that started cold."""
        return [incarnation for incarnation in self.incarnations if incarnation.server.started_at_us]

    def run(self, seconds: float) -> None:
        end = self.now + round(seconds * US_PER_S)
        while self._events and self._events[0][0] <= end:
            self.now, _, event = heappop(self._events)
            event()
        self.now = end

    def replace(self, leaving: Iterable[Endpoint]) -> list[Endpoint]:
        """Servers leave, and new ones like them start in their places."""
        gone = {server.id for server in leaving}
        last = max(server.id for server in self.servers)
        old = [server for server in self.servers if server.id in gone]
        new = [replace(server, id=last + n, started_at_us=self.now) for n, server in enumerate(old, 1)]
        self.announce((*(server for server in self.servers if server.id not in gone), *new))
        return new

    def restart(self, servers: Iterable[Endpoint]) -> None:
        """Servers start again under their old ids."""
        again = {server.id for server in servers}
        self.announce(tuple(replace(s, started_at_us=self.now) if s.id in again else s for s in self.servers))

    def announce(self, servers: tuple[Endpoint, ...]) -> None:
        """The fleet changes; each balancer hears of it in its own time."""
        self._publish(servers)
        for rank in range(self.plan.gateway_count):
            self._tell_later(rank)

    def restart_balancer(self, rank: int, versions_back: int = 0) -> None:
        """A new instance starts with a list that its forerunner knew, maybe an old one."""
        version = max(1, self.members[rank].version - versions_back)
        self.members[rank] = self._start(rank, ListUpdateKind.CACHED, version)
        self._tell_later(rank)

    def worst(self, since: int = 0) -> Window:
        """Of all windows at cold servers that count, the one with the greatest excess."""
        windows = [window for incarnation in self.cold for window in self._windows(incarnation, since)]
        return max(windows, key=lambda window: window.excess, default=Window(0, 0.0, 0.0, 0.0))

    def used(self, servers: Iterable[Endpoint]) -> float:
        """What servers that started cold got, as a part of what they could have done."""
        wanted = set(servers)
        chosen = [incarnation for incarnation in self.cold if incarnation.server in wanted]
        return sum(i.received() for i in chosen) / sum(i.could_do(self.now) for i in chosen)

    def _windows(self, incarnation: Incarnation, since: int) -> Iterable[Window]:
        """From each arrival on; a fall counts if over two thirds of it came from balancers that were told."""
        arrivals = incarnation.arrivals
        settings, started = self.plan.settings, incarnation.server.started_at_us
        moments = [arrival.at for arrival in arrivals]
        sums = list(accumulate((a.work for a in arrivals), initial=0.0))
        told = list(accumulate((a.told for a in arrivals), initial=0))
        for first, begin in enumerate(moments):
            if not since <= begin < started + settings.slow_start_window_us:
                continue
            end = bisect_left(moments, begin + settings.overload_window_us)
            if 3 * (told[end] - told[first]) <= 2 * (end - first):
                continue
            able = incarnation.speed * incarnation.warmth(begin) * settings.overload_window_us
            got, budget = sums[end] - sums[first], settings.overload_factor * able
            window = Window(incarnation.server.id, (begin - started) / US_PER_S, got, budget)
            yield self._with_senders(window, arrivals[first:end]) if window.excess > 0 else window

    def _with_senders(self, window: Window, arrivals: list[Arrival]) -> Window:
        sent: Counter[int] = Counter()
        for arrival in arrivals:
            sent[arrival.rank] += 1
        return replace(window, senders=tuple(sent.most_common(5)))

    # Balancers and lists

    def _start(self, rank: int, update: ListUpdateKind, version: int = 1) -> Member:
        plan = self.plan
        settings = replace(
            plan.settings,
            classes=(self._kind,), gateway_count=plan.gateway_count, gateway_index=rank, zone=plan.zone(rank),
        )  # fmt: skip
        seed = self._random.randrange(2**32)
        member = Member(settings, 0, seed, (self._kind,), self.now, version=version)
        if not plan.returns:
            member.balancer._slow_start._credit_ratio = 0.0
        member.notify_endpoints(self._versions[version], update)
        return member

    def _publish(self, servers: tuple[Endpoint, ...]) -> None:
        self._versions.append(servers)
        running = {}
        for server in servers:
            known = self._running.get(server.id)
            running[server.id] = known if known and known.server == server else self._boot(server)
        for old in self._running.values():
            old.up = running.get(old.server.id) is old
        self._running = running

    def _boot(self, server: Endpoint) -> Incarnation:
        plan, version = self.plan, len(self._versions) - 1
        speed = plan.capacity * server.weight / US_PER_S
        floor, ramp = plan.settings.initial_capacity, plan.settings.slow_start_window_us
        started = Incarnation(server, speed, floor, ramp, plan.returns, plan.queue, version)
        self.incarnations.append(started)
        return started

    def _tell_later(self, rank: int) -> None:
        delay = round(self._random.uniform(0, self.plan.list_delay))
        self._later(delay, partial(self._tell, self.members[rank], rank, len(self._versions) - 1))

    def _tell(self, member: Member, rank: int, version: int) -> None:
        if member is self.members[rank] and version > member.version:
            member.now_us, member.version = self.now, version
            member.notify_endpoints(self._versions[version])
            self._carry_out(member, rank)

    # Requests

    def _later(self, delay: int, event: Callable[[], None]) -> None:
        heappush(self._events, (self.now + delay, next(self._number), event))

    def _ask_later(self, rank: int, rate: float) -> None:
        wait = max(1, round(self._random.expovariate(rate) * US_PER_S))
        self._later(wait, partial(self._ask, rank, rate))

    def _ask(self, rank: int, rate: float) -> None:
        member, plan = self.members[rank], self.plan
        member.now_us = self.now
        member.forget()
        work = self._random.uniform(1 - plan.spread, 1 + plan.spread)
        request = len(member.answers) + 1
        member.work[request] = work
        member.send_request(self._kind, plan.patience, max(1, round(self._cost * work)))
        self._later(plan.patience, partial(self._time_out, member, rank, request))
        self._carry_out(member, rank)
        self._ask_later(rank, rate)

    def _time_out(self, member: Member, rank: int, request: int) -> None:
        """The client is gone; whatever is out for it has ended."""
        if member is not self.members[rank]:
            return
        member.now_us = self.now
        for sent in member.in_flight(request):
            member.end_attempt(sent, Outcome.TIMEOUT)
        assert request not in member.unanswered, "no final answer by the deadline"
        self.answers.update(member.answers[request])
        del member.work[request]
        self._carry_out(member, rank)

    def _carry_out(self, member: Member, rank: int) -> None:
        """Send what the balancer has decided on, and set its timers."""
        while member.fresh:
            self._connect(member, rank, member.fresh.pop())
        while member.timers:
            due, token = member.timers.pop()
            self._later(due - self.now, partial(self._fire, member, rank, token))

    def _fire(self, member: Member, rank: int, token: str) -> None:
        if member is self.members[rank] and int(token.split(":")[0]) in member.work:
            member.fire_timer(self.now, token)
            self._carry_out(member, rank)

    def _connect(self, member: Member, rank: int, sent: DrivenAttempt) -> None:
        """Each send needs a new connection until one to this incarnation is up; that takes its time."""
        target = self._running.get(sent.endpoint_id)
        if target is None:
            self._end_later(TURNED_AWAY, member, rank, sent, Outcome.CONNECT_FAILED)
            return
        known = (target.server.id, target.server.started_at_us) in member.connected
        wait = 0 if known else round(self._random.uniform(0, self.plan.settings.connect_timeout_us))
        told = member.version >= target.version
        self._later(wait, partial(self._arrive, member, rank, sent, target, told))

    def _arrive(
        self, member: Member, rank: int, sent: DrivenAttempt, target: Incarnation, told: bool
    ) -> None:
        if member is not self.members[rank] or sent.outcome is not None:
            return
        if not target.up:
            self._end_later(TURNED_AWAY, member, rank, sent, Outcome.CONNECT_FAILED)
            return
        member.connected.add((target.server.id, target.server.started_at_us))
        work = member.work[sent.request_id]
        target.arrivals.append(Arrival(self.now, work, rank, told))
        done = target.take(work, self.now)
        if done is None:
            self._end_later(TURNED_AWAY, member, rank, sent, Outcome.REJECTED)
        else:
            self._later(done - self.now, partial(self._finish, member, rank, sent, target))

    def _finish(self, member: Member, rank: int, sent: DrivenAttempt, target: Incarnation) -> None:
        self._end(member, rank, sent, Outcome.OK if target.up else Outcome.RESET)

    def _end_later(
        self, delay: int, member: Member, rank: int, sent: DrivenAttempt, outcome: Outcome
    ) -> None:
        self._later(delay, partial(self._end, member, rank, sent, outcome))

    def _end(self, member: Member, rank: int, sent: DrivenAttempt, outcome: Outcome) -> None:
        if member is self.members[rank] and sent.outcome is None:
            member.now_us = self.now
            member.end_attempt(sent, outcome)
            self._carry_out(member, rank)
