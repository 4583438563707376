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

from tests.helpers import KEYED as KEYED_BY
from tests.helpers import Driver
from tests.peers import (
    GENEROUS,
    READ,
    Client,
    Peer,
    Running,
    peers,
    request_text,
    resets,
    running,
    says,
    scenario,
    silent,
    until,
)
from whinrouter.interface import MS, Effect, Outcome, RequestClass, Scope, Server, Settings, Update
from whinrouter.net import upstream
from whinrouter.net.http import Message

from .test_upstream import HOST, PAGE, Sender

WINDOW = 300 * MS
ADD = RequestClass("chapter-add", 400 * MS, 20_000 * MS, Effect.KEYED, Scope.CELL, WINDOW)
ADD_ANYWHERE = replace(ADD, name="chapter-put", scope=Scope.ALL)
SETTINGS = Settings((ADD, ADD_ANYWHERE), max_attempts=5, may_hedge=True, may_cancel=True)


POST = Message(b"POST", b"/chapter-add", headers=[(b"x-request-id", b"1")], body=b"text")


class HeldUp:
    """Connections to these hosts come up only once they may."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, *hosts: Peer) -> None:
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


def prefer(proxy: Running, *hosts: Peer) -> None:
    """Have the module try them in this order."""
    order = [host.member().server.id for host in hosts]
    known = proxy.balancer._hosts

    def candidates(key: str | None) -> Any:
        return iter([known[server] for server in order if server in known])

    proxy.balancer._candidates = candidates  # type: ignore[method-assign]
    for place, server in enumerate(order):
        known[server].pace, known[server].paced_at = 1.0 + place, 2**62


async def ask(proxy: Running, kind: RequestClass) -> tuple[Client, Message]:
    client = await proxy.client()
    return client, await client.ask(kind.name, {"Idempotency-Key": "5c0f"})


@pytest.mark.parametrize("kind", [ADD, ADD_ANYWHERE])
@scenario
async def test_a_repeat_whose_connection_comes_up_past_the_window_is_not_sent(
    monkeypatch: pytest.MonkeyPatch, kind: RequestClass
) -> None:
    """The repeat was decided on in time; its client has its answer as soon as it can't leave in time.

    That is no refusal, wherever the request may be repeated: it would come again past its window.
    """
    async with (
        peers(resets, says()) as (first, other),
        running(
            first.member(cell=1), other.member(cell=1), settings=SETTINGS, connect_time=GENEROUS
        ) as proxy,
    ):
        prefer(proxy, first, other)
        held_up = HeldUp(monkeypatch, other)
        began = time.monotonic()
        client, answer = await ask(proxy, kind)
        assert answer.status == 502
        assert held_up.waiting == 1
        assert WINDOW / 1e6 <= time.monotonic() - began < 5  # at once then, not at its deadline of 10 s
        held_up.may.set()
        await until(lambda: not proxy.upstream._connecting)
        await until(lambda: other.closed == other.connections)
        assert [len(first.requests), len(other.requests)] == [1, 0]
        client.close()


@scenario
async def test_a_repeat_inside_the_window_is_sent_though_its_connection_comes_up_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    settings = replace(SETTINGS, classes=(replace(ADD, dedup_window=60_000 * MS),))
    async with (
        peers(resets, says()) as (first, other),
        running(
            first.member(cell=1), other.member(cell=1), settings=settings, connect_time=GENEROUS
        ) as proxy,
    ):
        prefer(proxy, first, other)
        held_up = HeldUp(monkeypatch, other)
        asyncio.get_running_loop().call_later(2 * WINDOW / 1e6, held_up.may.set)
        client, answer = await ask(proxy, ADD)
        assert answer.status == 200
        client.close()


@scenario
async def test_what_never_ran_moves_on_whenever_that_is_known(monkeypatch: pytest.MonkeyPatch) -> None:
    """The window runs from the first attempt that may have run; there is none."""

    async def turned_away_late(request: Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(2 * WINDOW / 1e6)
        await says(503, X_Not_Run="1")(request, writer)

    settings = replace(SETTINGS, may_hedge=False)
    async with (
        peers(turned_away_late, says()) as (first, other),
        running(first.member(cell=1), other.member(cell=2), settings=settings) as proxy,
    ):
        prefer(proxy, first, other)
        client, answer = await ask(proxy, ADD)
        assert answer.status == 200
        assert [len(first.requests), len(other.requests)] == [1, 1]
        client.close()


@scenario
async def test_a_first_attempt_that_comes_up_long_after_its_copy_is_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The copy beside it arrived first: the window runs from that one, and the late one is the repeat."""
    async with (
        peers(says(), silent) as (first, other),
        running(
            first.member(cell=1), other.member(cell=1), settings=SETTINGS, connect_time=GENEROUS
        ) as proxy,
    ):
        prefer(proxy, first, other)
        proxy.balancer._usual_time[ADD.name] = 10 * MS
        held_up = HeldUp(monkeypatch, first)
        client = await proxy.client()
        client.writer.write(request_text(ADD.name, {"Idempotency-Key": "5c0f"}))
        await until(lambda: other.requests)
        (request,) = proxy.gateway._held
        await until(lambda: proxy.gateway._held[request].sent[0].over)
        held_up.may.set()
        await until(lambda: not proxy.upstream._connecting)
        await until(lambda: first.closed == first.connections)
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
        self.sender.attempt = self.sender.upstream.send(
            HOST, message, loop.time() + 30, self.sender._ended, leave_by=leave_by
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


@scenario
async def test_a_request_that_is_taken_too_slowly_is_given_up_in_time() -> None:
    stuck = Stuck()
    loop = asyncio.get_running_loop()
    began = loop.time()
    host = await stuck.accept(1_000_000, began + 0.2)
    await until(lambda: stuck.sender.ends)
    assert 0.2 <= loop.time() - began < 5
    assert stuck.sender.ends == [(Outcome.NOT_SENT, None)]
    assert len(await Stuck.all_of(host)) < 1_000_000


@scenario
async def test_the_last_byte_does_not_leave_late_though_the_loop_does() -> None:
    """The host reads on as the time runs out, and the loop learns of both in one turn, the reading first."""
    stuck = Stuck()
    loop = asyncio.get_running_loop()
    leave_by = loop.time() + 1.0
    host = await stuck.accept(20_000, leave_by)
    await until(lambda: stuck.sender.upstream.connections and not stuck.sender.upstream._connecting)
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


@scenario
async def test_a_refusal_that_comes_twice_is_no_verdict_on_the_next_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It says that nothing ran; by it, what must not run twice would be sent to another host."""
    monkeypatch.setattr(upstream, "SETTLE_TIME", 0.0)

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        await says(503, X_Not_Run="1")(request, writer) if writer is host.askers[0] else None
        await says()(request, writer)  # behind a refusal that was told anew, it runs all the same

    async with peers(says(503, X_Not_Run="1")) as (host,):
        sender = Sender(host.port)
        assert await sender.outcome(POST) is Outcome.REJECTED
        host.script = script
        assert await sender.outcome(POST) is Outcome.OK
        assert host.connections == 2


@scenario
async def test_connections_that_bore_refusals_do_not_pile_up() -> None:
    async with peers(says(503, X_Not_Run="1")) as (host,):
        sender = Sender(host.port)
        for _ in range(5):
            assert await sender.outcome(POST) is Outcome.REJECTED
            assert len(sender.upstream._hosts[HOST].idle) == 1
        assert host.connections == 5


@scenario
async def test_an_attempt_for_which_no_descriptor_is_left_ends_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its time to leave passes after that."""
    async with peers(says()) as (host,):
        sender = Sender(host.port, limit=0)
        loop = asyncio.get_running_loop()
        leave_by = loop.time() + 0.05
        assert sender.upstream.send(HOST, POST, loop.time() + 30, sender._ended, leave_by=leave_by) is None
        await asyncio.sleep(0.1)
        assert not sender.ends


@scenario
async def test_a_connection_that_bore_a_refusal_still_carries_what_is_safe() -> None:
    async with peers(says(503, X_Not_Run="1")) as (host,):
        sender = Sender(host.port)
        assert [await sender.outcome(PAGE) for _ in range(3)] == [Outcome.REJECTED] * 3
        assert host.connections == 1


@scenario
async def test_an_attempt_is_at_its_end_before_another_leaves(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its host keeps its own end open: where no second copies are allowed, this would be one."""

    async def nonsense(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(b"what?\r\n\r\n")

    settings = Settings((READ,), max_attempts=5, may_cancel=True)
    async with (
        peers(says(), says()) as hosts,
        running(*(host.member() for host in hosts), settings=settings) as proxy,
    ):
        while not all(host.requests for host in hosts):
            assert (await proxy.ask()).status == 200
        for host in hosts:
            host.requests.clear()
            for idle in proxy.upstream._hosts[host.member().server.id].idle:
                idle.idle_since = 0.0
        prefer(proxy, *hosts)
        hosts[0].script = nonsense
        carry, ended = upstream._Connection.carry, []

        def carried(connection: upstream._Connection, attempt: upstream.Attempt) -> None:
            other = socket.socket(fileno=os.dup(hosts[0].writers[0].get_extra_info("socket").fileno()))
            with other, contextlib.suppress(BlockingIOError):
                ended.append(other.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
            carry(connection, attempt)

        monkeypatch.setattr(upstream._Connection, "carry", carried)
        assert (await proxy.ask()).status == 200
        assert [len(host.requests) for host in hosts] == [1, 1]
        assert ended == [b""]


@scenario
async def test_a_request_is_whole_only_with_its_last_byte() -> None:
    """Two writes, but no more: small ones are not held back by the system."""
    async with peers(says()) as (host,):
        sender = Sender(host.port)
        assert await sender.outcome(POST) is Outcome.OK
        assert host.requests[0].body == POST.body


@scenario
async def test_the_last_byte_does_not_leave_for_a_client_that_has_left() -> None:
    """It left while the host took no more; nobody has told the gateway yet."""
    stuck = Stuck()
    host = await stuck.accept(20_000, math.inf)
    await until(lambda: stuck.sender.attempt is not None and stuck.sender.attempt.connection)
    assert stuck.sender.attempt is not None
    assert not stuck.sender.attempt.written
    stuck.sender.attempt.wanted = lambda: False
    text = await Stuck.all_of(host)
    assert len(text) == text.index(b"\r\n\r\n") + 4 + 20_000 - 1
    assert stuck.sender.ends == [(Outcome.NOT_SENT, None)]


# What the module allows


def first_and_repeat(driver: Driver, kind: RequestClass) -> list[int]:
    """Ask, lose the first answer, and tell where it was sent."""
    request = driver.ask(kind)
    driver.end(driver.out(request)[0], Outcome.RESET)
    return [sent.server for sent in driver.attempts(request)]


def test_a_repeat_bears_the_moment_by_which_it_has_to_leave() -> None:
    driver = Driver(count=8)
    request = driver.ask(KEYED_BY[Scope.ALL])
    assert driver.attempts(request)[0].last_byte == 0
    began, driver.now = driver.now, driver.now + 150 * MS
    driver.end(driver.out(request)[0], Outcome.RESET)
    assert driver.attempts(request)[1].last_byte == began + KEYED_BY[Scope.ALL].dedup_window


@pytest.mark.parametrize(("late", "answer"), [(False, "refused"), (True, "failed")])
def test_a_request_that_may_have_run_is_refused_inside_its_window_only(late: bool, answer: str) -> None:
    """Who is refused comes again; past the window that would run a second time."""
    driver = Driver(count=1)
    request = driver.ask(KEYED_BY[Scope.ALL])
    driver.now += KEYED_BY[Scope.ALL].dedup_window - (0 if late else 1)
    driver.end(driver.out(request)[0], Outcome.RESET)
    assert driver.answers[request] == [answer]


def test_what_never_ran_and_what_is_safe_bear_none() -> None:
    driver = Driver(count=8)
    moved = driver.ask(KEYED_BY[Scope.CELL])
    driver.end(driver.out(moved)[0], Outcome.REJECTED)
    safe = driver.ask()
    driver.end(driver.out(safe)[0], Outcome.RESET)
    assert [sent.last_byte for sent in driver.attempts(moved) + driver.attempts(safe)] == [0, 0, 0, 0]


@pytest.mark.parametrize(("scope", "field"), [(Scope.ZONE, "zone"), (Scope.CELL, "cell")])
def test_a_repeat_keeps_to_its_group_as_it_was_and_as_it_is(scope: Scope, field: str) -> None:
    """Its host has moved since: whether the old group or the new one remembers, nobody tells."""
    driver = Driver(count=0)
    group: dict[str, Any] = {"zone": "a", "cell": 1}
    driver.list_servers([Server(number, **group) for number in (1, 2)])
    request = driver.ask(KEYED_BY[scope])
    (sent,) = driver.out(request)
    moved = Server(sent.server, **{**group, field: "b" if field == "zone" else 2})
    driver.list_servers([moved], Update.CHANGES)
    driver.end(sent, Outcome.RESET)
    assert driver.answers[request] == ["failed"]


@pytest.mark.parametrize(("scope", "unknown"), [(Scope.ZONE, {"zone": ""}), (Scope.CELL, {"cell": None})])
def test_hosts_of_unknown_groups_are_not_taken_for_one_group(scope: Scope, unknown: dict[str, Any]) -> None:
    driver = Driver(count=0)
    driver.list_servers([Server(number, **{"zone": "a", "cell": 1, **unknown}) for number in (1, 2)])
    assert len(first_and_repeat(driver, KEYED_BY[scope])) == 1
