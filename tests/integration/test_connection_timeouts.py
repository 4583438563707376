"""Tests of the timeouts of client connections that send no complete request."""

from __future__ import annotations

import asyncio

import pytest

from http_gateway.net.frontend import connection_limits
from tests.support.loopback import (
    async_test,
    request_bytes,
    respond_with,
    running_gateway,
    start_peers,
    wait_until,
)
from tests.support.races import wait_for_partial_request


@async_test
async def test_incomplete_request_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_limits, "RECEIVE_TIMEOUT_S", 0.2)
    async with (
        start_peers(respond_with()) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        client = await gateway.connect()
        assert (await client.request()).status == 200
        client.writer.write(request_bytes()[:30])
        assert (await client.response()).status == 408
        assert await client.read_until_closed() == b""


@async_test
async def test_connection_without_a_request_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_limits, "RECEIVE_TIMEOUT_S", 0.2)
    async with running_gateway() as gateway:
        client = await gateway.connect()
        assert await client.read_until_closed() == b""
        await wait_until(lambda: not gateway.frontend.connections)


@async_test
async def test_receive_timeout_of_the_first_request_starts_with_the_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection_limits, "RECEIVE_TIMEOUT_S", 10.0)
    async with (
        start_peers(respond_with()) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        client = await gateway.connect()
        await wait_until(lambda: gateway.frontend.connections)
        (connection,) = gateway.frontend.connections
        first_timeout_at_s = connection.timeout_at_s
        assert first_timeout_at_s is not None
        client.writer.write(request_bytes()[:30])
        await wait_for_partial_request(gateway)
        assert connection.timeout_at_s == first_timeout_at_s
        client.writer.write(request_bytes()[30:])
        await client.response()
        client.writer.write(request_bytes()[:30])  # each later request has its own timeout
        await wait_for_partial_request(gateway)
        assert connection.timeout_at_s is not None
        assert first_timeout_at_s < connection.timeout_at_s < asyncio.get_running_loop().time() + 10.0


@async_test
async def test_each_pipelined_request_has_its_own_receive_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each read ends one request and starts the next, so the connection always has a partial request."""
    monkeypatch.setattr(connection_limits, "RECEIVE_TIMEOUT_S", 0.6)
    async with (
        start_peers(respond_with()) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        client = await gateway.connect()
        client.writer.write(request_bytes()[:30])
        for _ in range(10):
            await asyncio.sleep(0.15)
            client.writer.write(request_bytes()[30:] + request_bytes()[:30])
            assert (await client.response()).status == 200


@async_test
async def test_idle_connection_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_limits, "IDLE_TIMEOUT_S", 0.2)
    async with (
        start_peers(respond_with()) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        client = await gateway.connect()
        assert (await client.request()).status == 200
        assert await client.read_until_closed() == b""
