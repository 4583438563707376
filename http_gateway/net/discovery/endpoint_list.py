"""Decodes the endpoint lists that discovery sends; only this module knows their field names."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b
from itertools import islice
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


class EndpointListReader:
    """Converts a parsed JSON document into an endpoint list, in steps of a bounded number of entries.

    An endpoint in an unknown state is treated as draining.

    Args:
        document: The parsed JSON document.

    Raises:
        EndpointListError: The document is not an endpoint list.
    """

    def __init__(self, document: object) -> None:
        if not isinstance(document, Mapping):
            raise EndpointListError("the endpoint list is not a JSON object")
        members = document.get("members")
        if not isinstance(members, Iterable):
            raise EndpointListError("members is not a JSON array")
        try:
            self._revision = int(document.get("revision") or 0)
        except (ValueError, TypeError, OverflowError):
            raise EndpointListError("revision is not an integer") from None
        self._is_complete = bool(document.get("complete"))
        self._members = enumerate(members)
        self._entries: list[EndpointEntry] = []

    def read(self, max_entries: int | None = None) -> EndpointList | None:
        """Convert the next entries.

        Args:
            max_entries: How many entries to convert; None converts all.

        Returns:
            The list once all entries are converted; None before that.

        Raises:
            EndpointListError: An entry is not valid.
        """
        count_before = len(self._entries)
        self._entries.extend(_read_entry(entry, index) for index, entry in islice(self._members, max_entries))
        if max_entries is not None and len(self._entries) - count_before == max_entries:
            return None
        return EndpointList(self._revision, self._is_complete, tuple(self._entries))


def read_endpoint_list(document: object) -> EndpointList:
    """Convert a parsed JSON document into an endpoint list.

    Args:
        document: The parsed JSON document.

    Returns:
        The endpoint list.

    Raises:
        EndpointListError: The document is not an endpoint list.
    """
    endpoint_list = EndpointListReader(document).read()
    assert endpoint_list is not None
    return endpoint_list


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
