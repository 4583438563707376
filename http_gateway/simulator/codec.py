"""Converts messages of the simulator protocol to policy events, and policy actions to messages.

Only this module knows the field names and outcome codes of the protocol; the policy does not use them.
Times in messages are integers in microseconds, as in the policy.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
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


class MalformedEventError(Exception):
    """A field of an event is missing or has a value that cannot be converted.

    Attributes:
        verb: The verb of the event's message.
        field: The path of the field in the message.
        problem: What is wrong with the field, as the predicate of a sentence.
    """

    def __init__(self, verb: str, field: str, problem: str) -> None:
        self.verb = verb
        self.field = field
        self.problem = problem
        super().__init__(f"{verb}: {field} {problem}")


def required_field(message: WireMessage, field: str) -> Any:
    """Return a field of a message.

    Raises:
        MalformedEventError: The field is missing.
    """
    if field not in message:
        raise MalformedEventError(message["verb"], field, "is missing")
    return message[field]


def decode_event(message: WireMessage) -> Event | None:
    """Convert a message to an event.

    Returns:
        The event; None if the policy does not use events with this verb.

    Raises:
        MalformedEventError: A field is missing or cannot be converted.
    """
    decode = _EVENT_DECODERS.get(message["verb"])
    if decode is None:
        return None
    try:
        return decode(message)
    except KeyError as error:
        raise MalformedEventError(message["verb"], str(error.args[0]), "is missing") from None


def encode_action(instance: int, action: Action) -> WireMessage:
    """Convert an action to a message.

    Args:
        instance: The number that identifies the policy instance in messages.
        action: The action of that instance.
    """
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
        outcome=_decode_outcome(message),
        latency_us=message["duration"],
        request_completed=bool(message.get("closed")),
        load_report=message.get("feedback"),
    )


def _decode_health_check(message: WireMessage) -> HealthCheckEnded:
    return HealthCheckEnded(
        endpoint_id=message["host"],
        outcome=_decode_outcome(message),
        latency_us=message["duration"],
        load_report=message.get("feedback"),
    )


def _decode_outcome(message: WireMessage) -> Outcome:
    try:
        return _OUTCOMES.get(message["rc"], Outcome.UNKNOWN)
    except TypeError:  # The code is a list or an object, which is not hashable.
        raise MalformedEventError(message["verb"], "rc", "is not a code") from None


def _decode_timer(message: WireMessage) -> TimerFired:
    return TimerFired(message["ctx"])


def _decode_abandonment(message: WireMessage) -> RequestAbandoned:
    return RequestAbandoned(message["corr"])


def _decode_response_stream(message: WireMessage) -> ResponseStreamStarted:
    return ResponseStreamStarted(message["corr"], message["copy"], message["host"], message["duration"])


def _decode_endpoint_list(message: WireMessage) -> EndpointListUpdate:
    """Convert an endpoint list.

    A list of an unknown kind is read as a list of changes. Ignoring it could lose the start of a drain, and
    reading it as complete could remove endpoints.
    """
    kind = _UPDATE_KINDS.get(message.get("how") or "", ListUpdateKind.DELTA)
    entries = message.get("elements") or ()
    return EndpointListUpdate(
        kind, tuple(_decode_list_entry(index, entry) for index, entry in enumerate(entries))
    )


def _decode_list_entry(index: int, entry: Mapping[str, Any]) -> Endpoint:
    try:
        return _decode_endpoint(entry)
    except KeyError as error:
        raise MalformedEventError("discovery", f"elements[{index}].{error.args[0]}", "is missing") from None
    except (AttributeError, OverflowError, TypeError, ValueError) as error:
        raise MalformedEventError("discovery", f"elements[{index}]", f"cannot be read: {error}") from error


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


_EVENT_DECODERS: dict[str, Callable[[WireMessage], Event]] = {
    "order": _decode_request,
    "attemptEnd": _decode_attempt_end,
    "wakeup": _decode_timer,
    "probeResult": _decode_health_check,
    "discovery": _decode_endpoint_list,
    "expired": _decode_abandonment,
    "headers": _decode_response_stream,
}
