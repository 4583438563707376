"""Slow start: limits the work that a gateway sends to endpoints that have started recently.

An endpoint that is warming up fails if all gateways together send it more work within the overload window
than its overload budget plus a margin. Gateways share no state, so each of them keeps a token bucket
(`WarmUpBucket`) for each such endpoint. When a request is assigned to the endpoint, its cost is taken out of
the bucket, whatever the outcome of the request.

Quantities:

- N: the overload budget of an endpoint within T, in requests of mean work. It is M times the work that the
  endpoint can do within T at its present capacity. No variable holds N: `full_credit` and `full_refill` are
  multiples of N. The margin above N is two requests, plus 2 * sqrt(N) for random variation.
- T: the overload window, `overload_window_us`.
- M: the overload factor, `overload_factor`.
- R: the refill ratio, `_refill_ratio`.
- A: the credit ratio, `_credit_ratio`.
- C: the connect timeout, `connect_timeout_us`.
- S: the longest time whose refill a bucket can hold, `_max_burst_us`.
- F: the time constant of the decay of credit, `_credit_decay_us`.

The bucket gets tokens from two sources:

1. Refill. Per overload window, the bucket gets R times the gateway's share of N. To compute that share, the
   throughput of an endpoint is estimated from the throughput of the warm endpoints of its machine type. Each
   gateway divides the work that the warm endpoints did for it by their number. Summed over all gateways,
   this is the throughput of the mean warm endpoint, however the work was distributed among the warm ones. It
   is multiplied by the endpoint's relative demand: the work that would be intended for it if all endpoints
   were warm, relative to the others of its machine type. The relative demand has a mean of 1 over the
   endpoints of a type, whichever zones the warm ones are in. With subsets, only the gateways whose subset
   contains an endpoint refill its bucket, and each of them counts as many times as there are slices.
2. Credit. A times the cost of each response is returned to the bucket. Credit follows the real capacity of
   the endpoint. The refill is based on the minimum capacity that the settings guarantee; the real capacity
   may be higher.

The work that arrives at an endpoint from all gateways within T has an upper bound for each source:

- Work from refill <= R * N * (T + C + S) / T. A request counts when its last byte arrives. An endpoint that
  has just started has no open connections, so requests assigned within T + C may all arrive within T. In
  addition, a bucket can hold the refill of the time S.
- Work from credit <= A * N / M * (T + F) / T. The endpoint answers N / M within T. Earlier credit decays with
  the time constant F and therefore adds at most the credit of the time F. Credit is spent on connections that
  are already open, so C is not part of this bound.

A and R are chosen such that the sum of both bounds is N. A is 1, or less if the bound for credit would
otherwise exceed the fraction `MAX_CREDIT_FRACTION` of N. R is then chosen for the rest of N.

Because of the margin, each bucket can have a minimum refill rate, which is added to the rate above. At the
minimum rate, all gateways together send an endpoint one request per overload window, or per averaging time
constant `RATE_TIME_CONSTANT_US` if that is longer. The minimum rate applies even while no throughput is known
yet, and at gateways whose subsets do not contain the endpoint.
"""

from __future__ import annotations

from random import Random

from http_gateway.policy.capacity_totals import CapacityTotals, WarmUpStage, warm_up_stage
from http_gateway.policy.endpoint import Endpoint
from http_gateway.policy.relative_demand import RelativeDemand
from http_gateway.policy.settings import Settings
from http_gateway.policy.subsetting import Subset
from http_gateway.policy.throughput_estimate import RATE_TIME_CONSTANT_US, MachineTypeThroughput
from http_gateway.policy.token_bucket import WarmUpBucket
from http_gateway.policy.tracked_endpoint import TrackedEndpoint

# Maximum fraction of the overload budget of an endpoint that credit for responses may use.
MAX_CREDIT_FRACTION = 0.625
# Maximum refill that a bucket holds, as a time in overload windows.
MAX_BURST_WINDOWS = 0.5
# Refill in a new bucket, as a time in overload windows. It is less than the maximum because all gateways
# learn of a new endpoint at about the same time, so the requests that they send at once arrive together.
INITIAL_BURST_WINDOWS = 0.25
CREDIT_DECAY_WINDOWS = 0.25  # time constant of the decay of credit, in overload windows


