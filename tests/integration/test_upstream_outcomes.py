"""Tests of the outcome of an attempt for each response or connection failure of an endpoint."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import Any

import pytest

from http_gateway.net.http.messages import Message
from http_gateway.policy.events import Outcome
from tests.support.loopback import (
    PeerScript,
    abort_with_reset,
    async_test,
    never_respond,
    reset_connection,
    respond_with,
    running_gateway,
    start_peers,
    wait_until,
)
from tests.support.upstream import (
    ENDPOINT_ID,
    OK_RESPONSE,
    SAFE_REQUEST,
    SMALL_BUFFER_BYTES,
    AttemptDriver,
    unsafe_request,
)


def _respond_and_close(response: bytes) -> PeerScript:
    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(response)
        await writer.drain()
        writer.close()

    return script


async def _respond_without_length_and_reset(request: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\n\r\nall of it, or is it?")
    await asyncio.sleep(0.02)
    abort_with_reset(writer)


async def _respond_without_length_and_reset_at_once(request: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\n\r\nall of it, or is it?")
    abort_with_reset(writer)


async def _reject_without_length_and_reset(request: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n\r\nfull")
    await asyncio.sleep(0.02)
    abort_with_reset(writer)


async def _respond_malformed(request: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(b"what?\r\n\r\n")


@pytest.mark.parametrize(
    ("script", "outcome"),
    [
        (respond_with(200), Outcome.OK),
        (respond_with(500), Outcome.ERROR),
        (respond_with(400), Outcome.ERROR),
        (respond_with(503, X_Not_Run="1"), Outcome.REJECTED),
        (respond_with(504, X_Not_Run="1"), Outcome.REJECTED),
        (respond_with(503), Outcome.ERROR),  # without x-not-run the request may have been executed
        (respond_with(504), Outcome.ERROR),
        (respond_with(500, X_Not_Run="1"), Outcome.ERROR),
        (reset_connection, Outcome.RESET),
        (_respond_and_close(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart"), Outcome.RESET),
        (
            _respond_and_close(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart"),
            Outcome.RESET,
        ),
        (_respond_and_close(b"HTTP/1.1 200 OK\r\nX-Cut: off"), Outcome.RESET),
        (_respond_and_close(b"HTTP/1.1 103 Early Hints\r\n\r\n"), Outcome.RESET),
        (_respond_and_close(b"HTTP/1.1 500 Internal Server Error\r\n\r\nfault"), Outcome.ERROR),
        (_respond_and_close(b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n\r\n"), Outcome.REJECTED),
        (_respond_without_length_and_reset, Outcome.RESET),
        (_respond_without_length_and_reset_at_once, Outcome.RESET),
        (_reject_without_length_and_reset, Outcome.RESET),
        (_respond_malformed, Outcome.RESET),
    ],
)
@async_test
async def test_response_determines_the_outcome(script: PeerScript, outcome: Outcome) -> None:
    async with start_peers(script) as (endpoint,):
        assert (await AttemptDriver(endpoint.port).run()).outcome is outcome


@pytest.mark.parametrize(
    "head", [b"HTTP/1.1 200 OK\r\nConnection: close", b"HTTP/1.1 200 OK", b"HTTP/1.0 200 OK"]
)
@pytest.mark.parametrize("parts", [(b"all ", b"of it"), (b"all of it",), ()])
@async_test
async def test_response_without_a_length_that_ends_with_its_connection_is_forwarded(
    head: bytes, parts: tuple[bytes, ...]
) -> None:
    """Guards against a complete response without a length that is discarded, and its client gets a 502."""

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(head + b"\r\n\r\n")
        for part in parts:
            await asyncio.sleep(0.02)
            writer.write(part)
        writer.close()

    async with (
        start_peers(script) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        for class_name in ("page-read", "chapter-buy"):
            response = await gateway.request(class_name)
            assert (response.status, response.body) == (200, b"".join(parts))
        assert len(endpoint.requests) == 2
        await wait_until(lambda: gateway.pool.open_descriptors == 0)


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\n" + b"X-Pad: pppppppppppp\r\n" * 1000,
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand it keeps coming",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 9\r\n\r\npage",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        b"HTTP/1.1 103 Early Hints\r\n\r\n" * 6000,
        b"ICY 200 OK\r\n\r\n",
    ],
    ids=lambda response: response[:60],
)
@async_test
async def test_malformed_response_ends_the_attempt_at_once_as_reset(response: bytes) -> None:
    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(response)

    async with start_peers(script) as (endpoint,):
        driver = AttemptDriver(endpoint.port)
        assert (await driver.run()).outcome is Outcome.RESET
        assert driver.pool.open_descriptors <= 1
        await driver.wait_until_disconnected()


@async_test
async def test_interim_responses_are_ignored() -> None:
    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(
            b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + OK_RESPONSE
        )

    async with start_peers(script) as (endpoint,):
        driver = AttemptDriver(endpoint.port)
        for _ in range(2):
            assert (await driver.run()).outcome is Outcome.OK
        assert endpoint.connection_count == 1


@async_test
async def test_refused_connection_is_a_connect_failure() -> None:
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))  # bound but not listening, so connects are refused
        driver = AttemptDriver(unused.getsockname()[1])
        assert (await driver.run()).outcome is Outcome.CONNECT_FAILED


@async_test
async def test_connect_timeout_is_a_connect_failure() -> None:
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(3):  # a full backlog drops further connects, like an unreachable endpoint
            other = stack.enter_context(socket.socket())
            other.setblocking(False)
            other.connect_ex(listener.getsockname())
        driver = AttemptDriver(listener.getsockname()[1], connect_timeout_s=0.1)
        assert (await driver.run()).outcome is Outcome.CONNECT_FAILED
        assert driver.pool.open_descriptors == 0


@async_test
async def test_connection_reset_right_after_the_connect_is_a_connect_failure(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def accept_and_reset(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        abort_with_reset(writer)

    server = await asyncio.start_server(accept_and_reset, "127.0.0.1", 0)
    driver = AttemptDriver(server.sockets[0].getsockname()[1])
    loop = asyncio.get_running_loop()
    create_connection = loop.create_connection

    async def connect_and_wait_for_reset(*args: Any) -> Any:
        """Connect, then wait until the reset is handled before the connecting task continues."""
        connected = await create_connection(*args)
        await wait_until(lambda: driver.pool.connection_count == 0)
        return connected

    monkeypatch.setattr(loop, "create_connection", connect_and_wait_for_reset)
    assert (await driver.run()).outcome is Outcome.CONNECT_FAILED
    assert driver.pool.open_descriptors == 0
    server.close()


@pytest.mark.parametrize("body_bytes", [40_000, 32 * 1024 * 1024])
@async_test
async def test_reset_before_the_request_is_completely_written_is_a_connect_failure(body_bytes: int) -> None:
    """The endpoint received only a part of the request, so it cannot have executed it.

    The two body sizes leave few or many bytes unsent.
    """
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    listener.bind(("127.0.0.1", 0))
    may_reset = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(1000)
        await respond_with()(SAFE_REQUEST, writer)  # the first request is small and is answered
        await reader.read(1000)
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        await may_reset.wait()
        abort_with_reset(writer)

    server = await asyncio.start_server(serve, sock=listener, limit=1000)
    driver = AttemptDriver(listener.getsockname()[1])
    assert (await driver.run()).outcome is Outcome.OK
    gateway_socket = driver.idle_transport().get_extra_info("socket")
    gateway_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
    await driver.wait_until_reusable()
    driver.start(unsafe_request(body_bytes))
    await asyncio.sleep(0.05)
    may_reset.set()
    await driver.wait_for_ends(2)
    assert driver.ends[-1].outcome is Outcome.CONNECT_FAILED
    server.close()


@async_test
async def test_reset_just_before_the_write_is_a_connect_failure(monkeypatch: pytest.MonkeyPatch) -> None:
    """The reset arrives after the check of the idle connection and before the write, so no byte is sent."""
    loop = asyncio.get_running_loop()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setblocking(False)
        driver = AttemptDriver(listener.getsockname()[1])
        driver.start()
        endpoint_socket, _ = await loop.sock_accept(listener)
        await loop.sock_recv(endpoint_socket, 65536)
        endpoint_socket.send(OK_RESPONSE)
        await wait_until(lambda: driver.ends)
        await driver.wait_until_reusable()
        (idle,) = driver.pool.idle_connections(ENDPOINT_ID)
        endpoint_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        endpoint_socket.close()
        monkeypatch.setattr(idle, "is_reusable", lambda: True)
        driver.start()
        await driver.wait_for_ends(2)
        assert driver.ends[-1].outcome is Outcome.CONNECT_FAILED


@async_test
async def test_cancelled_attempt_ends_once_and_closes_its_connection() -> None:
    async with start_peers(never_respond) as (endpoint,):
        driver = AttemptDriver(endpoint.port)
        attempt = driver.start()
        assert attempt is not None
        await wait_until(lambda: endpoint.requests)
        attempt.stop(Outcome.CANCELLED)
        await wait_until(lambda: endpoint.closed_count)
        attempt.stop(Outcome.TIMEOUT)
        assert [end.outcome for end in driver.ends] == [Outcome.CANCELLED]
