"""What a balancer believes of one server; it reads no clock and does no I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp
from random import Random

from whinrouter.breaker import Breaker, ClassBreaker
from whinrouter.interface import SECOND, Attempt, Outcome, RequestClass, Server

FIRST_LIMIT = 8.0  # attempts a balancer may have in flight at a server it has just met
BACK_OFF = 0.7  # by which each sign of overload cuts that limit
RECALL = SECOND // 2  # a server's pace is remembered for this long
# A failure counts as a request in flight that ends little by little, over this long for each balancer: where
# there are many, each sees few of a server's failures, and three in a row come late.
FAULT_RECALL = SECOND // 4
IN_VAIN = {None, Outcome.TIMEOUT, Outcome.CANCELLED}  # out, or given up while it was


@dataclass(slots=True)
class Budget:
    """What a balancer may send to a cold server: a token bucket, in units of work."""

    refilled_at: int
    saved: float = 0.0  # by refill, as of `refilled_at`
    returned: float = 0.0  # for what the server answered, as of `faded_at`
    faded_at: int = 0

    def refill(self, rate: float, most: float, now: int) -> None:
        self.saved = min(self.saved + rate * (now - self.refilled_at), most)
        self.refilled_at = now

    def fade(self, time: float, now: int) -> None:
        self.returned *= exp((self.faded_at - now) / time)
        self.faded_at = now

    def spend(self, cost: float) -> None:
        """Take a cost out of it, first of what fades; it may have held less."""
        from_returned = min(cost, self.returned)
        self.returned -= from_returned
        self.saved = max(0.0, self.saved - cost + from_returned)


@dataclass(slots=True, eq=False)
class Host:
    info: Server
    random: Random
    breaker: Breaker
    budget: Budget
    in_flight: int = 0
    own: bool = True  # in the subset that the balancer keeps to
    weight: float = 1.0  # part of the balancer's work that is meant for it, for each unit of warmth
    demand: float = 1.0  # meant for it if warm, as a multiple of what a mean one of its flavor gets
    limit: float = FIRST_LIMIT  # in flight at most; grows with answers in time, shrinks with late ones
    limit_cut_at: int = 0  # when the limit was last cut
    pace: float = 1.0  # how long its answers take, as a multiple of the usual time
    paced_at: int = 0
    faults: float = 0.0  # failures, as far as they still counted when the last one came
    faulted_at: int = 0
    balancers: int = 1  # that send to it
    classes: dict[str, ClassBreaker] = field(default_factory=dict)  # an entry for each class announced

    def busy(self, now: int) -> float:
        """In flight by pace; a pace not seen again is forgotten, or a bad spell would last for ever."""
        return (self.in_flight + 1 + self._faults_left(now)) * (
            1 + (self.pace - 1) * max(0.0, 1 - (now - self.paced_at) / RECALL)
        )

    def fault(self, now: int) -> None:
        """It failed a request: of two it is the other that is tried first, for a while."""
        self.faults, self.faulted_at = self._faults_left(now) + 1, now

    def _faults_left(self, now: int) -> float:
        return self.faults * max(0.0, 1 - (now - self.faulted_at) / (FAULT_RECALL * self.balancers))

    def class_breaker(self, kind: RequestClass) -> ClassBreaker:
        known = self.classes.get(kind.name)
        if known is None:
            known = self.classes[kind.name] = ClassBreaker(self.random)
        return known

    def admits(self, kind: RequestClass, now: int) -> bool:
        room = self.in_flight < int(self.limit)
        return room and self.breaker.admits(now) and self.class_breaker(kind).admits(now)

    def widen(self) -> None:
        """An answer came in time: the limit grows where it is nearly reached."""
        if 2 * self.in_flight >= self.limit - 2:
            self.limit += min(self.limit, 1 / self.limit)

    def narrow(self, attempt: Attempt, now: int) -> None:
        """One stall delays all that is in flight: it is one sign, however many attempts it holds."""
        if attempt.sent >= self.limit_cut_at:
            self.limit = max(1.0, self.limit * BACK_OFF)
            self.limit_cut_at = now

    def succeed(self, kind: RequestClass, attempt: Attempt, now: int) -> None:
        """A late answer has had its verdict, but shows that its class is served."""
        if not attempt.judged:
            self.breaker.succeed(attempt.trial)
        self.class_breaker(kind).serve(now, attempt.class_trial and not attempt.judged)

    def silent(self, kind: RequestClass, attempt: Attempt, usual: float, now: int) -> bool:
        """Whether it let an attempt wait and served none of its class meanwhile; a slow one serves others.

        Clients that leave early must not hide that: each makes a silent server look free for the next.
        """
        waited = attempt.outcome in IN_VAIN and now - attempt.sent >= usual
        return waited and self.class_breaker(kind).served < attempt.sent
