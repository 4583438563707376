"""Tests that requests with an idempotency key are retried only within the deduplication window.

Endpoints forget the key after the window, so a retry that arrives later could execute the request twice.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace

import pytest

from http_gateway.net.http.messages import Message
from http_gateway.policy.hold_up_margin import HOLD_UP_MARGIN_US
from http_gateway.policy.settings import RequestClass
from http_gateway.policy.time_units import US_PER_MS, US_PER_S
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
    ALL_SCOPE_CLASS,
    DEDUPLICATION_WINDOW_S,
    DEDUPLICATION_WINDOW_US,
    GROUP_SCOPE_CLASS,
    KEY_HEADERS,
    RETRY_SETTINGS,
    prefer_endpoints,
    request_with_key,
)
from tests.support.upstream import DelayedConnects

# The window less the margin for a hold-up before the retry is written.
USABLE_WINDOW_S = (DEDUPLICATION_WINDOW_US - HOLD_UP_MARGIN_US) / US_PER_S


@pytest.mark.parametrize("request_class", [GROUP_SCOPE_CLASS, ALL_SCOPE_CLASS])
@async_test
async def test_retry_whose_connect_outlasts_the_window_is_not_sent(
    monkeypatch: pytest.MonkeyPatch, request_class: RequestClass
) -> None:
    """The policy starts the retry within the window, but its connect takes longer than the window.

    The client gets a response when the window ends. The status is 502 and not 503, because a 503 would invite
    a retry after the window.
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
        # The response is sent at the end of the usable window, not at the request deadline of 10 s.
        assert USABLE_WINDOW_S <= time.monotonic() - started_at_s < 5
        connects.allow.set()
        await wait_until(lambda: not gateway.pool.connecting_count)
        await wait_until(lambda: other.closed_count == other.connection_count)
        assert [len(first.requests), len(other.requests)] == [1, 0]
        client.close()


@async_test
async def test_retry_within_the_window_is_sent_after_a_slow_connect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    long_window = replace(GROUP_SCOPE_CLASS, deduplication_window_us=60_000 * US_PER_MS)
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
        client, response = await request_with_key(gateway, GROUP_SCOPE_CLASS)
        assert response.status == 200
        client.close()


@async_test
async def test_rejected_request_is_retried_however_late_the_rejection() -> None:
    """A rejected attempt was not executed, so it does not start the deduplication window."""

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
        client, response = await request_with_key(gateway, GROUP_SCOPE_CLASS)
        assert response.status == 200
        assert [len(first.requests), len(other.requests)] == [1, 1]
        client.close()


@async_test
async def test_first_attempt_that_connects_after_the_window_of_its_hedge_is_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The first attempt is still connecting when the hedged attempt is sent.

    The window starts with the hedged attempt, so the first attempt must not be sent after the window.
    """
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
        gateway.balancer._latency._median_per_cost[GROUP_SCOPE_CLASS.name] = 10 * US_PER_MS
        connects = DelayedConnects(monkeypatch, first)
        client = await gateway.connect()
        client.writer.write(request_bytes(GROUP_SCOPE_CLASS.name, KEY_HEADERS))
        await wait_until(lambda: other.requests)
        (request,) = gateway.dispatcher._requests.values()
        await wait_until(lambda: request.attempts[0].has_ended)
        # The attempt ended with the window, before the request deadline.
        assert gateway.dispatcher.unanswered_count == 1
        connects.allow.set()
        await wait_until(lambda: not gateway.pool.connecting_count)
        await wait_until(lambda: first.closed_count == first.connection_count)
        assert not first.requests
        client.close()
