"""The gateway stays under its memory limit whatever its peers send, and serves sound clients meanwhile."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import orjson
import pytest

from http_gateway.net.http.messages import Message
from tests.support import crowd
from tests.support.crowd import ClientScript, SoundClients
from tests.support.discovery import WATCH_HEAD, chunk, list_document
from tests.support.loopback import (
    LoopbackPeer,
    PeerScript,
    async_test,
    respond_with,
    start_peers,
    wait_until,
)
from tests.support.process_memory import BYTES_PER_MB, open_descriptors, peak_resident_bytes
from tests.support.service import (
    LEAST_LIMITS,
    LEAST_MEMORY_MB,
    config_document,
    listening_port,
    readiness_status,
    running_service,
    write_config,
)

MAX_DESCRIPTORS = 1024
ENDPOINT_COUNT = 13
MANY_ENDPOINTS = 60  # each gets some eight attempts at once at first
CROWD_SIZE = 400
PART_OF_CROWD = 64  # clients of each kind, if there are several kinds
SOUND_CLIENTS = 40
LARGE_SOUND_CLIENTS = 10  # with large requests
SOUND_INTERVAL_S = 0.4
DURATION_S = 4.0
PIECE_INTERVAL_S = 0.05
SIGNAL_INTERVAL_S = 0.001
MIN_SERVED_SHARE = 0.9
HALF = 0.5  # the share that the operators' gate wants on any day
LATENCY_OBJECTIVE_S = 0.4  # of the request classes in the settings


@asynccontextmanager
async def running_limited_service(
    folder: Path, script: PeerScript, endpoint_count: int = ENDPOINT_COUNT
) -> AsyncIterator[tuple[int, asyncio.subprocess.Process]]:
    """Run endpoints and a gateway with the least memory; yields its port and its process."""

    async def send_list(request: Message, writer: asyncio.StreamWriter) -> None:
        entries = [endpoint.list_entry() for endpoint in endpoints]
        writer.write(WATCH_HEAD + chunk(list_document(42, *entries)))

    async with start_peers(*[script] * endpoint_count, send_list) as peers:
        endpoints: list[LoopbackPeer] = peers[:-1]
        document = config_document(peers[-1].port, limits=LEAST_LIMITS)
        async with running_service(folder, document, MAX_DESCRIPTORS) as process:
            yield await listening_port(process), process


CROWDS: dict[str, tuple[ClientScript, PeerScript]] = {
    "short fields": (crowd.send_short_fields, respond_with()),
    "half a body": (crowd.stop_half_way, respond_with()),
    "slow bodies": (crowd.write_slowly, respond_with()),
    "unread responses": (crowd.leave_responses_unread, respond_with(body=bytes(60_000))),
    "single-byte chunks": (crowd.send_single_byte_chunks, respond_with()),
    "tiny requests": (crowd.send_tiny_requests, respond_with()),
}


@pytest.mark.parametrize("name", CROWDS)
@async_test
async def test_process_over_its_memory_limit_under_a_crowd(tmp_path: Path, name: str) -> None:
    """Guards against the incident of 2026-12-05, in which crowds took the process over its limit."""
    client_script, endpoint_script = CROWDS[name]
    async with running_limited_service(tmp_path, endpoint_script) as (port, process):
        sound = SoundClients(port)
        async with crowd.crowd(port, CROWD_SIZE, client_script):
            await sound.run(SOUND_CLIENTS, DURATION_S, SOUND_INTERVAL_S)
            descriptors = open_descriptors(process.pid)
        peak = peak_resident_bytes(process.pid)
        print(f"{name}: peak {peak / BYTES_PER_MB:.1f} MB, descriptors {descriptors}")
        print(f"sound clients: {dict(sound.statuses)}, worst latency {sound.worst_latency_s:.3f} s")
        assert process.returncode is None
        assert peak < LEAST_MEMORY_MB * BYTES_PER_MB
        assert descriptors < MAX_DESCRIPTORS
        assert sound.served_share >= MIN_SERVED_SHARE


@pytest.mark.parametrize("name", ["half a body", "slow bodies", "short fields"])
@async_test
async def test_crowd_shuts_out_sound_clients_with_large_requests(tmp_path: Path, name: str) -> None:
    """Guards against incomplete requests that leave no memory for complete ones with a large body."""
    client_script, endpoint_script = CROWDS[name]
    async with running_limited_service(tmp_path, endpoint_script) as (port, process):
        sound = SoundClients(port, bytes(crowd.LARGE_BODY_BYTES))
        async with crowd.crowd(port, CROWD_SIZE, client_script):
            await sound.run(LARGE_SOUND_CLIENTS, DURATION_S, SOUND_INTERVAL_S)
        peak = peak_resident_bytes(process.pid)
        print(f"{name}, large requests: peak {peak / BYTES_PER_MB:.1f} MB, {dict(sound.statuses)}")
        assert peak < LEAST_MEMORY_MB * BYTES_PER_MB
        assert sound.served_share >= HALF


FULL_SPEED_SCRIPTS: dict[str, ClientScript] = {
    "valid requests": crowd.send_valid_requests,
    "health checks": crowd.send_up_checks,
    "unknown classes": crowd.send_unknown_classes,
    "tiny requests": crowd.send_tiny_requests,
    "single-byte chunks": crowd.send_single_byte_chunks,
}


@pytest.mark.parametrize("name", FULL_SPEED_SCRIPTS)
@async_test
async def test_client_at_full_speed_delays_other_clients(tmp_path: Path, name: str) -> None:
    """Guards against one client that sends small or unsound requests, also under ever new names."""
    async with running_limited_service(tmp_path, respond_with()) as (port, process):
        sound = SoundClients(port)
        async with crowd.crowd(port, 1, FULL_SPEED_SCRIPTS[name]):
            await sound.run(SOUND_CLIENTS, DURATION_S, SOUND_INTERVAL_S)
        peak = peak_resident_bytes(process.pid)
        print(f"{name}: peak {peak / BYTES_PER_MB:.1f} MB, worst latency {sound.worst_latency_s:.3f} s")
        assert peak < LEAST_MEMORY_MB * BYTES_PER_MB
        assert sound.served_share >= MIN_SERVED_SHARE
        assert sound.worst_latency_s < LATENCY_OBJECTIVE_S


ALL_CLIENT_SCRIPTS: list[ClientScript] = [
    crowd.send_short_fields,
    crowd.stop_half_way,
    crowd.write_slowly,
    crowd.leave_responses_unread,
    crowd.wait_for_response,
    crowd.send_large_requests,
    crowd.send_tiny_requests,
]
SPOILT_RESPONSES: dict[str, bytes] = {
    "short fields": b"HTTP/1.1 200 OK\r\n" + b"ab: c\r\n" * 2000,
    "half a body": b"HTTP/1.1 200 OK\r\nContent-Length: 64000\r\n\r\n" + bytes(60_000),
    "small chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\na\r\n" * 10_000,
}


@pytest.mark.parametrize("name", SPOILT_RESPONSES)
@async_test
async def test_process_over_its_memory_limit_under_spoilt_responses(tmp_path: Path, name: str) -> None:
    """Guards against responses that do not end, while hundreds of clients wait for them."""
    is_spoilt = True

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(SPOILT_RESPONSES[name] if is_spoilt else b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    async with running_limited_service(tmp_path, script, MANY_ENDPOINTS) as (port, process):
        async with crowd.crowd(port, CROWD_SIZE, crowd.wait_for_response):
            await asyncio.sleep(DURATION_S)
        is_spoilt = False
        sound = SoundClients(port)
        await sound.run(SOUND_CLIENTS, DURATION_S, SOUND_INTERVAL_S)
        peak = peak_resident_bytes(process.pid)
        print(f"{name}: peak {peak / BYTES_PER_MB:.1f} MB, sound clients: {dict(sound.statuses)}")
        assert process.returncode is None
        assert peak < LEAST_MEMORY_MB * BYTES_PER_MB
        assert sound.statuses[200] > 0


@async_test
async def test_process_over_its_memory_limit_under_everything_at_once(tmp_path: Path) -> None:
    """Guards against limits that are kept one by one, but not together.

    Eleven endpoints are sound, and the others send half of a response. Discovery adds endpoints that do not
    accept connections.
    """
    names = itertools.count()

    async def sound_script(request: Message, writer: asyncio.StreamWriter) -> None:
        await respond_with(body=bytes(30_000 if request.method == b"GET" else 10))(request, writer)

    async def spoilt_script(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(SPOILT_RESPONSES["half a body"])

    async def send_lists(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(
            WATCH_HEAD + chunk(list_document(42, *(endpoint.list_entry() for endpoint in endpoints)))
        )
        for revision in itertools.count(43):
            entries = [
                endpoints[0].list_entry("Terminating", id=f"s-{number:08x}")
                for number in itertools.islice(names, 500)
            ]
            writer.write(chunk(list_document(revision, *entries, complete=False)))
            await asyncio.sleep(1.0)

    scripts = [sound_script] * 11 + [spoilt_script] * 2
    async with start_peers(*scripts, send_lists) as peers:
        endpoints = peers[:-1]
        document = config_document(peers[-1].port, limits=LEAST_LIMITS)
        async with running_service(tmp_path, document, MAX_DESCRIPTORS) as process:
            port = await listening_port(process)
            sound = SoundClients(port)
            async with contextlib.AsyncExitStack() as crowds:
                for script in ALL_CLIENT_SCRIPTS:
                    await crowds.enter_async_context(crowd.crowd(port, PART_OF_CROWD, script))
                await sound.run(SOUND_CLIENTS, 2 * DURATION_S, SOUND_INTERVAL_S)
            peak = peak_resident_bytes(process.pid)
            print(f"everything: peak {peak / BYTES_PER_MB:.1f} MB, {dict(sound.statuses)}")
            assert process.returncode is None
            assert peak < LEAST_MEMORY_MB * BYTES_PER_MB
            assert sound.served_share >= HALF


@async_test
async def test_process_over_its_memory_limit_under_long_lists(tmp_path: Path) -> None:
    """Guards against discovery that sends a long list, or endpoints under ever new names."""
    names = itertools.count()

    def new_entries(count: int) -> list[dict[str, object]]:
        return [
            endpoint.list_entry(id=f"s-{number:08x}", host_port=f"127.0.0.1:{20_000 + number % 40_000}")
            for number in itertools.islice(names, count)
        ]

    async def send_lists(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(WATCH_HEAD + chunk(list_document(42, endpoint.list_entry())))
        if len(discovery.requests) % 10:
            writer.write(chunk(list_document(43, *new_entries(20_000))))
            return
        for revision in range(43, 60):
            writer.write(chunk(list_document(revision, *new_entries(500), complete=False)))
            await asyncio.sleep(PIECE_INTERVAL_S)

    async with (
        start_peers(respond_with(), send_lists) as (endpoint, discovery),
        running_service(
            tmp_path, config_document(discovery.port, limits=LEAST_LIMITS), MAX_DESCRIPTORS
        ) as process,
    ):
        port = await listening_port(process)
        await wait_until(lambda: len(discovery.requests) > 30)
        peak = peak_resident_bytes(process.pid)
        print(f"lists: peak {peak / BYTES_PER_MB:.1f} MB")
        assert peak < LEAST_MEMORY_MB * BYTES_PER_MB
        assert await readiness_status(port) == 200


@async_test
async def test_signals_in_series_delay_clients_or_take_memory(tmp_path: Path) -> None:
    """Guards against reloads that come faster than the file can be read, and a file that has grown."""
    async with running_limited_service(tmp_path, respond_with()) as (port, process):
        document = orjson.loads((tmp_path / "config.json").read_bytes())
        write_config(tmp_path, document | {"comment": "x" * 10 * BYTES_PER_MB})
        sound = SoundClients(port)
        clients = asyncio.create_task(sound.run(SOUND_CLIENTS, DURATION_S, SOUND_INTERVAL_S))
        while not clients.done():
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(SIGNAL_INTERVAL_S)
        await clients
        peak = peak_resident_bytes(process.pid)
        print(f"signals: peak {peak / BYTES_PER_MB:.1f} MB, worst latency {sound.worst_latency_s:.3f} s")
        assert process.returncode is None
        assert peak < LEAST_MEMORY_MB * BYTES_PER_MB
        assert sound.served_share >= MIN_SERVED_SHARE
        assert sound.worst_latency_s < LATENCY_OBJECTIVE_S


@async_test
async def test_process_maps_openssl_that_it_does_not_use(tmp_path: Path) -> None:
    """Guards against 5 MB of libraries that an import brings along."""
    async with running_limited_service(tmp_path, respond_with()) as (_, process):
        mapped = Path(f"/proc/{process.pid}/maps").read_text()
    assert "libssl" not in mapped
    assert "libcrypto" not in mapped
