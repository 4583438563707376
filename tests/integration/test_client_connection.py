"""Tests of readiness, 100 (Continue) responses and graceful shutdown on a client connection."""

from __future__ import annotations

import asyncio

from tests.support.loopback import (
    async_test,
    endpoint_list,
    request_bytes,
    respond_with,
    running_gateway,
    start_peers,
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
