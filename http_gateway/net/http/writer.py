"""Serializes HTTP/1.1 messages without their hop-by-hop headers."""

from __future__ import annotations

from http import HTTPStatus

from http_gateway.net.http.messages import Headers, Message

# Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that the gateway sets itself.
_NOT_FORWARDED_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
        b"x-deadline",
    )
)
# Headers that are forwarded even if a client lists them in its Connection header.
_ALWAYS_FORWARDED_HEADERS = frozenset((b"x-request-id", b"idempotency-key"))


def write_request(message: Message, extra_headers: Headers) -> bytes:
    """Serialize a client's request for an endpoint.

    Args:
        message: The client's request.
        extra_headers: Headers that the gateway adds.

    Returns:
        The bytes of the request.
    """
    headers = _forwarded_headers(message.headers) + extra_headers
    if message.body or message.method != b"GET":
        headers.append((b"content-length", b"%d" % len(message.body)))
    return _write(b"%s %s HTTP/1.1" % (message.method, message.target), headers, message.body)


def write_response(status: int, headers: Headers, body: bytes, close: bool) -> bytes:
    """Serialize a response to a client.

    Args:
        status: The status code.
        headers: The headers, from which hop-by-hop headers are removed.
        body: The body.
        close: Whether the response announces that the gateway closes the connection after it.

    Returns:
        The bytes of the response.
    """
    framing = [(b"content-length", b"%d" % len(body))]
    if close:
        framing.append((b"connection", b"close"))
    try:
        phrase = HTTPStatus(status).phrase.encode()
    except ValueError:
        phrase = b"Unknown"
    return _write(b"HTTP/1.1 %d %s" % (status, phrase), [*_forwarded_headers(headers), *framing], body)


def _forwarded_headers(headers: Headers) -> Headers:
    forwarded = [header for header in headers if header[0] not in _NOT_FORWARDED_HEADERS]
    for name, value in headers:
        if name == b"connection":
            connection_options = {
                option.strip().lower() for option in value.split(b",")
            } - _ALWAYS_FORWARDED_HEADERS
            forwarded = [header for header in forwarded if header[0] not in connection_options]
    return forwarded


def _write(start_line: bytes, headers: Headers, body: bytes) -> bytes:
    lines = [start_line, *(name + b": " + value for name, value in headers)]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
