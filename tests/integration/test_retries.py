"""Repeats of what must not run twice: they reach a host inside the time that their class allows, or not."""

from __future__ import annotations

import asyncio
import contextlib
import math
import os
import socket
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from http_gateway.net.http.messages import Message
from http_gateway.net.upstream import pool
from http_gateway.policy.events import Outcome
from http_gateway.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings
from http_gateway.policy.time_units import US_PER_MS
from tests.support.loopback import (
    READ,
    TEST_TIMEOUT_S,
    LoopbackClient,
    LoopbackPeer,
    RunningGateway,
    async_test,
    never_respond,
    request_bytes,
    reset_connection,
    respond_with,
    running_gateway,
    start_peers,
    wait_until,
)
from tests.support.upstream import HOST, PAGE, Sender

WINDOW = 300 * US_PER_MS
ADD = RequestClass(
    "chapter-add",
    400 * US_PER_MS,
    20_000 * US_PER_MS,
    Idempotency.IDEMPOTENCY_KEY,
    DeduplicationScope.GROUP,
    WINDOW,
)
ADD_ANYWHERE = replace(ADD, name="chapter-put", deduplication_scope=DeduplicationScope.ALL)
SETTINGS = Settings((ADD, ADD_ANYWHERE), max_attempts=5, hedging_allowed=True, cancellation_allowed=True)


POST = Message(b"POST", b"/chapter-add", headers=[(b"x-request-id", b"1")], body=b"text")


class HeldUp:
    """Connections to these hosts come up only once they may."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, *hosts: LoopbackPeer) -> None:
        self.may = asyncio.Event()
        self.waiting = 0
        loop = asyncio.get_running_loop()
        create_connection = loop.create_connection
        ports = {host.port for host in hosts}

        async def held_up(make: Callable[[], Any], host: str, port: int) -> Any:
            if port in ports:
                self.waiting += 1
                await self.may.wait()
            return await create_connection(make, host, port)

        monkeypatch.setattr(loop, "create_connection", held_up)


def prefer(gateway: RunningGateway, *hosts: LoopbackPeer) -> None:
    """Have the module try them in this order."""
    order = [host.endpoint_entry().endpoint.id for host in hosts]
    known = gateway.balancer._endpoints._endpoints

    def candidates(key: str | None) -> Any:
        return iter([known[server] for server in order if server in known])

    gateway.balancer._selector._candidates = candidates  # type: ignore[method-assign]
    for place, server in enumerate(order):
        known[server].load.latency_ratio = 1.0 + place
        known[server].load.latency_ratio_at_us = 2**62


async def ask(gateway: RunningGateway, kind: RequestClass) -> tuple[LoopbackClient, Message]:
    client = await gateway.connect()
    return client, await client.request(kind.name, {"Idempotency-Key": "5c0f"})


@pytest.mark.parametrize("kind", [ADD, ADD_ANYWHERE])
@async_test
async def test_a_repeat_whose_connection_comes_up_past_the_window_is_not_sent(
    monkeypatch: pytest.MonkeyPatch, kind: RequestClass
) -> None:
    """The repeat was decided on in time; its client has its answer as soon as it can't leave in time.

    That is no refusal, wherever the request may be repeated: it would come again past its window.
    """
    async with (
        start_peers(reset_connection, respond_with()) as (first, other),
        running_gateway(
            first.endpoint_entry(deduplication_group=1),
            other.endpoint_entry(deduplication_group=1),
            settings=SETTINGS,
            connect_timeout_s=TEST_TIMEOUT_S,
        ) as gateway,
    ):
        prefer(gateway, first, other)
        held_up = HeldUp(monkeypatch, other)
        began = time.monotonic()
        client, answer = await ask(gateway, kind)
        assert answer.status == 502
        assert held_up.waiting == 1
        assert WINDOW / 1e6 <= time.monotonic() - began < 5  # at once then, not at its deadline of 10 s
        held_up.may.set()
        await wait_until(lambda: not gateway.pool._connecting)
        await wait_until(lambda: other.closed == other.connections)
        assert [len(first.requests), len(other.requests)] == [1, 0]
        client.close()


@async_test
async def test_a_repeat_inside_the_window_is_sent_though_its_connection_comes_up_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    settings = replace(SETTINGS, classes=(replace(ADD, deduplication_window_us=60_000 * US_PER_MS),))
    async with (
        start_peers(reset_connection, respond_with()) as (first, other),
        running_gateway(
            first.endpoint_entry(deduplication_group=1),
            other.endpoint_entry(deduplication_group=1),
            settings=settings,
            connect_timeout_s=TEST_TIMEOUT_S,
        ) as gateway,
    ):
        prefer(gateway, first, other)
        held_up = HeldUp(monkeypatch, other)
        asyncio.get_running_loop().call_later(2 * WINDOW / 1e6, held_up.may.set)
        client, answer = await ask(gateway, ADD)
        assert answer.status == 200
        client.close()


@async_test
async def test_what_never_ran_moves_on_whenever_that_is_known(monkeypatch: pytest.MonkeyPatch) -> None:
    """The window runs from the first attempt that may have run; there is none."""

    async def turned_away_late(request: Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(2 * WINDOW / 1e6)
        await respond_with(503, X_Not_Run="1")(request, writer)

    settings = replace(SETTINGS, hedging_allowed=False)
    async with (
        start_peers(turned_away_late, respond_with()) as (first, other),
        running_gateway(
            first.endpoint_entry(deduplication_group=1),
            other.endpoint_entry(deduplication_group=2),
            settings=settings,
        ) as gateway,
    ):
        prefer(gateway, first, other)
        client, answer = await ask(gateway, ADD)
        assert answer.status == 200
        assert [len(first.requests), len(other.requests)] == [1, 1]
        client.close()


@async_test
async def test_a_first_attempt_that_comes_up_long_after_its_copy_is_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The copy beside it arrived first: the window runs from that one, and the late one is the repeat."""
    async with (
        start_peers(respond_with(), never_respond) as (first, other),
        running_gateway(
            first.endpoint_entry(deduplication_group=1),
            other.endpoint_entry(deduplication_group=1),
            settings=SETTINGS,
            connect_timeout_s=TEST_TIMEOUT_S,
        ) as gateway,
    ):
        prefer(gateway, first, other)
        gateway.balancer._latency._median_per_cost[ADD.name] = 10 * US_PER_MS
        held_up = HeldUp(monkeypatch, first)
        client = await gateway.connect()
        client.writer.write(request_bytes(ADD.name, {"Idempotency-Key": "5c0f"}))
        await wait_until(lambda: other.requests)
        (request,) = gateway.dispatcher._held
        await wait_until(lambda: gateway.dispatcher._held[request].sent[0].over)
        held_up.may.set()
        await wait_until(lambda: not gateway.pool._connecting)
        await wait_until(lambda: first.closed == first.connections)
        assert not first.requests
        client.close()


