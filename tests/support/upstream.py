"""Makes attempts at one endpoint without a dispatcher."""

from __future__ import annotations

import asyncio

from http_gateway.net.discovery.endpoint_list import EndpointEntry, endpoint_id
from http_gateway.net.http.messages import Message
from http_gateway.net.upstream import pool
from http_gateway.net.upstream.pool import UpstreamAttempt, UpstreamPool
from http_gateway.policy.endpoint import Endpoint, EndpointState
from http_gateway.policy.events import Outcome
from tests.support.loopback import (
    wait_until,
)

HOST = endpoint_id("s-0")
PAGE = Message(b"GET", b"/page-read", headers=[(b"x-request-id", b"1")])


class Sender:
    """Sends to one host and keeps what came of each attempt."""

    def __init__(
        self,
        port: int,
        idle_timeout_s: float = 60.0,
        max_connections: int = 10,
        connect_timeout_s: float = 1.0,
    ) -> None:
        self.pool = UpstreamPool(connect_timeout_s, idle_timeout_s, max_connections)
        self.ends: list[tuple[Outcome, Message | None]] = []
        self.attempt: UpstreamAttempt | None = None
        self.list(port)

    def list(self, port: int, state: EndpointState = EndpointState.READY) -> None:
        self.pool.update_endpoints(
            [EndpointEntry(Endpoint(HOST, state), ("127.0.0.1", port))], is_complete=False
        )

    def start(self, message: Message = PAGE) -> UpstreamAttempt | None:
        expires = asyncio.get_running_loop().time() + 30
        return self.pool.start_attempt(HOST, message, expires, self._ended)

    def _ended(self, attempt: UpstreamAttempt, outcome: Outcome, answer: Message | None) -> None:
        self.ends.append((outcome, answer))

    async def settle(self) -> None:
        """Wait until idle connections may be used again."""
        idle = self.pool.idle_connections(HOST)
        loop = asyncio.get_running_loop()
        await wait_until(lambda: all(loop.time() - other.idle_since > pool.SETTLE_TIME for other in idle))

    async def outcome(self, message: Message = PAGE) -> Outcome:
        count = len(self.ends)
        await self.settle()
        assert self.start(message) is not None
        await wait_until(lambda: len(self.ends) > count)
        return self.ends[-1][0]
