"""Circuit breakers of an endpoint: one for all its requests, and one for each request class."""

from __future__ import annotations

from collections import deque
from random import Random

from http_gateway.policy.open_breakers import OpenBreakerCount
from http_gateway.policy.time_units import US_PER_S

FAILURE_WINDOW_US = 60 * US_PER_S  # A failure stops counting after this time.
FAILURE_THRESHOLD = 3  # This number of failures within the failure window opens a breaker.
BASE_COOLDOWN_US = US_PER_S // 4
MAX_COOLDOWN_US = 20 * US_PER_S
# The breaker of a request class probes more often than the breaker of the whole endpoint. The endpoint still
# serves all other classes during the cooldown, and a probe costs only one request.
MAX_CLASS_COOLDOWN_US = 4 * US_PER_S
COOLDOWN_JITTER = 0.15  # The jitter changes a cooldown by at most this fraction, up or down.
# With 2 successes for each cleared failure, a class breaker opens if more than a third of its requests fail.
SUCCESSES_PER_CLEARED_FAILURE = 2


class CircuitBreaker:
    """A circuit breaker with the states closed, open and half-open.

    A closed breaker admits every request. An open breaker admits none until a jittered cooldown ends, which
    makes it half-open. A half-open breaker admits one probe request. If the probe succeeds, the breaker
    closes; if the probe fails, the breaker opens again with twice the cooldown, up to a maximum.

    Args:
        random: The source of jitter for the cooldowns.
        open_count: The count in which the breaker is included while it is not closed.
        max_cooldown_us: The cap of the cooldown in microseconds.
    """

    def __init__(
        self, random: Random, open_count: OpenBreakerCount, max_cooldown_us: int = MAX_COOLDOWN_US
    ) -> None:
        self._random = random
        self._open_count = open_count
        self._max_cooldown_us = max_cooldown_us
        self._cooldown_us = BASE_COOLDOWN_US
        self._failures_at_us: deque[int] = deque()
        self._half_open_at_us: int | None = None  # The end of the cooldown; None while the breaker is closed.
        self._probe_in_flight = False

    @property
    def is_closed(self) -> bool:
        """Whether the breaker is closed, that is, admits every request."""
        return self._half_open_at_us is None

    def admits(self, now_us: int) -> bool:
        """Return whether a request may be sent now."""
        if self._half_open_at_us is None:
            return True
        return now_us >= self._half_open_at_us and not self._probe_in_flight

    def start_attempt(self) -> bool:
        """Record the start of an admitted attempt; return whether the attempt is the half-open probe."""
        self._probe_in_flight = self._half_open_at_us is not None
        return self._probe_in_flight

    def abandon_probe(self) -> None:
        """Allow another probe after one that ended as neither a success nor a failure."""
        self._probe_in_flight = False

    def record_success(self, is_probe: bool) -> None:
        """Record a successful attempt."""
        if self.is_closed:
            self._failures_at_us.clear()
        elif is_probe:
            self._failures_at_us.clear()
            self._close()
            self._cooldown_us = BASE_COOLDOWN_US

    def record_failure(self, now_us: int, is_probe: bool) -> None:
        """Record a failed attempt."""
        if is_probe:
            self._cooldown_us = min(2 * self._cooldown_us, self._max_cooldown_us)
            self._open(now_us)
        elif self.is_closed:
            self._failures_at_us.append(now_us)
            while self._failures_at_us[0] <= now_us - FAILURE_WINDOW_US:
                self._failures_at_us.popleft()
            if len(self._failures_at_us) >= FAILURE_THRESHOLD:
                self._open(now_us)

    def stop_counting(self) -> None:
        """Take the breaker out of the count, as its endpoint has left the list and it is no longer used."""
        if not self.is_closed:
            self._open_count.closed()

    def _open(self, now_us: int) -> None:
        if self.is_closed:
            self._open_count.opened()
        jitter = self._random.uniform(1 - COOLDOWN_JITTER, 1 + COOLDOWN_JITTER)
        self._probe_in_flight = False
        self._half_open_at_us = now_us + round(self._cooldown_us * jitter)

    def _close(self) -> None:
        if not self.is_closed:
            self._open_count.closed()
        self._half_open_at_us = None
        self._probe_in_flight = False


class RequestClassBreaker(CircuitBreaker):
    """The circuit breaker of one request class at one endpoint.

    An endpoint can fail requests of one class, all or some of them, and serve all other classes. Successes of
    other classes therefore do not affect this breaker, and successes of its own class clear failures only one
    at a time. After a successful probe the next failure opens the breaker again, and the cooldown is reset
    only once no failure is left.

    If a class fails in the same way at every endpoint, these breakers do harm by excluding all endpoints. The
    caller therefore limits how many of them are open at the same time.
    """

    def __init__(self, random: Random, open_count: OpenBreakerCount) -> None:
        super().__init__(random, open_count, MAX_CLASS_COOLDOWN_US)
        self._successes_since_clearing = 0  # successes since a failure was last cleared
        self._consecutive_unanswered = 0
        self.last_response_at_us = 0

    def record_response(self, now_us: int, is_probe: bool) -> None:
        """Record a response of this class.

        A late response counts too, because it shows that the endpoint does answer this class.
        """
        unanswered = self._consecutive_unanswered
        self._consecutive_unanswered = 0
        self.last_response_at_us = now_us
        if self.is_closed:
            self._successes_since_clearing += 1
            if self._successes_since_clearing >= SUCCESSES_PER_CLEARED_FAILURE:
                self._clear_failure()
        elif is_probe or unanswered >= FAILURE_THRESHOLD:
            # The longer cooldown applies the next time that the breaker opens. If no failure is left by then,
            # the cooldown has been reset to the base cooldown.
            self._cooldown_us = min(2 * self._cooldown_us, self._max_cooldown_us)
            self._clear_failure()
            self._close()

    def record_unanswered(self, now_us: int, is_probe: bool) -> None:
        """Record an attempt that got no response while no other attempt of its class got one either."""
        self._consecutive_unanswered += 1
        if is_probe:
            self.record_failure(now_us, is_probe)
        elif self.is_closed and self._consecutive_unanswered >= FAILURE_THRESHOLD:
            self._open(now_us)

    def _clear_failure(self) -> None:
        self._successes_since_clearing = 0
        if self._failures_at_us:
            self._failures_at_us.pop()
        if not self._failures_at_us:
            self._cooldown_us = BASE_COOLDOWN_US