class Stuck:
    """A host that takes no byte until it is told to, with small buffers on both sides."""

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.listener.setblocking(False)
        self.sender = Sender(self.listener.getsockname()[1])
        self.near: socket.socket  # the gateway's end

    async def accept(self, size: int, leave_by: float) -> socket.socket:
        """Have a request of this size sent to it, of which only a part is taken."""
        loop = asyncio.get_running_loop()
        create_connection = loop.create_connection

        async def narrow(*args: Any) -> Any:
            transport, protocol = await create_connection(*args)
            self.near = transport.get_extra_info("socket")
            self.near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            return transport, protocol

        loop.create_connection = narrow  # type: ignore[method-assign, assignment]
        message = Message(b"POST", b"/chapter-add", headers=[(b"x-request-id", b"1")], body=bytes(size))
        self.sender.attempt = self.sender.pool.start_attempt(
            HOST, message, loop.time() + 30, self.sender._ended, last_byte_before_s=leave_by
        )
        host, _ = await loop.sock_accept(self.listener)
        return host

    @staticmethod
    async def all_of(host: socket.socket) -> bytes:
        text, loop = b"", asyncio.get_running_loop()
        try:
            while data := await loop.sock_recv(host, 65536):
                text += data
        except ConnectionError:
            pass
        return text


@async_test
async def test_a_request_that_is_taken_too_slowly_is_given_up_in_time() -> None:
    stuck = Stuck()
    loop = asyncio.get_running_loop()
    began = loop.time()
    host = await stuck.accept(1_000_000, began + 0.2)
    await wait_until(lambda: stuck.sender.ends)
    assert 0.2 <= loop.time() - began < 5
    assert stuck.sender.ends == [(Outcome.NOT_SENT, None)]
    assert len(await Stuck.all_of(host)) < 1_000_000


@async_test
async def test_the_last_byte_does_not_leave_late_though_the_loop_does() -> None:
    """The host reads on as the time runs out, and the loop learns of both in one turn, the reading first."""
    stuck = Stuck()
    loop = asyncio.get_running_loop()
    leave_by = loop.time() + 1.0
    host = await stuck.accept(20_000, leave_by)
    await wait_until(lambda: stuck.sender.pool.connection_count and not stuck.sender.pool._connecting)
    stuck.near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2**20)  # all that is left could leave at once
    host.settimeout(0.05)
    text = b""
    while loop.time() < leave_by + 0.1:  # the loop stands still, while the system's buffers empty
        try:
            text += host.recv(65536)
        except TimeoutError:
            time.sleep(0.01)
    host.setblocking(False)
    text += await Stuck.all_of(host)
    assert text
    assert len(text) < 20_000 + text.index(b"\r\n\r\n") + 4
    assert stuck.sender.ends == [(Outcome.NOT_SENT, None)]


