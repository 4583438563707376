"""Tests for a discovery watch: its stream of lists, resumption, timeouts and malformed lists."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import orjson
import pytest

from http_gateway.net.discovery import session, watch
from http_gateway.net.discovery.poll_schedule import MAX_RETRY_DELAY_S, RETRY_DELAY_FRACTION
from http_gateway.net.discovery.watch import DiscoveryWatch
from http_gateway.net.http.messages import Message
from http_gateway.policy.time_units import US_PER_S
from tests.support.discovery import (
    REJECTION,
    WATCH_HEAD,
    accept_watch,
    chunk,
    list_document,
    received_lists,
    send,
)
from tests.support.loopback import SETTINGS, async_test, start_peers, wait_until


class InjectedFaultError(Exception):
    """Exception that a test injects."""


@pytest.mark.parametrize("option", [0, orjson.OPT_INDENT_2])
@async_test
async def test_list_sent_in_chunks_is_read_as_soon_as_it_is_complete(option: int) -> None:
    """Neither whitespace, nor the sizes of the chunks, nor brackets in strings affect the split."""
    async with start_peers(accept_watch) as (service,), received_lists(service) as lists:
        await wait_until(lambda: service.requests)
        member = service.list_entry(id='s-"}\\', locality="{[")
        stream = orjson.dumps({"revision": 41, "complete": True, "members": [member]}, option=option)
        stream += b"\n\n" + orjson.dumps({"revision": 42, "members": []}, option=option) + b"\n"
        for index in range(len(stream)):
            await send(service.writers[0], chunk(stream[index : index + 1]))
        await wait_until(lambda: len(lists) > 1)
        assert [(received.revision, received.is_complete, len(received.entries)) for received in lists] == [
            (41, True, 1),
            (42, False, 0),
        ]
        assert lists[0].entries[0].endpoint.zone == "{["
        assert len(service.requests) == 1


@async_test
async def test_incomplete_list_ends_the_watch_at_the_idle_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """Empty lines show that the service is alive, but not that it will send the rest of the list."""
    monkeypatch.setattr(watch, "WATCH_IDLE_TIMEOUT_S", 0.2)

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        if len(service.requests) > 1:
            writer.write(WATCH_HEAD + chunk(list_document(42)))
            return
        writer.write(WATCH_HEAD + chunk(list_document(42)[:20]))
        while not writer.is_closing():
            await send(writer, chunk(b"\n"))
            await asyncio.sleep(0.01)

    # Another call follows an unanswered one only after this delay, also on a busy machine.
    settings = replace(SETTINGS, drain_grace_us=round(MAX_RETRY_DELAY_S / RETRY_DELAY_FRACTION * US_PER_S))
    async with start_peers(script) as (service,), received_lists(service, settings=settings) as lists:
        await wait_until(lambda: lists)
        assert len(service.requests) == 2


@async_test
async def test_ended_watch_is_resumed_from_the_last_revision() -> None:
    async def end_watch(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(WATCH_HEAD + chunk(list_document(43)) + b"0\r\n\r\n")

    async with start_peers(end_watch) as (service,), received_lists(service, 41):
        await wait_until(lambda: len(service.requests) > 1)
        assert service.requests[0].target == b"/discovery/hosts?watch=1&from=41"
        assert service.requests[1].target == b"/discovery/hosts?watch=1&from=43"


@pytest.mark.parametrize(
    "line",
    [b"{]\n", b"nonsense\n", b"[]\n", b'{"revision":44,"members":[{"id":"s-1"}]}\n', b'{"revision":44}\n'],
)
@async_test
async def test_malformed_list_ends_the_watch_and_a_new_watch_resumes(line: bytes) -> None:
    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        if len(service.requests) > 1:
            writer.write(WATCH_HEAD + chunk(list_document(44)))
        else:
            writer.write(WATCH_HEAD + chunk(list_document(43)) + chunk(line))

    async with start_peers(script) as (service,), received_lists(service) as lists:
        await wait_until(lambda: len(lists) > 1)
        assert [received.revision for received in lists] == [43, 44]
        assert service.requests[1].target.endswith(b"from=43")


@async_test
async def test_idle_watch_is_closed_and_reopened(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch, "WATCH_IDLE_TIMEOUT_S", 0.1)
    async with start_peers(accept_watch) as (service,), received_lists(service):
        await wait_until(lambda: len(service.requests) > 1)
        await wait_until(lambda: service.closed_count)


@async_test
async def test_empty_lines_keep_the_watch_open(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch, "WATCH_IDLE_TIMEOUT_S", 5.0)

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(WATCH_HEAD + chunk(b"\n") + chunk(list_document(42)))

    async with start_peers(script) as (service,), received_lists(service) as lists:
        await wait_until(lambda: lists)
        assert len(service.requests) == 1


@async_test
async def test_client_calls_again_after_an_error_response() -> None:
    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        if len(service.requests) == 1:
            writer.write(REJECTION)
        else:
            writer.write(WATCH_HEAD + chunk(list_document(42)))

    async with start_peers(script) as (service,), received_lists(service) as lists:
        await wait_until(lambda: lists)


@async_test
async def test_unexpected_exception_does_not_stop_the_client(monkeypatch: pytest.MonkeyPatch) -> None:
    class FaultyWatch(DiscoveryWatch):
        """A watch that fails on its first connection."""

        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            super().connection_made(transport)
            if not faults:
                faults.append(1)
                self.ended.set_exception(InjectedFaultError)

    faults: list[int] = []

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(WATCH_HEAD + chunk(list_document(42)))

    monkeypatch.setattr(session, "DiscoveryWatch", FaultyWatch)
    async with start_peers(script) as (service,), received_lists(service) as lists:
        await wait_until(lambda: lists)
        assert faults
