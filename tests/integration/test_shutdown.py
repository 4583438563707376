"""Tests of graceful shutdown and of the exit code of the program."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
import time
from pathlib import Path

import pytest

from tests.support.discovery import accept_watch_without_changes
from tests.support.loopback import (
    TEST_TIMEOUT_S,
    LoopbackClient,
    async_test,
    never_respond,
    request_and_never_read,
    request_bytes,
    respond_with,
    start_peers,
    wait_until,
)
from tests.support.service import (
    SETTINGS_DOCUMENT,
    config_document,
    listening_port,
    readiness_status,
    running_service,
    write_config,
)


@async_test
async def test_sigterm_answers_requests_in_flight_and_exits_0(tmp_path: Path) -> None:
    async with (
        start_peers(never_respond, accept_watch_without_changes) as (endpoint, discovery),
        running_service(tmp_path, config_document(discovery.port, endpoint.list_entry())) as process,
    ):
        port = await listening_port(process)
        assert await readiness_status(port) == 200
        waiting_client, idle_client = await LoopbackClient.connect(port), await LoopbackClient.connect(port)
        idle_client.writer.write(b"GET /up HTTP/1.1\r\n\r\n")
        await idle_client.response()
        waiting_client.writer.write(request_bytes("chapter-buy", {"X-Deadline": ""}))
        await wait_until(lambda: endpoint.requests)
        process.send_signal(signal.SIGTERM)
        signalled_at_s = time.monotonic()
        while await readiness_status(port) == 200:  # new connections are still accepted
            await asyncio.sleep(0.01)
        with contextlib.suppress(ConnectionError):
            while await readiness_status(port):
                await asyncio.sleep(0.01)
        assert time.monotonic() - signalled_at_s >= 0.4
        assert await idle_client.read_until_closed() == b""  # closed because it is between requests
        await respond_with(body=b"bought")(endpoint.requests[0], endpoint.request_writers[0])
        response = await waiting_client.response()
        assert (response.status, response.body, response.keep_alive) == (200, b"bought", False)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert await process.wait() == 0
        with pytest.raises(ConnectionError):
            await LoopbackClient.connect(port)


@async_test
async def test_client_that_reads_nothing_does_not_delay_the_exit(tmp_path: Path) -> None:
    settings = SETTINGS_DOCUMENT | {"classes": [SETTINGS_DOCUMENT["classes"][0]]}
    async with (
        start_peers(respond_with(body=bytes(60_000)), accept_watch_without_changes) as (endpoint, discovery),
        running_service(
            tmp_path, config_document(discovery.port, endpoint.list_entry(), settings=settings)
        ) as process,
    ):
        client = await LoopbackClient.connect(await listening_port(process))
        await request_and_never_read(client, endpoint)
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert await process.wait() == 0


@async_test
async def test_signals_after_the_end_of_the_loop_do_not_change_the_exit_code(tmp_path: Path) -> None:
    """Signals that arrive after the event loop has ended must not change the exit code.

    The loop has removed its handlers by then, and the default action would end the process as if it had
    crashed.
    """
    code = """
import os, signal, sys
from http_gateway import service as program

async def serve(config, early_sighups):
    pass

program.serve = serve
status = program.main()
for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
    os.kill(os.getpid(), number)
sys.exit(status)
"""
    path = write_config(tmp_path, config_document(1))
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", code, env={"PROXY_CONFIG": str(path)}
    )
    assert await process.wait() == 0


@async_test
async def test_request_after_sigterm_is_answered_before_the_earliest_sigkill(tmp_path: Path) -> None:
    """SIGKILL may come 0.7 s and the longest timeout after SIGTERM, but a timeout counts as 3 s at most."""
    async with (
        start_peers(never_respond, accept_watch_without_changes) as (endpoint, discovery),
        running_service(tmp_path, config_document(discovery.port, endpoint.list_entry())) as process,
    ):
        client = await LoopbackClient.connect(await listening_port(process))
        client.writer.write(request_bytes("chapter-buy", {"X-Deadline": "1.5"}))
        await wait_until(lambda: endpoint.requests)
        process.send_signal(signal.SIGTERM)
        signalled_at_s = time.monotonic()
        await asyncio.sleep(1.0)
        client.writer.write(
            request_bytes("chapter-buy", {"X-Deadline": "20"})
        )  # the connection is still open
        assert (await client.response()).status == 502
        assert (await client.response()).status == 502
        assert time.monotonic() - signalled_at_s <= 3.7
