"""Client connections: events in an order that is forced on real connections."""

from __future__ import annotations

import asyncio
import time

import pytest

from http_gateway.policy.actions import Action
from http_gateway.policy.events import AttemptEnded, Event, Outcome
from http_gateway.policy.time_units import US_PER_S
from tests.support.loopback import (
    LoopbackClient,
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
    after_connecting,
    answers,
    ask_until,
    connect,
    only,
    outcomes,
    record_events,
    settled,
)


@async_test
async def test_a_request_whose_client_left_before_it_was_read_is_not_sent_on() -> None:
    async with start_peers(respond_with()) as (host,), running_gateway(host.endpoint_entry()) as gateway:
        await settled(gateway, host)
        connect(gateway, request_bytes(headers={"X-Request-Id": "left"})).close()
        await wait_until(
            lambda: gateway.dispatcher.submitted_count == 2 and not gateway.dispatcher.in_flight_count
        )
        assert (await gateway.request()).status == 200
        assert [request.header(b"x-request-id") == "left" for request in host.requests] == [False, False]
        assert host.connections == 1  # the one that was meant for it is as good as before


@async_test
async def test_a_request_whose_client_left_as_its_connection_came_up_is_not_sent_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with start_peers(respond_with()) as (host,), running_gateway(host.endpoint_entry()) as gateway:
        client = connect(gateway, request_bytes())
        after_connecting(monkeypatch, client.close)
        await wait_until(
            lambda: gateway.dispatcher.submitted_count == 1 and not gateway.dispatcher.in_flight_count
        )
        monkeypatch.undo()
        events = record_events(gateway)
        await wait_until(lambda: not gateway.frontend.connections)
        assert (await gateway.request()).status == 200
        assert len(host.requests) == 1
        assert outcomes(events) == [Outcome.OK]


@async_test
async def test_a_request_whose_client_left_as_its_attempt_failed_is_not_sent_again() -> None:
    """A connection stands ready at each host: the next attempt would leave at once."""
    async with (
        start_peers(respond_with(), respond_with()) as hosts,
        running_gateway(*(host.endpoint_entry() for host in hosts)) as gateway,
    ):
        while not all(host.requests for host in hosts):
            assert (await gateway.request()).status == 200
        for host in hosts:
            host.script = respond_with(500)
            host.requests.clear()
            for idle in gateway.pool.idle_connections(host.endpoint_entry().endpoint.id):
                idle.idle_since = 0.0
        await wait_until(lambda: not gateway.frontend.connections)
        asked = gateway.dispatcher.submitted_count
        client = connect(gateway, request_bytes())
        handle = gateway.balancer.handle

        def leaves(event: Event, now_us: int) -> list[Action]:
            if isinstance(event, AttemptEnded):
                client.close()
            return handle(event, now_us)

        gateway.balancer.handle = leaves  # type: ignore[method-assign]
        await wait_until(
            lambda: gateway.dispatcher.submitted_count > asked and not gateway.dispatcher.in_flight_count
        )
        await wait_until(lambda: not gateway.frontend.connections)
        assert sum(len(host.requests) for host in hosts) == 1


@async_test
async def test_a_request_behind_answers_that_nobody_reads_is_dropped_as_its_client_leaves() -> None:
    """The connection stays for those answers; once they are taken the request would be sent on."""
    async with (
        start_peers(respond_with(body=bytes(60_000))) as (host,),
        running_gateway(host.endpoint_entry()) as gateway,
    ):
        client = await gateway.connect()
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        connection = await only(gateway)
        await ask_until(lambda: connection._unread, client, connection)
        count = len(host.requests)
        client.writer.write(request_bytes())
        await wait_until(lambda: connection._queued)
        client.writer.write_eof()
        await wait_until(lambda: connection._transport is not None and connection._transport.is_closing())
        client.writer.transport.resume_reading()  # type: ignore[attr-defined]
        await client.read_until_closed()
        await wait_until(lambda: not gateway.frontend.connections)
        assert len(host.requests) == count


@async_test
async def test_a_request_in_work_is_called_off_though_its_client_left_answers_unread() -> None:
    async with (
        start_peers(respond_with(body=bytes(60_000))) as (host,),
        running_gateway(host.endpoint_entry()) as gateway,
    ):
        client = await gateway.connect()
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        connection = await only(gateway)
        assert connection._transport is not None
        connection._transport.set_write_buffer_limits(high=2**30)
        await ask_until(lambda: connection.owed, client, connection)
        host.script = never_respond
        client.writer.write(request_bytes())
        await wait_until(lambda: gateway.dispatcher.unanswered_count)
        events = record_events(gateway)
        client.writer.write_eof()
        await wait_until(lambda: not gateway.dispatcher.in_flight_count)
        assert outcomes(events) == [Outcome.CANCELLED]  # not left to its deadline
        client.close()


