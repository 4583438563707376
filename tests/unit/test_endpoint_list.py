"""Tests for the decoding of endpoint lists."""

from __future__ import annotations

import pytest

from http_gateway.net.discovery.endpoint_list import (
    MAX_NAME_LENGTH,
    EndpointListError,
    endpoint_id,
    read_endpoint_list,
)
from http_gateway.policy.endpoint import EndpointState
from http_gateway.policy.time_units import US_PER_MS


def test_list_entry_is_read_into_endpoint_and_address() -> None:
    document = {
        "id": "s-5be2a07c",
        "host_port": "127.1.0.18:9000",
        "locality": "a",
        "flavor": "m2",
        "cell": 3,
        "phase": "Ready",
        "size": 1.5,
        "up_since_ms": 1_700_000_000_123,
    }
    entry = read_endpoint_list({"revision": 1, "complete": True, "members": [document]}).entries[0]
    endpoint = entry.endpoint
    assert entry.address == ("127.1.0.18", 9000)
    assert (endpoint.zone, endpoint.machine_type, endpoint.deduplication_group, endpoint.weight) == (
        "a",
        "m2",
        3,
        1.5,
    )
    assert (endpoint.state, endpoint.started_at_us) == (EndpointState.READY, 1_700_000_000_123 * US_PER_MS)
    others = [document | {"phase": phase} for phase in ("Terminating", "Gone", "Odd")]
    states = [other.endpoint.state for other in read_endpoint_list({"members": others}).entries]
    assert states == [EndpointState.DRAINING, EndpointState.REMOVED, EndpointState.DRAINING]


def test_endpoint_id_is_the_same_at_every_gateway() -> None:
    assert endpoint_id("s-5be2a07c") == 9587356208999800076
    assert endpoint_id("s-5be2a07c") != endpoint_id("s-5be2a07d")


@pytest.mark.parametrize("field", ["locality", "flavor", "host_port"])
def test_list_with_a_name_that_is_too_long_is_rejected(field: str) -> None:
    document = {"id": "s-1", "host_port": "127.0.0.1:9000", "phase": "Ready"}
    with pytest.raises(EndpointListError, match=f"{field} has over"):
        read_endpoint_list({"members": [document | {field: "z" * (MAX_NAME_LENGTH + 1)}]})
