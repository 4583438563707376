"""The pool of connections to the endpoints of the endpoint list."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Iterable

from http_gateway.net.discovery.endpoint_list import EndpointEntry
from http_gateway.net.http.messages import Message
from http_gateway.net.memory.budget import MessageBudgets
from http_gateway.net.upstream.attempt import AttemptEndCallback, UpstreamAttempt
from http_gateway.net.upstream.connection import UpstreamConnection
from http_gateway.net.upstream.descriptor_count import DescriptorCount
from http_gateway.net.upstream.endpoint_connections import (
    ConnectionTimeouts,
    EndpointConnections,
    IdleConnections,
)
from http_gateway.policy.endpoint import EndpointId, EndpointState

log = logging.getLogger(__name__)

# Idle connections are closed this many seconds before the endpoint's idle timeout. Otherwise a request could
# be sent while the endpoint closes the connection.
IDLE_TIMEOUT_MARGIN_S = 2.0


class UpstreamPool:
    """The connections to all endpoints that may receive requests.

    Args:
        connect_timeout_s: Seconds within which a connection has to be established.
        idle_timeout_s: Seconds for which an endpoint keeps an idle connection open.
        max_connections: Maximum number of connections to all endpoints together.
        budgets: The budgets of requests and responses.
    """

    def __init__(
        self, connect_timeout_s: float, idle_timeout_s: float, max_connections: int, budgets: MessageBudgets
    ) -> None:
        idle_s = max(idle_timeout_s / 2, idle_timeout_s - IDLE_TIMEOUT_MARGIN_S)
        self._timeouts = ConnectionTimeouts(connect_timeout_s, idle_s)
        self._descriptors = DescriptorCount(max_connections)
        self._budgets = budgets
        self._endpoints: dict[EndpointId, EndpointConnections] = {}
        self._idle: IdleConnections = {}

    @property
    def open_descriptors(self) -> int:
        """Upper bound on the file descriptors in use."""
        return self._descriptors.open_descriptors

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return self._descriptors.connection_count

    @property
    def connecting_count(self) -> int:
        """Number of connects in progress."""
        return self._descriptors.connecting_count

    def idle_connections(self, endpoint_id: EndpointId) -> list[UpstreamConnection]:
        """Return the idle connections to an endpoint, ordered by last use, the most recent last.

        Raises:
            KeyError: The endpoint is not in use.
        """
        return self._endpoints[endpoint_id].idle

    def update_endpoints(self, entries: Iterable[EndpointEntry], is_complete: bool) -> None:
        """Apply an endpoint list.

        An endpoint that drains or is removed gets no new attempt. After a restart or a change of address, an
        endpoint gets new attempts on new connections only.

        Args:
            entries: The listed endpoints.
            is_complete: Whether endpoints that are not listed are removed.
        """
        listed = {entry.endpoint.id: entry for entry in entries}
        if is_complete:
            for endpoint_id in [known for known in self._endpoints if known not in listed]:
                self._close(endpoint_id)
        for endpoint_id, entry in listed.items():
            known = self._endpoints.get(endpoint_id)
            if known is not None and not known.is_valid_for(entry):
                self._close(endpoint_id)
            if entry.endpoint.state is EndpointState.READY and endpoint_id not in self._endpoints:
                self._endpoints[endpoint_id] = EndpointConnections(
                    entry, self._timeouts, self._descriptors, self._budgets, self._idle
                )

    def start_attempt(
        self,
        endpoint_id: EndpointId,
        request: Message,
        expires_at_s: float,
        on_end: AttemptEndCallback,
        is_client_waiting: Callable[[], bool] = lambda: True,
        last_byte_deadline_s: float = math.inf,
    ) -> UpstreamAttempt | None:
        """Start an attempt, which may end before this method returns.

        Args:
            endpoint_id: The endpoint to send the request to.
            request: The client's request.
            expires_at_s: Loop time at which the client stops waiting; sent to the endpoint as the remaining
                time in the header `x-deadline`.
            on_end: Called exactly once with the outcome, unless None is returned.
            is_client_waiting: Returns whether the client still waits; called right before bytes are written.
            last_byte_deadline_s: Loop time before which the last byte of the request has to be written.

        Returns:
            The attempt, or None if the endpoint is not in use or the connection limit is reached.
        """
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return None
        attempt = UpstreamAttempt(request, expires_at_s, on_end, is_client_waiting)
        connection = endpoint.take_idle(attempt)
        if connection is None and self._descriptors.is_limit_reached and not self._close_longest_idle():
            log.warning(
                "connection limit reached endpoint_id=%d max_connections=%d",
                endpoint_id,
                self._descriptors.max_connections,
            )
            return None
        attempt.tighten_last_byte_deadline(last_byte_deadline_s)
        if connection is not None:
            connection.send(attempt)
        else:
            endpoint.start_connecting(attempt)
        return attempt

    def _close(self, endpoint_id: EndpointId) -> None:
        self._endpoints.pop(endpoint_id).close()

    def _close_longest_idle(self) -> bool:
        """Close the connection that has been idle the longest, and return whether there was one."""
        if not self._idle:
            return False
        min(self._idle, key=lambda connection: connection.idle_since_at_s).drop()
        return True
