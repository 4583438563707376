"""The retry policy: when and where a request may be retried, and whether it may be shed."""

from __future__ import annotations

from collections.abc import Callable

from http_gateway.policy.endpoint import Endpoint, EndpointId
from http_gateway.policy.hold_up_margin import HOLD_UP_MARGIN_US
from http_gateway.policy.pending_request import PendingRequest
from http_gateway.policy.retry_budget import RetryBudget
from http_gateway.policy.settings import DeduplicationScope, Idempotency, Settings

# Number of attempts of a request that take no token from the retry budget: the first attempt and one retry. A
# hedged attempt always takes a token.
ATTEMPTS_WITHOUT_BUDGET = 2


def retry_deadline_us(pending: PendingRequest) -> int | None:
    """Return the time before which the last byte of another attempt has to be written.

    With an idempotency key this is shortly before the end of the deduplication window, which begins at the
    start of the earliest attempt that was possibly executed. The margin covers a process that is held up
    between the check of this deadline and the write. A request that must be executed at most once must not be
    retried after such an attempt, so its deadline is the start of that attempt.

    Returns:
        The deadline. None if the request is idempotent or was certainly not executed.
    """
    request_class = pending.request_class
    if request_class.idempotency is Idempotency.IDEMPOTENT:
        return None
    first = pending.first_possibly_executed
    if first is None:
        return None
    if request_class.idempotency is Idempotency.IDEMPOTENCY_KEY:
        return first.started_at_us + request_class.deduplication_window_us - HOLD_UP_MARGIN_US
    return first.started_at_us


def may_retry_on(
    endpoint: Endpoint, pending: PendingRequest, find_listed: Callable[[EndpointId], Endpoint | None]
) -> bool:
    """Return whether deduplication allows a retry of a request at an endpoint.

    Only requests with an idempotency key are limited here; `retry_deadline_us` covers those that must be
    executed at most once. An endpoint drops a repeated idempotency key if it shares the deduplication scope
    of the endpoint that executed the request. The scope is checked against every endpoint that possibly
    executed it, once with the list entry from the start of the attempt and once with the present one. If that
    endpoint has moved to another zone or group since, its record of the key may be in either scope.

    Args:
        endpoint: The endpoint that would get the retry.
        pending: The request to retry.
        find_listed: Returns the present list entry of an endpoint, or None.
    """
    request_class = pending.request_class
    if request_class.idempotency is not Idempotency.IDEMPOTENCY_KEY:
        return True
    scope = request_class.deduplication_scope
    if scope is DeduplicationScope.ALL:
        return True
    return all(
        _share_scope(endpoint, other, scope)
        for attempt in pending.possibly_executed_attempts
        for other in (attempt.endpoint, find_listed(attempt.endpoint.id))
        if other is not None
    )


def _share_scope(endpoint: Endpoint, other: Endpoint, scope: DeduplicationScope) -> bool:
    if scope is DeduplicationScope.ZONE:
        return endpoint.zone == other.zone != ""
    return endpoint.deduplication_group == other.deduplication_group is not None


def may_shed(pending: PendingRequest, now_us: int) -> bool:
    """Return whether a request may be shed, after which its client may retry it at any gateway.

    A request without a retry deadline may be shed. Otherwise its deadline must not have passed, and all
    endpoints must drop a repeat of its idempotency key, since any of them may get the client's retry.
    """
    deadline_us = retry_deadline_us(pending)
    if deadline_us is None:
        return True
    scope = pending.request_class.deduplication_scope
    return now_us < deadline_us and scope is DeduplicationScope.ALL


class RetryPolicy:
    """Decides whether an attempt of a request may start, including the first one."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._budget = RetryBudget(settings.gateway_count)

    def on_request(self) -> None:
        """Add the contribution of a new request to the retry budget."""
        self._budget.deposit()

    def allows_attempt(self, pending: PendingRequest, now_us: int) -> bool:
        """Return whether another attempt may start.

        The result depends on the client's deadline, the number of attempts, the retry budget, whether hedging
        is allowed, and idempotency.
        """
        attempts = len(pending.attempts)
        if now_us >= pending.deadline_us or attempts >= self._settings.max_attempts:
            return False
        if not attempts:
            return True
        if self.needs_budget(pending) and not self._budget.has_token:
            return False
        if pending.has_attempt_in_flight and not self._settings.hedging_allowed:
            return False
        deadline_us = retry_deadline_us(pending)
        return deadline_us is None or now_us < deadline_us

    def needs_budget(self, pending: PendingRequest) -> bool:
        """Return whether the next attempt of a request takes a token from the retry budget."""
        return len(pending.attempts) >= ATTEMPTS_WITHOUT_BUDGET or pending.has_attempt_in_flight

    def on_attempt(self, pending: PendingRequest) -> None:
        """Take a token from the retry budget if the next attempt needs one.

        This has to be called before the attempt is added to the request.
        """
        if self.needs_budget(pending):
            self._budget.withdraw()
