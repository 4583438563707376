"""The watch: incremental lines, resumption, silence, bad lines."""

from __future__ import annotations

import asyncio
import itertools
import select
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

import orjson
import pytest

from http_gateway.net.discovery import client
from http_gateway.net.discovery.client import DiscoveryClient
from http_gateway.net.discovery.endpoint_list import EndpointList, endpoint_id, read_endpoint_list
from http_gateway.net.http.messages import Message
from http_gateway.policy.endpoint import EndpointState
from http_gateway.policy.settings import Settings
from http_gateway.policy.time_units import US_PER_MS, US_PER_S
from tests.support.loopback import (
    SETTINGS,
    LoopbackPeer,
    abort_with_reset,
    async_test,
    never_respond,
    start_peers,
    wait_until,
)

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(text: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(text), text)


async def send(writer: asyncio.StreamWriter, text: bytes) -> None:
    writer.write(text)
    await writer.drain()
    await asyncio.sleep(0)


def list_document(revision: int, *members: dict[str, object], complete: bool = True) -> bytes:
    return orjson.dumps({"revision": revision, "complete": complete, "members": members}) + b"\n"


@asynccontextmanager
async def watching(service: LoopbackPeer, revision: int = 0) -> AsyncIterator[list[EndpointList]]:
    lists: list[EndpointList] = []
    watch = DiscoveryClient(("127.0.0.1", service.port), revision, lists.append)
    watch.start()
    try:
        yield lists
    finally:
        watch.stop()


