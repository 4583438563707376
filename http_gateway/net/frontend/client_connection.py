"""Protocol of a client connection, which handles its requests one at a time and in order."""

from __future__ import annotations

import asyncio
import logging
from http import HTTPStatus
from typing import NamedTuple

from http_gateway.net.client_request import Response
from http_gateway.net.event_loop import PollTimes
from http_gateway.net.frontend.arrival_times import ArrivalTimes
from http_gateway.net.frontend.client_transport import ClientPresence, ClientTransport
from http_gateway.net.frontend.connection_limits import ConnectionLimits
from http_gateway.net.frontend.connection_log import CloseReason, log_closed, log_rejected
from http_gateway.net.frontend.in_flight_request import InFlightRequest, RequestIdRegistry
from http_gateway.net.frontend.read_quota import ReadQuota
from http_gateway.net.frontend.request_parsing import InvalidRequestError, RequestParser
from http_gateway.net.frontend.request_queue import ReceivedRequest, RequestQueue
from http_gateway.net.frontend.shutdown_state import ShutdownState
from http_gateway.net.http.shared_buffer import RECEIVE_BUFFER_BYTES, SharedBufferProtocol
from http_gateway.net.http.writer import write_response
from http_gateway.net.memory.budget import MessageBudgets
from http_gateway.net.memory.plan import REQUEST_STATE_BYTES
from http_gateway.net.request_dispatcher import RequestDispatcher

log = logging.getLogger(__name__)

_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
_OVER_LIMIT = "too many requests or bytes are waiting"
_UNREAD_BYTES = "unread bytes follow a request that is about to be forwarded"
_NO_MEMORY = "the requests in flight take too much memory"


class FrontendState(NamedTuple):
    """State that all client connections share."""

    dispatcher: RequestDispatcher
    request_parser: RequestParser
    limits: ConnectionLimits[ClientConnection]
    budgets: MessageBudgets
    request_id_registry: RequestIdRegistry
    shutdown: ShutdownState
    read_quota: ReadQuota

    @property
    def is_ready(self) -> bool:
        """Whether the gateway can serve requests: it has an endpoint list and is not shutting down."""
        return self.dispatcher.has_endpoint_list and not self.shutdown.has_begun


