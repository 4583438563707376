"""Reads the requests of one client and queues them in order."""

from __future__ import annotations

from collections import deque

from http_gateway.net.frontend.connection_limits import BufferLimit
from http_gateway.net.http.messages import MalformedMessageError, Message
from http_gateway.net.http.reader import RequestReader

MAX_QUEUED_REQUESTS = 4  # pipelined requests on one connection; most clients send none


class RequestQueue:
    """The requests that one client has sent and that are not in flight yet."""

    __slots__ = ("_buffer_limit", "_counted_bytes", "_queue", "_reader")

    def __init__(self, buffer_limit: BufferLimit) -> None:
        self._buffer_limit = buffer_limit
        self._reader = RequestReader()
        self._queue: deque[Message] = deque()
        self._counted_bytes = 0  # this connection's part of the buffered bytes of all

    def __len__(self) -> int:
        """The number of complete requests that are queued."""
        return len(self._queue)

    @property
    def error(self) -> MalformedMessageError | None:
        """What is wrong with the bytes after the queued requests; None if nothing is."""
        return self._reader.error

    @property
    def is_over_limit(self) -> bool:
        """Whether the client has sent too many requests ahead, or all clients together too many bytes."""
        return len(self._queue) > MAX_QUEUED_REQUESTS or self._buffer_limit.is_exceeded

    @property
    def has_partial_request(self) -> bool:
        """Whether a request has begun and is not complete yet."""
        return self._reader.has_partial_message

    @property
    def begun_count(self) -> int:
        """How many requests have begun on this connection."""
        return self._reader.message_count

    def feed(self, data: memoryview) -> None:
        """Queue the requests that are complete with these bytes; not to be called after an `error`."""
        self._queue.extend(self._reader.feed(data))
        self._count_bytes()

    def pop(self) -> Message:
        """Remove and return the oldest request; IndexError if there is none."""
        message = self._queue.popleft()
        self._count_bytes()
        return message

    def take_continue_expectation(self) -> bool:
        """Whether the client waits for a 100 (Continue) before it sends the body; true once a request."""
        return self._reader.take_continue_expectation()

    def discard(self) -> None:
        """Drop all requests, the partial one too; nothing may be fed after this."""
        self._queue.clear()
        self._reader.discard()
        self._count_bytes()

    def close(self) -> None:
        """Drop all requests and release the reader."""
        self._queue.clear()
        self._buffer_limit.adjust(-self._counted_bytes)
        self._counted_bytes = 0
        self._reader.close()

    def _count_bytes(self) -> None:
        buffered_bytes = sum(len(message.body) for message in self._queue) + self._reader.buffered_bytes
        self._buffer_limit.adjust(buffered_bytes - self._counted_bytes)
        self._counted_bytes = buffered_bytes
