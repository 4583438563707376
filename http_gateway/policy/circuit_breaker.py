"""Circuit breakers of one endpoint: one for all its requests, and one for each request class."""

from __future__ import annotations

from collections import deque
from random import Random

from http_gateway.policy.time_units import US_PER_S

FAILURE_WINDOW_US = 60 * US_PER_S  # older failures are forgotten
FAILURE_THRESHOLD = 3  # failures that open a breaker
BASE_COOLDOWN_US = US_PER_S // 4
MAX_COOLDOWN_US = 20 * US_PER_S
# The endpoint serves all other classes meanwhile, and a probe costs one request.
MAX_CLASS_COOLDOWN_US = 4 * US_PER_S
COOLDOWN_JITTER = 0.15
SUCCESSES_PER_FORGIVEN_FAILURE = 2  # so a class breaker opens where more than a third of its requests fail


class CircuitBreaker:
    """A breaker of three states.

    Closed, it admits every request. Open, it admits none until a jittered cooldown ends. Then it is half-open
    and admits one probe request: success closes it, failure opens it for twice as long, up to a cap.
    """

    def __init__(self, random: Random, max_cooldown_us: int = MAX_COOLDOWN_US) -> None:
        self._random = random
        self._max_cooldown_us = max_cooldown_us
        self._cooldown_us = BASE_COOLDOWN_US
        self._failures_at_us: deque[int] = deque()
        self._half_open_at_us: int | None = None  # end of the cooldown; None while closed
        self._probe_in_flight = False

    @property
    def is_closed(self) -> bool:
        """Whether it admits every request."""
        return self._half_open_at_us is None

    def admits(self, now_us: int) -> bool:
        """Whether a request may be sent now."""
        if self._half_open_at_us is None:
            return True
        return now_us >= self._half_open_at_us and not self._probe_in_flight

    def start_attempt(self) -> bool:
        """Record an attempt that was admitted; return whether it is the half-open probe."""
        self._probe_in_flight = self._half_open_at_us is not None
        return self._probe_in_flight

    def abandon_probe(self) -> None:
        """Free the probe's slot without a verdict."""
        self._probe_in_flight = False

    def record_success(self, is_probe: bool) -> None:
        """Count a successful attempt."""
        if self.is_closed:
            self._failures_at_us.clear()
        elif is_probe:
            self._failures_at_us.clear()
            self._close()
            self._cooldown_us = BASE_COOLDOWN_US

    def record_failure(self, now_us: int, is_probe: bool) -> None:
        """Count a failed attempt."""
        if is_probe:
            self._cooldown_us = min(2 * self._cooldown_us, self._max_cooldown_us)
            self._open(now_us)
        elif self.is_closed:
            self._failures_at_us.append(now_us)
            while self._failures_at_us[0] <= now_us - FAILURE_WINDOW_US:
                self._failures_at_us.popleft()
            if len(self._failures_at_us) >= FAILURE_THRESHOLD:
                self._open(now_us)

    def _open(self, now_us: int) -> None:
        jitter = self._random.uniform(1 - COOLDOWN_JITTER, 1 + COOLDOWN_JITTER)
        self._probe_in_flight = False
        self._half_open_at_us = now_us + round(self._cooldown_us * jitter)

    def _close(self) -> None:
        self._half_open_at_us = None
        self._probe_in_flight = False


class RequestClassBreaker(CircuitBreaker):
    """The breaker of one request class at one endpoint, which may fail that class and serve all others.

    Successes of other classes do not reach it, and its own clear failures only one by one: after a good probe
    the next failure opens it again, and the cooldown is reset once no failure remains. It covers any fault
    that follows the class of a request, wholly or in part. It does harm where a class fails the same way at
    every endpoint; the caller therefore limits how many of them are open at a time.
    """

    def __init__(self, random: Random) -> None:
        super().__init__(random, MAX_CLASS_COOLDOWN_US)
        self._uncredited_successes = 0  # that have not cleared a failure yet
        self._unanswered_in_a_row = 0
        self.last_response_at_us = 0

    def record_response(self, now_us: int, is_probe: bool) -> None:
        """Count a response, also a late one: it shows that the endpoint is not silent on this class."""
        unanswered = self._unanswered_in_a_row
        self._unanswered_in_a_row = 0
        self.last_response_at_us = now_us
        if self.is_closed:
            self._uncredited_successes += 1
            if self._uncredited_successes >= SUCCESSES_PER_FORGIVEN_FAILURE:
                self._forgive_failure()
        elif is_probe or unanswered >= FAILURE_THRESHOLD:
            # For the next time that it opens, unless no failure remains by then.
            self._cooldown_us = min(2 * self._cooldown_us, self._max_cooldown_us)
            self._forgive_failure()
            self._close()

    def record_unanswered(self, now_us: int, is_probe: bool) -> None:
        """Count an attempt without a response, during which no other of its class got one."""
        self._unanswered_in_a_row += 1
        if is_probe:
            self.record_failure(now_us, is_probe)
        elif self.is_closed and self._unanswered_in_a_row >= FAILURE_THRESHOLD:
            self._open(now_us)

    def _forgive_failure(self) -> None:
        self._uncredited_successes = 0
        if self._failures_at_us:
            self._failures_at_us.pop()
        if not self._failures_at_us:
            self._cooldown_us = BASE_COOLDOWN_US
