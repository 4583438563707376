"""Tests of which idle connections are used for another attempt."""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import pytest

from http_gateway.net.http.messages import Message
from http_gateway.net.http.writer import write_response
from http_gateway.net.upstream import connection
from http_gateway.policy.events import Outcome
from tests.support.loopback import (
    LoopbackPeer,
    PeerScript,
    async_test,
    never_respond,
    respond_with,
    running_gateway,
    start_peers,
    wait_until,
)
from tests.support.upstream import (
    ENDPOINT_ID,
    OK_RESPONSE,
    SAFE_REQUEST,
    UNSAFE_REQUEST,
    AttemptDriver,
    wait_for_requests,
    wait_until_reusable,
)

REJECT = respond_with(503, X_Not_Run="1")


@async_test
async def test_idle_connection_is_used_again() -> None:
    async with start_peers(respond_with()) as (endpoint,):
        driver = AttemptDriver(endpoint.port)
        for _ in range(3):
            assert (await driver.run()).outcome is Outcome.OK
        assert endpoint.connection_count == 1


@async_test
async def test_most_recently_used_idle_connection_is_taken() -> None:
    async with start_peers(never_respond) as (endpoint,):
        driver = AttemptDriver(endpoint.port)
        driver.start()
        driver.start()
        await wait_for_requests(endpoint, 2)
        first, second = endpoint.request_writers
        await respond_with()(SAFE_REQUEST, second)
        await driver.wait_for_ends(1)
        await respond_with()(SAFE_REQUEST, first)
        await driver.wait_for_ends(2)
        await driver.wait_until_reusable()
        driver.start()
        await wait_for_requests(endpoint, 3)
        await respond_with(body=b"again")(SAFE_REQUEST, first)
        await driver.wait_for_ends(3)
        response = driver.ends[-1].response
        assert response is not None
        assert response.body == b"again"


async def _close_by_endpoint(endpoint: LoopbackPeer, driver: AttemptDriver) -> None:
    endpoint.writers[0].close()
    await driver.wait_until_disconnected()


async def _send_unrequested_response(endpoint: LoopbackPeer, driver: AttemptDriver) -> None:
    endpoint.writers[0].write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
    await driver.wait_until_disconnected()


async def _reach_idle_timeout(endpoint: LoopbackPeer, driver: AttemptDriver) -> None:
    await driver.wait_until_disconnected()


@pytest.mark.parametrize(
    ("end_idle_connection", "idle_timeout_s"),
    [(_close_by_endpoint, 60.0), (_send_unrequested_response, 60.0), (_reach_idle_timeout, 0.1)],
)
@async_test
async def test_closed_connection_is_not_used_again(
    end_idle_connection: Callable[[LoopbackPeer, AttemptDriver], Awaitable[None]], idle_timeout_s: float
) -> None:
    async with start_peers(respond_with()) as (endpoint,):
        driver = AttemptDriver(endpoint.port, idle_timeout_s=idle_timeout_s)
        await driver.run()
        await end_idle_connection(endpoint, driver)
        assert await driver.run_and_read_body() == b"page"
        assert endpoint.connection_count == 2


@async_test
async def test_bytes_without_a_request_are_logged(caplog: pytest.LogCaptureFixture) -> None:
    async with start_peers(respond_with()) as (endpoint,):
        driver = AttemptDriver(endpoint.port)
        await driver.run()
        await _send_unrequested_response(endpoint, driver)
        assert f"bytes without a request endpoint_id={ENDPOINT_ID} idle_ms=" in caplog.text


@pytest.mark.parametrize("unread", [b"", OK_RESPONSE])
@async_test
async def test_connection_with_unread_bytes_or_end_is_not_used_again(unread: bytes) -> None:
    """An EOF or a second copy of the response is in the socket, but the event loop has not read it yet."""
    async with start_peers(respond_with(body=b"good")) as (endpoint,):
        driver = AttemptDriver(endpoint.port)
        await driver.run()
        transport = driver.idle_transport()
        transport.pause_reading()
        if unread:
            endpoint.writers[0].write(unread)
        else:
            endpoint.writers[0].close()
        gateway_socket = transport.get_extra_info("socket")
        await wait_until(lambda: select.select([gateway_socket], [], [], 0)[0])
        assert await driver.run_and_read_body() == b"good"
        assert endpoint.connection_count == 2


@async_test
async def test_connection_with_the_start_of_another_response_is_not_used_again() -> None:
    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
        writer.write(head + (b"page" + head if len(endpoint.requests) == 1 else b"next"))

    async with start_peers(script) as (endpoint,):
        driver = AttemptDriver(endpoint.port)
        await driver.run()
        assert await driver.run_and_read_body() == b"next"
        assert endpoint.connection_count == 2


