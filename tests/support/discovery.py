"""Response scripts of a discovery service, and discovery clients that watch one."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import replace

import orjson

from http_gateway.net.discovery.client import DiscoveryClient
from http_gateway.net.discovery.endpoint_list import EndpointList
from http_gateway.net.http.messages import Message
from http_gateway.net.memory.plan import MAX_DOCUMENT_BYTES
from http_gateway.policy.settings import Settings
from http_gateway.policy.time_units import US_PER_MS
from tests.support.loopback import SETTINGS, LoopbackPeer

WATCH_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
REJECTION = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
PUSHED_SETTINGS = replace(SETTINGS, gateway_count=200, drain_grace_us=250 * US_PER_MS)


def polled_settings(gateway_count: int, gateway_index: int = 0) -> Settings:
    """Settings with a polled discovery service that all gateways share."""
    return replace(
        SETTINGS, gateway_count=gateway_count, gateway_index=gateway_index, discovery_is_polled=True
    )


def chunk(content: bytes) -> bytes:
    """Encode content as one chunk of a response with chunked transfer coding."""
    return b"%x\r\n%s\r\n" % (len(content), content)


def list_document(revision: int, *members: dict[str, object], complete: bool = True) -> bytes:
    """Encode an endpoint list in the format of the discovery service."""
    return orjson.dumps({"revision": revision, "complete": complete, "members": members}) + b"\n"


async def send(writer: asyncio.StreamWriter, content: bytes) -> None:
    """Send bytes, then yield to the event loop so that the receiver can read them."""
    writer.write(content)
    await writer.drain()
    await asyncio.sleep(0)


async def accept_watch(request: Message, writer: asyncio.StreamWriter) -> None:
    """Accept a watch and send no list."""
    writer.write(WATCH_HEAD)


async def accept_watch_without_changes(request: Message, writer: asyncio.StreamWriter) -> None:
    """Accept a watch and send a list without changes, as a local agent does when nothing has changed."""
    writer.write(WATCH_HEAD + chunk(list_document(41, complete=False)))


def append_to(
    lists: list[EndpointList], delay_s: float | None = None
) -> Callable[[EndpointList], Awaitable[None]]:
    """Return a callback of a discovery client that only records the lists, each after a delay."""

    async def append(endpoint_list: EndpointList) -> None:
        if delay_s is not None:
            await asyncio.sleep(delay_s)
        lists.append(endpoint_list)

    return append


@asynccontextmanager
async def running_client(
    service: LoopbackPeer, revision: int = 0, settings: Settings = SETTINGS, list_delay_s: float | None = None
) -> AsyncIterator[tuple[DiscoveryClient, list[EndpointList]]]:
    """Run a client of a service; yields the client and the lists that it has received so far.

    Args:
        service: The discovery service.
        revision: The revision from which the first watch resumes.
        settings: The settings of the gateway.
        list_delay_s: The time that the application of each list takes; None returns without a pause.
    """
    lists: list[EndpointList] = []
    client = DiscoveryClient(
        ("127.0.0.1", service.port), revision, append_to(lists, list_delay_s), settings, MAX_DOCUMENT_BYTES
    )
    client.start()
    try:
        yield client, lists
    finally:
        client.stop()


@asynccontextmanager
async def received_lists(
    service: LoopbackPeer, revision: int = 0, settings: Settings = SETTINGS
) -> AsyncIterator[list[EndpointList]]:
    """Run a client of a service; yields the lists that it has received so far."""
    async with running_client(service, revision, settings) as (_, lists):
        yield lists
