"""Turns an HTTP message of a client into a request for the dispatcher."""

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
    """A well-formed message that is no valid request; `status` is that of its response."""


class RequestParser:
    """Reads requests of the classes in the settings.

    `time_left_s` returns the time within which every request has to be answered; infinity if there is no
    such limit.
    """

    def __init__(self, classes: Iterable[RequestClass], time_left_s: Callable[[], float]) -> None:
        self._classes = {request_class.name: request_class for request_class in classes}
        self._time_left_s = time_left_s

    def parse(self, message: Message) -> ClientRequest:
        """Return the request in a message; raises `InvalidRequestError`."""
        headers = _single_value_headers(message)
        if not 0 < len(headers.get(b"x-request-id", b"")) <= MAX_REQUEST_ID_LENGTH:
            raise InvalidRequestError(HTTPStatus.BAD_REQUEST, "the request id is missing or too long")
        request_class = self._request_class(message, headers)
        return ClientRequest(
            message,
            request_class.name,
            self._timeout_us(headers.get(b"x-deadline"), request_class),
            _cost_us(headers.get(b"x-cost-hint", b""), request_class),
            _text(headers.get(b"x-key")),
            message.header(b"x-retry") == "1",
            _text(headers.get(b"x-tenant")) or "",
        )

    def _request_class(self, message: Message, headers: Mapping[bytes, bytes]) -> RequestClass:
        path = message.target.split(b"?", 1)[0]
        name = path.strip(b"/").split(b"/", 1)[0]
        request_class = self._classes.get(_text(name) or "")
        if request_class is None or headers.get(b"x-class", name) != name:
            raise InvalidRequestError(HTTPStatus.BAD_REQUEST, "the request class is unknown")
        method = b"GET" if request_class.idempotency is Idempotency.IDEMPOTENT else b"POST"
        if message.method != method:
            raise InvalidRequestError(HTTPStatus.METHOD_NOT_ALLOWED, "the class has another method")
        return request_class

    def _timeout_us(self, deadline: bytes | None, request_class: RequestClass) -> int:
        """The client's deadline, limited by the timeout of the class and the gateway's shutdown."""
        limit_us = request_class.timeout_us
        time_left_s = self._time_left_s()
        if time_left_s < math.inf:
            limit_us = min(limit_us, max(1, round(time_left_s * US_PER_S)))
        if deadline is None:
            return limit_us
        return min(round(_deadline_s(deadline) * US_PER_S), limit_us)


def _single_value_headers(message: Message) -> dict[bytes, bytes]:
    """The headers that are acted on; of one that is repeated, an endpoint might use the other value."""
    headers: dict[bytes, bytes] = {}
    for name, value in message.headers:
        if name in _SINGLE_VALUE_HEADERS:
            if name in headers:
                raise InvalidRequestError(HTTPStatus.BAD_REQUEST, "a header is repeated")
            headers[name] = value.strip()
    return headers


def _deadline_s(text: bytes) -> float:
    try:
        deadline_s = float(text)
    except ValueError:
        deadline_s = math.nan
    if not math.isfinite(deadline_s) or deadline_s <= 0:
        raise InvalidRequestError(HTTPStatus.BAD_REQUEST, "the deadline is not a positive number")
    return deadline_s


def _cost_us(hint: bytes, request_class: RequestClass) -> int:
    """The cost hint, or 0 if it is not a number.

    More than the timeout of the class would outweigh all other requests.
    """
    if not hint.isdigit() or len(hint) > MAX_COST_HINT_DIGITS:
        return 0
    return min(int(hint), request_class.timeout_us)


def _text(value: bytes | None) -> str | None:
    return None if value is None else value.decode("latin-1")
