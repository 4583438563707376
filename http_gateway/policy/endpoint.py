"""The description of an endpoint, as service discovery publishes it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

EndpointId = int


class EndpointState(Enum):
    """The lifecycle state of an endpoint in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"  # finishes its requests in flight and takes no new ones; also any unknown state
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the endpoint list."""

    id: EndpointId
    state: EndpointState = EndpointState.READY
    zone: str = ""
    machine_type: str = ""
    deduplication_group: int | None = None  # None if discovery does not publish it
    weight: float = 1.0
    started_at_us: int = 0  # time of the latest start; 0 if the endpoint has been up for a long time
