"""Slow start: what a balancer may send to servers that have started lately; no clock and no I/O.

A cold server falls over when it gets more than N requests of mean work, and some for chance, from all
balancers together within the fall time T; N is the fall multiple M times what it can do in T at its present
warmth. Balancers share nothing, so each has a token bucket for each cold server. A request takes its cost out
of the bucket when it is decided on, whatever becomes of it. Two streams fill the bucket:

1. Refill, at a part R of the balancer's part of N. What a server can do is estimated by what the warm ones of
   its flavor do. Each balancer divides the work that they did for it by their number; over all balancers that
   adds up to what the mean warm server takes, however the work was spread over the warm ones. The part of it
   for one cold server goes by the work that would be meant for that server if all were warm, in relation to
   the others of the flavor: over the servers of a flavor these parts have a mean of 1, wherever the warm ones
   that are left may be. With subsets, only the balancers that keep to a server refill its bucket, and each
   stands for as many as there are slices.
2. Return: what the server answered is given back, or a part A of it. That follows what the server can really
   do, which the estimate can't know: it may be warmer than the least that the settings promise.

What all balancers send arrives within T at most as follows:

- Refilled: a request counts when its last byte arrives, and to a server that has just started every
  connection is new, so what was decided on within T and the connect time C may arrive within T. On top of
  that comes what was saved up, for a time S at most: R * N * (T + C + S) / T.
- Returned: the server answers N / M within T. What was given back before fades over a time F, and goes over
  connections that are up: A * N / M * (T + F) / T.

A is 1, or less where the second line would take more than `RETURNED_PART` of N, and R is such that both add
up to N. A server stands two requests more than N, and 2 x root of N for chance. So where nothing is known
yet, and from outside the subset, all balancers together still send one request each fall time, or each time
over which rates are averaged, if that is longer.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping
from math import exp
from random import Random

from whinrouter.host import Budget, Host
from whinrouter.interface import SECOND, Server, Settings
from whinrouter.subset import zone_weights

RETURNED_PART = 0.625  # of N, at most, for what a server has answered
SAVED_TIME = 0.5  # fall times for which a balancer saves up what it doesn't send
# Fall times of refill that a bucket holds at first. All balancers meet a server at about the same time, and
# what they send then comes together, so it is less than what each may save up.
FIRST_SAVED_TIME = 0.25
FADE_TIME = 0.25  # fall times within which what was given back fades by 1/e
RATE_WINDOW = 2 * SECOND  # over which the work of warm servers is averaged while there are any
# Over which it is averaged once none of a flavor is left: as they leave one by one, the last ones serve a few
# balancers alone, and what those see of them is far from the mean.
MEMORY = 10 * SECOND
MOST_SIZE = 1e6  # a list that says that a server is larger, or smaller than one in so many, is wrong


class DecayingRate:
    """A rate, averaged over the past with weights that fall by 1/e within each window."""

    def __init__(self, window: int, now: int) -> None:
        self._window = window
        self._sum = 0.0
        self._updated = now

    def add(self, amount: float, now: int) -> None:
        self._sum = self._sum * exp((self._updated - now) / self._window) + amount
        self._updated = now

    def rate(self, now: int) -> float:
        """Per microsecond."""
        return self._sum * exp((self._updated - now) / self._window) / self._window


class FlavorLoad:
    """The work that warm servers of a flavor do for this balancer, per unit of size of all such servers."""

    def __init__(self, now: int) -> None:
        self._recent = DecayingRate(RATE_WINDOW, now)
        self._remembered = DecayingRate(MEMORY, now)
        self._since = now
        self.warm_size = 0.0  # of all warm servers of the flavor together
        self._none_since = now  # when the last warm one was gone; what it was then is kept

    def follow(self, warm_size: float, now: int) -> None:
        """The list, or time, has changed which servers are warm."""
        if warm_size == 0 < self.warm_size:
            self._none_since = now
        self.warm_size = warm_size

    def served(self, cost: float, now: int) -> None:
        """A warm server has answered. Divided later, it would count as more from each one that is left."""
        if self.warm_size > 0:
            self._recent.add(cost / self.warm_size, now)
            self._remembered.add(cost / self.warm_size, now)

    def rate(self, now: int) -> float:
        """Work per microsecond and unit of size."""
        if self.warm_size > 0:
            return self._recent.rate(now)
        age = max(RATE_WINDOW, self._none_since - self._since)
        return self._remembered.rate(self._none_since) / (1 - exp(-age / MEMORY))


class SlowStart:
    """What a balancer may send to the cold ones among its servers."""

    def __init__(self, settings: Settings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._loads: dict[str, FlavorLoad] = {}  # by flavor, for those listed
        fall_time = settings.fall_time
        self._saved_time = SAVED_TIME * fall_time
        self._fade_time = FADE_TIME * fall_time
        answered = (fall_time + self._fade_time) / fall_time / settings.fall_multiple
        self._returned = min(1.0, RETURNED_PART / answered)
        refilled = (fall_time + settings.connect_time + self._saved_time) / fall_time
        self._refilled = (1 - self._returned * answered) / refilled

    def warmth(self, server: Server, now: int) -> float:
        """The least share of its capacity that a server has by now; 1 once it is surely warm."""
        ramp, started = self._settings.ramp_time, server.started
        if not started or now >= started + ramp:
            return 1.0
        floor = self._settings.cold_share
        return floor + (1 - floor) * max(0, now - started) / ramp

    def follow(self, warmth: Mapping[Host, float], slices: int, now: int) -> None:
        """The list, or time, has changed who is there and who is warm."""
        in_zone = Counter(host.info.zone for host in warmth)
        weights = zone_weights(in_zone, self._settings)
        size: defaultdict[str, float] = defaultdict(float)
        warm: defaultdict[str, float] = defaultdict(float)
        meant: defaultdict[str, float] = defaultdict(float)
        for host, part in warmth.items():
            flavor = host.info.flavor
            size[flavor] += self._size(host)
            warm[flavor] += self._size(host) if part == 1 else 0
            meant[flavor] += self._size(host) * weights[host.info.zone]
        for host in warmth:
            flavor = host.info.flavor
            host.demand = self._size(host) * weights[host.info.zone] * size[flavor] / meant[flavor]
            host.demand *= slices
        self._loads = {flavor: self._loads.get(flavor) or FlavorLoad(now) for flavor in size}
        for flavor, load in self._loads.items():
            load.follow(warm[flavor], now)

    def new_budget(self, now: int) -> Budget:
        """The bucket of a server that is met."""
        return Budget(now - round(FIRST_SAVED_TIME * self._settings.fall_time))

    def admits(self, host: Host, cost: float, now: int) -> bool:
        """Whether a server is warm, or its bucket holds a request of such a cost.

        A part of a request is a whole one with that chance: saved up to whole ones by each of many balancers,
        they would all be there, and could all be sent, at the same time.
        """
        if self.warmth(host.info, now) == 1:
            return True
        budget = host.budget
        rate = self._refill_rate(host, cost, now)
        budget.refill(rate, rate * self._saved_time, now)
        budget.fade(self._fade_time, now)
        if budget.saved + budget.returned <= self._random.random() * cost:
            budget.saved = budget.returned = 0.0
            return False
        return True

    def reserve(self, host: Host, cost: float, now: int) -> float:
        """A request is sent to a server; returns what was taken out of its bucket, 0 at a warm one."""
        if self.warmth(host.info, now) == 1:
            return 0.0
        host.budget.spend(cost)
        return cost

    def answered(self, host: Host, reserved: float, cost: float, now: int) -> None:
        """A server has answered: a warm one shows what such servers can do, a cold one what it can."""
        if reserved > 0:
            host.budget.fade(self._fade_time, now)
            host.budget.returned += self._returned * reserved
        elif self.warmth(host.info, now) == 1:
            self._loads[host.info.flavor].served(cost, now)

    def _refill_rate(self, host: Host, cost: float, now: int) -> float:
        """Work per microsecond: a trickle, and a part of what is estimated.

        Work asked for would not do: retries swell it. Nor would what the cold ones did: less than their share
        where they were given less, and that holds them down for as long as most of them are cold.
        """
        trickle = cost / max(self._settings.fall_time, RATE_WINDOW) / self._settings.balancers
        if not host.own:
            return trickle
        warm_rate = self._loads[host.info.flavor].rate(now) * host.demand
        multiple = self._settings.fall_multiple * self.warmth(host.info, now)
        return trickle + self._refilled * multiple * warm_rate

    def _size(self, host: Host) -> float:
        size = host.info.weight
        return size if self._settings.weights_are_sizes and 1 / MOST_SIZE <= size <= MOST_SIZE else 1.0
