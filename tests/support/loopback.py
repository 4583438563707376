"""Scripted endpoints, clients and a gateway, which use loopback sockets in a single event loop."""

from __future__ import annotations

import asyncio
import functools
import itertools
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from http_gateway.net.attempted_ids import AttemptedRequestIds
from http_gateway.net.discovery.endpoint_directory import EndpointDirectory
from http_gateway.net.discovery.endpoint_list import EndpointEntry, EndpointList, endpoint_id
from http_gateway.net.frontend.listener import Frontend
from http_gateway.net.http.messages import Message
from http_gateway.net.http.reader import RequestReader, ResponseReader
from http_gateway.net.http.writer import write_response
from http_gateway.net.memory.budget import MessageBudgets
from http_gateway.net.request_dispatcher import RequestDispatcher
from http_gateway.net.upstream.pool import UpstreamPool
from http_gateway.policy.balancer import Balancer
from http_gateway.policy.endpoint import Endpoint
from http_gateway.policy.settings import Idempotency, RequestClass, Settings
from http_gateway.policy.time_units import US_PER_MS

READ = RequestClass(
    "page-read", 400 * US_PER_MS, 15_000 * US_PER_MS, Idempotency.IDEMPOTENT, priority_weight=3
)
BUY = RequestClass("chapter-buy", 400 * US_PER_MS, 20_000 * US_PER_MS, priority_weight=8)
SETTINGS = Settings((READ, BUY), max_attempts=5, hedging_allowed=True, cancellation_allowed=True)
TEST_TIMEOUT_S = 30.0  # long enough for slow or busy machines
READ_CHUNK_BYTES = 65536
POLL_INTERVAL_S = 0.005
MAX_UNREAD_REQUESTS = 1000
MAX_REQUEST_IDS = 1000
MAX_ENDPOINTS = 4096
DEFAULT_MESSAGE_BYTES = 4 * 1024 * 1024

# Each request gets its own id, because a gateway rejects a request whose id belongs to an open request.
_REQUEST_NUMBERS = itertools.count()

# The function that a peer calls for each request; it may write a response to the request's connection.
PeerScript = Callable[[Message, asyncio.StreamWriter], Awaitable[None]]


