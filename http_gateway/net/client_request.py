"""What the frontend submits for a client, and what the client gets."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from http_gateway.net.http.messages import Headers, Message


@dataclass(frozen=True, slots=True)
class Response:
    """The final response to a client."""

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""


class ResponseCallback(Protocol):
    """Called with the final response of a request."""

    def __call__(self, response: Response, /) -> None:
        """Send the response to the client."""


class ClientRequest(NamedTuple):
    """A client's request: the message for the endpoint, and what the policy knows of it."""

    message: Message
    class_name: str
    timeout_us: int
    cost_us: int = 0
    key: str | None = None
    is_client_retry: bool = False
    tenant: str = ""
