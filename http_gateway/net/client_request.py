"""Requests that the frontend submits for clients, and the responses to them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from http_gateway.net.http.messages import Headers, Message


@dataclass(frozen=True, slots=True)
class Response:
    """The final response to a client's request."""

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""


class ResponseCallback(Protocol):
    """Callback that receives the final response to a request."""

    def __call__(self, response: Response, /) -> None:
        """Send the response to the client."""


class ClientRequest(NamedTuple):
    """A client's request: the message to forward, and the properties that the policy uses.

    Attributes:
        message: The HTTP request to forward to an endpoint.
        class_name: Name of the request class.
        timeout_us: Time in microseconds within which the client expects the response.
        cost_us: Expected processing cost in microseconds; 0 if the client gave none.
        key: Routing key, if the client gave one.
        is_client_retry: Whether the client marked the request as a retry.
        tenant: Tenant that the request belongs to; empty if the client gave none.
        arrived_after_s: Event loop time, in seconds, after which the last byte of the request arrived; None
            if it is unknown.
    """

    message: Message
    class_name: str
    timeout_us: int
    cost_us: int = 0
    key: str | None = None
    is_client_retry: bool = False
    tenant: str = ""
    arrived_after_s: float | None = None

    @property
    def id(self) -> str:
        """The X-Request-Id that the client has sent; empty if there is none."""
        return self.message.header(b"x-request-id") or ""
