"""Helpers for tests of upstream connections, with and without a request dispatcher."""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import Callable
from typing import Any, NamedTuple

import pytest

from http_gateway.net.discovery.endpoint_list import EndpointEntry, endpoint_id
from http_gateway.net.http.messages import Message
from http_gateway.net.memory.budget import MessageBudgets
from http_gateway.net.request_dispatcher import RequestDispatcher
from http_gateway.net.upstream.attempt import UpstreamAttempt
from http_gateway.net.upstream.pool import UpstreamPool
from http_gateway.policy.endpoint import Endpoint, EndpointId, EndpointState
from http_gateway.policy.events import Outcome, RequestId
from tests.support.loopback import DEFAULT_MESSAGE_BYTES, LoopbackPeer, wait_until

ENDPOINT_ID = endpoint_id("s-0")
ATTEMPT_TIMEOUT_S = 30.0
SMALL_BUFFER_BYTES = 4096

SAFE_REQUEST = Message(b"GET", b"/page-read", headers=[(b"x-request-id", b"1")])
UNSAFE_REQUEST = Message(b"POST", b"/chapter-add", headers=[(b"x-request-id", b"1")], body=b"text")
OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npage"


def unsafe_request(body_bytes: int) -> Message:
    """Return a request with an unsafe method and a body of this many bytes."""
    return Message(b"POST", b"/chapter-add", headers=UNSAFE_REQUEST.headers, body=bytes(body_bytes))


class AttemptEnd(NamedTuple):
    """The outcome of an attempt, and its response if there is one."""

    outcome: Outcome
    response: Message | None


class AttemptDriver:
    """Starts attempts at one endpoint without a dispatcher, and records their outcomes.

    Args:
        port: Port of the endpoint on 127.0.0.1.
        idle_timeout_s: Seconds for which the endpoint keeps an idle connection open.
        max_connections: Limit on the connections of the pool.
        connect_timeout_s: Seconds within which a connection has to be established.
    """

    def __init__(
        self,
        port: int,
        idle_timeout_s: float = 60.0,
        max_connections: int = 10,
        connect_timeout_s: float = 1.0,
    ) -> None:
        budgets = MessageBudgets.create(DEFAULT_MESSAGE_BYTES, max_connections, max_connections)
        self.pool = UpstreamPool(connect_timeout_s, idle_timeout_s, max_connections, budgets)
        self.ends: list[AttemptEnd] = []
        self.is_client_waiting = True
        self._port = port
        self.update_endpoint()

    def update_endpoint(self, **fields: Any) -> None:
        """Apply an endpoint list in which the endpoint has these fields."""
        entry = EndpointEntry(Endpoint(ENDPOINT_ID, **fields), ("127.0.0.1", self._port))
        self.pool.update_endpoints([entry], is_complete=False)

    def drain_endpoint(self) -> None:
        """Apply an endpoint list in which the endpoint is draining."""
        self.update_endpoint(state=EndpointState.DRAINING)

    def start(
        self, request: Message = SAFE_REQUEST, last_byte_deadline_s: float = math.inf
    ) -> UpstreamAttempt | None:
        """Start an attempt; return None if the pool does not start it."""
        return self.pool.start_attempt(
            ENDPOINT_ID,
            request,
            asyncio.get_running_loop().time() + ATTEMPT_TIMEOUT_S,
            self._record_end,
            lambda: self.is_client_waiting,
            last_byte_deadline_s,
        )

    async def run(self, request: Message = SAFE_REQUEST) -> AttemptEnd:
        """Wait until idle connections may be used again, start an attempt and return its end."""
        count = len(self.ends)
        await self.wait_until_reusable()
        assert self.start(request) is not None
        await wait_until(lambda: len(self.ends) > count)
        return self.ends[-1]

    async def run_and_read_body(self, request: Message = SAFE_REQUEST) -> bytes:
        """Run an attempt that has to succeed, and return the body of its response."""
        end = await self.run(request)
        assert end.outcome is Outcome.OK
        assert end.response is not None
        return end.response.body

    async def wait_for_ends(self, count: int) -> None:
        """Wait until this many attempts have ended in total."""
        await wait_until(lambda: len(self.ends) == count)

    async def wait_until_reusable(self) -> None:
        """Wait until idle connections may be used again."""
        await wait_until_reusable(self.pool, ENDPOINT_ID)

    async def wait_until_disconnected(self) -> None:
        """Wait until all connections to the endpoint are closed."""
        await wait_until(lambda: self.pool.open_descriptors == 0)

    def idle_transport(self) -> asyncio.Transport:
        """Return the transport of the only idle connection."""
        (connection,) = self.pool.idle_connections(ENDPOINT_ID)
        assert connection._transport is not None
        return connection._transport

    def _record_end(self, outcome: Outcome, response: Message | None) -> None:
        self.ends.append(AttemptEnd(outcome, response))


