"""Counts of the circuit breakers that are not closed, over all ready endpoints."""

from __future__ import annotations


class OpenBreakerCount:
    """The number of breakers of one kind that are open or half-open."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0

    def opened(self) -> None:
        """Count a breaker that was closed before."""
        self.value += 1

    def closed(self) -> None:
        """Stop counting a breaker that has closed or is no longer used."""
        self.value -= 1


class OpenBreakerCounts:
    """The counts of all kinds: one for the breakers of the endpoints, and one for each request class.

    Attributes:
        endpoints: The count of the breakers of whole endpoints.
    """

    __slots__ = ("_by_class", "endpoints")

    def __init__(self) -> None:
        self.endpoints = OpenBreakerCount()
        self._by_class: dict[str, OpenBreakerCount] = {}

    def of_class(self, class_name: str) -> OpenBreakerCount:
        """Return the count of the breakers of a request class."""
        count = self._by_class.get(class_name)
        if count is None:
            count = self._by_class[class_name] = OpenBreakerCount()
        return count
