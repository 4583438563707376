"""Timing of the calls to a discovery service.

Every change of the endpoint list (an endpoint starts, drains or is removed) counts as received by the gateway
from a certain moment on, even if the gateway has not received it. From that moment, the notification limit,
the gateway is expected to respect the change: the drain grace period of a draining endpoint begins, and
requests that the gateway sends to an endpoint that has started count against the slow start limit of that
endpoint.

A local agent responds at once or not at all, and a change counts as received as soon as the agent has it.
Calls to it follow each other at a short fixed delay, which allows several calls within the drain grace
period.

A shared service has a fixed capacity for all gateways, so that their calls must be spread out. The limit is:

- after SIGHUP: `RELOAD_LIMIT_S` after the signal;
- after a start, and once the service can be reached again: `CHANGE_LIMIT_S` later;
- after a watch fell silent or ended: `CHANGE_LIMIT_S` after its last line. The connection may have lost
  everything that the service sent after that line.

The answer time A is the time from the start of a call until its list is applied. The schedule takes the
latest one that was measured, and at least `MIN_ANSWER_TIME_S`. With the longest hold-up of the process H, N
gateways, the spacing S and the time T that is left until the limit, a gateway makes the first call within

    spread = min(N * S, max(T - A - H, MIN_SPREAD_S))

and, while it has no list, a further call within

    interval = min(max(N * S, MIN_RETRY_INTERVAL_S), max(CHANGE_LIMIT_S - A - H, MIN_RETRY_INTERVAL_S))

after the start of the previous one, whether or not that one has been answered. Each prompt rejection doubles
the first part of the minimum. With the time D until a silent watch is closed, the worst cases, in seconds
after the event (for a watch: after its last line), are

    SIGHUP                        spread + A + H
    silent watch                  D + spread + A + H
    service reachable again       interval + A + H

They keep the limit L as long as A <= L - D - H - min(N * S, MIN_SPREAD_S) (D = 0 unless a watch falls silent)
or, once the service can be reached again, A <= CHANGE_LIMIT_S - H - MIN_RETRY_INTERVAL_S. A watch that ends
within `interval` after its call is replaced at the end of that interval.
"""

from __future__ import annotations

import math
from random import Random

from http_gateway.policy.hold_up_margin import MAX_HOLD_UP_US
from http_gateway.policy.settings import Settings
from http_gateway.policy.time_units import US_PER_S

# The delay between two calls to a local agent.
RETRY_DELAY_FRACTION = 0.2  # of the drain grace period
MIN_RETRY_DELAY_S = 0.02
MAX_RETRY_DELAY_S = 0.5

RELOAD_LIMIT_S = 4.0
CHANGE_LIMIT_S = 6.0
MAX_HOLD_UP_S = MAX_HOLD_UP_US / US_PER_S
# The answer time that is allowed for before a longer one has been measured.
MIN_ANSWER_TIME_S = 1.0
# A small fleet calls sooner than the limit requires, which leaves more time for slow answers.
GATEWAY_SPACING_S = 0.1
# Fleets with little or no time left before the limit still spread their calls over this time.
MIN_SPREAD_S = 1.0
MIN_RETRY_INTERVAL_S = 2.0
# Gateways that retry together spread out, as each draws the end of its interval from this fraction on.
MIN_RETRY_JITTER = 0.7
# A rejection within this time means that the service is overloaded, and increases the backoff. A later
# rejection is a sign of an outage, and does not increase the backoff.
PROMPT_REJECTION_S = 0.5
MAX_BACKOFF_DOUBLINGS = 8


