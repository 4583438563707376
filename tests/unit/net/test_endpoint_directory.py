"""Tests that at most one ready endpoint has an address."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from http_gateway.net.address import Address
from http_gateway.net.discovery.endpoint_directory import MAX_PIECE_ENTRIES, EndpointDirectory
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


def draw_list(random: Random, id_count: int) -> EndpointList:
    """Return a complete list in which addresses pass from one endpoint to another."""
    states = [EndpointState.READY] * 5 + [EndpointState.DRAINING, EndpointState.REMOVED]
    entries = [
        entry(
            endpoint_id,
            random.randrange(3),
            random.choice(states),
            ("127.0.0.1", 9000 + random.randrange(2 * id_count)),
        )
        for endpoint_id in random.sample(range(id_count), random.randrange(id_count + 1))
    ]
    return EndpointList(1, True, tuple(entries))


def apply_in_pieces(directory: EndpointDirectory, complete: EndpointList, max_pieces: int) -> int:
    """Apply a complete list in pieces; return how many there were."""
    count = 0
    for piece in directory.split(complete):
        if count == max_pieces:
            break
        directory.resolve(piece, piece.is_complete)
        assert not piece.is_complete
        assert len(piece.entries) <= 2 * MAX_PIECE_ENTRIES
        count += 1
    return count


@pytest.mark.parametrize("seed", range(60))
def test_complete_list_in_pieces_gives_the_same_endpoints(seed: int) -> None:
    """This holds after any list, also after one of which only some pieces were applied."""
    random = Random(seed)
    id_count = random.choice([5, 40, 300])
    directory = EndpointDirectory(id_count)
    for _ in range(6):
        complete = draw_list(random, id_count)
        if random.random() < 0.5:
            apply_in_pieces(directory, draw_list(random, id_count), max_pieces=random.randrange(4))
        apply_in_pieces(directory, complete, max_pieces=id_count)
        expected = EndpointDirectory(id_count)
        expected.resolve(complete, True)
        assert directory._entries == expected._entries
        assert directory._owners == expected._owners


def test_complete_list_without_changes_has_no_entries_to_apply() -> None:
    directory = EndpointDirectory(1000)
    entries = tuple(entry(number, address=("127.0.0.1", 9000 + number)) for number in range(200))
    complete = EndpointList(1, True, entries)
    assert apply_in_pieces(directory, complete, max_pieces=1000) == -(-200 // MAX_PIECE_ENTRIES)
    assert all(not piece.entries for piece in directory.split(complete))


def test_endpoints_that_drain_or_are_gone_come_before_new_ones() -> None:
    """The drain grace period has begun, while a new endpoint can wait."""
    directory = EndpointDirectory(1000)
    old = [entry(number, address=("127.0.0.1", 9000 + number)) for number in range(100)]
    directory.resolve(EndpointList(1, True, tuple(old)), True)
    new = [entry(200 + number, address=("127.0.0.1", 9200 + number)) for number in range(100)]
    draining = [
        replace(known, endpoint=replace(known.endpoint, state=EndpointState.DRAINING)) for known in old
    ]
    complete = EndpointList(2, True, (*new, *draining[:50]))
    states = [changed.endpoint.state for piece in directory.split(complete) for changed in piece.entries]
    assert EndpointState.READY not in states[:100]
