"""Budgets for the memory that peers make the gateway hold, counted in what it costs the process."""

from __future__ import annotations

import logging
from collections import OrderedDict
from typing import NamedTuple, Protocol

log = logging.getLogger(__name__)

SMALL_AMOUNT_BYTES = 16 * 1024  # a request without a body and its state together take less
LARGE_AMOUNTS_FRACTION = 0.6  # of the limit, up to which larger amounts are reserved


class MessageHolder(Protocol):
    """A connection that holds the start of a message whose end it waits for."""

    def evict(self) -> None:
        """Release the memory of the incomplete message at once; must set its amount in the budget to 0."""


class MemoryBudget:
    """Counts the memory of messages and evicts incomplete ones while the limit is exceeded.

    Complete messages are reserved and released by their owners. The budget cannot evict them, because each of
    them still gets its answer. An incomplete message may never become complete, so it can be evicted. The
    one that began first goes first, as a sound peer completes its message soon. A message under its fair
    share of the limit is kept: if all holders stay under their share, the limit is kept too.

    Args:
        name: What the budget is for, for the log.
        limit_bytes: The memory that the messages may take together.
        max_holders: The number of connections that share the budget.
    """

    def __init__(self, name: str, limit_bytes: int, max_holders: int) -> None:
        self._name = name
        self._limit_bytes = limit_bytes
        self._max_holders = max(1, max_holders)
        self._reserved_bytes = 0
        self._incomplete_bytes = 0
        # Ordered by the start of the message.
        self._incomplete: OrderedDict[MessageHolder, int] = OrderedDict()

    @property
    def held_bytes(self) -> int:
        """The memory that the messages take now."""
        return self._reserved_bytes + self._incomplete_bytes

    @property
    def is_exceeded(self) -> bool:
        """Whether the messages take more than the limit."""
        return self.held_bytes > self._limit_bytes

    def set_limit(self, limit_bytes: int) -> None:
        """Change the limit, which takes effect when the next message grows."""
        self._limit_bytes = limit_bytes

    def reserve(self, amount_bytes: int) -> None:
        """Count a complete message, or what a request takes beside its message."""
        self._reserved_bytes += amount_bytes

    def release(self, amount_bytes: int) -> None:
        """Stop counting memory that was reserved."""
        self._reserved_bytes -= amount_bytes

    def has_room_for(self, amount_bytes: int) -> bool:
        """Return whether an amount can be reserved, and evict incomplete messages for it if needed.

        Large amounts do not get the last part of the limit, so that a few of them do not shut out the others.
        """
        limit_bytes = self._limit_bytes
        if amount_bytes > SMALL_AMOUNT_BYTES:
            limit_bytes = int(limit_bytes * LARGE_AMOUNTS_FRACTION)
        self._evict_until(limit_bytes - amount_bytes)
        return self.held_bytes + amount_bytes <= limit_bytes

    def set_incomplete(self, holder: MessageHolder, amount_bytes: int) -> None:
        """Set what the incomplete message of a connection takes.

        Args:
            holder: The connection.
            amount_bytes: The memory; 0 if there is no incomplete message.
        """
        self._incomplete_bytes += amount_bytes - self._incomplete.get(holder, 0)
        if amount_bytes:
            self._incomplete[holder] = amount_bytes
        else:
            self._incomplete.pop(holder, None)

    def enforce(self) -> None:
        """Evict incomplete messages until the limit is kept or those left are under their fair share."""
        self._evict_until(self._limit_bytes)

    def _evict_until(self, target_bytes: int) -> None:
        """Evict incomplete messages over their fair share until all messages take no more than the target."""
        if self.held_bytes <= target_bytes:
            return
        fair_share_bytes = self._limit_bytes // self._max_holders
        for holder in [holder for holder, held in self._incomplete.items() if held > fair_share_bytes]:
            if self.held_bytes <= target_bytes:
                return
            log.warning(
                "memory budget exceeded budget=%s held_bytes=%d limit_bytes=%d evicted_bytes=%d",
                self._name,
                self.held_bytes,
                self._limit_bytes,
                self._incomplete.get(holder, 0),
            )
            holder.evict()


class MessageBudgets(NamedTuple):
    """The budgets of one gateway, one for each direction.

    Attributes:
        requests: Requests that are received, queued or in flight, and those that endpoints do not read.
        responses: Responses that are received, and those that clients do not read.
    """

    requests: MemoryBudget
    responses: MemoryBudget

    @classmethod
    def create(
        cls, limit_bytes: int, max_client_connections: int, max_endpoint_connections: int
    ) -> MessageBudgets:
        """Return budgets with the same limit.

        Args:
            limit_bytes: The memory for the messages of each direction.
            max_client_connections: The number of client connections that may be open.
            max_endpoint_connections: The number of connections to endpoints that may be open.
        """
        return cls(
            MemoryBudget("requests", limit_bytes, max_client_connections),
            MemoryBudget("responses", limit_bytes, max_endpoint_connections),
        )

    def set_limit(self, limit_bytes: int) -> None:
        """Change the memory for the messages of each direction."""
        self.requests.set_limit(limit_bytes)
        self.responses.set_limit(limit_bytes)