@async_test
async def test_a_refusal_that_comes_twice_is_no_verdict_on_the_next_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It respond_with that nothing ran; by it, what must not run twice would be sent to another host."""
    monkeypatch.setattr(pool, "SETTLE_TIME", 0.0)

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        await respond_with(503, X_Not_Run="1")(request, writer) if writer is host.request_writers[0] else None
        await respond_with()(request, writer)  # behind a refusal that was told anew, it runs all the same

    async with start_peers(respond_with(503, X_Not_Run="1")) as (host,):
        sender = Sender(host.port)
        assert await sender.outcome(POST) is Outcome.REJECTED
        host.script = script
        assert await sender.outcome(POST) is Outcome.OK
        assert host.connections == 2


@async_test
async def test_connections_that_bore_refusals_do_not_pile_up() -> None:
    async with start_peers(respond_with(503, X_Not_Run="1")) as (host,):
        sender = Sender(host.port)
        for _ in range(5):
            assert await sender.outcome(POST) is Outcome.REJECTED
            assert len(sender.pool.idle_connections(HOST)) == 1
        assert host.connections == 5


@async_test
async def test_an_attempt_for_which_no_descriptor_is_left_ends_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its time to leave passes after that."""
    async with start_peers(respond_with()) as (host,):
        sender = Sender(host.port, max_connections=0)
        loop = asyncio.get_running_loop()
        leave_by = loop.time() + 0.05
        assert (
            sender.pool.start_attempt(
                HOST, POST, loop.time() + 30, sender._ended, last_byte_before_s=leave_by
            )
            is None
        )
        await asyncio.sleep(0.1)
        assert not sender.ends


@async_test
async def test_a_connection_that_bore_a_refusal_still_carries_what_is_safe() -> None:
    async with start_peers(respond_with(503, X_Not_Run="1")) as (host,):
        sender = Sender(host.port)
        assert [await sender.outcome(PAGE) for _ in range(3)] == [Outcome.REJECTED] * 3
        assert host.connections == 1


@async_test
async def test_an_attempt_is_at_its_end_before_another_leaves(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its host keeps its own end open: where no second copies are allowed, this would be one."""

    async def nonsense(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(b"what?\r\n\r\n")

    settings = Settings((READ,), max_attempts=5, cancellation_allowed=True)
    async with (
        start_peers(respond_with(), respond_with()) as hosts,
        running_gateway(*(host.endpoint_entry() for host in hosts), settings=settings) as gateway,
    ):
        while not all(host.requests for host in hosts):
            assert (await gateway.request()).status == 200
        for host in hosts:
            host.requests.clear()
            for idle in gateway.pool.idle_connections(host.endpoint_entry().endpoint.id):
                idle.idle_since = 0.0
        prefer(gateway, *hosts)
        hosts[0].script = nonsense
        carry, ended = pool.UpstreamConnection.carry, []

        def carried(connection: pool.UpstreamConnection, attempt: pool.UpstreamAttempt) -> None:
            other = socket.socket(fileno=os.dup(hosts[0].writers[0].get_extra_info("socket").fileno()))
            with other, contextlib.suppress(BlockingIOError):
                ended.append(other.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
            carry(connection, attempt)

        monkeypatch.setattr(pool.UpstreamConnection, "carry", carried)
        assert (await gateway.request()).status == 200
        assert [len(host.requests) for host in hosts] == [1, 1]
        assert ended == [b""]


@async_test
async def test_a_request_is_whole_only_with_its_last_byte() -> None:
    """Two writes, but no more: small ones are not held back by the system."""
    async with start_peers(respond_with()) as (host,):
        sender = Sender(host.port)
        assert await sender.outcome(POST) is Outcome.OK
        assert host.requests[0].body == POST.body


@async_test
async def test_the_last_byte_does_not_leave_for_a_client_that_has_left() -> None:
    """It left while the host took no more; nobody has told the gateway yet."""
    stuck = Stuck()
    host = await stuck.accept(20_000, math.inf)
    await wait_until(lambda: stuck.sender.attempt is not None and stuck.sender.attempt.connection)
    assert stuck.sender.attempt is not None
    assert not stuck.sender.attempt.is_written
    stuck.sender.attempt.wanted = lambda: False
    text = await Stuck.all_of(host)
    assert len(text) == text.index(b"\r\n\r\n") + 4 + 20_000 - 1
    assert stuck.sender.ends == [(Outcome.NOT_SENT, None)]
