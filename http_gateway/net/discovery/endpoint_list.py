"""Decodes the endpoint lists that discovery sends; only this module knows their field names."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from http_gateway.net.address import Address, parse_address
from http_gateway.policy.endpoint import Endpoint, EndpointId, EndpointState
from http_gateway.policy.time_units import US_PER_MS

MAX_NAME_LENGTH = 256  # of a zone, a machine type or an address

_STATES_BY_PHASE = {
    "Ready": EndpointState.READY,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.REMOVED,
}


class EndpointListError(ValueError):
    """Raised for a document that is not an endpoint list; the message names the invalid part."""


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One endpoint of a list: its description for the policy and the address on which it listens."""

    endpoint: Endpoint
    address: Address


@dataclass(frozen=True, slots=True)
class EndpointList:
    """One endpoint list from discovery."""

    revision: int
    is_complete: bool  # whether it contains all endpoints; otherwise only those that have changed
    entries: tuple[EndpointEntry, ...]


def endpoint_id(name: str) -> EndpointId:
    """Return the id that the policy uses for the endpoint with this name.

    The id is a hash of the name, so it is the same in all gateways and after a restart of the gateway.
    """
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


def read_endpoint_list(document: object) -> EndpointList:
    """Convert a parsed JSON document into an endpoint list.

    An endpoint in an unknown state is treated as draining.

    Args:
        document: The parsed JSON document.

    Returns:
        The endpoint list.

    Raises:
        EndpointListError: The document is not an endpoint list.
    """
    if not isinstance(document, Mapping):
        raise EndpointListError("the endpoint list is not a JSON object")
    members = document.get("members")
    if not isinstance(members, Iterable):
        raise EndpointListError("members is not a JSON array")
    try:
        revision = int(document.get("revision") or 0)
    except (ValueError, TypeError, OverflowError):
        raise EndpointListError("revision is not an integer") from None
    entries = tuple(_read_entry(entry, index) for index, entry in enumerate(members))
    return EndpointList(revision, bool(document.get("complete")), entries)


def _read_name(entry: Mapping[str, Any], field: str) -> str:
    name = str(entry.get(field) or "")
    if len(name) > MAX_NAME_LENGTH:
        raise ValueError(f"{field} has over {MAX_NAME_LENGTH} characters")
    return name


def _read_entry(entry: Mapping[str, Any], index: int) -> EndpointEntry:
    try:
        endpoint = Endpoint(
            id=endpoint_id(str(entry["id"])),
            state=_STATES_BY_PHASE.get(str(entry.get("phase")), EndpointState.DRAINING),
            zone=_read_name(entry, "locality"),
            machine_type=_read_name(entry, "flavor"),
            deduplication_group=None if entry.get("cell") is None else int(entry["cell"]),
            weight=float(entry.get("size") or 1.0),
            started_at_us=int(entry.get("up_since_ms") or 0) * US_PER_MS,
        )
        return EndpointEntry(endpoint, parse_address(_read_name(entry, "host_port")))
    except (ValueError, TypeError, KeyError, AttributeError, OverflowError) as error:
        raise EndpointListError(f"members[{index}]: {type(error).__name__}: {error}") from error
