"""Subsetting: which endpoints a gateway keeps to, where there are many gateways."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b
from math import log

from http_gateway.policy.endpoint import EndpointId
from http_gateway.policy.settings import Settings
from http_gateway.policy.tracked_endpoint import TrackedEndpoint

GATEWAYS_PER_ENDPOINT = 20  # where there are more gateways than that
MIN_SUBSET_SIZE = 4  # endpoints

_DIGEST_BYTES = 8
_DIGEST_RANGE = 2 ** (8 * _DIGEST_BYTES)


@dataclass(frozen=True, slots=True)
class Subset:
    """The endpoints of a gateway."""

    members: list[TrackedEndpoint]  # those it keeps to; endpoint selection shuffles them in place
    fallbacks: list[TrackedEndpoint]  # all others, in the order in which they are tried
    slice_count: int  # one gateway in so many keeps to an endpoint


def choose_subset(endpoints: Collection[TrackedEndpoint], settings: Settings) -> Subset:
    """The part of the endpoints that this gateway keeps to.

    Gateways in turn cut the same shuffled ring into equal slices, so each endpoint serves equally many of
    them: with a connection from each of hundreds of gateways its connection table would be full.
    """
    total = len(endpoints)
    slice_count = max(1, min(settings.gateway_count // GATEWAYS_PER_ENDPOINT, total // MIN_SUBSET_SIZE))
    ring_number, place = divmod(settings.gateway_index, slice_count)
    ring_key = str(ring_number)
    ring = sorted(endpoints, key=lambda tracked: _hash(ring_key, tracked.endpoint.id))
    first, end = place * total // slice_count, (place + 1) * total // slice_count
    return Subset(ring[first:end], ring[end:] + ring[:first], slice_count)


def rank_by_key(
    key: str, endpoints: Iterable[TrackedEndpoint], zone_weights: Mapping[str, float]
) -> list[TrackedEndpoint]:
    """Weighted rendezvous hashing: the endpoints in the order in which they serve a request key.

    Over all keys each endpoint stands first as often as the weight of its zone says.
    """

    def score(tracked: TrackedEndpoint) -> float:
        endpoint = tracked.endpoint
        return -log((_hash(key, endpoint.id) + 1) / _DIGEST_RANGE) / zone_weights[endpoint.zone]

    return sorted(endpoints, key=score)


def _hash(key: str, endpoint: EndpointId) -> int:
    """A number that is the same at every gateway, and evenly spread over keys and endpoints."""
    return int.from_bytes(blake2b(f"{key} {endpoint}".encode(), digest_size=_DIGEST_BYTES).digest(), "big")
