"""The connections to one endpoint: idle ones, and those that are being established."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from http_gateway.net.discovery.endpoint_list import EndpointEntry
from http_gateway.net.upstream.attempt import UpstreamAttempt
from http_gateway.net.upstream.connection import UpstreamConnection
from http_gateway.net.upstream.descriptor_count import DescriptorCount
from http_gateway.policy.endpoint import EndpointId, EndpointState
from http_gateway.policy.events import Outcome


class ConnectionTimeouts(NamedTuple):
    """Time limits of connections, in seconds."""

    connect_s: float
    idle_s: float


class EndpointConnections:
    """The connections to one endpoint of the list, until it drains, restarts or is removed."""

    def __init__(
        self, entry: EndpointEntry, timeouts: ConnectionTimeouts, descriptors: DescriptorCount
    ) -> None:
        self._entry = entry
        self._timeouts = timeouts
        self._descriptors = descriptors
        self._is_ready = True
        self._idle: list[UpstreamConnection] = []  # the most recently used last
        self._connecting: set[UpstreamAttempt] = set()

    @property
    def endpoint_id(self) -> EndpointId:
        """The endpoint that is connected to."""
        return self._entry.endpoint.id

    @property
    def is_ready(self) -> bool:
        """Whether the endpoint may get another request."""
        return self._is_ready

    @property
    def idle_timeout_s(self) -> float:
        """Seconds after which an idle connection is closed."""
        return self._timeouts.idle_s

    @property
    def idle(self) -> list[UpstreamConnection]:
        """The idle connections, the most recently used last."""
        return self._idle.copy()

    def can_serve(self, entry: EndpointEntry) -> bool:
        """Whether the connections lead to the endpoint as this entry describes it.

        After a restart the old connections lead nowhere, even if they were never reset.
        """
        return (
            entry.endpoint.state is EndpointState.READY
            and entry.address == self._entry.address
            and entry.endpoint.started_at_us == self._entry.endpoint.started_at_us
        )

    def connection_opened(self) -> None:
        """A connection is up."""
        self._descriptors.connection_opened()

    def connection_closed(self) -> None:
        """A connection is closed."""
        self._descriptors.connection_closed()

    def add_idle(self, connection: UpstreamConnection) -> None:
        """A connection may be used for another attempt."""
        self._idle.append(connection)

    def remove_idle(self, connection: UpstreamConnection) -> None:
        """A connection may not be used any more, if it was idle."""
        if connection in self._idle:
            self._idle.remove(connection)

    def take_idle(self, attempt: UpstreamAttempt) -> UpstreamConnection | None:
        """Take the most recently used connection: it is the least likely to have been closed meanwhile.

        Where the latest response was a rejection, the endpoint may send it a second time: a request that must
        not be executed twice would then be retried though it is executed, and gets a new connection instead.
        """
        rejected = None
        now_s = asyncio.get_running_loop().time()
        for connection in reversed(self._idle.copy()):
            if not connection.is_settled(now_s):
                continue
            if connection.was_rejected and not attempt.has_safe_method:
                rejected = connection
                continue
            self._idle.remove(connection)
            if connection.is_quiet():
                return connection
            connection.drop()
        if rejected is not None:  # in place of the new connection
            rejected.drop()
        return None

    def start_connecting(self, attempt: UpstreamAttempt) -> None:
        """Open a connection for this attempt, which owns the task that does so."""
        self._descriptors.connect_started()
        self._connecting.add(attempt)
        attempt.connect(self._connect(attempt), on_done=lambda: self._connect_done(attempt))

    def close(self) -> None:
        """Stop using the endpoint; attempts in flight on a connection are waited for."""
        self._is_ready = False
        for connection in self._idle.copy():
            connection.drop()
        for attempt in list(self._connecting):
            attempt.stop(Outcome.NOT_SENT)

    async def _connect(self, attempt: UpstreamAttempt) -> None:
        try:
            async with asyncio.timeout(self._timeouts.connect_s):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: UpstreamConnection(self), *self._entry.address
                )
        except (OSError, TimeoutError):
            return  # an attempt without a connection ends as one that failed to connect
        self._connecting.discard(attempt)
        if attempt.has_ended:
            connection.drop()
        elif connection.is_usable:  # one that is reset at once would not report its end
            connection.send(attempt)

    def _connect_done(self, attempt: UpstreamAttempt) -> None:
        self._descriptors.connect_ended()
        self._connecting.discard(attempt)
