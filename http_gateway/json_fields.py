"""Reads fields of decoded JSON objects; an error says which field is wrong, and how.

A field that is absent, null or otherwise empty takes its default, and unknown fields are ignored.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any


class FieldError(ValueError):
    """A field has a value that cannot be read."""

    def __init__(self, path: str, problem: str) -> None:
        self.path = path
        self.problem = problem
        super().__init__(f"{path or 'the object'} {problem}")


class JsonFields:
    """The fields of one JSON object; `path` says where in the document it stands."""

    def __init__(self, value: object, path: str = "") -> None:
        if not isinstance(value, Mapping):
            raise FieldError(path, "is not an object")
        self._fields: Mapping[str, Any] = value
        self._path = path

    def path(self, name: str) -> str:
        """Where a field stands in the document."""
        return f"{self._path}.{name}" if self._path else name

    def value(self, name: str) -> Any:
        """A field as it was decoded; None if it is absent."""
        return self._fields.get(name)

    def text(self, name: str) -> str:
        """A field as text; "" by default."""
        return str(self._fields.get(name) or "")

    def flag(self, name: str) -> bool:
        """A field as a truth value; False by default."""
        return bool(self._fields.get(name))

    def integer(self, name: str, default: int = 0) -> int:
        """A field as a whole number; raises `FieldError`."""
        try:
            return int(self._fields.get(name) or default)
        except (ValueError, TypeError, OverflowError):
            raise FieldError(self.path(name), "is not a whole number") from None

    def number(self, name: str, default: float = 0.0) -> float:
        """A field as a number; raises `FieldError`."""
        try:
            return float(self._fields.get(name) or default)
        except (ValueError, TypeError, OverflowError):
            raise FieldError(self.path(name), "is not a number") from None

    def child(self, name: str) -> JsonFields:
        """A field that holds an object; an empty one by default. Raises `FieldError`."""
        return JsonFields(self._fields.get(name) or {}, self.path(name))

    def children(self, name: str) -> list[JsonFields]:
        """A field that holds a list of objects; an empty one by default. Raises `FieldError`."""
        entries = self._fields.get(name) or ()
        if not isinstance(entries, list | tuple):
            raise FieldError(self.path(name), "is not a list")
        return [JsonFields(entry, f"{self.path(name)}[{place}]") for place, entry in enumerate(entries)]
