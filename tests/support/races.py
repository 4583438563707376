"""Helpers for tests that force an order of events on real connections."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

import pytest

from http_gateway.net.frontend.listener import ClientConnection
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
    """A client outside the loop: what it does has happened before the gateway can take a turn."""
    client = socket.create_connection(("127.0.0.1", gateway.port))
    client.sendall(text)
    return client


async def answers(client: socket.socket) -> bytes:
    """All that comes until the gateway closes; a reset counts as its end."""
    client.setblocking(False)
    text, loop = b"", asyncio.get_running_loop()
    try:
        while data := await loop.sock_recv(client, 65536):
            text += data
    except ConnectionError:
        pass
    client.close()
    return text


async def only(gateway: RunningGateway) -> ClientConnection:
    """The gateway's end of the only client's connection."""
    await wait_until(lambda: len(gateway.frontend.connections) == 1)
    (connection,) = gateway.frontend.connections
    return connection


async def ask_until(
    condition: Callable[[], object], client: LoopbackClient, connection: ClientConnection
) -> None:
    """Ask again and again: each request has its answer, read or not, before the next."""
    while not condition():
        count = connection._requests.message_count
        client.writer.write(request_bytes())
        await wait_until(lambda: connection._requests.message_count > count and not connection._busy)  # noqa: B023


async def settled(gateway: RunningGateway, host: LoopbackPeer) -> None:
    """One connection to the host stands idle, and may be used."""
    assert (await gateway.request()).status == 200
    (idle,) = gateway.pool.idle_connections(host.endpoint_entry().endpoint.id)
    await wait_until(lambda: idle.is_settled(asyncio.get_running_loop().time()))
    await wait_until(lambda: not gateway.frontend.connections)


def after_connecting(monkeypatch: pytest.MonkeyPatch, then: Callable[[], object]) -> None:
    """Do something once a connection to a host is up, and before whoever waits for it has its turn."""
    loop = asyncio.get_running_loop()
    create_connection = loop.create_connection

    async def connected(*args: Any) -> Any:
        made = await create_connection(*args)
        then()
        return made

    monkeypatch.setattr(loop, "create_connection", connected)


def record_events(gateway: RunningGateway) -> list[Event]:
    """What the module is told from now on."""
    events: list[Event] = []
    handle = gateway.balancer.handle

    def recorded(event: Event, now_us: int) -> list[Action]:
        events.append(event)
        return handle(event, now_us)

    gateway.balancer.handle = recorded  # type: ignore[method-assign]
    return events


def outcomes(events: list[Event]) -> list[Outcome]:
    return [event.outcome for event in events if isinstance(event, AttemptEnded)]
