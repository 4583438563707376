"""The last byte of a request that must not be executed twice is written in time or not at all."""

from __future__ import annotations

import asyncio
import math
import socket
import time

from http_gateway.policy.events import Outcome
from tests.support.loopback import async_test, respond_with, start_peers, wait_until
from tests.support.upstream import (
    CHAPTER_ADD,
    AttemptDriver,
    SlowReadingEndpoint,
    read_to_end,
)

LARGE_BUFFER_BYTES = 2**20


@async_test
async def test_request_is_complete_with_its_deferred_last_byte() -> None:
    """The request is sent in two writes, the second of one byte."""
    async with start_peers(respond_with()) as (endpoint,):
        assert (await AttemptDriver(endpoint.port).run(CHAPTER_ADD)).outcome is Outcome.OK
        assert endpoint.requests[0].body == CHAPTER_ADD.body


@async_test
async def test_request_that_is_written_too_slowly_is_ended_in_time_as_not_sent() -> None:
    endpoint = SlowReadingEndpoint()
    loop = asyncio.get_running_loop()
    started_at_s = loop.time()
    endpoint_socket = await endpoint.accept_request(1_000_000, started_at_s + 0.2)
    await wait_until(lambda: endpoint.driver.ends)
    assert 0.2 <= loop.time() - started_at_s < 5
    assert endpoint.driver.ends == [(Outcome.NOT_SENT, None)]
    assert len(await read_to_end(endpoint_socket)) < 1_000_000


@async_test
async def test_last_byte_is_not_written_late_by_a_late_event_loop() -> None:
    """The endpoint reads on as the time ends, and the loop handles both in one turn, the reading first."""
    endpoint = SlowReadingEndpoint()
    driver = endpoint.driver
    loop = asyncio.get_running_loop()
    last_byte_before_s = loop.time() + 1.0
    endpoint_socket = await endpoint.accept_request(20_000, last_byte_before_s)
    await wait_until(lambda: driver.pool.connection_count and not driver.pool.connecting_count)
    # From now on the system would accept all remaining bytes at once.
    endpoint.gateway_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, LARGE_BUFFER_BYTES)
    endpoint_socket.settimeout(0.05)
    received = b""
    while loop.time() < last_byte_before_s + 0.1:  # the loop is blocked while the system's buffers drain
        try:
            received += endpoint_socket.recv(65536)
        except TimeoutError:
            time.sleep(0.01)
    endpoint_socket.setblocking(False)
    received += await read_to_end(endpoint_socket)
    assert received
    assert len(received) < 20_000 + received.index(b"\r\n\r\n") + 4
    assert driver.ends == [(Outcome.NOT_SENT, None)]


@async_test
async def test_last_byte_is_not_written_for_a_disconnected_client() -> None:
    """It disconnected while the endpoint read nothing, and the gateway has not been notified yet."""
    endpoint = SlowReadingEndpoint()
    endpoint_socket = await endpoint.accept_request(20_000, math.inf)
    await wait_until(lambda: endpoint.attempt.connection)
    assert not endpoint.attempt.is_written
    endpoint.driver.is_client_waiting = False
    received = await read_to_end(endpoint_socket)
    assert len(received) == received.index(b"\r\n\r\n") + 4 + 20_000 - 1
    assert endpoint.driver.ends == [(Outcome.NOT_SENT, None)]
