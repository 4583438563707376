"""Whether, where and until when a request may be attempted again, and whether it may be shed."""

from __future__ import annotations

from collections.abc import Callable

from http_gateway.policy.endpoint import Endpoint, EndpointId
from http_gateway.policy.pending_request import PendingRequest
from http_gateway.policy.retry_budget import RetryBudget
from http_gateway.policy.settings import DeduplicationScope, Idempotency, Settings

ATTEMPTS_WITHOUT_BUDGET = 2  # the first one and its fallback


def retry_deadline_us(pending: PendingRequest) -> int | None:
    """The moment before which the last byte of another attempt has to be written; None if there is none."""
    request_class = pending.request_class
    if request_class.idempotency is Idempotency.IDEMPOTENT:
        return None
    first = pending.first_possibly_executed
    if first is None:
        return None
    if request_class.idempotency is Idempotency.IDEMPOTENCY_KEY:
        return first.started_at_us + request_class.deduplication_window_us
    return first.started_at_us


def may_retry_on(
    endpoint: Endpoint, pending: PendingRequest, listed: Callable[[EndpointId], Endpoint | None]
) -> bool:
    """Whether an endpoint drops the repeat if the request was executed before.

    It has to share the deduplication scope of every endpoint that possibly executed the request, both as that
    one was when the attempt started and as it is `listed` now: one that has moved may have its record of the
    key in either scope.
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
        for other in (attempt.endpoint, listed(attempt.endpoint.id))
        if other is not None
    )


def _share_scope(one: Endpoint, other: Endpoint, scope: DeduplicationScope) -> bool:
    if scope is DeduplicationScope.ZONE:
        return one.zone == other.zone != ""
    return one.deduplication_group == other.deduplication_group is not None


def may_shed(pending: PendingRequest, now_us: int) -> bool:
    """Whether a retry by the client does no harm, whenever it comes and whichever gateway gets it."""
    deadline_us = retry_deadline_us(pending)
    if deadline_us is None:
        return True
    scope = pending.request_class.deduplication_scope
    return now_us < deadline_us and scope is DeduplicationScope.ALL


class RetryPolicy:
    """Decides whether a request gets an attempt, the first included."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._budget = RetryBudget(settings.gateway_count)

    def on_request(self) -> None:
        """Count a new request, which brings its part of the retry budget."""
        self._budget.deposit()

    def allows_attempt(self, pending: PendingRequest, now_us: int) -> bool:
        """Whether time, number of attempts, retry budget and idempotency admit another attempt."""
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
        """Whether the next attempt of a request has to be paid for out of the retry budget."""
        return len(pending.attempts) >= ATTEMPTS_WITHOUT_BUDGET or pending.has_attempt_in_flight

    def on_attempt(self, pending: PendingRequest) -> None:
        """Pay for an attempt that is about to be added to the request."""
        if self.needs_budget(pending):
            self._budget.withdraw()
