"""Maps messages of the simulator's wire to the policy's events, and its actions to messages.

The field names and codes here are those of the wire; the policy knows none of them.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from http_gateway.policy.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    FailRequest,
    SetTimer,
    ShedRequest,
    StartAttempt,
    WatchEndpointList,
)
from http_gateway.policy.endpoint import Endpoint, EndpointState
from http_gateway.policy.events import (
    AttemptEnded,
    EndpointListUpdate,
    Event,
    HealthCheckEnded,
    ListUpdateKind,
    Outcome,
    RequestAbandoned,
    RequestArrived,
    ResponseStreamStarted,
    TimerFired,
)

WireMessage = dict[str, Any]

_OUTCOMES = {
    10: Outcome.OK,
    20: Outcome.ERROR,
    30: Outcome.REJECTED,
    40: Outcome.TIMEOUT,
    50: Outcome.CONNECT_FAILED,
    60: Outcome.RESET,
    70: Outcome.CANCELLED,
    80: Outcome.NOT_SENT,
}
_STATES = {"IN": EndpointState.READY, "LAME": EndpointState.DRAINING, "OUT": EndpointState.REMOVED}
_UPDATE_KINDS = {
    "diff": ListUpdateKind.DELTA,
    "snapshot": ListUpdateKind.COMPLETE,
    "disk": ListUpdateKind.CACHED,
    "error": ListUpdateKind.FAILED,
}


def decode_event(message: WireMessage) -> Event | None:
    """Decode an event; None for one that the policy does not use.

    Raises KeyError for a message without a field that its kind must have.
    """
    match message["verb"]:
        case "order":
            return _decode_request(message)
        case "attemptEnd":
            return _decode_attempt_end(message)
        case "wakeup":
            return TimerFired(message["ctx"])
        case "probeResult":
            return _decode_health_check(message)
        case "discovery":
            return _decode_endpoint_list(message)
        case "expired":
            return RequestAbandoned(message["corr"])
        case "headers":
            return ResponseStreamStarted(
                message["corr"], message["copy"], message["host"], message["duration"]
            )
        case _:
            return None


def encode_action(instance: int, action: Action) -> WireMessage:
    """Encode an action of an instance."""
    match action:
        case StartAttempt(request_id, endpoint_id, expires_at_us):
            return {
                "verb": "dispatch",
                "gateway": instance,
                "corr": request_id,
                "host": endpoint_id,
                "notPast": expires_at_us,
            }
        case CancelAttempt(request_id, attempt_number):
            return {
                "verb": "abortAttempt",
                "gateway": instance,
                "corr": request_id,
                "copy": attempt_number,
            }
        case ShedRequest(request_id, retry_after_us):
            return {"verb": "refuse", "gateway": instance, "corr": request_id, "backoff": retry_after_us}
        case FailRequest(request_id):
            return {"verb": "giveUp", "gateway": instance, "corr": request_id}
        case CheckHealth(endpoint_id):
            return {"verb": "inspect", "gateway": instance, "host": endpoint_id}
        case SetTimer(delay_us, token):
            return {"verb": "wakeMe", "gateway": instance, "offset": delay_us, "ctx": token}
        case WatchEndpointList():
            return {"verb": "follow", "gateway": instance, "enable": True}


def _decode_request(message: WireMessage) -> RequestArrived:
    return RequestArrived(
        request_id=message["corr"],
        class_name=message["grade"],
        timeout_us=message["expiresIn"],
        cost_us=message.get("weightHint") or 0,
        key=message.get("routeKey"),
        is_client_retry=bool(message.get("isRetry")),
        tenant=str(message.get("tenant") or ""),
    )


def _decode_attempt_end(message: WireMessage) -> AttemptEnded:
    return AttemptEnded(
        request_id=message["corr"],
        attempt_number=message["copy"],
        endpoint_id=message["host"],
        outcome=_OUTCOMES.get(message["rc"], Outcome.UNKNOWN),
        latency_us=message["duration"],
        request_completed=bool(message.get("closed")),
        load_report=message.get("feedback"),
    )


def _decode_health_check(message: WireMessage) -> HealthCheckEnded:
    return HealthCheckEnded(
        endpoint_id=message["host"],
        outcome=_OUTCOMES.get(message["rc"], Outcome.UNKNOWN),
        latency_us=message["duration"],
        load_report=message.get("feedback"),
    )


def _decode_endpoint_list(message: WireMessage) -> EndpointListUpdate:
    """A list of an unknown kind is read as changes, which loses neither a drain nor an endpoint."""
    kind = _UPDATE_KINDS.get(message.get("how") or "", ListUpdateKind.DELTA)
    return EndpointListUpdate(kind, tuple(_decode_endpoint(entry) for entry in message.get("elements") or ()))


def _decode_endpoint(entry: Mapping[str, Any]) -> Endpoint:
    return Endpoint(
        id=entry["host"],
        state=_STATES.get(entry.get("stageState") or "", EndpointState.DRAINING),
        zone=str(entry.get("regionPart") or ""),
        machine_type=str(entry.get("sku") or ""),
        deduplication_group=None if entry.get("group") is None else int(entry["group"]),
        weight=float(entry.get("rating") or 1.0),
        started_at_us=int(entry.get("readyAt") or 0),
    )
