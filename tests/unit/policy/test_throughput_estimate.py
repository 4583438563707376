"""Estimates of the throughput of the warm endpoints of a machine type."""

from __future__ import annotations

import pytest

from http_gateway.policy.throughput_estimate import LONG_RATE_TIME_CONSTANT_US, MachineTypeThroughput
from http_gateway.policy.time_units import US_PER_MS, US_PER_S

STEP_US = 10 * US_PER_MS


def record_work(throughput: MachineTypeThroughput, begin_s: int, end_s: int, work_per_step: float) -> int:
    """Record work from a warm endpoint at each step of a period.

    Args:
        throughput: The estimate that gets the work.
        begin_s: The start of the period in seconds.
        end_s: The end of the period in seconds.
        work_per_step: The work at each step.

    Returns:
        The end of the period in microseconds.
    """
    for now_us in range(begin_s * US_PER_S, end_s * US_PER_S, STEP_US):
        throughput.record_response(work_per_step, now_us)
    return end_s * US_PER_S


def test_estimate_is_kept_once_no_endpoint_is_warm() -> None:
    throughput = MachineTypeThroughput(0)
    throughput.set_warm_capacity(4.0, 0)
    now_us = record_work(throughput, 0, 30, 8.0)
    known = throughput.rate(now_us)
    assert known == pytest.approx(8 / 4 / STEP_US, rel=0.05)
    throughput.set_warm_capacity(0.0, now_us)
    for later_us in (0, US_PER_S, 3600 * US_PER_S):
        assert throughput.rate(now_us + later_us) == pytest.approx(known, rel=0.05)
        throughput.set_warm_capacity(0.0, now_us + later_us)


def test_estimate_of_a_briefly_observed_machine_type_is_kept() -> None:
    throughput = MachineTypeThroughput(0)
    throughput.set_warm_capacity(4.0, 0)
    now_us = record_work(throughput, 0, 3, 8.0)
    throughput.set_warm_capacity(0.0, now_us)
    assert throughput.rate(now_us + US_PER_S) == pytest.approx(8 / 4 / STEP_US, rel=0.05)


def test_last_warm_endpoint_does_not_distort_the_estimate_of_its_machine_type() -> None:
    """The last of ten warm endpoints serves this gateway alone for a second, with five times its usual work.

    That work is far from the mean of the machine type, so it must hardly change the estimate.
    """
    throughput = MachineTypeThroughput(0)
    throughput.set_warm_capacity(10.0, 0)
    now_us = record_work(throughput, 0, 60, 10.0)
    usual = throughput.rate(now_us)
    throughput.set_warm_capacity(1.0, now_us)
    now_us = record_work(throughput, 60, 61, 5.0)
    throughput.set_warm_capacity(0.0, now_us)
    assert usual <= throughput.rate(now_us) < usual * (1 + 5 * US_PER_S / LONG_RATE_TIME_CONSTANT_US)


def test_work_is_divided_by_the_capacity_that_was_warm_when_it_was_done() -> None:
    throughput = MachineTypeThroughput(0)
    throughput.set_warm_capacity(10.0, 0)
    now_us = record_work(throughput, 0, 20, 10.0)
    before = throughput.rate(now_us)
    throughput.set_warm_capacity(1.0, now_us)
    assert throughput.rate(now_us) == before
    now_us = record_work(throughput, 20, 30, 1.0)
    assert throughput.rate(now_us) == pytest.approx(before, rel=0.05)
