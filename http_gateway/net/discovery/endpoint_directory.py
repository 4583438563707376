"""The endpoints that discovery lists now, with at most one ready endpoint at each address."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import replace
from itertools import islice

from http_gateway.net.address import Address
from http_gateway.net.discovery.endpoint_list import EndpointEntry, EndpointList
from http_gateway.policy.endpoint import EndpointId, EndpointState

log = logging.getLogger(__name__)

MAX_PIECE_ENTRIES = 32  # entries that are compared and applied without a return to the event loop


class EndpointDirectory:
    """Makes each endpoint list unambiguous before the policy and the connection pool use it.

    A process may come up at the address of one that has gone, under an id of its own, while the list still
    has the old id. Requests for the old id would reach the new process, which may be warming up and may
    belong to another deduplication group. So the endpoint that started last has the address, and the other
    one is removed until it is listed again without it.

    Args:
        max_endpoints: Endpoints that are kept; further ones are ignored.
    """

    def __init__(self, max_endpoints: int) -> None:
        self._max_endpoints = max_endpoints
        self._entries: dict[EndpointId, EndpointEntry] = {}
        self._owners: dict[Address, EndpointId] = {}  # the ready endpoint at each address

    def __len__(self) -> int:
        """Return the number of listed endpoints."""
        return len(self._entries)

    def split(self, endpoint_list: EndpointList) -> Iterator[EndpointList]:
        """Split a list into pieces that have the same effect if they are applied one after the other.

        A piece has at most `MAX_PIECE_ENTRIES` entries, and for each of them at most one more that releases
        an address. The caller passes each piece to `resolve` before it takes the next one.

        Args:
            endpoint_list: A complete list, or the changes since the last one.

        Yields:
            Lists of changes. Those of a complete list leave out the endpoints that have not changed, so they
            may be empty. The endpoints that may get no more requests come first.
        """
        if not endpoint_list.is_complete:
            for piece in _in_pieces(endpoint_list.entries):
                yield replace(endpoint_list, entries=piece)
            return
        listed = {entry.endpoint.id: entry for entry in endpoint_list.entries}
        gone = [_as_removed(known) for known in self._entries.values() if known.endpoint.id not in listed]
        not_ready = [entry for entry in listed.values() if entry.endpoint.state is not EndpointState.READY]
        for candidates in _in_pieces((*gone, *not_ready, *listed.values())):
            changed = [entry for entry in candidates if self._entries.get(entry.endpoint.id) != entry]
            released = self._outdated_owners(changed, listed)
            yield EndpointList(endpoint_list.revision, False, (*released, *changed))

    def _outdated_owners(
        self, entries: Iterable[EndpointEntry], listed: Mapping[EndpointId, EndpointEntry]
    ) -> list[EndpointEntry]:
        """Return the removals of endpoints that own an address of these entries and have changed themselves.

        Their own entries follow in the list. Until then they must not keep the address from its new owner.
        """
        removals: list[EndpointEntry] = []
        for entry in entries:
            owner = self._entries.get(self._owners.get(entry.address, entry.endpoint.id))
            if owner is None or owner.endpoint.id == entry.endpoint.id:
                continue
            if listed.get(owner.endpoint.id) != owner:
                removals.append(_as_removed(owner))
        return removals

    def resolve(self, endpoint_list: EndpointList, is_complete: bool) -> EndpointList:
        """Apply a list, and return it without ambiguous and surplus endpoints.

        Args:
            endpoint_list: A list, or the changes since the last one.
            is_complete: Whether endpoints that are not listed are removed.

        Returns:
            The list. An endpoint that has lost its address is removed.
        """
        if is_complete:
            self._entries.clear()
            self._owners.clear()
        resolved: dict[EndpointId, EndpointEntry] = {}
        ignored_count = 0
        for entry in endpoint_list.entries:
            endpoint_id = entry.endpoint.id
            if endpoint_id not in self._entries and self._is_full(entry):
                ignored_count += 1
                continue
            self._forget(endpoint_id)
            resolved[endpoint_id] = self._apply(entry, resolved)
        if ignored_count:
            log.warning("endpoints ignored count=%d max_endpoints=%d", ignored_count, self._max_endpoints)
        return replace(endpoint_list, entries=tuple(resolved.values()))

    def _is_full(self, entry: EndpointEntry) -> bool:
        is_listed = entry.endpoint.state is not EndpointState.REMOVED
        return is_listed and len(self._entries) >= self._max_endpoints

    def _forget(self, endpoint_id: EndpointId) -> None:
        known = self._entries.pop(endpoint_id, None)
        if known is not None and self._owners.get(known.address) == endpoint_id:
            del self._owners[known.address]

    def _apply(self, entry: EndpointEntry, resolved: dict[EndpointId, EndpointEntry]) -> EndpointEntry:
        """Add an entry, and return it as it counts: as removed if it has lost its address."""
        if entry.endpoint.state is EndpointState.REMOVED:
            return entry
        if entry.endpoint.state is EndpointState.READY:
            owner = self._entries.get(self._owners.get(entry.address, entry.endpoint.id))
            if owner is not None and owner.endpoint.started_at_us > entry.endpoint.started_at_us:
                return _removed(entry, owner)
            if owner is not None:
                self._forget(owner.endpoint.id)
                resolved[owner.endpoint.id] = _removed(owner, entry)
            self._owners[entry.address] = entry.endpoint.id
        self._entries[entry.endpoint.id] = entry
        return entry


def _removed(entry: EndpointEntry, owner: EndpointEntry) -> EndpointEntry:
    log.warning(
        "endpoint removed, as a newer one has its address endpoint_id=%d newer_endpoint_id=%d address=%s:%d",
        entry.endpoint.id,
        owner.endpoint.id,
        *entry.address,
    )
    return _as_removed(entry)


def _as_removed(entry: EndpointEntry) -> EndpointEntry:
    return replace(entry, endpoint=replace(entry.endpoint, state=EndpointState.REMOVED))


def _in_pieces(entries: Iterable[EndpointEntry]) -> Iterator[tuple[EndpointEntry, ...]]:
    iterator = iter(entries)
    while piece := tuple(islice(iterator, MAX_PIECE_ENTRIES)):
        yield piece
