"""Reads fields of decoded JSON objects; an error names the field and the problem.

A field that is absent, null or otherwise empty takes its default, and unknown fields are ignored.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any


class FieldError(ValueError):
    """A field has a value that cannot be read.

    Attributes:
        path: The place of the field in the document; "" for the document itself.
        problem: What is wrong with it.
    """

    def __init__(self, path: str, problem: str) -> None:
        self.path = path
        self.problem = problem
        super().__init__(f"{path or 'the object'} {problem}")


class JsonFields:
    """The fields of one JSON object.

    Args:
        value: The decoded object.
        path: Its place in the document, for error messages; "" for the document itself.

    Raises:
        FieldError: The value is not an object.
    """

    def __init__(self, value: object, path: str = "") -> None:
        if not isinstance(value, Mapping):
            raise FieldError(path, "is not an object")
        self._fields: Mapping[str, Any] = value
        self._path = path

    def path(self, name: str) -> str:
        """The place of a field in the document."""
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
        return self._to_number(name, self._fields.get(name) or default)

    def optional_number(self, name: str) -> float | None:
        """A field as a number; None if it is absent or null. Raises `FieldError`."""
        value = self._fields.get(name)
        return None if value is None else self._to_number(name, value)

    def child(self, name: str) -> JsonFields:
        """A field whose value is an object; an empty one by default. Raises `FieldError`."""
        return JsonFields(self._fields.get(name) or {}, self.path(name))

    def children(self, name: str) -> list[JsonFields]:
        """A field whose value is a list of objects; an empty one by default. Raises `FieldError`."""
        entries = self._fields.get(name) or ()
        if not isinstance(entries, list | tuple):
            raise FieldError(self.path(name), "is not a list")
        return [JsonFields(entry, f"{self.path(name)}[{index}]") for index, entry in enumerate(entries)]

    def _to_number(self, name: str, value: Any) -> float:
        try:
            return float(value)
        except (ValueError, TypeError, OverflowError):
            raise FieldError(self.path(name), "is not a number") from None
