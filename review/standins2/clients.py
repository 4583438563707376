"""Clients that send one request at a time on each of their connections."""

from __future__ import annotations

import asyncio
import contextlib
import random
import re
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from standins2.record import Record

LAST_ANSWERS_S = 20.0  # far more than any client's time


@dataclass(frozen=True)
class RequestKind:
    """A class of requests, as the settings name it."""

    name: str
    effect: str
    deadline_s: float
    tenant: str


@dataclass(frozen=True)
class Call:
    """One request of a client.

    Attributes:
        late_s: How long after the client's deadline it was answered, or until when it was not.
    """

    request_id: str
    sent_at_s: float
    status: int
    late_s: float


class Clients:
    """Send requests to one gateway at a steady mean rate.

    Attributes:
        calls: All requests that have ended.
        statuses: How often each status was answered; 0 stands for a connection that ended without one.
    """

    def __init__(
        self,
        gateway_index: int,
        address: str,
        kinds: Sequence[RequestKind],
        rate_per_s: float,
        record: Record,
    ) -> None:
        self._gateway_index = gateway_index
        self._host, port = address.rsplit(":", 1)
        self._port = int(port)
        self._kinds = kinds
        self._rate_per_s = rate_per_s
        self._record = record
        self._count = 0
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.statuses: Counter[int] = Counter()
        self.calls: list[Call] = []

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            task = asyncio.create_task(self._send())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(random.expovariate(self._rate_per_s))

    async def finish(self) -> None:
        """Wait for the open requests for some time, then close all connections."""
        if self._tasks:
            _, unanswered = await asyncio.wait(self._tasks, timeout=LAST_ANSWERS_S)
            for task in unanswered:
                task.cancel()
            await asyncio.gather(*unanswered, return_exceptions=True)
        for _, writer in self._idle:
            writer.close()

    async def _send(self) -> None:
        self._count += 1
        request_id = f"{self._gateway_index:02x}{self._count:06x}{random.getrandbits(32):08x}"
        kind = random.choice(self._kinds)
        status = 0
        sent_at_s = time.time()
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await self._connection()
                writer.write(_request_bytes(kind, request_id))
                status, keeps_open = await _read_response(reader)
                if keeps_open:
                    self._idle.append((reader, writer))
                else:
                    writer.close()
        finally:
            late_s = time.time() - sent_at_s - kind.deadline_s
            self.calls.append(Call(request_id, sent_at_s, status, late_s))
            self.statuses[status] += 1
            self._record.add(f"client: sends {request_id} {kind.name}", sent_at_s)
            self._record.add(f"client: {request_id} is answered {status}")

    async def _connection(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        while self._idle:
            reader, writer = self._idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
            writer.close()
        return await asyncio.open_connection(self._host, self._port)


def _request_bytes(kind: RequestKind, request_id: str) -> bytes:
    method = "GET" if kind.effect == "idempotent" else "POST"
    lines = [
        f"{method} /{kind.name} HTTP/1.1",
        "Host: api.internal",
        f"X-Request-Id: {request_id}",
        f"X-Class: {kind.name}",
        f"X-Tenant: {kind.tenant}",
        f"X-Deadline: {kind.deadline_s:.3f}",
    ]
    body = ""
    if method == "POST":
        body = "order=1"
        lines.append(f"Content-Length: {len(body)}")
    if kind.effect == "deduplicated":
        lines.append(f"Idempotency-Key: {random.getrandbits(128):032x}")
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()


async def _read_response(reader: asyncio.StreamReader) -> tuple[int, bool]:
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    length = re.search(rb"\r\ncontent-length: *(\d+)", head)
    if length:
        await reader.readexactly(int(length.group(1)))
    return int(head[9:12]), b"connection: close" not in head
