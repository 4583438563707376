"""Load shedding: which requests a gateway rejects at once because its endpoints are overloaded."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from http_gateway.policy.events import RequestArrived
from http_gateway.policy.settings import RequestClass
from http_gateway.policy.time_units import US_PER_S

# If all responses within this period are late, the admitted fraction falls to about a third of its value. If
# all of them are in time, the admitted fraction rises back to 1.
SHED_TIME_CONSTANT_US = US_PER_S // 2
# A load signal is weighted by the time since the previous signal, up to this maximum. It is also the longest
# time that load shedding lasts without admitting a request.
MAX_SIGNAL_AGE_US = US_PER_S // 4


class TrafficClass(NamedTuple):
    """Requests that load shedding treats alike: one request class, either within or over tenant quotas."""

    class_name: str
    is_over_quota: bool


class LoadShedder:
    """Admits a fraction of the offered cost and sheds the requests with the least weight per cost first.

    Overload is detected from the responses that the gateway itself receives. Each load
    signal is weighted by the time since the previous one. The reaction time therefore does not depend on the
    number of responses: a single gateway reacts as fast as one of hundreds that share the traffic.
    """

    def __init__(self, over_quota_weight: float, random: Random) -> None:
        self._over_quota_weight = over_quota_weight
        self._random = random
        self._admitted_fraction = 1.0  # the part of the offered cost that is admitted
        self._last_signal_at_us = 0
        self._last_admitted_at_us = 0
        self._request_counts: dict[TrafficClass, int] = {}
        self._offered_cost_us: dict[TrafficClass, float] = {}
        self._weights: dict[TrafficClass, float] = {}  # priority weight of one request
        # The longest timeout of any request that was not a client retry, keyed by the name of its class.
        self._longest_timeout_us: dict[str, int] = {}

    @property
    def admitted_fraction(self) -> float:
        """The fraction of the offered cost that is admitted, from 0 to 1."""
        return self._admitted_fraction

    def sheds(
        self,
        request: RequestArrived,
        request_class: RequestClass,
        *,
        over_quota: bool,
        cost_us: float,
        now_us: int,
    ) -> bool:
        """Count a request and return whether to shed it."""
        traffic_class = TrafficClass(request_class.name, over_quota)
        weight = request_class.priority_weight * (self._over_quota_weight if over_quota else 1)
        self._weights[traffic_class] = weight
        self._request_counts[traffic_class] = self._request_counts.get(traffic_class, 0) + 1
        self._offered_cost_us[traffic_class] = self._offered_cost_us.get(traffic_class, 0.0) + cost_us
        return self._is_late_retry(request, request_class) or self._sheds_for_overload(traffic_class, now_us)

    def record_load_signal(self, in_time: bool, now_us: int) -> None:
        """Raise the admitted fraction after a response in time; lower it after a sign of overload."""
        # The first signal has no predecessor, so its weight is 0 and it has no effect.
        previous_at_us = self._last_signal_at_us or now_us
        self._last_signal_at_us = now_us
        step = min(now_us - previous_at_us, MAX_SIGNAL_AGE_US) / SHED_TIME_CONSTANT_US
        if in_time:
            self._admitted_fraction = min(1.0, self._admitted_fraction + step)
        else:
            self._admitted_fraction *= 1 - step

    def _sheds_for_overload(self, traffic_class: TrafficClass, now_us: int) -> bool:
        """Return whether to shed a request because of overload.

        If no request has been admitted for `MAX_SIGNAL_AGE_US`, the next one is always admitted. Without
        admitted requests there are no responses, and only responses can show that the overload has ended.
        """
        overloaded = self._admitted_fraction < 1 and now_us < self._last_admitted_at_us + MAX_SIGNAL_AGE_US
        if overloaded and self._random.random() >= self._admission_probability(traffic_class):
            return True
        self._last_admitted_at_us = now_us
        return False

    def _is_late_retry(self, request: RequestArrived, request_class: RequestClass) -> bool:
        """Return whether a client retry arrives too late to have any weight.

        A client retry is too late if the latency objective has passed and the class gives late responses no
        weight.
        """
        name = request_class.name
        if not request.is_client_retry:
            self._longest_timeout_us[name] = max(request.timeout_us, self._longest_timeout_us.get(name, 0))
        # The timeout of a retry shows the elapsed time only if the client's deadline has shortened it.
        is_cut_short = request.is_client_retry and request.timeout_us < self._longest_timeout_us.get(name, 0)
        elapsed_us = request_class.timeout_us - request.timeout_us
        return (
            is_cut_short
            and request_class.late_weight == 0
            and elapsed_us > request_class.latency_objective_us
        )

    def _admission_probability(self, traffic_class: TrafficClass) -> float:
        """Return the admission probability of a traffic class; the result may be outside [0, 1].

        Traffic classes with more weight per cost are admitted first and use up the admitted cost first.
        """
        rank = self._weight_per_cost(traffic_class)
        preferred_cost_us = sum(
            cost_us for other, cost_us in self._offered_cost_us.items() if self._weight_per_cost(other) > rank
        )
        admitted_cost_us = self._admitted_fraction * sum(self._offered_cost_us.values())
        return (admitted_cost_us - preferred_cost_us) / self._offered_cost_us[traffic_class]

    def _weight_per_cost(self, traffic_class: TrafficClass) -> float:
        """Return the priority weight of a traffic class per microsecond of its cost."""
        weight = self._weights[traffic_class] * self._request_counts[traffic_class]
        return weight / self._offered_cost_us[traffic_class]
