"""The soak's judges find each broken rule in a hand-written history, and none in a correct one."""

from __future__ import annotations

import pytest

from tests.soak.history import AttemptRecord, Effect, History, RequestEnd, RequestRecord

SENT_AT_S = 100.0
TIMEOUT_S = 1.0
WINDOW_S = 0.6
DRAIN_GRACE_S = 0.25


def history(
    end: RequestEnd = RequestEnd.ANSWERED, took_s: float = 0.5, effect: Effect = Effect.IDEMPOTENT
) -> History:
    """Return a history with one request and no attempt."""
    record = RequestRecord("1", "n0", effect, SENT_AT_S, TIMEOUT_S, end, SENT_AT_S + took_s)
    return History(WINDOW_S, DRAIN_GRACE_S, requests={"1": record})


def add_attempt(
    judged: History, after_s: float, told_timeout_s: float = 0.1, is_rejected: bool = False
) -> None:
    """Add an attempt of the request at endpoint s-0, some time after the request was sent."""
    attempt = AttemptRecord("1", "s-0", "n0", SENT_AT_S + after_s, told_timeout_s, is_rejected)
    judged.attempts.append(attempt)


def test_answer_within_the_timeout_and_the_slack_keeps_the_rules() -> None:
    judged = history(took_s=1.06)
    add_attempt(judged, 0.0, told_timeout_s=1.1)
    assert judged.broken_rules() == []


@pytest.mark.parametrize(
    ("end", "took_s"), [(RequestEnd.ANSWERED, 1.08), (RequestEnd.CLOSED, 0.1), (RequestEnd.NONE, 3.0)]
)
def test_late_or_missing_answer_is_lost(end: RequestEnd, took_s: float) -> None:
    assert [text.split(":")[0] for text in history(end, took_s).broken_rules()] == ["lost"]


def test_response_to_another_request_is_lost() -> None:
    judged = history()
    judged.requests["1"].is_foreign = True
    assert judged.broken_rules() == ["lost: 1 at n0: response to another request"]


def test_lag_of_the_soak_itself_is_not_held_against_the_gateway() -> None:
    judged = history(took_s=1.08)
    judged.lags.append((SENT_AT_S + 1.0, 0.05))
    assert judged.broken_rules() == []


@pytest.mark.parametrize(("after_s", "broken_count"), [(0.29, 0), (0.31, 1)])
def test_attempt_after_the_client_has_left(after_s: float, broken_count: int) -> None:
    judged = history(RequestEnd.LEFT, took_s=0.2)
    add_attempt(judged, after_s)
    assert len(judged.broken_rules()) == broken_count


def test_endpoint_that_is_told_too_long_a_timeout() -> None:
    judged = history()
    add_attempt(judged, 0.4, told_timeout_s=0.76)
    assert "told 0.760 s with 0.600 s left" in judged.broken_rules()[0]


@pytest.mark.parametrize(("told_before_s", "broken_count"), [(0.29, 0), (0.31, 1)])
def test_attempt_at_a_draining_endpoint(told_before_s: float, broken_count: int) -> None:
    judged = history()
    judged.drain_told_at_s["n0", "s-0"] = SENT_AT_S - told_before_s
    add_attempt(judged, 0.0)
    assert len(judged.broken_rules()) == broken_count


@pytest.mark.parametrize(
    ("effect", "repeated_after_s", "broken_count"),
    [
        (Effect.IDEMPOTENT, 0.9, 0),
        (Effect.KEYED, 0.64, 0),
        (Effect.KEYED, 0.66, 1),
        (Effect.AT_MOST_ONCE, 0.01, 1),
    ],
)
def test_repeated_execution(effect: Effect, repeated_after_s: float, broken_count: int) -> None:
    judged = history(effect=effect, took_s=0.95)
    add_attempt(judged, 0.0)
    add_attempt(judged, repeated_after_s)
    assert len(judged.broken_rules()) == broken_count


def test_rejected_attempt_is_no_execution() -> None:
    judged = history(effect=Effect.AT_MOST_ONCE)
    add_attempt(judged, 0.0, is_rejected=True)
    add_attempt(judged, 0.1)
    assert judged.broken_rules() == []
