"""Deterministic subsetting: with many gateways, each of them uses only a part of the endpoints."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Collection, Iterable, Iterator, Mapping
from hashlib import blake2b
from math import log

from http_gateway.policy.endpoint import EndpointId
from http_gateway.policy.settings import Settings
from http_gateway.policy.tracked_endpoint import SubsetKey, TrackedEndpoint

# Minimum number of gateways that each endpoint serves, unless there are fewer gateways. With fewer than twice
# this number of gateways, every gateway uses every endpoint.
GATEWAYS_PER_ENDPOINT = 20
MIN_SUBSET_SIZE = 4  # minimum number of endpoints that a gateway uses, unless there are fewer endpoints
# Sorting all endpoints again is faster than inserting more than this fraction of them one by one.
MAX_INSERTED_FRACTION = 1 / 16

_DIGEST_BYTES = 8
_DIGEST_RANGE = 2 ** (8 * _DIGEST_BYTES)
_LAST_KEY: SubsetKey = (_DIGEST_RANGE, 0)  # behind the keys of all endpoints


class Subset:
    """The endpoints that one gateway normally sends to, as a part of all ready endpoints.

    A subset bounds the connections of an endpoint: connections from each of hundreds of gateways would fill
    its connection table. Consecutive gateways form rounds of `slice_count` gateways. The gateways of one
    round put the endpoints in the same order, by a hash, and each takes a different slice of equal size.
    Every endpoint therefore serves the same number of gateways, plus or minus one.

    The order is kept in sorted lists. A change is inserted by bisection, which moves the references behind
    it within memory; with 23,000 endpoints these are at most 368 KB.

    Args:
        settings: The settings of this gateway, with its index and the number of gateways.
        endpoints: All ready endpoints; the caller changes this mapping and then calls `update`.
    """

    def __init__(self, settings: Settings, endpoints: Mapping[EndpointId, TrackedEndpoint]) -> None:
        self._endpoints = endpoints
        self._gateway_index = settings.gateway_index
        self._max_slice_count = max(1, settings.gateway_count // GATEWAYS_PER_ENDPOINT)
        self._keys: list[SubsetKey] = []  # in ascending order
        self._ordered: list[TrackedEndpoint] = []  # the endpoints of these keys
        self._ordered_in_round: int | None = None  # None while the order has to be made again
        self._members: list[TrackedEndpoint] | None = None  # None until they are needed after a change
        self._key_range: tuple[SubsetKey, SubsetKey] | None = None  # None until it is needed after a change

    @property
    def slice_count(self) -> int:
        """The number of slices into which the endpoints are cut; one of them is the subset."""
        return max(1, min(self._max_slice_count, len(self._endpoints) // MIN_SUBSET_SIZE))

    @property
    def members(self) -> list[TrackedEndpoint]:
        """The endpoints of the subset.

        Endpoint selection shuffles this list in place. It starts again in the order of the hash after each
        change of the endpoints and after `restart_shuffle`.
        """
        if self._members is None:
            self._sort_if_needed()
            first, end = self._slice()
            self._members = self._ordered[first:end]
        return self._members

    def fallbacks(self) -> Iterator[TrackedEndpoint]:
        """Yield all other endpoints in the order in which they are tried."""
        self._sort_if_needed()
        first, end = self._slice()
        for index in range(end, len(self._ordered)):
            yield self._ordered[index]
        for index in range(first):
            yield self._ordered[index]

    def __contains__(self, tracked: TrackedEndpoint) -> bool:
        """Return whether a ready endpoint belongs to the subset."""
        if self._key_range is None:
            self._key_range = self._find_key_range()
        first, end = self._key_range
        return first <= tracked.subset_key < end

    def restart_shuffle(self) -> None:
        """Put the members back in the order of the hash."""
        self._members = None

    def _find_key_range(self) -> tuple[SubsetKey, SubsetKey]:
        """Return the first key of the subset, and the first one behind the subset."""
        self._sort_if_needed()
        first, end = self._slice()
        if first == end:
            return _LAST_KEY, _LAST_KEY
        return self._keys[first], self._keys[end] if end < len(self._keys) else _LAST_KEY

    def update(self, removed: Collection[TrackedEndpoint], added: Collection[TrackedEndpoint]) -> None:
        """Follow a change of the endpoints.

        Args:
            removed: Endpoints that are no longer ready, or that were replaced.
            added: Endpoints that are new.
        """
        self.restart_shuffle()
        self._key_range = None
        round_number = self._round_number()
        if round_number != self._ordered_in_round:
            self._ordered_in_round = None
            # Below the largest slice count, a few changes move the gateway to another round. The order is
            # then made only when it is needed.
            if self.slice_count == self._max_slice_count:
                self._sort_if_needed()
            return
        for tracked in added:
            tracked.set_subset_key(_subset_key(round_number, tracked))
        if len(removed) + len(added) > MAX_INSERTED_FRACTION * len(self._keys):
            self._sort()
            return
        for tracked in removed:
            index = bisect_left(self._keys, tracked.subset_key)
            del self._keys[index], self._ordered[index]
        for tracked in added:
            index = bisect_left(self._keys, tracked.subset_key)
            self._keys.insert(index, tracked.subset_key)
            self._ordered.insert(index, tracked)

    def _slice(self) -> tuple[int, int]:
        """Return the first index of the subset in the order, and the index behind its last one."""
        total, slice_count = len(self._endpoints), self.slice_count
        slice_index = self._gateway_index % slice_count
        return slice_index * total // slice_count, (slice_index + 1) * total // slice_count

    def _round_number(self) -> int:
        return self._gateway_index // self.slice_count

    def _sort_if_needed(self) -> None:
        if self._ordered_in_round is not None:
            return
        self._ordered_in_round = self._round_number()
        for tracked in self._endpoints.values():
            tracked.set_subset_key(_subset_key(self._ordered_in_round, tracked))
        self._sort()

    def _sort(self) -> None:
        self._ordered = sorted(self._endpoints.values(), key=lambda tracked: tracked.subset_key)
        self._keys = [tracked.subset_key for tracked in self._ordered]


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


def _subset_key(round_number: int, tracked: TrackedEndpoint) -> SubsetKey:
    """Return the place of an endpoint in the order of a round; the id decides between equal hashes."""
    return _hash(str(round_number), tracked.id), tracked.id


def _hash(key: str, endpoint: EndpointId) -> int:
    """Return a hash that is the same at every gateway, and uniform over keys and endpoints."""
    return int.from_bytes(blake2b(f"{key} {endpoint}".encode(), digest_size=_DIGEST_BYTES).digest(), "big")
