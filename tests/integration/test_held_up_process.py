"""Final answers of gateway processes that are held up, over loopback connections.

The pages allow hold-ups of up to 0.15 s at any place. The final answer is due within the client's time and
0.05 s more, counted from the moment in which the client has sent the request.
"""

from __future__ import annotations

import asyncio
import itertools
import signal
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from http_gateway.net.http.messages import Message
from tests.support.discovery import accept_watch_without_changes
from tests.support.loopback import (
    LoopbackClient,
    LoopbackPeer,
    async_test,
    never_respond,
    request_bytes,
    respond_with,
    start_peers,
)
from tests.support.service import SETTINGS_DOCUMENT, config_document, listening_port, running_service
from tests.support.syscall_faults import build_library, fault_variables

HOLD_UP_S = 0.14
CLIENT_TIMEOUT_S = 0.6
ANSWER_SLACK_S = 0.05
REQUEST = {"X-Deadline": str(CLIENT_TIMEOUT_S)}
# Reads of the monotonic clock between the receipt of a request and the end of its first attempt's start.
CLOCK_READS = range(1, 13)
WINDOW_S = 0.4
WINDOW_SLACK_S = 0.05
KEYED_CLASS = {
    "name": "order-add",
    "effect": "deduplicated",
    "group": "all",
    "keyTtl": round(1_000_000 * WINDOW_S),
    "giveUp": 1_500_000,
    "onTime": 400_000,
    "worth": 3.0,
}
# Reads of the monotonic clock between a receipt and the write of an attempt that has to connect first.
CLOCK_READS_TO_WRITE = range(1, 41)
PROCESSES_AT_ONCE = 8
CLIENT_STAYS_S = 0.02
LEFT_SLACK_S = 0.1  # an attempt may begin until this long after its client has left


@pytest.fixture(scope="session")
def library(tmp_path_factory: pytest.TempPathFactory) -> Path:
    return build_library(tmp_path_factory.mktemp("faults"))


@asynccontextmanager
async def silent_endpoint_gateway(
    folder: Path, **variables: str
) -> AsyncIterator[tuple[asyncio.subprocess.Process, int, LoopbackPeer]]:
    """Run a gateway whose only endpoint never responds; yields process, port and endpoint."""
    async with start_peers(never_respond, accept_watch_without_changes) as (endpoint, discovery):
        config = config_document(discovery.port, endpoint.list_entry())
        async with running_service(folder, config, 0, **variables) as process:
            yield process, await listening_port(process), endpoint


def hold_up_after(library: Path, prefix: str, clock_read: int) -> dict[str, str]:
    """Return the variables for a hold-up after a clock read that follows received data with this prefix."""
    hold_up_ms = round(1000 * HOLD_UP_S)
    return fault_variables(library, hold_up_ms=hold_up_ms, after_prefix=prefix, at_clock_read=clock_read)


async def answer_time_s(client: LoopbackClient, sent_at_s: float) -> float:
    """Wait for the final answer and return the time since the request was sent."""
    await client.response()
    return time.monotonic() - sent_at_s


@async_test
async def test_request_that_arrives_while_the_process_is_held_up_is_answered_in_time(tmp_path: Path) -> None:
    async with silent_endpoint_gateway(tmp_path) as (process, port, _):
        client = await LoopbackClient.connect(port)
        for connects_during_hold_up in (False, True):
            process.send_signal(signal.SIGSTOP)
            if connects_during_hold_up:
                client = await LoopbackClient.connect(port)
            sent_at_s = time.monotonic()
            client.writer.write(request_bytes(headers=REQUEST))
            await asyncio.sleep(HOLD_UP_S)
            process.send_signal(signal.SIGCONT)
            assert await answer_time_s(client, sent_at_s) <= CLIENT_TIMEOUT_S + ANSWER_SLACK_S


@async_test
async def test_pipelined_request_is_answered_in_time_although_it_waits_for_another(tmp_path: Path) -> None:
    async with silent_endpoint_gateway(tmp_path) as (_, port, _):
        client = await LoopbackClient.connect(port)
        sent_at_s = time.monotonic()
        # The first request waits for its whole timeout; the second one has been received meanwhile.
        for timeout_s in (CLIENT_TIMEOUT_S - 0.1, CLIENT_TIMEOUT_S):
            client.writer.write(request_bytes(headers={"X-Deadline": str(timeout_s)}))
        await client.response()
        assert await answer_time_s(client, sent_at_s) <= CLIENT_TIMEOUT_S + ANSWER_SLACK_S


@async_test
async def test_hold_up_after_any_read_of_the_clock_delays_no_answer(tmp_path: Path, library: Path) -> None:
    """The process is held up once more as it answers, so that the margin of the answer is used up."""
    late: dict[int, float] = {}
    for clock_read in CLOCK_READS:
        faults = hold_up_after(library, "GET /page-read", clock_read)
        faults["FAULT_AT_RESPONSE_PREFIX"] = "HTTP/1.1 50"
        async with silent_endpoint_gateway(tmp_path, **faults) as (_, port, _):
            client = await LoopbackClient.connect(port)
            sent_at_s = time.monotonic()
            client.writer.write(request_bytes(headers=REQUEST))
            answered_after_s = await answer_time_s(client, sent_at_s)
            if answered_after_s > CLIENT_TIMEOUT_S + ANSWER_SLACK_S:
                late[clock_read] = answered_after_s
    assert late == {}


