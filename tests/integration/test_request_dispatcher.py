"""Tests of the request dispatcher with a gateway and endpoints on loopback sockets.

They guard the forwarding rules: each request is answered exactly once, a request that may have been executed
is not retried unless that is safe, draining or removed endpoints get no new request, and endpoints in slow
start get a small share. They also cover deadlines and clients that disconnect.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import time

import pytest

from http_gateway.net.clock import Clock
from http_gateway.net.discovery.endpoint_list import EndpointEntry
from http_gateway.net.dispatched_request import DispatchedRequest
from http_gateway.policy.actions import Action, ShedRequest
from http_gateway.policy.endpoint import Endpoint, EndpointState
from http_gateway.policy.events import Event, Outcome, RequestAbandoned, RequestArrived, RequestId
from http_gateway.policy.hold_up_margin import HOLD_UP_MARGIN_US
from http_gateway.policy.settings import Idempotency, RequestClass, Settings
from http_gateway.policy.time_units import US_PER_MS, US_PER_S
from tests.support.loopback import (
    BUY,
    READ,
    SETTINGS,
    LoopbackClient,
    PeerScript,
    async_test,
    endpoint_list,
    never_respond,
    request_bytes,
    reset_connection,
    respond_with,
    running_gateway,
    start_peers,
    wait_until,
)
from tests.support.races import outcomes, record_events
from tests.support.upstream import wait_for_requests

REJECT = respond_with(503, X_Not_Run="1")


@async_test
async def test_response_of_an_endpoint_is_forwarded_unchanged() -> None:
    async with start_peers(respond_with(body=b"\x00page 4", Content_Type="image/png")) as (endpoint,):
        async with running_gateway(endpoint.endpoint_entry()) as gateway:
            response = await gateway.request(headers={"X-Cost-Hint": "9000", "X-Request-Id": "9b1f03aa"})
        assert response.status == 200
        assert response.body == b"\x00page 4"
        assert response.header(b"content-type") == "image/png"
        request = endpoint.requests[0]
        assert (request.method, request.target) == (b"GET", b"/page-read?page=4")
        assert request.header(b"x-request-id") == "9b1f03aa"
        assert 0 < float(request.header(b"x-deadline") or 0) <= 10.0 - HOLD_UP_MARGIN_US / US_PER_S


@async_test
async def test_body_and_idempotency_key_are_forwarded_unchanged() -> None:
    async with (
        start_peers(respond_with()) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        client = await gateway.connect()
        await client.request("chapter-buy", {"Idempotency-Key": "5c0f"}, b"chapter 12")
        assert endpoint.requests[0].method == b"POST"
        assert endpoint.requests[0].body == b"chapter 12"
        assert endpoint.requests[0].header(b"idempotency-key") == "5c0f"


@pytest.mark.parametrize(("class_name", "status"), [("page-read", 503), ("chapter-buy", 502)])
@async_test
async def test_request_without_a_response_is_answered_once_at_its_deadline(
    class_name: str, status: int
) -> None:
    """A request that may have been executed must fail rather than be shed.

    A 503 would invite the client to retry, and an at-most-once request could then be executed twice.
    """
    async with (
        start_peers(never_respond) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        client = await gateway.connect()
        started_at_s = time.monotonic()
        response = await client.request(class_name, {"X-Deadline": "0.4"})
        assert response.status == status
        assert time.monotonic() - started_at_s >= 0.4 - HOLD_UP_MARGIN_US / US_PER_S - 0.001
        await wait_until(lambda: endpoint.closed_count)
        assert gateway.dispatcher.unanswered_count == 0
        gateway.frontend.stop_accepting()
        assert await client.read_until_closed() == b""


@async_test
async def test_policy_timeout_is_shorter_than_the_client_timeout() -> None:
    async with (
        start_peers(respond_with()) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        events = record_events(gateway)
        await gateway.request(headers={"X-Deadline": "0.4"})
        event = events[0]
        assert isinstance(event, RequestArrived)
        assert event._replace(timeout_us=0) == RequestArrived(1, "page-read", 0)
        longest_us = 400 * US_PER_MS - HOLD_UP_MARGIN_US
        assert longest_us - 50 * US_PER_MS < event.timeout_us <= longest_us
        assert HOLD_UP_MARGIN_US > 5 * US_PER_MS


@async_test
async def test_policy_has_the_deadline_of_the_gateway_after_a_hold_up_between_clock_reads(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With a later deadline the policy would start attempts that cannot be sent any more."""
    async with (
        start_peers(respond_with()) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        policy_deadlines_us: list[int] = []
        handle = gateway.balancer.handle

        def record_deadline(event: Event, now_us: int) -> list[Action]:
            if isinstance(event, RequestArrived):
                policy_deadlines_us.append(now_us + event.timeout_us)
            return handle(event, now_us)

        monkeypatch.setattr(gateway.balancer, "handle", record_deadline)
        clock = gateway.dispatcher._clock
        held_up_us = itertools.count(0, 10 * US_PER_MS)
        now_us = clock.now_us
        monkeypatch.setattr(clock, "now_us", lambda: now_us() + next(held_up_us))
        deadlines_us: list[int] = []
        start_deadline_timer = gateway.dispatcher._start_deadline_timer

        def record_timer(request_id: RequestId, request: DispatchedRequest) -> None:
            deadlines_us.append(request.deadline_at_us)
            start_deadline_timer(request_id, request)

        monkeypatch.setattr(gateway.dispatcher, "_start_deadline_timer", record_timer)
        await gateway.request()
        assert policy_deadlines_us == deadlines_us[:1]


@async_test
async def test_at_most_once_request_still_connecting_at_its_deadline_is_shed() -> None:
    """No endpoint received the request, so the client may retry it."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(3):  # the kernel drops further connects when the backlog is full
            other = stack.enter_context(socket.socket())
            other.setblocking(False)
            other.connect_ex(listener.getsockname())
        entry = EndpointEntry(Endpoint(1), listener.getsockname())
        async with running_gateway(entry) as gateway:
            assert (await gateway.request("chapter-buy", {"X-Deadline": "0.2"})).status == 503


@async_test
async def test_possibly_executed_at_most_once_request_is_not_retried() -> None:
    """A retry could execute the request twice."""
    async with (
        start_peers(reset_connection, reset_connection) as endpoints,
        running_gateway(*(endpoint.endpoint_entry() for endpoint in endpoints)) as gateway,
    ):
        assert (await gateway.request("chapter-buy")).status == 502
        assert sum(len(endpoint.requests) for endpoint in endpoints) == 1


@async_test
async def test_rejected_at_most_once_request_is_retried_on_another_endpoint() -> None:
    async with (
        start_peers(REJECT, respond_with()) as endpoints,
        running_gateway(*(endpoint.endpoint_entry() for endpoint in endpoints)) as gateway,
    ):
        statuses = [(await gateway.request("chapter-buy")).status for _ in range(3)]
        assert statuses == [200, 200, 200]


@async_test
async def test_at_most_once_request_rejected_by_every_endpoint_is_shed() -> None:
    async with (
        start_peers(REJECT) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        assert (await gateway.request("chapter-buy")).status == 503


@pytest.mark.parametrize("script", [reset_connection, respond_with(500), respond_with(503)])
@async_test
async def test_failed_idempotent_request_is_retried_on_another_endpoint(script: PeerScript) -> None:
    async with (
        start_peers(script, respond_with()) as endpoints,
        running_gateway(*(endpoint.endpoint_entry() for endpoint in endpoints)) as gateway,
    ):
        assert [(await gateway.request()).status for _ in range(3)] == [200, 200, 200]


@async_test
async def test_draining_or_removed_endpoint_gets_no_new_request() -> None:
    """The list update reaches both the policy and the connection pool."""
    async with (
        start_peers(respond_with(), respond_with()) as (first, second),
        running_gateway(first.endpoint_entry(), second.endpoint_entry()) as gateway,
    ):
        gateway.dispatcher.update_endpoints(
            endpoint_list(first.endpoint_entry(state=EndpointState.DRAINING), complete=False)
        )
        for _ in range(10):
            assert (await gateway.request()).status == 200
        assert not first.requests
        # This complete list does not contain the second endpoint, which removes it.
        gateway.dispatcher.update_endpoints(endpoint_list(first.endpoint_entry(), revision=3))
        count = len(second.requests)
        for _ in range(10):
            assert (await gateway.request()).status == 200
        assert len(second.requests) == count


@async_test
async def test_endpoint_in_slow_start_gets_a_small_share(monkeypatch: pytest.MonkeyPatch) -> None:
    """The policy receives the start time of each endpoint on the gateway's clock.

    The clock goes on by a fixed step each time it is read. The endpoints respond at once, although each
    request names 80 ms of work, so the policy takes them for very fast. A pause of the test would count as
    time in which the new endpoint could have served many requests.
    """
    settings = Settings((READ, BUY), max_attempts=5, initial_capacity=0.13, slow_start_window_us=24_000_000)
    async with start_peers(respond_with(), respond_with()) as (started, warm):
        now_us = time.time_ns() // 1000
        entries = [
            started.endpoint_entry(machine_type="m2", started_at_us=now_us),
            warm.endpoint_entry(machine_type="m2"),
        ]
        async with running_gateway(*entries, settings=settings) as gateway:
            times_us = itertools.count(Clock().now_us(), step=300)
            monkeypatch.setattr(Clock, "now_us", lambda _: next(times_us))
            for _ in range(40):
                assert (await gateway.request(headers={"X-Cost-Hint": "80000"})).status == 200
            assert len(started.requests) < 10


@async_test
async def test_timers_of_answered_requests_stay() -> None:
    """Guards against memory that grows with the rate of requests, not with those in flight."""
    async with (
        start_peers(respond_with()) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        client = await gateway.connect()
        for _ in range(100):
            assert (await client.request()).status == 200
        assert not [timer for timer in scheduled_timers() if "TimerFired" in repr(timer)]


def scheduled_timers() -> list[asyncio.TimerHandle]:
    """Return the timers of the running event loop that are not cancelled."""
    timers: list[asyncio.TimerHandle] = vars(asyncio.get_running_loop())["_scheduled"]
    return [timer for timer in timers if not timer.cancelled()]


@async_test
async def test_request_of_a_disconnected_client_is_abandoned() -> None:
    async with (
        start_peers(never_respond) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        events = record_events(gateway)
        client = await gateway.connect()
        client.writer.write(request_bytes())
        await wait_until(lambda: endpoint.requests)
        client.close()
        await wait_until(lambda: endpoint.closed_count)
        await wait_until(lambda: not gateway.dispatcher.in_flight_count)
        assert RequestAbandoned(1) in events
        assert outcomes(events)[0] is Outcome.CANCELLED


@async_test
async def test_early_disconnects_do_not_count_as_overload() -> None:
    long_objective = RequestClass("page-read", 10_000 * US_PER_MS, 15_000 * US_PER_MS, Idempotency.IDEMPOTENT)
    settings = Settings((long_objective,), cancellation_allowed=True)
    async with (
        start_peers(never_respond) as (endpoint,),
        running_gateway(endpoint.endpoint_entry(), settings=settings) as gateway,
    ):
        for count in range(1, 21):
            client = await gateway.connect()
            client.writer.write(request_bytes())
            await wait_for_requests(endpoint, count)
            client.close()
            await wait_until(lambda: not gateway.dispatcher.in_flight_count)


@async_test
async def test_concurrent_requests_right_after_the_start_are_not_shed() -> None:
    """All clients send requests at once, and the initial limit of an endpoint has to admit them."""
    async with (
        start_peers(never_respond) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        clients = [await gateway.connect() for _ in range(8)]
        for client in clients:
            client.writer.write(request_bytes())
        await wait_for_requests(endpoint, 8)


@async_test
async def test_retry_after_is_forwarded_to_the_client() -> None:
    async with running_gateway() as gateway:

        def shed(event: Event, now_us: int) -> list[Action]:
            if isinstance(event, RequestArrived):
                return [ShedRequest(event.request_id, 250 * US_PER_MS)]
            return []

        gateway.balancer.handle = shed  # type: ignore[method-assign]
        response = await gateway.request()
        assert (response.status, response.header(b"retry-after")) == (503, "0.250")


@async_test
async def test_slower_one_of_two_hedged_attempts_is_cancelled() -> None:
    """The slower attempt is cancelled once the other has a response; the client receives one response."""
    async with (
        start_peers(respond_with(), respond_with()) as endpoints,
        running_gateway(*(endpoint.endpoint_entry() for endpoint in endpoints), settings=SETTINGS) as gateway,
    ):
        for _ in range(20):  # gives the policy a latency estimate
            await gateway.request()
        for endpoint in endpoints:
            endpoint.script = never_respond
            endpoint.requests.clear()
        events = record_events(gateway)
        client: LoopbackClient = await gateway.connect()
        client.writer.write(request_bytes())
        await wait_until(lambda: endpoints[0].requests and endpoints[1].requests)
        await respond_with(body=b"winner")(endpoints[0].requests[0], endpoints[0].request_writers[-1])
        assert (await client.response()).body == b"winner"
        await wait_until(lambda: not gateway.dispatcher.in_flight_count)
        assert outcomes(events) == [Outcome.OK, Outcome.CANCELLED]
