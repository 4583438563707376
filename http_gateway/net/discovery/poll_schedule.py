"""Timing of the calls to a discovery service."""

from __future__ import annotations

from random import Random

from http_gateway.policy.settings import Settings
from http_gateway.policy.time_units import US_PER_S

# A local discovery agent responds at once or not at all. Every change of the endpoint list (an endpoint
# starts, drains or is removed) counts as received by the gateway as soon as the agent has it, even if the
# gateway has not received it. From that time on, the gateway is expected to respect the change: the drain
# grace period of a draining endpoint begins, and requests that the gateway sends to an endpoint that has
# started count against the slow start limit of that endpoint. The delay between calls allows several calls
# within the drain grace period.
RETRY_DELAY_FRACTION = 0.2  # of the drain grace period
MIN_RETRY_DELAY_S = 0.02
MAX_RETRY_DELAY_S = 0.5

# With a shared service, every change of the endpoint list (an endpoint starts, drains or is removed) counts
# as received by the gateway at the latest 6 s after discovery has the change, even if the gateway has not
# received it. From that time on, the gateway is expected to respect the change: the drain grace period of a
# draining endpoint begins, and requests that the gateway sends to an endpoint that has started count against
# the slow start limit of that endpoint. Calls every 5 s leave 1 s for the response.
POLL_INTERVAL_S = 5.0
MAX_BACKOFF_INTERVALS = 16
# A rejection within this time means that the service is overloaded, and increases the backoff. A later
# rejection is a sign of an outage, and does not increase the backoff.
PROMPT_REJECTION_S = 0.5


class PollSchedule:
    """Decides when to make the next call to one discovery service.

    A local agent that pushes lists serves only this gateway: calls to it follow each other at a short fixed
    delay. A shared service serves all gateways. Each gateway calls it once per poll interval, at an offset of
    its own (its poll slot), so that the calls are spread evenly. A shared service that rejects a call
    promptly is overloaded. Each prompt rejection doubles the number of poll intervals from which the gateway
    picks one at random for its next call.

    Args:
        settings: The settings of the gateway, with the kind of discovery and the index of this gateway.
        random: Random number generator that picks the poll interval.
    """

    def __init__(self, settings: Settings, random: Random) -> None:
        self._is_polled = settings.discovery_is_polled
        self._is_shared = self._is_polled
        drain_grace_s = settings.drain_grace_us / US_PER_S
        self._retry_delay_s = min(
            MAX_RETRY_DELAY_S, max(MIN_RETRY_DELAY_S, RETRY_DELAY_FRACTION * drain_grace_s)
        )
        self._slot_offset_s = POLL_INTERVAL_S * settings.gateway_index / settings.gateway_count
        self._random = random
        self._backoff_intervals = 1

    @property
    def is_shared(self) -> bool:
        """Whether the service is treated as shared, because it is polled or has rejected a call."""
        return self._is_shared

    @property
    def backoff_intervals(self) -> int:
        """Number of poll intervals from which the next call picks one at random."""
        return self._backoff_intervals

    @property
    def overlap_delay_s(self) -> float | None:
        """Delay before another call while one is unanswered, in seconds; None if calls must not overlap."""
        return None if self._is_shared else self._retry_delay_s

    def next_delay_s(self, now_s: float) -> float:
        """Return the delay before the next call, in seconds.

        Args:
            now_s: The current Unix time in seconds, from which all gateways derive their poll slots.
        """
        if not self._is_shared:
            return self._retry_delay_s
        until_slot_s = (self._slot_offset_s - now_s) % POLL_INTERVAL_S
        return until_slot_s + POLL_INTERVAL_S * self._random.randrange(self._backoff_intervals)

    def on_rejected(self, after_s: float) -> None:
        """Adapt the schedule to a rejected call.

        A local agent never rejects a call, so a service that does is treated as shared.

        Args:
            after_s: Seconds from the request to the rejection.
        """
        self._is_shared = True
        if after_s < PROMPT_REJECTION_S:
            self._backoff_intervals = min(2 * self._backoff_intervals, MAX_BACKOFF_INTERVALS)

    def on_list_received(self) -> None:
        """Return to the schedule that the settings prescribe, after the service has sent a list."""
        self._is_shared = self._is_polled
        self._backoff_intervals = 1
