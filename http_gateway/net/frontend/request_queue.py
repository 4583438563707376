"""Parses the requests of one client connection and queues them in order."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from http_gateway.net.http.messages import MalformedMessageError, Message
from http_gateway.net.http.reader import RequestReader
from http_gateway.net.memory.budget import MemoryBudget, MessageHolder

MAX_QUEUED_REQUESTS = RequestReader.MAX_MESSAGES_AT_ONCE


class ReceivedRequest(NamedTuple):
    """A complete request, and the loop time after which its last byte arrived; None if it is unknown."""

    message: Message
    arrived_after_s: float | None


class RequestQueue:
    """The requests received on one client connection that are not in flight yet.

    Args:
        budget: Counts the memory of the requests of all client connections.
        holder: The connection, which the budget may ask to drop an incomplete request.
    """

    __slots__ = ("_budget", "_holder", "_queue", "_queued_bytes", "_reader")

    def __init__(self, budget: MemoryBudget, holder: MessageHolder) -> None:
        self._budget = budget
        self._holder: MessageHolder | None = holder  # None once the connection is closed
        self._reader = RequestReader()
        self._queue: deque[ReceivedRequest] = deque()
        self._queued_bytes = 0  # memory of the queued requests, which is reserved in the budget

    def __len__(self) -> int:
        """Return the number of complete requests that are queued."""
        return len(self._queue)

    @property
    def error(self) -> MalformedMessageError | None:
        """The error in the bytes after the queued requests; None if there is none."""
        return self._reader.error

    @property
    def is_over_limit(self) -> bool:
        """Whether too many requests are queued here, or all requests together take too much memory."""
        return len(self._queue) > MAX_QUEUED_REQUESTS or self._budget.is_exceeded

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
        messages = self._reader.feed(data)
        self._queue.extend(ReceivedRequest(message, arrived_after_s) for message in messages)
        new_bytes = sum(message.memory_bytes for message in messages)
        self._queued_bytes += new_bytes
        self._budget.reserve(new_bytes)
        if messages:  # another request is incomplete now, which began later
            self._set_incomplete(0)
        self._set_incomplete(self._reader.partial_memory_bytes)

    def pop(self) -> ReceivedRequest:
        """Remove and return the oldest request.

        Raises:
            IndexError: The queue is empty.
        """
        request = self._queue.popleft()
        self._release(request.message.memory_bytes)
        return request

    def consume_continue_expectation(self) -> bool:
        """Return whether the client waits for a 100 (Continue) response; true only once for each request."""
        return self._reader.consume_continue_expectation()

    def discard(self) -> None:
        """Drop all requests, including a partial one; `feed` must not be called after this."""
        self._clear()
        self._reader.discard()

    def close(self) -> None:
        """Drop all requests, and release the parser and the connection.

        The connection refers to this queue, and only the garbage collector would free the reference cycle.
        """
        self._clear()
        self._reader.discard()
        self._reader.close()
        self._holder = None

    def _clear(self) -> None:
        self._queue.clear()
        self._release(self._queued_bytes)
        self._set_incomplete(0)

    def _set_incomplete(self, amount_bytes: int) -> None:
        if self._holder is not None:
            self._budget.set_incomplete(self._holder, amount_bytes)

    def _release(self, amount_bytes: int) -> None:
        self._queued_bytes -= amount_bytes
        self._budget.release(amount_bytes)
