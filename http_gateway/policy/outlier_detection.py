"""Outlier detection: which attempts count as failures of an endpoint or of a request class there."""

from __future__ import annotations

from http_gateway.policy.endpoint_set import EndpointSet
from http_gateway.policy.events import Outcome
from http_gateway.policy.latency_estimate import LatencyEstimate
from http_gateway.policy.pending_request import Attempt, PendingRequest
from http_gateway.policy.tracked_endpoint import TrackedEndpoint

# Closed breakers ignore failures while at least this fraction of all endpoint breakers is open. Otherwise a
# fault that all endpoints share would exclude endpoints that can still do useful work.
MAX_OPEN_FRACTION = 0.5
# The same limit for the breakers of one request class. It is higher because an endpoint with an open class
# breaker still serves the other classes.
MAX_CLASS_OPEN_FRACTION = 0.75

SLOW_ATTEMPT_FACTOR = 2.5  # An attempt in flight for this multiple of its expected latency is slow.

# A timeout is not a failure, because the client's own time limit ended the attempt. An endpoint that is too
# slow is detected earlier, by its slow attempts.
FAILURE_OUTCOMES = frozenset(
    {Outcome.ERROR, Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.UNKNOWN}
)
# A failed or reset connection is a fault of the endpoint or the network, not of the request class.
CLASS_FAILURE_OUTCOMES = frozenset({Outcome.ERROR, Outcome.REJECTED, Outcome.UNKNOWN})
# Outcomes of attempts without a response: still in flight (None), timed out or cancelled.
_UNANSWERED_OUTCOMES = frozenset({None, Outcome.TIMEOUT, Outcome.CANCELLED})


class OutlierDetector:
    """Records failed and slow attempts at the circuit breakers of their endpoints."""

    def __init__(self, endpoints: EndpointSet, latency: LatencyEstimate) -> None:
        self._endpoints = endpoints
        self._latency = latency

    def slow_attempt_timeout_us(self, pending: PendingRequest) -> int:
        """Return the time after which an attempt of this request counts as slow if still in flight."""
        return max(1, round(SLOW_ATTEMPT_FACTOR * self._latency.expected_us(pending)))

    def record_end(
        self, tracked: TrackedEndpoint, pending: PendingRequest, attempt: Attempt, now_us: int
    ) -> None:
        """Record an attempt that has ended at the breakers, by its outcome."""
        if attempt.outcome in FAILURE_OUTCOMES:
            tracked.load.record_failure(now_us)
            self._record_failure(tracked, attempt, now_us)
        elif attempt.is_probe and attempt.outcome is not Outcome.OK:
            tracked.breaker.abandon_probe()
        if attempt.outcome in CLASS_FAILURE_OUTCOMES or self._is_unresponsive(
            tracked, pending, attempt, now_us
        ):
            self._record_class_failure(tracked, pending, attempt, now_us)
        elif attempt.is_class_probe and attempt.outcome is not Outcome.OK:
            tracked.class_breaker(pending.request_class).abandon_probe()

    def record_if_slow(
        self, tracked: TrackedEndpoint, pending: PendingRequest, attempt: Attempt, now_us: int
    ) -> bool:
        """Record an attempt in flight as failed if it is slow; return whether it is.

        The check uses the current latency estimate. If the estimate has grown since the attempt started, the
        attempt may not be slow yet. It is not checked again later.
        """
        elapsed_us = now_us - attempt.started_at_us
        if elapsed_us < SLOW_ATTEMPT_FACTOR * self._latency.expected_us(pending):
            return False
        attempt.mark_result_recorded()
        self._record_failure(tracked, attempt, now_us)
        if attempt.is_class_probe or self._is_unresponsive(tracked, pending, attempt, now_us):
            self._record_class_failure(tracked, pending, attempt, now_us)
        return True

    def _is_unresponsive(
        self, tracked: TrackedEndpoint, pending: PendingRequest, attempt: Attempt, now_us: int
    ) -> bool:
        """Return whether the endpoint has answered no request of the class since the attempt started.

        Only an attempt without a response that lasted at least its expected latency counts as evidence.
        Attempts that ended because the client disconnected count as well: each disconnect frees a place at
        the endpoint, so an unresponsive endpoint would otherwise look idle and attract more requests.
        """
        if attempt.outcome not in _UNANSWERED_OUTCOMES:
            return False
        if now_us - attempt.started_at_us < self._latency.expected_us(pending):
            return False
        class_breaker = tracked.class_breaker(pending.request_class)
        return class_breaker.last_response_at_us < attempt.started_at_us

    def _record_failure(self, tracked: TrackedEndpoint, attempt: Attempt, now_us: int) -> None:
        open_count = self._endpoints.open_breakers.endpoints.value
        if attempt.is_probe or open_count < MAX_OPEN_FRACTION * len(self._endpoints):
            tracked.breaker.record_failure(now_us, attempt.is_probe)

    def _record_class_failure(
        self, tracked: TrackedEndpoint, pending: PendingRequest, attempt: Attempt, now_us: int
    ) -> None:
        request_class = pending.request_class
        open_count = self._endpoints.open_breakers.of_class(request_class.name).value
        if not attempt.is_class_probe and open_count >= MAX_CLASS_OPEN_FRACTION * len(self._endpoints):
            return
        breaker = tracked.class_breaker(request_class)
        if attempt.outcome in CLASS_FAILURE_OUTCOMES:
            breaker.record_failure(now_us, attempt.is_class_probe)
        else:
            breaker.record_unanswered(now_us, attempt.is_class_probe)
