"""The definition of a scenario for a recorded simulator session. All times are in microseconds."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from tests.support.session_model import SessionModel

WireMessage = dict[str, Any]

US_PER_MS = 1_000

# The codes of the simulator protocol for the outcome of an attempt.
OK = 10
ERROR = 20
REJECTED = 30
TIMEOUT = 40
CONNECT_FAILED = 50
RESET = 60
CANCELLED = 70
NOT_SENT = 80
UNKNOWN = 99  # a code that the protocol does not define


@dataclass(frozen=True)
class Fault:
    """A fault that gives a fraction of the attempts at an endpoint a fixed outcome, for a period of time.

    The outcome TIMEOUT means that the endpoint never responds.
    """

    outcome: int
    from_us: int
    until_us: int
    probability: float = 1.0
    class_name: str | None = None  # None for all request classes

    def applies(self, class_name: str, elapsed_us: int) -> bool:
        """Whether the fault can affect an attempt of a class, `elapsed_us` after the start of the session."""
        return self.from_us <= elapsed_us < self.until_us and self.class_name in (None, class_name)


@dataclass
class SimulatedEndpoint:
    """An endpoint that serves requests from one queue with a fixed number of workers."""

    id: int
    zone: str = "north"
    machine_type: str = "small"
    group: int | None = 0
    rating: float = 1.0
    service_time_us: int = 15 * US_PER_MS
    workers: int = 2
    queue_limit: int = 8
    faults: tuple[Fault, ...] = ()
    state: str = "IN"
    started_at_us: int = 0
    busy_until_us: list[int] = field(default_factory=list)

    def list_entry(self) -> WireMessage:
        """Return the entry of the endpoint in the endpoint list."""
        return {
            "host": self.id,
            "stageState": self.state,
            "group": self.group,
            "rating": self.rating,
            "sku": self.machine_type,
            "regionPart": self.zone,
            "readyAt": self.started_at_us or None,
        }

    def restart(self, now_us: int) -> None:
        """Restart with an empty queue."""
        self.state = "IN"
        self.started_at_us = now_us
        self.busy_until_us = []

    def change_state(self, state: str) -> None:
        """Set the state that the endpoint list shows."""
        self.state = state

    def move(self, zone: str, group: int) -> None:
        """Move to another zone and deduplication group."""
        self.zone, self.group = zone, group

    def in_flight(self, now_us: int) -> int:
        """Return the number of requests that are queued or being served."""
        self.busy_until_us = [until_us for until_us in self.busy_until_us if until_us > now_us]
        return len(self.busy_until_us)

    def enqueue(self, service_time_us: int, now_us: int) -> int | None:
        """Add a request to the queue.

        Returns:
            The time at which the request will have been served, or None if the queue is full.
        """
        if self.in_flight(now_us) >= self.workers + self.queue_limit:
            return None
        latest = sorted(self.busy_until_us)[-self.workers :]
        start_us = now_us if len(latest) < self.workers else latest[0]
        self.busy_until_us.append(start_us + service_time_us)
        return start_us + service_time_us


@dataclass(frozen=True)
class ClassTraffic:
    """The traffic of one request class: its relative share, and the behaviour of its clients."""

    name: str
    share: float
    timeout_us: int
    has_key: bool = False
    is_stream: bool = False
    retries: bool = False  # whether clients retry once after a failure or a rejection


@dataclass(frozen=True)
class RatePhase:
    """The total request rate of all gateways from a given time of the session."""

    from_us: int
    requests_per_s: float


@dataclass(frozen=True)
class Step:
    """A scripted change at a given time of the session."""

    at_us: int
    run: Callable[[SessionModel], None]


@dataclass(frozen=True)
class Scenario:
    """Everything that determines a session, except for the replies of the adapter."""

    name: str
    seed: int
    duration_us: int
    gateway_count: int
    setup: Mapping[str, Any]
    endpoints: Callable[[], list[SimulatedEndpoint]]
    traffic: tuple[ClassTraffic, ...]
    rates: tuple[RatePhase, ...]
    tenants: tuple[str, ...] = ()
    steps: tuple[Step, ...] = ()
    disconnect_probability: float = 0.03
    failing_watches: int = 0  # the number of discovery watches, from the first on, that fail
    tick_us: int = 5 * US_PER_MS