class PollSchedule:
    """Decides when to make the next call to a discovery service; it reads no clock.

    All times are in seconds of one monotonic clock.

    Args:
        settings: The settings of the gateway, with the kind of discovery and the index of this gateway.
        random: Random number generator of the jitter.

    Attributes:
        due_at_s: When the next call is due while there is no watch.
    """

    def __init__(self, settings: Settings, random: Random) -> None:
        self._is_polled = settings.discovery_is_polled
        self._is_shared = self._is_polled
        drain_grace_s = settings.drain_grace_us / US_PER_S
        self._agent_retry_delay_s = min(
            MAX_RETRY_DELAY_S, max(MIN_RETRY_DELAY_S, RETRY_DELAY_FRACTION * drain_grace_s)
        )
        self._gateway_count = settings.gateway_count
        self._gateway_index = settings.gateway_index
        self._random = random
        self._answer_time_s = MIN_ANSWER_TIME_S
        self._backoff_doublings = 0
        self._limit_at_s: float | None = None  # None while the latest list has arrived
        self._last_call_at_s = -math.inf
        self.due_at_s = -math.inf

    @property
    def is_shared(self) -> bool:
        """Whether the service is treated as shared, because it is polled or has rejected a call."""
        return self._is_shared

    @property
    def retry_interval_s(self) -> float:
        """The longest time between the starts of two calls while there is no watch."""
        if not self._is_shared:
            return self._agent_retry_delay_s
        shortest_s = max(MIN_RETRY_INTERVAL_S, self._gateway_count * GATEWAY_SPACING_S)
        longest_s = max(MIN_RETRY_INTERVAL_S, CHANGE_LIMIT_S - self._time_after_call_s)
        backoff_factor: int = 2**self._backoff_doublings
        return min(shortest_s * backoff_factor, longest_s)

    def on_start(self, now_s: float) -> None:
        """Schedule the first call of a new process.

        Args:
            now_s: The current time.
        """
        self._schedule_first_call(now_s, now_s + CHANGE_LIMIT_S)

    def on_switch(self, now_s: float, requested_at_s: float) -> None:
        """Schedule the first call to another service.

        Args:
            now_s: The current time.
            requested_at_s: When the switch was requested.
        """
        self._reset_backoff()
        self._last_call_at_s = -math.inf
        self._schedule_first_call(now_s, requested_at_s + RELOAD_LIMIT_S)

    def on_watch_ended(self, now_s: float, last_line_at_s: float) -> None:
        """Schedule the call that replaces an ended watch.

        Args:
            now_s: The current time.
            last_line_at_s: When the last line of the watch was received.
        """
        self._schedule_first_call(now_s, last_line_at_s + CHANGE_LIMIT_S)
        # A service that accepts each call and ends its watch at once must not be called without a pause.
        earliest_at_s = self._draw_retry_at_s() if self._is_shared else now_s + self._agent_retry_delay_s
        self.due_at_s = max(self.due_at_s, earliest_at_s)

    def on_call_started(self, now_s: float) -> None:
        """Schedule the next call, which is made if this one has brought no list by then.

        Args:
            now_s: The current time.
        """
        self._last_call_at_s = now_s
        self.due_at_s = self._draw_retry_at_s()

    def on_rejected(self, after_s: float) -> None:
        """Adapt the schedule to a rejected call.

        A local agent never rejects a call, so a service that does is treated as shared.

        Args:
            after_s: Seconds from the request to the rejection.
        """
        self._is_shared = True
        if after_s < PROMPT_REJECTION_S:
            self._backoff_doublings = min(self._backoff_doublings + 1, MAX_BACKOFF_DOUBLINGS)
        self.due_at_s = self._draw_retry_at_s()

    def on_list_received(self, answer_time_s: float | None) -> None:
        """Return to the schedule that the settings prescribe, after the service has sent a list.

        Args:
            answer_time_s: Seconds from the start of the call until the list was applied; None if it is not
                the first list of its watch.
        """
        self._limit_at_s = None
        self._reset_backoff()
        if answer_time_s is not None:
            self._answer_time_s = max(MIN_ANSWER_TIME_S, answer_time_s)

    @property
    def _time_after_call_s(self) -> float:
        """The time that must be left before the limit when a call is made."""
        return self._answer_time_s + MAX_HOLD_UP_S

    def _reset_backoff(self) -> None:
        self._is_shared = self._is_polled
        self._backoff_doublings = 0

    def _draw_retry_at_s(self) -> float:
        jitter = self._random.uniform(MIN_RETRY_JITTER, 1.0) if self._is_shared else 1.0
        return self._last_call_at_s + jitter * self.retry_interval_s

    def _schedule_first_call(self, now_s: float, limit_at_s: float) -> None:
        """Schedule a call at this gateway's own time within the spread of the fleet.

        A limit that is still ahead, and the call that was scheduled for it, are not put off by a later event.
        """
        is_waiting = self._limit_at_s is not None
        if self._limit_at_s is not None and self._limit_at_s > now_s:
            limit_at_s = min(limit_at_s, self._limit_at_s)
        self._limit_at_s = limit_at_s
        due_at_s = now_s + self._draw_position() * self._spread_s(limit_at_s - now_s)
        is_scheduled = is_waiting and self.due_at_s > now_s
        self.due_at_s = min(due_at_s, self.due_at_s) if is_scheduled else due_at_s

    def _draw_position(self) -> float:
        """Return this gateway's position in the spread of the fleet, from 0 to 1."""
        return (self._gateway_index + self._random.random()) / self._gateway_count

    def _spread_s(self, until_limit_s: float) -> float:
        if not self._is_shared:
            return 0.0
        longest_s = max(MIN_SPREAD_S, until_limit_s - self._time_after_call_s)
        return min(self._gateway_count * GATEWAY_SPACING_S, longest_s)
