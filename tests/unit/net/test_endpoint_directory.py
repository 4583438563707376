"""Tests that at most one ready endpoint has an address."""

from __future__ import annotations

from http_gateway.net.address import Address
from http_gateway.net.discovery.endpoint_directory import EndpointDirectory
from http_gateway.net.discovery.endpoint_list import EndpointEntry, EndpointList
from http_gateway.policy.endpoint import Endpoint, EndpointState

ADDRESS: Address = ("127.0.0.1", 9000)
OTHER_ADDRESS: Address = ("127.0.0.2", 9000)
OLD_ID, NEW_ID = 1, 2
MAX_ENDPOINTS = 3


def entry(
    endpoint_id: int,
    started_at_us: int = 0,
    state: EndpointState = EndpointState.READY,
    address: Address = ADDRESS,
) -> EndpointEntry:
    return EndpointEntry(Endpoint(endpoint_id, state, started_at_us=started_at_us), address)


def resolved_states(
    directory: EndpointDirectory, *entries: EndpointEntry, is_complete: bool = False
) -> dict[int, EndpointState]:
    """Apply a list and return the state of each endpoint in the result."""
    resolved = directory.resolve(EndpointList(1, is_complete, entries), is_complete)
    return {listed.endpoint.id: listed.endpoint.state for listed in resolved.entries}


def test_new_endpoint_takes_the_address_of_the_old_one() -> None:
    directory = EndpointDirectory(MAX_ENDPOINTS)
    assert resolved_states(directory, entry(OLD_ID), is_complete=True) == {OLD_ID: EndpointState.READY}
    assert resolved_states(directory, entry(NEW_ID, started_at_us=5)) == {
        OLD_ID: EndpointState.REMOVED,
        NEW_ID: EndpointState.READY,
    }


def test_old_endpoint_does_not_take_its_address_back() -> None:
    directory = EndpointDirectory(MAX_ENDPOINTS)
    resolved_states(directory, entry(NEW_ID, started_at_us=5), is_complete=True)
    assert resolved_states(directory, entry(OLD_ID, started_at_us=4)) == {OLD_ID: EndpointState.REMOVED}
    complete = (entry(NEW_ID, started_at_us=5), entry(OLD_ID, started_at_us=4))
    states = resolved_states(directory, *complete, is_complete=True)
    assert states == {NEW_ID: EndpointState.READY, OLD_ID: EndpointState.REMOVED}


def test_address_is_free_once_its_endpoint_drains_moves_or_is_removed() -> None:
    for freed in (
        entry(NEW_ID, 5, EndpointState.DRAINING),
        entry(NEW_ID, 5, EndpointState.REMOVED),
        entry(NEW_ID, 5, address=OTHER_ADDRESS),
    ):
        directory = EndpointDirectory(MAX_ENDPOINTS)
        resolved_states(directory, entry(NEW_ID, started_at_us=5), is_complete=True)
        resolved_states(directory, freed)
        assert resolved_states(directory, entry(OLD_ID)) == {OLD_ID: EndpointState.READY}


def test_endpoint_that_restarts_keeps_its_address() -> None:
    directory = EndpointDirectory(MAX_ENDPOINTS)
    resolved_states(directory, entry(OLD_ID), is_complete=True)
    assert resolved_states(directory, entry(OLD_ID, started_at_us=7)) == {OLD_ID: EndpointState.READY}
    assert len(directory) == 1


def test_complete_list_forgets_what_it_does_not_name() -> None:
    directory = EndpointDirectory(MAX_ENDPOINTS)
    resolved_states(directory, entry(NEW_ID, started_at_us=5), is_complete=True)
    assert resolved_states(directory, entry(OLD_ID), is_complete=True) == {OLD_ID: EndpointState.READY}
    assert len(directory) == 1


def test_endpoints_under_ever_new_names_are_ignored_beyond_the_limit() -> None:
    directory = EndpointDirectory(MAX_ENDPOINTS)
    for number in range(10):
        resolved_states(directory, entry(number, address=("127.0.0.1", 9000 + number)))
    assert len(directory) == MAX_ENDPOINTS
    assert resolved_states(directory, entry(0, state=EndpointState.DRAINING)) == {0: EndpointState.DRAINING}
    resolved_states(directory, entry(1, state=EndpointState.REMOVED))
    assert resolved_states(directory, entry(77)) == {77: EndpointState.READY}
