"""Parses the requests of one client connection and queues them in order."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from http_gateway.net.frontend.connection_limits import BufferLimit
from http_gateway.net.http.messages import MalformedMessageError, Message
from http_gateway.net.http.reader import RequestReader

MAX_QUEUED_REQUESTS = 4  # pipelined requests on one connection; most clients do not pipeline


class ReceivedRequest(NamedTuple):
    """A complete request, and the loop time after which its last byte arrived; None if it is unknown."""

    message: Message
    arrived_after_s: float | None


class RequestQueue:
    """The requests received on one client connection that are not in flight yet.

    Args:
        buffer_limit: Counts the bytes that all client connections buffer.
    """

    __slots__ = ("_buffer_limit", "_counted_bytes", "_queue", "_reader")

    def __init__(self, buffer_limit: BufferLimit) -> None:
        self._buffer_limit = buffer_limit
        self._reader = RequestReader()
        self._queue: deque[ReceivedRequest] = deque()
        self._counted_bytes = 0  # number of bytes that this connection has added to `buffer_limit`

    def __len__(self) -> int:
        """Return the number of complete requests that are queued."""
        return len(self._queue)

    @property
    def error(self) -> MalformedMessageError | None:
        """The error in the bytes after the queued requests; None if there is none."""
        return self._reader.error

    @property
    def is_over_limit(self) -> bool:
        """Whether too many requests are queued here, or too many bytes are buffered on all connections."""
        return len(self._queue) > MAX_QUEUED_REQUESTS or self._buffer_limit.is_exceeded

    @property
    def has_partial_request(self) -> bool:
        """Whether the start of a request was received, but not its end."""
        return self._reader.has_partial_message

    @property
    def started_request_count(self) -> int:
        """Number of requests that have started to arrive on this connection, including complete ones."""
        return self._reader.started_message_count

    def feed(self, data: memoryview, arrived_after_s: float | None) -> None:
        """Parse received bytes and queue the requests that they complete.

        Args:
            data: The received bytes; `feed` must not be called after an `error`.
            arrived_after_s: Loop time after which the bytes arrived; None if it is unknown.
        """
        self._queue.extend(ReceivedRequest(message, arrived_after_s) for message in self._reader.feed(data))
        self._count_bytes()

    def pop(self) -> ReceivedRequest:
        """Remove and return the oldest request.

        Raises:
            IndexError: The queue is empty.
        """
        request = self._queue.popleft()
        self._count_bytes()
        return request

    def consume_continue_expectation(self) -> bool:
        """Return whether the client waits for a 100 (Continue) response; true only once for each request."""
        return self._reader.consume_continue_expectation()

    def discard(self) -> None:
        """Drop all requests, including a partial one; `feed` must not be called after this."""
        self._queue.clear()
        self._reader.discard()
        self._count_bytes()

    def close(self) -> None:
        """Drop all requests and release the parser."""
        self._queue.clear()
        self._buffer_limit.adjust(-self._counted_bytes)
        self._counted_bytes = 0
        self._reader.close()

    def _count_bytes(self) -> None:
        buffered_bytes = (
            sum(len(request.message.body) for request in self._queue) + self._reader.buffered_bytes
        )
        self._buffer_limit.adjust(buffered_bytes - self._counted_bytes)
        self._counted_bytes = buffered_bytes
