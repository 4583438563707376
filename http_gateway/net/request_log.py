"""Log lines that follow one request from its arrival to its final answer.

`request_id` is the number that the gateway gives to a request, and `client_request_id` is its X-Request-Id.
Most lines have the level DEBUG. The level is higher for a request that waited to be read, that reached its
deadline, or whose client left.
"""

from __future__ import annotations

import logging

from http_gateway.net.client_request import ClientRequest
from http_gateway.net.dispatched_request import DispatchedRequest
from http_gateway.policy.events import Outcome, RequestId
from http_gateway.policy.time_units import US_PER_MS

log = logging.getLogger(__name__)

# A request that may have waited longer than this before the gateway read it is logged as a warning.
LATE_ARRIVAL_THRESHOLD_US = 50 * US_PER_MS


def log_received(request_id: RequestId, client_request: ClientRequest, waited_us: int) -> None:
    """Log the arrival of a request.

    Args:
        request_id: The number of the request.
        client_request: The request.
        waited_us: The longest time, in microseconds, for which the request can have waited to be read.
    """
    if log.isEnabledFor(logging.DEBUG):
        log.debug(
            'request received request_id=%d client_request_id="%s" class=%s timeout_ms=%d waited_ms=%d',
            request_id,
            client_request.id,
            client_request.class_name,
            client_request.timeout_us // US_PER_MS,
            waited_us // US_PER_MS,
        )
    if waited_us > LATE_ARRIVAL_THRESHOLD_US:
        log.warning(
            'request waited to be read request_id=%d client_request_id="%s" waited_ms=%d',
            request_id,
            client_request.id,
            waited_us // US_PER_MS,
        )


def log_attempt_started(request_id: RequestId, request: DispatchedRequest, number: int) -> None:
    """Log the start of an attempt."""
    if not log.isEnabledFor(logging.DEBUG):
        return
    attempt = request.attempts[number]
    log.debug(
        "attempt started request_id=%d attempt=%d endpoint_id=%d time_left_ms=%d",
        request_id,
        number,
        attempt.endpoint_id,
        (request.deadline_at_us - attempt.started_at_us) // US_PER_MS,
    )


def log_attempt_ended(
    request_id: RequestId, request: DispatchedRequest, number: int, outcome: Outcome, now_us: int
) -> None:
    """Log the outcome of an attempt."""
    if not log.isEnabledFor(logging.DEBUG):
        return
    attempt = request.attempts[number]
    log.debug(
        "attempt ended request_id=%d attempt=%d endpoint_id=%d outcome=%s after_ms=%d",
        request_id,
        number,
        attempt.endpoint_id,
        outcome.name,
        (now_us - attempt.started_at_us) // US_PER_MS,
    )


def log_answered(request_id: RequestId, request: DispatchedRequest, status: int, now_us: int) -> None:
    """Log the final answer to a request."""
    if not log.isEnabledFor(logging.DEBUG):
        return
    log.debug(
        'request answered request_id=%d client_request_id="%s" status=%d attempts=%d time_left_ms=%d',
        request_id,
        request.client_request.id,
        status,
        len(request.attempts),
        (request.deadline_at_us - now_us) // US_PER_MS,
    )


def log_abandoned(request_id: RequestId, request: DispatchedRequest, now_us: int) -> None:
    """Log that the client of an unanswered request has left, and how much time the request had left."""
    log.info(
        'client left before its response request_id=%d client_request_id="%s" time_left_ms=%d attempts="%s"',
        request_id,
        request.client_request.id,
        (request.deadline_at_us - now_us) // US_PER_MS,
        _describe_attempts(request),
    )


def log_deadline_reached(request_id: RequestId, request: DispatchedRequest) -> None:
    """Log that a request has reached its deadline without a final answer."""
    log.info(
        'request reached its deadline request_id=%d client_request_id="%s" timeout_ms=%d attempts="%s"',
        request_id,
        request.client_request.id,
        request.client_request.timeout_us // US_PER_MS,
        _describe_attempts(request),
    )


def _describe_attempts(request: DispatchedRequest) -> str:
    """Return the endpoint of each attempt and whether the attempt has ended."""
    return " ".join(
        f"{attempt.endpoint_id}:{'ended' if attempt.has_ended else 'in flight'}"
        for attempt in request.attempts
    )
