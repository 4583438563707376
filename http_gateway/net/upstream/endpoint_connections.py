"""Management of the idle connections to one endpoint and of its connects in progress."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from http_gateway.net.discovery.endpoint_list import EndpointEntry
from http_gateway.net.memory.budget import MessageBudgets
from http_gateway.net.upstream.attempt import UpstreamAttempt
from http_gateway.net.upstream.connection import UpstreamConnection
from http_gateway.net.upstream.descriptor_count import DescriptorCount
from http_gateway.policy.endpoint import EndpointId, EndpointState
from http_gateway.policy.events import Outcome

# The idle connections to all endpoints together. Their number is limited, unlike that of the endpoints.
IdleConnections = dict[UpstreamConnection, None]


class ConnectionTimeouts(NamedTuple):
    """Timeouts in seconds for opening a connection and for an idle connection."""

    connect_s: float
    idle_s: float


class EndpointConnections:
    """The connections to one endpoint, used until the endpoint drains, restarts or is removed.

    Args:
        entry: The endpoint as the endpoint list describes it.
        timeouts: Timeouts of the connections.
        descriptors: Counts the connections to all endpoints.
        budgets: The budgets of requests and responses.
        all_idle: Where the idle connections are registered.
    """

    def __init__(
        self,
        entry: EndpointEntry,
        timeouts: ConnectionTimeouts,
        descriptors: DescriptorCount,
        budgets: MessageBudgets,
        all_idle: IdleConnections,
    ) -> None:
        self._entry = entry
        self._all_idle = all_idle
        self._timeouts = timeouts
        self._descriptors = descriptors
        self._budgets = budgets
        self._is_ready = True
        self._idle: list[UpstreamConnection] = []  # ordered by last use, the most recent last
        self._connecting: set[UpstreamAttempt] = set()

    @property
    def endpoint_id(self) -> EndpointId:
        """Id of the endpoint."""
        return self._entry.endpoint.id

    @property
    def is_ready(self) -> bool:
        """Whether new requests may be sent to the endpoint."""
        return self._is_ready

    @property
    def idle_timeout_s(self) -> float:
        """Seconds after which an idle connection is closed."""
        return self._timeouts.idle_s

    @property
    def budgets(self) -> MessageBudgets:
        """The budgets of requests and responses."""
        return self._budgets

    @property
    def idle(self) -> list[UpstreamConnection]:
        """The idle connections, ordered by last use, the most recent last."""
        return self._idle.copy()

    def is_valid_for(self, entry: EndpointEntry) -> bool:
        """Return whether the connections are still valid for the endpoint that this entry describes.

        They are invalid if the endpoint drains, has another address or has restarted. Connections to a
        process that has restarted are dead even if no reset was received.
        """
        return (
            entry.endpoint.state is EndpointState.READY
            and entry.address == self._entry.address
            and entry.endpoint.started_at_us == self._entry.endpoint.started_at_us
        )

    def connection_opened(self) -> None:
        """Count a connection that has been opened."""
        self._descriptors.connection_opened()

    def connection_closed(self) -> None:
        """Stop counting a connection that has been closed."""
        self._descriptors.connection_closed()

    def add_idle(self, connection: UpstreamConnection) -> None:
        """Add a connection that may be used for another attempt."""
        self._idle.append(connection)
        self._all_idle[connection] = None

    def remove_idle(self, connection: UpstreamConnection) -> None:
        """Remove a connection, if it is idle, so that it is not used again."""
        if connection in self._idle:
            self._stop_idling(connection)

    def take_idle(self, attempt: UpstreamAttempt) -> UpstreamConnection | None:
        """Take the most recently used idle connection, which is the least likely to have been closed.

        A connection is skipped for an attempt without a safe method if the last response on it was a
        rejection. The endpoint may send the rejection a second time, and the request would then be retried
        although the endpoint executes it. Such an attempt uses a new connection instead.

        Returns:
            The connection, or None if no idle connection can be used.
        """
        after_rejection = None
        now_s = asyncio.get_running_loop().time()
        for connection in reversed(self._idle.copy()):
            if not connection.is_reuse_delay_over(now_s):
                continue
            if connection.last_response_was_rejection and not attempt.has_safe_method:
                after_rejection = connection
                continue
            self._stop_idling(connection)
            if connection.is_reusable():
                return connection
            connection.drop()
        # The new connection replaces the skipped one, so that such connections do not accumulate.
        if after_rejection is not None:
            after_rejection.drop()
        return None

    def _stop_idling(self, connection: UpstreamConnection) -> None:
        self._idle.remove(connection)
        del self._all_idle[connection]

    def start_connecting(self, attempt: UpstreamAttempt) -> None:
        """Open a connection for an attempt, in a task that the attempt owns."""
        self._descriptors.connect_started()
        self._connecting.add(attempt)
        attempt.connect(self._connect(attempt), on_done=lambda: self._connect_done(attempt))

    def close(self) -> None:
        """Stop sending requests to the endpoint.

        Idle connections are closed, and attempts that are still connecting end with `NOT_SENT`. Attempts in
        flight on a connection continue until they end.
        """
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
            return  # the attempt ends with CONNECT_FAILED when this task is done
        self._connecting.discard(attempt)
        if attempt.has_ended:
            connection.drop()
        elif connection.is_open:
            # An attempt sent on a connection that is already closed might never end. An attempt without a
            # connection ends with CONNECT_FAILED when this task is done.
            connection.send(attempt)

    def _connect_done(self, attempt: UpstreamAttempt) -> None:
        self._descriptors.connect_ended()
        self._connecting.discard(attempt)
