"""The program at its limits: descriptors, large lists, files and lists that are of no use."""

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
from http_gateway.net.discovery import json_stream
from http_gateway.net.http.messages import Message
from tests.integration.test_discovery import HEAD, chunk, list_document
from tests.integration.test_service import (
    SETUP,
    config_document,
    free_port,
    listening_port,
    next_log_line,
    readiness_status,
    running_service,
    write_config,
)
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

DESCRIPTORS = 128
MANY = 1024  # hosts, and gateways


def connect_idle_clients(port: int, count: int) -> list[socket.socket]:
    """So many clients that connect and say nothing."""
    clients = [socket.socket() for _ in range(count)]
    for client in clients:
        client.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            client.connect(("127.0.0.1", port))
    return clients


@pytest.mark.parametrize("told_to_it", [DESCRIPTORS, 1024])
@async_test
async def test_idle_clients_leave_descriptors_for_discovery_and_requests(
    tmp_path: Path, told_to_it: int
) -> None:
    """They fill what there is while discovery is down; the system may allow less than the file says."""
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": told_to_it}

    async def lists(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD + chunk(list_document(40 + len(discovery.requests), host.list_entry())))

    async with (
        start_peers(respond_with(), lists) as (host, discovery),
        running_service(
            tmp_path, config_document(discovery.port, limits=limits), descriptors=DESCRIPTORS
        ) as process,
    ):
        port = await listening_port(process)
        lines = asyncio.create_task(_log(process))
        discovery.stop()
        clients: list[socket.socket] = []
        for _ in range(6):
            clients += connect_idle_clients(port, 2 * DESCRIPTORS)
            await asyncio.sleep(0.1)
        asked = len(discovery.requests)
        await discovery.start()
        await wait_until(lambda: len(discovery.requests) > asked)
        client = await LoopbackClient.connect(port)
        assert (await client.request()).status == 200
        client.close()
        for other in clients:
            other.close()
        process.send_signal(signal.SIGTERM)
        text = await lines
        assert "Traceback" not in text
        assert "out of system resource" not in text


async def _log(process: asyncio.subprocess.Process) -> str:
    assert process.stderr is not None
    return (await process.stderr.read()).decode()


@async_test
async def test_a_restarted_gateway_is_ready_within_ten_seconds_though_the_agent_is_silent(
    tmp_path: Path,
) -> None:
    """With the time that the start itself may take on a busy machine, a second and a half."""
    async with start_peers(respond_with(), never_respond) as (host, discovery):
        began = time.monotonic()
        port = free_port()
        config = config_document(discovery.port, host.list_entry(), listen=f"127.0.0.1:{port}")
        async with running_service(tmp_path, config) as process:
            await next_log_line(process, "listens on")
            assert await readiness_status(port) == 200
            assert time.monotonic() - began < 10
    assert service.FIRST_LIST_TIME <= 8.5


def entries(host: LoopbackPeer, count: int = MANY) -> list[dict[str, Any]]:
    """A host that is there, and many that drain."""
    others = [host.list_entry("Terminating", id=f"s-{number:08x}") for number in range(count - 1)]
    return [host.list_entry(id="s-there"), *others]


@pytest.mark.parametrize("asked", [False, True])
@async_test
async def test_a_list_of_many_hosts_is_taken_at_the_start_changed_and_read_again(
    tmp_path: Path, asked: bool
) -> None:
    written: list[asyncio.StreamWriter] = []
    settings = SETUP | {"balancers": MANY, "rank": 0, "registryMode": "subscribe" if asked else "automatic"}

    async def whole(request: Message, writer: asyncio.StreamWriter) -> None:
        text = list_document(len(discovery.requests) + 41, *entries(host))
        for place in range(0, len(text), 5000):
            writer.write((b"" if place else HEAD) + chunk(text[place : place + 5000]))
            await asyncio.sleep(0)
        written.append(writer)

    async with start_peers(respond_with(body=b"old"), respond_with(body=b"new"), whole, whole) as (
        host,
        fresh,
        discovery,
        other,
    ):
        config = config_document(discovery.port, *entries(host), settings=settings)
        async with running_service(tmp_path, config) as process:
            port = await listening_port(process)
            assert await answer(port) == b"old"
            await wait_until(lambda: written)
            change = [host.list_entry("Terminating", id="s-there"), fresh.list_entry(id="s-fresh")]
            change += [host.list_entry("Gone", id=entry["id"]) for entry in entries(host)[1:]]
            written[0].write(chunk(list_document(60, *change, complete=False)))
            await until_served(port, b"new")
            # The service it moves to has the first list.
            write_config(tmp_path, config_document(other.port, *entries(host), settings=settings))
            process.send_signal(signal.SIGHUP)
            await wait_until(lambda: other.requests)
            await until_served(port, b"old")
            assert other.requests[0].target.endswith(b"from=0")


