"""Tests of the deadline for the last byte of a request whose method is not safe.

If the last byte is written after the deadline, the endpoint may execute the request a second time, outside
the deduplication window.
"""

from __future__ import annotations

import asyncio
import math
import socket
import time

import pytest

from http_gateway.policy.events import Outcome
from tests.support.loopback import async_test, respond_with, start_peers, wait_until
from tests.support.upstream import (
    OK_RESPONSE,
    UNSAFE_REQUEST,
    AttemptDriver,
    SlowReadingEndpoint,
    read_to_end,
)

LARGE_BUFFER_BYTES = 2**20


@async_test
async def test_request_is_complete_with_its_deferred_last_byte() -> None:
    """The request is sent in two writes, and the second one contains only the last byte."""
    async with start_peers(respond_with()) as (endpoint,):
        assert (await AttemptDriver(endpoint.port).run(UNSAFE_REQUEST)).outcome is Outcome.OK
        assert endpoint.requests[0].body == UNSAFE_REQUEST.body


@async_test
async def test_request_not_written_by_the_last_byte_deadline_ends_as_not_sent() -> None:
    endpoint = SlowReadingEndpoint()
    loop = asyncio.get_running_loop()
    started_at_s = loop.time()
    endpoint_socket = await endpoint.accept_request(1_000_000, started_at_s + 0.2)
    await wait_until(lambda: endpoint.driver.ends)
    assert 0.2 <= loop.time() - started_at_s < 5
    assert endpoint.driver.ends == [(Outcome.NOT_SENT, None)]
    assert len(await read_to_end(endpoint_socket)) < 1_000_000


@async_test
async def test_last_byte_is_not_written_when_the_event_loop_is_delayed_past_the_deadline() -> None:
    """The socket becomes writable before the deadline timer of the attempt is handled.

    The event loop is blocked past the deadline. It then handles both in one iteration, the socket first.
    """
    endpoint = SlowReadingEndpoint()
    driver = endpoint.driver
    loop = asyncio.get_running_loop()
    last_byte_deadline_s = loop.time() + 1.0
    endpoint_socket = await endpoint.accept_request(20_000, last_byte_deadline_s)
    await wait_until(lambda: driver.pool.connection_count and not driver.pool.connecting_count)
    # With this buffer size the kernel accepts all remaining bytes at once.
    endpoint.gateway_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, LARGE_BUFFER_BYTES)
    endpoint_socket.settimeout(0.05)
    received = b""
    while loop.time() < last_byte_deadline_s + 0.1:  # blocks the event loop while the kernel buffers drain
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
    """The client disconnects during the write, and the event loop has not reported the disconnect yet."""
    endpoint = SlowReadingEndpoint()
    endpoint_socket = await endpoint.accept_request(20_000, math.inf)
    await wait_until(lambda: endpoint.attempt.connection)
    assert not endpoint.attempt.is_request_written
    endpoint.driver.is_client_waiting = False
    received = await read_to_end(endpoint_socket)
    assert len(received) == received.index(b"\r\n\r\n") + 4 + 20_000 - 1
    assert endpoint.driver.ends == [(Outcome.NOT_SENT, None)]


@pytest.mark.parametrize("response", [OK_RESPONSE, b"HTTP/1.1 200 OK\r\n\r\npage"])
@async_test
async def test_response_that_comes_before_the_last_byte_is_not_taken(response: bytes) -> None:
    """Guards against a second copy of another response that is taken while the request is being written.

    The endpoint cannot have executed the request without its last byte.
    """
    endpoint = SlowReadingEndpoint()
    endpoint_socket = await endpoint.accept_request(1_000_000, math.inf)
    await asyncio.get_running_loop().sock_sendall(endpoint_socket, response)
    endpoint_socket.shutdown(socket.SHUT_WR)
    await wait_until(lambda: endpoint.driver.ends)
    assert endpoint.driver.ends == [(Outcome.CONNECT_FAILED, None)]
    assert len(await read_to_end(endpoint_socket)) < 1_000_000
