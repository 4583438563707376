"""An endpoint that is a queue, and what has arrived at it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from http_gateway.policy.endpoint import Endpoint


class Arrival(NamedTuple):
    """The last byte of a request has reached an endpoint."""

    at_us: int
    work: float  # in requests of mean work
    gateway_index: int
    gateway_was_notified: bool  # of this incarnation of the endpoint, when it sent the request


@dataclass
class SimulatedEndpoint:
    """One incarnation of an endpoint: it works at its capacity, reduced while it is warming up.

    It never fails under overload; it records what arrives, to be compared with what it withstands.
    """

    endpoint: Endpoint
    warm_speed: float  # requests of mean work per microsecond
    initial_capacity: float
    slow_start_window_us: int
    is_slowed_by_warm_up: bool
    queue_capacity: float  # in requests of mean work
    list_version: int  # of the list that first named it
    arrivals: list[Arrival] = field(default_factory=list)
    _queue_empty_at_us: int = 0
    _is_running: bool = True

    @property
    def is_running(self) -> bool:
        """Whether it has neither been removed nor restarted."""
        return self._is_running

    @property
    def started_warming_up(self) -> bool:
        """Whether it started within the simulation, and so had to warm up."""
        return self.endpoint.started_at_us > 0

    def stop(self) -> None:
        """End this incarnation."""
        self._is_running = False

    def capacity_fraction(self, now_us: int) -> float:
        """Return the fraction of its warm capacity that it has at a moment."""
        started_at_us = self.endpoint.started_at_us
        if not started_at_us or now_us >= started_at_us + self.slow_start_window_us:
            return 1.0
        warmed_up = (1 - self.initial_capacity) * (now_us - started_at_us) / self.slow_start_window_us
        return self.initial_capacity + warmed_up

    def record(self, arrival: Arrival) -> None:
        """Record an arrival without queueing it."""
        self.arrivals.append(arrival)

    def accept(self, arrival: Arrival) -> int | None:
        """Record an arrival and queue it; return the moment of its response, or None if the queue is full."""
        self.record(arrival)
        now_us, work = arrival.at_us, arrival.work
        speed = self.warm_speed * (self.capacity_fraction(now_us) if self.is_slowed_by_warm_up else 1.0)
        if (self._queue_empty_at_us - now_us) * speed > self.queue_capacity:
            return None
        self._queue_empty_at_us = max(now_us, self._queue_empty_at_us) + max(1, round(work / speed))
        return self._queue_empty_at_us

    def arrived_work(self) -> float:
        """Return the work that has arrived since its start, in requests of mean work."""
        return sum(arrival.work for arrival in self.arrivals)

    def possible_work(self, now_us: int) -> float:
        """Return the work that it could have done since its start; its capacity rises evenly."""
        started_at_us = self.endpoint.started_at_us
        fractions = self.capacity_fraction(started_at_us) + self.capacity_fraction(now_us)
        return self.warm_speed * (now_us - started_at_us) * fractions / 2
