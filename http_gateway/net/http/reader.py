"""Reads HTTP/1.1 messages from the bytes of one connection, with limits on their size."""

from __future__ import annotations

from http import HTTPStatus

import httptools

from http_gateway.net.http.messages import MalformedMessageError, Message

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024  # start line and headers; more than any browser sends
MAX_MESSAGE_BYTES = 2 * MAX_BODY_BYTES  # head, body and framing
MAX_CONTENT_LENGTH_DIGITS = 9

_FRAMING_HEADERS = (b"content-length", b"transfer-encoding")


class MessageReader:
    """Reads the bytes of one connection and returns complete messages.

    Attributes:
        expects_continue: Whether the peer waits for a 100 (Continue) before it sends the body.
        has_partial_message: Whether a message has begun and is not complete.
        message_count: How many messages have begun.
        buffered_bytes: Bytes received since the last complete message.
        error: What is wrong with the bytes after the complete messages; None if nothing is.
    """

    def __init__(self) -> None:
        self.expects_continue = False
        self.has_partial_message = False
        self.message_count = 0
        self.buffered_bytes = 0
        self.error: MalformedMessageError | None = None
        self._complete: list[Message] = []
        self._message = Message()
        self._body = bytearray()
        self._in_head = False
        self._head_bytes = 0
        self._parser: httptools.HttpRequestParser | httptools.HttpResponseParser

    def feed(self, data: bytes | memoryview) -> list[Message]:
        """Read received bytes; return the messages that are complete with them.

        Nothing may be fed after an `error`.
        """
        self._complete = []
        self.buffered_bytes += len(data)
        try:
            self._parser.feed_data(data)
            self._check_size()
        except MalformedMessageError as error:
            self.error = error
        except httptools.HttpParserUpgrade:
            self.error = MalformedMessageError(HTTPStatus.BAD_REQUEST, "an upgrade is not supported")
        except httptools.HttpParserCallbackError as error:
            if not isinstance(error.__context__, MalformedMessageError):
                raise
            self.error = error.__context__
        except httptools.HttpParserError as error:
            self.error = MalformedMessageError(HTTPStatus.BAD_REQUEST, f"malformed HTTP: {error}")
        return self._complete

    def take_continue_expectation(self) -> bool:
        """Whether the peer waits for a 100 (Continue); true only once for each message."""
        expects_continue, self.expects_continue = self.expects_continue, False
        return expects_continue

    def discard(self) -> None:
        """Drop the incomplete message; nothing may be fed after this."""
        self._message, self._body, self.buffered_bytes = Message(), bytearray(), 0

    def close(self) -> None:
        """Release the parser, whose reference to this reader would be a cycle for the garbage collector."""
        del self._parser

    def _check_size(self) -> None:
        # The parser reports only complete lines, so the bytes fed are what shows a line without an end.
        if self._in_head and self.buffered_bytes > MAX_HEAD_BYTES:
            raise _head_too_large()
        if self.buffered_bytes > MAX_MESSAGE_BYTES:
            raise MalformedMessageError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the message is too large")

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Begin a message."""
        self.has_partial_message = self._in_head = True
        self.message_count += 1
        self._head_bytes = 0
        self._message = Message()
        self._body = bytearray()

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target."""
        self._message.target += url
        self._head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are dropped, since the framing was checked without them."""
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise _head_too_large()
        if self._in_head:
            self._message.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the framing of a message before its body is read."""
        self._in_head = False
        self._check_framing()
        self.expects_continue = (self._message.header(b"expect") or "").lower() == "100-continue"

    def on_body(self, data: bytes) -> None:
        """Add a part of the body."""
        self._body += data
        if len(self._body) > MAX_BODY_BYTES:
            raise _body_too_large()

    def on_message_complete(self) -> None:
        """Finish a message."""
        self._message.body = bytes(self._body)
        self._message.keep_alive = self._parser.should_keep_alive()
        self.expects_continue = False
        self.has_partial_message = False
        self.buffered_bytes = 0
        self._complete.append(self._message)

    def _check_framing(self) -> None:
        """Accept only framing that every peer reads alike; else the body could smuggle a request."""
        framing = [
            (name, value.strip().lower()) for name, value in self._message.headers if name in _FRAMING_HEADERS
        ]
        if self._parser.get_http_version() not in ("1.0", "1.1"):
            raise MalformedMessageError(HTTPStatus.HTTP_VERSION_NOT_SUPPORTED, "the version is not HTTP/1")
        if not framing:
            return
        (name, value), *others = framing
        is_plain = value == b"chunked" if name == b"transfer-encoding" else value.isdigit()
        if others or not is_plain:
            raise MalformedMessageError(HTTPStatus.BAD_REQUEST, "the framing is ambiguous")
        if name == b"content-length" and (
            len(value) > MAX_CONTENT_LENGTH_DIGITS or int(value) > MAX_BODY_BYTES
        ):
            raise _body_too_large()


class RequestReader(MessageReader):
    """Reads the requests of a client."""

    def __init__(self) -> None:
        super().__init__()
        self._parser: httptools.HttpRequestParser = httptools.HttpRequestParser(self)

    def on_message_complete(self) -> None:
        """Finish a request."""
        self._message.method = self._parser.get_method()
        super().on_message_complete()


class ResponseReader(MessageReader):
    """Reads the responses of an endpoint."""

    def __init__(self) -> None:
        super().__init__()
        self._parser: httptools.HttpResponseParser = httptools.HttpResponseParser(self)

    def on_message_complete(self) -> None:
        """Finish a response; interim responses (1xx) are dropped."""
        self._message.status = self._parser.get_status_code()
        if self._message.status >= HTTPStatus.OK:
            super().on_message_complete()


def _head_too_large() -> MalformedMessageError:
    return MalformedMessageError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large")


def _body_too_large() -> MalformedMessageError:
    return MalformedMessageError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")
