"""Deterministic subsetting: with many gateways, each of them uses only a part of the endpoints."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b
from math import log

from http_gateway.policy.endpoint import EndpointId
from http_gateway.policy.settings import Settings
from http_gateway.policy.tracked_endpoint import TrackedEndpoint

# Minimum number of gateways that each endpoint serves, unless there are fewer gateways. With fewer than twice
# this number of gateways, every gateway uses every endpoint.
GATEWAYS_PER_ENDPOINT = 20
MIN_SUBSET_SIZE = 4  # minimum number of endpoints that a gateway uses, unless there are fewer endpoints

_DIGEST_BYTES = 8
_DIGEST_RANGE = 2 ** (8 * _DIGEST_BYTES)


@dataclass(frozen=True, slots=True)
class Subset:
    """The endpoints of one gateway, divided into its subset and the others."""

    members: list[TrackedEndpoint]  # the gateway's subset; endpoint selection shuffles this list in place
    fallbacks: list[TrackedEndpoint]  # all other endpoints, in the order in which they are tried
    slice_count: int  # all endpoints are cut into this many slices, one of which is the subset


def choose_subset(endpoints: Collection[TrackedEndpoint], settings: Settings) -> Subset:
    """Choose the subset of the endpoints that this gateway normally sends to.

    A subset bounds the connections of an endpoint: connections from each of hundreds of gateways would fill
    its connection table. Consecutive gateways form rounds of `slice_count` gateways. The gateways of one
    round shuffle the endpoints in the same way, and each takes a different slice of equal size. Every
    endpoint therefore serves the same number of gateways, plus or minus one.

    Args:
        endpoints: All ready endpoints.
        settings: The settings of this gateway, with its index and the number of gateways.

    Returns:
        The subset of this gateway, and the remaining endpoints as fallbacks.
    """
    total = len(endpoints)
    slice_count = max(1, min(settings.gateway_count // GATEWAYS_PER_ENDPOINT, total // MIN_SUBSET_SIZE))
    round_number, slice_index = divmod(settings.gateway_index, slice_count)
    round_key = str(round_number)
    shuffled = sorted(endpoints, key=lambda tracked: _hash(round_key, tracked.endpoint.id))
    first, end = slice_index * total // slice_count, (slice_index + 1) * total // slice_count
    return Subset(shuffled[first:end], shuffled[end:] + shuffled[:first], slice_count)


def rank_by_key(
    key: str, endpoints: Iterable[TrackedEndpoint], zone_weights: Mapping[str, float]
) -> list[TrackedEndpoint]:
    """Rank endpoints for a request key by weighted rendezvous hashing.

    Args:
        key: The key of the request.
        endpoints: The endpoints to rank.
        zone_weights: The weight of each zone. Over all keys, an endpoint ranks first in proportion to the
            weight of its zone.

    Returns:
        The endpoints in the order in which they are preferred for the key.
    """

    def score(tracked: TrackedEndpoint) -> float:
        endpoint = tracked.endpoint
        return -log((_hash(key, endpoint.id) + 1) / _DIGEST_RANGE) / zone_weights[endpoint.zone]

    return sorted(endpoints, key=score)


def _hash(key: str, endpoint: EndpointId) -> int:
    """Return a hash that is the same at every gateway, and uniform over keys and endpoints."""
    return int.from_bytes(blake2b(f"{key} {endpoint}".encode(), digest_size=_DIGEST_BYTES).digest(), "big")
