"""Tests of the budgets of messages: what they count, and what they evict."""

from __future__ import annotations

from http_gateway.net.memory.budget import LARGE_AMOUNTS_FRACTION, SMALL_AMOUNT_BYTES, MemoryBudget

LIMIT_BYTES = 1000
MAX_HOLDERS = 10
FAIR_SHARE_BYTES = LIMIT_BYTES // MAX_HOLDERS


class Holder:
    """A connection that releases its incomplete message when it is evicted."""

    def __init__(self, budget: MemoryBudget) -> None:
        self.is_evicted = False
        self._budget = budget

    def evict(self) -> None:
        """Release the message."""
        self.is_evicted = True
        self._budget.set_incomplete(self, 0)


def budget_and_holders(count: int) -> tuple[MemoryBudget, list[Holder]]:
    budget = MemoryBudget("requests", LIMIT_BYTES, MAX_HOLDERS)
    return budget, [Holder(budget) for _ in range(count)]


def test_message_that_began_first_is_evicted_first() -> None:
    budget, (first, second, third) = budget_and_holders(3)
    budget.set_incomplete(first, 300)
    budget.set_incomplete(second, 300)
    budget.set_incomplete(first, 500)  # grows, but keeps its place
    budget.set_incomplete(third, 300)
    budget.enforce()
    assert [first.is_evicted, second.is_evicted, third.is_evicted] == [True, False, False]
    assert budget.held_bytes == 600


def test_message_under_its_fair_share_is_kept() -> None:
    budget, (small, large) = budget_and_holders(2)
    budget.set_incomplete(small, FAIR_SHARE_BYTES)
    budget.set_incomplete(large, LIMIT_BYTES)
    budget.enforce()
    assert [small.is_evicted, large.is_evicted] == [False, True]


def test_complete_messages_are_kept_whatever_they_take() -> None:
    budget, (holder,) = budget_and_holders(1)
    budget.reserve(2 * LIMIT_BYTES)
    budget.set_incomplete(holder, FAIR_SHARE_BYTES)
    budget.enforce()
    assert not holder.is_evicted
    assert budget.is_exceeded
    budget.release(2 * LIMIT_BYTES)
    assert not budget.is_exceeded


def test_room_is_made_by_eviction() -> None:
    budget, (holder,) = budget_and_holders(1)
    budget.reserve(500)
    budget.set_incomplete(holder, 400)
    assert budget.has_room_for(100)
    assert not holder.is_evicted
    assert budget.has_room_for(101)
    assert holder.is_evicted
    assert not budget.has_room_for(501)


def test_finished_message_takes_nothing() -> None:
    budget, (holder,) = budget_and_holders(1)
    budget.set_incomplete(holder, 400)
    budget.set_incomplete(holder, 0)
    assert budget.held_bytes == 0


def test_large_requests_leave_room_for_small_ones() -> None:
    limit_bytes = 100 * SMALL_AMOUNT_BYTES
    budget = MemoryBudget("requests", limit_bytes, MAX_HOLDERS)
    large_bytes = 4 * SMALL_AMOUNT_BYTES
    while budget.has_room_for(large_bytes):
        budget.reserve(large_bytes)
    assert budget.held_bytes <= LARGE_AMOUNTS_FRACTION * limit_bytes
    small_count = 0
    while budget.has_room_for(SMALL_AMOUNT_BYTES):
        budget.reserve(SMALL_AMOUNT_BYTES)
        small_count += 1
    assert small_count >= 40


def test_large_request_is_shut_out_by_incomplete_ones() -> None:
    """Guards against a crowd that holds the part of the limit which large requests do not get."""
    limit_bytes = 100 * SMALL_AMOUNT_BYTES
    budget = MemoryBudget("requests", limit_bytes, MAX_HOLDERS)
    holders = [Holder(budget) for _ in range(MAX_HOLDERS)]
    for holder in holders:
        budget.set_incomplete(holder, limit_bytes // MAX_HOLDERS + 1)
    assert budget.has_room_for(4 * SMALL_AMOUNT_BYTES)
    assert budget.held_bytes <= LARGE_AMOUNTS_FRACTION * limit_bytes
    assert not holders[-1].is_evicted
