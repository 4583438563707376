"""A connection to an endpoint, which carries one attempt at a time."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import select
import socket
from asyncio import trsock
from typing import Protocol

from http_gateway.net.http.messages import Message
from http_gateway.net.http.reader import ResponseReader
from http_gateway.net.http.shared_buffer import SharedBufferProtocol
from http_gateway.net.memory.budget import MessageBudgets
from http_gateway.net.upstream.attempt import UpstreamAttempt
from http_gateway.net.upstream.outcome import response_outcome
from http_gateway.policy.endpoint import EndpointId
from http_gateway.policy.events import Outcome

log = logging.getLogger(__name__)

# Seconds after a response before the connection is used again. A second response would be mistaken for the
# response to the next request. An endpoint may send one some milliseconds after the first. If its kernel
# holds the second one back until the first is acknowledged, it comes a round trip later, up to 40 ms.
REUSE_DELAY_S = 0.06
_MS_PER_S = 1000
# Option that makes the kernel acknowledge received bytes at once; None on systems without it.
_QUICK_ACK: int | None = getattr(socket, "TCP_QUICKACK", None)


class ConnectionOwner(Protocol):
    """The interface that a connection needs of the object that manages the connections to its endpoint."""

    @property
    def endpoint_id(self) -> EndpointId:
        """Id of the endpoint."""

    @property
    def is_ready(self) -> bool:
        """Whether new requests may be sent to the endpoint."""

    @property
    def idle_timeout_s(self) -> float:
        """Seconds after which an idle connection is closed."""

    @property
    def budgets(self) -> MessageBudgets:
        """The budgets of requests and responses."""

    def connection_opened(self) -> None:
        """Handle a newly opened connection."""

    def connection_closed(self) -> None:
        """Handle a closed connection."""

    def add_idle(self, connection: UpstreamConnection) -> None:
        """Add a connection that may be used for another attempt."""

    def remove_idle(self, connection: UpstreamConnection) -> None:
        """Remove a connection, if it is idle, so that it is not used again."""


class UpstreamConnection(SharedBufferProtocol):
    """A connection to an endpoint.

    If the method of a request is not safe, its last byte is written only after the kernel has accepted all
    other bytes. The endpoint cannot execute the request without the last byte, so until then the attempt can
    still end with `NOT_SENT` and be retried.
    """

    def __init__(self, owner: ConnectionOwner) -> None:
        super().__init__()
        self._owner = owner
        self._reader = ResponseReader()
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._socket: trsock.TransportSocket  # set by `connection_made`
        self._attempt: UpstreamAttempt | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._idle_since_at_s = 0.0
        self._is_request_written = False
        self._is_write_blocked = False  # whether the kernel has not accepted all written bytes
        self._deferred_byte = b""  # last byte of the request, empty once it is written
        self._last_response_was_rejection = False

    @property
    def is_open(self) -> bool:
        """Whether the connection is established and not closing."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def is_request_written(self) -> bool:
        """Whether the whole request is written, so that the endpoint may have received its last byte."""
        return self._is_request_written

    @property
    def last_response_was_rejection(self) -> bool:
        """Whether the last response on the connection was a rejection."""
        return self._last_response_was_rejection

    @property
    def idle_since_at_s(self) -> float:
        """Loop time at which the connection became idle."""
        return self._idle_since_at_s

    def is_reuse_delay_over(self, now_s: float) -> bool:
        """Return whether the connection has been idle long enough at this loop time to be used again."""
        return self._idle_since_at_s <= now_s - REUSE_DELAY_S

    def is_reusable(self) -> bool:
        """Return whether the connection is open and its socket holds neither unread bytes nor an EOF."""
        if self._transport is None or self._transport.is_closing():
            return False
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket"), select.POLLIN)
        return not poll.poll(0)

    def send(self, attempt: UpstreamAttempt) -> None:
        """Write the request of an attempt.

        The attempt ends unsent if its client no longer waits or the deadline for its last byte has passed.
        The client is checked last: it may leave while the process is held up after a clock read.
        """
        is_in_time = attempt.is_before_last_byte_deadline
        request = attempt.request_bytes()
        if not attempt.is_client_waiting():
            self._become_idle()
            attempt.stop(Outcome.CANCELLED)
            return
        if not is_in_time:
            self._become_idle()
            attempt.stop(Outcome.NOT_SENT)
            return
        self._cancel_idle_timer()
        self._attempt = attempt
        attempt.attach(self)
        self._write_all_but_deferred(request, attempt.has_safe_method)
        if not self._is_write_blocked:
            self._write_deferred_byte(attempt)

    def drop(self) -> None:
        """Close the connection immediately, without notifying the attempt on it."""
        if self._attempt is not None and self._transport is not None:
            # The transport closes the socket only in the next iteration of the event loop. The shutdown sends
            # the endpoint an EOF for this attempt before a retry is written.
            with contextlib.suppress(OSError):
                self._transport.get_extra_info("socket").shutdown(socket.SHUT_WR)
        self._attempt = None
        self._cancel_idle_timer()
        self._release_memory()
        self._owner.remove_idle(self)
        if self._transport is not None:
            self._transport.abort()

    def evict(self) -> None:
        """End the attempt, because its response or its unread request takes too much memory for too long.

        The endpoint is not at fault for that, so the attempt counts as cancelled and not as failed.
        """
        attempt, outcome = self._attempt, Outcome.CANCELLED if self._is_request_written else Outcome.NOT_SENT
        self.drop()
        if attempt is not None:
            attempt.end(outcome)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the established connection."""
        assert isinstance(transport, asyncio.Transport)
        # With this limit, resume_writing is called only after the kernel has accepted every byte.
        transport.set_write_buffer_limits(high=0)
        self._transport = transport
        self._socket = transport.get_extra_info("socket")
        self._idle_since_at_s = self._loop.time()
        self._owner.connection_opened()

    def pause_writing(self) -> None:
        """Mark the request as not fully written, because the kernel has not accepted all bytes."""
        assert self._transport is not None
        self._is_write_blocked = True
        self._is_request_written = False
        self._owner.budgets.requests.set_incomplete(self, self._transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        """Complete the request, since the kernel has accepted all written bytes.

        The deferred byte is written in a later callback, because that may abort the connection. Asyncio
        reports the loss of a connection twice if it is aborted in this callback.
        """
        self._is_write_blocked = False
        self._owner.budgets.requests.set_incomplete(self, 0)
        if self._deferred_byte:
            self._loop.call_soon(self._complete_request)
        else:
            self._is_request_written = self.is_open

    def on_data(self, data: memoryview) -> None:
        """Parse the response to the current request; close the connection if there is no request."""
        if self._attempt is None:  # these bytes would be taken for the response to the next request
            self._log_unrequested_bytes(idle_s=self._loop.time() - self._idle_since_at_s)
            self.drop()
            return
        self._acknowledge_at_once()
        responses = self._reader.feed(data)
        if responses:
            # A complete response is valid whatever follows it. But if anything follows, even the start of
            # another response, the connection cannot be reused: it would be mistaken for the next response.
            is_only_response = (
                len(responses) == 1 and not self._reader.has_partial_message and self._reader.error is None
            )
            if not is_only_response:
                self._log_unrequested_bytes(idle_s=0.0)
            self._owner.budgets.responses.set_incomplete(self, 0)
            self._end_attempt(responses[0], self._is_request_written and is_only_response)
        elif self._reader.error is not None:
            log.warning(
                'response malformed endpoint_id=%d reason="%s"', self._owner.endpoint_id, self._reader.error
            )
            self._fail()
        else:
            self._owner.budgets.responses.set_incomplete(self, self._reader.partial_memory_bytes)
            self._owner.budgets.responses.enforce()  # may evict the response that this connection receives

    def eof_received(self) -> None:
        """End the attempt, with the response that the end of the connection completes, if there is one."""
        response = self._reader.end_of_stream() if self._attempt is not None else None
        if response is not None:
            self._end_attempt(response, may_reuse=False)
        else:
            self._fail()

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the closed connection and end the attempt on it."""
        self._owner.connection_closed()
        self._fail()
        self._reader.close()

    def _acknowledge_at_once(self) -> None:
        """Send the TCP acknowledgement of the received bytes now instead of with the next request.

        Until then the kernel of an endpoint without TCP_NODELAY may hold back a small write (Nagle's
        algorithm), such as a second copy of the response. It would arrive right after the next request on the
        connection and would be taken for the response to that request.
        """
        if _QUICK_ACK is None:
            return
        with contextlib.suppress(OSError):  # the connection is lost, which the transport reports
            self._socket.setsockopt(socket.IPPROTO_TCP, _QUICK_ACK, 1)

    def _write_all_but_deferred(self, request: bytes, has_safe_method: bool) -> None:
        assert self._transport is not None
        count = len(request) if has_safe_method else len(request) - 1
        self._is_request_written = False
        self._deferred_byte = request[count:]
        self._transport.write(request[:count])

    def _complete_request(self) -> None:
        if self._attempt is not None and self._deferred_byte:
            self._write_deferred_byte(self._attempt)

    def _write_deferred_byte(self, attempt: UpstreamAttempt) -> None:
        """Write the deferred byte, if there is one, which completes the request.

        The attempt ends with `NOT_SENT` instead if the deadline for the last byte has passed or the client no
        longer waits.
        """
        assert self._transport is not None
        if self._transport.is_closing():  # the write failed, so the request is incomplete
            return
        if self._deferred_byte and not (attempt.is_before_last_byte_deadline and attempt.is_client_waiting()):
            attempt.stop(Outcome.NOT_SENT)
            return
        last_byte, self._deferred_byte = self._deferred_byte, b""
        self._is_request_written = True  # pause_writing resets this if the kernel does not accept the byte
        if last_byte:
            self._transport.write(last_byte)
            self._is_request_written = self._is_request_written and not self._transport.is_closing()

    def _end_attempt(self, response: Message, may_reuse: bool) -> None:
        """End the attempt with a response.

        A response that says that the request was executed, although its last byte is not written, belongs to
        an earlier request.
        """
        outcome = response_outcome(response)
        if outcome is Outcome.OK and not self._is_request_written:
            self._fail()
            return
        attempt, self._attempt = self._attempt, None
        assert attempt is not None
        self._last_response_was_rejection = outcome is Outcome.REJECTED
        if response.keep_alive and may_reuse and self._owner.is_ready and self.is_open:
            self._become_idle()
        else:
            self.drop()
        attempt.end(outcome, response)

    def _become_idle(self) -> None:
        """Offer the connection for the next attempt, and start the idle timer.

        The idle timeout is shorter than the time for which the endpoint keeps an idle connection open.
        """
        if self._idle_timer is None:
            self._idle_since_at_s = self._loop.time()
            self._idle_timer = self._loop.call_later(self._owner.idle_timeout_s, self.drop)
        self._owner.add_idle(self)

    def _release_memory(self) -> None:
        self._reader.discard()
        self._owner.budgets.requests.set_incomplete(self, 0)
        self._owner.budgets.responses.set_incomplete(self, 0)

    def _cancel_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def _log_unrequested_bytes(self, idle_s: float) -> None:
        log.warning(
            "bytes without a request endpoint_id=%d idle_ms=%d", self._owner.endpoint_id, idle_s * _MS_PER_S
        )

    def _fail(self) -> None:
        attempt, is_request_written = self._attempt, self._is_request_written
        self.drop()
        if attempt is not None:
            # The endpoint cannot have executed a request whose last byte was not written.
            attempt.end(Outcome.RESET if is_request_written else Outcome.CONNECT_FAILED)
