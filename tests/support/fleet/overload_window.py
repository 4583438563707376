"""Compares the work that arrives at an endpoint within an overload window with the endpoint's limit."""

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

MAX_REPORTED_GATEWAYS = 5


def tolerated_work(budget: float) -> float:
    """Return the most work that an endpoint tolerates within an overload window.

    The limit is the budget plus a margin for random variation: twice the square root of the budget, and two
    requests of mean work.
    """
    return budget + 2 * sqrt(budget) + 2


@dataclass(frozen=True)
class OverloadWindow:
    """The work that arrived within one overload window at an endpoint in slow start.

    All amounts of work are multiples of the work of a mean request.
    """

    endpoint_id: EndpointId
    begins_after_s: float  # the time from the endpoint's start to the start of the window
    arrived: float
    budget: float  # the overload factor times the work that the endpoint can do within the window
    top_gateways: tuple[tuple[int, int], ...] = ()  # pairs of a gateway index and its number of requests

    @property
    def limit(self) -> float:
        """The most work that the endpoint tolerates within the window."""
        return tolerated_work(self.budget)

    @property
    def excess(self) -> float:
        """The arrived work minus the limit; a positive value means that the endpoint is overloaded."""
        return self.arrived - self.limit

    def describe(self) -> str:
        """Describe the window, for the message of a failed assertion."""
        request_counts = ", ".join(
            f"{requests} from gateway {index}" for index, requests in self.top_gateways
        )
        return (
            f"endpoint {self.endpoint_id} received the work of {self.arrived:.1f} mean requests in one"
            f" overload window; the limit is {self.limit:.1f} (budget {self.budget:.1f}). The window began"
            f" {self.begins_after_s:.2f} s after the endpoint's start. Most requests: {request_counts}"
        )


def worst_overload_window(simulated: Iterable[SimulatedEndpoint], settings: Settings) -> OverloadWindow:
    """Return the overload window with the greatest excess at any of the endpoints.

    Args:
        simulated: The endpoints, with the requests that have arrived at them.
        settings: The settings that define the length of the window and the overload factor.

    Returns:
        The worst window that counts, or an empty one if no window counts.
    """
    windows = (window for endpoint in simulated for window in _windows(endpoint, settings))
    return max(windows, key=lambda window: window.excess, default=OverloadWindow(0, 0.0, 0.0, 0.0))


def _windows(simulated: SimulatedEndpoint, settings: Settings) -> Iterator[OverloadWindow]:
    """Yield the windows that count, one from each arrival during slow start.

    A window counts if more than two thirds of its requests came from gateways that had been notified of the
    endpoint's start. Other gateways cannot know that the endpoint is in slow start.
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
        service_rate = simulated.warm_service_rate * simulated.capacity_fraction(begin_at_us)
        window = OverloadWindow(
            simulated.endpoint.id,
            (begin_at_us - started_at_us) / US_PER_S,
            total_work[end] - total_work[first],
            settings.overload_factor * (service_rate * settings.overload_window_us),
        )
        yield _with_top_gateways(window, arrivals[first:end]) if window.excess > 0 else window


def _with_top_gateways(window: OverloadWindow, arrivals: Iterable[Arrival]) -> OverloadWindow:
    request_counts = Counter(arrival.gateway_index for arrival in arrivals)
    return replace(window, top_gateways=tuple(request_counts.most_common(MAX_REPORTED_GATEWAYS)))
