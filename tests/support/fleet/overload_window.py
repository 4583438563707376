"""What arrives at an endpoint within an overload window, against what the endpoint withstands."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from itertools import accumulate
from math import sqrt

from http_gateway.policy.endpoint import EndpointId
from http_gateway.policy.settings import Settings
from http_gateway.policy.time_units import US_PER_S
from tests.support.fleet.simulated_endpoint import Arrival, SimulatedEndpoint

MAX_REPORTED_SENDERS = 5


def withstood_work(budget: float) -> float:
    """Return the work that an endpoint withstands: its budget, and what is put down to chance."""
    return budget + 2 * sqrt(budget) + 2


@dataclass(frozen=True)
class OverloadWindow:
    """What arrived at an endpoint that is warming up within one overload window, in requests of mean work."""

    endpoint_id: EndpointId
    begins_after_s: float  # since the endpoint's start
    arrived: float
    budget: float  # the overload factor times what the endpoint can do within the window
    top_senders: tuple[tuple[int, int], ...] = ()  # gateway indexes, and the number of their requests

    @property
    def limit(self) -> float:
        """What the endpoint withstands."""
        return withstood_work(self.budget)

    @property
    def excess(self) -> float:
        """How much arrived beyond the limit; above 0 the endpoint fails under the load."""
        return self.arrived - self.limit

    def describe(self) -> str:
        """Return a sentence for a failed assertion."""
        senders = ", ".join(f"{requests} from gateway {index}" for index, requests in self.top_senders)
        return (
            f"endpoint {self.endpoint_id} got {self.arrived:.1f} requests of mean work and withstands"
            f" {self.limit:.1f} (budget {self.budget:.1f}), {self.begins_after_s:.2f} s after its start;"
            f" {senders}"
        )


def worst_overload_window(simulated: Iterable[SimulatedEndpoint], settings: Settings) -> OverloadWindow:
    """Return the window with the greatest excess at any of the endpoints; an empty one if none counts."""
    windows = (window for endpoint in simulated for window in _windows(endpoint, settings))
    return max(windows, key=lambda window: window.excess, default=OverloadWindow(0, 0.0, 0.0, 0.0))


def _windows(simulated: SimulatedEndpoint, settings: Settings) -> Iterator[OverloadWindow]:
    """Yield a window from each arrival on.

    One counts if over two thirds of its requests came from gateways that were notified of the endpoint's
    start: only those know that it is warming up.
    """
    arrivals, started_at_us = simulated.arrivals, simulated.endpoint.started_at_us
    moments = [arrival.at_us for arrival in arrivals]
    total_work = list(accumulate((arrival.work for arrival in arrivals), initial=0.0))
    total_notified = list(accumulate((arrival.gateway_was_notified for arrival in arrivals), initial=0))
    for first, begin_at_us in enumerate(moments):
        if begin_at_us >= started_at_us + settings.slow_start_window_us:
            continue
        end = bisect_left(moments, begin_at_us + settings.overload_window_us)
        if 3 * (total_notified[end] - total_notified[first]) <= 2 * (end - first):
            continue
        speed = simulated.warm_speed * simulated.capacity_fraction(begin_at_us)
        window = OverloadWindow(
            simulated.endpoint.id,
            (begin_at_us - started_at_us) / US_PER_S,
            total_work[end] - total_work[first],
            settings.overload_factor * (speed * settings.overload_window_us),
        )
        yield _with_senders(window, arrivals[first:end]) if window.excess > 0 else window


def _with_senders(window: OverloadWindow, arrivals: Iterable[Arrival]) -> OverloadWindow:
    senders = Counter(arrival.gateway_index for arrival in arrivals)
    return replace(window, top_senders=tuple(senders.most_common(MAX_REPORTED_SENDERS)))
