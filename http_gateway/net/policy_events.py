"""Events for the policy, made from what the gateway receives."""

from __future__ import annotations

from http_gateway.net.client_request import ClientRequest
from http_gateway.net.discovery.endpoint_list import EndpointList
from http_gateway.policy.events import ListUpdateKind, RequestArrived, RequestId


def update_kind(endpoint_list: EndpointList, is_cached: bool) -> ListUpdateKind:
    """Return what kind of update an endpoint list is for the policy.

    Args:
        endpoint_list: A complete list or the changes since the last one.
        is_cached: Whether the list was read from the cache.
    """
    if is_cached:
        return ListUpdateKind.CACHED
    return ListUpdateKind.COMPLETE if endpoint_list.is_complete else ListUpdateKind.DELTA


def request_arrived_event(
    request_id: RequestId, client_request: ClientRequest, timeout_us: int
) -> RequestArrived:
    """Return the event of a new request.

    Args:
        request_id: The number of the request.
        client_request: The request.
        timeout_us: The time that it has left, in microseconds.
    """
    return RequestArrived(
        request_id,
        client_request.class_name,
        timeout_us,
        client_request.cost_us,
        client_request.key,
        client_request.is_client_retry,
        client_request.tenant,
    )
