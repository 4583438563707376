"""Outlier detection: which attempts count as failures of their endpoint, or of a request class there."""

from __future__ import annotations

from http_gateway.policy.endpoint_set import EndpointSet
from http_gateway.policy.events import Outcome
from http_gateway.policy.latency_estimate import LatencyEstimate
from http_gateway.policy.pending_request import Attempt, PendingRequest
from http_gateway.policy.tracked_endpoint import TrackedEndpoint

# No closed breaker counts a failure while this fraction of them is open: a fault that all endpoints share
# must not keep the gateway from work that they can do.
MAX_OPEN_FRACTION = 0.5
MAX_CLASS_OPEN_FRACTION = 0.75  # likewise of the breakers of a class; the endpoints still serve the others

SLOW_ATTEMPT_FACTOR = 2.5  # an attempt in flight for this multiple of its expected latency is slow

# A time-out is no failure: the client's own limit cut it short. Slow attempts are detected before.
FAILURES = frozenset(
    {Outcome.ERROR, Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.UNKNOWN}
)
# Failed connections are a fault of the endpoint or the network, not of the request class.
CLASS_FAILURES = frozenset({Outcome.ERROR, Outcome.REJECTED, Outcome.UNKNOWN})
_UNANSWERED = frozenset({None, Outcome.TIMEOUT, Outcome.CANCELLED})  # in flight, or given up while it was


class OutlierDetector:
    """Charges failed and slow attempts to the breakers of their endpoints."""

    def __init__(self, endpoints: EndpointSet, latency: LatencyEstimate) -> None:
        self._endpoints = endpoints
        self._latency = latency

    def slow_attempt_timeout_us(self, pending: PendingRequest) -> int:
        """The time after which an attempt of this request that is still in flight is slow."""
        return max(1, round(SLOW_ATTEMPT_FACTOR * self._latency.expected_us(pending)))

    def record_end(
        self, tracked: TrackedEndpoint, pending: PendingRequest, attempt: Attempt, now_us: int
    ) -> None:
        """Judge an attempt by how it ended."""
        if attempt.outcome in FAILURES:
            tracked.load.record_failure(now_us)
            self._record_failure(tracked, attempt, now_us)
        elif attempt.is_probe and attempt.outcome is not Outcome.OK:
            tracked.breaker.abandon_probe()
        if attempt.outcome in CLASS_FAILURES or self._is_silent(tracked, pending, attempt, now_us):
            self._record_class_failure(tracked, pending, attempt, now_us)
        elif attempt.is_class_probe and attempt.outcome is not Outcome.OK:
            tracked.class_breaker(pending.request_class).abandon_probe()

    def record_if_slow(
        self, tracked: TrackedEndpoint, pending: PendingRequest, attempt: Attempt, now_us: int
    ) -> bool:
        """Judge an attempt in flight if it is slow by the present estimate; return whether it is.

        If the estimate has grown since the attempt started there is no second look later.
        """
        elapsed_us = now_us - attempt.started_at_us
        if elapsed_us < SLOW_ATTEMPT_FACTOR * self._latency.expected_us(pending):
            return False
        attempt.mark_result_recorded()
        self._record_failure(tracked, attempt, now_us)
        if attempt.is_class_probe or self._is_silent(tracked, pending, attempt, now_us):
            self._record_class_failure(tracked, pending, attempt, now_us)
        return True

    def _is_silent(
        self, tracked: TrackedEndpoint, pending: PendingRequest, attempt: Attempt, now_us: int
    ) -> bool:
        """Whether the endpoint left an attempt unanswered and answered none of its class meanwhile.

        Clients that disconnect early must not hide that: each of them makes a silent endpoint look idle.
        """
        if attempt.outcome not in _UNANSWERED:
            return False
        if now_us - attempt.started_at_us < self._latency.expected_us(pending):
            return False
        class_breaker = tracked.class_breaker(pending.request_class)
        return class_breaker.last_response_at_us < attempt.started_at_us

    def _record_failure(self, tracked: TrackedEndpoint, attempt: Attempt, now_us: int) -> None:
        endpoints = self._endpoints.all
        open_breakers = sum(not other.breaker.is_closed for other in endpoints)
        if attempt.is_probe or open_breakers < MAX_OPEN_FRACTION * len(endpoints):
            tracked.breaker.record_failure(now_us, attempt.is_probe)

    def _record_class_failure(
        self, tracked: TrackedEndpoint, pending: PendingRequest, attempt: Attempt, now_us: int
    ) -> None:
        request_class, endpoints = pending.request_class, self._endpoints.all
        open_breakers = sum(not other.class_breaker(request_class).is_closed for other in endpoints)
        if not attempt.is_class_probe and open_breakers >= MAX_CLASS_OPEN_FRACTION * len(endpoints):
            return
        breaker = tracked.class_breaker(request_class)
        if attempt.outcome in CLASS_FAILURES:
            breaker.record_failure(now_us, attempt.is_class_probe)
        else:
            breaker.record_unanswered(now_us, attempt.is_class_probe)
