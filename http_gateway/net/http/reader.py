"""Parses HTTP/1.1 messages from the bytes of one connection and limits their size."""

from __future__ import annotations

from http import HTTPStatus

import httptools

from http_gateway.net.http.messages import Headers, MalformedMessageError, Message

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024  # start line and headers; larger than any browser sends
MAX_MESSAGE_BYTES = 2 * MAX_BODY_BYTES  # head, body and chunked framing
MAX_CONTENT_LENGTH_DIGITS = 9
MAX_HEADER_FIELDS = 100  # more than any browser sends
# Memory of a parsed header field beside its bytes: a tuple, two objects for name and value, and a list slot.
FIELD_MEMORY_BYTES = 192
MESSAGE_MEMORY_BYTES = 512  # memory of a message beside its fields and its bytes

_FRAMING_HEADERS = (b"content-length", b"transfer-encoding")


class _MessageLimitReachedError(Exception):
    """Stops the parser, because enough messages are complete."""


class MessageReader:
    """Parses the bytes of one connection and returns complete messages.

    Attributes:
        expects_continue: Whether the peer waits for a 100 (Continue) response before it sends the body.
        has_partial_message: Whether the start of a message was received, but not its end.
        started_message_count: Number of messages that have started to arrive, including complete ones.
        buffered_bytes: Number of bytes received since the last complete message.
        is_message_limit_reached: Whether more messages arrived at once than the reader parses; the bytes
            after these messages were dropped, and `feed` must not be called again.
        error: The error in the bytes after the complete messages; None if there is none.
        MAX_MESSAGES_AT_ONCE: Number of messages that may be complete at once. A call of `feed` parses at most
            one more, by which the caller sees that there are too many.
    """

    MAX_MESSAGES_AT_ONCE = 1

    def __init__(self) -> None:
        self.expects_continue = False
        self.has_partial_message = False
        self.is_message_limit_reached = False
        self.started_message_count = 0
        self.buffered_bytes = 0
        self.error: MalformedMessageError | None = None
        self._complete: list[Message] = []
        self._message = Message()
        self._body = bytearray()
        self._in_head = False
        self._head_bytes = 0
        self._partial_bytes = 0  # upper bound on the bytes of the incomplete message
        self._parser: httptools.HttpRequestParser | httptools.HttpResponseParser

    def feed(self, data: bytes | memoryview) -> list[Message]:
        """Parse received bytes.

        Args:
            data: The received bytes; `feed` must not be called after an `error`.

        Returns:
            The messages that these bytes complete.
        """
        self.buffered_bytes += len(data)
        self._partial_bytes += len(data)
        try:
            self._parser.feed_data(data)
            self._check_size()
        except MalformedMessageError as error:
            self._set_error(error.status, str(error))
        except httptools.HttpParserUpgrade:
            self._set_error(HTTPStatus.BAD_REQUEST, "protocol upgrades are not supported")
        except httptools.HttpParserCallbackError as error:
            self._handle_callback_error(error)
        except httptools.HttpParserError as error:
            self._set_error(HTTPStatus.BAD_REQUEST, f"malformed HTTP: {error}")
        complete, self._complete = self._complete, []
        if complete:
            self._partial_bytes = len(data) if self.has_partial_message else 0
        return complete

    @property
    def partial_memory_bytes(self) -> int:
        """Upper bound on the memory of the incomplete message; 0 if there is none."""
        if not self._partial_bytes:
            return 0
        field_bytes = len(self._message.headers) * FIELD_MEMORY_BYTES
        # A growing body is allocated with up to an eighth more than its bytes.
        return MESSAGE_MEMORY_BYTES + field_bytes + self._partial_bytes + len(self._body) // 8

    def consume_continue_expectation(self) -> bool:
        """Return whether the peer waits for a 100 (Continue) response; true only once for each message."""
        expects_continue, self.expects_continue = self.expects_continue, False
        return expects_continue

    def discard(self) -> None:
        """Drop the incomplete message; `feed` must not be called after this."""
        self._message, self._body = Message(), bytearray()
        self.buffered_bytes = self._partial_bytes = 0

    def close(self) -> None:
        """Release the parser.

        The parser refers to this reader, and only the garbage collector would free the reference cycle.
        """
        del self._parser

    def _handle_callback_error(self, error: httptools.HttpParserCallbackError) -> None:
        cause = error.__context__
        if isinstance(cause, MalformedMessageError):
            self._set_error(cause.status, str(cause))
        elif isinstance(cause, _MessageLimitReachedError):
            self.is_message_limit_reached = True
        else:
            raise error

    def _set_error(self, status: HTTPStatus, reason: str) -> None:
        """Set a new error without a traceback, which would keep the whole reader alive in a cycle."""
        self.error = MalformedMessageError(status, reason)

    def _check_size(self) -> None:
        # The parser reports only complete header lines. A line without an end is therefore detected by the
        # number of bytes received.
        if self._in_head and self.buffered_bytes > MAX_HEAD_BYTES:
            raise _head_too_large()
        if self.buffered_bytes > MAX_MESSAGE_BYTES:
            raise MalformedMessageError(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the message exceeds the size limit"
            )

    # Callbacks that the httptools parser calls by name

    def on_message_begin(self) -> None:
        """Start a new message."""
        self.has_partial_message = self._in_head = True
        self.started_message_count += 1
        self._head_bytes = 0
        self._message = Message()
        self._body = bytearray()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._head_bytes += len(url)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise _head_too_large()
        self._message.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailer fields are dropped, because the framing was checked without them."""
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise _head_too_large()
        if not self._in_head:
            return
        if len(self._message.headers) == MAX_HEADER_FIELDS:
            raise MalformedMessageError(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "there are too many header fields"
            )
        self._message.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the framing of the message before its body is parsed."""
        self._in_head = False
        self._check_framing()
        self.expects_continue = (self._message.header(b"expect") or "").lower() == "100-continue"

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self._body += data
        if len(self._body) > MAX_BODY_BYTES:
            raise _body_too_large()

    def on_message_complete(self) -> None:
        """Add the message to the complete messages, and keep no reference to it.

        Raises:
            _MessageLimitReachedError: More messages are complete than may be at once.
        """
        message = self._message
        message.body = bytes(self._body)
        message.keep_alive = self._parser.should_keep_alive()
        message.memory_bytes = self._complete_memory_bytes()
        self._message, self._body = Message(), bytearray()
        self.expects_continue = False
        self.has_partial_message = False
        self.buffered_bytes = 0
        self._complete.append(message)
        if len(self._complete) > self.MAX_MESSAGES_AT_ONCE:
            raise _MessageLimitReachedError

    def _complete_memory_bytes(self) -> int:
        field_bytes = len(self._message.headers) * FIELD_MEMORY_BYTES
        return MESSAGE_MEMORY_BYTES + field_bytes + self._head_bytes + len(self._message.body)

    def _framing_headers(self) -> Headers:
        return [
            (name, value.strip().lower()) for name, value in self._message.headers if name in _FRAMING_HEADERS
        ]

    def _check_framing(self) -> None:
        """Reject body framing that another parser could read differently, which allows request smuggling."""
        framing = self._framing_headers()
        if self._parser.get_http_version() not in ("1.0", "1.1"):
            raise MalformedMessageError(
                HTTPStatus.HTTP_VERSION_NOT_SUPPORTED, "the HTTP version is not 1.0 or 1.1"
            )
        if not framing:
            return
        (name, value), *others = framing
        is_supported = value == b"chunked" if name == b"transfer-encoding" else value.isdigit()
        if others or not is_supported:
            raise MalformedMessageError(
                HTTPStatus.BAD_REQUEST, "the body framing is ambiguous or not supported"
            )
        if name == b"content-length" and (
            len(value) > MAX_CONTENT_LENGTH_DIGITS or int(value) > MAX_BODY_BYTES
        ):
            raise _body_too_large()


