"""The lower bounds for arrival times hold for bytes that waited in the backlog or behind other bytes."""

from __future__ import annotations

import pytest

from http_gateway.net.event_loop import PollTimes
from http_gateway.net.frontend.arrival_times import ArrivalTimes

CONNECTED_AFTER_S = 10.0


@pytest.fixture
def poll_times() -> PollTimes:
    """Poll times after a poll at 11.0, in whose iteration a connection is set up."""
    poll_times = PollTimes()
    poll_times.poll_started(11.0)
    return poll_times


@pytest.fixture
def arrival_times(poll_times: PollTimes) -> ArrivalTimes:
    arrival_times = ArrivalTimes(poll_times, CONNECTED_AFTER_S)
    arrival_times.reading_started()
    return arrival_times


def test_bytes_of_the_first_poll_may_have_arrived_with_the_connection(
    poll_times: PollTimes, arrival_times: ArrivalTimes
) -> None:
    poll_times.poll_started(12.0)
    assert arrival_times.on_read(is_buffer_full=False) == CONNECTED_AFTER_S


def test_later_bytes_arrived_after_the_poll_that_did_not_report_them(
    poll_times: PollTimes, arrival_times: ArrivalTimes
) -> None:
    poll_times.poll_started(12.0)
    poll_times.poll_started(13.0)
    assert arrival_times.on_read(is_buffer_full=False) == 12.0


def test_bytes_behind_a_full_buffer_may_have_arrived_with_it(
    poll_times: PollTimes, arrival_times: ArrivalTimes
) -> None:
    for started_at_s in (12.0, 13.0):
        poll_times.poll_started(started_at_s)
    assert arrival_times.on_read(is_buffer_full=True) == 12.0
    poll_times.poll_started(14.0)
    assert arrival_times.on_read(is_buffer_full=False) == 12.0
    poll_times.poll_started(15.0)
    assert arrival_times.on_read(is_buffer_full=False) == 14.0


def test_arrival_times_are_unknown_before_the_second_poll() -> None:
    arrival_times = ArrivalTimes(PollTimes(), None)
    arrival_times.reading_started()
    assert arrival_times.on_read(is_buffer_full=False) is None
