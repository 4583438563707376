"""An endpoint as discovery describes it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

EndpointId = int


class EndpointState(Enum):
    """What discovery says of an endpoint."""

    READY = "ready"
    DRAINING = "draining"  # finishes what it has and takes nothing new; an unknown state is read as this
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One endpoint of the endpoint list."""

    id: EndpointId
    state: EndpointState = EndpointState.READY
    zone: str = ""
    machine_type: str = ""
    deduplication_group: int | None = None  # None: not known
    weight: float = 1.0
    started_at_us: int = 0  # moment of its latest start; 0: long ago