class RequestReader(MessageReader):
    """Parses the requests of a client connection."""

    MAX_MESSAGES_AT_ONCE = 4  # pipelined requests; most clients do not pipeline

    def __init__(self) -> None:
        super().__init__()
        self._parser: httptools.HttpRequestParser = httptools.HttpRequestParser(self)

    def on_message_complete(self) -> None:
        """Add the request to the complete messages."""
        self._message.method = self._parser.get_method()
        super().on_message_complete()


class ResponseReader(MessageReader):
    """Parses the responses on a connection to an endpoint."""

    def __init__(self) -> None:
        super().__init__()
        self._parser: httptools.HttpResponseParser = httptools.HttpResponseParser(self)
        self._is_close_delimited = False  # whether the current response ends with its connection

    def end_of_stream(self) -> Message | None:
        """Handle the orderly end of the connection; a reset is no such end.

        Returns:
            The response that ends with the connection, since its head gives no length (RFC 9112, section
            6.3); None if there is none. A response with a length is incomplete if the connection ends within
            it.
        """
        if self.error is not None or not self._is_close_delimited:
            return None
        self.on_message_complete()
        return self._complete.pop()

    def on_message_begin(self) -> None:
        """Start a new response."""
        super().on_message_begin()
        self._is_close_delimited = False

    def on_headers_complete(self) -> None:
        """Check the framing of the response and find out whether it ends with its connection."""
        super().on_headers_complete()
        is_final = self._parser.get_status_code() >= HTTPStatus.OK
        self._is_close_delimited = is_final and not self._framing_headers()

    def on_message_complete(self) -> None:
        """Add the response to the complete messages, unless it is an interim response (1xx)."""
        self._is_close_delimited = False
        self._message.status = self._parser.get_status_code()
        if self._message.status >= HTTPStatus.OK:
            super().on_message_complete()


def _head_too_large() -> MalformedMessageError:
    return MalformedMessageError(
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the start line and headers exceed the size limit"
    )


def _body_too_large() -> MalformedMessageError:
    return MalformedMessageError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body exceeds the size limit")
