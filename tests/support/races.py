"""Helpers for tests that force an order of events on real connections."""

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


def connect(gateway: RunningGateway, text: bytes = b"") -> socket.socket:
    """Connect a blocking client, whose writes are done before the gateway's event loop runs again."""
    client = socket.create_connection(("127.0.0.1", gateway.port))
    client.sendall(text)
    return client


async def answers(client: socket.socket) -> bytes:
    """Read all responses until the gateway closes; a reset counts as the end."""
    client.setblocking(False)
    text, loop = b"", asyncio.get_running_loop()
    try:
        while data := await loop.sock_recv(client, 65536):
            text += data
    except ConnectionError:
        pass
    client.close()
    return text


async def only_connection(gateway: RunningGateway) -> ClientConnection:
    """Wait for the gateway's end of its only client connection."""
    await wait_until(lambda: len(gateway.frontend.connections) == 1)
    (connection,) = gateway.frontend.connections
    return connection


async def connection_with_partial_request(gateway: RunningGateway) -> ClientConnection:
    """Wait for a client connection on which a request has begun and is not complete."""
    connections = gateway.frontend.connections
    await wait_until(lambda: any(other.requests.has_partial_request for other in connections))
    return next(other for other in connections if other.requests.has_partial_request)


async def request_until(
    condition: Callable[[], object], client: LoopbackClient, connection: ClientConnection
) -> None:
    """Send requests until the condition is true; each one has its response, read or not, before the next."""

    async def request() -> None:
        count = connection.requests.started_request_count
        client.writer.write(request_bytes())
        await wait_until(
            lambda: connection.requests.started_request_count > count and not connection.in_flight.is_active
        )

    while not condition():
        await request()


async def pause_reading_until_unread(connection: ClientConnection, send: Callable[[], object]) -> None:
    """Stop reading the connection, send something on it and wait until it has arrived unread."""
    connection.transport.asyncio_transport.pause_reading()
    send()
    await wait_until(lambda: connection.has_unread_bytes)


async def wait_for_idle_connection(gateway: RunningGateway, peer: LoopbackPeer) -> None:
    """Send a request, and wait until its connection to the endpoint is idle and may be used again."""
    assert (await gateway.request()).status == 200
    (idle,) = gateway.pool.idle_connections(peer.endpoint_entry().endpoint.id)
    await wait_until(lambda: idle.is_reuse_delay_over(asyncio.get_running_loop().time()))
    await wait_until(lambda: not gateway.frontend.connections)


def after_connecting(monkeypatch: pytest.MonkeyPatch, then: Callable[[], object]) -> None:
    """Call `then` once a connection to an endpoint is up, before the code that waits for it runs."""
    loop = asyncio.get_running_loop()
    create_connection = loop.create_connection

    async def connected(*args: Any) -> Any:
        made = await create_connection(*args)
        then()
        return made

    monkeypatch.setattr(loop, "create_connection", connected)


def record_events(gateway: RunningGateway) -> list[Event]:
    """Return a list to which every event that the policy handles from now on is added."""
    events: list[Event] = []
    handle = gateway.balancer.handle

    def recorded(event: Event, now_us: int) -> list[Action]:
        events.append(event)
        return handle(event, now_us)

    gateway.balancer.handle = recorded  # type: ignore[method-assign]
    return events


def outcomes(events: list[Event]) -> list[Outcome]:
    """Return the outcomes of the attempts that have ended."""
    return [event.outcome for event in events if isinstance(event, AttemptEnded)]
