"""Outlier detection of an endpoint that fails one request class and serves the others."""

from __future__ import annotations

import asyncio

import pytest

from http_gateway.net.http.messages import Message
from tests.support.loopback import (
    LoopbackClient,
    PeerScript,
    async_test,
    endpoint_list,
    never_respond,
    request_bytes,
    respond_with,
    running_gateway,
    start_peers,
)

CLIENT_COUNT = 6
ROUNDS = 40  # In each round every client sends one read and one purchase.
SERVICE_TIME_S = 0.02  # Long enough that a stall of the test's event loop does not look like a late response.
SLOW_SERVICE_TIME_S = 0.1  # About the initial latency estimate of the policy.
DISCONNECT_AFTER_S = 0.17  # Shorter than the time after which an attempt counts as slow.
DISCONNECTING_ROUNDS = 15


def is_purchase(request: Message) -> bool:
    """Return whether a request is a purchase, the class that fails."""
    return request.target.startswith(b"/chapter-buy")


async def serve(request: Message, writer: asyncio.StreamWriter) -> None:
    """Serve every request after the service time."""
    await asyncio.sleep(SERVICE_TIME_S)
    await respond_with()(request, writer)


def fail_every_nth_purchase(every: int, failure: PeerScript) -> PeerScript:
    """Return a script that serves all reads and lets every n-th purchase fail without delay."""
    purchases = 0

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        nonlocal purchases
        purchases += is_purchase(request)
        fails = is_purchase(request) and purchases % every == 0
        await (failure if fails else serve)(request, writer)

    return script


async def never_respond_to_purchases(request: Message, writer: asyncio.StreamWriter) -> None:
    """Serve all reads and never respond to purchases."""
    await asyncio.sleep(SERVICE_TIME_S)
    await (never_respond if is_purchase(request) else respond_with())(request, writer)


async def serve_purchases_slowly(request: Message, writer: asyncio.StreamWriter) -> None:
    """Serve every request; purchases have a longer service time."""
    await asyncio.sleep(SLOW_SERVICE_TIME_S if is_purchase(request) else SERVICE_TIME_S)
    await respond_with()(request, writer)


async def request_until_admitted(client: LoopbackClient, class_name: str) -> None:
    """Repeat a request until it is not shed.

    On a slow machine the breaker of a healthy endpoint may open for a short time.
    """
    while (await client.request(class_name)).status == 503:
        await asyncio.sleep(SERVICE_TIME_S)


async def read_and_purchase(client: LoopbackClient) -> None:
    """Send reads and purchases in turn."""
    for _ in range(ROUNDS):
        await request_until_admitted(client, "page-read")
        await request_until_admitted(client, "chapter-buy")


@pytest.mark.parametrize(
    ("every", "failure"), [(2, respond_with(500)), (2, respond_with(503, X_Not_Run="1"))]
)
@async_test
async def test_endpoint_that_fails_one_class_gets_few_requests_of_it(every: int, failure: PeerScript) -> None:
    """Guards against failures of one class going undetected because other requests succeed in between.

    Every other purchase fails and the reads are served, so the endpoint never has three failures in a row.
    """
    async with (
        start_peers(fail_every_nth_purchase(every, failure), serve) as peers,
        running_gateway(*(peer.endpoint_entry() for peer in peers)) as gateway,
    ):
        clients = [await gateway.connect() for _ in range(CLIENT_COUNT)]
        await asyncio.gather(*map(read_and_purchase, clients))
        purchases = [sum(map(is_purchase, peer.requests)) for peer in peers]
        assert purchases[0] < sum(purchases) / 4
        gateway.dispatcher.update_endpoints(endpoint_list(peers[0].endpoint_entry()))
        # Uses a new connection, because the others may have reached their idle timeout.
        await request_until_admitted(await gateway.connect(), "page-read")
        assert not is_purchase(peers[0].requests[-1])


async def purchase_and_disconnect(client: LoopbackClient, after_s: float) -> None:
    """Send a purchase and disconnect after its response or after the given time."""
    client.writer.write(request_bytes("chapter-buy"))
    try:
        async with asyncio.timeout(after_s):
            await client.response()
    except TimeoutError:
        pass
    finally:
        client.close()


@async_test
async def test_endpoint_unresponsive_to_one_class_is_detected_although_clients_disconnect_first() -> None:
    """Guards against an unresponsive endpoint that attracts requests because clients disconnect early.

    Each disconnect ends an attempt, so the endpoint has few attempts in flight and seems the least busy one.
    """
    async with (
        start_peers(never_respond_to_purchases, serve_purchases_slowly) as peers,
        running_gateway(*(peer.endpoint_entry() for peer in peers)) as gateway,
    ):

        async def purchase_and_read() -> None:
            for _ in range(DISCONNECTING_ROUNDS):
                await purchase_and_disconnect(await gateway.connect(), DISCONNECT_AFTER_S)
                await gateway.request("page-read")

        await asyncio.gather(*(purchase_and_read() for _ in range(CLIENT_COUNT)))
        purchases = sum(map(is_purchase, peers[0].requests))
        assert purchases < 25
        assert len(peers[0].requests) > purchases
