"""The request in flight on a client connection, and the request ids in flight on all connections."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from http_gateway.net.attempted_ids import AttemptedRequestIds
from http_gateway.net.client_request import ClientRequest, Response
from http_gateway.net.frontend.request_parsing import InvalidRequestError
from http_gateway.net.request_dispatcher import RequestDispatcher
from http_gateway.policy.events import RequestId


class RequestIdRegistry:
    """The ids (X-Request-Id values) of the requests in flight on all client connections.

    Args:
        attempted_ids: The ids of requests that endpoints may have executed, in flight or not.
    """

    def __init__(self, attempted_ids: AttemptedRequestIds) -> None:
        self._attempted_ids = attempted_ids
        self._ids: set[str] = set()

    def __len__(self) -> int:
        """Return the number of reserved ids."""
        return len(self._ids)

    def reserve(self, client_request_id: str) -> None:
        """Reserve a request id until it is released.

        Endpoints identify requests by these ids, so a second request with the same id could repeat the effect
        of the first.

        Args:
            client_request_id: The X-Request-Id value that the client has sent.

        Raises:
            InvalidRequestError: A request in flight has the same id, or one that may have been executed.
        """
        if client_request_id in self._attempted_ids:
            raise InvalidRequestError(
                HTTPStatus.BAD_REQUEST, "a request with the same X-Request-Id may have been executed"
            )
        if client_request_id in self._ids:
            raise InvalidRequestError(
                HTTPStatus.BAD_REQUEST, "a request with the same X-Request-Id is in flight"
            )
        self._ids.add(client_request_id)

    def release(self, client_request_id: str) -> None:
        """Make a request id available again."""
        self._ids.discard(client_request_id)


class InFlightRequest:
    """The request that a client connection handles; there is at most one at a time.

    Args:
        dispatcher: Selects an endpoint and forwards the request.
        registry: The ids of the requests in flight on all client connections.
    """

    __slots__ = ("_client_request_id", "_dispatcher", "_is_active", "_registry", "_request_id")

    def __init__(self, dispatcher: RequestDispatcher, registry: RequestIdRegistry) -> None:
        self._dispatcher = dispatcher
        self._registry = registry
        self._is_active = False
        self._request_id: RequestId | None = None  # set while the dispatcher handles the request
        self._client_request_id = ""

    @property
    def is_active(self) -> bool:
        """Whether a request is in flight."""
        return self._is_active

    def begin(self) -> None:
        """Mark a request as in flight."""
        self._is_active = True

    def submit(
        self,
        client_request: ClientRequest,
        respond: Callable[[Response], None],
        has_client_disconnected: Callable[[], bool],
    ) -> None:
        """Pass the request to the dispatcher, which may call `respond` before this method returns.

        Args:
            client_request: The request.
            respond: Called with the response.
            has_client_disconnected: Returns whether the client has closed its side of the connection.

        Raises:
            InvalidRequestError: A request with the same id is in flight.
        """
        client_request_id = client_request.id
        self._registry.reserve(client_request_id)
        self._client_request_id = client_request_id
        request_id = self._dispatcher.submit(client_request, respond, has_client_disconnected)
        if self._is_active:  # the dispatcher has not called `respond`, so the client still waits
            self._request_id = request_id

    def complete(self) -> None:
        """Mark the request as complete and release its id."""
        self._is_active = False
        self._request_id = None
        self._release_client_request_id()

    def abandon(self) -> None:
        """End the request without a response, if one is in flight."""
        request_id = self._request_id
        self.complete()
        if request_id is not None:
            self._dispatcher.abandon(request_id)

    def _release_client_request_id(self) -> None:
        self._registry.release(self._client_request_id)
        self._client_request_id = ""
