"""Endpoint lists of large fleets: the event loop runs while they are applied."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

import pytest

from http_gateway.net.config import load_config
from http_gateway.net.discovery import watch
from http_gateway.net.discovery.endpoint_directory import MAX_PIECE_ENTRIES
from http_gateway.net.discovery.endpoint_list import EndpointEntry, EndpointList
from http_gateway.net.http.messages import Message
from http_gateway.policy.endpoint import Endpoint
from http_gateway.service import GatewayService
from tests.support.discovery import (
    PUSHED_SETTINGS,
    WATCH_HEAD,
    accept_watch,
    chunk,
    list_document,
    running_client,
)
from tests.support.loopback import async_test, start_peers, wait_until
from tests.support.service import config_document, free_port, write_config

ENDPOINT_COUNT = 2000
CHANGE_COUNT = 1000


async def largest_step(counter: Callable[[], int], total: int) -> int:
    """Return the most by which a counter rises between two iterations of the event loop, up to a total."""
    largest = previous = 0
    while previous < total:
        await asyncio.sleep(0)
        largest, previous = max(largest, counter() - previous), counter()
    return largest


def change_lines() -> bytes:
    """Return lists of one change each, with revisions from 1."""
    members: list[dict[str, object]] = [
        {"id": f"s-{number}", "host_port": "127.0.0.1:9", "locality": "zone-a", "phase": "Ready"}
        for number in range(CHANGE_COUNT)
    ]
    return b"".join(
        list_document(revision, member, complete=False) for revision, member in enumerate(members, 1)
    )


@async_test
async def test_changes_that_have_waited_are_applied_in_small_batches() -> None:
    """Guards against requests that wait until all changes of a read of 256 KiB are applied."""
    async with (
        start_peers(accept_watch) as (service,),
        running_client(service, 1, PUSHED_SETTINGS) as (_, lists),
    ):
        await wait_until(lambda: service.requests)
        service.writers[0].write(chunk(change_lines()))
        assert await largest_step(lambda: len(lists), CHANGE_COUNT) <= MAX_PIECE_ENTRIES
        assert [received.revision for received in lists] == list(range(1, CHANGE_COUNT + 1))


@pytest.mark.parametrize("is_complete", [True, False])
@async_test
async def test_list_of_many_endpoints_is_applied_in_pieces(is_complete: bool, tmp_path: Path) -> None:
    """Guards against requests that wait until a list of the whole fleet is applied."""
    path = write_config(tmp_path, config_document(free_port()))
    service = GatewayService(load_config({"PROXY_CONFIG": str(path)}))
    entries = tuple(
        EndpointEntry(Endpoint(number), ("127.0.0.1", 1024 + number)) for number in range(ENDPOINT_COUNT)
    )
    update = asyncio.create_task(service._update_endpoints(EndpointList(42, is_complete, entries)))
    largest = await largest_step(lambda: len(service._dispatcher._balancer._endpoints), ENDPOINT_COUNT)
    await update
    assert largest <= MAX_PIECE_ENTRIES
    assert len(service._pool._endpoints) == ENDPOINT_COUNT


@async_test
async def test_watch_does_not_time_out_while_its_list_is_applied(monkeypatch: pytest.MonkeyPatch) -> None:
    """While the gateway does not read, the silence is its own."""
    monkeypatch.setattr(watch, "WATCH_IDLE_TIMEOUT_S", 0.1)
    async with (
        start_peers(accept_watch) as (service,),
        running_client(service, 1, PUSHED_SETTINGS, list_delay_s=0.3) as (_, lists),
    ):
        await wait_until(lambda: service.requests)
        service.writers[0].write(chunk(list_document(2)) + chunk(list_document(3)))
        await wait_until(lambda: lists)
        assert len(service.requests) == 1
        await wait_until(lambda: len(service.requests) == 2)  # the silence after the last list
        assert [received.revision for received in lists] == [2, 3]
        assert service.requests[1].target.endswith(b"from=3")


@async_test
async def test_lists_received_before_the_end_of_a_watch_are_applied_before_the_next_call() -> None:
    """Otherwise the next watch would bring changes that are older than some that wait."""

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(WATCH_HEAD)
        if len(service.requests) == 1:
            writer.write(chunk(change_lines()[:4000]) + b"0\r\n\r\n")

    async with (
        start_peers(script) as (service,),
        running_client(service, 1, PUSHED_SETTINGS, list_delay_s=0.01) as (_, lists),
    ):
        await wait_until(lambda: len(service.requests) == 2)
        assert len(lists) > 10
        assert service.requests[1].target.endswith(b"from=%d" % lists[-1].revision)
