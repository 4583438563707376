"""Tests for the schedule of calls to a discovery service."""

from __future__ import annotations

import itertools
from random import Random

import pytest

from http_gateway.net.discovery.poll_schedule import MAX_BACKOFF_INTERVALS, POLL_INTERVAL_S, PollSchedule
from tests.support.discovery import PUSHED_SETTINGS, polled_settings


def poll_times_s(gateway_count: int, now_s: float, rejections: int = 0) -> list[float]:
    """Return the Unix time of the next call of each gateway.

    Args:
        gateway_count: The number of gateways.
        now_s: The current Unix time in seconds.
        rejections: The number of prompt rejections that each gateway has received before.
    """
    times_s = []
    for gateway_index in range(gateway_count):
        schedule = PollSchedule(polled_settings(gateway_count, gateway_index), Random())
        for _ in range(rejections):
            schedule.on_rejected(after_s=0.003)
        times_s.append(now_s + schedule.next_delay_s(now_s))
    return times_s


@pytest.mark.parametrize("now_s", [1_800_000_000.0, 1_800_000_003.21])
@pytest.mark.parametrize("gateway_count", [3, 40, 230, 1024])
def test_gateways_poll_once_per_interval_in_distinct_slots(gateway_count: int, now_s: float) -> None:
    """Guards against simultaneous calls of all gateways, which overload the discovery service.

    When discovery becomes reachable after an outage, a change of the endpoint list counts as received by each
    gateway 6 s later, even if the gateway has not received it. From that time on, the gateway is expected to
    respect the change. A service that all gateways call at once answers none of them in time. On the test
    bench it took 3 to 8 s, with 60 gateways as with 200.
    """
    times_s = sorted(poll_times_s(gateway_count, now_s))
    assert times_s[-1] < now_s + POLL_INTERVAL_S <= now_s + 5
    gaps_s = [after - before for before, after in itertools.pairwise(times_s)]
    assert min(gaps_s) > 0.99 * POLL_INTERVAL_S / gateway_count


def test_promptly_rejected_gateways_spread_their_polls_over_several_intervals() -> None:
    """A service that rejects calls promptly cannot answer all gateways within one poll interval."""
    rejections = MAX_BACKOFF_INTERVALS.bit_length()  # enough to reach the maximum backoff
    times_s = poll_times_s(230, 0.0, rejections)
    starts_s = [index * POLL_INTERVAL_S for index in range(MAX_BACKOFF_INTERVALS)]
    max_polls = max(sum(start <= time < start + POLL_INTERVAL_S for time in times_s) for start in starts_s)
    assert max_polls < 3 * 230 / MAX_BACKOFF_INTERVALS


def test_only_prompt_rejections_increase_the_backoff() -> None:
    """A late rejection is a sign of an outage, after which all gateways poll within one interval."""
    schedule = PollSchedule(polled_settings(230), Random())
    observed_intervals = []
    for after_s in (2.0, 0.003, 0.003, 2.0):
        schedule.on_rejected(after_s)
        observed_intervals.append(schedule.backoff_intervals)
    assert observed_intervals == [1, 2, 4, 4]
    schedule.on_list_received()
    assert schedule.backoff_intervals == 1


def test_calls_to_a_local_agent_ignore_the_poll_slot_until_one_is_rejected() -> None:
    schedule = PollSchedule(PUSHED_SETTINGS, Random())
    assert schedule.next_delay_s(0.0) == schedule.next_delay_s(1.7) == schedule.overlap_delay_s
    schedule.on_rejected(after_s=2.0)
    assert schedule.overlap_delay_s is None
    assert schedule.next_delay_s(1.0) == POLL_INTERVAL_S - 1.0
    schedule.on_list_received()
    assert schedule.next_delay_s(1.0) == schedule.overlap_delay_s
