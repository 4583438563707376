"""State of the model of recorded sessions: requests of clients, attempts and gateways."""

from __future__ import annotations

from dataclasses import dataclass, field

from tests.support.session_scenario import OK, ClassTraffic


@dataclass
class ClientRequest:
    """A request at a gateway, as its client sees it."""

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
        """Record the final answer, or that the client has disconnected."""
        self.is_complete = True

    def start_stream(self) -> None:
        """Record that a response stream has started, which ends the deadline."""
        self.is_streaming = True


@dataclass
class SimulatedAttempt:
    """An attempt on its way to an endpoint and back."""

    request: ClientRequest
    number: int
    endpoint_id: int
    started_at_us: int
    has_ended: bool = False
    is_streaming: bool = False

    def end(self, outcome: int) -> None:
        """Record the end; a response, or the end of a stream, completes the request."""
        self.has_ended = True
        if outcome == OK or self.is_streaming:
            self.request.complete()

    def start_stream(self) -> None:
        """Record that the response stream of the request has started here."""
        self.is_streaming = True
        self.request.start_stream()


@dataclass
class SimulatedGateway:
    """An instance; events for an earlier incarnation of it are void."""

    index: int
    incarnation: int = 0
    is_running: bool = True
    is_watching: bool = False

    def retire(self) -> None:
        """End this incarnation."""
        self.incarnation += 1
        self.is_running = self.is_watching = False

    def start(self) -> None:
        """Start the next incarnation."""
        self.is_running = True

    def start_watch(self) -> None:
        """Receive changes of the endpoint list from now on."""
        self.is_watching = True

    def end_watch(self) -> None:
        """Receive no more changes of the endpoint list."""
        self.is_watching = False