async def until_served(port: int, body: bytes) -> None:
    async with asyncio.timeout(20):
        while await answer(port) != body:
            await asyncio.sleep(0.02)


async def answer(port: int) -> bytes:
    client = await LoopbackClient.connect(port)
    body = (await client.request()).body
    client.close()
    return body


SPOILT: dict[str, Callable[[bytes], bytes]] = {
    "cut short": lambda text: text[: len(text) // 2],
    "garbled": lambda text: text[:-30] + b"\x00\xff" + text[-28:],
    "no list": lambda text: b'{"revision":50,"complete":true,"members":{"id":"s-1"}}\n',
    "a number beyond all": lambda text: text.replace(b'"cell":0', b'"cell":1e400'),
    "nested without end": lambda text: b"[" * 100_000,
    "too large": lambda text: b'{"revision":50,"complete":true,"members":["' + bytes(5 * 2**20),
}


@pytest.mark.parametrize("spoilt", list(SPOILT))
@async_test
async def test_a_list_of_no_use_leaves_the_last_one_in_force(tmp_path: Path, spoilt: str) -> None:
    """One plain line respond_with so, and the watch begins anew."""

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        if len(discovery.requests) != 2:
            writer.write(HEAD + chunk(list_document(42, host.list_entry())))
            if len(discovery.requests) == 1:
                reset_soon(writer)
            return
        writer.write(HEAD + chunk(SPOILT[spoilt](list_document(50, *entries(host, 20)))) + b"0\r\n\r\n")

    def reset_soon(writer: asyncio.StreamWriter) -> None:
        asyncio.get_running_loop().call_later(0.1, abort_with_reset, writer)

    async with (
        start_peers(respond_with(), script) as (host, discovery),
        running_service(tmp_path, config_document(discovery.port)) as process,
    ):
        port = await listening_port(process)
        log = asyncio.create_task(_log(process))
        await wait_until(lambda: len(discovery.requests) > 2)
        client = await LoopbackClient.connect(port)
        assert (await client.request()).status == 200
        client.close()
        process.send_signal(signal.SIGTERM)
        text = await log
        assert "Traceback" not in text
        assert sum("asking again" in line for line in text.splitlines()) <= 3


@pytest.mark.parametrize(
    "file",
    [
        orjson.dumps(config_document(1))[:-40],
        b"[" * 100_000,
        orjson.dumps(config_document(1, settings=SETUP | {"balancers": 3})).replace(
            b'"balancers":3', b'"balancers":1e400'
        ),
        orjson.dumps(config_document(1)) + b" " * config.MAX_FILE,
    ],
    ids=["cut short", "nested without end", "a number beyond all", "too large"],
)
@async_test
async def test_a_file_of_no_use_leaves_what_is_in_force(tmp_path: Path, file: bytes) -> None:
    """At the start it is one plain line and exit 2, on SIGHUP one plain line."""
    async with running_service(tmp_path, file) as process:
        _, errors = await process.communicate()
        assert process.returncode == 2
        assert errors.startswith(b"http_gateway: ")
        assert errors.count(b"\n") == 1

    async def watch(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD + chunk(list_document(42, host.list_entry())))

    async with (
        start_peers(respond_with(), watch) as (host, discovery),
        running_service(tmp_path, config_document(discovery.port)) as process,
    ):
        port = await listening_port(process)
        write_config(tmp_path, file)
        process.send_signal(signal.SIGHUP)
        await next_log_line(process, "ERROR reload: ")
        log = asyncio.create_task(_log(process))
        client = await LoopbackClient.connect(port)
        client.writer.write(request_bytes())
        assert (await client.response()).status == 200
        client.close()
        process.send_signal(signal.SIGTERM)
        assert "Traceback" not in await log


def test_lists_of_more_than_a_thousand_hosts_fit() -> None:
    """With addresses and names as long as they come: a quarter of the limit at most."""
    peer = LoopbackPeer(never_respond, port=65535)
    entry = peer.list_entry(id="s-" + "0" * 60, locality="z" * 60, machine_type="f" * 60)
    assert 4 * len(list_document(1, *[entry] * MANY)) < 2 * json_stream.MAX_DOCUMENT_BYTES
    assert len(list_document(1, *[entry] * MANY)) < config.MAX_FILE / 4
