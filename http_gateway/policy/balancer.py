"""The balancer, which passes events to the parts of the policy and tracks the pending requests."""

from __future__ import annotations

from random import Random

from http_gateway.policy.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    SetTimer,
    ShedRequest,
    StartAttempt,
    WatchEndpointList,
)
from http_gateway.policy.endpoint_selection import EndpointSelector
from http_gateway.policy.endpoint_set import EndpointSet
from http_gateway.policy.events import (
    AttemptEnded,
    EndpointListUpdate,
    Event,
    ListUpdateKind,
    Outcome,
    RequestAbandoned,
    RequestArrived,
    RequestId,
    ResponseStreamStarted,
    TimerFired,
)
from http_gateway.policy.hold_up_margin import response_margin_us
from http_gateway.policy.latency_estimate import LatencyEstimate
from http_gateway.policy.load_shedding import LoadShedder
from http_gateway.policy.outlier_detection import OutlierDetector
from http_gateway.policy.pending_request import Attempt, PendingRequest
from http_gateway.policy.retry_policy import RetryPolicy, may_shed, retry_deadline_us
from http_gateway.policy.settings import RequestClass, Settings
from http_gateway.policy.tenant_quota import TenantQuotas
from http_gateway.policy.time_units import US_PER_S
from http_gateway.policy.tracked_endpoint import TrackedEndpoint

# A response within this fraction of its latency objective counts as in time and indicates spare capacity.
IN_TIME_FRACTION = 0.5
# Mean delay after which the client of a shed request should retry, as a fraction of the latency objective.
RETRY_AFTER_FRACTION = 0.25
RETRY_AFTER_JITTER = 0.5  # the delay varies by up to this fraction in both directions
WATCH_RETRY_US = US_PER_S  # mean delay before discovery is called again after a failure
WATCH_RETRY_JITTER = 0.5  # the delay varies by up to this fraction in both directions
# Token of the timer for the next call to discovery. The tokens of all other timers name an attempt.
WATCH_TIMER = "subscribe"