class SlowReadingEndpoint:
    """An endpoint that reads only when the test does so, over a connection with small buffers."""

    def __init__(self) -> None:
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen()
        self._listener.setblocking(False)
        self.driver = AttemptDriver(self._listener.getsockname()[1])
        self.attempt: UpstreamAttempt
        self.gateway_socket: socket.socket

    async def accept_request(self, body_bytes: int, last_byte_deadline_s: float) -> socket.socket:
        """Start an attempt whose request does not fit into the buffers; return the endpoint's socket."""
        loop = asyncio.get_running_loop()
        create_connection = loop.create_connection

        async def connect_with_small_buffer(*args: Any) -> Any:
            transport, protocol = await create_connection(*args)
            self.gateway_socket = transport.get_extra_info("socket")
            self.gateway_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
            return transport, protocol

        loop.create_connection = connect_with_small_buffer  # type: ignore[method-assign, assignment]
        attempt = self.driver.start(unsafe_request(body_bytes), last_byte_deadline_s)
        assert attempt is not None
        self.attempt = attempt
        endpoint_socket, _ = await loop.sock_accept(self._listener)
        return endpoint_socket


async def read_to_end(peer_socket: socket.socket) -> bytes:
    """Read all bytes until the connection is closed or reset."""
    received, loop = b"", asyncio.get_running_loop()
    try:
        while data := await loop.sock_recv(peer_socket, 65536):
            received += data
    except ConnectionError:
        pass
    return received


class DelayedConnects:
    """Delays all connects to these endpoints until `allow` is set."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, *peers: LoopbackPeer) -> None:
        self.allow = asyncio.Event()
        self.waiting_count = 0
        loop = asyncio.get_running_loop()
        create_connection = loop.create_connection
        ports = {peer.port for peer in peers}

        async def connect_when_allowed(make: Callable[[], Any], address: str, port: int) -> Any:
            if port in ports:
                self.waiting_count += 1
                await self.allow.wait()
            return await create_connection(make, address, port)

        monkeypatch.setattr(loop, "create_connection", connect_when_allowed)


async def wait_until_reusable(pool: UpstreamPool, endpoint_id: EndpointId) -> None:
    """Wait until all connections to an endpoint that are idle now may be used again."""
    loop = asyncio.get_running_loop()
    idle = pool.idle_connections(endpoint_id)
    await wait_until(lambda: all(connection.is_reuse_delay_over(loop.time()) for connection in idle))


async def wait_for_requests(peer: LoopbackPeer, count: int) -> None:
    """Wait until an endpoint has received this many requests."""
    await wait_until(lambda: len(peer.requests) == count)


def expire_request(dispatcher: RequestDispatcher, request_id: RequestId) -> None:
    """Make a request reach its deadline now, as if its deadline timer had fired."""
    request = dispatcher._requests.get(request_id)
    if request is not None:
        request.deadline_at_us = 0
    dispatcher._on_deadline(request_id)
