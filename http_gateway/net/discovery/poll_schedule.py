"""When the next call to a discovery service is due."""

from __future__ import annotations

from random import Random

from http_gateway.policy.settings import Settings
from http_gateway.policy.time_units import US_PER_S

# An agent on this machine answers at once or not at all, and its changes count from the moment it has them:
# several calls fit into the drain grace.
RETRY_DELAY_FRACTION = 0.2  # of the drain grace
MIN_RETRY_DELAY_S = 0.02
MAX_RETRY_DELAY_S = 0.5

# Changes count as received after 6 s: a round leaves one second of that for the response.
POLL_ROUND_S = 5.0
MAX_POLL_ROUNDS = 16
PROMPT_REJECTION_S = 0.5  # a rejection within this time means overload; a later one, an outage


class PollSchedule:
    """The schedule of calls to one discovery service.

    Where an agent on this machine pushes lists, calls follow each other at a short fixed delay. Where one
    service answers all gateways, each gateway calls once a round, in a poll slot of its own: this spreads the
    calls evenly. A service that rejects a call promptly is overloaded: each prompt rejection doubles the
    number of rounds of which this gateway calls in one, chosen at random.

    Args:
        settings: How discovery works, and this gateway's index among the gateways.
        random: Generator that chooses the round.
    """

    def __init__(self, settings: Settings, random: Random) -> None:
        self._is_polled = settings.discovery_is_polled
        self._is_shared = self._is_polled
        drain_grace_s = settings.drain_grace_us / US_PER_S
        self._retry_delay_s = min(
            MAX_RETRY_DELAY_S, max(MIN_RETRY_DELAY_S, RETRY_DELAY_FRACTION * drain_grace_s)
        )
        self._slot_s = POLL_ROUND_S * settings.gateway_index / settings.gateway_count
        self._random = random
        self._round_count = 1

    @property
    def is_shared(self) -> bool:
        """Whether one service answers all gateways: it is polled, or it has rejected a call."""
        return self._is_shared

    @property
    def round_count(self) -> int:
        """Number of rounds of which this gateway calls in one."""
        return self._round_count

    @property
    def overlap_delay_s(self) -> float | None:
        """Seconds after which a call starts beside an unanswered one; None if calls must not overlap."""
        return None if self._is_shared else self._retry_delay_s

    def next_delay_s(self, now_s: float) -> float:
        """Return the seconds until the next call.

        Args:
            now_s: Unix time in seconds: all gateways derive their slots from it.
        """
        if not self._is_shared:
            return self._retry_delay_s
        until_slot_s = (self._slot_s - now_s) % POLL_ROUND_S
        return until_slot_s + POLL_ROUND_S * self._random.randrange(self._round_count)

    def on_rejected(self, after_s: float) -> None:
        """Slow down after a rejected call.

        An agent of this gateway alone never rejects a call, so the service is shared.

        Args:
            after_s: Seconds from the request to the rejection.
        """
        self._is_shared = True
        if after_s < PROMPT_REJECTION_S:
            self._round_count = min(2 * self._round_count, MAX_POLL_ROUNDS)

    def on_list_received(self) -> None:
        """Return to the schedule that the settings call for."""
        self._is_shared = self._is_polled
        self._round_count = 1
