"""A small driver: feeds a balancer events, numbers attempts as a host program would, checks the rules."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

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
from http_gateway.policy.endpoint import Endpoint, EndpointId, EndpointState
from http_gateway.policy.events import (
    AttemptEnded,
    EndpointListUpdate,
    Event,
    ListUpdateKind,
    Outcome,
    RequestAbandoned,
    RequestArrived,
    ResponseStreamStarted,
    TimerFired,
)
from http_gateway.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings
from http_gateway.policy.time_units import US_PER_MS, US_PER_S

READ = RequestClass("read", 150 * US_PER_MS, 500 * US_PER_MS, Idempotency.IDEMPOTENT)
BUY = RequestClass("buy", 150 * US_PER_MS, 500 * US_PER_MS, Idempotency.AT_MOST_ONCE)
KEYED_CLASSES = {
    scope: RequestClass(
        f"keyed-{scope.value}",
        150 * US_PER_MS,
        500 * US_PER_MS,
        Idempotency.IDEMPOTENCY_KEY,
        scope,
        200 * US_PER_MS,
    )
    for scope in DeduplicationScope
}
CLASSES = (READ, BUY, *KEYED_CLASSES.values())


def endpoints(count: int, **fields: object) -> tuple[Endpoint, ...]:
    """So many ready servers, in two zones and cells of two."""
    return tuple(
        Endpoint(id=number, zone="ab"[number % 2], deduplication_group=number // 2, **fields)  # type: ignore[arg-type]
        for number in range(1, count + 1)
    )


@dataclass
class DrivenAttempt:
    request_id: int
    number: int
    endpoint_id: EndpointId
    started_at_us: int
    expires_at_us: int = 0
    last_byte_before_us: int = 0
    outcome: Outcome | None = None


@dataclass
class PolicyDriver:
    """Plays the host program of one balancer and asserts the rules at every action."""

    settings: Settings = field(default_factory=lambda: Settings(CLASSES))
    endpoint_count: int = 4
    seed: int = 1
    classes: tuple[RequestClass, ...] = CLASSES
    now_us: int = 100 * US_PER_S
    attempts: list[DrivenAttempt] = field(default_factory=list)
    unanswered: dict[int, tuple[RequestArrived, int]] = field(
        default_factory=dict
    )  # unanswered, with its deadline
    answers: dict[int, list[str]] = field(default_factory=dict)
    class_names: dict[int, str] = field(default_factory=dict)
    listed: dict[EndpointId, Endpoint] = field(default_factory=dict)
    drain_notified_at_us: dict[EndpointId, int] = field(
        default_factory=dict
    )  # when a server was said to drain or be gone
    timers: list[tuple[int, str]] = field(default_factory=list)
    watch_requests: int = 0

    def __post_init__(self) -> None:
        self.balancer = Balancer(self.settings, self.seed)
        if self.endpoint_count:
            self.notify_endpoints(endpoints(self.endpoint_count))

    def feed(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(event, self.now_us)
        for action in actions:
            self._check(action)
        return actions

    def notify_endpoints(
        self, entries: Iterable[Endpoint], kind: ListUpdateKind = ListUpdateKind.COMPLETE
    ) -> list[Action]:
        named = {server.id: server for server in entries}
        if kind in (ListUpdateKind.COMPLETE, ListUpdateKind.CACHED):
            for server in self.listed:
                if server not in named:
                    self.drain_notified_at_us.setdefault(server, self.now_us)
        for server, entry in named.items():
            self.listed[server] = entry
            if entry.state is EndpointState.READY:
                self.drain_notified_at_us.pop(server, None)
            else:
                self.drain_notified_at_us.setdefault(server, self.now_us)
        return self.feed(EndpointListUpdate(kind, tuple(named.values())))

    def fire_timer(self, due: int, token: str) -> list[Action]:
        self.now_us = max(self.now_us, due)
        return self.feed(TimerFired(token))

    def new_request(self, class_name: str) -> RequestArrived:
        """A request that is not yet fed."""
        return RequestArrived(len(self.answers) + 1, class_name, 400 * US_PER_MS)

    def send_request(
        self,
        request_class: RequestClass = READ,
        timeout_us: int = 400 * US_PER_MS,
        cost_us: int = 0,
        key: str | None = None,
        is_client_retry: bool = False,
        tenant: str = "",
    ) -> int:
        request = RequestArrived(
            len(self.answers) + 1, request_class.name, timeout_us, cost_us, key, is_client_retry, tenant
        )
        self.unanswered[request.request_id] = (request, self.now_us + timeout_us)
        self.answers[request.request_id] = []
        self.class_names[request.request_id] = request_class.name
        self.feed(request)
        return request.request_id

    def attempts_of(self, request: int) -> list[DrivenAttempt]:
        return [sent for sent in self.attempts if sent.request_id == request]

    def in_flight(self, request_id: int | None = None) -> list[DrivenAttempt]:
        return [
            sent for sent in self.attempts if sent.outcome is None and request_id in (None, sent.request_id)
        ]

    def end_attempt(
        self,
        sent: DrivenAttempt,
        outcome: Outcome = Outcome.OK,
        load_report: Mapping[str, float] | None = None,
    ) -> list[Action]:
        assert sent.outcome is None
        sent.outcome = outcome
        if outcome is Outcome.OK and sent.request_id in self.unanswered:
            del self.unanswered[sent.request_id]
            self.answers[sent.request_id].append("served")
        over = sent.request_id not in self.unanswered
        return self.feed(
            AttemptEnded(
                sent.request_id,
                sent.number,
                sent.endpoint_id,
                outcome,
                self.now_us - sent.started_at_us,
                over,
                dict(load_report) if load_report else None,
            )
        )

    def serve_request(
        self, request_class: RequestClass = READ, latency_us: int = 30 * US_PER_MS
    ) -> DrivenAttempt:
        """Ask, and let the first attempt be served."""
        sent = self.in_flight(self.send_request(request_class))[0]
        self.now_us += latency_us
        self.end_attempt(sent)
        return sent

    def start_stream(self, sent: DrivenAttempt) -> list[Action]:
        return self.feed(
            ResponseStreamStarted(
                sent.request_id, sent.number, sent.endpoint_id, self.now_us - sent.started_at_us
            )
        )

    def abandon(self, request: int) -> list[Action]:
        self.unanswered.pop(request, None)
        self.answers[request].append("abandoned")
        return self.feed(RequestAbandoned(request))

    def expire_overdue(self) -> None:
        """Time out what is out past its own time or its client's, as the host program must."""
        overdue = [request for request, (_, due) in self.unanswered.items() if due <= self.now_us]
        for sent in self.in_flight():
            if sent.request_id in overdue or 0 < sent.expires_at_us <= self.now_us:
                self.end_attempt(sent, Outcome.TIMEOUT)
        assert not any(request in self.unanswered for request in overdue), "no final answer by the deadline"

    def _check(self, action: Action) -> None:
        if isinstance(action, StartAttempt):
            self._check_send(action)
        elif isinstance(action, ShedRequest | FailRequest):
            self._check_answer(action)
        elif isinstance(action, SetTimer):
            assert action.delay_us > 0
            self.timers.append((self.now_us + action.delay_us, action.token))
        elif isinstance(action, CancelAttempt):
            assert self.settings.cancellation_allowed
            assert action.attempt_number < len(self.attempts_of(action.request_id))
        elif isinstance(action, CheckHealth):
            assert self.settings.health_checks_allowed
            assert action.endpoint_id in self.listed
        elif isinstance(action, WatchEndpointList):
            self.watch_requests += 1

    def _check_send(self, action: StartAttempt) -> None:
        assert action.request_id in self.unanswered, "a send after the request was over"
        request, deadline = self.unanswered[action.request_id]
        assert self.now_us < deadline
        assert action.endpoint_id in self.listed
        assert action.endpoint_id not in self.drain_notified_at_us, (
            "a send to a server that drains or is gone"
        )
        earlier = self.attempts_of(action.request_id)
        assert len(earlier) < self.settings.max_attempts
        if not self.settings.hedging_allowed:
            assert all(sent.outcome is not None for sent in earlier), "two attempts at once"
        unsure = [sent for sent in earlier if sent.outcome is None or not sent.outcome.proves_not_executed]
        kind = next(kind for kind in self.classes if kind.name == request.class_name)
        if unsure and kind.idempotency is not Idempotency.IDEMPOTENT:
            assert kind.idempotency is Idempotency.IDEMPOTENCY_KEY, "an unsafe request sent again"
            assert self.now_us < unsure[0].started_at_us + kind.deduplication_window_us
            here, there = self.listed[action.endpoint_id], self.listed[unsure[0].endpoint_id]
            assert kind.deduplication_scope is not DeduplicationScope.ZONE or here.zone == there.zone
            assert (
                kind.deduplication_scope is not DeduplicationScope.GROUP
                or here.deduplication_group == there.deduplication_group
            )
            assert (
                self.now_us
                < action.last_byte_before_us
                <= unsure[0].started_at_us + kind.deduplication_window_us
            )
        self.attempts.append(
            DrivenAttempt(
                action.request_id,
                len(earlier),
                action.endpoint_id,
                self.now_us,
                action.expires_at_us,
                action.last_byte_before_us,
            )
        )

    def _check_answer(self, action: ShedRequest | FailRequest) -> None:
        assert action.request_id in self.unanswered, "a second answer"
        request, _ = self.unanswered.pop(action.request_id)
        kind = next(kind for kind in self.classes if kind.name == request.class_name)
        unsure = [
            s
            for s in self.attempts_of(request.request_id)
            if s.outcome is None or not s.outcome.proves_not_executed
        ]
        if isinstance(action, ShedRequest) and unsure and kind.idempotency is not Idempotency.IDEMPOTENT:
            assert kind.idempotency is Idempotency.IDEMPOTENCY_KEY, "a refusal of a request that may have run"
            assert kind.deduplication_scope is DeduplicationScope.ALL
        self.answers[request.request_id].append("shed" if isinstance(action, ShedRequest) else "failed")
