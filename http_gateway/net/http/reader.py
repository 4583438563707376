"""Reads HTTP/1.1 messages out of the bytes of one connection, with limits on their size."""

from __future__ import annotations

from http import HTTPStatus

import httptools

from http_gateway.net.http.messages import MalformedMessageError, Message

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024  # more than any browser sends; a head without an end is noticed early
MAX_MESSAGE_BYTES = 2 * MAX_BODY_BYTES  # with head and framing
MAX_CONTENT_LENGTH_DIGITS = 9

_FRAMING_HEADERS = (b"content-length", b"transfer-encoding")


class MessageReader:
    """Takes the bytes of one connection and returns complete messages."""

    def __init__(self) -> None:
        self.expects_continue = False  # the peer waits for a 100 before it sends the body
        self.has_partial_message = False
        self.message_count = 0  # messages that have begun
        self.buffered_bytes = 0  # since the last complete message, at most
        self.error: MalformedMessageError | None = None  # what is wrong behind the complete messages
        self._complete: list[Message] = []
        self._message = Message()
        self._body = bytearray()
        self._in_head = False
        self._head_bytes = 0
        self._parser: httptools.HttpRequestParser | httptools.HttpResponseParser

    def feed(self, data: bytes | memoryview) -> list[Message]:
        """Take received bytes; return the messages that are complete now.

        After an `error` nothing may be fed any more.
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

    def discard(self) -> None:
        """Drop the message that is incomplete; nothing may be fed any more."""
        self._message, self._body, self.buffered_bytes = Message(), bytearray(), 0

    def close(self) -> None:
        """Release the parser, which refers back to this reader; else the cycle waits for a collection."""
        del self._parser

    def _check_size(self) -> None:
        # The parser holds a line back until it is complete, so only the bytes fed tell of one without an end.
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
        """Take a part of the request target."""
        self._message.target += url
        self._head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; trailers are dropped, since the message was judged without them."""
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
        """Take a part of the body."""
        self._body += data
        if len(self._body) > MAX_BODY_BYTES:
            raise _body_too_large()

    def on_message_complete(self) -> None:
        """Hand out a complete message."""
        self._message.body = bytes(self._body)
        self._message.keep_alive = self._parser.should_keep_alive()
        self.expects_continue = False
        self.has_partial_message = False
        self.buffered_bytes = 0
        self._complete.append(self._message)

    def _check_framing(self) -> None:
        """Accept only framing that every peer reads alike, or another message could hide in the body."""
        framing = [
            (name, value.strip().lower()) for name, value in self._message.headers if name in _FRAMING_HEADERS
        ]
        if self._parser.get_http_version() not in ("1.0", "1.1"):
            raise MalformedMessageError(HTTPStatus.HTTP_VERSION_NOT_SUPPORTED, "this is not HTTP/1")
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
        """Hand out a complete request."""
        self._message.method = self._parser.get_method()
        super().on_message_complete()


class ResponseReader(MessageReader):
    """Reads the responses of an endpoint."""

    def __init__(self) -> None:
        super().__init__()
        self._parser: httptools.HttpResponseParser = httptools.HttpResponseParser(self)

    def on_message_complete(self) -> None:
        """Hand out a complete response; interim responses (1xx) are dropped."""
        self._message.status = self._parser.get_status_code()
        if self._message.status >= HTTPStatus.OK:
            super().on_message_complete()


def _head_too_large() -> MalformedMessageError:
    return MalformedMessageError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large")


def _body_too_large() -> MalformedMessageError:
    return MalformedMessageError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")
