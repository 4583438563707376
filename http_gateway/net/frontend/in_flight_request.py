"""The request of one client connection that is in flight, and the ids of those of all connections."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from http_gateway.net.client_request import ClientRequest, Response
from http_gateway.net.frontend.request_parsing import InvalidRequestError
from http_gateway.net.request_dispatcher import RequestDispatcher
from http_gateway.policy.events import RequestId


class OpenRequestIds:
    """The client's ids (X-Request-Id) of the requests in flight on all connections."""

    def __init__(self) -> None:
        self._ids: set[str] = set()

    def __len__(self) -> int:
        """The number of requests in flight."""
        return len(self._ids)

    def add(self, client_id: str) -> None:
        """Reserve an id; raises `InvalidRequestError` if a request in flight has it.

        Endpoints identify requests by these ids: a second one could repeat the effect of the first.
        """
        if client_id in self._ids:
            raise InvalidRequestError(HTTPStatus.BAD_REQUEST, "the request id is in use")
        self._ids.add(client_id)

    def release(self, client_id: str) -> None:
        """Make an id available again."""
        self._ids.discard(client_id)


class InFlightRequest:
    """The request that a connection works on: none or one at a time."""

    __slots__ = ("_client_id", "_dispatcher", "_is_active", "_open_ids", "_request_id")

    def __init__(self, dispatcher: RequestDispatcher, open_ids: OpenRequestIds) -> None:
        self._dispatcher = dispatcher
        self._open_ids = open_ids
        self._is_active = False
        self._request_id: RequestId | None = None  # while the dispatcher has it
        self._client_id = ""

    @property
    def is_active(self) -> bool:
        """Whether a request is in flight."""
        return self._is_active

    def begin(self) -> None:
        """Begin the work on a request."""
        self._is_active = True

    def submit(
        self,
        client_request: ClientRequest,
        respond: Callable[[Response], None],
        has_client_disconnected: Callable[[], bool],
    ) -> None:
        """Hand the request to the dispatcher, which may call `respond` before this returns.

        Raises `InvalidRequestError` if a request with the same id is in flight.
        """
        client_id = client_request.message.header(b"x-request-id") or ""
        self._open_ids.add(client_id)
        self._client_id = client_id
        request_id = self._dispatcher.submit(client_request, respond, has_client_disconnected)
        if self._is_active:  # no response yet
            self._request_id = request_id

    def complete(self) -> None:
        """End the work on a request that has its response."""
        self._is_active = False
        self._request_id = None
        self._release_client_id()

    def abandon(self) -> None:
        """End the work on the request without a response, if there is one."""
        request_id = self._request_id
        self.complete()
        if request_id is not None:
            self._dispatcher.abandon(request_id)

    def _release_client_id(self) -> None:
        self._open_ids.release(self._client_id)
        self._client_id = ""
