"""One call to a discovery service: the request, and the stream of endpoint lists that answers it."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import Protocol

import httptools

from http_gateway.net.address import Address
from http_gateway.net.discovery.json_stream import JsonStream

# An open watch sends an empty line every 2 s; changes that a silent one misses count as received after 6 s.
WATCH_SILENCE_TIMEOUT_S = 2.5
# With the time to connect, an unanswered call ends before the next poll slot.
RESPONSE_TIMEOUT_S = 4.0


class WatchRejectedError(Exception):
    """The discovery service has answered with a status other than 200."""

    def __init__(self, status: int) -> None:
        self.status = status
        super().__init__(f"discovery responded with status {status}")


class WatchListener(Protocol):
    """What a watch notifies."""

    def on_rejected(self, after_s: float) -> None:
        """The service has rejected the call, so many seconds after the request."""

    def use_watch(self, watch: DiscoveryWatch) -> bool:
        """Return whether this watch is the one in use; the first accepted one becomes it."""

    def on_document(self, watch: DiscoveryWatch, document: bytes) -> None:
        """A document has come; an exception ends the watch."""


class DiscoveryWatch(asyncio.Protocol):
    """The connection of one call, which hands each document to its listener.

    Attributes:
        accepted: Whether the service has accepted the call; False if the watch ended before that.
        ended: The reason of the end, once the watch has ended.
    """

    def __init__(self, address: Address, revision: int, listener: WatchListener) -> None:
        self._request = _watch_request(address, revision)
        self._listener = listener
        self._documents = JsonStream()
        self._parser = httptools.HttpResponseParser(self)
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._requested_at_s = 0.0
        self._timeout: asyncio.TimerHandle | None = None
        self.accepted: asyncio.Future[bool] = self._loop.create_future()
        self.ended: asyncio.Future[str] = self._loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._requested_at_s = self._loop.time()
        transport.write(self._request)
        self._restart_timeout(RESPONSE_TIMEOUT_S)

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response."""
        if self.ended.done():
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            cause = error.__context__ or error
            self.end(f"{type(cause).__name__}: {cause}")
        # A document that has begun must be complete within the timeout that runs.
        if not self._documents.has_partial_document and not self.ended.done():
            self._restart_timeout(WATCH_SILENCE_TIMEOUT_S)

    def on_headers_complete(self) -> None:
        """Check the status; called by the parser. Raises `WatchRejectedError`."""
        status = self._parser.get_status_code()
        if status != HTTPStatus.OK:
            self._listener.on_rejected(self._loop.time() - self._requested_at_s)
            raise WatchRejectedError(status)
        if not self._listener.use_watch(self):
            self.end("another watch is in use")
        elif not self.accepted.done():
            self.accepted.set_result(True)

    def on_body(self, data: bytes) -> None:
        """Hand on the documents that are complete; called by the parser. Raises `JsonStreamError`."""
        for document in self._documents.feed(data):
            self._listener.on_document(self, document)

    def on_message_complete(self) -> None:
        """End the watch with its response; called by the parser."""
        self.end("response complete")

    def connection_lost(self, exc: Exception | None) -> None:
        """End the watch with its connection."""
        self.end(f"connection lost ({exc or 'closed'})")

    def end(self, reason: str) -> None:
        """Close the connection; does nothing to a watch that has ended."""
        if self._timeout is not None:
            self._timeout.cancel()
        if self._transport is not None:
            self._transport.abort()
        if not self.accepted.done():
            self.accepted.set_result(False)
        if not self.ended.done():
            self.ended.set_result(reason)

    def _restart_timeout(self, timeout_s: float) -> None:
        """End the watch unless something comes in time: TCP does not notice a peer that is cut off."""
        if self._timeout is not None:
            self._timeout.cancel()
        self._timeout = self._loop.call_later(timeout_s, self.end, "timeout")


def _watch_request(address: Address, revision: int) -> bytes:
    host, port = address
    return (
        f"GET /discovery/hosts?watch=1&from={revision} HTTP/1.1\r\n"
        f"Host: {host}:{port}\r\nAccept: application/json\r\n\r\n"
    ).encode()
