"""Tests of connections and attempts when the endpoint list changes or the connection limit is reached."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace

from http_gateway.net.discovery.endpoint_list import endpoint_id
from http_gateway.net.http.messages import Message
from http_gateway.policy.events import Outcome
from http_gateway.policy.settings import DeduplicationScope, Idempotency, RequestClass
from http_gateway.policy.time_units import US_PER_MS
from tests.support.loopback import (
    READ,
    SETTINGS,
    LoopbackPeer,
    async_test,
    endpoint_list,
    never_respond,
    request_bytes,
    respond_with,
    running_gateway,
    start_peers,
    wait_until,
)
from tests.support.upstream import SAFE_REQUEST, UNSAFE_REQUEST, AttemptDriver


@async_test
async def test_draining_endpoint_gets_no_attempt_and_its_idle_connections_close() -> None:
    async with start_peers(respond_with()) as (endpoint,):
        driver = AttemptDriver(endpoint.port)
        await driver.run()
        driver.drain_endpoint()
        assert driver.start() is None
        await wait_until(lambda: endpoint.closed_count == 1)
        assert len(endpoint.requests) == 1


@async_test
async def test_attempt_still_connecting_to_a_draining_endpoint_is_not_sent() -> None:
    async with start_peers(respond_with()) as (endpoint,):
        driver = AttemptDriver(endpoint.port)
        driver.start()  # connects in a later iteration of the event loop
        driver.drain_endpoint()
        assert [end.outcome for end in driver.ends] == [Outcome.NOT_SENT]
        await driver.wait_until_disconnected()
        assert not endpoint.requests


@async_test
async def test_attempt_still_connecting_to_a_restarted_endpoint_is_not_sent() -> None:
    """The policy chose the endpoint before its restart, and the new process is in slow start."""
    async with start_peers(respond_with()) as (endpoint,):
        driver = AttemptDriver(endpoint.port)
        driver.start()
        driver.update_endpoint(started_at_us=5)
        assert [end.outcome for end in driver.ends] == [Outcome.NOT_SENT]
        await driver.wait_until_disconnected()
        assert not endpoint.requests


@async_test
async def test_restarted_endpoint_gets_a_new_connection() -> None:
    async with start_peers(respond_with()) as (endpoint,):
        driver = AttemptDriver(endpoint.port)
        await driver.run()
        driver.update_endpoint(started_at_us=5)
        assert (await driver.run()).outcome is Outcome.OK
        assert endpoint.connection_count == 2


@async_test
async def test_attempt_in_flight_at_a_draining_endpoint_completes() -> None:
    async with start_peers(never_respond) as (endpoint,):
        driver = AttemptDriver(endpoint.port)
        driver.start()
        await wait_until(lambda: endpoint.requests)
        driver.drain_endpoint()
        await respond_with()(endpoint.requests[0], endpoint.request_writers[0])
        await wait_until(lambda: driver.ends)
        assert driver.ends[0].outcome is Outcome.OK
        await wait_until(lambda: endpoint.closed_count)


@async_test
async def test_longest_idle_connection_is_closed_at_the_connection_limit() -> None:
    async with start_peers(respond_with(), respond_with()) as (endpoint, other):
        driver = AttemptDriver(endpoint.port, max_connections=1)
        await driver.run()
        driver.pool.update_endpoints([other.endpoint_entry()], is_complete=False)
        outcomes: list[Outcome] = []

        def record_outcome(outcome: Outcome, response: Message | None) -> None:
            outcomes.append(outcome)

        expires_at_s = asyncio.get_running_loop().time() + 30
        for _ in range(2):  # the second attempt finds no idle connection to close
            attempt = driver.pool.start_attempt(
                endpoint_id(other.name), SAFE_REQUEST, expires_at_s, record_outcome
            )
            if attempt is None:
                outcomes.append(Outcome.NOT_SENT)
        await wait_until(lambda: len(outcomes) == 2)
        assert outcomes == [Outcome.NOT_SENT, Outcome.OK]
        await wait_until(lambda: endpoint.closed_count)


@async_test
async def test_attempt_beyond_the_connection_limit_does_not_end_a_second_time() -> None:
    """The last-byte deadline of the attempt passes after the pool has refused to start the attempt."""
    async with start_peers(respond_with()) as (endpoint,):
        driver = AttemptDriver(endpoint.port, max_connections=0)
        last_byte_deadline_s = asyncio.get_running_loop().time() + 0.05
        assert driver.start(UNSAFE_REQUEST, last_byte_deadline_s) is None
        await asyncio.sleep(0.1)
        assert not driver.ends


@async_test
async def test_request_runs_twice_at_a_new_process_that_has_an_old_address() -> None:
    """Guards against a retry at another deduplication group, whose process has the address of the old one."""
    keyed = RequestClass(
        "chapter-buy",
        400 * US_PER_MS,
        5_000 * US_PER_MS,
        Idempotency.IDEMPOTENCY_KEY,
        deduplication_scope=DeduplicationScope.GROUP,
        deduplication_window_us=4_000 * US_PER_MS,
    )
    settings = replace(SETTINGS, classes=(READ, keyed))
    async with (
        start_peers(never_respond, never_respond) as peers,
        running_gateway(
            *(peer.endpoint_entry(deduplication_group=1) for peer in peers), settings=settings
        ) as gateway,
    ):
        client = await gateway.connect()
        client.writer.write(request_bytes("chapter-buy", {"Idempotency-Key": "5c0f"}))
        await wait_until(lambda: peers[0].requests or peers[1].requests)
        tried, old = peers if peers[0].requests else reversed(peers)
        new = LoopbackPeer(respond_with(), "s-new", port=old.port)
        old.stop()
        await new.start()
        started_at_us = time.time_ns() // 1000
        entry = new.endpoint_entry(deduplication_group=2, started_at_us=started_at_us)
        gateway.dispatcher.update_endpoints(endpoint_list(entry, complete=False))
        tried.stop()
        assert (await client.response()).status == 502
        assert not new.requests
        new.stop()
