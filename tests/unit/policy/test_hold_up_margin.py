"""The margin between a request's deadline and its client's timeout covers a hold-up of the process."""

from __future__ import annotations

import pytest

from http_gateway.policy.balancer import Balancer
from http_gateway.policy.hold_up_margin import LIMIT_SLACK_US, MAX_HOLD_UP_US, response_margin_us
from http_gateway.policy.settings import RequestClass, Settings
from http_gateway.policy.time_units import US_PER_MS, US_PER_S


@pytest.mark.parametrize("timeout_us", [500 * US_PER_MS, 2 * US_PER_S, 20 * US_PER_S])
def test_answer_decided_at_the_deadline_is_in_time_after_a_hold_up(timeout_us: int) -> None:
    margin_us = response_margin_us(RequestClass("run", 100 * US_PER_MS, timeout_us))
    assert margin_us + LIMIT_SLACK_US > MAX_HOLD_UP_US
    assert margin_us < timeout_us / 4


def test_class_with_a_short_timeout_keeps_most_of_its_time() -> None:
    assert response_margin_us(RequestClass("run", 50 * US_PER_MS, 100 * US_PER_MS)) == 25 * US_PER_MS


def test_margin_of_a_class_that_is_not_in_the_settings_is_0() -> None:
    balancer = Balancer(Settings((RequestClass("run", 100 * US_PER_MS, US_PER_S),)), seed=1)
    assert balancer.response_margin_us("run") > 0
    assert balancer.response_margin_us("walk") == 0
