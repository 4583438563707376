"""Assertions of the rules that the actions of a policy must follow."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from http_gateway.policy.actions import StartAttempt
from http_gateway.policy.endpoint import Endpoint, EndpointId, EndpointState
from http_gateway.policy.events import ListUpdateKind
from http_gateway.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings


class StartedAttempt(Protocol):
    """The attributes of an earlier attempt of a request that the rules depend on."""

    @property
    def endpoint_id(self) -> EndpointId:
        """The endpoint that the attempt was sent to."""

    @property
    def started_at_us(self) -> int:
        """When the attempt was started."""

    @property
    def in_flight(self) -> bool:
        """Whether the attempt has not ended."""

    @property
    def possibly_executed(self) -> bool:
        """Whether the endpoint may have executed the request, or may still execute it."""


@dataclass
class NotifiedEndpoints:
    """The endpoints that a policy knows of, and when it learned that each was draining or removed."""

    latest: dict[EndpointId, Endpoint] = field(default_factory=dict)
    drain_notified_at_us: dict[EndpointId, int] = field(default_factory=dict)

    def update(self, entries: Iterable[Endpoint], kind: ListUpdateKind, now_us: int) -> None:
        """Apply an endpoint list that is sent to the policy."""
        entries_by_id = {endpoint.id: endpoint for endpoint in entries}
        if kind in (ListUpdateKind.COMPLETE, ListUpdateKind.CACHED):
            for endpoint_id in self.latest:
                if endpoint_id not in entries_by_id:
                    self.drain_notified_at_us.setdefault(endpoint_id, now_us)
        for endpoint_id, endpoint in entries_by_id.items():
            self.latest[endpoint_id] = endpoint
            if endpoint.state is EndpointState.READY:
                self.drain_notified_at_us.pop(endpoint_id, None)
            else:
                self.drain_notified_at_us.setdefault(endpoint_id, now_us)

    def assert_ready(self, endpoint_id: EndpointId) -> None:
        """Assert that an endpoint may get attempts: it is listed, and neither draining nor removed."""
        assert endpoint_id in self.latest, "attempt sent to an unknown endpoint"
        is_ready = endpoint_id not in self.drain_notified_at_us
        assert is_ready, "attempt sent to an endpoint that is draining or removed"


def assert_attempt_allowed(settings: Settings, earlier: Sequence[StartedAttempt]) -> None:
    """Assert that a request may get another attempt.

    The number of attempts is limited, and without hedging only one may be in flight at a time.

    Args:
        settings: The settings of the policy.
        earlier: The attempts of the request so far.
    """
    assert len(earlier) < settings.max_attempts, "more attempts than the settings allow"
    if not settings.hedging_allowed:
        assert not any(attempt.in_flight for attempt in earlier), "second attempt in flight without hedging"


def assert_not_executed_twice(
    action: StartAttempt,
    request_class: RequestClass,
    earlier: Sequence[StartedAttempt],
    endpoints: NotifiedEndpoints,
    now_us: int,
) -> None:
    """Assert that a retry cannot execute a request a second time.

    A request that was possibly executed and is not idempotent needs an idempotency key. Its retry must go to
    an endpoint in the same deduplication scope. Its last byte must be due within the deduplication window.

    Args:
        action: The attempt that the policy starts.
        request_class: The class of the request.
        earlier: The attempts of the request so far.
        endpoints: The endpoints that the policy knows of.
        now_us: The present time.
    """
    possibly_executed = [attempt for attempt in earlier if attempt.possibly_executed]
    if not possibly_executed or request_class.idempotency is Idempotency.IDEMPOTENT:
        return
    has_key = request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
    assert has_key, "retry of a possibly executed request that has no idempotency key"
    first = possibly_executed[0]
    window_end_us = first.started_at_us + request_class.deduplication_window_us
    assert now_us < window_end_us, "retry after the end of the deduplication window"
    endpoint, first_endpoint = endpoints.latest[action.endpoint_id], endpoints.latest[first.endpoint_id]
    if request_class.deduplication_scope is DeduplicationScope.ZONE:
        assert endpoint.zone == first_endpoint.zone
    if request_class.deduplication_scope is DeduplicationScope.GROUP:
        assert endpoint.deduplication_group == first_endpoint.deduplication_group
    assert now_us < action.last_byte_before_us <= window_end_us


def assert_shed_allowed(request_class: RequestClass, attempts: Iterable[StartedAttempt]) -> None:
    """Assert that a client's retry of a shed request cannot execute the request a second time.

    The retry may reach any endpoint, so a request that was possibly executed must be idempotent or have an
    idempotency key that all endpoints know.
    """
    possibly_executed = any(attempt.possibly_executed for attempt in attempts)
    if possibly_executed and request_class.idempotency is not Idempotency.IDEMPOTENT:
        has_key = request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
        assert has_key, "possibly executed request without an idempotency key was shed"
        assert request_class.deduplication_scope is DeduplicationScope.ALL
