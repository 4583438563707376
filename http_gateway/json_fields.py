"""Typed access to the fields of decoded JSON objects.

A field that is missing, null or another empty value takes its default. Unknown fields are ignored. An error
names the path of the field and the problem.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any


class FieldError(ValueError):
    """A field has a value that cannot be converted.

    Attributes:
        path: The path of the field in the document; "" for the document itself.
        problem: What is wrong with the value, as the predicate of a sentence.
    """

    def __init__(self, path: str, problem: str) -> None:
        self.path = path
        self.problem = problem
        super().__init__(f"{path or 'the object'} {problem}")


class JsonFields:
    """The fields of one JSON object.

    Args:
        value: The decoded object.
        path: The path of the object in the document, for error messages; "" for the document itself.

    Raises:
        FieldError: The value is not a JSON object.
    """

    def __init__(self, value: object, path: str = "") -> None:
        if not isinstance(value, Mapping):
            raise FieldError(path, "is not an object")
        self._fields: Mapping[str, Any] = value
        self._path = path

    def path(self, name: str) -> str:
        """Return the path of a field in the document."""
        return f"{self._path}.{name}" if self._path else name

    def value(self, name: str) -> Any:
        """Return a field as it was decoded; None if it is missing."""
        return self._fields.get(name)

    def text(self, name: str) -> str:
        """Return a field as a string; "" by default."""
        return str(self._fields.get(name) or "")

    def flag(self, name: str) -> bool:
        """Return a field as a Boolean; False by default."""
        return bool(self._fields.get(name))

    def integer(self, name: str, default: int = 0) -> int:
        """Return a field as an integer.

        Raises:
            FieldError: The value cannot be converted to an integer.
        """
        try:
            return int(self._fields.get(name) or default)
        except (ValueError, TypeError, OverflowError):
            raise FieldError(self.path(name), "is not a whole number") from None

    def number(self, name: str, default: float = 0.0) -> float:
        """Return a field as a floating-point number.

        Raises:
            FieldError: The value cannot be converted to a number.
        """
        return self._to_number(name, self._fields.get(name) or default)

    def optional_number(self, name: str) -> float | None:
        """Return a field as a floating-point number; None if it is missing or null.

        Raises:
            FieldError: The value cannot be converted to a number.
        """
        value = self._fields.get(name)
        return None if value is None else self._to_number(name, value)

    def child(self, name: str) -> JsonFields:
        """Return the fields of a nested object; an empty object by default.

        Raises:
            FieldError: The value is not a JSON object.
        """
        return JsonFields(self._fields.get(name) or {}, self.path(name))

    def children(self, name: str) -> list[JsonFields]:
        """Return the objects of a list; an empty list by default.

        Raises:
            FieldError: The value is not a list, or an entry is not a JSON object.
        """
        entries = self._fields.get(name) or ()
        if not isinstance(entries, list | tuple):
            raise FieldError(self.path(name), "is not a list")
        return [JsonFields(entry, f"{self.path(name)}[{index}]") for index, entry in enumerate(entries)]

    def _to_number(self, name: str, value: Any) -> float:
        try:
            return float(value)
        except (ValueError, TypeError, OverflowError):
            raise FieldError(self.path(name), "is not a number") from None