async def _says_nothing(request: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(HEAD)


@pytest.mark.parametrize("option", [0, orjson.OPT_INDENT_2])
@async_test
async def test_a_list_in_pieces_is_read_as_it_comes(option: int) -> None:
    """However it is laid out, and wherever it is cut: a bracket in a string is none."""
    async with start_peers(_says_nothing) as (service,), watching(service) as lists:
        await wait_until(lambda: service.requests)
        member = service.list_entry(id='s-"}\\', locality="{[")
        text = orjson.dumps({"revision": 41, "complete": True, "members": [member]}, option=option)
        text += b"\n\n" + orjson.dumps({"revision": 42, "members": []}, option=option) + b"\n"
        for place in range(len(text)):
            await send(service.writers[0], chunk(text[place : place + 1]))
        await wait_until(lambda: len(lists) > 1)
        assert [(told.revision, told.is_complete, len(told.entries)) for told in lists] == [
            (41, True, 1),
            (42, False, 0),
        ]
        assert lists[0].entries[0].endpoint.zone == "{["
        assert len(service.requests) == 1


@async_test
async def test_a_list_that_has_begun_is_not_waited_for_longer_than_silence(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The empty lines behind it show that the service lives, not that the list goes on."""
    monkeypatch.setattr(client, "SILENCE", 0.2)

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        if len(service.requests) > 1:
            writer.write(HEAD + chunk(list_document(42)))
            return
        writer.write(HEAD + chunk(list_document(42)[:20]))
        while not writer.is_closing():
            await send(writer, chunk(b"\n"))
            await asyncio.sleep(0.01)

    async with start_peers(script) as (service,), watching(service) as lists:
        await wait_until(lambda: lists)
        assert len(service.requests) == 2


@async_test
async def test_a_watch_that_ends_is_resumed_from_the_last_revision() -> None:
    async def ends(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD + chunk(list_document(43)) + b"0\r\n\r\n")

    async with start_peers(ends) as (service,), watching(service, 41):
        await wait_until(lambda: len(service.requests) > 1)
        assert service.requests[0].target == b"/discovery/hosts?watch=1&from=41"
        assert service.requests[1].target == b"/discovery/hosts?watch=1&from=43"


@pytest.mark.parametrize(
    "bad",
    [b"{]\n", b"nonsense\n", b"[]\n", b'{"revision":44,"members":[{"id":"s-1"}]}\n', b'{"revision":44}\n'],
)
@async_test
async def test_a_bad_line_begins_the_watch_anew(bad: bytes) -> None:
    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        second = len(service.requests) > 1
        writer.write(HEAD + (chunk(list_document(44)) if second else chunk(list_document(43)) + chunk(bad)))

    async with start_peers(script) as (service,), watching(service) as lists:
        await wait_until(lambda: len(lists) > 1)
        assert [told.revision for told in lists] == [43, 44]
        assert service.requests[1].target.endswith(b"from=43")


@async_test
async def test_a_silent_watch_is_dead(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client, "SILENCE", 0.1)
    async with start_peers(_says_nothing) as (service,), watching(service):
        await wait_until(lambda: len(service.requests) > 1)
        await wait_until(lambda: service.closed)


@async_test
async def test_empty_lines_keep_a_watch_alive(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client, "SILENCE", 5.0)

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD + chunk(b"\n") + chunk(list_document(42)))

    async with start_peers(script) as (service,), watching(service) as lists:
        await wait_until(lambda: lists)
        assert len(service.requests) == 1


@async_test
async def test_an_error_is_asked_again() -> None:
    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        if len(service.requests) == 1:
            writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        else:
            writer.write(HEAD + chunk(list_document(42)))

    async with start_peers(script) as (service,), watching(service) as lists:
        await wait_until(lambda: lists)


@async_test
async def test_a_fault_does_not_end_the_watching(monkeypatch: pytest.MonkeyPatch) -> None:
    class Faulty(client._Watching):
        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            super().connection_made(transport)
            if not faults:
                faults.append(1)
                self.over.set_exception(RuntimeError("a fault of this test"))

    faults: list[int] = []

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD + chunk(list_document(42)))

    monkeypatch.setattr(client, "_Watching", Faulty)
    async with start_peers(script) as (service,), watching(service) as lists:
        await wait_until(lambda: lists)
        assert faults


def test_an_entry_in_the_module_s_words() -> None:
    entry = {
        "id": "s-5be2a07c",
        "host_port": "127.1.0.18:9000",
        "locality": "a",
        "flavor": "m2",
        "cell": 3,
        "phase": "Ready",
        "size": 1.5,
        "up_since_ms": 1_700_000_000_123,
    }
    member = read_endpoint_list({"revision": 1, "complete": True, "members": [entry]}).entries[0]
    endpoint = member.endpoint
    assert member.address == ("127.1.0.18", 9000)
    assert (endpoint.zone, endpoint.machine_type, endpoint.deduplication_group, endpoint.weight) == (
        "a",
        "m2",
        3,
        1.5,
    )
    assert (endpoint.state, endpoint.started_at_us) == (EndpointState.READY, 1_700_000_000_123 * US_PER_MS)
    others = [entry | {"phase": phase} for phase in ("Terminating", "Gone", "Odd")]
    states = [member.endpoint.state for member in read_endpoint_list({"members": others}).entries]
    assert states == [EndpointState.DRAINING, EndpointState.REMOVED, EndpointState.DRAINING]


def test_an_id_has_the_same_number_everywhere() -> None:
    assert endpoint_id("s-5be2a07c") == 9587356208999800076
    assert endpoint_id("s-5be2a07c") != endpoint_id("s-5be2a07d")


def asked_by(callers: int) -> Settings:
    """The settings where one service answers all gateways that ask."""
    return replace(SETTINGS, gateway_count=callers, discovery_is_polled=True)


def turns(callers: int, now: float, rounds: int = 1) -> list[float]:
    """When each gateway of a fleet calls next, by the clock that all machines share."""
    source = client._Source(("127.0.0.1", 1), 0, shared=True, rounds=rounds)
    settings = (replace(asked_by(callers), gateway_index=rank) for rank in range(callers))
    fleet = [DiscoveryClient(("127.0.0.1", 1), 0, lambda _: None, its) for its in settings]
    return [now + watch._next_pause(source) for watch in fleet]


@pytest.mark.parametrize("now", [1_800_000_000.0, 1_800_000_003.21])
@pytest.mark.parametrize("callers", [3, 40, 230, 1024])
def test_all_gateways_have_a_turn_in_each_round_and_no_two_at_once(
    monkeypatch: pytest.MonkeyPatch, callers: int, now: float
) -> None:
    """What discovery has counts as told 6 s after it can be reached; called by all at once it answers nobody.

    On the bench it answered the calls of its whole fleet in 3 to 8 s, at 60 gateways as at 200.
    """
    monkeypatch.setattr("time.time", lambda: now)
    calls = sorted(turns(callers, now))
    assert calls[-1] < now + client.ROUND <= now + 5
    gaps = [after - before for before, after in itertools.pairwise(calls)]
    assert min(gaps) > 0.99 * client.ROUND / callers


def test_callers_that_are_refused_at_once_leave_the_service_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """It can't answer a round's calls: of several rounds each gateway calls in one."""
    monkeypatch.setattr("time.time", lambda: 1_800_000_000.0)
    calls = turns(230, 0.0, rounds=client.MOST_ROUNDS)
    begins = [round_ * client.ROUND for round_ in range(client.MOST_ROUNDS)]
    most = max(sum(begin <= call < begin + client.ROUND for call in calls) for begin in begins)
    assert most < 3 * 230 / client.MOST_ROUNDS


@async_test
async def test_only_refusals_at_once_tell_of_too_many_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    """While discovery is down a call waits in vain for long; once it is back, all are due in one round."""
    watch = DiscoveryClient(("127.0.0.1", 1), 0, lambda _: None, asked_by(230))
    rounds = []
    for waited in (2.0, 0.003, 0.003, 2.0):
        watch.turned_away(watch._source, waited)
        rounds.append(watch._source.rounds)
    assert rounds == [1, 2, 4, 4]
    watch.hear(list_document(42))
    assert watch._source.rounds == 1


@pytest.mark.parametrize("moves", [False, True])
@async_test
async def test_where_lists_are_asked_for_the_first_call_has_its_turn_too(
    monkeypatch: pytest.MonkeyPatch, moves: bool
) -> None:
    """All gateways are killed at once, or told of another discovery: all of them would call in one moment."""
    monkeypatch.setattr(client, "ROUND", 0.4)
    monkeypatch.setattr("time.time", lambda: 0.0)
    async with start_peers(_says_nothing) as (service,):
        loop = asyncio.get_running_loop()
        lists: list[EndpointList] = []
        watch = DiscoveryClient(
            ("127.0.0.1", service.port), 0, lists.append, replace(asked_by(4), gateway_index=3)
        )
        began = loop.time()
        watch.start() if not moves else watch.move_to(("127.0.0.1", service.port))
        await wait_until(lambda: service.requests)
        assert loop.time() - began >= 0.3 - 0.01
        watch.stop()


PUSHED = replace(SETTINGS, gateway_count=200, drain_grace_us=250 * US_PER_MS)


@async_test
async def test_where_lists_are_pushed_a_broken_watch_is_back_within_the_drain_s_grace() -> None:
    """The pause grew with the fleet, to 40 s at 200 gateways: hosts announced as leaving were sent to.

    The agent on this machine answers at once and at no cost, and what it has counts as told.
    """

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD + chunk(list_document(41 + len(service.requests))))
        if len(service.requests) == 1:
            abort_with_reset(writer)

    async with start_peers(script) as (service,):
        lists: list[EndpointList] = []
        watch = DiscoveryClient(("127.0.0.1", service.port), 41, lists.append, PUSHED)
        pauses: list[float] = []
        next_pause = watch._next_pause
        watch._next_pause = lambda source: pauses.append(next_pause(source)) or pauses[-1]  # type: ignore[method-assign,func-returns-value]
        watch.start()
        await wait_until(lambda: lists and lists[-1].revision == 43)
        watch.stop()
        assert sum(pauses) < PUSHED.drain_grace_us / US_PER_S / 2


@async_test
async def test_a_call_that_the_agent_leaves_unanswered_holds_up_no_other() -> None:
    """It may be back while that call stays silent; what it has by then counts as told at once."""

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        if len(service.requests) == 3:
            left_open.append(service.closed)
            writer.write(HEAD + chunk(list_document(42)))

    left_open: list[int] = []
    async with start_peers(script) as (service,):
        lists: list[EndpointList] = []
        watch = DiscoveryClient(("127.0.0.1", service.port), 41, lists.append, PUSHED)
        watch.start()
        await wait_until(lambda: lists)
        await wait_until(lambda: service.closed == 2)  # those that were not answered first
        watch.stop()
        assert left_open == [0]


@async_test
async def test_a_silent_agent_is_called_on_few_connections() -> None:
    async with start_peers(never_respond) as (service,):
        watch = DiscoveryClient(("127.0.0.1", service.port), 41, lambda _: None, PUSHED)
        watch.start()
        most = 0
        for count in range(3 * client.MOST_CALLS):
            await wait_until(lambda: len(service.requests) > count)  # noqa: B023
            most = max(most, service.connections - service.closed)
        watch.stop()
        await wait_until(lambda: service.connections == service.closed)
        assert most <= client.MOST_CALLS + 1  # the one that gave way may not be seen to close yet


@async_test
async def test_of_two_answers_to_two_calls_only_the_first_counts() -> None:
    """Both lie ready in one turn of the loop; the second is older than what the first has told."""
    async with start_peers(never_respond) as (service,):
        lists: list[EndpointList] = []
        watch = DiscoveryClient(("127.0.0.1", service.port), 41, lists.append, PUSHED)
        watch.start()
        await wait_until(lambda: len(service.requests) > 1)
        for writer, revision in zip(service.request_writers[:2][::-1], (43, 42), strict=True):
            writer.write(HEAD + chunk(list_document(revision)))
        await wait_until(lambda: lists and service.closed)
        for writer in service.request_writers[:2]:
            writer.write(chunk(list_document(44)))
        await wait_until(lambda: lists[-1].revision == 44)
        watch.stop()
        assert len({told.revision for told in lists}) == 2


@pytest.mark.parametrize("known", [41, 0])
@async_test
async def test_what_a_service_says_after_the_move_is_not_heard(known: int) -> None:
    """Its line lies ready as the watch moves; its revision would mean nothing to the new service."""
    async with start_peers(_says_nothing, _says_nothing) as (old, new):
        lists: list[EndpointList] = []
        watch = DiscoveryClient(("127.0.0.1", old.port), known, lists.append, PUSHED)
        watch.start()
        await wait_until(lambda: watch._source.watch)
        assert watch._source.watch is not None
        transport = watch._source.watch._transport
        assert transport is not None
        old.writers[0].write(chunk(list_document(57)))
        select.select([transport.get_extra_info("socket")], [], [])  # it is here, and not read
        watch.move_to(("127.0.0.1", new.port))
        await wait_until(lambda: new.requests and old.closed)
        assert new.requests[0].target.endswith(b"from=0")
        assert not lists
        new.writers[0].write(chunk(list_document(3)))
        await wait_until(lambda: lists)
        assert [told.revision for told in lists] == [3]
        watch.stop()


@async_test
async def test_two_moves_in_a_row_end_at_the_second_service() -> None:
    """The first is left before its connection is up, or as soon as it is."""
    async with start_peers(_says_nothing, _says_nothing, _says_nothing) as (old, between, new):
        lists: list[EndpointList] = []
        watch = DiscoveryClient(("127.0.0.1", old.port), 41, lists.append, PUSHED)
        watch.start()
        await wait_until(lambda: old.requests)
        watch.move_to(("127.0.0.1", between.port))
        watch.move_to(("127.0.0.1", old.port))
        watch.move_to(("127.0.0.1", between.port))
        await asyncio.sleep(0)  # it connects
        watch.move_to(("127.0.0.1", new.port))
        await wait_until(lambda: new.requests and old.closed)
        new.writers[0].write(chunk(list_document(3)))
        await wait_until(lambda: lists)
        await wait_until(lambda: between.connections == between.closed)
        assert not between.requests
        watch.stop()


@async_test
async def test_where_a_call_is_turned_away_the_calls_of_all_gateways_come_in_turns() -> None:
    """It is no agent of our own, but one service that is overbooked: haste would keep it so for good."""

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        if len(service.requests) == 1:
            writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        elif len(service.requests) == 2:
            writer.write(HEAD + chunk(list_document(42)))
            abort_with_reset(writer)
        else:
            writer.write(HEAD)

    async with start_peers(script) as (service,):
        lists: list[EndpointList] = []
        watch = DiscoveryClient(("127.0.0.1", service.port), 41, lists.append, PUSHED)
        asked: list[bool] = []
        watch._next_pause = lambda source: asked.append(source.shared) or 0.0  # type: ignore[method-assign,func-returns-value]
        watch.start()
        await wait_until(lambda: len(service.requests) == 3)
        watch.stop()
        assert watch.first_list_received.is_set()
        assert asked == [True, False]  # once it has answered, its agent's pace is right again
