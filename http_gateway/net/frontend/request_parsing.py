"""Parses a client's HTTP message into a request for the dispatcher."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from http import HTTPStatus

from http_gateway.net.client_request import ClientRequest
from http_gateway.net.http.messages import MalformedMessageError, Message
from http_gateway.policy.settings import Idempotency, RequestClass
from http_gateway.policy.time_units import US_PER_S

MAX_REQUEST_ID_LENGTH = 128
MAX_COST_HINT_DIGITS = 12

_SINGLE_VALUE_HEADERS = frozenset(
    (b"x-request-id", b"x-class", b"x-deadline", b"x-key", b"x-tenant", b"x-cost-hint", b"idempotency-key")
)


class InvalidRequestError(MalformedMessageError):
    """A well-formed message that is not a valid request; `status` is the status of the error response."""


class RequestParser:
    """Parses requests of the configured request classes.

    Args:
        classes: The request classes in the settings.
        time_left_s: Returns the time, in seconds, within which every request must be answered; infinity if
            there is no such limit.
    """

    def __init__(self, classes: Iterable[RequestClass], time_left_s: Callable[[], float]) -> None:
        self._classes = {request_class.name: request_class for request_class in classes}
        self._time_left_s = time_left_s

    def parse(self, message: Message, arrived_after_s: float | None = None) -> ClientRequest:
        """Parse a message.

        Args:
            message: A complete HTTP request.
            arrived_after_s: Loop time after which its last byte arrived; None if it is unknown.

        Returns:
            The request for the dispatcher.

        Raises:
            InvalidRequestError: The request class, the method or a header is invalid.
        """
        headers = _single_value_headers(message)
        if not 0 < len(headers.get(b"x-request-id", b"")) <= MAX_REQUEST_ID_LENGTH:
            raise InvalidRequestError(
                HTTPStatus.BAD_REQUEST, "the X-Request-Id header is missing or too long"
            )
        request_class = self._request_class(message, headers)
        return ClientRequest(
            message,
            request_class.name,
            self._timeout_us(headers.get(b"x-deadline"), request_class),
            _parse_cost_us(headers.get(b"x-cost-hint", b""), request_class),
            _decode_latin1(headers.get(b"x-key")),
            message.header(b"x-retry") == "1",
            _decode_latin1(headers.get(b"x-tenant")) or "",
            arrived_after_s,
        )

    def _request_class(self, message: Message, headers: Mapping[bytes, bytes]) -> RequestClass:
        path = message.target.split(b"?", 1)[0]
        name = path.strip(b"/").split(b"/", 1)[0]
        request_class = self._classes.get(_decode_latin1(name) or "")
        if request_class is None or headers.get(b"x-class", name) != name:
            raise InvalidRequestError(
                HTTPStatus.BAD_REQUEST, "the request class is unknown or does not match X-Class"
            )
        method = b"GET" if request_class.idempotency is Idempotency.IDEMPOTENT else b"POST"
        if message.method != method:
            raise InvalidRequestError(
                HTTPStatus.METHOD_NOT_ALLOWED, "the method does not match the request class"
            )
        return request_class

    def _timeout_us(self, deadline: bytes | None, request_class: RequestClass) -> int:
        """Return the client's deadline, limited by the timeout of the class and by the gateway's shutdown."""
        limit_us = request_class.timeout_us
        time_left_s = self._time_left_s()
        if time_left_s < math.inf:
            limit_us = min(limit_us, max(1, round(time_left_s * US_PER_S)))
        if deadline is None:
            return limit_us
        return min(round(_parse_deadline_s(deadline) * US_PER_S), limit_us)


def _single_value_headers(message: Message) -> dict[bytes, bytes]:
    """Return the headers that the gateway interprets.

    A repeated header is rejected, because an endpoint might use another of its values than the gateway.
    """
    headers: dict[bytes, bytes] = {}
    for name, value in message.headers:
        if name in _SINGLE_VALUE_HEADERS:
            if name in headers:
                raise InvalidRequestError(HTTPStatus.BAD_REQUEST, "a single-value header is repeated")
            headers[name] = value.strip()
    return headers


def _parse_deadline_s(value: bytes) -> float:
    try:
        deadline_s = float(value)
    except ValueError:
        deadline_s = math.nan
    if not math.isfinite(deadline_s) or deadline_s <= 0:
        raise InvalidRequestError(
            HTTPStatus.BAD_REQUEST, "the X-Deadline header is not a positive, finite number"
        )
    return deadline_s


def _parse_cost_us(hint: bytes, request_class: RequestClass) -> int:
    """Return the cost hint in microseconds, or 0 if it is not a number or has too many digits.

    The hint is limited to the timeout of the class, because a request with a larger cost would outweigh all
    other requests.
    """
    if not hint.isdigit() or len(hint) > MAX_COST_HINT_DIGITS:
        return 0
    return min(int(hint), request_class.timeout_us)


def _decode_latin1(value: bytes | None) -> str | None:
    return None if value is None else value.decode("latin-1")