class SlowStart:
    """Admits requests to endpoints that are warming up.

    It estimates the refill rates of the warm-up buckets from the throughput of the warm endpoints.

    Args:
        settings: The settings of the gateway.
        random: The source of the random numbers for admission.
        totals: The totals over the ready endpoints.
        subset: The subset of this gateway.
    """

    def __init__(self, settings: Settings, random: Random, totals: CapacityTotals, subset: Subset) -> None:
        self._settings = settings
        self._random = random
        self._totals = totals
        self._subset = subset
        # Keyed by machine type; only machine types in the endpoint list have an entry.
        self._throughputs: dict[str, MachineTypeThroughput] = {}
        self._demand = RelativeDemand(settings, totals)
        window_us = settings.overload_window_us
        self._minimum_rate_window_us = max(window_us, RATE_TIME_CONSTANT_US)
        self._max_burst_us = MAX_BURST_WINDOWS * window_us
        self._credit_decay_us = CREDIT_DECAY_WINDOWS * window_us
        # Upper bounds on the work from each source within an overload window, at ratios of 1. The unit is the
        # overload budget of an endpoint.
        full_credit = (window_us + self._credit_decay_us) / window_us / settings.overload_factor
        full_refill = (window_us + settings.connect_timeout_us + self._max_burst_us) / window_us
        self._credit_ratio = min(1.0, MAX_CREDIT_FRACTION / full_credit)
        self._refill_ratio = (1 - self._credit_ratio * full_credit) / full_refill

    def capacity_fraction(self, endpoint: Endpoint, now_us: int) -> float:
        """Return the fraction of its full capacity that an endpoint is guaranteed to have.

        Args:
            endpoint: The endpoint as listed.
            now_us: The current time in microseconds.

        Returns:
            A fraction that rises linearly over the slow start window from the initial capacity of the
            settings to 1. An endpoint with the fraction 1 is called warm.
        """
        stage = warm_up_stage(endpoint, self._settings, now_us)
        if stage is WarmUpStage.WARM:
            return 1.0
        initial = self._settings.initial_capacity
        if stage is WarmUpStage.NOT_STARTED:
            return initial
        age_us = now_us - endpoint.started_at_us
        return initial + (1 - initial) * age_us / self._settings.slow_start_window_us

    def update(self, now_us: int) -> None:
        """Follow a change of the totals: of the endpoint list, or of the endpoints that are warm.

        Args:
            now_us: The current time in microseconds.
        """
        for machine_type in self._totals.take_changed_machine_types():
            warm_capacity = self._totals.warm_capacity(machine_type)
            if warm_capacity is None:
                self._throughputs.pop(machine_type, None)
                continue
            throughput = self._throughputs.get(machine_type)
            if throughput is None:
                throughput = self._throughputs[machine_type] = MachineTypeThroughput(now_us)
            throughput.set_warm_capacity(warm_capacity, now_us)

    def relative_demand(self, tracked: TrackedEndpoint) -> float:
        """Return the work intended for an endpoint if all endpoints were warm, relative to its machine type.

        Args:
            tracked: A ready endpoint.

        Returns:
            A multiple of the mean work per unit of capacity of the machine type, times the number of slices.
            With n slices, only one gateway in n has the endpoint in its subset, so each of these gateways
            counts n times. The mean over the capacity of a machine type is therefore the number of slices.
        """
        return self._demand.of(tracked.endpoint) * self._subset.slice_count

    def new_bucket(self, now_us: int) -> WarmUpBucket:
        """Create the bucket of an endpoint that is new to this gateway."""
        return WarmUpBucket(now_us - round(INITIAL_BURST_WINDOWS * self._settings.overload_window_us))

    def admits(self, tracked: TrackedEndpoint, cost_us: float, now_us: int) -> bool:
        """Decide whether an endpoint may get a request.

        A warm endpoint may get any request. A bucket that covers only a part of the cost admits the request
        with the corresponding probability, and is emptied if it does not. If the gateways instead saved their
        tokens until they covered a whole request, many of them would send at the same time.

        Args:
            tracked: A ready endpoint.
            cost_us: The cost of the request in microseconds of work.
            now_us: The current time in microseconds.

        Returns:
            Whether the request may be sent to the endpoint. Its cost is not taken from the bucket yet.
        """
        if warm_up_stage(tracked.endpoint, self._settings, now_us) is WarmUpStage.WARM:
            return True
        bucket = tracked.warm_up_bucket
        rate = self._refill_rate(tracked, cost_us, now_us)
        bucket.refill(rate, rate * self._max_burst_us, now_us)
        if bucket.credit_tokens:
            bucket.decay(self._credit_decay_us, now_us)
        if bucket.tokens <= self._random.random() * cost_us:
            bucket.empty()
            return False
        return True

    def reserve(self, tracked: TrackedEndpoint, cost_us: float, now_us: int) -> float:
        """Take the cost of a request out of an endpoint's bucket.

        Args:
            tracked: The endpoint that the request is assigned to.
            cost_us: The cost of the request in microseconds of work.
            now_us: The current time in microseconds.

        Returns:
            The reserved cost in microseconds of work; 0 if the endpoint is warm.
        """
        if warm_up_stage(tracked.endpoint, self._settings, now_us) is WarmUpStage.WARM:
            return 0.0
        tracked.warm_up_bucket.take(cost_us)
        return cost_us

    def record_response(
        self, tracked: TrackedEndpoint, reserved_cost_us: float, cost_us: float, now_us: int
    ) -> None:
        """Record a response: as credit if its cost was reserved, else as throughput of a warm endpoint.

        Args:
            tracked: The endpoint that responded.
            reserved_cost_us: The result of `reserve` for the request.
            cost_us: The cost of the request in microseconds of work, by the current estimate.
            now_us: The current time in microseconds.
        """
        if reserved_cost_us > 0:
            tracked.warm_up_bucket.decay(self._credit_decay_us, now_us)
            tracked.warm_up_bucket.add_credit(self._credit_ratio * reserved_cost_us)
        elif warm_up_stage(tracked.endpoint, self._settings, now_us) is WarmUpStage.WARM:
            self._throughputs[tracked.endpoint.machine_type].record_response(cost_us, now_us)

    def _refill_rate(self, tracked: TrackedEndpoint, cost_us: float, now_us: int) -> float:
        """Return the refill rate of an endpoint's bucket, in work per unit of time.

        The rate is a minimum, at which all gateways together send one request per window, plus a fraction of
        the estimated throughput. The estimate uses only the completed work of warm endpoints. The offered
        work would be too high, since retries add to it. The work of endpoints that are warming up would be
        too low: an endpoint that once got less than its share would never get more.
        """
        minimum = cost_us / self._minimum_rate_window_us / self._settings.gateway_count
        if tracked not in self._subset:
            return minimum
        throughput = self._throughputs[tracked.endpoint.machine_type].rate(now_us)
        warm_rate = throughput * self.relative_demand(tracked)
        multiple = self._settings.overload_factor * self.capacity_fraction(tracked.endpoint, now_us)
        return minimum + self._refill_ratio * multiple * warm_rate
