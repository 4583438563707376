"""Helpers for retry tests: request classes with a deduplication window and a fixed endpoint order."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from http_gateway.net.http.messages import Message
from http_gateway.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings
from http_gateway.policy.time_units import US_PER_MS, US_PER_S
from tests.support.loopback import LoopbackClient, LoopbackPeer, RunningGateway

DEDUPLICATION_WINDOW_US = 300 * US_PER_MS
DEDUPLICATION_WINDOW_S = DEDUPLICATION_WINDOW_US / US_PER_S
GROUP_SCOPE_CLASS = RequestClass(
    "chapter-add",
    400 * US_PER_MS,
    20_000 * US_PER_MS,
    Idempotency.IDEMPOTENCY_KEY,
    DeduplicationScope.GROUP,
    DEDUPLICATION_WINDOW_US,
)
ALL_SCOPE_CLASS = replace(GROUP_SCOPE_CLASS, name="chapter-put", deduplication_scope=DeduplicationScope.ALL)
RETRY_SETTINGS = Settings(
    (GROUP_SCOPE_CLASS, ALL_SCOPE_CLASS), max_attempts=5, hedging_allowed=True, cancellation_allowed=True
)
KEY_HEADERS = {"Idempotency-Key": "5c0f"}


def prefer_endpoints(gateway: RunningGateway, *peers: LoopbackPeer) -> None:
    """Make the policy select endpoints in the given order.

    Each endpoint gets a higher latency ratio than the one before it. The time of the ratio is far in the
    future, so that the ratio does not decay.

    Args:
        gateway: The gateway whose policy is changed.
        peers: The endpoints, the preferred one first.
    """
    order = [peer.endpoint_entry().endpoint.id for peer in peers]
    known = gateway.balancer._endpoints._endpoints

    def candidates(key: str | None) -> Any:
        return iter([known[endpoint_id] for endpoint_id in order if endpoint_id in known])

    gateway.balancer._selector._candidates = candidates  # type: ignore[method-assign]
    for rank, endpoint_id in enumerate(order):
        known[endpoint_id].load.latency_ratio = 1.0 + rank
        known[endpoint_id].load.latency_ratio_at_us = 2**62


async def request_with_key(
    gateway: RunningGateway, request_class: RequestClass
) -> tuple[LoopbackClient, Message]:
    """Send a request with an idempotency key and wait for the response.

    Returns:
        The client, whose connection is still open, and the response.
    """
    client = await gateway.connect()
    return client, await client.request(request_class.name, KEY_HEADERS)
