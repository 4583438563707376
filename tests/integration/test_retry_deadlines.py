"""Retries of requests that must not be executed twice: only within the deduplication window."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace

import pytest

from http_gateway.net.http.messages import Message
from http_gateway.policy.settings import RequestClass
from http_gateway.policy.time_units import US_PER_MS
from tests.support.loopback import (
    TEST_TIMEOUT_S,
    async_test,
    never_respond,
    request_bytes,
    reset_connection,
    respond_with,
    running_gateway,
    start_peers,
    wait_until,
)
from tests.support.retries import (
    ADD_ANYWHERE,
    ADD_IN_GROUP,
    DEDUPLICATION_WINDOW_S,
    KEY_HEADERS,
    RETRY_SETTINGS,
    prefer_endpoints,
    request_with_key,
)
from tests.support.upstream import DelayedConnects


@pytest.mark.parametrize("request_class", [ADD_IN_GROUP, ADD_ANYWHERE])
@async_test
async def test_retry_whose_connect_outlasts_the_window_is_not_sent(
    monkeypatch: pytest.MonkeyPatch, request_class: RequestClass
) -> None:
    """The retry was decided on within the window; the client gets its response when the window ends.

    The response does not invite a retry by the client, which would come after the window.
    """
    async with (
        start_peers(reset_connection, respond_with()) as (first, other),
        running_gateway(
            first.endpoint_entry(deduplication_group=1),
            other.endpoint_entry(deduplication_group=1),
            settings=RETRY_SETTINGS,
            connect_timeout_s=TEST_TIMEOUT_S,
        ) as gateway,
    ):
        prefer_endpoints(gateway, first, other)
        connects = DelayedConnects(monkeypatch, other)
        started_at_s = time.monotonic()
        client, response = await request_with_key(gateway, request_class)
        assert response.status == 502
        assert connects.waiting_count == 1
        # At the end of the window, and not at the deadline of 10 s.
        assert DEDUPLICATION_WINDOW_S <= time.monotonic() - started_at_s < 5
        connects.allow.set()
        await wait_until(lambda: not gateway.pool.connecting_count)
        await wait_until(lambda: other.closed_count == other.connection_count)
        assert [len(first.requests), len(other.requests)] == [1, 0]
        client.close()


@async_test
async def test_retry_within_the_window_is_sent_after_a_slow_connect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    long_window = replace(ADD_IN_GROUP, deduplication_window_us=60_000 * US_PER_MS)
    async with (
        start_peers(reset_connection, respond_with()) as (first, other),
        running_gateway(
            first.endpoint_entry(deduplication_group=1),
            other.endpoint_entry(deduplication_group=1),
            settings=replace(RETRY_SETTINGS, classes=(long_window,)),
            connect_timeout_s=TEST_TIMEOUT_S,
        ) as gateway,
    ):
        prefer_endpoints(gateway, first, other)
        connects = DelayedConnects(monkeypatch, other)
        asyncio.get_running_loop().call_later(2 * DEDUPLICATION_WINDOW_S, connects.allow.set)
        client, response = await request_with_key(gateway, ADD_IN_GROUP)
        assert response.status == 200
        client.close()


@async_test
async def test_rejected_request_is_retried_however_late_the_rejection() -> None:
    """The window starts with the first attempt that was possibly executed; there is none."""

    async def reject_late(request: Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(2 * DEDUPLICATION_WINDOW_S)
        await respond_with(503, X_Not_Run="1")(request, writer)

    async with (
        start_peers(reject_late, respond_with()) as (first, other),
        running_gateway(
            first.endpoint_entry(deduplication_group=1),
            other.endpoint_entry(deduplication_group=2),
            settings=replace(RETRY_SETTINGS, hedging_allowed=False),
        ) as gateway,
    ):
        prefer_endpoints(gateway, first, other)
        client, response = await request_with_key(gateway, ADD_IN_GROUP)
        assert response.status == 200
        assert [len(first.requests), len(other.requests)] == [1, 1]
        client.close()


@async_test
async def test_first_attempt_that_connects_after_the_window_of_its_hedge_is_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The hedged attempt was sent first: the window starts with it, and the first attempt is the retry."""
    async with (
        start_peers(respond_with(), never_respond) as (first, other),
        running_gateway(
            first.endpoint_entry(deduplication_group=1),
            other.endpoint_entry(deduplication_group=1),
            settings=RETRY_SETTINGS,
            connect_timeout_s=TEST_TIMEOUT_S,
        ) as gateway,
    ):
        prefer_endpoints(gateway, first, other)
        gateway.balancer._latency._median_per_cost[ADD_IN_GROUP.name] = 10 * US_PER_MS
        connects = DelayedConnects(monkeypatch, first)
        client = await gateway.connect()
        client.writer.write(request_bytes(ADD_IN_GROUP.name, KEY_HEADERS))
        await wait_until(lambda: other.requests)
        (request,) = gateway.dispatcher._requests.values()
        await wait_until(lambda: request.attempts[0].has_ended)
        assert gateway.dispatcher.unanswered_count == 1  # at the end of the window, before the deadline
        connects.allow.set()
        await wait_until(lambda: not gateway.pool.connecting_count)
        await wait_until(lambda: first.closed_count == first.connection_count)
        assert not first.requests
        client.close()
