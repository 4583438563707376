"""Crowds of misbehaving clients and endpoints, and sound clients beside them."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import time
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from http import HTTPStatus

from http_gateway.net.http.messages import Message
from tests.support.loopback import READ_CHUNK_BYTES, LoopbackClient, request_bytes

RECONNECT_DELAY_S = 0.02
PIECE_INTERVAL_S = 0.05
REQUEST_INTERVAL_S = 1.0  # valid requests compete with those of the sound clients for a core
CLOSE_TIMEOUT_S = 5.0
SOUND_TIMEOUT_S = 5.0
SHORT_FIELD = b"a:\r\n"
# Just under the limit on the head of a request, which is 16 KiB.
SHORT_FIELDS_HEAD = b"GET /page-read HTTP/1.1\r\n" + SHORT_FIELD * 4000
LARGE_BODY_BYTES = 64_000
SMALL_RECEIVE_BUFFER_BYTES = 4096
_NAMES = itertools.count()

# What one client of a crowd does on one connection.
ClientScript = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def send_short_fields(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send a head of very many short fields that does not end, and wait for the close."""
    writer.write(SHORT_FIELDS_HEAD)
    await reader.read()


async def stop_half_way(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send a large request but for its last byte, and wait for the close."""
    writer.write(request_bytes("chapter-buy", {}, bytes(LARGE_BODY_BYTES))[:-1])
    await reader.read()


async def write_slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send a large request in small pieces at equal intervals."""
    request = request_bytes("chapter-buy", {}, bytes(LARGE_BODY_BYTES))
    for start in range(0, len(request), 2048):
        writer.write(request[start : start + 2048])
        await asyncio.sleep(PIECE_INTERVAL_S)
    await reader.read()


async def leave_responses_unread(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send requests one after another without reading a response."""
    transport = writer.transport
    assert isinstance(transport, asyncio.Transport)
    transport.pause_reading()
    while not transport.is_closing():
        writer.write(request_bytes())
        await asyncio.sleep(REQUEST_INTERVAL_S)


async def wait_for_response(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send a small request and wait for the end of the connection, or for long."""
    writer.write(request_bytes("chapter-buy"))
    await reader.read()


async def send_large_requests(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send a large request and wait for the end of the connection, or for long."""
    writer.write(request_bytes("chapter-buy", {}, bytes(LARGE_BODY_BYTES)))
    await reader.read()


async def send_single_byte_chunks(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send a chunked body whose chunks hold one byte each, and wait for the close."""
    head = b"POST /chapter-buy HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    writer.write(head + b"1\r\na\r\n" * 20_000)
    await reader.read()


async def send_tiny_requests(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send the smallest requests at full speed until the connection is closed."""
    while True:
        writer.write(b"GET / HTTP/1.1\r\n\r\n" * 3000)
        await writer.drain()
        await asyncio.sleep(0)


async def send_valid_requests(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send small requests under ever new names, one as soon as the one before is answered."""

    def next_request() -> bytes:
        name = next(_NAMES)
        return request_bytes(headers={"X-Tenant": f"t{name}", "X-Key": f"k{name}", "X-Deadline": "9.9"})

    await _send_in_turn(reader, writer, next_request)


async def send_up_checks(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send health checks, one as soon as the one before is answered."""
    await _send_in_turn(reader, writer, lambda: b"GET /up HTTP/1.1\r\n\r\n")


async def send_unknown_classes(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send requests of classes that do not exist, under ever new names."""

    def next_request() -> bytes:
        name = next(_NAMES)
        return b"GET /class%d HTTP/1.1\r\nX-Request-Id: %d\r\n\r\n" % (name, name)

    await _send_in_turn(reader, writer, next_request)


async def _send_in_turn(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, next_request: Callable[[], bytes]
) -> None:
    """Send a request as soon as the one before is answered, until the connection is closed."""
    while True:
        writer.write(next_request())
        if not await reader.read(READ_CHUNK_BYTES):
            return


@asynccontextmanager
async def crowd(port: int, count: int, script: ClientScript) -> AsyncIterator[None]:
    """Run clients that repeat a script, each on a new connection, until the end of the context."""
    tasks = [asyncio.create_task(_repeat(port, script)) for _ in range(count)]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(0)  # the aborted transports close


async def _repeat(port: int, script: ClientScript) -> None:
    while True:
        with contextlib.suppress(OSError, TimeoutError):
            connection = socket.socket()
            connection.setblocking(False)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES)
            await asyncio.get_running_loop().sock_connect(connection, ("127.0.0.1", port))
            reader, writer = await asyncio.open_connection(sock=connection)
            try:
                async with asyncio.timeout(CLOSE_TIMEOUT_S):
                    await script(reader, writer)
            finally:
                writer.transport.abort()
        await asyncio.sleep(RECONNECT_DELAY_S)


@dataclass
class SoundClients:
    """Clients that send one request at a time and read its response.

    Attributes:
        body: The body of each request.
        statuses: How many requests ended with each status; 0 stands for a request without a response.
        latencies_s: The time of each response with status 200.
    """

    port: int
    body: bytes = b"one ticket"
    statuses: Counter[int] = field(default_factory=Counter)
    latencies_s: list[float] = field(default_factory=list)

    @property
    def served_share(self) -> float:
        """The share of the requests that got a response with status 200."""
        return self.statuses[HTTPStatus.OK] / max(1, self.statuses.total())

    @property
    def worst_latency_s(self) -> float:
        """The time of the slowest response with status 200, in seconds."""
        return max(self.latencies_s, default=0.0)

    async def run(self, count: int, duration_s: float, interval_s: float) -> None:
        """Run `count` clients, each of which pauses for `interval_s` between its requests."""
        until_s = time.monotonic() + duration_s
        async with asyncio.TaskGroup() as clients:
            for number in range(count):
                clients.create_task(self._run_client(until_s, interval_s, interval_s * number / count))

    async def _run_client(self, until_s: float, interval_s: float, starts_after_s: float) -> None:
        client: LoopbackClient | None = None
        await asyncio.sleep(starts_after_s)
        while time.monotonic() < until_s:
            is_kept = client is not None
            started_at_s = time.monotonic()
            try:
                async with asyncio.timeout(SOUND_TIMEOUT_S):
                    client = client or await LoopbackClient.connect(self.port)
                    response = await client.request("chapter-buy", body=self.body)
            except (OSError, TimeoutError):
                if client is not None:
                    client.close()
                client = None
                if not is_kept:  # a kept connection may end between requests
                    self.statuses[0] += 1
                continue
            client = self._record(client, response, time.monotonic() - started_at_s)
            await asyncio.sleep(interval_s)

    def _record(self, client: LoopbackClient, response: Message, latency_s: float) -> LoopbackClient | None:
        self.statuses[response.status] += 1
        if response.status == HTTPStatus.OK:
            self.latencies_s.append(latency_s)
        if response.keep_alive:
            return client
        client.close()
        return None
