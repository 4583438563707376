"""Tests of the request headers that the gateway interprets."""

from __future__ import annotations

import math

import pytest

from http_gateway.net.client_request import ClientRequest
from http_gateway.net.frontend.request_parsing import InvalidRequestError, RequestParser
from http_gateway.net.http.reader import RequestReader
from http_gateway.policy.time_units import US_PER_MS, US_PER_S
from tests.support.loopback import READ, SETTINGS, request_bytes


def parse(headers: dict[str, str], time_left_s: float = math.inf) -> ClientRequest:
    """Parse a request.

    Args:
        headers: The headers that replace or extend those of the default request.
        time_left_s: The time, in seconds, until the deadline of the shutdown.

    Returns:
        The request for the dispatcher.
    """
    (message,) = RequestReader().feed(request_bytes(headers=headers))
    return RequestParser(SETTINGS.classes, lambda: time_left_s).parse(message)


def test_hints_are_read_from_the_headers() -> None:
    request = parse({"X-Cost-Hint": "9000", "X-Key": "user:4", "X-Retry": "1", "X-Tenant": "acme"})
    assert (request.class_name, request.timeout_us, request.cost_us) == (
        "page-read",
        10_000 * US_PER_MS,
        9000,
    )
    assert (request.key, request.is_client_retry, request.tenant) == ("user:4", True, "acme")
    request = parse({"X-Cost-Hint": "much", "X-Retry": "no"})
    assert (request.cost_us, request.is_client_retry) == (0, False)


def test_cost_hint_is_limited_to_the_timeout_of_the_class() -> None:
    for hint, cost_us in (("9" * 12, 15_000_000), ("9" * 5000, 0), ("-1", 0)):
        assert parse({"X-Cost-Hint": hint}).cost_us == cost_us


def test_request_without_hints_has_the_defaults() -> None:
    request = parse({"X-Deadline": ""})
    assert (request.timeout_us, request.cost_us) == (READ.timeout_us, 0)
    assert (request.key, request.is_client_retry, request.tenant) == (None, False, "")


@pytest.mark.parametrize(
    ("deadline", "time_left_s", "timeout_us"),
    [
        ("0.25", math.inf, 250_000),
        ("1e9", math.inf, READ.timeout_us),
        ("10", 5.0, 5 * US_PER_S),
        ("", 5.0, 5 * US_PER_S),
        ("0.25", 5.0, 250_000),
        ("10", -1.0, 1),  # after the shutdown deadline, the timeout is still positive
    ],
)
def test_timeout_is_limited_by_class_and_shutdown(deadline: str, time_left_s: float, timeout_us: int) -> None:
    assert parse({"X-Deadline": deadline}, time_left_s).timeout_us == timeout_us


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        ({"X-Request-Id": ""}, 400),
        ({"X-Request-Id": "1" * 129}, 400),
        ({"X-Class": "chapter-buy"}, 400),
        ({"X-Deadline": "soon"}, 400),
        ({"X-Tenant": "acme\r\nX-Tenant: other"}, 400),
    ],
)
def test_invalid_headers_have_the_status_of_the_response(headers: dict[str, str], status: int) -> None:
    with pytest.raises(InvalidRequestError) as raised:
        parse(headers)
    assert raised.value.status == status


def test_longest_request_id_is_accepted() -> None:
    assert parse({"X-Request-Id": "1" * 128}).message.header(b"x-request-id") == "1" * 128
