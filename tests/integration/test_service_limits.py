"""Tests for the limits of the gateway process: descriptors, large lists, malformed files and lists."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson
import pytest

from http_gateway import service
from http_gateway.net import config
from http_gateway.net.http.messages import Message
from http_gateway.net.memory import plan
from tests.support.discovery import WATCH_HEAD, chunk, list_document
from tests.support.loopback import (
    LoopbackClient,
    LoopbackPeer,
    abort_with_reset,
    async_test,
    never_respond,
    request_bytes,
    respond_with,
    start_peers,
    wait_until,
)
from tests.support.service import (
    SETTINGS_DOCUMENT,
    config_document,
    free_port,
    listening_port,
    next_log_line,
    readiness_status,
    remaining_log,
    response_body,
    running_service,
    write_config,
)

MAX_DESCRIPTORS = 128
LARGE_COUNT = 1024  # number of endpoints and of gateways


def connect_idle_clients(port: int, count: int) -> list[socket.socket]:
    """Connect `count` clients that send nothing."""
    clients = [socket.socket() for _ in range(count)]
    for client in clients:
        client.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            client.connect(("127.0.0.1", port))
    return clients


@pytest.mark.parametrize("configured", [MAX_DESCRIPTORS, 1024])
@async_test
async def test_idle_clients_leave_descriptors_for_discovery_and_requests(
    tmp_path: Path, configured: int
) -> None:
    """Guards against idle clients that take all file descriptors while discovery is down.

    The limit of the system may be lower than the configured limit.
    """
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": configured}

    async def send_list(request: Message, writer: asyncio.StreamWriter) -> None:
        document = list_document(40 + len(discovery.requests), endpoint.list_entry())
        writer.write(WATCH_HEAD + chunk(document))

    async with (
        start_peers(respond_with(), send_list) as (endpoint, discovery),
        running_service(
            tmp_path, config_document(discovery.port, limits=limits), max_descriptors=MAX_DESCRIPTORS
        ) as process,
    ):
        port = await listening_port(process)
        log = asyncio.create_task(remaining_log(process))
        discovery.stop()
        idle_clients: list[socket.socket] = []
        for _ in range(6):
            idle_clients += connect_idle_clients(port, 2 * MAX_DESCRIPTORS)
            await asyncio.sleep(0.1)
        request_count = len(discovery.requests)
        await discovery.start()
        await wait_until(lambda: len(discovery.requests) > request_count)
        client = await LoopbackClient.connect(port)
        assert (await client.request()).status == 200
        client.close()
        for idle_client in idle_clients:
            idle_client.close()
        process.send_signal(signal.SIGTERM)
        text = await log
        assert "Traceback" not in text
        assert "out of system resource" not in text


@async_test
async def test_gateway_is_ready_within_ten_seconds_if_the_agent_does_not_respond(tmp_path: Path) -> None:
    """Startup alone may take 1.5 s on a busy machine, which leaves 8.5 s to wait for discovery."""
    async with start_peers(respond_with(), never_respond) as (endpoint, discovery):
        started_at_s = time.monotonic()
        port = free_port()
        document = config_document(discovery.port, endpoint.list_entry(), listen=f"127.0.0.1:{port}")
        async with running_service(tmp_path, document) as process:
            await next_log_line(process, "listening name=")
            assert await readiness_status(port) == 200
            assert time.monotonic() - started_at_s < 10
    assert service.FIRST_LIST_TIMEOUT_S <= 8.5


def many_entries(endpoint: LoopbackPeer, count: int = LARGE_COUNT) -> list[dict[str, Any]]:
    """Return list entries for one ready endpoint and `count - 1` draining endpoints."""
    draining = [endpoint.list_entry("Terminating", id=f"s-{number:08x}") for number in range(count - 1)]
    return [endpoint.list_entry(id="s-ready"), *draining]


@pytest.mark.parametrize("is_polled", [False, True])
@async_test
async def test_large_list_is_accepted_from_the_cache_as_an_update_and_after_a_switch(
    tmp_path: Path, is_polled: bool
) -> None:
    watch_writers: list[asyncio.StreamWriter] = []
    mode = "subscribe" if is_polled else "automatic"
    settings = SETTINGS_DOCUMENT | {"balancers": LARGE_COUNT, "rank": 0, "registryMode": mode}

    async def send_in_pieces(request: Message, writer: asyncio.StreamWriter) -> None:
        document = list_document(len(discovery.requests) + 41, *many_entries(endpoint))
        for start in range(0, len(document), 5000):
            writer.write((b"" if start else WATCH_HEAD) + chunk(document[start : start + 5000]))
            await asyncio.sleep(0)
        watch_writers.append(writer)

    async with start_peers(
        respond_with(body=b"old"), respond_with(body=b"new"), send_in_pieces, send_in_pieces
    ) as (endpoint, added, discovery, other_discovery):
        document = config_document(discovery.port, *many_entries(endpoint), settings=settings)
        async with running_service(tmp_path, document) as process:
            port = await listening_port(process)
            assert await response_body(port) == b"old"
            await wait_until(lambda: watch_writers)
            changes = [endpoint.list_entry("Terminating", id="s-ready"), added.list_entry(id="s-added")]
            changes += [endpoint.list_entry("Gone", id=entry["id"]) for entry in many_entries(endpoint)[1:]]
            watch_writers[0].write(chunk(list_document(60, *changes, complete=False)))
            await wait_for_body(port, b"new")
            # The other service still sends the original list, in which `s-ready` is ready.
            document = config_document(other_discovery.port, *many_entries(endpoint), settings=settings)
            write_config(tmp_path, document)
            process.send_signal(signal.SIGHUP)
            await wait_until(lambda: other_discovery.requests)
            await wait_for_body(port, b"old")
            assert other_discovery.requests[0].target.endswith(b"from=0")


async def wait_for_body(port: int, body: bytes) -> None:
    """Send requests until a response has the given body."""
    async with asyncio.timeout(20):
        while await response_body(port) != body:
            await asyncio.sleep(0.02)


MALFORMATIONS: dict[str, Callable[[bytes], bytes]] = {
    "truncated": lambda document: document[: len(document) // 2],
    "garbled": lambda document: document[:-30] + b"\x00\xff" + document[-28:],
    "not a list": lambda document: b'{"revision":50,"complete":true,"members":{"id":"s-1"}}\n',
    "number out of range": lambda document: document.replace(b'"cell":0', b'"cell":1e400'),
    "unclosed nesting": lambda document: b"[" * 100_000,
    "too large": lambda document: b'{"revision":50,"complete":true,"members":["' + bytes(5 * 2**20),
}


@pytest.mark.parametrize("malformation", list(MALFORMATIONS))
@async_test
async def test_malformed_list_leaves_the_current_list_in_use(tmp_path: Path, malformation: str) -> None:
    """A malformed list is logged in one line without a traceback, and the watch is reopened."""

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        if len(discovery.requests) != 2:
            writer.write(WATCH_HEAD + chunk(list_document(42, endpoint.list_entry())))
            if len(discovery.requests) == 1:
                reset_soon(writer)
            return
        document = list_document(50, *many_entries(endpoint, 20))
        writer.write(WATCH_HEAD + chunk(MALFORMATIONS[malformation](document)) + b"0\r\n\r\n")

    def reset_soon(writer: asyncio.StreamWriter) -> None:
        asyncio.get_running_loop().call_later(0.1, abort_with_reset, writer)

    async with (
        start_peers(respond_with(), script) as (endpoint, discovery),
        running_service(tmp_path, config_document(discovery.port)) as process,
    ):
        port = await listening_port(process)
        log = asyncio.create_task(remaining_log(process))
        await wait_until(lambda: len(discovery.requests) > 2)
        client = await LoopbackClient.connect(port)
        assert (await client.request()).status == 200
        client.close()
        process.send_signal(signal.SIGTERM)
        text = await log
        assert "Traceback" not in text
        assert sum(" discovery " in line for line in text.splitlines()) <= 3


@pytest.mark.parametrize(
    "file",
    [
        orjson.dumps(config_document(1))[:-40],
        b"[" * 100_000,
        orjson.dumps(config_document(1, settings=SETTINGS_DOCUMENT | {"balancers": 3})).replace(
            b'"balancers":3', b'"balancers":1e400'
        ),
        orjson.dumps(config_document(1)) + b" " * config.MAX_FILE_BYTES,
    ],
    ids=["truncated", "unclosed nesting", "number out of range", "too large"],
)
@async_test
async def test_malformed_file_leaves_the_current_configuration_in_use(tmp_path: Path, file: bytes) -> None:
    """At startup a malformed file causes one error line and exit code 2, and on SIGHUP one log line."""
    async with running_service(tmp_path, file) as process:
        _, errors = await process.communicate()
        assert process.returncode == 2
        assert errors.startswith(b"http_gateway: ")
        assert errors.count(b"\n") == 1

    async def send_list(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(WATCH_HEAD + chunk(list_document(42, endpoint.list_entry())))

    async with (
        start_peers(respond_with(), send_list) as (endpoint, discovery),
        running_service(tmp_path, config_document(discovery.port)) as process,
    ):
        port = await listening_port(process)
        write_config(tmp_path, file)
        process.send_signal(signal.SIGHUP)
        await next_log_line(process, "ERROR reload failed reason=")
        log = asyncio.create_task(remaining_log(process))
        client = await LoopbackClient.connect(port)
        client.writer.write(request_bytes())
        assert (await client.response()).status == 200
        client.close()
        process.send_signal(signal.SIGTERM)
        assert "Traceback" not in await log


def test_lists_of_more_than_a_thousand_endpoints_fit() -> None:
    """With the longest addresses and names, a list takes less than half the document limit.

    It also takes less than a quarter of the limit for the configuration file.
    """
    peer = LoopbackPeer(never_respond, port=65535)
    entry = peer.list_entry(id="s-" + "0" * 60, locality="z" * 60, machine_type="f" * 60)
    assert 4 * len(list_document(1, *[entry] * LARGE_COUNT)) < 2 * plan.MAX_DOCUMENT_BYTES
    assert len(list_document(1, *[entry] * LARGE_COUNT)) < config.MAX_FILE_BYTES / 4
