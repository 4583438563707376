"""Connections that are closed as writing resumes end without an error in the event loop."""

from __future__ import annotations

import asyncio
import math
from typing import Any

from http_gateway.policy.events import Outcome
from tests.support.loopback import async_test, respond_with, running_gateway, start_peers, wait_until
from tests.support.races import connect_without_reading, request_until
from tests.support.upstream import SlowReadingEndpoint, read_to_end


@async_test
async def test_attempt_that_is_dropped_as_writing_resumes_causes_no_loop_error() -> None:
    """Asyncio reports the loss of the connection twice if it is aborted within `resume_writing`."""
    errors: list[dict[str, Any]] = []
    asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))
    endpoint = SlowReadingEndpoint()
    endpoint_socket = await endpoint.accept_request(2**20, math.inf)
    await wait_until(lambda: endpoint.attempt.connection is not None)
    endpoint.driver.is_client_waiting = False
    await read_to_end(endpoint_socket)
    await endpoint.driver.wait_for_ends(1)
    await asyncio.sleep(0.05)
    assert endpoint.driver.ends[0].outcome is Outcome.NOT_SENT
    assert errors == []


@async_test
async def test_client_connection_that_is_closed_as_writing_resumes_causes_no_loop_error() -> None:
    """A queued request asks for the close of its connection and is answered as soon as writing resumes."""
    errors: list[dict[str, Any]] = []
    asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))
    async with (
        start_peers(respond_with(body=bytes(60_000))) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        client, connection = await connect_without_reading(gateway)
        connection.transport.asyncio_transport.set_write_buffer_limits(high=0)
        await request_until(lambda: connection.is_writing_paused, client, connection)
        client.writer.write(b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n")
        await wait_until(lambda: connection.requests)
        client.resume_reading()
        assert (await client.read_until_closed()).endswith(b"connection: close\r\n\r\n")
        await wait_until(lambda: not gateway.frontend.connections)
        await asyncio.sleep(0.05)
    assert errors == []
