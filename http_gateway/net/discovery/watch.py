"""One call to a discovery service: an HTTP request whose response is a stream of endpoint lists."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import Protocol

import httptools

from http_gateway.net.address import Address
from http_gateway.net.discovery.json_stream import JsonStreamSplitter
from http_gateway.net.http.shared_buffer import RECEIVE_BUFFER_BYTES, SharedBufferProtocol

# The service sends an empty line every 2 s on an open watch, so a longer silence means that the watch has
# failed.
WATCH_IDLE_TIMEOUT_S = 2.5
# Bytes that are read at once: some thirty lines with one change each. A list that is longer is read faster.
READ_BYTES = 8 * 1024


class WatchRejectedError(Exception):
    """Raised when the discovery service responds with a status other than 200."""

    def __init__(self, status: int) -> None:
        self.status = status
        super().__init__(f"discovery responded with status {status}")


class WatchListener(Protocol):
    """Receiver of the events of a watch."""

    def on_rejected(self, after_s: float) -> None:
        """Handle a rejected call.

        Args:
            after_s: Seconds from the request to the rejection.
        """

    def try_activate(self, watch: DiscoveryWatch) -> bool:
        """Make a watch the active one if there is none; return whether it is the active watch."""

    def on_document(self, watch: DiscoveryWatch, document: bytes) -> None:
        """Handle a complete document; an exception raised here ends the watch."""


class DiscoveryWatch(SharedBufferProtocol):
    """The connection of one call, which passes each received document to a listener.

    It reads a little at a time, and the listener stops it from reading while documents wait to be applied. A
    call has no time limit of its own until its first line has arrived, because it can still bring a list.

    Args:
        address: The address of the service.
        revision: The revision to resume from; 0 requests a complete list.
        listener: The receiver of documents and rejections.
        max_document_bytes: The largest document that is accepted.

    Attributes:
        answered: Resolves to whether the first line has arrived; False if the watch ended before that.
        ended: Resolves to the reason for the end, once the watch has ended.
        called_at_s: Loop time at which the call was started.
        last_line_at_s: Loop time of the last complete line, before the first line that of the response head,
            and before the head that of the start of the call.
    """

    def __init__(
        self, address: Address, revision: int, listener: WatchListener, max_document_bytes: int
    ) -> None:
        self._request = _watch_request(address, revision)
        self._listener = listener
        self._documents = JsonStreamSplitter(max_document_bytes)
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._requested_at_s = 0.0
        self._timeout: asyncio.TimerHandle | None = None
        self._is_paused = False
        self.answered: asyncio.Future[bool] = self._loop.create_future()
        self.called_at_s = self._loop.time()
        self.last_line_at_s = self.called_at_s
        self._has_responded = False
        self.ended: asyncio.Future[str] = self._loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request on the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self.ended.done():
            transport.abort()
            return
        self._requested_at_s = self._loop.time()
        transport.write(self._request)

    @property
    def stalled_at_s(self) -> float | None:
        """Loop time from which the watch is silent if no line arrives; None before the response head."""
        return self.last_line_at_s + WATCH_IDLE_TIMEOUT_S if self._has_responded else None

    def next_read_bytes(self) -> int:
        """Return how many bytes the next read may have."""
        is_long_document = self._documents.partial_document_bytes > READ_BYTES
        return RECEIVE_BUFFER_BYTES if is_long_document else READ_BYTES

    def on_data(self, data: memoryview) -> None:
        """Parse the next part of the response."""
        if self.ended.done() or self._parser is None:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.end(_describe(error))
        # The timeout is not restarted while a document is incomplete: the rest must arrive before it expires.
        if self.answered.done() and not self._documents.has_partial_document:
            self._on_line_complete()

    def pause_reading(self) -> None:
        """Read no more until `resume_reading`; what the service sends meanwhile waits in the socket."""
        assert self._transport is not None
        self._is_paused = True
        self._transport.pause_reading()
        if self._timeout is not None:
            self._timeout.cancel()

    def resume_reading(self) -> None:
        """Read again, and expect the next bytes within the idle timeout from now."""
        assert self._transport is not None
        self._is_paused = False
        if not self.ended.done():
            self._transport.resume_reading()
            self._restart_timeout()

    def on_headers_complete(self) -> None:
        """Check the response status; called by the parser.

        Raises:
            WatchRejectedError: The status is not 200.
        """
        assert self._parser is not None
        status = self._parser.get_status_code()
        if status != HTTPStatus.OK:
            self._listener.on_rejected(self._loop.time() - self._requested_at_s)
            raise WatchRejectedError(status)
        self._has_responded = True
        self.last_line_at_s = self._loop.time()

    def on_body(self, data: bytes) -> None:
        """Pass complete documents to the listener; called by the parser.

        Raises:
            JsonStreamError: The body contains other data than objects and arrays, or a document is too large.
        """
        for document in self._documents.feed(data):
            self._listener.on_document(self, document)
        if not self._documents.has_partial_document and not self.answered.done():
            self._on_first_line()

    def on_message_complete(self) -> None:
        """End the watch, as the response is complete; called by the parser."""
        self.end("response complete")

    def connection_lost(self, exc: Exception | None) -> None:
        """End the watch, as the connection is lost, and release the parser, which refers to the watch."""
        self.end(f"connection lost ({exc or 'closed'})")
        self._parser = None

    def end(self, reason: str) -> None:
        """Close the connection and record why the watch ended; does nothing if it has ended already.

        Args:
            reason: The reason for the log.
        """
        if self._timeout is not None:
            self._timeout.cancel()
        if self._transport is not None:
            self._transport.abort()
        self._documents.discard()
        if not self.answered.done():
            self.answered.set_result(False)
        if not self.ended.done():
            self.ended.set_result(reason)

    def _on_first_line(self) -> None:
        if self._listener.try_activate(self):
            self.answered.set_result(True)
        else:
            self.end("another watch is active")

    def _on_line_complete(self) -> None:
        self.last_line_at_s = self._loop.time()
        if not self._is_paused and not self.ended.done():
            self._restart_timeout()

    def _restart_timeout(self) -> None:
        """Schedule the end of the watch after the idle timeout, and cancel the previous timeout.

        TCP alone does not detect that an idle peer has become unreachable.
        """
        if self._timeout is not None:
            self._timeout.cancel()
        self._timeout = self._loop.call_later(WATCH_IDLE_TIMEOUT_S, self.end, "timeout")


def _describe(error: Exception) -> str:
    """Return the cause of a parser error as text.

    A variable for the cause in the method that catches it would form a cycle with its traceback, which would
    keep the received bytes until the garbage collector runs.
    """
    cause = error.__context__ or error
    return f"{type(cause).__name__}: {cause}"


def _watch_request(address: Address, revision: int) -> bytes:
    host, port = address
    return (
        f"GET /discovery/hosts?watch=1&from={revision} HTTP/1.1\r\n"
        f"Host: {host}:{port}\r\nAccept: application/json\r\n\r\n"
    ).encode()