def async_test(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Make a test function of a coroutine function, which runs in its own event loop.

    The test fails with a TimeoutError if it takes longer than `2 * TEST_TIMEOUT_S`.
    """

    @functools.wraps(test)
    def run(*args: object, **kwargs: object) -> None:
        asyncio.run(asyncio.wait_for(test(*args, **kwargs), 2 * TEST_TIMEOUT_S))

    return run


async def wait_until(condition: Callable[[], object]) -> None:
    """Poll a condition until it is true.

    Raises:
        TimeoutError: The condition is still false after `TEST_TIMEOUT_S`.
    """
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(POLL_INTERVAL_S)


def respond_with(status: int = 200, body: bytes = b"page", **headers: str) -> PeerScript:
    """Return a script that sends the same response to every request.

    Args:
        status: The status code of the response.
        body: The body of the response.
        **headers: Header values by name, where `_` in a name stands for `-`.

    Returns:
        The script for a `LoopbackPeer`.
    """
    pairs = [(name.replace("_", "-").encode(), value.encode()) for name, value in headers.items()]

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(write_response(status, pairs, body, close=False))

    return script


async def never_respond(request: Message, writer: asyncio.StreamWriter) -> None:
    """Script that sends no response to a request."""


async def reset_connection(request: Message, writer: asyncio.StreamWriter) -> None:
    """Script that resets the connection instead of sending a response."""
    abort_with_reset(writer)


def abort_with_reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset, without sending buffered data."""
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


@dataclass
class LoopbackPeer:
    """An HTTP server, such as an endpoint or a discovery service, that runs a script for each request.

    Attributes:
        script: The function that handles each request.
        name: The name of the peer, from which its endpoint id is derived.
        requests: All requests received so far, in the order in which they became complete.
        request_writers: The writer of the connection of each of these requests.
        connection_count: The number of accepted connections.
        closed_count: The number of accepted connections that have closed.
        writers: The writers of all accepted connections, open or closed.
        port: The port to listen on; 0 selects a free port, which `start` stores here.
    """

    script: PeerScript
    name: str = "s-1"
    requests: list[Message] = field(default_factory=list)
    request_writers: list[asyncio.StreamWriter] = field(default_factory=list)
    connection_count: int = 0
    closed_count: int = 0
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    port: int = 0
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen on the loopback address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        self.writers.append(writer)
        requests = RequestReader()
        try:
            while data := await reader.read(READ_CHUNK_BYTES):
                for request in requests.feed(data):
                    self.requests.append(request)
                    self.request_writers.append(writer)
                    await self.script(request, writer)
        except ConnectionError:
            pass
        finally:
            self.closed_count += 1
            writer.close()

    def stop(self) -> None:
        """Stop listening, and abort every connection."""
        if self._server is not None:
            self._server.close()
        for writer in self.writers:
            writer.transport.abort()

    def endpoint_entry(self, **fields: Any) -> EndpointEntry:
        """Return this peer as an entry of the gateway's endpoint list; `fields` are passed to `Endpoint`."""
        return EndpointEntry(Endpoint(endpoint_id(self.name), **fields), ("127.0.0.1", self.port))

    def list_entry(self, phase: str = "Ready", **fields: Any) -> dict[str, Any]:
        """Return this peer as an entry of a discovery document; `fields` add or replace JSON fields."""
        return {
            "id": self.name,
            "host_port": f"127.0.0.1:{self.port}",
            "locality": "a",
            "flavor": "m2",
            "cell": 0,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": 0,
            **fields,
        }


@asynccontextmanager
async def start_peers(*scripts: PeerScript) -> AsyncIterator[list[LoopbackPeer]]:
    """Run one peer for each script, with the names `s-0`, `s-1` and so on, and stop all peers at the end."""
    peers = [LoopbackPeer(script, f"s-{place}") for place, script in enumerate(scripts)]
    for peer in peers:
        await peer.start()
    try:
        yield peers
    finally:
        for peer in peers:
            peer.stop()


def request_bytes(
    class_name: str = "page-read", headers: Mapping[str, str] | None = None, body: bytes = b""
) -> bytes:
    """Encode a request with a unique request id.

    Args:
        class_name: The request class. `page-read` is sent as a GET, and every other class as a POST with a
            Content-Length header.
        headers: Headers that extend or replace the default headers. An empty value removes a header.
        body: The body of the request.

    Returns:
        The request as it is sent over the connection.
    """
    method = "GET" if class_name == "page-read" else "POST"
    values = {
        "Host": "api.internal",
        "X-Request-Id": f"9b1f{next(_REQUEST_NUMBERS):04x}",
        "X-Class": class_name,
        "X-Deadline": "10.0",
    }
    values |= headers or {}
    if method == "POST":
        values["Content-Length"] = str(len(body))
    request_line = f"{method} /{class_name}?page=4 HTTP/1.1"
    header_lines = [f"{name}: {value}" for name, value in values.items() if value]
    return "\r\n".join([request_line, *header_lines]).encode() + b"\r\n\r\n" + body


class LoopbackClient:
    """A client connection that expects at most one response at a time.

    Attributes:
        writer: The writer of the connection, for tests that send raw bytes.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self._reader = reader
        self._responses = ResponseReader()

    @classmethod
    async def connect(cls, port: int) -> LoopbackClient:
        """Connect to a gateway that listens on the loopback address."""
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    async def response(self) -> Message:
        """Return the next response.

        Raises:
            ConnectionError: The connection ends before a complete response arrives.
            TimeoutError: No complete response arrives within `TEST_TIMEOUT_S`.
        """
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while data := await self._reader.read(READ_CHUNK_BYTES):
                responses = self._responses.feed(data)
                assert self._responses.error is None
                if responses:
                    assert len(responses) == 1
                    return responses[0]
        raise ConnectionError("the connection closed before a complete response arrived")

    async def request(
        self, class_name: str = "page-read", headers: Mapping[str, str] | None = None, body: bytes = b""
    ) -> Message:
        """Send a request, and return its response.

        Raises:
            ConnectionError: The connection ends before a complete response arrives.
            TimeoutError: No complete response arrives within `TEST_TIMEOUT_S`.
        """
        self.writer.write(request_bytes(class_name, headers, body))
        return await self.response()

    async def read_until_closed(self) -> bytes:
        """Return all bytes that arrive until the gateway closes the connection."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            return await self._reader.read()

    def pause_reading(self) -> None:
        """Pause reading, so that responses stay in the socket buffers."""
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading."""
        self._transport.resume_reading()

    @property
    def _transport(self) -> asyncio.Transport:
        assert isinstance(self.writer.transport, asyncio.Transport)
        return self.writer.transport

    def close(self) -> None:
        """Abort the connection without sending buffered data."""
        self.writer.transport.abort()


async def request_and_never_read(client: LoopbackClient, peer: LoopbackPeer) -> None:
    """Send requests without reading responses, until the gateway stops reading from the connection.

    The gateway is taken to have stopped once the peer has received over a dozen requests fewer than were
    sent.

    Raises:
        AssertionError: The gateway has not stopped after `MAX_UNREAD_REQUESTS` requests.
    """
    transport = client.writer.transport
    assert isinstance(transport, asyncio.ReadTransport)
    transport.pause_reading()
    for sent in range(MAX_UNREAD_REQUESTS):
        client.writer.write(request_bytes())
        await asyncio.sleep(POLL_INTERVAL_S)
        if sent > len(peer.requests) + 12:
            return
    raise AssertionError("the gateway kept reading requests although the client read no responses")


@dataclass
class RunningGateway:
    """The components of a gateway that runs in the event loop of the test."""

    dispatcher: RequestDispatcher
    pool: UpstreamPool
    frontend: Frontend
    balancer: Balancer
    port: int

    async def connect(self) -> LoopbackClient:
        """Open a new client connection to the gateway."""
        return await LoopbackClient.connect(self.port)

    async def request(
        self, class_name: str = "page-read", headers: Mapping[str, str] | None = None
    ) -> Message:
        """Send one request on a new connection, and return its response."""
        client = await self.connect()
        try:
            return await client.request(class_name, headers)
        finally:
            client.close()


@asynccontextmanager
async def running_gateway(
    *entries: EndpointEntry,
    settings: Settings = SETTINGS,
    idle_timeout_s: float = 60.0,
    max_connections: int = 100,
    connect_timeout_s: float = 1.0,
    max_message_bytes: int = DEFAULT_MESSAGE_BYTES,
) -> AsyncIterator[RunningGateway]:
    """Run a gateway in the current event loop, on a free port.

    Args:
        *entries: The initial endpoint list; without entries, the gateway receives no list.
        settings: The settings of the policy.
        idle_timeout_s: The time after which an idle connection to an endpoint closes, in seconds.
        max_connections: The limit on upstream connections and, separately, on client connections.
        connect_timeout_s: The timeout for opening a connection to an endpoint, in seconds.
        max_message_bytes: The memory for requests and, separately, for responses.

    Yields:
        The running gateway, which accepts no further connections after the context ends.
    """
    budgets = MessageBudgets.create(max_message_bytes, max_connections, max_connections)
    pool = UpstreamPool(connect_timeout_s, idle_timeout_s, max_connections, budgets)
    balancer = Balancer(settings, seed=1)
    dispatcher = RequestDispatcher(
        balancer,
        pool,
        budgets.requests,
        AttemptedRequestIds(MAX_REQUEST_IDS),
        EndpointDirectory(MAX_ENDPOINTS),
    )
    if entries:
        dispatcher.update_endpoints(EndpointList(1, True, entries))
    frontend = Frontend(dispatcher, settings, max_connections, budgets)
    port = frontend.listen(frontend.bind("127.0.0.1", 0))
    try:
        yield RunningGateway(dispatcher, pool, frontend, balancer, port)
    finally:
        frontend.stop_accepting()


def endpoint_list(*entries: EndpointEntry, complete: bool = True, revision: int = 2) -> EndpointList:
    """Return an endpoint list; `running_gateway` starts with revision 1, so the default is the next one."""
    return EndpointList(revision, complete, entries)
