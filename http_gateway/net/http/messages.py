"""Representation of HTTP/1.1 requests and responses."""

from __future__ import annotations

from dataclasses import dataclass, field
from http import HTTPStatus

Headers = list[tuple[bytes, bytes]]  # pairs of a lower-case name and a value


class MalformedMessageError(Exception):
    """A message that is malformed or exceeds a limit.

    Args:
        status: The status of the response to a client that has sent the message.
        reason: A description of the fault for people.
    """

    def __init__(self, status: HTTPStatus, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(slots=True)
class Message:
    """An HTTP request or response.

    Attributes:
        method: The method of a request; empty in a response.
        target: The request target; empty in a response.
        status: The status code of a response; 0 in a request.
        headers: The headers in the order in which they were received.
        body: The complete body, without its transfer encoding.
        keep_alive: Whether the connection may be used for another message.
        memory_bytes: Memory that the parsed message takes; 0 if it was not received.
    """

    method: bytes = b""
    target: bytes = b""
    status: int = 0
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    keep_alive: bool = True
    memory_bytes: int = field(default=0, compare=False, repr=False)

    @property
    def has_safe_method(self) -> bool:
        """Whether the method is safe (RFC 9110, section 9.2.1), so that the request may be executed twice."""
        return self.method == b"GET"

    def header(self, name: bytes) -> str | None:
        """Return the value of the first header with this name; None if there is none.

        Args:
            name: The header name in lower case.
        """
        for header_name, value in self.headers:
            if header_name == name:
                return value.decode("latin-1").strip()
        return None
