"""Bad orders of events, each forced on real connections: what comes between two lines of the code."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections.abc import Callable
from typing import Any

import pytest

from tests.peers import (
    Client,
    Peer,
    Running,
    listing,
    peers,
    request_text,
    running,
    says,
    scenario,
    silent,
    until,
)
from tests.test_gateway import outcomes, record
from tests.test_upstream import HOST, Sender
from whinrouter.interface import SECOND, Action, AttemptEnded, Event, Outcome, State
from whinrouter.net import upstream
from whinrouter.net.frontend import _Client
from whinrouter.net.http import Message

PAGE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npage"


def connect(proxy: Running, text: bytes = b"") -> socket.socket:
    """A client outside the loop: what it does has happened before the gateway can take a turn."""
    client = socket.create_connection(("127.0.0.1", proxy.port))
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


async def only(proxy: Running) -> _Client:
    """The gateway's end of the only client's connection."""
    await until(lambda: len(proxy.frontend.connections) == 1)
    (connection,) = proxy.frontend.connections
    return connection


async def ask_until(condition: Callable[[], object], client: Client, connection: _Client) -> None:
    """Ask again and again: each request has its answer, read or not, before the next."""
    while not condition():
        count = connection._requests.count
        client.writer.write(request_text())
        await until(lambda: connection._requests.count > count and not connection._busy)  # noqa: B023


async def settled(proxy: Running, host: Peer) -> None:
    """One connection to the host stands idle, and may be used."""
    assert (await proxy.ask()).status == 200
    (idle,) = proxy.upstream._hosts[host.member().server.id].idle
    await until(lambda: asyncio.get_running_loop().time() - idle.idle_since > upstream.SETTLE_TIME)
    await until(lambda: not proxy.frontend.connections)


def after_connecting(monkeypatch: pytest.MonkeyPatch, then: Callable[[], object]) -> None:
    """Do something once a connection to a host is up, and before whoever waits for it has its turn."""
    loop = asyncio.get_running_loop()
    create_connection = loop.create_connection

    async def connected(*args: Any) -> Any:
        made = await create_connection(*args)
        then()
        return made

    monkeypatch.setattr(loop, "create_connection", connected)


# A client that has left


@scenario
async def test_a_request_whose_client_left_before_it_was_read_is_not_sent_on() -> None:
    async with peers(says()) as (host,), running(host.member()) as proxy:
        await settled(proxy, host)
        connect(proxy, request_text(headers={"X-Request-Id": "left"})).close()
        await until(lambda: proxy.gateway._last == 2 and not proxy.gateway._held)
        assert (await proxy.ask()).status == 200
        assert [request.get(b"x-request-id") == "left" for request in host.requests] == [False, False]
        assert host.connections == 1  # the one that was meant for it is as good as before


@scenario
async def test_a_request_whose_client_left_as_its_connection_came_up_is_not_sent_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with peers(says()) as (host,), running(host.member()) as proxy:
        client = connect(proxy, request_text())
        after_connecting(monkeypatch, client.close)
        await until(lambda: proxy.gateway._last == 1 and not proxy.gateway._held)
        monkeypatch.undo()
        events = record(proxy)
        await until(lambda: not proxy.frontend.connections)
        assert (await proxy.ask()).status == 200
        assert len(host.requests) == 1
        assert outcomes(events) == [Outcome.OK]


@scenario
async def test_a_request_whose_client_left_as_its_attempt_failed_is_not_sent_again() -> None:
    """A connection stands ready at each host: the next attempt would leave at once."""
    async with peers(says(), says()) as hosts, running(*(host.member() for host in hosts)) as proxy:
        while not all(host.requests for host in hosts):
            assert (await proxy.ask()).status == 200
        for host in hosts:
            host.script = says(500)
            host.requests.clear()
            for idle in proxy.upstream._hosts[host.member().server.id].idle:
                idle.idle_since = 0.0
        await until(lambda: not proxy.frontend.connections)
        asked = proxy.gateway._last
        client = connect(proxy, request_text())
        handle = proxy.balancer.handle

        def leaves(event: Event, now: int) -> list[Action]:
            if isinstance(event, AttemptEnded):
                client.close()
            return handle(event, now)

        proxy.balancer.handle = leaves  # type: ignore[method-assign]
        await until(lambda: proxy.gateway._last > asked and not proxy.gateway._held)
        await until(lambda: not proxy.frontend.connections)
        assert sum(len(host.requests) for host in hosts) == 1


@scenario
async def test_a_request_behind_answers_that_nobody_reads_is_dropped_as_its_client_leaves() -> None:
    """The connection stays for those answers; once they are taken the request would be sent on."""
    async with peers(says(body=bytes(60_000))) as (host,), running(host.member()) as proxy:
        client = await proxy.client()
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        connection = await only(proxy)
        await ask_until(lambda: connection._unread, client, connection)
        count = len(host.requests)
        client.writer.write(request_text())
        await until(lambda: connection._queued)
        client.writer.write_eof()
        await until(lambda: connection._transport is not None and connection._transport.is_closing())
        client.writer.transport.resume_reading()  # type: ignore[attr-defined]
        await client.rest()
        await until(lambda: not proxy.frontend.connections)
        assert len(host.requests) == count


@scenario
async def test_a_request_in_work_is_called_off_though_its_client_left_answers_unread() -> None:
    async with peers(says(body=bytes(60_000))) as (host,), running(host.member()) as proxy:
        client = await proxy.client()
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        connection = await only(proxy)
        assert connection._transport is not None
        connection._transport.set_write_buffer_limits(high=2**30)
        await ask_until(lambda: connection.owed, client, connection)
        host.script = silent
        client.writer.write(request_text())
        await until(lambda: proxy.gateway.holds)
        events = record(proxy)
        client.writer.write_eof()
        await until(lambda: not proxy.gateway._held)
        assert outcomes(events) == [Outcome.CANCELLED]  # not left to its deadline
        client.close()


@scenario
async def test_a_client_that_left_and_reads_nothing_does_not_keep_its_connection() -> None:
    async with peers(says(body=bytes(60_000))) as (host,), running(host.member()) as proxy:
        client = await proxy.client()
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        connection = await only(proxy)
        await ask_until(lambda: connection._unread, client, connection)
        client.writer.write_eof()
        await until(lambda: not proxy.frontend.connections)
        client.close()


# Hosts that leave, and connections to hosts


@scenario
async def test_what_can_t_be_sent_to_a_leaving_host_goes_to_none_that_leaves_with_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One list tells of both; whoever hears of the first only would try the second."""
    async with (
        peers(says(), says(), says(), says()) as hosts,
        running(*(host.member() for host in hosts)) as proxy,
    ):
        loop, create_connection = asyncio.get_running_loop(), asyncio.get_running_loop().create_connection
        may_connect = asyncio.Event()

        async def held_up(*args: Any) -> Any:
            await may_connect.wait()
            return await create_connection(*args)

        monkeypatch.setattr(loop, "create_connection", held_up)
        events = record(proxy)
        clients = [connect(proxy, request_text()) for _ in range(6)]
        await until(lambda: proxy.gateway.holds == len(clients))
        leaving = [host.member(state=State.DRAINING) for host in hosts[:3]]
        proxy.gateway.list_hosts(listing(*leaving, complete=False))
        ended = [event.request for event in events if isinstance(event, AttemptEnded)]
        assert ended
        assert len(ended) == len(set(ended))  # none was given up twice
        may_connect.set()
        for client in clients:
            assert (await asyncio.get_running_loop().sock_recv(_nonblocking(client), 12)) == b"HTTP/1.1 200"
            client.close()
        assert not any(host.requests for host in hosts[:3])


