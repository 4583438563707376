"""A test driver that calls one policy and checks every action against the policy rules."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

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
from http_gateway.policy.balancer import Balancer
from http_gateway.policy.endpoint import Endpoint, EndpointId
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
from http_gateway.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings
from http_gateway.policy.time_units import US_PER_MS, US_PER_S
from tests.support.policy_rules import (
    NotifiedEndpoints,
    assert_attempt_allowed,
    assert_not_executed_twice,
    assert_shed_allowed,
)

DEFAULT_TIMEOUT_US = 400 * US_PER_MS  # client timeout of a request

READ = RequestClass("read", 150 * US_PER_MS, 500 * US_PER_MS, Idempotency.IDEMPOTENT)
BUY = RequestClass("buy", 150 * US_PER_MS, 500 * US_PER_MS, Idempotency.AT_MOST_ONCE)
KEYED_CLASSES = {
    scope: RequestClass(
        f"keyed-{scope.value}",
        150 * US_PER_MS,
        500 * US_PER_MS,
        Idempotency.IDEMPOTENCY_KEY,
        scope,
        300 * US_PER_MS,
    )
    for scope in DeduplicationScope
}
CLASSES = (READ, BUY, *KEYED_CLASSES.values())


def endpoints(count: int, started_at_us: int = 0) -> tuple[Endpoint, ...]:
    """Return ready endpoints with ids from 1 in two zones and in deduplication groups of two."""
    return tuple(
        Endpoint(
            endpoint_id,
            zone="ab"[endpoint_id % 2],
            deduplication_group=endpoint_id // 2,
            started_at_us=started_at_us,
        )
        for endpoint_id in range(1, count + 1)
    )


class FinalAnswer(Enum):
    """How a request was completed."""

    SERVED = "served"
    SHED = "shed"
    FAILED = "failed"
    ABANDONED = "abandoned"


class UnansweredRequest(NamedTuple):
    """A request without a final answer."""

    request: RequestArrived
    deadline_us: int


class Timer(NamedTuple):
    """A timer that the policy has set and that has not fired."""

    due_at_us: int
    token: str


@dataclass
class AttemptRecord:
    """An attempt that the policy has started."""

    request_id: RequestId
    number: int
    endpoint_id: EndpointId
    started_at_us: int
    expires_at_us: int = 0
    last_byte_before_us: int = 0
    outcome: Outcome | None = None

    @property
    def in_flight(self) -> bool:
        """Whether the attempt has not ended."""
        return self.outcome is None

    @property
    def possibly_executed(self) -> bool:
        """Whether the endpoint may have executed the request, or may still execute it."""
        return self.outcome is None or not self.outcome.proves_not_executed


@dataclass
class PolicyDriver:
    """Calls one policy with events and checks every action that it returns.

    Its clock only advances when a test calls a method that does so.
    """

    settings: Settings = field(default_factory=lambda: Settings(CLASSES))
    endpoint_count: int = 4
    seed: int = 1
    classes: tuple[RequestClass, ...] = CLASSES
    now_us: int = 100 * US_PER_S
    attempts: list[AttemptRecord] = field(default_factory=list)
    unanswered: dict[RequestId, UnansweredRequest] = field(default_factory=dict)
    answers: dict[RequestId, list[FinalAnswer]] = field(default_factory=dict)
    class_names: dict[RequestId, str] = field(default_factory=dict)
    notified: NotifiedEndpoints = field(default_factory=NotifiedEndpoints)
    timers: list[Timer] = field(default_factory=list)
    watch_requests: int = 0
    _new_attempts: list[AttemptRecord] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.balancer = Balancer(self.settings, self.seed)
        if self.endpoint_count:
            self.notify_endpoints(endpoints(self.endpoint_count))

    # Time

    def advance(self, duration_us: int) -> None:
        """Advance the clock by a duration without firing timers."""
        self.now_us += duration_us

    def advance_to(self, time_us: int) -> None:
        """Set the clock to a time without firing timers."""
        self.now_us = time_us

    def fire_timer(self, due_at_us: int, token: str) -> list[Action]:
        """Advance the clock to the due time of a timer, unless that has passed, and fire the timer."""
        self.now_us = max(self.now_us, due_at_us)
        return self.feed(TimerFired(token))

    def fire_due_timers(self) -> None:
        """Fire all timers that are due, in the order in which they were set."""
        for timer in [timer for timer in self.timers if timer.due_at_us <= self.now_us]:
            self.timers.remove(timer)
            self.fire_timer(timer.due_at_us, timer.token)

    def run_until(self, end_at_us: int) -> None:
        """Advance the clock to a time; fire timers and expire attempts on the way, in order of time."""
        while True:
            timers = [timer.due_at_us for timer in self.timers]
            deadlines = [unanswered.deadline_us for unanswered in self.unanswered.values()]
            expiries = [attempt.expires_at_us for attempt in self.in_flight() if attempt.expires_at_us]
            next_at_us = min([*timers, *deadlines, *expiries], default=end_at_us + 1)
            if next_at_us > end_at_us:
                break
            self.now_us = max(self.now_us, next_at_us)
            self.expire_overdue()
            self.fire_due_timers()
        self.now_us = end_at_us

    def expire_overdue(self) -> None:
        """Time out the attempts that have expired or whose client's deadline has passed.

        The caller of a policy has to do the same. A request must have its final answer by its deadline.
        """
        overdue = [
            request_id
            for request_id, unanswered in self.unanswered.items()
            if unanswered.deadline_us <= self.now_us
        ]
        for attempt in self.in_flight():
            if attempt.request_id in overdue or 0 < attempt.expires_at_us <= self.now_us:
                self.end_attempt(attempt, Outcome.TIMEOUT)
        is_answered = not any(request_id in self.unanswered for request_id in overdue)
        assert is_answered, "request without a final answer at its deadline"

    # Events

    def feed(self, event: Event) -> list[Action]:
        """Pass an event to the policy and check the actions that it returns."""
        actions = self.balancer.handle(event, self.now_us)
        for action in actions:
            self._check_action(action)
        return actions

    def notify_endpoints(
        self, entries: Iterable[Endpoint], kind: ListUpdateKind = ListUpdateKind.COMPLETE
    ) -> list[Action]:
        """Send an endpoint list to the policy."""
        entries_by_id = {endpoint.id: endpoint for endpoint in entries}
        self.notified.update(entries_by_id.values(), kind, self.now_us)
        return self.feed(EndpointListUpdate(kind, tuple(entries_by_id.values())))

    def send_request(
        self,
        request_class: RequestClass = READ,
        timeout_us: int = DEFAULT_TIMEOUT_US,
        cost_us: int = 0,
        key: str | None = None,
        is_client_retry: bool = False,
        tenant: str = "",
    ) -> RequestId:
        """Send a new request to the policy and return its id."""
        request_id = len(self.answers) + 1
        request = RequestArrived(
            request_id, request_class.name, timeout_us, cost_us, key, is_client_retry, tenant
        )
        self.unanswered[request_id] = UnansweredRequest(request, self.now_us + timeout_us)
        self.answers[request_id] = []
        self.class_names[request_id] = request_class.name
        self.feed(request)
        return request_id

    def serve_request(
        self, request_class: RequestClass = READ, latency_us: int = 30 * US_PER_MS
    ) -> AttemptRecord:
        """Send a request, let its first attempt succeed after a latency, and return that attempt."""
        attempt = self.in_flight(self.send_request(request_class))[0]
        self.advance(latency_us)
        self.end_attempt(attempt)
        return attempt

    def end_attempt(
        self,
        attempt: AttemptRecord,
        outcome: Outcome = Outcome.OK,
        load_report: Mapping[str, float] | None = None,
    ) -> list[Action]:
        """End an attempt that is in flight."""
        assert attempt.outcome is None
        attempt.outcome = outcome
        if outcome is Outcome.OK and attempt.request_id in self.unanswered:
            del self.unanswered[attempt.request_id]
            self.answers[attempt.request_id].append(FinalAnswer.SERVED)
        return self.feed(
            AttemptEnded(
                attempt.request_id,
                attempt.number,
                attempt.endpoint_id,
                outcome,
                self.now_us - attempt.started_at_us,
                attempt.request_id not in self.unanswered,
                dict(load_report) if load_report else None,
            )
        )

    def start_stream(self, attempt: AttemptRecord) -> list[Action]:
        """Start to stream the response of an attempt to the client."""
        return self.feed(
            ResponseStreamStarted(
                attempt.request_id, attempt.number, attempt.endpoint_id, self.now_us - attempt.started_at_us
            )
        )

    def abandon(self, request_id: RequestId) -> list[Action]:
        """Disconnect the client of a request."""
        self.unanswered.pop(request_id, None)
        self.answers[request_id].append(FinalAnswer.ABANDONED)
        return self.feed(RequestAbandoned(request_id))

    # Attempts

    def attempts_of(self, request_id: RequestId) -> list[AttemptRecord]:
        """Return the attempts of a request in starting order."""
        return [attempt for attempt in self.attempts if attempt.request_id == request_id]

    def in_flight(self, request_id: RequestId | None = None) -> list[AttemptRecord]:
        """Return the attempts in flight of one request, or of all requests if no id is given."""
        return [
            attempt
            for attempt in self.attempts
            if attempt.outcome is None and request_id in (None, attempt.request_id)
        ]

    def take_new_attempts(self) -> list[AttemptRecord]:
        """Return the attempts that were started since the previous call of this method."""
        taken, self._new_attempts = self._new_attempts, []
        return taken

    def take_timers(self) -> list[Timer]:
        """Remove all timers that are set and return them."""
        taken, self.timers = self.timers, []
        return taken

    def discard_completed(self, max_attempts: int) -> None:
        """Remove the attempts of completed requests once there are more than `max_attempts` attempts.

        Many methods search all attempts, so a long simulation would slow down without this.
        """
        if len(self.attempts) > max_attempts:
            busy = {attempt.request_id for attempt in self.in_flight()}
            self.attempts = [
                attempt
                for attempt in self.attempts
                if attempt.request_id in busy or attempt.request_id in self.unanswered
            ]

    def discard_attempts_and_timers(self) -> None:
        """Remove all attempts and timers; the attempts in flight then never end."""
        self.attempts.clear()
        self._new_attempts.clear()
        self.timers.clear()

    # Policy rules

    def _check_action(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._check_attempt(action)
            case ShedRequest() | FailRequest():
                self._check_answer(action)
            case SetTimer(delay_us, token):
                assert delay_us > 0
                self.timers.append(Timer(self.now_us + delay_us, token))
            case CancelAttempt(request_id, attempt_number):
                assert self.settings.cancellation_allowed
                assert attempt_number < len(self.attempts_of(request_id))
            case CheckHealth(endpoint_id):
                assert self.settings.health_checks_allowed
                assert endpoint_id in self.notified.latest
            case WatchEndpointList():
                self.watch_requests += 1

    def _check_attempt(self, action: StartAttempt) -> None:
        assert action.request_id in self.unanswered, "attempt started after the request was completed"
        request, deadline_us = self.unanswered[action.request_id]
        assert self.now_us < deadline_us, "attempt started after the client's deadline"
        earlier = self.attempts_of(action.request_id)
        self.notified.assert_ready(action.endpoint_id)
        assert_attempt_allowed(self.settings, earlier)
        assert_not_executed_twice(action, self._class_of(request), earlier, self.notified, self.now_us)
        attempt = AttemptRecord(
            action.request_id,
            len(earlier),
            action.endpoint_id,
            self.now_us,
            action.expires_at_us,
            action.last_byte_before_us,
        )
        self.attempts.append(attempt)
        self._new_attempts.append(attempt)

    def _check_answer(self, action: ShedRequest | FailRequest) -> None:
        assert action.request_id in self.unanswered, "second final answer to a request"
        request, _ = self.unanswered.pop(action.request_id)
        if isinstance(action, ShedRequest):
            assert_shed_allowed(self._class_of(request), self.attempts_of(request.request_id))
        answer = FinalAnswer.SHED if isinstance(action, ShedRequest) else FinalAnswer.FAILED
        self.answers[request.request_id].append(answer)

    def _class_of(self, request: RequestArrived) -> RequestClass:
        return next(known for known in self.classes if known.name == request.class_name)
