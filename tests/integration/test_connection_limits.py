"""Tests of the limits on the number of client connections and on the bytes that they buffer."""

from __future__ import annotations

import contextlib
import socket

from tests.support.loopback import (
    LoopbackClient,
    async_test,
    never_respond,
    request_bytes,
    respond_with,
    running_gateway,
    start_peers,
    wait_until,
)
from tests.support.races import wait_for_partial_request
from tests.support.upstream import SMALL_BUFFER_BYTES


@async_test
async def test_buffered_bytes_are_limited_over_all_connections() -> None:
    async with (
        start_peers(respond_with()) as (endpoint,),
        running_gateway(endpoint.endpoint_entry(), max_message_bytes=116_000) as gateway,
    ):
        clients = [await gateway.connect() for _ in range(2)]
        request = request_bytes("chapter-buy", {}, bytes(60_000))
        for client in clients:
            client.writer.write(request[:-1])
        await wait_until(lambda: sum(not other.is_reading for other in gateway.frontend.connections) == 1)
        assert gateway.frontend.buffered_bytes <= 116_000
        for client in clients:
            client.writer.write(request[-1:])
        assert {(await client.response()).status for client in clients} == {200, 429}
        assert gateway.frontend.buffered_bytes == 0


@async_test
async def test_connection_over_the_limit_is_closed_at_once() -> None:
    async with (
        start_peers(never_respond) as (endpoint,),
        running_gateway(endpoint.endpoint_entry(), max_connections=2) as gateway,
    ):
        busy_clients: list[LoopbackClient] = []
        for _ in range(2):  # a connection without a request in flight would be evicted by the next
            busy_clients.append(await gateway.connect())
            busy_clients[-1].writer.write(request_bytes())
            await wait_until(lambda: len(endpoint.requests) == len(busy_clients))
        with contextlib.suppress(ConnectionError):
            assert await (await gateway.connect()).read_until_closed() == b""
        await wait_until(lambda: len(gateway.frontend.connections) == 2)


@async_test
async def test_connections_without_a_request_do_not_block_others() -> None:
    async with (
        start_peers(respond_with()) as (endpoint,),
        running_gateway(endpoint.endpoint_entry(), max_connections=3) as gateway,
    ):
        silent_clients = [await gateway.connect() for _ in range(20)]
        assert (await gateway.request()).status == 200
        assert len(gateway.frontend.connections) <= 3
        for client in silent_clients:
            client.close()


@async_test
async def test_idle_connections_are_evicted_before_the_limit() -> None:
    """Idle connections must not use up the connections that clients behind one address may have.

    Address translation may limit such clients to fewer connections than the gateway accepts.
    """
    max_idle = 4
    async with (
        start_peers(respond_with()) as (endpoint,),
        running_gateway(endpoint.endpoint_entry(), max_connections=2 * max_idle) as gateway,
    ):
        slow_client = await gateway.connect()
        request = request_bytes()
        slow_client.writer.write(request[:-1])
        await wait_for_partial_request(gateway)
        idle_clients = []
        for _ in range(3 * max_idle):
            idle_clients.append(await gateway.connect())
            assert (await idle_clients[-1].request()).status == 200
            assert len(gateway.frontend.connections) <= max_idle
        slow_client.writer.write(request[-1:])
        assert (await slow_client.response()).status == 200


@async_test
async def test_longest_idle_connection_is_evicted_first() -> None:
    async with (
        start_peers(respond_with()) as (endpoint,),
        running_gateway(endpoint.endpoint_entry(), max_connections=4) as gateway,
    ):
        first, second = await gateway.connect(), await gateway.connect()
        assert (await first.request()).status == 200
        assert (await second.request()).status == 200
        third = await gateway.connect()
        assert (await third.request()).status == 200
        assert await first.read_until_closed() == b""


@async_test
async def test_unread_responses_of_many_clients_add_up() -> None:
    """Guards against clients that leave their responses unread, each of them less than its own limit."""
    limit_bytes = 150_000
    async with (
        start_peers(respond_with(body=bytes(60_000))) as (endpoint,),
        running_gateway(endpoint.endpoint_entry(), max_message_bytes=limit_bytes) as gateway,
    ):
        clients = [await gateway.connect() for _ in range(8)]
        await wait_until(lambda: len(gateway.frontend.connections) == len(clients))
        for connection in gateway.frontend.connections:
            connected_socket = connection.transport.asyncio_transport.get_extra_info("socket")
            connected_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
        for client in clients:
            client.pause_reading()
            client.writer.write(b"".join(request_bytes() for _ in range(4)))
        # Two responses of 60,000 bytes fit under the limit.
        await wait_until(lambda: len(gateway.frontend.connections) == 2)
        assert 0 < gateway.frontend.unread_response_bytes <= limit_bytes
        assert (await gateway.request()).status == 200
        for client in clients:
            client.close()
        await wait_until(lambda: gateway.frontend.unread_response_bytes == 0)
