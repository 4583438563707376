"""What the connection pool does for one event must not grow with the number of endpoints."""

from __future__ import annotations

from functools import partial
from unittest.mock import Mock

from http_gateway.net.discovery.endpoint_list import EndpointEntry
from http_gateway.net.memory.budget import MessageBudgets
from http_gateway.net.upstream.pool import UpstreamPool
from tests.scale.fleet import make_endpoints
from tests.support.opcodes import executed_opcodes

SMALL_FLEET, LARGEST_FLEET = 200, 23_000
IDLE_CONNECTIONS = 20
MAX_GROWTH = 4


def close_longest_idle(endpoint_count: int) -> int:
    """Return the cost of closing idle connections one by one, in the order of their use."""
    pool = UpstreamPool(1.0, 60.0, IDLE_CONNECTIONS, MessageBudgets.create(1 << 20, 100, 100))
    entries = [
        EndpointEntry(endpoint, ("127.0.0.1", endpoint.id)) for endpoint in make_endpoints(endpoint_count)
    ]
    pool.update_endpoints(entries, is_complete=True)
    closed: list[float] = []

    def drop(connection: Mock, endpoint_id: int) -> None:
        pool._endpoints[endpoint_id].remove_idle(connection)
        closed.append(connection.idle_since_at_s)

    for number in range(IDLE_CONNECTIONS):
        endpoint_id = number % 7 + 1
        connection = Mock(idle_since_at_s=float(-number))
        connection.drop = partial(drop, connection, endpoint_id)
        pool._endpoints[endpoint_id].add_idle(connection)

    cost = executed_opcodes(lambda: [pool._close_longest_idle() for _ in range(IDLE_CONNECTIONS)])
    assert closed == sorted(closed)
    assert len(closed) == IDLE_CONNECTIONS
    assert not pool._close_longest_idle()
    return cost


def test_search_for_a_connection_to_close_does_not_follow_the_number_of_endpoints() -> None:
    """Guards against attempts at the connection limit that look at every endpoint of a large fleet."""
    assert close_longest_idle(LARGEST_FLEET) <= MAX_GROWTH * close_longest_idle(SMALL_FLEET)