@async_test
async def test_a_client_that_left_and_reads_nothing_does_not_keep_its_connection() -> None:
    async with (
        start_peers(respond_with(body=bytes(60_000))) as (host,),
        running_gateway(host.endpoint_entry()) as gateway,
    ):
        client = await gateway.connect()
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        connection = await only(gateway)
        await ask_until(lambda: connection._unread, client, connection)
        client.writer.write_eof()
        await wait_until(lambda: not gateway.frontend.connections)
        client.close()


@async_test
async def test_what_waits_in_the_backlog_at_the_end_is_answered() -> None:
    """The system has accepted it for us, and would reset it with the listener."""
    async with start_peers(respond_with()) as (host,), running_gateway(host.endpoint_entry()) as gateway:
        gateway.frontend.begin_shutdown(asyncio.get_running_loop().time() + 60)
        clients = [connect(gateway, request_bytes()) for _ in range(40)]
        await asyncio.sleep(0)  # some are accepted, but not known to us yet
        await gateway.frontend.accept_backlog()
        gateway.frontend.stop_accepting()
        for client in clients:
            # Refused or served: what a host that is new to us may get is no matter here.
            assert (await answers(client)).startswith(b"HTTP/1.1 ")


@async_test
async def test_a_request_that_crosses_the_end_of_its_idle_connection_is_answered() -> None:
    async with start_peers(respond_with()) as (host,), running_gateway(host.endpoint_entry()) as gateway:
        client = connect(gateway, request_bytes())
        await wait_until(lambda: len(host.requests) == 1 and not gateway.dispatcher.in_flight_count)
        client.sendall(request_bytes())
        gateway.frontend.begin_shutdown(asyncio.get_running_loop().time() + 60)
        gateway.frontend.stop_accepting()
        assert (await answers(client)).count(b"HTTP/1.1 200") == 2


@async_test
async def test_requests_behind_the_one_in_work_at_the_end_are_answered() -> None:
    """One is queued, and one has come but is not read as the others are answered."""
    async with start_peers(never_respond) as (host,), running_gateway(host.endpoint_entry()) as gateway:
        client = connect(gateway, request_bytes() + request_bytes())
        await wait_until(lambda: host.requests)
        connection = await only(gateway)
        assert connection._transport is not None
        connection._transport.pause_reading()
        client.sendall(request_bytes())
        await wait_until(lambda: connection.has_unread)
        gateway.frontend.begin_shutdown(asyncio.get_running_loop().time() + 60)
        gateway.frontend.stop_accepting()
        host.script = respond_with()
        host.request_writers[0].write(PAGE)
        await wait_until(lambda: len(host.requests) == 2 and not gateway.dispatcher.in_flight_count)
        connection._transport.resume_reading()
        text = await answers(client)
        assert text.count(b"HTTP/1.1 200") == 3
        assert text.count(b"connection: close") == 1


@async_test
async def test_a_request_that_comes_at_the_end_has_its_answer_before_it() -> None:
    async with start_peers(never_respond) as (host,), running_gateway(host.endpoint_entry()) as gateway:
        gateway.frontend.begin_shutdown(asyncio.get_running_loop().time() + 5)
        client = connect(gateway, request_bytes(headers={"X-Deadline": ""}))
        await wait_until(lambda: gateway.dispatcher.in_flight_count)
        assert gateway.dispatcher._held[1].deadline <= time.time_ns() // 1000 + 5 * US_PER_S
        client.close()


@pytest.mark.parametrize("limit", [2, 4])
@async_test
async def test_a_connection_with_a_request_unread_makes_no_room_for_another(limit: int) -> None:
    """At the limit, or at the part of it from which on idle ones make room."""
    async with (
        start_peers(respond_with()) as (host,),
        running_gateway(host.endpoint_entry(), max_connections=limit) as gateway,
    ):
        client = await gateway.connect()
        assert (await client.request()).status == 200
        connection = await only(gateway)
        assert connection._transport is not None
        connection._transport.pause_reading()
        client.writer.write(request_bytes())
        await wait_until(lambda: connection.has_unread)
        others: list[LoopbackClient] = []
        for _ in range(limit):
            others.append(await gateway.connect())
            assert (await others[-1].request()).status == 200
        connection._transport.resume_reading()
        assert (await client.response()).status == 200


@async_test
async def test_a_request_that_crosses_the_end_of_its_connection_s_time_is_answered() -> None:
    async with start_peers(respond_with()) as (host,), running_gateway(host.endpoint_entry()) as gateway:
        client = await gateway.connect()
        assert (await client.request()).status == 200
        connection = await only(gateway)
        assert connection._transport is not None
        connection._transport.pause_reading()
        client.writer.write(request_bytes())
        await wait_until(lambda: connection.has_unread)
        connection.run_out()
        connection._transport.resume_reading()
        assert (await client.response()).status == 200
