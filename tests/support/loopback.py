"""Small scripted peers on loopback sockets, and a gateway between them."""

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

from http_gateway.net.discovery.endpoint_list import EndpointEntry, EndpointList, endpoint_id
from http_gateway.net.frontend.listener import Frontend
from http_gateway.net.http.messages import Message
from http_gateway.net.http.reader import RequestReader, ResponseReader
from http_gateway.net.http.writer import write_response
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
TEST_TIMEOUT_S = 30.0  # seconds that a condition may take on a slow machine

_IDS = itertools.count()  # an id may be open once at a time

PeerScript = Callable[[Message, asyncio.StreamWriter], Awaitable[None]]


def async_test(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Run an async test in a loop of its own, for a generous time at most."""

    @functools.wraps(test)
    def run(*args: object, **kwargs: object) -> None:
        asyncio.run(asyncio.wait_for(test(*args, **kwargs), 2 * TEST_TIMEOUT_S))

    return run


async def wait_until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


def respond_with(status: int = 200, body: bytes = b"page", **headers: str) -> PeerScript:
    """A host that answers so; an underscore in a header's name stands for a dash."""
    pairs = [(name.replace("_", "-").encode(), value.encode()) for name, value in headers.items()]

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(write_response(status, pairs, body, close=False))

    return script


async def never_respond(request: Message, writer: asyncio.StreamWriter) -> None:
    """Takes a request and never answers."""


async def reset_connection(request: Message, writer: asyncio.StreamWriter) -> None:
    abort_with_reset(writer)


def abort_with_reset(writer: asyncio.StreamWriter) -> None:
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


@dataclass
class LoopbackPeer:
    """A server that hands each whole request to its script."""

    script: PeerScript
    name: str = "s-1"
    requests: list[Message] = field(default_factory=list)
    request_writers: list[asyncio.StreamWriter] = field(
        default_factory=list
    )  # the connection of each request
    connections: int = 0
    closed: int = 0
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    port: int = 0
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.append(writer)
        parser = RequestReader()
        try:
            while data := await reader.read(65536):
                for request in parser.feed(data):
                    self.requests.append(request)
                    self.request_writers.append(writer)
                    await self.script(request, writer)
        except ConnectionError:
            pass
        finally:
            self.closed += 1
            writer.close()

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in self.writers:
            writer.transport.abort()

    def endpoint_entry(self, **fields: Any) -> EndpointEntry:
        return EndpointEntry(Endpoint(endpoint_id(self.name), **fields), ("127.0.0.1", self.port))

    def list_entry(self, phase: str = "Ready", **fields: Any) -> dict[str, Any]:
        """This host in discovery's form."""
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
    started = [LoopbackPeer(script, f"s-{place}") for place, script in enumerate(scripts)]
    for peer in started:
        await peer.start()
    try:
        yield started
    finally:
        for peer in started:
            peer.stop()


def request_bytes(
    class_name: str = "page-read", headers: Mapping[str, str] | None = None, body: bytes = b""
) -> bytes:
    method = "GET" if class_name == "page-read" else "POST"
    told = {
        "Host": "api.internal",
        "X-Request-Id": f"9b1f{next(_IDS):04x}",
        "X-Class": class_name,
        "X-Deadline": "10.0",
    }
    told |= headers or {}
    if method == "POST":
        told["Content-Length"] = str(len(body))
    lines = [
        f"{method} /{class_name}?page=4 HTTP/1.1",
        *(f"{name}: {told[name]}" for name in told if told[name]),
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class LoopbackClient:
    """One client connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self.writer = reader, writer
        self._parser = ResponseReader()

    @classmethod
    async def connect(cls, port: int) -> LoopbackClient:
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    async def response(self) -> Message:
        """The next answer; ConnectionError if the connection ends without one."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while data := await self._reader.read(65536):
                answers = self._parser.feed(data)
                assert self._parser.error is None
                if answers:
                    assert len(answers) == 1
                    return answers[0]
        raise ConnectionError("no answer")

    async def request(
        self, class_name: str = "page-read", headers: Mapping[str, str] | None = None, body: bytes = b""
    ) -> Message:
        self.writer.write(request_bytes(class_name, headers, body))
        return await self.response()

    async def read_until_closed(self) -> bytes:
        """All that still comes, once the gateway has closed."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            return await self._reader.read()

    def close(self) -> None:
        self.writer.transport.abort()


async def request_and_never_read(client: LoopbackClient, host: LoopbackPeer) -> None:
    """Ask until the gateway takes no more in."""
    client.writer.transport.pause_reading()  # type: ignore[attr-defined]
    for sent in range(1000):
        client.writer.write(request_bytes())
        await asyncio.sleep(0.005)
        if sent > len(host.requests) + 12:
            return
    raise AssertionError("it takes everything in")


@dataclass
class RunningGateway:
    dispatcher: RequestDispatcher
    pool: UpstreamPool
    frontend: Frontend
    balancer: Balancer
    port: int

    async def connect(self) -> LoopbackClient:
        return await LoopbackClient.connect(self.port)

    async def request(
        self, class_name: str = "page-read", headers: Mapping[str, str] | None = None
    ) -> Message:
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
) -> AsyncIterator[RunningGateway]:
    """A gateway in this loop, on a free port, with these hosts on its list."""
    pool = UpstreamPool(connect_timeout_s, idle_timeout_s, max_connections)
    balancer = Balancer(settings, seed=1)
    dispatcher = RequestDispatcher(balancer, pool)
    if entries:
        dispatcher.update_endpoints(EndpointList(1, True, entries))
    frontend = Frontend(dispatcher, settings, max_connections)
    port = await frontend.listen(frontend.bind("127.0.0.1", 0))
    try:
        yield RunningGateway(dispatcher, pool, frontend, balancer, port)
    finally:
        frontend.stop_accepting()


def endpoint_list(*entries: EndpointEntry, complete: bool = True, revision: int = 2) -> EndpointList:
    return EndpointList(revision, complete, entries)
