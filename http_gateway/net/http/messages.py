"""HTTP/1.1 messages as the gateway uses them."""

from __future__ import annotations

from dataclasses import dataclass, field
from http import HTTPStatus

Headers = list[tuple[bytes, bytes]]  # name in lower case, value


class MalformedMessageError(Exception):
    """A message that cannot be used; `status` is that of the response to a client that sent it."""

    def __init__(self, status: HTTPStatus, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(slots=True)
class Message:
    """A complete request or response.

    A request has `method` and `target`, a response `status`. `keep_alive` is whether its connection may be
    used for another message.
    """

    method: bytes = b""
    target: bytes = b""
    status: int = 0
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    keep_alive: bool = True

    def header(self, name: bytes) -> str | None:
        """The value of the first header with this lower-case name; None if there is none."""
        for other, value in self.headers:
            if other == name:
                return value.decode("latin-1").strip()
        return None
