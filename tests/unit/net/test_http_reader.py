"""Tests of parsing HTTP/1.1 messages from bytes that arrive in chunks of any size."""

from __future__ import annotations

import gc

import pytest

from http_gateway.net.http.reader import (
    FIELD_MEMORY_BYTES,
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    MAX_HEADER_FIELDS,
    RequestReader,
    ResponseReader,
)

REQUEST = b"POST /a?b=1 HTTP/1.1\r\nHost: a\r\nX-One: 1\r\nContent-Length: 4\r\n\r\nbody"


def test_request_may_arrive_byte_by_byte() -> None:
    reader = RequestReader()
    messages = [message for byte in REQUEST for message in reader.feed(bytes([byte]))]
    (message,) = messages
    assert (message.method, message.target, message.body) == (b"POST", b"/a?b=1", b"body")
    assert message.headers == [(b"host", b"a"), (b"x-one", b"1"), (b"content-length", b"4")]
    assert message.keep_alive
    assert (reader.has_partial_message, reader.buffered_bytes, reader.started_message_count) == (False, 0, 1)


def test_partial_request_after_a_complete_one_is_counted() -> None:
    reader = RequestReader()
    assert len(reader.feed(REQUEST + REQUEST[:10])) == 1
    assert (reader.has_partial_message, reader.started_message_count) == (True, 2)
    assert len(reader.feed(REQUEST[10:])) == 1
    assert (reader.has_partial_message, reader.started_message_count) == (False, 2)


def test_requests_before_malformed_bytes_are_returned() -> None:
    reader = RequestReader()
    assert len(reader.feed(REQUEST + b"\x00")) == 1
    assert reader.error is not None
    assert reader.error.status == 400


def test_body_may_be_as_large_as_the_limit() -> None:
    head = b"POST /a HTTP/1.1\r\nContent-Length: %d\r\n\r\n"
    (message,) = RequestReader().feed(head % MAX_BODY_BYTES + bytes(MAX_BODY_BYTES))
    assert len(message.body) == MAX_BODY_BYTES
    reader = RequestReader()
    reader.feed(head % (MAX_BODY_BYTES + 1))
    assert reader.error is not None
    assert reader.error.status == 413


def test_head_without_an_end_is_rejected_at_the_limit() -> None:
    reader = RequestReader()
    head = b"GET /a HTTP/1.1\r\nX-Long: "
    reader.feed(head + b"a" * (MAX_HEAD_BYTES - len(head)))
    assert reader.error is None
    reader.feed(b"a")
    assert reader.error is not None
    assert reader.error.status == 431


def test_continue_expectation_is_reported_once() -> None:
    reader = RequestReader()
    reader.feed(b"POST /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
    assert reader.expects_continue
    assert [reader.consume_continue_expectation() for _ in range(2)] == [True, False]


def test_interim_response_is_dropped() -> None:
    reader = ResponseReader()
    responses = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npage"
    (message,) = reader.feed(responses)
    assert (message.status, message.body) == (200, b"page")


def test_response_without_a_length_ends_with_its_connection() -> None:
    reader = ResponseReader()
    assert reader.feed(b"HTTP/1.1 200 OK\r\n\r\nall ") == []
    assert reader.feed(b"of it") == []
    response = reader.end_of_stream()
    assert response is not None
    assert (response.status, response.body, response.keep_alive) == (200, b"all of it", False)
    assert reader.end_of_stream() is None


@pytest.mark.parametrize(
    "received",
    [
        b"",
        b"HTTP/1.1 200 OK\r\nX-Cut: off",
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart",
        b"HTTP/1.1 103 Early Hints\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\n" + bytes(MAX_BODY_BYTES + 1),
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npageHTTP/1.1 200",
    ],
)
def test_no_other_response_ends_with_its_connection(received: bytes) -> None:
    reader = ResponseReader()
    reader.feed(received)
    assert reader.end_of_stream() is None


def test_head_of_too_many_short_fields_is_rejected() -> None:
    reader = RequestReader()
    head = b"GET /a HTTP/1.1\r\n"
    reader.feed(head + b"a:\r\n" * MAX_HEADER_FIELDS)
    assert reader.error is None
    reader.feed(b"a:\r\n" * 2)  # a field is complete when the next one begins
    assert reader.error is not None
    assert reader.error.status == 431


def test_long_target_is_rejected_though_the_head_is_complete() -> None:
    reader = RequestReader()
    reader.feed(b"GET /" + b"a" * MAX_HEAD_BYTES + b" HTTP/1.1\r\n\r\n")
    assert reader.error is not None
    assert reader.error.status == 431


def test_incomplete_message_counts_its_fields_and_its_bytes() -> None:
    reader = RequestReader()
    assert reader.partial_memory_bytes == 0
    reader.feed(b"POST /a HTTP/1.1\r\n" + b"a:\r\n" * 50 + b"Content-Length: 1000\r\n\r\n" + bytes(900))
    assert reader.partial_memory_bytes > 51 * FIELD_MEMORY_BYTES + 900
    (message,) = reader.feed(bytes(100))
    assert reader.partial_memory_bytes == 0
    assert message.memory_bytes > 51 * FIELD_MEMORY_BYTES + 1000


def test_complete_message_is_not_kept() -> None:
    """Guards against idle connections that keep the last message, once as it was and once as its body."""
    reader = RequestReader()
    (message,) = reader.feed(b"POST /a HTTP/1.1\r\nContent-Length: 50000\r\n\r\n" + bytes(50_000))
    assert vars(reader) not in gc.get_referrers(message)
    kept_bytes = sum(len(value) for value in vars(reader).values() if isinstance(value, bytes | bytearray))
    assert kept_bytes == 0


def test_no_more_messages_are_parsed_at_once_than_may_be_queued() -> None:
    reader = RequestReader()
    messages = reader.feed(b"GET /a HTTP/1.1\r\n\r\n" * 3000)
    assert len(messages) == RequestReader.MAX_MESSAGES_AT_ONCE + 1
    assert reader.is_message_limit_reached
