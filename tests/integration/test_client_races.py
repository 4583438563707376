"""Tests of races on client connections, which force the order of events on real connections."""

from __future__ import annotations

import asyncio
import socket
import time
from dataclasses import replace

import pytest

from http_gateway.policy.actions import Action
from http_gateway.policy.events import AttemptEnded, Event, Outcome, RequestArrived
from http_gateway.policy.time_units import US_PER_S
from tests.support.loopback import (
    SETTINGS,
    LoopbackClient,
    LoopbackPeer,
    RunningGateway,
    async_test,
    never_respond,
    request_bytes,
    respond_with,
    running_gateway,
    start_peers,
    wait_until,
)
from tests.support.races import (
    PAGE,
    call_after_connecting,
    connect_blocking_client,
    connect_without_reading,
    outcomes,
    pause_reading_until_unread,
    read_responses,
    record_events,
    request_until,
    wait_for_idle_connection,
    wait_for_only_connection,
)
from tests.support.upstream import wait_until_reusable

HOLD_UP_S = 0.15
LARGE_BUFFER_BYTES = 1024 * 1024


@async_test
async def test_request_is_not_forwarded_if_its_client_disconnected_before_it_was_read() -> None:
    async with (
        start_peers(respond_with()) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        await wait_for_idle_connection(gateway, endpoint)
        connect_blocking_client(gateway, request_bytes(headers={"X-Request-Id": "disconnected"})).close()
        await wait_until(
            lambda: gateway.dispatcher.submitted_count == 2 and not gateway.dispatcher.in_flight_count
        )
        assert (await gateway.request()).status == 200
        forwarded = [request.header(b"x-request-id") == "disconnected" for request in endpoint.requests]
        assert forwarded == [False, False]
        assert endpoint.connection_count == 1  # the connection selected for the dropped request is reused


@async_test
async def test_request_is_not_forwarded_if_its_client_disconnects_during_the_connect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with (
        start_peers(respond_with()) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        client = connect_blocking_client(gateway, request_bytes())
        call_after_connecting(monkeypatch, client.close)
        await wait_until(
            lambda: gateway.dispatcher.submitted_count == 1 and not gateway.dispatcher.in_flight_count
        )
        monkeypatch.undo()
        events = record_events(gateway)
        await wait_until(lambda: not gateway.frontend.connections)
        assert (await gateway.request()).status == 200
        assert len(endpoint.requests) == 1
        assert outcomes(events) == [Outcome.OK]


@async_test
async def test_failed_attempt_is_not_retried_if_its_client_has_disconnected() -> None:
    """Both endpoints have an idle connection, so a retry for the client would be sent at once."""
    async with (
        start_peers(respond_with(), respond_with()) as endpoints,
        running_gateway(*(endpoint.endpoint_entry() for endpoint in endpoints)) as gateway,
    ):
        await fail_after_a_response(gateway, endpoints)
        submitted_count = gateway.dispatcher.submitted_count
        client = connect_blocking_client(gateway, request_bytes())
        handle = gateway.balancer.handle

        def disconnect_client(event: Event, now_us: int) -> list[Action]:
            if isinstance(event, AttemptEnded):
                client.close()
            return handle(event, now_us)

        gateway.balancer.handle = disconnect_client  # type: ignore[method-assign]
        await wait_until(
            lambda: gateway.dispatcher.submitted_count > submitted_count
            and not gateway.dispatcher.in_flight_count
        )
        await wait_until(lambda: not gateway.frontend.connections)
        assert sum(len(endpoint.requests) for endpoint in endpoints) == 1


@async_test
async def test_queued_request_is_dropped_when_its_client_disconnects() -> None:
    """A queued request must not be forwarded after its client has disconnected.

    The connection stays open for responses that the client has not read. Once the client reads them, writing
    resumes, and the gateway would handle the queued request.
    """
    async with (
        start_peers(respond_with(body=bytes(60_000))) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        client, connection = await connect_without_reading(gateway)
        await request_until(lambda: connection.is_writing_paused, client, connection)
        forwarded_count = len(endpoint.requests)
        client.writer.write(request_bytes())
        await wait_until(lambda: connection.requests)
        client.writer.write_eof()
        await wait_until(lambda: connection.transport.is_closing)
        client.resume_reading()
        await client.read_until_closed()
        await wait_until(lambda: not gateway.frontend.connections)
        assert len(endpoint.requests) == forwarded_count


@async_test
async def test_request_in_flight_is_cancelled_at_disconnect_despite_unread_responses() -> None:
    async with (
        start_peers(respond_with(body=bytes(60_000))) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        client, connection = await connect_without_reading(gateway)
        connection.transport.asyncio_transport.set_write_buffer_limits(high=2**30)
        await request_until(lambda: connection.unsent_bytes, client, connection)
        endpoint.script = never_respond
        client.writer.write(request_bytes())
        await wait_until(lambda: gateway.dispatcher.unanswered_count)
        events = record_events(gateway)
        client.writer.write_eof()
        await wait_until(lambda: not gateway.dispatcher.in_flight_count)
        assert outcomes(events) == [Outcome.CANCELLED]  # cancelled at the disconnect, not at the deadline
        client.close()


@async_test
async def test_connection_of_a_disconnected_client_ends_despite_unread_responses() -> None:
    async with (
        start_peers(respond_with(body=bytes(60_000))) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        client, connection = await connect_without_reading(gateway)
        await request_until(lambda: connection.is_writing_paused, client, connection)
        client.writer.write_eof()
        await wait_until(lambda: not gateway.frontend.connections)
        client.close()


@async_test
async def test_requests_in_the_backlog_at_shutdown_are_answered() -> None:
    """The operating system would reset the connections in the backlog when the listener is closed."""
    async with (
        start_peers(respond_with()) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        gateway.frontend.begin_shutdown(asyncio.get_running_loop().time() + 60)
        clients = [connect_blocking_client(gateway, request_bytes()) for _ in range(40)]
        # After one iteration, some connections are accepted, but their `connection_made` was not called yet.
        await asyncio.sleep(0)
        await gateway.frontend.accept_backlog()
        gateway.frontend.stop_accepting()
        for client in clients:
            # The status is not checked, because the gateway may reject requests while the endpoint warms up.
            assert (await read_responses(client)).startswith(b"HTTP/1.1 ")


@async_test
async def test_unread_request_at_the_close_of_its_idle_connection_is_answered() -> None:
    async with (
        start_peers(respond_with()) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        client = connect_blocking_client(gateway, request_bytes())
        await wait_until(lambda: len(endpoint.requests) == 1 and not gateway.dispatcher.in_flight_count)
        client.sendall(request_bytes())
        gateway.frontend.begin_shutdown(asyncio.get_running_loop().time() + 60)
        gateway.frontend.stop_accepting()
        assert (await read_responses(client)).count(b"HTTP/1.1 200") == 2


@async_test
async def test_requests_after_the_one_in_flight_at_shutdown_are_answered() -> None:
    """When the first response is written, one request is queued and one is received but still unread."""
    async with (
        start_peers(never_respond) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        client = connect_blocking_client(gateway, request_bytes() + request_bytes())
        await wait_until(lambda: endpoint.requests)
        connection = await wait_for_only_connection(gateway)
        await pause_reading_until_unread(connection, lambda: client.sendall(request_bytes()))
        gateway.frontend.begin_shutdown(asyncio.get_running_loop().time() + 60)
        gateway.frontend.stop_accepting()
        endpoint.script = respond_with()
        endpoint.request_writers[0].write(PAGE)
        await wait_until(lambda: not gateway.dispatcher.in_flight_count)
        connection.transport.asyncio_transport.resume_reading()
        responses = await read_responses(client)
        assert responses.count(b"HTTP/1.1 200") == 3
        assert responses.count(b"connection: close") == 1


@async_test
async def test_timeout_of_a_request_during_shutdown_is_limited_by_the_shutdown_deadline() -> None:
    async with (
        start_peers(never_respond) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        events = record_events(gateway)
        gateway.frontend.begin_shutdown(asyncio.get_running_loop().time() + 5)
        client = connect_blocking_client(gateway, request_bytes(headers={"X-Deadline": ""}))
        await wait_until(lambda: gateway.dispatcher.in_flight_count)
        (arrived,) = (event for event in events if isinstance(event, RequestArrived))
        assert arrived.timeout_us <= 5 * US_PER_S
        client.close()


@pytest.mark.parametrize("limit", [2, 4])
@async_test
async def test_connection_with_an_unread_request_is_not_evicted(limit: int) -> None:
    """Covers eviction at the connection limit, and at the fraction of it from which idle ones are evicted."""
    async with (
        start_peers(respond_with()) as (endpoint,),
        running_gateway(endpoint.endpoint_entry(), max_connections=limit) as gateway,
    ):
        client = await gateway.connect()
        assert (await client.request()).status == 200
        connection = await wait_for_only_connection(gateway)
        await pause_reading_until_unread(connection, lambda: client.writer.write(request_bytes()))
        others: list[LoopbackClient] = []
        for _ in range(limit):
            others.append(await gateway.connect())
            assert (await others[-1].request()).status == 200
        connection.transport.asyncio_transport.resume_reading()
        assert (await client.response()).status == 200


@async_test
async def test_unread_request_at_the_idle_timeout_of_its_connection_is_answered() -> None:
    async with (
        start_peers(respond_with()) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        client = await gateway.connect()
        assert (await client.request()).status == 200
        connection = await wait_for_only_connection(gateway)
        await pause_reading_until_unread(connection, lambda: client.writer.write(request_bytes()))
        connection.on_timeout()
        connection.transport.asyncio_transport.resume_reading()
        assert (await client.response()).status == 200


@async_test
async def test_requests_are_sent_on_whose_client_has_left_with_much_unread() -> None:
    """Guards against a close that the gateway cannot see yet, as it comes behind bytes that it has not read.

    The client writes more than the receive window holds and closes while the process is held up.
    """
    async with (
        start_peers(respond_with()) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        await wait_for_idle_connection(gateway, endpoint)  # an attempt starts without a delay
        client = await connect_with_large_buffer(gateway)
        bodies = [b"left", *[bytes(60_000)] * 4]
        hold_up_and_close(client, b"".join(request_bytes("chapter-buy", body=body) for body in bodies))
        await wait_until(lambda: not gateway.frontend.connections)
        await wait_until(lambda: not gateway.dispatcher.in_flight_count)
        assert (await gateway.request()).status == 200
        assert not [request for request in endpoint.requests if request.method == b"POST"]


@async_test
async def test_request_is_retried_whose_client_has_left_with_much_unread() -> None:
    async with (
        start_peers(respond_with(), respond_with()) as endpoints,
        running_gateway(*(endpoint.endpoint_entry() for endpoint in endpoints)) as gateway,
    ):
        await fail_after_a_response(gateway, endpoints)
        client = await connect_with_large_buffer(gateway)
        handle = gateway.balancer.handle

        def hold_up(event: Event, now_us: int) -> list[Action]:
            if isinstance(event, AttemptEnded) and client.fileno() >= 0:
                hold_up_and_close(client, b"".join(request_bytes(body=b"") for _ in range(8000))[:400_000])
            return handle(event, now_us)

        gateway.balancer.handle = hold_up  # type: ignore[method-assign]
        client.sendall(request_bytes())
        await wait_until(lambda: not gateway.frontend.connections)
        await wait_until(lambda: not gateway.dispatcher.in_flight_count)
        assert sum(len(endpoint.requests) for endpoint in endpoints) == 1


@pytest.mark.parametrize("cancellation_allowed", [True, False])
@async_test
async def test_id_runs_twice_that_comes_again_after_its_client_has_left(cancellation_allowed: bool) -> None:
    settings = replace(SETTINGS, cancellation_allowed=cancellation_allowed)
    async with (
        start_peers(never_respond) as (endpoint,),
        running_gateway(endpoint.endpoint_entry(), settings=settings) as gateway,
    ):
        request = request_bytes("chapter-buy", body=b"one ticket")
        client = await gateway.connect()
        client.writer.write(request)
        await wait_until(lambda: endpoint.requests)
        client.close()
        await wait_until(lambda: not gateway.frontend.connections)
        other_client = await gateway.connect()
        other_client.writer.write(request)
        assert (await other_client.response()).status == 400
        assert len(endpoint.requests) == 1


@async_test
async def test_id_runs_twice_that_comes_again_after_its_response() -> None:
    async with (
        start_peers(respond_with()) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        request = request_bytes("chapter-buy", body=b"one ticket")
        client = await gateway.connect()
        client.writer.write(request)
        assert (await client.response()).status == 200
        client.writer.write(request)
        assert (await client.response()).status == 400
        assert len(endpoint.requests) == 1


async def fail_after_a_response(gateway: RunningGateway, endpoints: list[LoopbackPeer]) -> None:
    """Let all endpoints fail, after each has an idle connection, so that retries are sent at once."""
    while not all(endpoint.requests for endpoint in endpoints):
        assert (await gateway.request()).status == 200
    for endpoint in endpoints:
        endpoint.script = respond_with(500)
        endpoint.requests.clear()
        await wait_until_reusable(gateway.pool, endpoint.endpoint_entry().endpoint.id)
    await wait_until(lambda: not gateway.frontend.connections)


async def connect_with_large_buffer(gateway: RunningGateway) -> socket.socket:
    """Connect a blocking client socket whose send buffer is larger than the receive window of the gateway."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, LARGE_BUFFER_BYTES)
    client.connect(("127.0.0.1", gateway.port))
    await wait_for_only_connection(gateway)
    return client


def hold_up_and_close(client: socket.socket, data: bytes) -> None:
    """Send data, close the socket and hold up the event loop for longer than an attempt may begin late."""
    client.sendall(data)
    client.close()
    time.sleep(HOLD_UP_S)
