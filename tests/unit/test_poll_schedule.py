"""Tests for the schedule of calls to a discovery service."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from http_gateway.net.discovery.poll_schedule import (
    CHANGE_LIMIT_S,
    GATEWAY_SPACING_S,
    MAX_HOLD_UP_S,
    MIN_ANSWER_TIME_S,
    MIN_RETRY_INTERVAL_S,
    MIN_SPREAD_S,
    RELOAD_LIMIT_S,
    PollSchedule,
)
from tests.support.discovery import PUSHED_SETTINGS, polled_settings

TIMES_S = st.floats(0.0, 1e6)


def new_schedule(gateway_count: int, gateway_index: int = 0, answer_time_s: float = 0.0) -> PollSchedule:
    """Return the schedule of a gateway with polled discovery, which has measured an answer time."""
    schedule = PollSchedule(polled_settings(gateway_count, gateway_index), Random())
    schedule.on_list_received(answer_time_s)
    return schedule


@st.composite
def gateways(draw: st.DrawFn) -> tuple[int, int]:
    """Draw the number of gateways, and the index of one."""
    gateway_count = draw(st.integers(1, 2000))
    return gateway_count, draw(st.integers(0, gateway_count - 1))


@pytest.mark.parametrize("now_s", [0.0, 1_800_000_003.21])
@pytest.mark.parametrize("gateway_count", [3, 40, 230, 1024])
def test_gateways_that_start_together_call_in_distinct_slots(gateway_count: int, now_s: float) -> None:
    """Guards against simultaneous calls of all gateways, which overload the discovery service.

    A service that all gateways call at once answers none of them in time. On the test bench it took 3 to 8 s,
    with 60 gateways as with 200.
    """
    spread_s = min(gateway_count * GATEWAY_SPACING_S, CHANGE_LIMIT_S - MIN_ANSWER_TIME_S - MAX_HOLD_UP_S)
    for gateway_index in range(gateway_count):
        schedule = new_schedule(gateway_count, gateway_index)
        schedule.on_start(now_s)
        position = (schedule.due_at_s - now_s) / spread_s * gateway_count
        assert gateway_index - 0.01 <= position <= gateway_index + 1.01


@given(gateways(), TIMES_S, st.floats(0.0, 10.0))
def test_first_call_after_a_switch_leaves_time_for_the_answer(
    gateway: tuple[int, int], now_s: float, answer_time_s: float
) -> None:
    """Guards against a call that is due when its answer comes too late (review/10)."""
    schedule = new_schedule(*gateway, answer_time_s)
    schedule.on_switch(now_s, requested_at_s=now_s)
    least_s = min(MIN_SPREAD_S, gateway[0] * GATEWAY_SPACING_S)
    latest_s = max(least_s, RELOAD_LIMIT_S - max(answer_time_s, MIN_ANSWER_TIME_S) - MAX_HOLD_UP_S)
    assert 0.0 <= schedule.due_at_s - now_s <= latest_s + 1e-6


@given(gateways(), TIMES_S, st.floats(0.0, 2.5), st.floats(0.0, 10.0))
def test_first_call_after_a_watch_leaves_time_for_the_answer(
    gateway: tuple[int, int], now_s: float, silent_for_s: float, answer_time_s: float
) -> None:
    """Guards against a call that ignores how long the watch has been silent already (review/9)."""
    schedule = new_schedule(*gateway, answer_time_s)
    schedule.on_watch_ended(now_s, last_line_at_s=now_s - silent_for_s)
    least_s = min(MIN_SPREAD_S, gateway[0] * GATEWAY_SPACING_S)
    answer_time_s = max(answer_time_s, MIN_ANSWER_TIME_S)
    latest_s = max(least_s, CHANGE_LIMIT_S - silent_for_s - answer_time_s - MAX_HOLD_UP_S)
    assert 0.0 <= schedule.due_at_s - now_s <= latest_s + 1e-6


@given(gateways(), TIMES_S, st.lists(st.sampled_from([0.003, 2.0]), max_size=20), st.floats(0.0, 10.0))
def test_no_number_of_rejections_delays_a_call_beyond_the_limit(
    gateway: tuple[int, int], now_s: float, rejected_after_s: list[float], answer_time_s: float
) -> None:
    """Guards against a backoff that ignores when a change counts as received (review/3)."""
    schedule = new_schedule(*gateway, answer_time_s)
    schedule.on_call_started(now_s)
    for after_s in rejected_after_s:
        schedule.on_rejected(after_s)
    answer_time_s = max(answer_time_s, MIN_ANSWER_TIME_S)
    latest_s = max(MIN_RETRY_INTERVAL_S, CHANGE_LIMIT_S - answer_time_s - MAX_HOLD_UP_S)
    assert 0.5 * MIN_RETRY_INTERVAL_S <= schedule.due_at_s - now_s <= latest_s + 1e-6


def test_promptly_rejected_gateways_spread_their_polls() -> None:
    """Gateways that call at the same time and are rejected together do not call together again."""
    times_s = []
    for gateway_index in range(230):
        schedule = new_schedule(230, gateway_index)
        schedule.on_call_started(0.0)
        schedule.on_rejected(after_s=0.003)
        times_s.append(schedule.due_at_s)
    assert max(sum(start <= time < start + 0.1 for time in times_s) for start in times_s) < 0.15 * 230


def test_only_prompt_rejections_increase_the_backoff() -> None:
    """A late rejection is a sign of an outage, after which the gateways have to call soon."""
    schedule = new_schedule(3)
    observed_s = []
    for after_s in (2.0, 0.003, 0.003, 2.0):
        schedule.on_rejected(after_s)
        observed_s.append(schedule.retry_interval_s)
    longest_s = CHANGE_LIMIT_S - MIN_ANSWER_TIME_S - MAX_HOLD_UP_S
    assert observed_s == [MIN_RETRY_INTERVAL_S, 2 * MIN_RETRY_INTERVAL_S, longest_s, longest_s]
    schedule.on_list_received(0.0)
    assert schedule.retry_interval_s == MIN_RETRY_INTERVAL_S


def test_switch_keeps_a_limit_that_is_still_ahead() -> None:
    """Guards against switches in quick succession that put the first call off again and again."""
    schedule = new_schedule(230, 229)
    schedule.on_switch(0.0, requested_at_s=0.0)
    due_at_s = schedule.due_at_s
    for now_s in (0.5, 1.0, 2.0, 2.5):
        schedule.on_switch(now_s, requested_at_s=now_s)
        assert schedule.due_at_s <= due_at_s


def test_watch_without_a_list_is_replaced_within_the_spread() -> None:
    """Guards against gateways that call at once when a watch ends that has only brought empty lines."""
    for gateway_index in range(40):
        schedule = PollSchedule(polled_settings(40, gateway_index), Random())
        schedule.on_start(0.0)
        schedule.on_call_started(schedule.due_at_s)
        schedule.on_watch_ended(60.0, last_line_at_s=60.0)
        assert schedule.due_at_s >= 60.0 + gateway_index * GATEWAY_SPACING_S


def test_calls_to_a_local_agent_are_not_spread_until_one_is_rejected() -> None:
    schedule = PollSchedule(PUSHED_SETTINGS, Random())
    schedule.on_start(1.0)
    assert schedule.due_at_s == 1.0
    schedule.on_call_started(1.0)
    retry_delay_s = schedule.due_at_s - 1.0
    assert retry_delay_s == pytest.approx(0.05)
    schedule.on_rejected(after_s=2.0)
    assert schedule.is_shared
    assert schedule.due_at_s >= 1.0 + 0.5 * MIN_RETRY_INTERVAL_S
    schedule.on_list_received(0.1)
    schedule.on_watch_ended(9.0, last_line_at_s=8.0)
    assert schedule.due_at_s == pytest.approx(9.0 + retry_delay_s)
