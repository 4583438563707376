"""Tests for the reload of the configuration on SIGHUP."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

import orjson
import pytest

from tests.support.discovery import accept_watch, accept_watch_without_changes, chunk, list_document
from tests.support.loopback import (
    TEST_TIMEOUT_S,
    LoopbackClient,
    async_test,
    respond_with,
    start_peers,
    wait_until,
)
from tests.support.service import (
    INVALID_DISCOVERY_ADDRESSES,
    SETTINGS_DOCUMENT,
    config_document,
    listening_port,
    next_log_line,
    readiness_status,
    running_service,
    write_config,
)


@async_test
async def test_sighup_switches_to_the_discovery_address_of_the_new_file(tmp_path: Path) -> None:
    """The file overrides PROXY_DISCOVERY; the old list is used until the new service sends its own."""
    async with (
        start_peers(
            respond_with(body=b"cached"),
            respond_with(body=b"listed"),
            accept_watch_without_changes,
            accept_watch,
        ) as (cached, listed, old, new),
        running_service(
            tmp_path, config_document(1, cached.list_entry()), PROXY_DISCOVERY=f"127.0.0.1:{old.port}"
        ) as process,
    ):
        client = await LoopbackClient.connect(await listening_port(process))
        await wait_until(lambda: old.requests)
        write_config(tmp_path, config_document(new.port, cached.list_entry(), seed="other"))
        process.send_signal(signal.SIGHUP)
        await wait_until(lambda: new.requests and old.closed_count)
        assert new.requests[0].target.endswith(b"from=0")
        assert (await client.request()).body == b"cached"
        new.writers[-1].write(chunk(list_document(3, listed.list_entry(id="s-9"))))
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while (await client.request()).body != b"listed":
                await asyncio.sleep(0.01)
        process.send_signal(signal.SIGHUP)  # the file has not changed since the last reload
        process.send_signal(signal.SIGTERM)
        await next_log_line(process, "shutdown started")
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
        assert len(new.requests) == 1


@pytest.mark.parametrize(
    "config",
    [
        b"{",
        b"\xff",
        {"listen": "nowhere"},
        None,
        *(config_document(1, discovery=address) for address in INVALID_DISCOVERY_ADDRESSES),
    ],
)
@async_test
async def test_sighup_with_an_invalid_file_changes_nothing(tmp_path: Path, config: object) -> None:
    # Another call follows an unanswered one only after 0.5 s, also on a busy machine.
    settings = {**SETTINGS_DOCUMENT, "invariants": {"stopSendingWithin": 2_500_000}}
    async with (
        start_peers(respond_with(), accept_watch_without_changes) as (endpoint, discovery),
        running_service(
            tmp_path, config_document(discovery.port, endpoint.list_entry(), settings=settings)
        ) as process,
    ):
        client = await LoopbackClient.connect(await listening_port(process))
        await wait_until(lambda: discovery.requests)
        if config is None:
            (tmp_path / "config.json").unlink()
        else:
            write_config(tmp_path, config)
        process.send_signal(signal.SIGHUP)
        await next_log_line(process, "ERROR reload failed reason=")
        assert (await client.request()).status == 200
        assert not discovery.closed_count


@async_test
async def test_sighup_warns_about_changes_that_need_a_restart(tmp_path: Path) -> None:
    async with (
        start_peers(accept_watch_without_changes) as (discovery,),
        running_service(tmp_path, config_document(discovery.port)) as process,
    ):
        await listening_port(process)
        write_config(tmp_path, config_document(discovery.port, limits={"sockets": 512}))
        process.send_signal(signal.SIGHUP)
        assert "need a restart" in await next_log_line(process, " reload ")


@async_test
async def test_sighup_between_reading_the_file_and_installing_the_handler_is_not_lost(tmp_path: Path) -> None:
    """Guards against a lost reload: the file may change after it was read, before the event loop runs."""
    async with start_peers(respond_with(), accept_watch_without_changes, accept_watch_without_changes) as (
        endpoint,
        old,
        new,
    ):
        path = write_config(tmp_path, config_document(old.port, endpoint.list_entry()))
        new_config = config_document(new.port, endpoint.list_entry())
        (tmp_path / "new.json").write_bytes(orjson.dumps(new_config))
        code = """
import os, signal, sys
from http_gateway import service as program

load_config = program.load_config
def load_config_before_sighup(environment):
    config = load_config(environment)
    os.replace(sys.argv[1], environment["PROXY_CONFIG"])
    os.kill(os.getpid(), signal.SIGHUP)
    return config

program.load_config = load_config_before_sighup
sys.exit(program.main())
"""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            code,
            str(tmp_path / "new.json"),
            env={"PROXY_CONFIG": str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        assert await readiness_status(await listening_port(process)) == 200
        assert new.requests
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
