"""The ids of requests that endpoints may have executed, so that none of them is executed twice."""

from __future__ import annotations


class AttemptedRequestIds:
    """Remembers the X-Request-Id values of the latest requests whose repetition may have an effect.

    The ids are kept as hashes in two generations of equal size. When the younger one is full, the older one
    is dropped. So the latest `max_ids / 2` ids are always remembered.

    Args:
        max_ids: The number of ids that are remembered at most.
    """

    def __init__(self, max_ids: int) -> None:
        self._generation_size = max(1, max_ids // 2)
        self._younger: set[int] = set()
        self._older: set[int] = set()

    def __contains__(self, client_request_id: str) -> bool:
        """Return whether a request with this id is remembered."""
        id_hash = hash(client_request_id)
        return id_hash in self._younger or id_hash in self._older

    def __len__(self) -> int:
        """Return the number of remembered ids."""
        return len(self._younger) + len(self._older)

    def add(self, client_request_id: str) -> None:
        """Remember an id."""
        if len(self._younger) >= self._generation_size:
            self._older, self._younger = self._younger, set()
        self._younger.add(hash(client_request_id))
