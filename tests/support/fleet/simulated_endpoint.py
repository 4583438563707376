"""A simulated endpoint with a request queue, which records the requests that arrive."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from http_gateway.policy.endpoint import Endpoint


class Arrival(NamedTuple):
    """The arrival of the last byte of a request at an endpoint."""

    at_us: int
    work: float  # as a multiple of the work of a mean request
    gateway_index: int
    gateway_was_notified: bool  # whether the gateway knew of this incarnation when it sent the request


@dataclass
class SimulatedEndpoint:
    """One incarnation of an endpoint, which serves requests at a rate that is reduced during slow start.

    It never fails under overload. It records all arrivals, so that a test can compare them with the
    limit of an `OverloadWindow`.
    """

    endpoint: Endpoint
    warm_service_rate: float  # requests of mean work that it serves per microsecond when it is warm
    initial_capacity: float
    slow_start_window_us: int
    is_slowed_by_warm_up: bool
    queue_capacity: float  # the maximum waiting work, as a multiple of the work of a mean request
    list_version: int  # the version of the endpoint list that first contained this incarnation
    arrivals: list[Arrival] = field(default_factory=list)
    _queue_empty_at_us: int = 0
    _is_running: bool = True

    @property
    def is_running(self) -> bool:
        """Whether this incarnation has been neither removed nor replaced by a restart."""
        return self._is_running

    @property
    def had_slow_start(self) -> bool:
        """Whether this incarnation started during the simulation and was therefore in slow start."""
        return self.endpoint.started_at_us > 0

    def stop(self) -> None:
        """Stop this incarnation."""
        self._is_running = False

    def capacity_fraction(self, now_us: int) -> float:
        """Return the capacity at a given time, as a fraction of the warm capacity."""
        started_at_us = self.endpoint.started_at_us
        if not started_at_us or now_us >= started_at_us + self.slow_start_window_us:
            return 1.0
        warmed_up = (1 - self.initial_capacity) * (now_us - started_at_us) / self.slow_start_window_us
        return self.initial_capacity + warmed_up

    def record(self, arrival: Arrival) -> None:
        """Record an arrival without adding it to the queue."""
        self.arrivals.append(arrival)

    def accept(self, arrival: Arrival) -> int | None:
        """Record an arrival and add it to the queue.

        Returns:
            The time at which the endpoint responds, in microseconds, or None if the queue is full.
        """
        self.record(arrival)
        now_us, work = arrival.at_us, arrival.work
        service_rate = self.warm_service_rate * (
            self.capacity_fraction(now_us) if self.is_slowed_by_warm_up else 1.0
        )
        if (self._queue_empty_at_us - now_us) * service_rate > self.queue_capacity:
            return None
        self._queue_empty_at_us = max(now_us, self._queue_empty_at_us) + max(1, round(work / service_rate))
        return self._queue_empty_at_us

    def arrived_work(self) -> float:
        """Return the work that has arrived since the start, as a multiple of the work of a mean request."""
        return sum(arrival.work for arrival in self.arrivals)

    def possible_work(self, now_us: int) -> float:
        """Return the work that the endpoint could have done since its start.

        The calculation takes the mean of the first and the current capacity, since capacity rises linearly
        during slow start.
        """
        started_at_us = self.endpoint.started_at_us
        fractions = self.capacity_fraction(started_at_us) + self.capacity_fraction(now_us)
        return self.warm_service_rate * (now_us - started_at_us) * fractions / 2
