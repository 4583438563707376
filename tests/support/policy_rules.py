"""The rules that every action of a policy has to keep, as assertions."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from http_gateway.policy.actions import StartAttempt
from http_gateway.policy.endpoint import Endpoint, EndpointId, EndpointState
from http_gateway.policy.events import ListUpdateKind
from http_gateway.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings


class StartedAttempt(Protocol):
    """What the rules need of an earlier attempt of a request."""

    @property
    def endpoint_id(self) -> EndpointId:
        """The endpoint that it was sent to."""

    @property
    def started_at_us(self) -> int:
        """When it was started."""

    @property
    def in_flight(self) -> bool:
        """Whether it has not ended."""

    @property
    def possibly_executed(self) -> bool:
        """Whether the endpoint may have executed the request, or may yet do so."""


@dataclass
class NotifiedEndpoints:
    """What a policy has been notified of: the endpoints, and when each began to drain or was removed."""

    latest: dict[EndpointId, Endpoint] = field(default_factory=dict)
    drain_notified_at_us: dict[EndpointId, int] = field(default_factory=dict)

    def update(self, entries: Iterable[Endpoint], kind: ListUpdateKind, now_us: int) -> None:
        """Follow an endpoint list that the policy is notified of."""
        named = {endpoint.id: endpoint for endpoint in entries}
        if kind in (ListUpdateKind.COMPLETE, ListUpdateKind.CACHED):
            for endpoint_id in self.latest:
                if endpoint_id not in named:
                    self.drain_notified_at_us.setdefault(endpoint_id, now_us)
        for endpoint_id, endpoint in named.items():
            self.latest[endpoint_id] = endpoint
            if endpoint.state is EndpointState.READY:
                self.drain_notified_at_us.pop(endpoint_id, None)
            else:
                self.drain_notified_at_us.setdefault(endpoint_id, now_us)

    def assert_ready(self, endpoint_id: EndpointId) -> None:
        """An attempt needs an endpoint that is listed, and neither draining nor removed."""
        assert endpoint_id in self.latest, "an attempt at an unknown endpoint"
        is_ready = endpoint_id not in self.drain_notified_at_us
        assert is_ready, "an attempt at an endpoint that is draining or removed"


def assert_attempt_allowed(settings: Settings, earlier: Sequence[StartedAttempt]) -> None:
    """The number of attempts is limited; without hedging only one is in flight at a time."""
    assert len(earlier) < settings.max_attempts, "too many attempts"
    if not settings.hedging_allowed:
        assert not any(attempt.in_flight for attempt in earlier), "two attempts in flight"


def assert_not_executed_twice(
    action: StartAttempt,
    request_class: RequestClass,
    earlier: Sequence[StartedAttempt],
    endpoints: NotifiedEndpoints,
    now_us: int,
) -> None:
    """A possibly executed request is retried only where and while the repeat is dropped."""
    possibly_executed = [attempt for attempt in earlier if attempt.possibly_executed]
    if not possibly_executed or request_class.idempotency is Idempotency.IDEMPOTENT:
        return
    has_key = request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
    assert has_key, "a retry of a request that must not be executed twice"
    first = possibly_executed[0]
    window_end_us = first.started_at_us + request_class.deduplication_window_us
    assert now_us < window_end_us, "a retry after the deduplication window"
    endpoint, first_endpoint = endpoints.latest[action.endpoint_id], endpoints.latest[first.endpoint_id]
    if request_class.deduplication_scope is DeduplicationScope.ZONE:
        assert endpoint.zone == first_endpoint.zone
    if request_class.deduplication_scope is DeduplicationScope.GROUP:
        assert endpoint.deduplication_group == first_endpoint.deduplication_group
    assert now_us < action.last_byte_before_us <= window_end_us


def assert_shed_allowed(request_class: RequestClass, attempts: Iterable[StartedAttempt]) -> None:
    """A request may be shed only if the client's retry can do no harm, at any endpoint."""
    possibly_executed = any(attempt.possibly_executed for attempt in attempts)
    if possibly_executed and request_class.idempotency is not Idempotency.IDEMPOTENT:
        has_key = request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
        assert has_key, "a request shed that was possibly executed"
        assert request_class.deduplication_scope is DeduplicationScope.ALL