@pytest.mark.parametrize(
    "excess", [b"\x00\r\nnoise", OK_RESPONSE, b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"]
)
@async_test
async def test_complete_response_is_used_but_excess_bytes_close_its_connection(excess: bytes) -> None:
    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(OK_RESPONSE + (excess if len(endpoint.requests) == 1 else b""))

    async with start_peers(script) as (endpoint,):
        driver = AttemptDriver(endpoint.port)
        for _ in range(2):
            assert await driver.run_and_read_body() == b"page"
        assert endpoint.connection_count == 2


@async_test
async def test_response_with_connection_close_closes_its_connection() -> None:
    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")

    async with start_peers(script) as (endpoint,):
        driver = AttemptDriver(endpoint.port)
        await driver.run()
        await driver.wait_until_disconnected()


@async_test
async def test_late_second_response_is_not_matched_to_another_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The second response arrives while the next request is in flight.

    HTTP/1.1 responses do not identify their request, so it must not arrive on the connection of that request.
    """
    monkeypatch.setattr(connection, "REUSE_DELAY_S", 60.0)

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(OK_RESPONSE)
        if len(endpoint.requests) == 2:
            endpoint.request_writers[0].write(OK_RESPONSE.replace(b"page", b"late"))
            if writer is endpoint.request_writers[0]:
                return
            # The gateway has read the late response and closed its connection.
            await wait_until(lambda: endpoint.closed_count)

    async with (
        start_peers(script) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        client = await gateway.connect()
        assert (await client.request()).body == b"page"
        assert (await client.request()).body == b"page"
        await wait_until(lambda: endpoint.closed_count)
        assert endpoint.connection_count == 2


async def _check_that_no_copy_is_matched(script: PeerScript) -> None:
    """Check that each client request gets its own response, although the endpoint sends some twice.

    Args:
        script: Sends the id of each request as the body; twice if the id ends with `twice`.
    """
    async with (
        start_peers(script) as (endpoint,),
        running_gateway(entry := endpoint.endpoint_entry()) as gateway,
    ):
        client = await gateway.connect()
        for turn in range(5):
            # The kernel of the gateway delays acknowledgements after some requests that follow each other.
            for name in ("first", "second", "third", "twice", "next"):
                request_id = f"{turn}-{name}"
                response = await client.request(headers={"X-Request-Id": request_id})
                assert response.body.decode() == request_id
                await wait_until_reusable(gateway.pool, entry.endpoint.id)


def _response_with_id(request_id: str) -> bytes:
    return write_response(HTTPStatus.OK, [], request_id.encode(), close=False)


@async_test
async def test_second_copy_held_back_by_the_endpoint_kernel_is_not_matched_to_another_request() -> None:
    """Guards against a client that gets the response to the request of another client.

    The endpoint writes a response twice in a row on a socket without TCP_NODELAY. Its kernel holds back the
    second copy until the gateway has acknowledged the first one.
    """

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 0)
        request_id = request.header(b"x-request-id") or ""
        writer.write(_response_with_id(request_id))
        if request_id.endswith("twice"):
            writer.write(_response_with_id(request_id))

    await _check_that_no_copy_is_matched(script)


@pytest.mark.parametrize("late_s", [0.02, 0.04])
@async_test
async def test_second_copy_that_comes_within_a_round_trip_is_not_matched_to_another_request(
    late_s: float,
) -> None:
    """Guards against a reuse delay below the round trip of a path of up to 20 ms one way.

    The kernel of the endpoint sends a copy that it has held back when the acknowledgement has reached it, so
    the copy comes a round trip after the first response. The next request is answered later than that.
    """

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        request_id = request.header(b"x-request-id") or ""
        if request_id.endswith("next"):
            await asyncio.sleep(2 * late_s)
        writer.write(_response_with_id(request_id))
        if request_id.endswith("twice"):
            asyncio.get_running_loop().call_later(late_s, writer.write, _response_with_id(request_id))

    await _check_that_no_copy_is_matched(script)


@async_test
async def test_second_copy_of_a_rejection_is_not_matched_to_another_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The copy would make the gateway retry a request that the endpoint executes, which executes it twice."""
    monkeypatch.setattr(connection, "REUSE_DELAY_S", 0.0)

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        if writer is endpoint.request_writers[0]:
            await REJECT(request, writer)
        await respond_with()(request, writer)  # executes the request, even after sending the copy

    async with start_peers(REJECT) as (endpoint,):
        driver = AttemptDriver(endpoint.port)
        assert (await driver.run(UNSAFE_REQUEST)).outcome is Outcome.REJECTED
        endpoint.script = script
        assert (await driver.run(UNSAFE_REQUEST)).outcome is Outcome.OK
        assert endpoint.connection_count == 2


@async_test
async def test_idle_connections_with_rejections_do_not_accumulate() -> None:
    async with start_peers(REJECT) as (endpoint,):
        driver = AttemptDriver(endpoint.port)
        for _ in range(5):
            assert (await driver.run(UNSAFE_REQUEST)).outcome is Outcome.REJECTED
            assert len(driver.pool.idle_connections(ENDPOINT_ID)) == 1
        assert endpoint.connection_count == 5


@async_test
async def test_connection_with_a_rejection_is_used_again_for_safe_requests() -> None:
    async with start_peers(REJECT) as (endpoint,):
        driver = AttemptDriver(endpoint.port)
        assert [(await driver.run(SAFE_REQUEST)).outcome for _ in range(3)] == [Outcome.REJECTED] * 3
        assert endpoint.connection_count == 1
