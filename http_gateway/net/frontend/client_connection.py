"""One client's connection: its requests are handled one after the other."""

from __future__ import annotations

import asyncio
import logging
from http import HTTPStatus
from typing import NamedTuple

from http_gateway.net.client_request import Response
from http_gateway.net.frontend.client_transport import ClientTransport
from http_gateway.net.frontend.connection_limits import BufferLimit, ConnectionLimits
from http_gateway.net.frontend.in_flight_request import InFlightRequest, OpenRequestIds
from http_gateway.net.frontend.request_parsing import InvalidRequestError, RequestParser
from http_gateway.net.frontend.request_queue import RequestQueue
from http_gateway.net.frontend.shutdown_state import ShutdownState
from http_gateway.net.http.messages import Message
from http_gateway.net.http.shared_buffer import SharedBufferProtocol
from http_gateway.net.http.writer import write_response
from http_gateway.net.request_dispatcher import RequestDispatcher

log = logging.getLogger(__name__)

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class FrontendState(NamedTuple):
    """What all client connections share."""

    dispatcher: RequestDispatcher
    request_parser: RequestParser
    limits: ConnectionLimits[ClientConnection]
    buffer_limit: BufferLimit
    open_request_ids: OpenRequestIds
    shutdown: ShutdownState

    @property
    def is_ready(self) -> bool:
        """Whether the gateway serves requests: it has an endpoint list and is not shutting down."""
        return self.dispatcher.has_endpoint_list and not self.shutdown.has_begun


