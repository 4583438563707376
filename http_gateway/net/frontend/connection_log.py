"""Log lines that give the reason why the gateway closes a client connection or rejects a request."""

from __future__ import annotations

import logging
from enum import StrEnum

log = logging.getLogger(__name__)


class CloseReason(StrEnum):
    """Why the gateway closes a client connection that the client has not closed."""

    CONNECTION_LIMIT = "connection limit reached"
    EVICTED = "evicted for a new connection"
    IDLE_TIMEOUT = "idle timeout"
    LINGER_TIMEOUT = "linger timeout"
    UNREAD_RESPONSE = "response not read"
    SHUTDOWN = "shutdown"


def log_closed(reason: CloseReason, unsent_bytes: int = 0) -> None:
    """Log that the gateway closes a connection.

    Each reason has a message template of its own, so that the rate limit of log lines counts it separately.

    Args:
        reason: Why the connection is closed.
        unsent_bytes: Number of response bytes that are discarded.
    """
    log.info(f'client connection closed reason="{reason.value}" unsent_bytes=%d', unsent_bytes)


def log_rejected(status: int, reason: str, request_count: int) -> None:
    """Log that the gateway answers a client with an error because of what the client has sent.

    Args:
        status: The status of the response.
        reason: What is wrong with the request.
        request_count: Number of requests that the client has begun to send on the connection.
    """
    log.info('request rejected status=%d reason="%s" connection_requests=%d', status, reason, request_count)
