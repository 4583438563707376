"""Drives one `Balancer`: events in, actions out, timers and deadlines. It decides nothing."""

from __future__ import annotations

import asyncio
import logging
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from http_gateway.net.clock import Clock
from http_gateway.net.discovery.endpoint_list import EndpointList
from http_gateway.net.http.messages import Headers, Message
from http_gateway.net.upstream.pool import UpstreamAttempt, UpstreamPool
from http_gateway.policy.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    SetTimer,
    ShedRequest,
    StartAttempt,
)
from http_gateway.policy.balancer import Balancer
from http_gateway.policy.endpoint import EndpointId
from http_gateway.policy.events import (
    AttemptEnded,
    EndpointListUpdate,
    Event,
    ListUpdateKind,
    Outcome,
    RequestAbandoned,
    RequestArrived,
    RequestId,
    TimerFired,
)
from http_gateway.policy.time_units import US_PER_S

log = logging.getLogger(__name__)

# Microseconds before the client's own limit by which its answer is due: its way here, which the limit counts
# too, the way back, and a loop that runs late. On a busy core both ways together took 10 ms at the 99th
# percentile.
RESPONSE_MARGIN_US = 15_000


@dataclass(frozen=True, slots=True)
class Response:
    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A client's request as the module wants it, and as a host does."""

    message: Message
    class_name: str
    timeout_us: int
    cost_us: int = 0
    key: str | None = None
    is_client_retry: bool = False
    tenant: str = ""


@dataclass(slots=True)
class _Sent:
    server: EndpointId
    at: int
    attempt: UpstreamAttempt | None = None
    over: bool = False


@dataclass(slots=True)
class _Held:
    """A request with its answer owed, or attempts out."""

    asked: ClientRequest
    reply: Callable[[Response], None] | None  # None once the final answer is given, or the client gone
    left: Callable[[], bool]
    deadline: int
    timer: asyncio.TimerHandle | None = None
    sent: list[_Sent] = field(default_factory=list)


