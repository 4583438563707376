"""Tests of the memory of request ids that may have been executed."""

from __future__ import annotations

from http_gateway.net.attempted_ids import AttemptedRequestIds


def test_at_least_half_of_the_ids_are_remembered_and_no_more_than_all() -> None:
    max_ids = 100
    attempted_ids = AttemptedRequestIds(max_ids)
    for number in range(1000):
        attempted_ids.add(str(number))
        assert len(attempted_ids) <= max_ids
        assert all(str(recent) in attempted_ids for recent in range(max(0, number - 49), number + 1))
    assert "0" not in attempted_ids
