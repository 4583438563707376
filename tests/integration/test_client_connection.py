"""Tests of readiness, 100 (Continue) responses, shutdown and release of connections."""

from __future__ import annotations

import asyncio
import gc
import weakref
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from tests.support.loopback import (
    async_test,
    endpoint_list,
    request_bytes,
    respond_with,
    running_gateway,
    start_peers,
    wait_until,
)
from tests.support.races import wait_for_partial_request


@async_test
async def test_gateway_is_ready_once_it_has_an_endpoint_list() -> None:
    async with start_peers(respond_with()) as (endpoint,), running_gateway() as gateway:
        client = await gateway.connect()
        client.writer.write(b"GET /up HTTP/1.1\r\n\r\n")
        assert (await client.response()).status == 503
        gateway.dispatcher.update_endpoints(endpoint_list(endpoint.endpoint_entry()))
        client.writer.write(b"GET /up HTTP/1.1\r\n\r\n")
        assert (await client.response()).status == 200


@async_test
async def test_client_that_expects_100_continue_receives_it_before_the_body() -> None:
    async with (
        start_peers(respond_with()) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        client = await gateway.connect()
        head = request_bytes("chapter-buy", {"Expect": "100-continue"}, b"12")[:-2]
        client.writer.write(head)
        assert await client._reader.readline() == b"HTTP/1.1 100 Continue\r\n"
        await client._reader.readline()
        client.writer.write(b"12")
        assert (await client.response()).status == 200
        assert endpoint.requests[0].body == b"12"


@async_test
async def test_partial_request_at_shutdown_is_still_answered() -> None:
    async with (
        start_peers(respond_with()) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        client = await gateway.connect()
        request = request_bytes()
        client.writer.write(request[:30])
        await wait_for_partial_request(gateway)
        gateway.frontend.begin_shutdown(asyncio.get_running_loop().time() + 60)
        gateway.frontend.stop_accepting()
        client.writer.write(request[30:])
        response = await client.response()
        assert (response.status, response.keep_alive) == (200, False)


@pytest.mark.parametrize(
    "sent",
    [b"", b"GET /page-read HTTP/1.1\r\n", b"nonsense\r\n\r\n", request_bytes("chapter-buy", body=b"one")],
    ids=["nothing", "partial", "malformed", "complete"],
)
@async_test
async def test_closed_connection_waits_for_the_garbage_collector(sent: bytes) -> None:
    """Guards against reference cycles, which take 13 MB before they are collected under a crowd."""
    async with (
        start_peers(respond_with()) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
        without_garbage_collection(),
    ):
        client = await gateway.connect()
        client.writer.write(sent)
        await wait_until(lambda: gateway.frontend.connections)
        await asyncio.sleep(0.05)
        references = [weakref.ref(connection) for connection in gateway.frontend.connections]
        client.close()
        await wait_until(lambda: not gateway.frontend.connections)
        await wait_until(lambda: not any(reference() for reference in references))


@async_test
async def test_closed_endpoint_connection_waits_for_the_garbage_collector() -> None:
    async with (
        start_peers(respond_with()) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
        without_garbage_collection(),
    ):
        assert (await gateway.request("chapter-buy")).status == 200
        entry = endpoint.endpoint_entry()
        references = [weakref.ref(idle) for idle in gateway.pool.idle_connections(entry.endpoint.id)]
        assert references
        endpoint.stop()
        await wait_until(lambda: not any(reference() for reference in references))


@asynccontextmanager
async def without_garbage_collection() -> AsyncIterator[None]:
    """Disable the garbage collector, so that only reference counts free objects."""
    gc.disable()
    try:
        yield
    finally:
        gc.enable()
