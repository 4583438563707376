"""How long endpoint lists from discovery keep the event loop from running, by the size of the fleet."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice

import orjson

from http_gateway.net.discovery.client import DiscoveryClient
from http_gateway.net.discovery.endpoint_directory import EndpointDirectory
from http_gateway.net.discovery.endpoint_list import EndpointList
from http_gateway.policy.endpoint import Endpoint, EndpointState
from http_gateway.policy.time_units import US_PER_MS
from tests.scale.fleet import SETTINGS, START_US, make_endpoints, rolling_deploy
from tests.support.discovery import WATCH_HEAD, chunk
from tests.support.loopback import RunningGateway, running_gateway

MS_PER_S = 1000.0
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
LAST_REVISION = 1_000_000
WAITING_CHANGES = 2000
_PHASES = {
    EndpointState.READY: "Ready",
    EndpointState.DRAINING: "Terminating",
    EndpointState.REMOVED: "Gone",
}


@dataclass
class LoopUsage:
    """What a list or a series of changes cost, in milliseconds."""

    longest_stop_ms: float = 0.0  # the longest time between two iterations of the event loop
    total_ms: float = 0.0


def _member(endpoint: Endpoint) -> dict[str, object]:
    return {
        "id": f"s-{endpoint.id:08x}",
        "host_port": f"127.{endpoint.id % 200}.{endpoint.id // 200 % 200}.{endpoint.id // 40_000}:9000",
        "locality": endpoint.zone,
        "flavor": endpoint.machine_type,
        "cell": endpoint.deduplication_group,
        "phase": _PHASES[endpoint.state],
        "size": 1.0,
        "up_since_ms": endpoint.started_at_us // US_PER_MS,
    }


def _document(endpoints: tuple[Endpoint, ...], revision: int, is_complete: bool) -> bytes:
    members = [_member(endpoint) for endpoint in endpoints]
    return orjson.dumps({"revision": revision, "complete": is_complete, "members": members}) + b"\n"


def complete_list(count: int) -> bytes:
    """Return the first complete list."""
    return _document(make_endpoints(count), LAST_REVISION, True)


def waiting_changes(count: int) -> bytes:
    """Return the lines of a deploy that have come while the gateway was held up."""
    changes = islice(rolling_deploy(count, START_US, 2500), WAITING_CHANGES)
    lines = [_document((endpoint,), 2, False) for endpoint in changes]
    return b"".join(lines) + _document((), LAST_REVISION, False)


def list_after_a_break(count: int) -> bytes:
    """Return a complete list in which a tenth of the endpoints is gone and as many are new."""
    endpoints = make_endpoints(count + count // 10)
    return _document(endpoints[count // 10 :], LAST_REVISION, True)


def measure(count: int, stream: Callable[[int], bytes], has_list: bool) -> LoopUsage:
    """Send a stream of lists to a gateway and measure the event loop until all are applied.

    Args:
        count: The size of the fleet.
        stream: Returns the stream for this size.
        has_list: Whether the gateway has the complete list already.
    """
    return asyncio.run(_measure(count, stream(count), has_list))


async def _measure(count: int, stream: bytes, has_list: bool) -> LoopUsage:
    async with running_gateway(settings=SETTINGS) as gateway:
        directory = gateway.dispatcher._directory
        directory._max_endpoints = 4 * count
        if has_list:
            await _apply_stream(gateway, directory, complete_list(count))
        return await _apply_stream(gateway, directory, stream)


async def _apply_stream(gateway: RunningGateway, directory: EndpointDirectory, stream: bytes) -> LoopUsage:
    done = asyncio.Event()

    async def apply(endpoint_list: EndpointList) -> None:
        for piece in directory.split(endpoint_list):
            if piece.entries:
                gateway.dispatcher.update_endpoints(piece)
            await asyncio.sleep(0)
        if endpoint_list.revision == LAST_REVISION:
            done.set()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(WATCH_HEAD + chunk(stream))
        await done.wait()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = server.sockets[0].getsockname()
    client = DiscoveryClient(address, 0, apply, SETTINGS, MAX_DOCUMENT_BYTES)
    usage = LoopUsage()
    started_at_s = previous_at_s = time.perf_counter()
    client.start()
    while not done.is_set():
        await asyncio.sleep(0)
        now_s = time.perf_counter()
        usage.longest_stop_ms = max(usage.longest_stop_ms, (now_s - previous_at_s) * MS_PER_S)
        previous_at_s = now_s
    usage.total_ms = (time.perf_counter() - started_at_s) * MS_PER_S
    client.stop()
    server.close()
    return usage


STREAMS: dict[str, tuple[Callable[[int], bytes], bool]] = {
    "complete list at the start": (complete_list, False),
    "complete list after a break": (list_after_a_break, True),
    f"{WAITING_CHANGES:,} changes that wait": (waiting_changes, True),
}
