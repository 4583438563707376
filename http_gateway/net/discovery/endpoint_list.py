"""Reads the endpoint lists of discovery; the only module that knows their field names."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from http_gateway.net.address import Address, parse_address
from http_gateway.policy.endpoint import Endpoint, EndpointId, EndpointState
from http_gateway.policy.time_units import US_PER_MS

_STATES = {
    "Ready": EndpointState.READY,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.REMOVED,
}


class EndpointListError(ValueError):
    """A document is not an endpoint list; the message names the invalid part."""


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One endpoint of a list: its description for the policy, and the address at which it listens."""

    endpoint: Endpoint
    address: Address


@dataclass(frozen=True, slots=True)
class EndpointList:
    """One list that discovery has sent."""

    revision: int
    is_complete: bool  # it names every endpoint, not only those that have changed
    entries: tuple[EndpointEntry, ...]


def endpoint_id(name: str) -> EndpointId:
    """Return the policy's id of an endpoint: a hash, equal at all gateways and after a restart."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


def read_endpoint_list(document: object) -> EndpointList:
    """Read a decoded endpoint list.

    An endpoint in a state that is not known is read as draining.

    Raises:
        EndpointListError: The document is not an endpoint list.
    """
    if not isinstance(document, Mapping):
        raise EndpointListError("an endpoint list is not an object")
    members = document.get("members")
    if not isinstance(members, Iterable):
        raise EndpointListError("members is not a list")
    try:
        revision = int(document.get("revision") or 0)
    except (ValueError, TypeError, OverflowError):
        raise EndpointListError("revision is not a whole number") from None
    entries = tuple(_read_entry(entry, index) for index, entry in enumerate(members))
    return EndpointList(revision, bool(document.get("complete")), entries)


def _read_entry(entry: Mapping[str, Any], index: int) -> EndpointEntry:
    try:
        endpoint = Endpoint(
            id=endpoint_id(str(entry["id"])),
            state=_STATES.get(str(entry.get("phase")), EndpointState.DRAINING),
            zone=str(entry.get("locality") or ""),
            machine_type=str(entry.get("flavor") or ""),
            deduplication_group=None if entry.get("cell") is None else int(entry["cell"]),
            weight=float(entry.get("size") or 1.0),
            started_at_us=int(entry.get("up_since_ms") or 0) * US_PER_MS,
        )
        return EndpointEntry(endpoint, parse_address(str(entry["host_port"])))
    except (ValueError, TypeError, KeyError, AttributeError, OverflowError) as error:
        raise EndpointListError(f"members[{index}]: {type(error).__name__}: {error}") from error
