"""The state of the model for recorded sessions: client requests, attempts and gateways."""

from __future__ import annotations

from dataclasses import dataclass, field

from tests.support.session_scenario import OK, ClassTraffic


@dataclass
class ClientRequest:
    """A request that a client has sent to a gateway, from the client's point of view."""

    id: int
    gateway: int
    traffic: ClassTraffic
    deadline_us: int
    key: str | None
    tenant: str | None
    is_retry: bool
    is_complete: bool = False
    is_streaming: bool = False
    attempts: list[SimulatedAttempt] = field(default_factory=list)

    def complete(self) -> None:
        """Mark the request as complete: it has a final answer, or its client has disconnected."""
        self.is_complete = True

    def start_stream(self) -> None:
        """Mark the response stream as started; the deadline of the request no longer applies."""
        self.is_streaming = True


@dataclass
class SimulatedAttempt:
    """An attempt to serve a request at an endpoint."""

    request: ClientRequest
    number: int
    endpoint_id: int
    started_at_us: int
    has_ended: bool = False
    is_streaming: bool = False

    def end(self, outcome: int) -> None:
        """Mark the attempt as ended; a response or the end of a response stream completes its request."""
        self.has_ended = True
        if outcome == OK or self.is_streaming:
            self.request.complete()

    def start_stream(self) -> None:
        """Mark the attempt as the one that streams the response of its request."""
        self.is_streaming = True
        self.request.start_stream()


@dataclass
class SimulatedGateway:
    """A gateway instance; events that are scheduled for an earlier incarnation are discarded."""

    index: int
    incarnation: int = 0
    is_running: bool = True
    is_watching: bool = False

    def retire(self) -> None:
        """End the current incarnation; it stops running and watching the endpoint list."""
        self.incarnation += 1
        self.is_running = self.is_watching = False

    def start(self) -> None:
        """Start the next incarnation."""
        self.is_running = True

    def start_watch(self) -> None:
        """Start a watch, which delivers changes of the endpoint list."""
        self.is_watching = True

    def end_watch(self) -> None:
        """End the watch, so that no more changes of the endpoint list are delivered."""
        self.is_watching = False
