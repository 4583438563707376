"""The four rules on sockets, deadlines, leaving clients, and faults."""

from __future__ import annotations

import contextlib
import socket
import time

import pytest

from http_gateway.net.discovery.endpoint_list import EndpointEntry
from http_gateway.net.request_dispatcher import RESPONSE_MARGIN_US
from http_gateway.policy.actions import Action, FailRequest, ShedRequest, StartAttempt
from http_gateway.policy.endpoint import Endpoint, EndpointState
from http_gateway.policy.events import AttemptEnded, Event, Outcome, RequestAbandoned, RequestArrived
from http_gateway.policy.settings import Idempotency, RequestClass, Settings
from http_gateway.policy.time_units import US_PER_MS
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


class InjectedFaultError(Exception):
    """A fault that a test makes the policy raise."""


@async_test
async def test_a_host_s_answer_comes_back_unchanged() -> None:
    async with start_peers(respond_with(body=b"\x00page 4", Content_Type="image/png")) as (host,):
        async with running_gateway(host.endpoint_entry()) as gateway:
            answer = await gateway.request(headers={"X-Cost-Hint": "9000", "X-Request-Id": "9b1f03aa"})
        assert (answer.status, answer.body, answer.header(b"content-type")) == (
            200,
            b"\x00page 4",
            "image/png",
        )
        request = host.requests[0]
        assert (request.method, request.target) == (b"GET", b"/page-read?page=4")
        assert request.header(b"x-request-id") == "9b1f03aa"
        assert 0 < float(request.header(b"x-deadline") or 0) <= 10.0 - RESPONSE_MARGIN_US / 1e6


@async_test
async def test_a_body_and_its_key_go_on_unchanged() -> None:
    async with start_peers(respond_with()) as (host,), running_gateway(host.endpoint_entry()) as gateway:
        client = await gateway.connect()
        await client.request("chapter-buy", {"Idempotency-Key": "5c0f"}, b"chapter 12")
        assert host.requests[0].method == b"POST"
        assert host.requests[0].body == b"chapter 12"
        assert host.requests[0].header(b"idempotency-key") == "5c0f"


@pytest.mark.parametrize(("class_name", "status"), [("page-read", 503), ("chapter-buy", 502)])
@async_test
async def test_a_silent_host_s_request_is_answered_once_and_in_time(class_name: str, status: int) -> None:
    """Rule 1; a purchase that may have run is failed, as a refusal would invite a second one."""
    async with start_peers(never_respond) as (host,), running_gateway(host.endpoint_entry()) as gateway:
        client = await gateway.connect()
        asked = time.monotonic()
        answer = await client.request(class_name, {"X-Deadline": "0.4"})
        assert answer.status == status
        assert time.monotonic() - asked >= 0.4 - RESPONSE_MARGIN_US / 1e6 - 0.001
        await wait_until(lambda: host.closed)
        assert gateway.dispatcher.unanswered_count == 0
        gateway.frontend.stop_accepting()
        assert await client.read_until_closed() == b""


@async_test
async def test_the_module_s_time_ends_before_the_client_s() -> None:
    async with start_peers(respond_with()) as (host,), running_gateway(host.endpoint_entry()) as gateway:
        events = record_events(gateway)
        await gateway.request(headers={"X-Deadline": "0.4"})
        assert events[0] == RequestArrived(1, "page-read", 400 * US_PER_MS - RESPONSE_MARGIN_US)
        assert RESPONSE_MARGIN_US > 5 * US_PER_MS


@async_test
async def test_a_purchase_still_connecting_at_its_deadline_is_refused() -> None:
    """No host had it, so that the client may try again."""
    with socket.socket() as full:
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        with contextlib.ExitStack() as stack:
            for _ in range(3):  # fills the queue: what comes next never comes up
                other = stack.enter_context(socket.socket())
                other.setblocking(False)
                other.connect_ex(full.getsockname())
            member = EndpointEntry(Endpoint(1), full.getsockname())
            async with running_gateway(member) as gateway:
                assert (await gateway.request("chapter-buy", {"X-Deadline": "0.2"})).status == 503


@async_test
async def test_a_purchase_that_may_have_run_is_not_sent_again() -> None:
    """Rule 2."""
    async with (
        start_peers(reset_connection, reset_connection) as hosts,
        running_gateway(*(host.endpoint_entry() for host in hosts)) as gateway,
    ):
        assert (await gateway.request("chapter-buy")).status == 502
        assert sum(len(host.requests) for host in hosts) == 1


