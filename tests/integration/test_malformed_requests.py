"""Tests that malformed and ambiguous requests are rejected and that no part of them is forwarded."""

from __future__ import annotations

import pytest

from tests.support.loopback import (
    async_test,
    never_respond,
    request_bytes,
    respond_with,
    running_gateway,
    start_peers,
    wait_until,
)
from tests.support.races import wait_for_partial_request


@pytest.mark.parametrize(
    ("text", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /page-read HTTP/1.1\r\nHost: a\r\nX-Class: page-read\r\n\r\n", 400),  # no X-Request-Id
        (b"POST /a HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413),
        (b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" + bytes(65537), 413),
        (b"GET /a HTTP/1.1\r\nX-Long: " + b"a" * 20_000, 431),  # header without an end
        (b"GET /a HTTP/1.1\r\n" + b"X-Pad: aaaaaaaaaaaaaa\r\n" * 1000 + b"\r\n", 431),
        (b"DELETE /page-read HTTP/1.1\r\nX-Request-Id: 1\r\n\r\n", 405),
        (b"GET /chapter-buy HTTP/1.1\r\nX-Request-Id: 1\r\n\r\n", 405),
        (b"GET /page-read HTTP/2.0\r\nX-Request-Id: 1\r\n\r\n", 505),
        (b"GET /page-read HTTP/1.1\r\nX-Request-Id: 1\r\nX-Request-Id: 2\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\nX-Request-Id: 1\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n", 400),
        (request_bytes() + b"\x00noise", 400),
        # The body exceeds its Content-Length.
        (request_bytes("chapter-buy", {}, b"1234") + b"56789\r\n\r\n", 400),
        (request_bytes(headers={"X-Class": "chapter-buy"}), 400),  # differs from the class in the path
        (request_bytes(headers={"X-Request-Id": "1" * 200}), 400),
        (request_bytes("coupon"), 400),
        *((request_bytes(headers={"X-Deadline": text}), 400) for text in ("soon", "-1", "nan", "inf", "0")),
    ],
    ids=lambda value: str(value)[:60],
)
@async_test
async def test_malformed_request_gets_an_error_and_its_connection_is_closed(text: bytes, status: int) -> None:
    async with (
        start_peers(respond_with()) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        client = await gateway.connect()
        client.writer.write(text)
        assert (await client.response()).status == status
        assert await client.read_until_closed() == b""
        assert (await gateway.request()).status == 200
        assert len(endpoint.requests) == 1


@async_test
async def test_client_that_is_still_sending_a_too_large_body_receives_the_rejection() -> None:
    async with running_gateway() as gateway:
        client = await gateway.connect()
        client.writer.write(b"POST /a HTTP/1.1\r\nContent-Length: 8000000\r\n\r\n" + bytes(8_000_000))
        await client.writer.drain()
        assert (await client.response()).status == 413
        assert await client.read_until_closed() == b""


@async_test
async def test_rejected_request_gets_one_response() -> None:
    """The receive timeout may expire while the connection lingers; it must not cause a second response."""
    async with running_gateway() as gateway:
        client = await gateway.connect()
        client.writer.write(b"POST /a HTTP/1.1\r\n")
        await wait_for_partial_request(gateway)
        (connection,) = gateway.frontend.connections
        client.writer.write(b"nonsense\r\n\r\n")
        assert (await client.response()).status == 400
        connection.on_timeout()
        assert await client.read_until_closed() == b""


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 4\r\nTransfer-Encoding: chunked",
        b"Transfer-Encoding: chunked\r\nContent-Length: 4",
        b"Content-Length: 4\r\nContent-Length: 4",
        b"Content-Length: 4\r\nContent-Length: 9",
        b"Content-Length: 4, 4",
        b"Content-Length: +4",
        b"Content-Length: -4",
        b"Content-Length: ten",
        b"Content-Length:",
        b"Content-Length : 4",
        b"Content-Length: 99999999999999999999999",
        b"Transfer-Encoding: gzip, chunked",
        b"Transfer-Encoding: identity",
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    ],
)
@async_test
async def test_ambiguous_framing_is_rejected_and_not_forwarded(framing: bytes) -> None:
    """If two parsers find different ends of the body, a client can smuggle a request past one of them."""
    async with (
        start_peers(respond_with()) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        client = await gateway.connect()
        head = request_bytes("chapter-buy").split(b"\r\nContent-Length")[0] + b"\r\n" + framing
        client.writer.write(head + b"\r\n\r\n0\r\n\r\n" + request_bytes("chapter-buy"))
        assert (await client.response()).status in (400, 413)
        assert await client.read_until_closed() == b""
        await gateway.request()
        assert len(endpoint.requests) == 1


@async_test
async def test_malformed_bytes_after_a_request_in_flight_cancel_it() -> None:
    async with (
        start_peers(never_respond) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        client = await gateway.connect()
        client.writer.write(request_bytes("chapter-buy"))
        await wait_until(lambda: endpoint.requests)
        client.writer.write(b"\x00noise")
        assert (await client.response()).status == 400
        assert await client.read_until_closed() == b""
        await wait_until(lambda: endpoint.closed_count and not gateway.dispatcher.in_flight_count)
