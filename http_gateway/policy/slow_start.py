"""Slow start: what a gateway may send to endpoints that have started lately.

An endpoint that is warming up falls over when it gets more than N requests of mean work, and some for chance,
from all gateways together within the overload window T. N is the overload factor M times what the endpoint
can do within T at its present capacity. Gateways share nothing, so each has a token bucket for each such
endpoint. A request takes its cost out of the bucket when it is decided on, whatever becomes of it. The bucket
is filled from two sources:

1. Refill, at a ratio R of the gateway's part of N. What an endpoint can do is estimated by what the warm
   endpoints of its machine type do. Each gateway divides the work that they did for it by their number; over
   all gateways that adds up to what the mean warm endpoint takes, however the work was spread over the warm
   ones. The part of it for one endpoint that is warming up is proportional to the work that would be meant
   for it if all were warm, in relation to the others of its machine type: over the endpoints of a type these
   parts have a mean of 1, wherever the warm ones may be. With subsets, only the gateways that keep to an
   endpoint refill its bucket, and each stands for as many as there are slices.
2. Credit: a ratio A of the cost of what the endpoint answered is given back. That follows what it can really
   do, which the estimate cannot know: it may be warmer than the least that the settings promise.

What all gateways send arrives within T at most as follows:

- Refilled: a request counts when its last byte arrives, and to an endpoint that has just started every
  connection is new, so what was decided on within T and the connect timeout C may arrive within T. On top of
  that comes what was saved up, for a time S at most: R * N * (T + C + S) / T.
- Credited: the endpoint answers N / M within T. Earlier credit decays with the time constant F, and is spent
  on connections that are up: A * N / M * (T + F) / T.

A is 1, or less where the second line would exceed `MAX_CREDIT_PART` of N, and R is such that both add up to
N. An endpoint withstands two requests more than N, and 2 x root of N for chance. So where nothing is known
yet, and from outside the subset, all gateways together still send one request each overload window, or each
time over which rates are averaged, if that is longer.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping
from random import Random

from http_gateway.policy.endpoint import Endpoint
from http_gateway.policy.settings import Settings
from http_gateway.policy.subsetting import Subset
from http_gateway.policy.throughput_estimate import RATE_WINDOW_US, MachineTypeThroughput
from http_gateway.policy.token_bucket import WarmUpBucket
from http_gateway.policy.tracked_endpoint import TrackedEndpoint
from http_gateway.policy.zone_weights import zone_weights

MAX_CREDIT_PART = 0.625  # of N, for what an endpoint has answered
# The following are in overload windows.
MAX_SAVED_WINDOWS = 0.5  # of refill that a bucket holds at most
# Of refill that a new bucket holds. All gateways learn of an endpoint at about the same time, and what they
# send then arrives together.
INITIAL_SAVED_WINDOWS = 0.25
CREDIT_DECAY_WINDOWS = 0.25  # time constant with which credit decays
MAX_CAPACITY = 1e6  # a listed capacity above this, or below its inverse, is wrong


class SlowStart:
    """The warm-up buckets of a gateway's endpoints, and the estimates that refill them."""

    def __init__(self, settings: Settings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._throughputs: dict[str, MachineTypeThroughput] = {}  # by machine type, for those listed
        self._members: frozenset[TrackedEndpoint] = frozenset()  # of the subset
        # What would be meant for an endpoint if all were warm, as a multiple of the mean of its machine type.
        self._relative_demand: dict[TrackedEndpoint, float] = {}
        window_us = settings.overload_window_us
        self._max_saved_us = MAX_SAVED_WINDOWS * window_us
        self._credit_decay_us = CREDIT_DECAY_WINDOWS * window_us
        credited = (window_us + self._credit_decay_us) / window_us / settings.overload_factor
        refilled = (window_us + settings.connect_timeout_us + self._max_saved_us) / window_us
        self._credit_ratio = min(1.0, MAX_CREDIT_PART / credited)
        self._refill_ratio = (1 - self._credit_ratio * credited) / refilled

    def capacity_fraction(self, endpoint: Endpoint, now_us: int) -> float:
        """The least fraction of its capacity that an endpoint has by now; 1 once it is surely warm."""
        window_us, started_at_us = self._settings.slow_start_window_us, endpoint.started_at_us
        if not started_at_us or now_us >= started_at_us + window_us:
            return 1.0
        initial = self._settings.initial_capacity
        return initial + (1 - initial) * max(0, now_us - started_at_us) / window_us

    def update(
        self, capacity_fractions: Mapping[TrackedEndpoint, float], subset: Subset, now_us: int
    ) -> None:
        """Follow the list, or time: which endpoints there are, and which of them are warm."""
        in_zone = Counter(tracked.endpoint.zone for tracked in capacity_fractions)
        weights = zone_weights(in_zone, self._settings)
        total: defaultdict[str, float] = defaultdict(float)  # capacity by machine type
        warm: defaultdict[str, float] = defaultdict(float)
        demand: defaultdict[str, float] = defaultdict(float)
        for tracked, fraction in capacity_fractions.items():
            endpoint = tracked.endpoint
            capacity = self._capacity(endpoint)
            total[endpoint.machine_type] += capacity
            warm[endpoint.machine_type] += capacity if fraction == 1 else 0
            demand[endpoint.machine_type] += capacity * weights[endpoint.zone]
        self._members = frozenset(subset.members)
        self._relative_demand = {
            tracked: self._capacity(tracked.endpoint)
            * weights[tracked.endpoint.zone]
            * total[tracked.endpoint.machine_type]
            / demand[tracked.endpoint.machine_type]
            * subset.slice_count
            for tracked in capacity_fractions
        }
        self._throughputs = {
            machine_type: self._throughputs.get(machine_type) or MachineTypeThroughput(now_us)
            for machine_type in total
        }
        for machine_type, throughput in self._throughputs.items():
            throughput.set_warm_capacity(warm[machine_type], now_us)

    def relative_demand(self, tracked: TrackedEndpoint) -> float:
        """What would be meant for an endpoint if all were warm, against the mean of its machine type.

        It counts for all gateways that share a slice, so its mean over a type is the number of slices.
        """
        return self._relative_demand[tracked]

    def new_bucket(self, now_us: int) -> WarmUpBucket:
        """The bucket of an endpoint that is first seen."""
        return WarmUpBucket(now_us - round(INITIAL_SAVED_WINDOWS * self._settings.overload_window_us))

    def admits(self, tracked: TrackedEndpoint, cost_us: float, now_us: int) -> bool:
        """Whether an endpoint is warm, or its bucket covers the cost of a request.

        A bucket that covers a part of the cost admits the request with that probability, and is emptied if
        it does not. If each of many gateways saved the parts up to whole requests, all would send at once.
        """
        if self.capacity_fraction(tracked.endpoint, now_us) == 1:
            return True
        bucket = tracked.warm_up_bucket
        rate = self._refill_rate(tracked, cost_us, now_us)
        bucket.refill(rate, rate * self._max_saved_us, now_us)
        bucket.decay(self._credit_decay_us, now_us)
        if bucket.tokens <= self._random.random() * cost_us:
            bucket.empty()
            return False
        return True

    def reserve(self, tracked: TrackedEndpoint, cost_us: float, now_us: int) -> float:
        """Take the cost of a request out of an endpoint's bucket; return it, or 0 for a warm endpoint."""
        if self.capacity_fraction(tracked.endpoint, now_us) == 1:
            return 0.0
        tracked.warm_up_bucket.take(cost_us)
        return cost_us

    def record_response(
        self, tracked: TrackedEndpoint, reserved_cost_us: float, cost_us: float, now_us: int
    ) -> None:
        """Learn from a response: what warm endpoints do, or what this one can do while it warms up."""
        if reserved_cost_us > 0:
            tracked.warm_up_bucket.decay(self._credit_decay_us, now_us)
            tracked.warm_up_bucket.add_credit(self._credit_ratio * reserved_cost_us)
        elif self.capacity_fraction(tracked.endpoint, now_us) == 1:
            self._throughputs[tracked.endpoint.machine_type].record_response(cost_us, now_us)

    def _refill_rate(self, tracked: TrackedEndpoint, cost_us: float, now_us: int) -> float:
        """Work per microsecond: one request each window from all gateways, and a part of the estimate.

        Offered work would be no base for the estimate, since retries add to it. Nor would the work of
        endpoints that are warming up: one that was given less than its share would stay below it.
        """
        window_us = max(self._settings.overload_window_us, RATE_WINDOW_US)
        minimum = cost_us / window_us / self._settings.gateway_count
        if tracked not in self._members:
            return minimum
        throughput = self._throughputs[tracked.endpoint.machine_type].rate(now_us)
        warm_rate = throughput * self._relative_demand[tracked]
        multiple = self._settings.overload_factor * self.capacity_fraction(tracked.endpoint, now_us)
        return minimum + self._refill_ratio * multiple * warm_rate

    def _capacity(self, endpoint: Endpoint) -> float:
        """Relative to other endpoints; 1 where the list has none, or an impossible one."""
        weight = endpoint.weight
        if self._settings.weights_are_capacities and 1 / MAX_CAPACITY <= weight <= MAX_CAPACITY:
            return weight
        return 1.0