class RequestDispatcher:
    def __init__(self, balancer: Balancer, pool: UpstreamPool) -> None:
        self._balancer = balancer
        self._pool = pool
        self._clock = Clock()
        self._loop = asyncio.get_running_loop()
        self._held: dict[RequestId, _Held] = {}
        self._last = 0
        self._events: deque[Event] = deque()
        self._working = False
        self.has_endpoint_list = False

    @property
    def unanswered_count(self) -> int:
        """How many requests are owed an answer."""
        return sum(held.reply is not None for held in self._held.values())

    @property
    def in_flight_count(self) -> int:
        """How many requests need an answer, or have attempts in flight."""
        return len(self._held)

    @property
    def submitted_count(self) -> int:
        """How many requests there have been."""
        return self._last

    def update_endpoints(self, endpoint_list: EndpointList, is_cached: bool = False) -> None:
        whole = endpoint_list.is_complete or is_cached
        update = (
            ListUpdateKind.CACHED if is_cached else ListUpdateKind.COMPLETE if whole else ListUpdateKind.DELTA
        )
        self.has_endpoint_list = self.has_endpoint_list or bool(endpoint_list.entries)
        # The module first: what can't be sent to a host that leaves would go to another that does.
        self._feed(EndpointListUpdate(update, tuple(entry.endpoint for entry in endpoint_list.entries)))
        self._pool.update_endpoints(endpoint_list.entries, whole)

    def submit(
        self,
        asked: ClientRequest,
        reply: Callable[[Response], None],
        left: Callable[[], bool] = lambda: False,
    ) -> RequestId:
        """A client asks; `reply` is called exactly once, unless it leaves.

        `left` tells whether it has gone without our having been told of it yet.
        """
        self._last += 1
        timeout = max(1, asked.timeout_us - RESPONSE_MARGIN_US)
        held = _Held(asked, reply, left, self._clock.now_us() + timeout)
        self._held[self._last] = held
        held.timer = self._loop.call_later(timeout / US_PER_S, self._expire, self._last)
        request = self._last
        self._feed(
            RequestArrived(
                request,
                asked.class_name,
                timeout,
                asked.cost_us,
                asked.key,
                asked.is_client_retry,
                asked.tenant,
            )
        )
        return request

    def abandon(self, request: RequestId) -> None:
        """The client closed its connection: nothing is owed, and nothing may be sent to it any more."""
        held = self._held.get(request)
        if held is not None and held.reply is not None:
            held.reply = None
            self._feed(RequestAbandoned(request))
            self._forget(request)

    def _feed(self, event: Event) -> None:
        """Hand events to the module one by one: carrying out an action may bring the next."""
        self._events.append(event)
        if self._working:
            return
        self._working = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._working = False

    def _handle(self, event: Event) -> None:
        try:
            for action in self._balancer.handle(event, self._clock.now_us()):
                self._do(action)
            if isinstance(event, RequestArrived | AttemptEnded):
                self._forget(event.request_id)
        except Exception:
            # One request must not end the process, nor be left without an answer.
            log.exception("failed on %s", type(event).__name__)
            if isinstance(event, RequestArrived | AttemptEnded):
                self._give_up(event.request_id, 500)

    def _do(self, action: Action) -> None:
        match action:
            case StartAttempt(request, server, expires, last_byte):
                self._send(request, server, expires, last_byte)
            case CancelAttempt(request, number):
                held = self._held.get(request)
                attempt = held.sent[number].attempt if held else None
                if attempt is not None:
                    attempt.stop(Outcome.CANCELLED)
            case ShedRequest(request, retry_after):
                advice = [(b"retry-after", b"%.3f" % (retry_after / US_PER_S))] if retry_after else []
                self._answer(request, Response(503, advice))
            case FailRequest(request):
                self._answer(request, Response(502))
            case SetTimer(delay, token):
                self._loop.call_later(delay / US_PER_S, self._feed, TimerFired(token))
            case _:
                # Subscribe: the watch always runs. This module sends no probes.
                pass

    def _send(self, request: RequestId, server: EndpointId, expires: int, last_byte: int) -> None:
        held = self._held[request]
        now = self._clock.now_us()
        number, sent = len(held.sent), _Sent(server, now)
        held.sent.append(sent)
        until = min(expires or held.deadline, held.deadline)

        def ended(_: UpstreamAttempt, outcome: Outcome, answer: Message | None) -> None:
            self._ended(request, number, outcome, answer)

        attempt = None
        if held.reply is not None and until > now:  # no attempt leaves after the final answer
            due = self._loop.time() + (until - now) / US_PER_S
            wanted = partial(self._wanted, request)
            leave_by = self._loop.time() + (last_byte - now) / US_PER_S if last_byte else math.inf
            for other in held.sent:
                if other.attempt is not None:
                    other.attempt.limit_last_byte(leave_by)
            attempt = self._pool.start_attempt(server, held.asked.message, due, ended, wanted, leave_by)
        if attempt is None:
            self._ended(request, number, Outcome.NOT_SENT, None)
        elif not sent.over:
            sent.attempt = attempt
            if until < held.deadline:
                self._loop.call_later((until - now) / US_PER_S, _time_out, attempt)

    def _wanted(self, request: RequestId) -> bool:
        """Asked right before a request is written: a loop that runs late learns of its client's end late."""
        held = self._held.get(request)
        if held is not None and held.reply is not None and held.left():
            self.abandon(request)
        return held is not None and held.reply is not None

    def _ended(self, request: RequestId, number: int, outcome: Outcome, answer: Message | None) -> None:
        held = self._held[request]
        sent = held.sent[number]
        sent.over, sent.attempt = True, None
        if outcome is Outcome.OK and answer is not None:
            self._answer(request, Response(200, answer.headers, answer.body))
        latency = self._clock.now_us() - sent.at
        self._feed(
            AttemptEnded(request, number, sent.server, outcome, latency, request_completed=held.reply is None)
        )
        self._forget(request)

    def _answer(self, request: RequestId, answer: Response) -> None:
        held = self._held.get(request)
        if held is not None and held.reply is not None:
            reply, held.reply = held.reply, None
            reply(answer)

    def _forget(self, request: RequestId) -> None:
        """Nothing more may leave for a request that is over; once all attempts have ended, drop it."""
        held = self._held.get(request)
        if held is None or held.reply is not None:
            return
        for sent in held.sent:
            if sent.attempt is not None and not sent.attempt.is_written:  # its connection may yet come up
                sent.attempt.stop(Outcome.CANCELLED)
        if request in self._held and all(sent.over for sent in held.sent):
            if held.timer is not None:
                held.timer.cancel()
            del self._held[request]

    def _expire(self, request: RequestId) -> None:
        """The client's time is up: what is out has timed out, and the module answers."""
        held = self._held.get(request)
        if held is None:
            return
        early = held.deadline - self._clock.now_us()
        if early > 0:  # the loop's clock is coarser; the module must see that the time is up
            held.timer = self._loop.call_later(early / US_PER_S, self._expire, request)
            return
        for sent in held.sent:
            if sent.attempt is not None:
                _time_out(sent.attempt)
        self._give_up(request, 504)  # only if the module holds it still

    def _give_up(self, request: RequestId, status: int) -> None:
        """An answer of the gateway's own: a fault must not leave a client without one."""
        held = self._held.get(request)
        if held is None or held.reply is None:
            return
        log.error("request %d had no answer from the module", request)
        self._answer(request, Response(status))
        self._feed(RequestAbandoned(request))
        for sent in held.sent:
            if sent.attempt is not None:
                sent.attempt.stop(Outcome.CANCELLED)
        self._forget(request)


def _time_out(attempt: UpstreamAttempt) -> None:
    # With its last byte still here the host never had it, and the client may try again without harm.
    attempt.stop(Outcome.TIMEOUT if attempt.is_written else Outcome.NOT_SENT)