class ClientConnection(SharedBufferProtocol):
    """The protocol of one client's connection.

    The state of a connection: `requests` that wait, the one that is `in_flight`, and whether more is read
    (`is_reading`). After a rejected request nothing is read any more, but the connection lingers, so that the
    client receives the response.
    """

    def __init__(self, frontend: FrontendState) -> None:
        super().__init__()
        self.transport: ClientTransport  # from `connection_made` on
        self.requests = RequestQueue(frontend.buffer_limit)
        self.in_flight = InFlightRequest(frontend.dispatcher, frontend.open_request_ids)
        self._frontend = frontend
        self._loop = asyncio.get_running_loop()
        self._is_reading = True
        self._is_over_limit = False
        self._is_writing_paused = False
        self._closes_after_response = False
        # Ordinal of the request whose receive timeout is running; the first one's starts with the connection.
        self._timed_request = 1

    @property
    def is_idle(self) -> bool:
        """Whether it is between requests: none is in flight, queued or partly received."""
        has_request = self.in_flight.is_active or self.requests or self.requests.has_partial_request
        return self._is_reading and not has_request

    @property
    def is_reading(self) -> bool:
        """Whether received bytes are still read as requests."""
        return self._is_reading

    @property
    def is_over_limit(self) -> bool:
        """Whether the client has sent more than may wait."""
        return self._is_over_limit

    @property
    def is_writing_paused(self) -> bool:
        """Whether the client does not read what was written to it."""
        return self._is_writing_paused

    @property
    def timeout_at_s(self) -> float | None:
        """The loop time at which its timeout ends; None while a request is in flight."""
        return self._frontend.limits.timeout_at_s(self)

    @property
    def has_unread_bytes(self) -> bool:
        """Whether something was received that has not been read yet: maybe a request."""
        return self.transport.has_unread_bytes

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that the system has not taken yet."""
        return self.transport.unsent_bytes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Admit the connection, or close it if there are too many."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = ClientTransport(transport)
        if self._frontend.limits.admit(self):
            self._frontend.limits.start_receive_timeout(self)
        else:
            self._is_reading = False
            self.transport.abort()

    def on_data(self, data: memoryview) -> None:
        """Read received bytes and handle the requests in them."""
        if not self._is_reading:
            return
        self.requests.feed(data)
        if self.requests.error is not None:
            self._reject(self.requests.error.status)
        elif self.requests.is_over_limit:
            self._reject_over_limit()
        else:
            self._handle_queued_requests()
            self._handle_partial_request()

    def pause_writing(self) -> None:
        """Handle no further request until the client has read its responses."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Handle requests again."""
        self._is_writing_paused = False
        self._handle_queued_requests()

    def eof_received(self) -> None:
        """Handle the client's disconnect; the connection may stay for responses that are not read yet."""
        self.in_flight.abandon()
        self._stop_reading()
        self._frontend.limits.start_linger_timeout(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release everything that the connection uses."""
        self._frontend.limits.remove(self)
        self._is_reading = False
        self._closes_after_response = True
        self.requests.close()
        self.in_flight.abandon()

    def on_timeout(self) -> None:
        """Handle the end of the receive, idle or linger timeout.

        A connection with unread bytes stays, since they are read in this turn of the event loop.
        """
        if self.requests.has_partial_request and self._is_reading:
            self._reject(HTTPStatus.REQUEST_TIMEOUT)
        elif not self._is_reading or self.unsent_bytes or not self.has_unread_bytes:
            self.drop()

    def drop(self) -> None:
        """Close the connection at once."""
        self._frontend.limits.stop_timeout(self)
        self._is_reading = False
        self.transport.abort()

    def close_if_idle(self) -> None:
        """Close the connection if it is between requests; one that has begun to arrive is still handled."""
        if self.is_idle and not self.has_unread_bytes:
            self._is_reading = False
            self.transport.close()

    def _handle_queued_requests(self) -> None:
        while self.requests and not self.in_flight.is_active and not self._is_writing_paused:
            message = self.requests.pop()
            self.in_flight.begin()
            self._frontend.limits.stop_timeout(self)
            self._closes_after_response = self._closes_after_response or not message.keep_alive
            try:
                self._handle_request(message)
            except InvalidRequestError as error:
                self._reject(error.status)
            except Exception:
                log.exception('request handling failed request_id="%s"', message.header(b"x-request-id"))
                self._respond(Response(HTTPStatus.INTERNAL_SERVER_ERROR))

    def _handle_request(self, message: Message) -> None:
        if message.target == b"/up" and message.method == b"GET":
            status = HTTPStatus.OK if self._frontend.is_ready else HTTPStatus.SERVICE_UNAVAILABLE
            self._respond(Response(status))
            return
        client_request = self._frontend.request_parser.parse(message)
        self.in_flight.submit(client_request, self._respond, self._has_client_disconnected)

    def _has_client_disconnected(self) -> bool:
        return self.transport.has_disconnected

    def _handle_partial_request(self) -> None:
        if self.in_flight.is_active or not self.requests.has_partial_request:
            return
        if self.requests.begun_count > self._timed_request:
            self._timed_request = self.requests.begun_count
            self._frontend.limits.start_receive_timeout(self)
        if self.requests.take_continue_expectation():
            self.transport.write(_CONTINUE)

    def _respond(self, response: Response) -> None:
        """Write the response to the request in flight, unless the request was abandoned."""
        if not self.in_flight.is_active:
            return
        self.in_flight.complete()
        self._closes_after_response = self._is_last_response()
        self._write(response)
        if self._is_over_limit:
            self._reject(HTTPStatus.TOO_MANY_REQUESTS)
            return
        if self._closes_after_response:
            self._stop_reading()
            self.transport.close()
        self._wait_for_next_request()

    def _is_last_response(self) -> bool:
        if self._is_over_limit:  # the rejection follows
            return False
        return self._closes_after_response or (
            self._frontend.shutdown.has_begun and not self._has_further_request()
        )

    def _has_further_request(self) -> bool:
        """Whether another request, complete or not, was received after this one: a close would lose it."""
        return bool(self.requests) or self.requests.has_partial_request or self.has_unread_bytes

    def _wait_for_next_request(self) -> None:
        if self.requests.has_partial_request:
            self._frontend.limits.start_receive_timeout(self)
        else:
            self._frontend.limits.start_idle_timeout(self)
        self._timed_request = self.requests.begun_count
        if self.requests:
            self._loop.call_soon(self._handle_queued_requests)

    def _reject(self, status: HTTPStatus) -> None:
        """Respond with an error and read nothing more, since the start of the next request is unknown.

        A request in flight is abandoned: the bytes after it show that its length, and so its body, was wrong.
        """
        self.in_flight.abandon()
        self._stop_reading()
        self._closes_after_response = True
        self._write(Response(status))
        # To close with unread bytes would reset the connection, and the client could lose the response.
        if not self.transport.is_closing:
            self.transport.write_eof()
            self._frontend.limits.start_linger_timeout(self, evict_first=True)

    def _reject_over_limit(self) -> None:
        """Reject what exceeds the limit, after the response to a request in flight.

        The request in flight was possibly executed, so it gets its own response.
        """
        self._stop_reading()
        self._is_over_limit = True
        if not self.in_flight.is_active:
            self._reject(HTTPStatus.TOO_MANY_REQUESTS)

    def _stop_reading(self) -> None:
        self._is_reading = False
        self.requests.discard()

    def _write(self, response: Response) -> None:
        if not self.transport.is_closing:
            data = write_response(
                response.status, response.headers, response.body, self._closes_after_response
            )
            self.transport.write(data)