@async_test
async def test_hold_up_before_the_final_answer_is_sent_keeps_it_in_time(
    tmp_path: Path, library: Path
) -> None:
    faults = fault_variables(library, hold_up_ms=round(1000 * HOLD_UP_S), at_response_prefix="HTTP/1.1 50")
    async with silent_endpoint_gateway(tmp_path, **faults) as (process, port, _):
        client = await LoopbackClient.connect(port)
        for is_also_held_up_at_arrival in (False, True):
            sent_at_s = time.monotonic()
            if is_also_held_up_at_arrival:
                process.send_signal(signal.SIGSTOP)
            client.writer.write(request_bytes(headers=REQUEST))
            await asyncio.sleep(HOLD_UP_S)
            process.send_signal(signal.SIGCONT)
            assert await answer_time_s(client, sent_at_s) <= CLIENT_TIMEOUT_S + ANSWER_SLACK_S


class FirstAttemptFails:
    """Script of endpoints that answer the first request of all with an error after a delay.

    Args:
        delay_s: The delay in seconds.
    """

    def __init__(self, delay_s: float) -> None:
        self._delay_s = delay_s
        self._request_numbers = itertools.count()
        self.received_at_s: list[float] = []

    async def __call__(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a request."""
        self.received_at_s.append(time.monotonic())
        if next(self._request_numbers):
            await respond_with()(request, writer)
        else:
            await asyncio.sleep(self._delay_s)
            await respond_with(500)(request, writer)


async def attempt_times_s(folder: Path, failure_delay_s: float, faults: dict[str, str]) -> list[float]:
    """Send a keyed request whose first attempt fails; return the arrivals of its attempts after the first."""
    folder.mkdir()
    script = FirstAttemptFails(failure_delay_s)
    async with start_peers(script, script, accept_watch_without_changes) as (*endpoints, discovery):
        settings = SETTINGS_DOCUMENT | {"classes": [KEYED_CLASS]}
        entries = [endpoint.list_entry() for endpoint in endpoints]
        config = config_document(discovery.port, *entries, settings=settings)
        async with running_service(folder, config, 0, **faults) as process:
            client = await LoopbackClient.connect(await listening_port(process))
            client.writer.write(request_bytes("order-add", {"Idempotency-Key": "5c0f", "X-Deadline": "1.5"}))
            await client.response()
    first_at_s, *retries_at_s = script.received_at_s
    return [at_s - first_at_s for at_s in retries_at_s]


@async_test
async def test_hold_up_before_a_retry_keeps_it_within_the_deduplication_window(
    tmp_path: Path, library: Path
) -> None:
    """After the window an endpoint would execute the repeated idempotency key a second time."""

    async def late_retries(clock_read: int) -> list[float]:
        async with capacity:
            faults = hold_up_after(library, "HTTP/1.1 500", clock_read)
            retries_at_s = await attempt_times_s(tmp_path / str(clock_read), WINDOW_S - 0.05, faults)
        return [at_s for at_s in retries_at_s if at_s > WINDOW_S + WINDOW_SLACK_S]

    capacity = asyncio.Semaphore(PROCESSES_AT_ONCE)
    assert len(await attempt_times_s(tmp_path / "retried", 0.1, {})) == 1
    late = await asyncio.gather(*(late_retries(clock_read) for clock_read in CLOCK_READS_TO_WRITE))
    assert [read for read, at_s in zip(CLOCK_READS_TO_WRITE, late, strict=True) if at_s] == []


async def attempt_delay_after_close_s(folder: Path, faults: dict[str, str]) -> float:
    """Send a request and close the connection soon after; return the delay of its attempt after the close.

    A negative delay means that the attempt came first or that there was none.
    """
    folder.mkdir()
    received_at_s: list[float] = []

    async def record_time(request: Message, writer: asyncio.StreamWriter) -> None:
        received_at_s.append(time.monotonic())

    async with start_peers(record_time, accept_watch_without_changes) as (endpoint, discovery):
        config = config_document(discovery.port, endpoint.list_entry())
        async with running_service(folder, config, 0, **faults) as process:
            client = await LoopbackClient.connect(await listening_port(process))
            client.writer.write(request_bytes(headers=REQUEST))
            await asyncio.sleep(CLIENT_STAYS_S)
            client.close()
            closed_at_s = time.monotonic()
            await asyncio.sleep(2 * HOLD_UP_S)
    return max((at_s - closed_at_s for at_s in received_at_s), default=-1.0)


@async_test
async def test_hold_up_after_any_read_of_the_clock_sends_no_attempt_for_a_client_that_left(
    tmp_path: Path, library: Path
) -> None:
    async def delay_s(clock_read: int) -> float:
        async with capacity:
            faults = hold_up_after(library, "GET /page-read", clock_read)
            return await attempt_delay_after_close_s(tmp_path / str(clock_read), faults)

    capacity = asyncio.Semaphore(PROCESSES_AT_ONCE)
    delays_s = await asyncio.gather(*(delay_s(clock_read) for clock_read in CLOCK_READS_TO_WRITE))
    late = [read for read, delay in zip(CLOCK_READS_TO_WRITE, delays_s, strict=True) if delay > LEFT_SLACK_S]
    assert late == []
