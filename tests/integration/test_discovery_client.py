"""Tests for the discovery client: concurrent calls, poll slots, retries and switches of the service."""

from __future__ import annotations

import asyncio
import select

import pytest

from http_gateway.net.discovery import client as client_module
from http_gateway.net.discovery import session
from http_gateway.net.discovery.client import DiscoveryClient
from http_gateway.net.discovery.endpoint_list import EndpointList
from http_gateway.net.discovery.poll_schedule import (
    GATEWAY_SPACING_S,
    MIN_RETRY_INTERVAL_S,
    RETRY_DELAY_FRACTION,
    PollSchedule,
)
from http_gateway.net.discovery.watch import DiscoveryWatch
from http_gateway.net.http.messages import Message
from http_gateway.net.memory.plan import MAX_DOCUMENT_BYTES
from http_gateway.policy.time_units import US_PER_S
from tests.support.discovery import (
    PUSHED_SETTINGS,
    REJECTION,
    WATCH_HEAD,
    accept_watch,
    append_to,
    chunk,
    list_document,
    polled_settings,
    received_lists,
    running_client,
    send,
)
from tests.support.loopback import (
    LoopbackPeer,
    abort_with_reset,
    async_test,
    never_respond,
    start_peers,
    wait_until,
)


@pytest.mark.parametrize("switches", [False, True])
@async_test
async def test_first_poll_waits_for_the_position_of_the_gateway(switches: bool) -> None:
    """Guards against simultaneous calls of gateways that restart or switch to another service together."""
    async with start_peers(accept_watch) as (service,):
        loop = asyncio.get_running_loop()
        lists: list[EndpointList] = []
        address = ("127.0.0.1", service.port)
        client = DiscoveryClient(
            address, 0, append_to(lists), polled_settings(4, gateway_index=3), MAX_DOCUMENT_BYTES
        )
        started_at_s = loop.time()
        if switches:
            client.switch_to(address)
        else:
            client.start()
        await wait_until(lambda: service.requests)
        assert loop.time() - started_at_s >= 3 * GATEWAY_SPACING_S - 0.01
        client.stop()


