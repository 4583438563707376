"""An event loop whose clock advances only while nothing is left to do, and connections in memory."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any, Protocol, TypeVar

from http_gateway.net.http.shared_buffer import SharedBufferProtocol

Address = tuple[str, int]
START_AT_S = 1000.0  # on the virtual clock
Result = TypeVar("Result")


class VirtualServer(Protocol):
    """A server that accepts connections in memory."""

    async def accept(self) -> None:
        """Return once a connection is established; raises `OSError` if it is refused."""

    def on_bytes(self, connection: VirtualConnection, data: bytes) -> None:
        """Handle bytes that a client has sent."""


class VirtualConnection(asyncio.Transport):
    """The client's end of a connection in memory.

    Args:
        loop: The event loop with the virtual clock.
        protocol: The protocol of the client.
        server: The server at the other end.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, protocol: SharedBufferProtocol, server: VirtualServer
    ) -> None:
        super().__init__()
        self._loop = loop
        self._protocol = protocol
        self._server = server
        self._unread = b""
        self._is_paused = False
        self.is_closed = False

    def write(self, data: Any) -> None:
        """Pass bytes to the server in the next iteration of the event loop."""
        self._loop.call_soon(self._server.on_bytes, self, bytes(data))

    def deliver(self, data: bytes) -> None:
        """Let the client receive bytes."""
        self._unread += data
        self._read()

    def lose(self, error: Exception | None) -> None:
        """End the connection from the server's side: in order, or with an error."""
        if not self.is_closed:
            self.is_closed = True
            self._loop.call_soon(self._protocol.connection_lost, error)

    def abort(self) -> None:
        """Close the connection from the client's side."""
        self.lose(None)

    def pause_reading(self) -> None:
        """Keep received bytes until `resume_reading`."""
        self._is_paused = True

    def resume_reading(self) -> None:
        """Receive bytes again."""
        self._is_paused = False
        self._loop.call_soon(self._read)

    def _read(self) -> None:
        while self._unread and not self._is_paused and not self.is_closed:
            buffer = self._protocol.get_buffer(-1)
            size = min(len(buffer), len(self._unread))
            buffer[:size] = self._unread[:size]
            self._unread = self._unread[size:]
            self._protocol.buffer_updated(size)


class _VirtualSelector(selectors.SelectSelector):
    """A selector that advances the clock instead of waiting."""

    now_s = START_AT_S

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the events that are there, and advance the clock by the timeout if there are none."""
        events = super().select(0)
        if not events:
            assert timeout is not None, "no timer is set, so nothing will ever happen"
            self.now_s += timeout
        return events


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop with a virtual clock, whose connections lead to servers in memory."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        self._servers: dict[Address, VirtualServer] = {}
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now_s

    def add_server(self, server: VirtualServer) -> Address:
        """Give a server an address."""
        address = ("127.0.0.1", len(self._servers) + 1)
        self._servers[address] = server
        return address

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Callable[[], SharedBufferProtocol], host: str, port: int
    ) -> tuple[VirtualConnection, SharedBufferProtocol]:
        """Connect to a server in memory."""
        server = self._servers[host, port]
        await server.accept()
        protocol = protocol_factory()
        connection = VirtualConnection(self, protocol, server)
        protocol.connection_made(connection)
        return connection, protocol


def run_in_virtual_time(main: Callable[[VirtualTimeLoop], Coroutine[Any, Any, Result]]) -> Result:
    """Run a coroutine function in a new event loop with a virtual clock, and return its result."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(main(loop))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
