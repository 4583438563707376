"""One connection to an endpoint, with one attempt on it at a time."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import select
import socket
from typing import Protocol

from http_gateway.net.http.messages import Message
from http_gateway.net.http.reader import ResponseReader
from http_gateway.net.http.shared_buffer import SharedBufferProtocol
from http_gateway.net.upstream.attempt import UpstreamAttempt
from http_gateway.net.upstream.outcome import response_outcome
from http_gateway.policy.endpoint import EndpointId
from http_gateway.policy.events import Outcome

log = logging.getLogger(__name__)

# Seconds for which a connection is not used after a response: an endpoint may send a second response some
# milliseconds late, which would be taken for the response to the next request.
RESPONSE_SETTLE_S = 0.01


class ConnectionOwner(Protocol):
    """What a connection needs of the endpoint's connections that it belongs to."""

    @property
    def endpoint_id(self) -> EndpointId:
        """The endpoint that is connected to."""

    @property
    def is_ready(self) -> bool:
        """Whether the endpoint may get another request."""

    @property
    def idle_timeout_s(self) -> float:
        """Seconds after which an idle connection is closed."""

    def connection_opened(self) -> None:
        """A connection is up."""

    def connection_closed(self) -> None:
        """A connection is closed."""

    def add_idle(self, connection: UpstreamConnection) -> None:
        """A connection may be used for another attempt."""

    def remove_idle(self, connection: UpstreamConnection) -> None:
        """A connection may not be used any more, if it was idle."""


class UpstreamConnection(SharedBufferProtocol):
    """One connection to an endpoint.

    The last byte of a request whose method is not safe is deferred until the system has accepted all others:
    the endpoint can't execute the request without it, and until then the attempt can be ended as not sent.
    """

    def __init__(self, owner: ConnectionOwner) -> None:
        super().__init__()
        self._owner = owner
        self._reader = ResponseReader()
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._attempt: UpstreamAttempt | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._idle_since_at_s = 0.0
        self._is_request_written = False
        self._is_write_blocked = False  # the system has not accepted all that was written
        self._deferred_byte = b""  # the last byte of the request, until it is written
        self._was_rejected = False

    @property
    def is_usable(self) -> bool:
        """Whether the connection is up and not closing."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def is_request_written(self) -> bool:
        """Whether the endpoint may have received the last byte of the request."""
        return self._is_request_written

    @property
    def was_rejected(self) -> bool:
        """Whether the latest response was a rejection."""
        return self._was_rejected

    @property
    def idle_since_at_s(self) -> float:
        """The loop time at which the connection became idle."""
        return self._idle_since_at_s

    def is_settled(self, now_s: float) -> bool:
        """Whether at this loop time no late second response is to be expected any more."""
        return self._idle_since_at_s <= now_s - RESPONSE_SETTLE_S

    def is_quiet(self) -> bool:
        """Whether the connection is up and neither unread bytes nor its end wait in the socket."""
        if self._transport is None or self._transport.is_closing():
            return False
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket"), select.POLLIN)
        return not poll.poll(0)

    def send(self, attempt: UpstreamAttempt) -> None:
        """Write the request of an attempt, unless it is not wanted any more or too late."""
        if not attempt.is_wanted():
            self._become_idle()
            attempt.stop(Outcome.CANCELLED)
            return
        if not attempt.is_in_time:
            self._become_idle()
            attempt.stop(Outcome.NOT_SENT)
            return
        self._cancel_idle_timer()
        self._attempt = attempt
        attempt.attach(self)
        self._write_all_but_deferred(attempt)
        if not self._is_write_blocked:
            self._write_deferred_byte(attempt)

    def drop(self) -> None:
        """Close the connection at once; an attempt on it is not notified."""
        if self._attempt is not None and self._transport is not None:
            # The transport closes in the next turn of the loop, but the endpoint has to see the end of this
            # attempt before the next one is written.
            with contextlib.suppress(OSError):
                self._transport.get_extra_info("socket").shutdown(socket.SHUT_WR)
        self._attempt = None
        self._cancel_idle_timer()
        self._owner.remove_idle(self)
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        assert isinstance(transport, asyncio.Transport)
        # With this limit, resume_writing means that the system has accepted every byte.
        transport.set_write_buffer_limits(high=0)
        self._transport = transport
        self._owner.connection_opened()

    def pause_writing(self) -> None:
        """The system has not accepted all bytes."""
        self._is_write_blocked = True
        self._is_request_written = False

    def resume_writing(self) -> None:
        """The system has accepted all bytes."""
        self._is_write_blocked = False
        if self._attempt is not None:
            self._write_deferred_byte(self._attempt)

    def on_data(self, data: memoryview) -> None:
        """Read a response; bytes without a request in flight close the connection."""
        if self._attempt is None:  # they would be taken for the next response
            self.drop()
            return
        responses = self._reader.feed(data)
        if responses:
            # A complete response counts whatever follows it. But the connection can't be used again then:
            # what follows, even the start of another response, would be taken for the next response.
            is_only_response = (
                len(responses) == 1 and not self._reader.has_partial_message and self._reader.error is None
            )
            self._end_attempt(responses[0], self._is_request_written and is_only_response)
        elif self._reader.error is not None:
            log.warning(
                'response malformed endpoint_id=%d reason="%s"', self._owner.endpoint_id, self._reader.error
            )
            self._fail()

    def eof_received(self) -> None:
        """The endpoint has closed its side."""
        self._fail()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is closed."""
        self._owner.connection_closed()
        self._fail()
        self._reader.close()

    def _write_all_but_deferred(self, attempt: UpstreamAttempt) -> None:
        assert self._transport is not None
        request = attempt.request_bytes()
        count = len(request) if attempt.has_safe_method else len(request) - 1
        self._is_request_written = False
        self._deferred_byte = request[count:]
        self._transport.write(request[:count])

    def _write_deferred_byte(self, attempt: UpstreamAttempt) -> None:
        """Write the deferred byte, if there is one, provided that the attempt is still in time and wanted."""
        assert self._transport is not None
        if self._transport.is_closing():  # the write failed: a part of the request was not sent
            return
        if self._deferred_byte and not (attempt.is_in_time and attempt.is_wanted()):
            attempt.stop(Outcome.NOT_SENT)
            return
        last_byte, self._deferred_byte = self._deferred_byte, b""
        self._is_request_written = True  # pause_writing resets it if the system does not accept the byte
        if last_byte:
            self._transport.write(last_byte)
            self._is_request_written = self._is_request_written and not self._transport.is_closing()

    def _end_attempt(self, response: Message, is_reusable: bool) -> None:
        attempt, self._attempt = self._attempt, None
        assert attempt is not None
        outcome = response_outcome(response)
        self._was_rejected = outcome is Outcome.REJECTED
        if response.keep_alive and is_reusable and self._owner.is_ready and self.is_usable:
            self._become_idle()
        else:
            self.drop()
        attempt.end(outcome, response)

    def _become_idle(self) -> None:
        """Wait for the next attempt, for less time than the endpoint keeps an idle connection open."""
        if self._idle_timer is None:
            self._idle_since_at_s = self._loop.time()
            self._idle_timer = self._loop.call_later(self._owner.idle_timeout_s, self.drop)
        self._owner.add_idle(self)

    def _cancel_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def _fail(self) -> None:
        attempt, is_request_written = self._attempt, self._is_request_written
        self.drop()
        if attempt is not None:
            # Before its last byte is written the endpoint can't have executed the request.
            attempt.end(Outcome.RESET if is_request_written else Outcome.CONNECT_FAILED)
