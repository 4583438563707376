"""Connections to endpoints: events in an order that is forced on real connections."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Any

import pytest

from http_gateway.net.http.messages import Message
from http_gateway.net.upstream import pool
from http_gateway.policy.endpoint import EndpointState
from http_gateway.policy.events import AttemptEnded, Outcome
from tests.support.loopback import (
    async_test,
    endpoint_list,
    never_respond,
    request_bytes,
    respond_with,
    running_gateway,
    start_peers,
    wait_until,
)
from tests.support.races import (
    PAGE,
    after_connecting,
    answers,
    connect,
    record_events,
)
from tests.support.upstream import HOST, Sender


@async_test
async def test_what_can_t_be_sent_to_a_leaving_host_goes_to_none_that_leaves_with_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One list tells of both; whoever hears of the first only would try the second."""
    async with (
        start_peers(respond_with(), respond_with(), respond_with(), respond_with()) as hosts,
        running_gateway(*(host.endpoint_entry() for host in hosts)) as gateway,
    ):
        loop, create_connection = asyncio.get_running_loop(), asyncio.get_running_loop().create_connection
        may_connect = asyncio.Event()

        async def held_up(*args: Any) -> Any:
            await may_connect.wait()
            return await create_connection(*args)

        monkeypatch.setattr(loop, "create_connection", held_up)
        events = record_events(gateway)
        clients = [connect(gateway, request_bytes()) for _ in range(6)]
        await wait_until(lambda: gateway.dispatcher.unanswered_count == len(clients))
        leaving = [host.endpoint_entry(state=EndpointState.DRAINING) for host in hosts[:3]]
        gateway.dispatcher.update_endpoints(endpoint_list(*leaving, complete=False))
        ended = [event.request_id for event in events if isinstance(event, AttemptEnded)]
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
@async_test
async def test_a_connection_that_comes_up_after_its_attempt_was_given_up_carries_nothing(
    monkeypatch: pytest.MonkeyPatch, leaves: bool
) -> None:
    """Be it that its host drains in that moment, or that the request's time is up."""
    async with start_peers(respond_with()) as (host,), running_gateway(host.endpoint_entry()) as gateway:

        def then() -> None:
            monkeypatch.undo()
            if leaves:
                gateway.dispatcher.update_endpoints(
                    endpoint_list(host.endpoint_entry(state=EndpointState.DRAINING), complete=False)
                )
            else:
                gateway.dispatcher._held[1].deadline = 0
                gateway.dispatcher._expire(1)

        after_connecting(monkeypatch, then)
        client = connect(gateway, request_bytes("chapter-buy", {"Connection": "close"}))
        assert (await answers(client)).startswith(b"HTTP/1.1 503")
        await wait_until(lambda: host.closed == 1)
        assert not host.requests


@async_test
async def test_a_second_answer_that_comes_late_is_given_to_no_other_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An answer doesn't say which request it is for; it comes as the next request is on its way."""
    monkeypatch.setattr(pool, "SETTLE_TIME", 60.0)

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(PAGE)
        if len(host.requests) == 2:
            host.request_writers[0].write(PAGE.replace(b"page", b"late"))
            if writer is host.request_writers[0]:
                return
            await wait_until(lambda: host.closed)  # the gateway has read it and dropped the connection

    async with start_peers(script) as (host,), running_gateway(host.endpoint_entry()) as gateway:
        client = await gateway.connect()
        assert (await client.request()).body == b"page"
        assert (await client.request()).body == b"page"
        await wait_until(lambda: host.closed)
        assert host.connections == 2


@pytest.mark.parametrize("first", ["answer", "deadline"])
@async_test
async def test_an_answer_and_the_end_of_its_time_in_one_turn_make_one_answer(first: str) -> None:
    """The connection of an answer that came too late is not used again: it holds that answer."""
    async with start_peers(never_respond) as (host,), running_gateway(host.endpoint_entry()) as gateway:
        client = await gateway.connect()
        client.writer.write(request_bytes("chapter-buy"))
        await wait_until(lambda: host.requests)
        connection = gateway.dispatcher._held[1].sent[0].attempt
        assert connection is not None
        if first == "answer":
            assert connection.connection is not None
            connection.connection._answered(Message(status=200, body=b"page"), True)
        else:
            host.request_writers[0].write(PAGE)  # it lies ready, and is not read
        if 1 in gateway.dispatcher._held:
            gateway.dispatcher._held[1].deadline = 0
        gateway.dispatcher._expire(1)
        answer = await client.response()
        assert answer.status == (200 if first == "answer" else 502)
        host.script = respond_with(body=b"next")
        assert (await client.request()).body == b"next"
        gateway.frontend.stop_accepting()
        assert await client.read_until_closed() == b""


@async_test
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
        await wait_until(lambda: sender.ends)
        await sender.settle()
        (idle,) = sender.pool.idle_connections(HOST)
        host.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        host.close()
        idle.quiet = lambda: True  # type: ignore[method-assign]
        sender.start()
        await wait_until(lambda: len(sender.ends) == 2)
        assert sender.ends[-1][0] is Outcome.CONNECT_FAILED
