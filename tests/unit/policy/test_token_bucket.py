"""Refill, credit and decay of the token bucket for endpoints that are warming up."""

from __future__ import annotations

from math import e

import pytest

from http_gateway.policy.token_bucket import WarmUpBucket


def test_refill_adds_up_over_time_until_the_bucket_is_full() -> None:
    bucket = WarmUpBucket(refilled_at_us=100)
    bucket.refill(rate=0.5, capacity=50.0, now_us=140)
    assert bucket.tokens == 20
    bucket.refill(rate=0.5, capacity=50.0, now_us=160)
    assert bucket.tokens == 30
    bucket.refill(rate=0.5, capacity=50.0, now_us=1000)
    assert bucket.tokens == 50


def test_refill_at_a_smaller_capacity_drops_excess_tokens() -> None:
    bucket = WarmUpBucket(refilled_at_us=0, refill_tokens=50.0)
    bucket.refill(rate=0.0, capacity=10.0, now_us=0)
    assert bucket.tokens == 10


def test_credit_exceeds_the_capacity_of_the_bucket_and_decays() -> None:
    bucket = WarmUpBucket(refilled_at_us=0, refill_tokens=50.0, decayed_at_us=100)
    bucket.add_credit(30.0)
    assert bucket.tokens == 80
    bucket.decay(time_constant_us=200.0, now_us=300)
    assert bucket.tokens == pytest.approx(50 + 30 / e)


def test_cost_is_taken_from_credit_first() -> None:
    bucket = WarmUpBucket(refilled_at_us=0, refill_tokens=50.0, credit_tokens=30.0)
    bucket.take(20.0)
    assert (bucket.refill_tokens, bucket.credit_tokens) == (50.0, 10.0)
    bucket.take(20.0)
    assert (bucket.refill_tokens, bucket.credit_tokens) == (40.0, 0.0)


def test_cost_beyond_the_tokens_empties_the_bucket() -> None:
    bucket = WarmUpBucket(refilled_at_us=0, refill_tokens=5.0, credit_tokens=5.0)
    bucket.take(100.0)
    assert bucket.tokens == 0


def test_emptied_bucket_has_no_tokens() -> None:
    bucket = WarmUpBucket(refilled_at_us=0, refill_tokens=5.0, credit_tokens=5.0)
    bucket.empty()
    assert bucket.tokens == 0
