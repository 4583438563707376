"""Tests of the dispatcher when the policy fails.

The policy raises an exception, returns actions for a request that is already answered, or returns no actions.
"""

from __future__ import annotations

import pytest

from http_gateway.policy.actions import Action, FailRequest, ShedRequest, StartAttempt
from http_gateway.policy.events import AttemptEnded, Event, Outcome, RequestArrived
from tests.support.loopback import (
    async_test,
    respond_with,
    running_gateway,
    start_peers,
    wait_until,
)


class InjectedFaultError(Exception):
    """Exception that a test makes the policy raise."""


@async_test
async def test_policy_exception_fails_only_the_request_that_caused_it(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async with (
        start_peers(respond_with()) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        handle = gateway.balancer.handle

        def raise_for_one_key(event: Event, now_us: int) -> list[Action]:
            if isinstance(event, RequestArrived) and event.key == "poison":
                raise InjectedFaultError("a fault of this test")
            return handle(event, now_us)

        gateway.balancer.handle = raise_for_one_key  # type: ignore[method-assign]
        assert (await gateway.request(headers={"X-Key": "poison"})).status == 500
        assert (await gateway.request()).status == 200
        assert "a fault of this test" in caplog.text


@async_test
async def test_policy_exception_at_the_end_of_an_attempt_fails_its_request_at_once() -> None:
    async with (
        start_peers(respond_with(500)) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        handle = gateway.balancer.handle

        def raise_at_attempt_end(event: Event, now_us: int) -> list[Action]:
            if isinstance(event, AttemptEnded):
                raise InjectedFaultError("a fault of this test")
            return handle(event, now_us)

        gateway.balancer.handle = raise_at_attempt_end  # type: ignore[method-assign]
        assert (await gateway.request()).status == 500
        await wait_until(lambda: not gateway.dispatcher.in_flight_count)


@async_test
async def test_nothing_is_sent_after_the_final_response() -> None:
    """Actions for a request that is already answered reach neither an endpoint nor the client."""
    async with (
        start_peers(respond_with()) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        handle = gateway.balancer.handle
        ended: list[Outcome] = []

        def add_actions_after_response(event: Event, now_us: int) -> list[Action]:
            if isinstance(event, AttemptEnded):
                ended.append(event.outcome)
            actions = handle(event, now_us)
            if not isinstance(event, RequestArrived):
                return actions
            return [
                *actions,
                ShedRequest(event.request_id),
                StartAttempt(event.request_id, endpoint.endpoint_entry().endpoint.id),
                FailRequest(event.request_id),
            ]

        gateway.balancer.handle = add_actions_after_response  # type: ignore[method-assign]
        client = await gateway.connect()
        assert (await client.request()).status == 503
        await wait_until(lambda: not gateway.dispatcher.in_flight_count)
        # The first attempt was still connecting and is cancelled. The second one is not started.
        assert ended == [Outcome.NOT_SENT, Outcome.CANCELLED]
        gateway.frontend.stop_accepting()
        assert await client.read_until_closed() == b""
        await wait_until(lambda: gateway.pool.open_descriptors == 0)
        assert not endpoint.requests


@async_test
async def test_request_that_the_policy_does_not_answer_is_answered_at_its_deadline() -> None:
    async with running_gateway() as gateway:
        gateway.balancer.handle = lambda event, now_us: []  # type: ignore[method-assign]
        assert (await gateway.request(headers={"X-Deadline": "0.1"})).status == 504