def _nonblocking(client: socket.socket) -> socket.socket:
    client.setblocking(False)
    return client


@pytest.mark.parametrize("leaves", [True, False])
@scenario
async def test_a_connection_that_comes_up_after_its_attempt_was_given_up_carries_nothing(
    monkeypatch: pytest.MonkeyPatch, leaves: bool
) -> None:
    """Be it that its host drains in that moment, or that the request's time is up."""
    async with peers(says()) as (host,), running(host.member()) as proxy:

        def then() -> None:
            monkeypatch.undo()
            if leaves:
                proxy.gateway.list_hosts(listing(host.member(state=State.DRAINING), complete=False))
            else:
                proxy.gateway._held[1].deadline = 0
                proxy.gateway._expire(1)

        after_connecting(monkeypatch, then)
        client = connect(proxy, request_text("chapter-buy", {"Connection": "close"}))
        assert (await answers(client)).startswith(b"HTTP/1.1 503")
        await until(lambda: host.closed == 1)
        assert not host.requests


@scenario
async def test_a_second_answer_that_comes_late_is_given_to_no_other_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An answer doesn't say which request it is for; it comes as the next request is on its way."""
    monkeypatch.setattr(upstream, "SETTLE_TIME", 60.0)

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(PAGE)
        if len(host.requests) == 2:
            host.askers[0].write(PAGE.replace(b"page", b"late"))
            if writer is host.askers[0]:
                return
            await until(lambda: host.closed)  # the gateway has read it and dropped the connection

    async with peers(script) as (host,), running(host.member()) as proxy:
        client = await proxy.client()
        assert (await client.ask()).body == b"page"
        assert (await client.ask()).body == b"page"
        await until(lambda: host.closed)
        assert host.connections == 2


@pytest.mark.parametrize("first", ["answer", "deadline"])
@scenario
async def test_an_answer_and_the_end_of_its_time_in_one_turn_make_one_answer(first: str) -> None:
    """The connection of an answer that came too late is not used again: it holds that answer."""
    async with peers(silent) as (host,), running(host.member()) as proxy:
        client = await proxy.client()
        client.writer.write(request_text("chapter-buy"))
        await until(lambda: host.requests)
        connection = proxy.gateway._held[1].sent[0].attempt
        assert connection is not None
        if first == "answer":
            assert connection.connection is not None
            connection.connection._answered(Message(status=200, body=b"page"), True)
        else:
            host.askers[0].write(PAGE)  # it lies ready, and is not read
        if 1 in proxy.gateway._held:
            proxy.gateway._held[1].deadline = 0
        proxy.gateway._expire(1)
        answer = await client.answer()
        assert answer.status == (200 if first == "answer" else 502)
        host.script = says(body=b"next")
        assert (await client.ask()).body == b"next"
        proxy.frontend.close()
        assert await client.rest() == b""


