"""Tests of race conditions on connections to endpoints, with a forced order of events."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket

import pytest

from http_gateway.net.http.messages import Message
from http_gateway.net.upstream.attempt import UpstreamAttempt
from http_gateway.net.upstream.connection import UpstreamConnection
from http_gateway.policy.endpoint import EndpointState
from http_gateway.policy.events import AttemptEnded
from http_gateway.policy.settings import Settings
from tests.support.loopback import (
    READ,
    async_test,
    endpoint_list,
    never_respond,
    request_bytes,
    respond_with,
    running_gateway,
    start_peers,
    wait_until,
)
from tests.support.races import call_after_connecting, connect_blocking_client, read_responses, record_events
from tests.support.retries import prefer_endpoints
from tests.support.upstream import OK_RESPONSE, DelayedConnects, expire_request, wait_until_reusable


@async_test
async def test_attempt_at_a_draining_endpoint_is_not_retried_at_another_one_of_the_same_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with (
        start_peers(respond_with(), respond_with(), respond_with(), respond_with()) as endpoints,
        running_gateway(*(endpoint.endpoint_entry() for endpoint in endpoints)) as gateway,
    ):
        connects = DelayedConnects(monkeypatch, *endpoints)
        events = record_events(gateway)
        clients = [connect_blocking_client(gateway, request_bytes()) for _ in range(6)]
        await wait_until(lambda: gateway.dispatcher.unanswered_count == len(clients))
        draining = [endpoint.endpoint_entry(state=EndpointState.DRAINING) for endpoint in endpoints[:3]]
        gateway.dispatcher.update_endpoints(endpoint_list(*draining, complete=False))
        ended = [event.request_id for event in events if isinstance(event, AttemptEnded)]
        assert ended
        assert len(ended) == len(set(ended))  # no request had attempts end at two endpoints
        connects.allow.set()
        for client in clients:
            client.setblocking(False)
            assert (await asyncio.get_running_loop().sock_recv(client, 12)) == b"HTTP/1.1 200"
            client.close()
        assert not any(endpoint.requests for endpoint in endpoints[:3])


@pytest.mark.parametrize("drains", [True, False])
@async_test
async def test_connection_established_after_its_attempt_ended_is_not_used(
    monkeypatch: pytest.MonkeyPatch, drains: bool
) -> None:
    """The endpoint drains, or the request reaches its deadline, right after the connection is established.

    The connecting task must then close the connection without sending the request.
    """
    async with (
        start_peers(respond_with()) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):

        def end_attempt() -> None:
            monkeypatch.undo()
            if drains:
                entry = endpoint.endpoint_entry(state=EndpointState.DRAINING)
                gateway.dispatcher.update_endpoints(endpoint_list(entry, complete=False))
            else:
                assert gateway.dispatcher.in_flight_count == 1
                expire_request(gateway.dispatcher, 1)

        call_after_connecting(monkeypatch, end_attempt)
        client = connect_blocking_client(gateway, request_bytes("chapter-buy", {"Connection": "close"}))
        assert (await read_responses(client)).startswith(b"HTTP/1.1 503")
        await wait_until(lambda: endpoint.closed_count == 1)
        assert not endpoint.requests


@pytest.mark.parametrize("first", ["response", "deadline"])
@async_test
async def test_response_and_deadline_in_one_loop_iteration_cause_one_response(first: str) -> None:
    """A request is answered once even if its response and its deadline coincide.

    If the deadline comes first, the connection is not used again, because it still holds the unread response.
    """
    async with (
        start_peers(never_respond) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        client = await gateway.connect()
        client.writer.write(request_bytes("chapter-buy"))
        await wait_until(lambda: endpoint.requests)
        assert gateway.dispatcher.in_flight_count == 1
        if first == "response":
            attempt = gateway.dispatcher._requests[1].attempts[0].upstream_attempt
            assert attempt is not None
            assert isinstance(attempt.connection, UpstreamConnection)
            attempt.connection.on_data(memoryview(OK_RESPONSE))
        else:
            endpoint.request_writers[0].write(OK_RESPONSE)  # received by the kernel but not read
        expire_request(gateway.dispatcher, 1)
        response = await client.response()
        assert response.status == (200 if first == "response" else 502)
        endpoint.script = respond_with(body=b"next")
        assert (await client.request()).body == b"next"
        gateway.frontend.stop_accepting()
        assert await client.read_until_closed() == b""


@async_test
async def test_endpoint_sees_the_end_of_an_attempt_before_the_retry_is_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The endpoint keeps its side of the connection open after a malformed response.

    If the gateway sent the retry before closing its own side, two attempts would be in flight although
    hedging is not allowed.
    """

    async def respond_malformed(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(b"what?\r\n\r\n")

    settings = Settings((READ,), max_attempts=5, cancellation_allowed=True)
    async with (
        start_peers(respond_with(), respond_with()) as endpoints,
        running_gateway(*(endpoint.endpoint_entry() for endpoint in endpoints), settings=settings) as gateway,
    ):
        while not all(endpoint.requests for endpoint in endpoints):
            assert (await gateway.request()).status == 200
        for endpoint in endpoints:
            endpoint.requests.clear()
            await wait_until_reusable(gateway.pool, endpoint.endpoint_entry().endpoint.id)
        prefer_endpoints(gateway, *endpoints)
        endpoints[0].script = respond_malformed
        send = UpstreamConnection.send
        received: list[bytes] = []

        def record_and_send(upstream: UpstreamConnection, attempt: UpstreamAttempt) -> None:
            descriptor = endpoints[0].writers[0].get_extra_info("socket").fileno()
            endpoint_socket = socket.socket(fileno=os.dup(descriptor))
            with endpoint_socket, contextlib.suppress(BlockingIOError):
                received.append(endpoint_socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
            send(upstream, attempt)

        monkeypatch.setattr(UpstreamConnection, "send", record_and_send)
        assert (await gateway.request()).status == 200
        assert [len(endpoint.requests) for endpoint in endpoints] == [1, 1]
        assert received == [b""]
