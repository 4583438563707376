"""Helpers for race condition tests, which force an order of events on real connections."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

import pytest

from http_gateway.net.frontend.client_connection import ClientConnection
from http_gateway.policy.actions import Action
from http_gateway.policy.events import AttemptEnded, Event, Outcome
from tests.support.loopback import (
    LoopbackClient,
    LoopbackPeer,
    RunningGateway,
    request_bytes,
    wait_until,
)

PAGE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npage"


def connect_blocking_client(gateway: RunningGateway, data: bytes = b"") -> socket.socket:
    """Connect a blocking client socket, and send data on it.

    The call blocks the event loop, so that the data is sent before the gateway runs again.
    """
    client = socket.create_connection(("127.0.0.1", gateway.port))
    client.sendall(data)
    return client


async def read_responses(client: socket.socket) -> bytes:
    """Return all bytes up to the end of the connection; a reset counts as the end. Closes the socket."""
    client.setblocking(False)
    received, loop = b"", asyncio.get_running_loop()
    try:
        while data := await loop.sock_recv(client, 65536):
            received += data
    except ConnectionError:
        pass
    client.close()
    return received


async def wait_for_only_connection(gateway: RunningGateway) -> ClientConnection:
    """Wait until the gateway has exactly one client connection, and return it."""
    await wait_until(lambda: len(gateway.frontend.connections) == 1)
    (connection,) = gateway.frontend.connections
    return connection


async def wait_for_partial_request(gateway: RunningGateway) -> ClientConnection:
    """Wait until a client connection has received only a part of a request, and return the connection."""
    connections = gateway.frontend.connections
    await wait_until(lambda: any(other.requests.has_partial_request for other in connections))
    return next(other for other in connections if other.requests.has_partial_request)


async def connect_without_reading(gateway: RunningGateway) -> tuple[LoopbackClient, ClientConnection]:
    """Open the only client connection, on which the client does not read its responses."""
    client = await gateway.connect()
    client.pause_reading()
    return client, await wait_for_only_connection(gateway)


async def request_until(
    condition: Callable[[], object], client: LoopbackClient, connection: ClientConnection
) -> None:
    """Send requests one after another until a condition is true.

    The next request follows when the gateway has handled the previous one, even if the client has not read
    the response.
    """

    async def request() -> None:
        count = connection.requests.started_request_count
        client.writer.write(request_bytes())
        await wait_until(
            lambda: connection.requests.started_request_count > count and not connection.in_flight.is_active
        )

    while not condition():
        await request()


async def pause_reading_until_unread(connection: ClientConnection, send: Callable[[], object]) -> None:
    """Pause reading on a connection, call `send`, and wait until the connection has unread bytes."""
    connection.transport.asyncio_transport.pause_reading()
    send()
    await wait_until(lambda: connection.has_unread_bytes)


async def wait_for_idle_connection(gateway: RunningGateway, peer: LoopbackPeer) -> None:
    """Send a request, and wait until its upstream connection is idle and reusable.

    The gateway has then also closed its end of the client connection.
    """
    assert (await gateway.request()).status == 200
    (idle,) = gateway.pool.idle_connections(peer.endpoint_entry().endpoint.id)
    await wait_until(lambda: idle.is_reuse_delay_over(asyncio.get_running_loop().time()))
    await wait_until(lambda: not gateway.frontend.connections)


def call_after_connecting(monkeypatch: pytest.MonkeyPatch, then: Callable[[], object]) -> None:
    """Call a function whenever the event loop has opened an upstream connection.

    The call happens before the code that awaits the connection resumes.
    """
    loop = asyncio.get_running_loop()
    create_connection = loop.create_connection

    async def connected(*args: Any) -> Any:
        made = await create_connection(*args)
        then()
        return made

    monkeypatch.setattr(loop, "create_connection", connected)


def record_events(gateway: RunningGateway) -> list[Event]:
    """Return a list that grows by every event that the policy handles from now on."""
    events: list[Event] = []
    handle = gateway.balancer.handle

    def recorded(event: Event, now_us: int) -> list[Action]:
        events.append(event)
        return handle(event, now_us)

    gateway.balancer.handle = recorded  # type: ignore[method-assign]
    return events


def outcomes(events: list[Event]) -> list[Outcome]:
    """Return the outcome of every `AttemptEnded` event, in order."""
    return [event.outcome for event in events if isinstance(event, AttemptEnded)]