@async_test
async def test_a_purchase_that_never_ran_moves_on() -> None:
    turned_away = respond_with(503, X_Not_Run="1")
    async with (
        start_peers(turned_away, respond_with()) as hosts,
        running_gateway(*(host.endpoint_entry() for host in hosts)) as gateway,
    ):
        answers = [(await gateway.request("chapter-buy")).status for _ in range(3)]
        assert answers == [200, 200, 200]


@async_test
async def test_a_purchase_that_no_host_had_is_refused() -> None:
    async with (
        start_peers(respond_with(503, X_Not_Run="1")) as (host,),
        running_gateway(host.endpoint_entry()) as gateway,
    ):
        assert (await gateway.request("chapter-buy")).status == 503


@pytest.mark.parametrize("script", [reset_connection, respond_with(500), respond_with(503)])
@async_test
async def test_a_page_read_is_tried_at_another_host(script: PeerScript) -> None:
    async with (
        start_peers(script, respond_with()) as hosts,
        running_gateway(*(host.endpoint_entry() for host in hosts)) as gateway,
    ):
        assert [(await gateway.request()).status for _ in range(3)] == [200, 200, 200]


@async_test
async def test_nothing_new_goes_to_a_host_that_drains_or_left() -> None:
    """Rule 3."""
    async with (
        start_peers(respond_with(), respond_with()) as hosts,
        running_gateway(*(host.endpoint_entry() for host in hosts)) as gateway,
    ):
        gateway.dispatcher.update_endpoints(
            endpoint_list(hosts[0].endpoint_entry(state=EndpointState.DRAINING), complete=False)
        )
        for _ in range(10):
            assert (await gateway.request()).status == 200
        assert not hosts[0].requests
        gateway.dispatcher.update_endpoints(
            endpoint_list(hosts[0].endpoint_entry(), revision=3)
        )  # a whole list without the other
        count = len(hosts[1].requests)
        for _ in range(10):
            assert (await gateway.request()).status == 200
        assert len(hosts[1].requests) == count


@async_test
async def test_a_cold_host_gets_but_a_part() -> None:
    """Rule 4: the module hears when each host started, on its own clock."""
    cold = Settings((READ, BUY), max_attempts=5, initial_capacity=0.13, slow_start_window_us=24_000_000)
    async with start_peers(respond_with(), respond_with()) as hosts:
        now = time.time_ns() // 1000
        members = [
            hosts[0].endpoint_entry(machine_type="m2", started_at_us=now),
            hosts[1].endpoint_entry(machine_type="m2"),
        ]
        async with running_gateway(*members, settings=cold) as gateway:
            for _ in range(40):
                assert (await gateway.request(headers={"X-Cost-Hint": "80000"})).status == 200
            assert len(hosts[0].requests) < 10


@async_test
async def test_a_client_that_closes_is_gone() -> None:
    async with start_peers(never_respond) as (host,), running_gateway(host.endpoint_entry()) as gateway:
        events = record_events(gateway)
        client = await gateway.connect()
        client.writer.write(request_bytes())
        await wait_until(lambda: host.requests)
        client.close()
        await wait_until(lambda: host.closed)
        await wait_until(lambda: not gateway.dispatcher.in_flight_count)
        assert RequestAbandoned(1) in events
        assert outcomes(events)[0] is Outcome.CANCELLED


@async_test
async def test_clients_that_leave_early_are_no_sign_of_overload() -> None:
    kind = RequestClass("page-read", 10_000 * US_PER_MS, 15_000 * US_PER_MS, Idempotency.IDEMPOTENT)
    unhurried = Settings((kind,), cancellation_allowed=True)
    async with (
        start_peers(never_respond) as (host,),
        running_gateway(host.endpoint_entry(), settings=unhurried) as gateway,
    ):
        for count in range(1, 21):
            client = await gateway.connect()
            client.writer.write(request_bytes())
            await wait_until(lambda: len(host.requests) == count)  # noqa: B023
            client.close()
            await wait_until(lambda: not gateway.dispatcher.in_flight_count)


@async_test
async def test_the_crowd_at_the_start_is_not_refused() -> None:
    """All clients begin at once; what the module allows at hosts that it has just met must do for that."""
    async with start_peers(never_respond) as (host,), running_gateway(host.endpoint_entry()) as gateway:
        clients = [await gateway.connect() for _ in range(8)]
        for client in clients:
            client.writer.write(request_bytes())
        await wait_until(lambda: len(host.requests) == 8)