# The end of the program, and of client connections


@scenario
async def test_what_waits_in_the_backlog_at_the_end_is_answered() -> None:
    """The system has accepted it for us, and would reset it with the listener."""
    async with peers(says()) as (host,), running(host.member()) as proxy:
        proxy.frontend.ends = asyncio.get_running_loop().time() + 60
        clients = [connect(proxy, request_text()) for _ in range(40)]
        await asyncio.sleep(0)  # some are accepted, but not known to us yet
        await proxy.frontend.empty_backlog()
        proxy.frontend.close()
        for client in clients:
            # Refused or served: what a host that is new to us may get is no matter here.
            assert (await answers(client)).startswith(b"HTTP/1.1 ")


@scenario
async def test_a_request_that_crosses_the_end_of_its_idle_connection_is_answered() -> None:
    async with peers(says()) as (host,), running(host.member()) as proxy:
        client = connect(proxy, request_text())
        await until(lambda: len(host.requests) == 1 and not proxy.gateway._held)
        client.sendall(request_text())
        proxy.frontend.ends = asyncio.get_running_loop().time() + 60
        proxy.frontend.close()
        assert (await answers(client)).count(b"HTTP/1.1 200") == 2


@scenario
async def test_requests_behind_the_one_in_work_at_the_end_are_answered() -> None:
    """One is queued, and one has come but is not read as the others are answered."""
    async with peers(silent) as (host,), running(host.member()) as proxy:
        client = connect(proxy, request_text() + request_text())
        await until(lambda: host.requests)
        connection = await only(proxy)
        assert connection._transport is not None
        connection._transport.pause_reading()
        client.sendall(request_text())
        await until(lambda: connection.has_unread)
        proxy.frontend.ends = asyncio.get_running_loop().time() + 60
        proxy.frontend.close()
        host.script = says()
        host.askers[0].write(PAGE)
        await until(lambda: len(host.requests) == 2 and not proxy.gateway._held)
        connection._transport.resume_reading()
        text = await answers(client)
        assert text.count(b"HTTP/1.1 200") == 3
        assert text.count(b"connection: close") == 1


@scenario
async def test_a_request_that_comes_at_the_end_has_its_answer_before_it() -> None:
    async with peers(silent) as (host,), running(host.member()) as proxy:
        proxy.frontend.ends = asyncio.get_running_loop().time() + 5
        client = connect(proxy, request_text(headers={"X-Deadline": ""}))
        await until(lambda: proxy.gateway._held)
        assert proxy.gateway._held[1].deadline <= time.time_ns() // 1000 + 5 * SECOND
        client.close()


@pytest.mark.parametrize("limit", [2, 4])
@scenario
async def test_a_connection_with_a_request_unread_makes_no_room_for_another(limit: int) -> None:
    """At the limit, or at the part of it from which on idle ones make room."""
    async with peers(says()) as (host,), running(host.member(), limit=limit) as proxy:
        client = await proxy.client()
        assert (await client.ask()).status == 200
        connection = await only(proxy)
        assert connection._transport is not None
        connection._transport.pause_reading()
        client.writer.write(request_text())
        await until(lambda: connection.has_unread)
        others: list[Client] = []
        for _ in range(limit):
            others.append(await proxy.client())
            assert (await others[-1].ask()).status == 200
        connection._transport.resume_reading()
        assert (await client.answer()).status == 200


@scenario
async def test_a_request_that_crosses_the_end_of_its_connection_s_time_is_answered() -> None:
    async with peers(says()) as (host,), running(host.member()) as proxy:
        client = await proxy.client()
        assert (await client.ask()).status == 200
        connection = await only(proxy)
        assert connection._transport is not None
        connection._transport.pause_reading()
        client.writer.write(request_text())
        await until(lambda: connection.has_unread)
        connection.run_out()
        connection._transport.resume_reading()
        assert (await client.answer()).status == 200


@scenario
async def test_a_host_that_breaks_as_a_request_is_written_never_had_it() -> None:
    """The reset comes between the look at an idle connection and the write: not one byte leaves."""
    loop = asyncio.get_running_loop()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setblocking(False)
        sender = Sender(listener.getsockname()[1])
        sender.start()
        host, _ = await loop.sock_accept(listener)
        await loop.sock_recv(host, 65536)
        host.send(PAGE)
        await until(lambda: sender.ends)
        await sender.settle()
        (idle,) = sender.upstream._hosts[HOST].idle
        host.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        host.close()
        idle.quiet = lambda: True  # type: ignore[method-assign]
        sender.start()
        await until(lambda: len(sender.ends) == 2)
        assert sender.ends[-1][0] is Outcome.CONNECT_FAILED
