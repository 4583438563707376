"""Parses HTTP/1.1 messages from the bytes of one connection and limits their size."""

from __future__ import annotations

from http import HTTPStatus

import httptools

from http_gateway.net.http.messages import Headers, MalformedMessageError, Message

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024  # start line and headers; larger than any browser sends
MAX_MESSAGE_BYTES = 2 * MAX_BODY_BYTES  # head, body and chunked framing
MAX_CONTENT_LENGTH_DIGITS = 9

_FRAMING_HEADERS = (b"content-length", b"transfer-encoding")


class MessageReader:
    """Parses the bytes of one connection and returns complete messages.

    Attributes:
        expects_continue: Whether the peer waits for a 100 (Continue) response before it sends the body.
        has_partial_message: Whether the start of a message was received, but not its end.
        started_message_count: Number of messages that have started to arrive, including complete ones.
        buffered_bytes: Number of bytes received since the last complete message.
        error: The error in the bytes after the complete messages; None if there is none.
    """

    def __init__(self) -> None:
        self.expects_continue = False
        self.has_partial_message = False
        self.started_message_count = 0
        self.buffered_bytes = 0
        self.error: MalformedMessageError | None = None
        self._complete: list[Message] = []
        self._message = Message()
        self._body = bytearray()
        self._in_head = False
        self._head_bytes = 0
        self._parser: httptools.HttpRequestParser | httptools.HttpResponseParser

    def feed(self, data: bytes | memoryview) -> list[Message]:
        """Parse received bytes.

        Args:
            data: The received bytes; `feed` must not be called after an `error`.

        Returns:
            The messages that these bytes complete.
        """
        self._complete = []
        self.buffered_bytes += len(data)
        try:
            self._parser.feed_data(data)
            self._check_size()
        except MalformedMessageError as error:
            self.error = error
        except httptools.HttpParserUpgrade:
            self.error = MalformedMessageError(HTTPStatus.BAD_REQUEST, "protocol upgrades are not supported")
        except httptools.HttpParserCallbackError as error:
            if not isinstance(error.__context__, MalformedMessageError):
                raise
            self.error = error.__context__
        except httptools.HttpParserError as error:
            self.error = MalformedMessageError(HTTPStatus.BAD_REQUEST, f"malformed HTTP: {error}")
        return self._complete

    def consume_continue_expectation(self) -> bool:
        """Return whether the peer waits for a 100 (Continue) response; true only once for each message."""
        expects_continue, self.expects_continue = self.expects_continue, False
        return expects_continue

    def discard(self) -> None:
        """Drop the incomplete message; `feed` must not be called after this."""
        self._message, self._body, self.buffered_bytes = Message(), bytearray(), 0

    def close(self) -> None:
        """Release the parser.

        The parser refers to this reader, and only the garbage collector would free the reference cycle.
        """
        del self._parser

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
        self._message.target += url
        self._head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailer fields are dropped, because the framing was checked without them."""
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise _head_too_large()
        if self._in_head:
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
        """Add the message to the complete messages."""
        self._message.body = bytes(self._body)
        self._message.keep_alive = self._parser.should_keep_alive()
        self.expects_continue = False
        self.has_partial_message = False
        self.buffered_bytes = 0
        self._complete.append(self._message)

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
        return self._message

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
