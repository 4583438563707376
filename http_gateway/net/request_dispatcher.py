"""Connects the policy with the network side of the gateway.

The dispatcher passes events to one `Balancer`, executes the actions that it returns, and runs its timers and
the deadline timers of the requests.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections import deque
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from typing import TypeVarTuple

from http_gateway.net.attempted_ids import AttemptedRequestIds
from http_gateway.net.client_request import ClientRequest, Response, ResponseCallback
from http_gateway.net.clock import Clock
from http_gateway.net.discovery.endpoint_directory import EndpointDirectory
from http_gateway.net.discovery.endpoint_list import EndpointList
from http_gateway.net.dispatched_request import DispatchedRequest, time_out
from http_gateway.net.http.messages import Message
from http_gateway.net.memory.budget import MemoryBudget
from http_gateway.net.policy_events import request_arrived_event, update_kind
from http_gateway.net.request_log import (
    log_abandoned,
    log_answered,
    log_attempt_ended,
    log_attempt_started,
    log_deadline_reached,
    log_received,
)
from http_gateway.net.upstream.attempt import UpstreamAttempt
from http_gateway.net.upstream.pool import UpstreamPool
from http_gateway.policy.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    SetTimer,
    ShedRequest,
    StartAttempt,
)
from http_gateway.policy.balancer import Balancer
from http_gateway.policy.events import (
    AttemptEnded,
    EndpointListUpdate,
    Event,
    Outcome,
    RequestAbandoned,
    RequestArrived,
    RequestId,
    TimerFired,
)
from http_gateway.policy.time_units import US_PER_S

log = logging.getLogger(__name__)

Arguments = TypeVarTuple("Arguments")

# Added to the time of a timer, since the event loop may call back up to its clock's resolution early.
TIMER_ROUNDING_US = 1


class RequestDispatcher:
    """Answers every submitted request exactly once, as the policy decides.

    Args:
        balancer: The policy.
        pool: Opens connections to endpoints and sends the attempts on them.
        budget: Counts the memory of the requests in flight.
        attempted_ids: Where the ids of requests that endpoints may execute are remembered.
        directory: The listed endpoints.

    Attributes:
        attempted_ids: The ids of the latest requests that endpoints may have executed. Those with a safe
            method are missing, as they may be executed again.
    """

    def __init__(
        self,
        balancer: Balancer,
        pool: UpstreamPool,
        budget: MemoryBudget,
        attempted_ids: AttemptedRequestIds,
        directory: EndpointDirectory,
    ) -> None:
        self.attempted_ids = attempted_ids
        self._balancer = balancer
        self._pool = pool
        self._budget = budget
        self._directory = directory
        self._clock = Clock()
        self._loop = asyncio.get_running_loop()
        self._requests: dict[RequestId, DispatchedRequest] = {}
        self._submitted_count = 0
        self._events: deque[Event] = deque()
        self._is_handling_events = False
        self._has_endpoint_list = False

    @property
    def has_endpoint_list(self) -> bool:
        """Whether a non-empty endpoint list has been received from discovery or read from the cache."""
        return self._has_endpoint_list

    @property
    def unanswered_count(self) -> int:
        """Number of requests that have no final response yet."""
        return sum(request.needs_response for request in self._requests.values())

    @property
    def in_flight_count(self) -> int:
        """Number of requests that have no final response yet or still have attempts in flight."""
        return len(self._requests)

    @property
    def submitted_count(self) -> int:
        """Number of requests submitted since the start."""
        return self._submitted_count

    def update_endpoints(self, endpoint_list: EndpointList, is_cached: bool = False) -> None:
        """Apply an endpoint list to the policy and to the connection pool.

        The policy is updated first. The pool ends attempts that are still connecting to a draining endpoint,
        and the policy must not retry them at another endpoint that drains in the same list.

        Args:
            endpoint_list: A complete list or the changes since the last one.
            is_cached: Whether the list was read from the cache; the pool treats it as complete.
        """
        self._has_endpoint_list = self._has_endpoint_list or bool(endpoint_list.entries)
        endpoint_list = self._directory.resolve(endpoint_list, is_cached or endpoint_list.is_complete)
        endpoints = tuple(entry.endpoint for entry in endpoint_list.entries)
        self._dispatch_event(EndpointListUpdate(update_kind(endpoint_list, is_cached), endpoints))
        self._pool.update_endpoints(endpoint_list.entries, endpoint_list.is_complete or is_cached)

    def submit(
        self,
        client_request: ClientRequest,
        respond: ResponseCallback,
        has_client_disconnected: Callable[[], bool] = lambda: False,
    ) -> RequestId:
        """Submit a client's request to the policy.

        The deadline counts from the earliest time at which the request can have arrived. A request that has
        no time left is answered at once.

        Args:
            client_request: The request and its timeout.
            respond: Called exactly once with the final response, unless the request is abandoned.
            has_client_disconnected: Returns whether the client has disconnected, even if the event loop has
                not handled the disconnect yet.

        Returns:
            The id of the request.
        """
        self._submitted_count += 1
        request_id = self._submitted_count
        now_us = self._clock.now_us()
        arrived_after_us = self._arrived_after_us(client_request, now_us)
        log_received(request_id, client_request, waited_us=now_us - arrived_after_us)
        margin_us = self._balancer.response_margin_us(client_request.class_name)
        deadline_at_us = arrived_after_us + client_request.timeout_us - margin_us
        request = DispatchedRequest(client_request, respond, has_client_disconnected, deadline_at_us)
        self._requests[request_id] = request
        self._budget.reserve(request.memory_bytes)
        self._start_deadline_timer(request_id, request)
        self._dispatch_event(request_arrived_event(request_id, client_request, deadline_at_us - now_us))
        return request_id

    def _arrived_after_us(self, client_request: ClientRequest, now_us: int) -> int:
        """Return the time on the gateway's clock after which a request arrived; now if it is unknown."""
        if client_request.arrived_after_s is None:
            return now_us
        return self._clock.from_monotonic_s(client_request.arrived_after_s)

    def abandon(self, request_id: RequestId) -> None:
        """Abandon a request whose client has disconnected: no response and no further attempt is sent."""
        request = self._requests.get(request_id)
        if request is not None and request.needs_response:
            log_abandoned(request_id, request, self._clock.now_us())
            request.abandon()
            self._dispatch_event(RequestAbandoned(request_id))
            self._release_if_answered(request_id)

    def _dispatch_event(self, event: Event) -> None:
        """Queue an event and handle all queued events in order.

        Executing an action may cause another event. That event is queued, and the policy handles it after the
        current one.
        """
        self._events.append(event)
        if self._is_handling_events:
            return
        self._is_handling_events = True
        try:
            while self._events:
                self._handle_event(self._events.popleft())
        finally:
            self._is_handling_events = False

    def _handle_event(self, event: Event) -> None:
        """Pass one event to the policy and execute the resulting actions.

        An exception fails at most the request that the event belongs to. The process and all other requests
        continue.
        """
        try:
            now_us = self._clock.now_us()
            for action in self._balancer.handle(self._with_time_left(event, now_us), now_us):
                self._execute_action(action, now_us)
            if isinstance(event, RequestArrived | AttemptEnded):
                self._release_if_answered(event.request_id)
        except Exception:
            log.exception("event handling failed event=%s", type(event).__name__)
            if isinstance(event, RequestArrived | AttemptEnded):
                self._fail(event.request_id, HTTPStatus.INTERNAL_SERVER_ERROR)

    def _with_time_left(self, event: Event, now_us: int) -> Event:
        """Return the event; that of a new request gets the time until its deadline, as of now."""
        if not isinstance(event, RequestArrived):
            return event
        return event._replace(timeout_us=self._requests[event.request_id].deadline_at_us - now_us)

    def _execute_action(self, action: Action, decided_at_us: int) -> None:
        match action:
            case StartAttempt():
                self._start_attempt(action)
            case CancelAttempt(request_id, attempt_number):
                self._cancel_attempt(request_id, attempt_number)
            case ShedRequest(request_id, retry_after_us):
                self._respond(request_id, _shed_response(retry_after_us))
            case FailRequest(request_id):
                self._respond(request_id, Response(HTTPStatus.BAD_GATEWAY))
            case SetTimer():
                self._set_timer(action, decided_at_us)
            case _:
                # WatchEndpointList needs no action because the gateway always watches the endpoint list.
                # CheckHealth is ignored because the gateway sends no health checks.
                pass

    def _set_timer(self, action: SetTimer, decided_at_us: int) -> None:
        due_at_us = decided_at_us + action.delay_us
        timer = self._call_at(due_at_us, self._dispatch_event, TimerFired(action.token))
        request = self._requests.get(action.request_id) if action.request_id is not None else None
        if request is not None:
            request.add_timer(timer)

    def _start_attempt(self, action: StartAttempt) -> None:
        request = self._requests[action.request_id]
        now_us = self._clock.now_us()
        number = request.add_attempt(action.endpoint_id, now_us)
        log_attempt_started(action.request_id, request, number)
        attempt = request.attempts[number]
        expires_at_us = min(action.expires_at_us or request.deadline_at_us, request.deadline_at_us)
        upstream_attempt = None
        if request.needs_response and expires_at_us > now_us:
            self._remember_id(request)
            upstream_attempt = self._start_upstream_attempt(action, request, number, expires_at_us)
        if upstream_attempt is None:
            self._on_attempt_end(action.request_id, number, Outcome.NOT_SENT, None)
        elif not attempt.has_ended:
            attempt.start(upstream_attempt)
            if expires_at_us < request.deadline_at_us:
                self._call_at(expires_at_us, time_out, upstream_attempt)

    def _remember_id(self, request: DispatchedRequest) -> None:
        if not request.client_request.message.has_safe_method:
            self.attempted_ids.add(request.client_request.id)

    def _start_upstream_attempt(
        self, action: StartAttempt, request: DispatchedRequest, number: int, expires_at_us: int
    ) -> UpstreamAttempt | None:
        last_byte_deadline_s = math.inf
        if action.last_byte_before_us:
            last_byte_deadline_s = self._clock.to_monotonic_s(action.last_byte_before_us)
        request.tighten_last_byte_deadline(last_byte_deadline_s)
        return self._pool.start_attempt(
            action.endpoint_id,
            request.client_request.message,
            self._clock.to_monotonic_s(expires_at_us),
            on_end=partial(self._on_attempt_end, action.request_id, number),
            is_client_waiting=partial(self._is_client_waiting, action.request_id),
            last_byte_deadline_s=last_byte_deadline_s,
        )

    def _cancel_attempt(self, request_id: RequestId, attempt_number: int) -> None:
        request = self._requests.get(request_id)
        attempt = request.attempts[attempt_number].upstream_attempt if request is not None else None
        if attempt is not None:
            attempt.stop(Outcome.CANCELLED)

    def _is_client_waiting(self, request_id: RequestId) -> bool:
        """Return whether the client still waits for a response.

        If the client has disconnected but a delayed event loop has not handled this yet, the request is
        abandoned here.
        """
        request = self._requests.get(request_id)
        if request is not None and request.needs_response and request.has_client_disconnected():
            self.abandon(request_id)
        return request is not None and request.needs_response

    def _on_attempt_end(
        self, request_id: RequestId, attempt_number: int, outcome: Outcome, response: Message | None
    ) -> None:
        request = self._requests[request_id]
        attempt = request.attempts[attempt_number]
        attempt.end()
        now_us = self._clock.now_us()
        log_attempt_ended(request_id, request, attempt_number, outcome, now_us)
        if outcome is Outcome.OK and response is not None:
            self._respond(request_id, Response(HTTPStatus.OK, response.headers, response.body))
        self._dispatch_event(
            AttemptEnded(
                request_id,
                attempt_number,
                attempt.endpoint_id,
                outcome,
                latency_us=now_us - attempt.started_at_us,
                request_completed=not request.needs_response,
            )
        )
        self._release_if_answered(request_id)

    def _respond(self, request_id: RequestId, response: Response) -> None:
        request = self._requests.get(request_id)
        if request is not None and request.needs_response:
            log_answered(request_id, request, response.status, self._clock.now_us())
            request.respond(response)

    def _release_if_answered(self, request_id: RequestId) -> None:
        """Cancel the unwritten attempts of a request that no longer needs a response.

        The request is removed once all its attempts have ended.
        """
        request = self._requests.get(request_id)
        if request is None or request.needs_response:
            return
        request.cancel_unwritten_attempts()
        if request_id in self._requests and request.is_finished:
            request.cancel_timers()
            del self._requests[request_id]
            self._budget.release(request.memory_bytes)

    def _start_deadline_timer(self, request_id: RequestId, request: DispatchedRequest) -> None:
        request.set_deadline_timer(self._call_at(request.deadline_at_us, self._on_deadline, request_id))

    def _call_at(
        self, at_us: int, callback: Callable[[*Arguments], object], *arguments: *Arguments
    ) -> asyncio.TimerHandle:
        """Call back at a time on the gateway's clock.

        A timer with a delay would start late if the process is held up after the time was read.
        """
        due_at_s = self._clock.to_monotonic_s(at_us + TIMER_ROUNDING_US)
        return self._loop.call_at(due_at_s, callback, *arguments)

    def _on_deadline(self, request_id: RequestId) -> None:
        """Time out all attempts of a request that has reached its deadline.

        The policy normally answers the request when its attempts end. If it does not, the response is a 504.
        """
        request = self._requests.get(request_id)
        if request is None:
            return
        if self._clock.now_us() < request.deadline_at_us:  # loop timers may fire early
            self._start_deadline_timer(request_id, request)
            return
        log_deadline_reached(request_id, request)
        request.time_out_attempts()
        self._fail(request_id, HTTPStatus.GATEWAY_TIMEOUT)

    def _fail(self, request_id: RequestId, status: HTTPStatus) -> None:
        """Answer a request with this status if the policy has not answered it, and cancel its attempts."""
        request = self._requests.get(request_id)
        if request is None or not request.needs_response:
            return
        log.error("policy gave no response request_id=%d status=%d", request_id, status)
        self._respond(request_id, Response(status))
        self._dispatch_event(RequestAbandoned(request_id))
        request.cancel_attempts()
        self._release_if_answered(request_id)


def _shed_response(retry_after_us: int) -> Response:
    headers = [(b"retry-after", b"%.3f" % (retry_after_us / US_PER_S))] if retry_after_us else []
    return Response(HTTPStatus.SERVICE_UNAVAILABLE, headers)
