"""Hosts that serve requests as PROTOCOL describes them."""

from __future__ import annotations

import asyncio
import contextlib
import re
import time
from dataclasses import dataclass
from typing import Any

from standins2.record import Record


@dataclass(frozen=True)
class Arrival:
    """One request that reached a host."""

    first_byte_at_s: float
    host_id: str
    request_id: str


class Host:
    """Serves each request with 200 after a fixed time of work, and keeps connections open.

    Attributes:
        arrivals: The requests that have arrived.
        fails: Whether requests are answered with 500 (error) instead of 200.
    """

    def __init__(self, host_id: str, zone: str, cell: int, work_s: float, record: Record) -> None:
        self.host_id = host_id
        self._zone = zone
        self._cell = cell
        self._work_s = work_s
        self._record = record
        self._server: asyncio.Server | None = None
        self.arrivals: list[Arrival] = []
        self.fails = False

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    @property
    def port(self) -> int:
        """The port on which it listens."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    def entry(self) -> dict[str, Any]:
        """Return the host as discovery lists it: ready and warm."""
        return {
            "id": self.host_id,
            "host_port": f"127.0.0.1:{self.port}",
            "locality": self._zone,
            "flavor": "standard",
            "cell": self._cell,
            "phase": "Ready",
            "size": 1.0,
            "up_since_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                first = await reader.readexactly(1)
                first_byte_at_s = time.time()
                head = first + await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"\r\ncontent-length: *(\d+)", head.lower())
                if length:
                    await reader.readexactly(int(length.group(1)))
                found = re.search(rb"\r\nx-request-id: *(\S+)", head.lower())
                request_id = found.group(1).decode() if found else "none"
                self.arrivals.append(Arrival(first_byte_at_s, self.host_id, request_id))
                self._record.add(f"{self.host_id}: runs {request_id}", first_byte_at_s)
                await asyncio.sleep(self._work_s)
                body = f"{self.host_id} {request_id}".encode()
                status = b"500 Internal Server Error" if self.fails else b"200 OK"
                writer.write(b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body))
                await writer.drain()
        writer.close()