class ClientConnection(SharedBufferProtocol):
    """Asyncio protocol of one client connection.

    Complete requests wait in `requests` until the request in `in_flight` has its response. After a rejected
    request, the connection parses no further requests. It stays open until the client closes it or the linger
    timeout expires, so that the client can still receive the error response.

    Args:
        frontend: State that all client connections share.
        poll_times: The poll times of the event loop.
        connected_after_s: Loop time after which the client connected; None if it is unknown.
    """

    def __init__(
        self, frontend: FrontendState, poll_times: PollTimes, connected_after_s: float | None
    ) -> None:
        super().__init__()
        self.transport: ClientTransport  # set by `connection_made`
        self.requests = RequestQueue(frontend.budgets.requests, self)
        self.in_flight = InFlightRequest(frontend.dispatcher, frontend.request_id_registry)
        self._frontend = frontend
        self._arrival_times = ArrivalTimes(poll_times, connected_after_s)
        self._loop = asyncio.get_running_loop()
        self._is_reading = True
        self._read_bytes = 0  # size of the current read at most
        self._is_over_limit = False
        self._is_writing_paused = False
        self._closes_after_response = False
        # Requests on the connection are numbered from 1. Received bytes start a receive timeout only for a
        # request with a higher number than this. The timeout of request 1 starts when the connection is made.
        self._timed_request_number = 1

    @property
    def is_idle(self) -> bool:
        """Whether the connection is between requests: none is in flight, queued or partly received."""
        has_request = self.in_flight.is_active or self.requests or self.requests.has_partial_request
        return self._is_reading and not has_request

    @property
    def has_begun_request(self) -> bool:
        """Whether the client has begun to send a request at any time."""
        return self.requests.started_request_count > 0

    @property
    def is_reading(self) -> bool:
        """Whether received bytes are still parsed as requests; otherwise they are discarded."""
        return self._is_reading

    @property
    def is_over_limit(self) -> bool:
        """Whether further requests are rejected, because too many requests or bytes were waiting."""
        return self._is_over_limit

    @property
    def is_writing_paused(self) -> bool:
        """Whether writing is paused because the client does not read its responses."""
        return self._is_writing_paused

    @property
    def timeout_at_s(self) -> float | None:
        """Event loop time, in seconds, at which the timeout expires; None while a request is in flight."""
        return self._frontend.limits.timeout_at_s(self)

    @property
    def has_unread_bytes(self) -> bool:
        """Whether the socket holds received bytes, possibly a request, that asyncio has not read yet."""
        return self.transport.has_unread_bytes

    @property
    def unsent_bytes(self) -> int:
        """Number of response bytes that the operating system has not accepted for sending yet."""
        return self.transport.unsent_bytes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its receive timeout, or abort it if there are too many."""
        assert isinstance(transport, asyncio.Transport)
        # With this limit, each byte that the client does not read pauses writing.
        transport.set_write_buffer_limits(high=0)
        self.transport = ClientTransport(transport)
        self._arrival_times.reading_started()
        if self._frontend.limits.admit(self):
            self._frontend.limits.start_receive_timeout(self)
        else:
            self.drop(CloseReason.CONNECTION_LIMIT)

    def next_read_bytes(self) -> int:
        """Return how many bytes the next read may have; bytes that are only discarded are read at once."""
        quota = self._frontend.read_quota
        self._read_bytes = quota.next_read_bytes() if self._is_reading else RECEIVE_BUFFER_BYTES
        return self._read_bytes

    def on_data(self, data: memoryview) -> None:
        """Parse received bytes and handle the requests that they complete."""
        arrived_after_s = self._arrival_times.on_read(is_buffer_full=len(data) == self._read_bytes)
        if not self._is_reading:
            return
        self._frontend.read_quota.parsing_started()
        self.requests.feed(data, arrived_after_s)
        self._frontend.read_quota.parsing_ended()
        self._frontend.budgets.requests.enforce()  # may evict the request that this connection receives
        if not self._is_reading:
            return
        if self.requests.error is not None:
            self._reject(self.requests.error.status, str(self.requests.error))
        elif self.requests.is_over_limit:
            self._reject_over_limit()
        else:
            self._handle_queued_requests()
            self._handle_partial_request()

    def pause_writing(self) -> None:
        """Handle no further requests until the client has read its responses."""
        self._is_writing_paused = True
        self._frontend.budgets.responses.set_incomplete(self, self.unsent_bytes)

    def resume_writing(self) -> None:
        """Resume handling the queued requests.

        They are handled in a later callback, because a response may close the connection. Asyncio reports the
        loss of a connection twice if it is closed in this callback.
        """
        self._is_writing_paused = False
        self._frontend.budgets.responses.set_incomplete(self, 0)
        self._loop.call_soon(self._handle_queued_requests)

    def eof_received(self) -> None:
        """Abandon the client's requests after the client has closed its sending side.

        The connection closes once all responses are sent, or when the linger timeout expires.
        """
        self.in_flight.abandon()
        self._stop_reading()
        self._frontend.limits.start_linger_timeout(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Abandon the request in flight and release the connection's buffers and timeout."""
        self._frontend.limits.remove(self)
        self._frontend.budgets.responses.set_incomplete(self, 0)
        self._is_reading = False
        self._closes_after_response = True
        self.requests.close()
        self.in_flight.abandon()

    def on_timeout(self) -> None:
        """Handle the expiry of the receive, idle or linger timeout.

        A partly received request is answered with 408 (Request Timeout). An idle connection with unread bytes
        stays open, because the event loop reads them, possibly a request, in the current iteration. Every
        other connection is dropped.
        """
        if self.requests.has_partial_request and self._is_reading:
            self._reject(HTTPStatus.REQUEST_TIMEOUT, "the request did not arrive in time")
        elif self.unsent_bytes:
            self.drop(CloseReason.UNREAD_RESPONSE)
        elif not self._is_reading:
            self.drop(CloseReason.LINGER_TIMEOUT)
        elif not self.has_unread_bytes:
            self.drop(CloseReason.IDLE_TIMEOUT)

    def evict(self) -> None:
        """Give up what takes too much memory for too long.

        That is a response that the client does not read, or else a request that is partly received.
        """
        if self._is_writing_paused:
            self.drop(CloseReason.UNREAD_RESPONSE)
        else:
            self._reject_over_limit()

    def drop(self, reason: CloseReason) -> None:
        """Abort the connection without sending the responses that are still buffered.

        Args:
            reason: Why the connection is closed, for the log.
        """
        log_closed(reason, self.unsent_bytes)
        self._frontend.limits.stop_timeout(self)
        self._frontend.budgets.responses.set_incomplete(self, 0)
        self._stop_reading()
        self.transport.abort()

    def close_if_idle(self) -> None:
        """Close the connection if it is between requests; a request that has started to arrive is handled."""
        if self.is_idle and not self.has_unread_bytes:
            log_closed(CloseReason.SHUTDOWN)
            self._is_reading = False
            self.transport.close()

    def _handle_queued_requests(self) -> None:
        while self.requests and not self.in_flight.is_active and not self._is_writing_paused:
            if self.transport.presence is ClientPresence.UNKNOWN:  # the bytes are read in the next iteration
                return
            request = self.requests.pop()
            message = request.message
            self.in_flight.begin()
            self._frontend.limits.stop_timeout(self)
            self._closes_after_response = self._closes_after_response or not message.keep_alive
            try:
                self._handle_request(request)
            except InvalidRequestError as error:
                self._reject(error.status, str(error))
            except Exception:
                log.exception('request handling failed request_id="%s"', message.header(b"x-request-id"))
                self._respond(Response(HTTPStatus.INTERNAL_SERVER_ERROR))

    def _handle_request(self, request: ReceivedRequest) -> None:
        message = request.message
        if message.target == b"/up" and message.method == b"GET":
            status = HTTPStatus.OK if self._frontend.is_ready else HTTPStatus.SERVICE_UNAVAILABLE
            self._respond(Response(status))
            return
        client_request = self._frontend.request_parser.parse(message, request.arrived_after_s)
        if not self._frontend.budgets.requests.has_room_for(message.memory_bytes + REQUEST_STATE_BYTES):
            log_rejected(HTTPStatus.SERVICE_UNAVAILABLE, _NO_MEMORY, self.requests.started_request_count)
            self._respond(Response(HTTPStatus.SERVICE_UNAVAILABLE))
            return
        self.in_flight.submit(client_request, self._respond, self._has_client_disconnected)

    def _has_client_disconnected(self) -> bool:
        """Return whether the client has left, or may have left behind bytes that are unread.

        Clients send one request at a time, so bytes that follow a request in flight are not sound. The
        request is rejected then, since nothing tells whether its client still waits.
        """
        presence = self.transport.presence
        if presence is ClientPresence.UNKNOWN:
            self._reject(HTTPStatus.BAD_REQUEST, _UNREAD_BYTES)
        return presence is not ClientPresence.CONNECTED

    def _handle_partial_request(self) -> None:
        if self.in_flight.is_active or not self.requests.has_partial_request:
            return
        if self.requests.started_request_count > self._timed_request_number:
            self._timed_request_number = self.requests.started_request_count
            self._frontend.limits.start_receive_timeout(self)
        if self.requests.consume_continue_expectation():
            self.transport.write(_CONTINUE_RESPONSE)

    def _respond(self, response: Response) -> None:
        """Write the response to the request in flight, unless that request was abandoned."""
        if not self.in_flight.is_active:
            return
        self.in_flight.complete()
        self._closes_after_response = self._is_last_response()
        self._write(response)
        if self._is_over_limit:
            self._reject(HTTPStatus.TOO_MANY_REQUESTS, _OVER_LIMIT)
            return
        if self._closes_after_response:
            self._stop_reading()
            self.transport.close()
        self._wait_for_next_request()

    def _is_last_response(self) -> bool:
        if self._is_over_limit:  # the rejection is written after this response
            return False
        return self._closes_after_response or (
            self._frontend.shutdown.has_begun and not self._has_further_request()
        )

    def _has_further_request(self) -> bool:
        """Whether part or all of another request was received, which closing the connection would lose."""
        return bool(self.requests) or self.requests.has_partial_request or self.has_unread_bytes

    def _wait_for_next_request(self) -> None:
        if self.requests.has_partial_request:
            self._frontend.limits.start_receive_timeout(self)
        else:
            self._frontend.limits.start_idle_timeout(self)
        self._timed_request_number = self.requests.started_request_count
        if self.requests:
            self._loop.call_soon(self._handle_queued_requests)

    def _reject(self, status: HTTPStatus, reason: str) -> None:
        """Respond with an error and parse no further bytes, because the start of the next request is unknown.

        A request in flight is abandoned, because malformed bytes after it show that its declared length, and
        so its body, was wrong.

        Args:
            status: The status of the response.
            reason: What is wrong, for the log.
        """
        log_rejected(status, reason, self.requests.started_request_count)
        self.in_flight.abandon()
        self._stop_reading()
        self._closes_after_response = True
        self._write(Response(status))
        # Closing a socket with unread bytes resets the connection, and the client could lose the response.
        # So only the sending side is closed, and the linger timeout limits the wait for the client's close.
        if not self.transport.is_closing:
            self.transport.write_eof()
            self._frontend.limits.start_linger_timeout(self, evict_first=True)

    def _reject_over_limit(self) -> None:
        """Reject requests beyond the limit, after the response to a request in flight.

        An endpoint may already have executed the request in flight, so that request gets its own response.
        """
        self._stop_reading()
        self._is_over_limit = True
        if not self.in_flight.is_active:
            self._reject(HTTPStatus.TOO_MANY_REQUESTS, _OVER_LIMIT)

    def _stop_reading(self) -> None:
        self._is_reading = False
        self.requests.discard()

    def _write(self, response: Response) -> None:
        if not self.transport.is_closing:
            data = write_response(
                response.status, response.headers, response.body, self._closes_after_response
            )
            self.transport.write(data)
            self._frontend.budgets.responses.enforce()  # may drop this connection