@async_test
async def test_a_fault_in_one_request_fails_it_and_no_other(caplog: pytest.LogCaptureFixture) -> None:
    async with start_peers(respond_with()) as (host,), running_gateway(host.endpoint_entry()) as gateway:
        handle = gateway.balancer.handle

        def faulty(event: Event, now_us: int) -> list[Action]:
            if isinstance(event, RequestArrived) and event.key == "poison":
                raise InjectedFaultError("a fault of this test")
            return handle(event, now_us)

        gateway.balancer.handle = faulty  # type: ignore[method-assign]
        assert (await gateway.request(headers={"X-Key": "poison"})).status == 500
        assert (await gateway.request()).status == 200
        assert "a fault of this test" in caplog.text


@async_test
async def test_a_fault_at_an_outcome_fails_its_request_at_once() -> None:
    async with start_peers(respond_with(500)) as (host,), running_gateway(host.endpoint_entry()) as gateway:
        handle = gateway.balancer.handle

        def faulty(event: Event, now_us: int) -> list[Action]:
            if isinstance(event, AttemptEnded):
                raise InjectedFaultError("a fault of this test")
            return handle(event, now_us)

        gateway.balancer.handle = faulty  # type: ignore[method-assign]
        assert (await gateway.request()).status == 500
        await wait_until(lambda: not gateway.dispatcher.in_flight_count)


@async_test
async def test_nothing_is_sent_after_the_final_answer() -> None:
    """A decision that came too late reaches neither a host nor the client."""
    async with start_peers(respond_with()) as (host,), running_gateway(host.endpoint_entry()) as gateway:
        handle, ends = gateway.balancer.handle, []

        def late(event: Event, now_us: int) -> list[Action]:
            if isinstance(event, AttemptEnded):
                ends.append(event.outcome)
            actions = handle(event, now_us)
            if not isinstance(event, RequestArrived):
                return actions
            return [
                *actions,
                ShedRequest(event.request_id),
                StartAttempt(event.request_id, host.endpoint_entry().endpoint.id),
                FailRequest(event.request_id),
            ]

        gateway.balancer.handle = late  # type: ignore[method-assign]
        client = await gateway.connect()
        assert (await client.request()).status == 503
        await wait_until(lambda: not gateway.dispatcher.in_flight_count)
        # The first was still connecting, and the second had not begun.
        assert ends == [Outcome.NOT_SENT, Outcome.CANCELLED]
        gateway.frontend.stop_accepting()
        assert await client.read_until_closed() == b""
        await wait_until(lambda: gateway.pool.open_descriptors == 0)
        assert not host.requests


@async_test
async def test_a_request_that_the_module_forgets_is_answered_at_its_deadline() -> None:
    async with running_gateway() as gateway:
        gateway.balancer.handle = lambda event, now_us: []  # type: ignore[method-assign]
        assert (await gateway.request(headers={"X-Deadline": "0.1"})).status == 504


@async_test
async def test_advice_on_when_to_come_back_is_passed_on() -> None:
    async with running_gateway() as gateway:

        def advises(event: Event, now_us: int) -> list[Action]:
            return (
                [ShedRequest(event.request_id, 250 * US_PER_MS)] if isinstance(event, RequestArrived) else []
            )

        gateway.balancer.handle = advises  # type: ignore[method-assign]
        answer = await gateway.request()
        assert (answer.status, answer.header(b"retry-after")) == (503, "0.250")


@async_test
async def test_a_hedge_s_loser_is_called_off() -> None:
    """The slower copy ends as its sibling wins, and the client sees one answer."""
    async with (
        start_peers(respond_with(), respond_with()) as hosts,
        running_gateway(*(h.endpoint_entry() for h in hosts), settings=SETTINGS) as gateway,
    ):
        for _ in range(20):  # teaches the module how long an answer takes
            await gateway.request()
        for host in hosts:
            host.script = never_respond
            host.requests.clear()
        events = record_events(gateway)
        client: LoopbackClient = await gateway.connect()
        client.writer.write(request_bytes())
        await wait_until(lambda: hosts[0].requests and hosts[1].requests)
        await respond_with(body=b"winner")(hosts[0].requests[0], hosts[0].request_writers[-1])
        assert (await client.response()).body == b"winner"
        await wait_until(lambda: not gateway.dispatcher.in_flight_count)
        assert outcomes(events) == [Outcome.OK, Outcome.CANCELLED]