@async_test
async def test_broken_watch_on_a_local_agent_is_reopened_within_the_drain_grace_period(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a retry delay that grows with the number of gateways.

    With a local discovery agent, a change of the endpoint list counts as received by the gateway as soon as
    the agent has it, even if the gateway has not received it. The drain grace period of a draining endpoint
    begins at that time, also while the gateway waits to reopen its watch. After a longer delay it would send
    requests to draining endpoints beyond the drain grace period.
    """
    delays_s: list[float] = []

    class RecordingSchedule(PollSchedule):
        """A schedule that records each delay."""

        def on_watch_ended(self, now_s: float, last_line_at_s: float) -> None:
            super().on_watch_ended(now_s, last_line_at_s)
            delays_s.append(self.due_at_s - now_s)

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(WATCH_HEAD + chunk(list_document(41 + len(service.requests))))
        if len(service.requests) == 1:
            abort_with_reset(writer)

    monkeypatch.setattr(client_module, "PollSchedule", RecordingSchedule)
    async with start_peers(script) as (service,):
        async with received_lists(service, 41, PUSHED_SETTINGS) as lists:
            await wait_until(lambda: lists and lists[-1].revision == 43)
        assert delays_s
        assert sum(delays_s) < PUSHED_SETTINGS.drain_grace_us / US_PER_S / 2


@async_test
async def test_unanswered_call_to_a_local_agent_does_not_delay_the_next_call() -> None:
    """The agent may be running again while an earlier call stays unanswered.

    Once the agent is running, a change of the endpoint list counts as received by the gateway as soon as the
    agent has it, even if the gateway has not received it. From that time on, the gateway is expected to
    respect the change.
    """

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        if len(service.requests) == 3:
            closed_counts.append(service.closed_count)
            writer.write(WATCH_HEAD + chunk(list_document(42)))

    closed_counts: list[int] = []
    async with start_peers(script) as (service,):
        async with received_lists(service, 41, PUSHED_SETTINGS) as lists:
            await wait_until(lambda: lists)
            await wait_until(lambda: service.closed_count == 2)  # both unanswered calls
        assert closed_counts == [0]


async def wait_for_requests(peer: LoopbackPeer, count: int) -> None:
    """Wait until a peer has received at least `count` requests."""
    await wait_until(lambda: len(peer.requests) >= count)


@async_test
async def test_unresponsive_agent_gets_a_limited_number_of_connections() -> None:
    async with start_peers(never_respond) as (service,):
        max_open = 0
        async with received_lists(service, 41, PUSHED_SETTINGS):
            for count in range(3 * session.MAX_CONCURRENT_CALLS):
                await wait_for_requests(service, count + 1)
                max_open = max(max_open, service.connection_count - service.closed_count)
        await wait_until(lambda: service.connection_count == service.closed_count)
        # The service may see the close of a cancelled call only after the next call.
        assert max_open <= session.MAX_CONCURRENT_CALLS + 1


@async_test
async def test_slow_agent_brings_its_list() -> None:
    """Guards against calls that are all given up before an answer that takes longer than five calls."""

    async def answer_late(request: Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.5)
        await send(writer, WATCH_HEAD + chunk(list_document(42)))

    async with (
        start_peers(answer_late) as (service,),
        received_lists(service, 41, PUSHED_SETTINGS) as lists,
    ):
        await wait_until(lambda: lists)
        assert len(service.requests) > session.MAX_CONCURRENT_CALLS


@async_test
async def test_incomplete_head_does_not_delay_the_next_call() -> None:
    """Guards against a response head in small pieces that counts as a list that is arriving."""

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        if len(service.requests) > 1:
            await send(writer, WATCH_HEAD + chunk(list_document(42)))
            return
        writer.write(WATCH_HEAD[:-4])
        while not writer.is_closing():
            await send(writer, b"\r\nX-Field: 1")
            await asyncio.sleep(0.5)

    async with start_peers(script) as (service,), received_lists(service, 41, PUSHED_SETTINGS) as lists:
        await wait_until(lambda: lists)


@async_test
async def test_only_the_first_of_two_accepted_watches_is_used() -> None:
    """Two calls are accepted in the same iteration of the event loop, one of them with an older list."""
    async with (
        start_peers(never_respond) as (service,),
        received_lists(service, 41, PUSHED_SETTINGS) as lists,
    ):
        await wait_for_requests(service, 2)
        for writer, revision in zip(service.request_writers[:2][::-1], (43, 42), strict=True):
            writer.write(WATCH_HEAD + chunk(list_document(revision)))
        await wait_until(lambda: lists and service.closed_count)
        for writer in service.request_writers[:2]:
            writer.write(chunk(list_document(44)))
        await wait_until(lambda: lists[-1].revision == 44)
        assert len({received.revision for received in lists}) == 2


@pytest.mark.parametrize("revision", [41, 0])
@async_test
async def test_list_of_the_previous_service_is_ignored_after_a_switch(
    monkeypatch: pytest.MonkeyPatch, revision: int
) -> None:
    """A received list is still unread at the switch; the new service does not know its revision."""
    watches: list[tuple[DiscoveryWatch, asyncio.BaseTransport]] = []

    class RecordedWatch(DiscoveryWatch):
        """A watch that records its transport."""

        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            super().connection_made(transport)
            watches.append((self, transport))

    def accepted_transports() -> list[asyncio.BaseTransport]:
        return [transport for watch, transport in watches if watch.stalled_at_s and not watch.ended.done()]

    monkeypatch.setattr(session, "DiscoveryWatch", RecordedWatch)
    async with (
        start_peers(accept_watch, accept_watch) as (old, new),
        running_client(old, revision, PUSHED_SETTINGS) as (client, lists),
    ):
        await wait_until(accepted_transports)
        old.writers[0].write(chunk(list_document(57)))
        # Wait until the list has arrived. The client has not read it yet, as the event loop is blocked.
        select.select([accepted_transports()[0].get_extra_info("socket")], [], [])
        client.switch_to(("127.0.0.1", new.port))
        await wait_until(lambda: new.requests and old.closed_count)
        assert new.requests[0].target.endswith(b"from=0")
        assert not lists
        new.writers[0].write(chunk(list_document(3)))
        await wait_until(lambda: lists)
        assert [received.revision for received in lists] == [3]


@async_test
async def test_switches_in_quick_succession_end_at_the_last_service() -> None:
    """The client leaves an intermediate service before, or just as, the connection to it is established."""
    async with (
        start_peers(accept_watch, accept_watch, accept_watch) as (old, intermediate, new),
        running_client(old, 41, PUSHED_SETTINGS) as (client, lists),
    ):
        await wait_until(lambda: old.requests)
        client.switch_to(("127.0.0.1", intermediate.port))
        client.switch_to(("127.0.0.1", old.port))
        client.switch_to(("127.0.0.1", intermediate.port))
        await asyncio.sleep(0)  # lets the client start to connect
        client.switch_to(("127.0.0.1", new.port))
        await wait_until(lambda: new.requests and old.closed_count)
        new.writers[0].write(chunk(list_document(3)))
        await wait_until(lambda: lists)
        await wait_until(lambda: intermediate.connection_count == intermediate.closed_count)
        assert not intermediate.requests


@async_test
async def test_rejected_call_makes_the_client_call_less_often_until_the_next_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Only a shared service rejects calls, and frequent calls would keep it overloaded."""
    states: list[tuple[bool, float]] = []

    class RecordingSchedule(PollSchedule):
        """A schedule that records its state and does not delay a call after a rejection or a watch."""

        def on_rejected(self, after_s: float) -> None:
            super().on_rejected(after_s)
            self._record()

        def on_watch_ended(self, now_s: float, last_line_at_s: float) -> None:
            super().on_watch_ended(now_s, last_line_at_s)
            self._record()

        def _record(self) -> None:
            states.append((self.is_shared, self.retry_interval_s))
            self.due_at_s = 0.0

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        if len(service.requests) == 1:
            writer.write(REJECTION)
        elif len(service.requests) == 2:
            writer.write(WATCH_HEAD + chunk(list_document(42)))
            abort_with_reset(writer)
        else:
            writer.write(WATCH_HEAD)

    monkeypatch.setattr(client_module, "PollSchedule", RecordingSchedule)
    async with (
        start_peers(script) as (service,),
        running_client(service, 41, PUSHED_SETTINGS) as (client, _),
    ):
        await wait_until(lambda: len(service.requests) == 3)
        assert client.service_responded.is_set()
        assert [is_shared for is_shared, _ in states] == [True, False]
        assert states[0][1] >= MIN_RETRY_INTERVAL_S
        assert states[1] == (False, RETRY_DELAY_FRACTION * PUSHED_SETTINGS.drain_grace_us / US_PER_S)