class Balancer:
    """Decides how a gateway handles its requests, one event at a time.

    It reads no clock and does no I/O, so the same settings, seed and events always give the same actions.

    Args:
        settings: The settings of the gateway.
        seed: The seed of the random number generator.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self._settings = settings
        self._random = Random(seed)
        self._classes = {request_class.name: request_class for request_class in settings.classes}
        self._pending: dict[RequestId, PendingRequest] = {}
        self._latency = LatencyEstimate()
        self._quotas = TenantQuotas(settings.tenant_quotas_per_s)
        self._shedder = LoadShedder(settings.over_quota_weight, self._random)
        self._retries = RetryPolicy(settings)
        self._endpoints = EndpointSet(settings, self._random)
        self._slow_start = self._endpoints.slow_start
        self._selector = EndpointSelector(
            settings, self._random, self._endpoints, self._slow_start, self._latency
        )
        self._outliers = OutlierDetector(self._endpoints, self._latency)

    def response_margin_us(self, class_name: str) -> int:
        """Return how long before a client's timeout a request of this class has to be answered.

        A class that is missing from the settings has no margin.
        """
        request_class = self._classes.get(class_name)
        return 0 if request_class is None else response_margin_us(request_class)

    def handle(self, event: Event, now_us: int) -> list[Action]:
        """Process one event.

        Args:
            event: What happened; events of unknown types are ignored.
            now_us: The time of the event, never earlier than that of the previous one.

        Returns:
            The actions to execute, in order.
        """
        match event:
            case RequestArrived():
                return self._on_request(event, now_us)
            case AttemptEnded():
                return self._on_attempt_ended(event, now_us)
            case EndpointListUpdate():
                return self._on_endpoint_list(event, now_us)
            case TimerFired(token):
                return self._on_timer(token, now_us)
            case ResponseStreamStarted():
                return self._on_response_stream(event, now_us)
            case RequestAbandoned(request_id):
                pending = self._pending.get(request_id)
                return self._complete(pending) if pending else []
            case _:
                return []

    # Requests

    def _on_request(self, request: RequestArrived, now_us: int) -> list[Action]:
        request_class = self._find_class(request)
        self._endpoints.update_weights_if_due(now_us)
        pending = PendingRequest(request, request_class, now_us, now_us + request.timeout_us)
        self._pending[request.request_id] = pending
        if request.timeout_us <= 0:
            return self._shed_or_fail(pending, now_us)
        self._retries.on_request()
        over_quota = self._quotas.is_over_quota(request, now_us)
        cost_us = self._latency.cost_us(pending)
        if self._shedder.sheds(request, request_class, over_quota=over_quota, cost_us=cost_us, now_us=now_us):
            return self._shed_or_fail(pending, now_us)
        return self._continue_request(pending, now_us)

    def _find_class(self, request: RequestArrived) -> RequestClass:
        """Return the class of a request.

        A class that is missing from the settings is treated as one whose requests must be executed at most
        once.
        """
        known = self._classes.get(request.class_name)
        if known is not None:
            return known
        timeout_us = request.timeout_us or 1
        unknown = RequestClass("", timeout_us, timeout_us)
        # All unknown classes share one entry, since clients can send any number of names.
        self._classes[unknown.name] = unknown
        return unknown

    def _continue_request(self, pending: PendingRequest, now_us: int) -> list[Action]:
        """Start another attempt, wait for those in flight, or shed or fail the request."""
        actions = self._start_attempt_if_allowed(pending, now_us)
        if actions or pending.has_attempt_in_flight:
            return actions
        # Rejections, or no endpoint with capacity, indicate overload. Other failures indicate bad endpoints.
        if all(attempt.outcome is Outcome.REJECTED for attempt in pending.attempts):
            self._shedder.record_load_signal(in_time=False, now_us=now_us)
        return self._shed_or_fail(pending, now_us)

    def _start_attempt_if_allowed(self, pending: PendingRequest, now_us: int) -> list[Action]:
        """Start an attempt if the retry policy allows one and an endpoint admits it."""
        if not self._retries.allows_attempt(pending, now_us):
            return []
        tracked = self._selector.choose(pending, now_us)
        if tracked is None:
            return []
        self._retries.on_attempt(pending)
        return self._start_attempt(pending, tracked, now_us)

    def _start_attempt(self, pending: PendingRequest, tracked: TrackedEndpoint, now_us: int) -> list[Action]:
        request_id, number = pending.request.request_id, len(pending.attempts)
        is_probe = tracked.breaker.start_attempt()
        is_class_probe = tracked.class_breaker(pending.request_class).start_attempt()
        last_byte_before_us = retry_deadline_us(pending) or 0
        reserved_cost_us = self._slow_start.reserve(tracked, self._latency.cost_us(pending), now_us)
        pending.add_attempt(
            Attempt(tracked.endpoint, now_us, is_probe, is_class_probe, reserved_cost_us=reserved_cost_us)
        )
        tracked.concurrency.start_attempt()
        return [
            StartAttempt(request_id, tracked.endpoint.id, last_byte_before_us=last_byte_before_us),
            SetTimer(self._outliers.slow_attempt_timeout_us(pending), f"{request_id}:{number}", request_id),
        ]

    def _shed_or_fail(self, pending: PendingRequest, now_us: int) -> list[Action]:
        """Complete a request: shed it if a retry by the client is safe, and fail it otherwise."""
        request_id = pending.request.request_id
        if may_shed(pending, now_us):
            retry_after_us = self._retry_after_us(pending.request_class)
            return [ShedRequest(request_id, retry_after_us), *self._complete(pending)]
        return [FailRequest(request_id), *self._complete(pending)]

    def _retry_after_us(self, request_class: RequestClass) -> int:
        """Return the delay after which a client should retry; 0 if the settings do not allow the hint.

        A retry after this delay can still meet the latency objective. The jitter spreads the retries of many
        clients over time.
        """
        jitter = self._random.uniform(1 - RETRY_AFTER_JITTER, 1 + RETRY_AFTER_JITTER)
        delay_us = round(request_class.latency_objective_us * RETRY_AFTER_FRACTION * jitter)
        if not self._settings.retry_after_allowed:
            return 0
        return min(delay_us, self._settings.max_retry_after_us)

    def _complete(self, pending: PendingRequest) -> list[Action]:
        """Mark a request as answered or abandoned, and cancel its attempts in flight.

        Attempts are cancelled only on the first call for a request, and only if the settings allow
        cancellation. An attempt whose response is being streamed to the client is not cancelled. The request
        is removed once all of its attempts have ended.
        """
        is_first_completion = pending.mark_answered()
        in_flight = pending.attempts_in_flight
        if not in_flight:
            del self._pending[pending.request.request_id]
        if not is_first_completion or not self._settings.cancellation_allowed:
            return []
        request_id, attempts = pending.request.request_id, pending.attempts
        return [
            CancelAttempt(request_id, number) for number in in_flight if not attempts[number].is_streaming
        ]

    # Attempts

    def _on_attempt_ended(self, event: AttemptEnded, now_us: int) -> list[Action]:
        pending, attempt = self._find_attempt(event.request_id, event.attempt_number)
        if pending is None or attempt is None:
            return []
        attempt.end(event.outcome)
        tracked = self._endpoints.get_for_attempt(attempt)
        if tracked is not None:
            tracked.concurrency.end_attempt()
            self._record_result(tracked, pending, attempt, now_us)
        if event.request_completed or pending.is_answered:
            return self._complete(pending)
        return self._continue_request(pending, now_us)

    def _on_response_stream(self, event: ResponseStreamStarted, now_us: int) -> list[Action]:
        """Record the response of an attempt that is now streamed to the client.

        The start of the response counts as its success. The duration of the stream is not measured.
        """
        pending, attempt = self._find_attempt(event.request_id, event.attempt_number)
        if pending is None or attempt is None:
            return []
        tracked = self._endpoints.get_for_attempt(attempt)
        if tracked is not None:
            tracked.record_response(pending.request_class, attempt, now_us)
        attempt.mark_streaming()
        return self._complete(pending)

    def _on_timer(self, token: str, now_us: int) -> list[Action]:
        if token == WATCH_TIMER:
            return [WatchEndpointList()]
        request_id, attempt_number = token.split(":")
        return self._on_attempt_timer(int(request_id), int(attempt_number), now_us)

    def _on_attempt_timer(self, request_id: RequestId, attempt_number: int, now_us: int) -> list[Action]:
        """Record an attempt as slow if it is still in flight, and start a hedged attempt if allowed.

        A slow attempt is recorded as a failure without waiting for its end.
        """
        pending, attempt = self._find_attempt(request_id, attempt_number)
        if pending is None or attempt is None or attempt.outcome is not None or attempt.is_result_recorded:
            return []
        tracked = self._endpoints.get_for_attempt(attempt)
        if tracked is None or not self._outliers.record_if_slow(tracked, pending, attempt, now_us):
            return []
        return [] if pending.is_answered else self._start_attempt_if_allowed(pending, now_us)

    def _find_attempt(
        self, request_id: RequestId, attempt_number: int
    ) -> tuple[PendingRequest | None, Attempt | None]:
        pending = self._pending.get(request_id)
        if pending is None or not 0 <= attempt_number < len(pending.attempts):
            return pending, None
        return pending, pending.attempts[attempt_number]

    # Statistics of attempts that have ended

    def _record_result(
        self, tracked: TrackedEndpoint, pending: PendingRequest, attempt: Attempt, now_us: int
    ) -> None:
        """Update the latency estimates, load shedding, circuit breakers and concurrency limit."""
        has_unstreamed_response = attempt.outcome is Outcome.OK and not attempt.is_streaming
        if has_unstreamed_response:
            self._record_latency(tracked, pending, attempt, now_us)
        self._record_load_signal(pending, attempt, now_us)
        if has_unstreamed_response:
            tracked.record_response(pending.request_class, attempt, now_us)
        if not attempt.is_result_recorded:
            self._adjust_concurrency_limit(tracked, pending, attempt, now_us)
            self._outliers.record_end(tracked, pending, attempt, now_us)

    def _record_latency(
        self, tracked: TrackedEndpoint, pending: PendingRequest, attempt: Attempt, now_us: int
    ) -> None:
        latency_us = now_us - attempt.started_at_us
        tracked.load.record_latency(latency_us, self._latency.expected_us(pending), now_us)
        self._latency.record(pending, latency_us)
        cost_us = self._latency.cost_us(pending)
        self._slow_start.record_response(tracked, attempt.reserved_cost_us, cost_us, now_us)

    def _record_load_signal(self, pending: PendingRequest, attempt: Attempt, now_us: int) -> None:
        """Report to the load shedder whether an attempt ended in time.

        A cancelled attempt is reported only if it was already late. If it was cancelled earlier, for example
        because the client disconnected, it does not show whether the endpoint is overloaded. Failures other
        than timeouts are not reported either.
        """
        is_late = now_us - attempt.started_at_us > _in_time_limit_us(pending.request_class)
        if attempt.outcome is Outcome.OK:
            self._shedder.record_load_signal(in_time=not is_late, now_us=now_us)
        elif attempt.outcome is Outcome.TIMEOUT or (is_late and attempt.outcome is Outcome.CANCELLED):
            self._shedder.record_load_signal(in_time=False, now_us=now_us)

    def _adjust_concurrency_limit(
        self, tracked: TrackedEndpoint, pending: PendingRequest, attempt: Attempt, now_us: int
    ) -> None:
        in_time = now_us - pending.arrived_at_us <= _in_time_limit_us(pending.request_class)
        if attempt.outcome is Outcome.OK and in_time:
            tracked.concurrency.increase()
        elif attempt.outcome is not Outcome.CANCELLED:
            tracked.concurrency.decrease(attempt.started_at_us, now_us)

    # The endpoint list

    def _on_endpoint_list(self, update: EndpointListUpdate, now_us: int) -> list[Action]:
        is_polled = self._settings.discovery_is_polled
        if update.kind is ListUpdateKind.FAILED:  # the previous endpoint list stays in use
            return [self._watch_retry_timer()] if is_polled else []
        self._endpoints.apply(update, now_us)
        return [WatchEndpointList()] if is_polled and update.kind is ListUpdateKind.CACHED else []

    def _watch_retry_timer(self) -> SetTimer:
        """Return a timer for the next call to discovery.

        Its delay is jittered so that the gateways do not all call discovery at the same time.
        """
        jitter = self._random.uniform(1 - WATCH_RETRY_JITTER, 1 + WATCH_RETRY_JITTER)
        return SetTimer(round(WATCH_RETRY_US * jitter), WATCH_TIMER)


def _in_time_limit_us(request_class: RequestClass) -> float:
    return IN_TIME_FRACTION * request_class.latency_objective_us
