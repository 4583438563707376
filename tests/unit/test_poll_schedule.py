"""The schedule of calls to a discovery service."""

from __future__ import annotations

import itertools
from random import Random

import pytest

from http_gateway.net.discovery.poll_schedule import MAX_POLL_ROUNDS, POLL_ROUND_S, PollSchedule
from tests.support.discovery import PUSHED_SETTINGS, polled_settings


def poll_times_s(gateway_count: int, now_s: float, rejections: int = 0) -> list[float]:
    """When each gateway calls next, by the clock that all machines share."""
    times_s = []
    for gateway_index in range(gateway_count):
        schedule = PollSchedule(polled_settings(gateway_count, gateway_index), Random())
        for _ in range(rejections):
            schedule.on_rejected(after_s=0.003)
        times_s.append(now_s + schedule.next_delay_s(now_s))
    return times_s


@pytest.mark.parametrize("now_s", [1_800_000_000.0, 1_800_000_003.21])
@pytest.mark.parametrize("gateway_count", [3, 40, 230, 1024])
def test_gateways_poll_once_a_round_in_distinct_slots(gateway_count: int, now_s: float) -> None:
    """Changes count as received 6 s after discovery can be reached; called by all at once it answers nobody.

    On the bench it answered the calls of its whole fleet in 3 to 8 s, at 60 gateways as at 200.
    """
    times_s = sorted(poll_times_s(gateway_count, now_s))
    assert times_s[-1] < now_s + POLL_ROUND_S <= now_s + 5
    gaps_s = [after - before for before, after in itertools.pairwise(times_s)]
    assert min(gaps_s) > 0.99 * POLL_ROUND_S / gateway_count


def test_promptly_rejected_gateways_spread_their_polls_over_several_rounds() -> None:
    """The service cannot answer the calls of one round, so each gateway calls in one of several."""
    rejections = MAX_POLL_ROUNDS.bit_length()  # enough to reach the maximum
    times_s = poll_times_s(230, 0.0, rejections)
    starts_s = [index * POLL_ROUND_S for index in range(MAX_POLL_ROUNDS)]
    most = max(sum(start <= time < start + POLL_ROUND_S for time in times_s) for start in starts_s)
    assert most < 3 * 230 / MAX_POLL_ROUNDS


def test_only_prompt_rejections_increase_the_number_of_rounds() -> None:
    """While discovery is down a call waits long; once it is back, all gateways poll within one round."""
    schedule = PollSchedule(polled_settings(230), Random())
    round_counts = []
    for after_s in (2.0, 0.003, 0.003, 2.0):
        schedule.on_rejected(after_s)
        round_counts.append(schedule.round_count)
    assert round_counts == [1, 2, 4, 4]
    schedule.on_list_received()
    assert schedule.round_count == 1


def test_calls_to_an_agent_do_not_depend_on_the_slot_until_one_is_rejected() -> None:
    schedule = PollSchedule(PUSHED_SETTINGS, Random())
    assert schedule.next_delay_s(0.0) == schedule.next_delay_s(1.7) == schedule.overlap_delay_s
    schedule.on_rejected(after_s=2.0)
    assert schedule.overlap_delay_s is None
    assert schedule.next_delay_s(1.0) == POLL_ROUND_S - 1.0
    schedule.on_list_received()
    assert schedule.next_delay_s(1.0) == schedule.overlap_delay_s
