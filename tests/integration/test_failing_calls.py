"""A gateway process whose socket or accept calls fail now and then answers every request."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from collections import Counter
from pathlib import Path

import pytest

from tests.support.discovery import accept_watch_without_changes
from tests.support.loopback import LoopbackClient, async_test, request_bytes, respond_with, start_peers
from tests.support.service import config_document, listening_port, running_service
from tests.support.syscall_faults import build_library, fault_variables

# One failure in three is ECONNABORTED, which takes a connection with it. No request was read on such a
# connection, and its client sees a reset.
REQUESTS = 120
ANSWER_LIMIT_S = 0.5
DELAY_BETWEEN_REQUESTS_S = 0.005


@pytest.fixture(scope="module")
def library(tmp_path_factory: pytest.TempPathFactory) -> Path:
    return build_library(tmp_path_factory.mktemp("faults"))


async def answer_on_new_connection(port: int) -> str:
    """Send a request on a new connection; return whether it was answered, answered late or reset."""
    sent_at_s = time.monotonic()
    with contextlib.suppress(ConnectionError):
        client = await LoopbackClient.connect(port)
        client.writer.write(request_bytes())
        await client.response()
        client.close()
        return "answered" if time.monotonic() - sent_at_s <= ANSWER_LIMIT_S else "late"
    return "reset"


@async_test
async def test_connections_are_accepted_soon_after_accept_has_failed(tmp_path: Path, library: Path) -> None:
    async with start_peers(respond_with(), accept_watch_without_changes) as (endpoint, discovery):
        config = config_document(discovery.port, endpoint.list_entry())
        faults = fault_variables(library, accept_every=5)
        async with running_service(tmp_path, config, 0, **faults) as process:
            port = await listening_port(process)
            answers = []
            for _ in range(REQUESTS):
                answers.append(asyncio.create_task(answer_on_new_connection(port)))
                await asyncio.sleep(DELAY_BETWEEN_REQUESTS_S)
            counts = Counter(await asyncio.gather(*answers))
            aborted = counts.pop("reset", 0)
            assert counts == {"answered": REQUESTS - aborted}
            # Of five accepts one fails, and of three failures one aborts a connection.
            assert aborted <= REQUESTS / 5


@async_test
async def test_backlog_at_shutdown_is_accepted_although_accept_fails(tmp_path: Path, library: Path) -> None:
    async with start_peers(respond_with(), accept_watch_without_changes) as (endpoint, discovery):
        config = config_document(discovery.port, endpoint.list_entry())
        faults = fault_variables(library, accept_every=4)
        async with running_service(tmp_path, config, 0, **faults) as process:
            port = await listening_port(process)
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.45)  # clients go on opening connections for half a second
            process.send_signal(signal.SIGSTOP)
            answers = [asyncio.create_task(answer_on_new_connection(port)) for _ in range(24)]
            await asyncio.sleep(0.1)
            process.send_signal(signal.SIGCONT)
            counts = Counter(await asyncio.gather(*answers))
            aborted = counts.pop("reset", 0)
            assert counts == {"answered": 24 - aborted}
            assert aborted <= 3  # of 24 to 32 accepts, six to eight fail, and every third of these aborts


@async_test
async def test_socket_that_fails_for_a_moment_does_not_end_the_start(tmp_path: Path, library: Path) -> None:
    async with start_peers(respond_with(), accept_watch_without_changes) as (endpoint, discovery):
        config = config_document(discovery.port, endpoint.list_entry())
        faults = fault_variables(library, socket_failures=3)
        async with running_service(tmp_path, config, 0, **faults) as process:
            assert await answer_on_new_connection(await listening_port(process)) == "answered"
