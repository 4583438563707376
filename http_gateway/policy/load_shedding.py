"""Load shedding: which requests a gateway answers at once because its endpoints are overloaded."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from http_gateway.policy.events import RequestArrived
from http_gateway.policy.settings import RequestClass
from http_gateway.policy.time_units import US_PER_S

# Late responses for this long reduce what is admitted to about a third.
SHED_TIME_CONSTANT_US = US_PER_S // 2
# A signal stands for the time since the last one, but for no more than this.
MAX_SIGNAL_AGE_US = US_PER_S // 4


class TrafficClass(NamedTuple):
    """Requests that are admitted or shed alike."""

    class_name: str
    is_over_quota: bool


class LoadShedder:
    """Admits a fraction of the offered work, the part with the least weight for its cost last.

    Overload shows in the gateway's own responses. Signals are weighted by time rather than counted, so that
    one gateway with all the traffic and one of hundreds react alike.
    """

    def __init__(self, over_quota_weight: float, random: Random) -> None:
        self._over_quota_weight = over_quota_weight
        self._random = random
        self._admitted_fraction = 1.0  # of the offered work
        self._signalled_at_us = 0
        self._admitted_at_us = 0
        self._request_counts: dict[TrafficClass, int] = {}
        self._offered_cost_us: dict[TrafficClass, float] = {}
        self._weights: dict[TrafficClass, float] = {}  # priority weight of one request
        self._longest_timeout_us: dict[str, int] = {}  # of first tries of clients, by class name

    @property
    def admitted_fraction(self) -> float:
        """The fraction of the offered work that is admitted."""
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
        """Count a request; return whether to shed it."""
        traffic_class = TrafficClass(request_class.name, over_quota)
        weight = request_class.priority_weight * (self._over_quota_weight if over_quota else 1)
        self._weights[traffic_class] = weight
        self._request_counts[traffic_class] = self._request_counts.get(traffic_class, 0) + 1
        self._offered_cost_us[traffic_class] = self._offered_cost_us.get(traffic_class, 0.0) + cost_us
        return self._is_late_retry(request, request_class) or self._is_excess(traffic_class, now_us)

    def record_signal(self, in_time: bool, now_us: int) -> None:
        """Admit more after a response in time, less after a sign of overload."""
        since_us = self._signalled_at_us or now_us  # the first signal stands for no time at all
        self._signalled_at_us = now_us
        weight = min(now_us - since_us, MAX_SIGNAL_AGE_US) / SHED_TIME_CONSTANT_US
        if in_time:
            self._admitted_fraction = min(1.0, self._admitted_fraction + weight)
        else:
            self._admitted_fraction *= 1 - weight

    def _is_excess(self, traffic_class: TrafficClass, now_us: int) -> bool:
        """Whether to shed a request under overload; never all of them, as only responses show its end."""
        overloaded = self._admitted_fraction < 1 and now_us < self._admitted_at_us + MAX_SIGNAL_AGE_US
        if overloaded and self._random.random() >= self._admission_probability(traffic_class):
            return True
        self._admitted_at_us = now_us
        return False

    def _is_late_retry(self, request: RequestArrived, request_class: RequestClass) -> bool:
        """Whether a client's retry comes after the latency objective of a class without late weight."""
        name = request_class.name
        if not request.is_client_retry:
            self._longest_timeout_us[name] = max(request.timeout_us, self._longest_timeout_us.get(name, 0))
        # Only the timeout of a retry that the deadline has cut short shows how much time is gone.
        is_cut_short = request.is_client_retry and request.timeout_us < self._longest_timeout_us.get(name, 0)
        elapsed_us = request_class.timeout_us - request.timeout_us
        return (
            is_cut_short
            and request_class.late_weight == 0
            and elapsed_us > request_class.latency_objective_us
        )

    def _admission_probability(self, traffic_class: TrafficClass) -> float:
        """Of one traffic class; those with more weight for their cost come first. May be outside [0, 1]."""
        value = self._value(traffic_class)
        above = sum(cost for other, cost in self._offered_cost_us.items() if self._value(other) > value)
        admitted = self._admitted_fraction * sum(self._offered_cost_us.values())
        return (admitted - above) / self._offered_cost_us[traffic_class]

    def _value(self, traffic_class: TrafficClass) -> float:
        """Priority weight for each microsecond of cost."""
        weight = self._weights[traffic_class] * self._request_counts[traffic_class]
        return weight / self._offered_cost_us[traffic_class]
