"""Gateways receive each change of the endpoint list before it counts as received; in virtual time.

A change counts as received at the latest 4 s after SIGHUP, 6 s after a watch fell silent, and 6 s after
discovery had the change and could be reached.
"""

from __future__ import annotations

import asyncio
from itertools import pairwise
from random import Random

import pytest

from tests.support.discovery_fleet import (
    DiscoveryFleet,
    VirtualDiscovery,
    most_calls_per_s,
    polled_fleet,
)
from tests.support.virtual_time import START_AT_S, VirtualTimeLoop, run_in_virtual_time

RELOAD_LIMIT_S = 4.0
CHANGE_LIMIT_S = 6.0
MAX_HOLD_UP_S = 0.15
SILENCE_DETECTION_S = 2.5
FLEET_SIZES = [1, 3, 30, 230]
# Gateways and seeds of the drawn moments and delays.
DRAWS = [(gateway_count, seed) for gateway_count in (1, 3, 30) for seed in range(10)]
DRAWS += [(230, seed) for seed in range(3)]
# What a service of fixed capacity needs for one call of each gateway of a large fleet, and for one call.
FLEET_SERVICE_TIME_S = 2.0
MAX_SERVICE_TIME_S = 0.3
SETTLED_AFTER_S = 30.0


async def settle(fleet: DiscoveryFleet, random: Random) -> None:
    """Start a fleet, and let it watch until a drawn moment."""
    fleet.start()
    await asyncio.sleep(SETTLED_AFTER_S + random.uniform(0.0, 10.0))
    assert fleet.last_notified_at_s() < START_AT_S + SETTLED_AFTER_S


async def change_list(fleet: DiscoveryFleet, random: Random) -> float:
    """Change the list soon, and return when."""
    await asyncio.sleep(random.uniform(0.0, 0.5))
    fleet.service.publish()
    return asyncio.get_running_loop().time()


def longest_answer_s(limit_s: float, detection_s: float, gateway_count: int) -> float:
    """Return the longest answer time with which a fleet can keep a limit after its calls are spread."""
    return limit_s - detection_s - MAX_HOLD_UP_S - min(0.1 * gateway_count, 1.0)


@pytest.mark.parametrize(("gateway_count", "seed"), DRAWS)
def test_new_discovery_is_called_within_the_limit_after_sighup(seed: int, gateway_count: int) -> None:
    """Guards against a first call that waits for a poll slot up to 5 s away (review/10)."""

    async def main(loop: VirtualTimeLoop) -> None:
        random = Random(seed)
        with polled_fleet(loop, gateway_count, seed) as fleet:
            delay_s = random.uniform(0.0, longest_answer_s(RELOAD_LIMIT_S, 0.0, gateway_count))
            fleet.service.answer_delay_s = delay_s
            await settle(fleet, random)
            service = VirtualDiscovery(loop)
            service.answer_delay_s = delay_s
            reloaded_at_s = loop.time()
            fleet.switch_to(service)
            service.publish()
            await asyncio.sleep(SETTLED_AFTER_S)
            assert fleet.last_notified_at_s() <= reloaded_at_s + RELOAD_LIMIT_S - MAX_HOLD_UP_S

    run_in_virtual_time(main)


@pytest.mark.parametrize(("gateway_count", "seed"), DRAWS)
def test_new_configurations_in_quick_succession_do_not_put_the_call_off(
    seed: int, gateway_count: int
) -> None:
    """Guards against a limit that begins anew with each SIGHUP, so that no call is ever made."""

    async def main(loop: VirtualTimeLoop) -> None:
        random = Random(seed)
        with polled_fleet(loop, gateway_count, seed) as fleet:
            await settle(fleet, random)
            reloaded_at_s = loop.time()
            services = [VirtualDiscovery(loop) for _ in range(2)]
            services[1].publish()
            services[0].is_dead = True
            fleet.switch_to(services[0])
            await asyncio.sleep(random.uniform(0.1, RELOAD_LIMIT_S - 1.3))
            fleet.switch_to(services[1])
            await asyncio.sleep(SETTLED_AFTER_S)
            assert fleet.last_notified_at_s() <= reloaded_at_s + RELOAD_LIMIT_S - MAX_HOLD_UP_S

    run_in_virtual_time(main)


@pytest.mark.parametrize("gateway_count", FLEET_SIZES)
@pytest.mark.parametrize("answer_delay_s", [4.5, 9.0, 25.0])
def test_call_is_not_given_up_while_the_service_is_slow(answer_delay_s: float, gateway_count: int) -> None:
    """Guards against calls that are all given up before their answer, so that no list arrives (review/8)."""

    async def main(loop: VirtualTimeLoop) -> None:
        with polled_fleet(loop, gateway_count, seed=1) as fleet:
            fleet.service.answer_delay_s = answer_delay_s
            fleet.start()
            await asyncio.sleep(answer_delay_s + CHANGE_LIMIT_S)
            assert (
                fleet.last_notified_at_s()
                <= START_AT_S + answer_delay_s + CHANGE_LIMIT_S - MAX_HOLD_UP_S - 1.0
            )

    run_in_virtual_time(main)


@pytest.mark.parametrize("first_line_delay_s", [2.6, 4.5])
def test_call_is_not_given_up_while_its_list_has_not_followed_its_head(first_line_delay_s: float) -> None:
    """Guards against an idle timeout that ends each watch between the response head and the first list."""

    async def main(loop: VirtualTimeLoop) -> None:
        with polled_fleet(loop, 3, seed=1) as fleet:
            fleet.service.first_line_delay_s = first_line_delay_s
            fleet.start()
            await asyncio.sleep(SETTLED_AFTER_S)
            assert fleet.last_notified_at_s() <= START_AT_S + CHANGE_LIMIT_S - MAX_HOLD_UP_S

    run_in_virtual_time(main)


@pytest.mark.parametrize(("gateway_count", "seed"), DRAWS)
def test_silent_watch_is_replaced_within_the_limit(seed: int, gateway_count: int) -> None:
    """Guards against a call that waits for a poll slot after a watch fell silent (review/9)."""

    async def main(loop: VirtualTimeLoop) -> None:
        random = Random(seed)
        with polled_fleet(loop, gateway_count, seed) as fleet:
            longest_s = longest_answer_s(CHANGE_LIMIT_S, SILENCE_DETECTION_S, gateway_count)
            fleet.service.answer_delay_s = random.uniform(0.0, longest_s)
            await settle(fleet, random)
            fleet.service.publish()  # the last line of all watches
            fleet.service.silence_watches()
            silent_at_s = loop.time()
            await change_list(fleet, random)
            await asyncio.sleep(SETTLED_AFTER_S)
            assert fleet.last_notified_at_s() <= silent_at_s + CHANGE_LIMIT_S - MAX_HOLD_UP_S

    run_in_virtual_time(main)


@pytest.mark.parametrize("error", [None, ConnectionResetError(104, "Connection reset by peer")])
@pytest.mark.parametrize(("gateway_count", "seed"), DRAWS)
def test_ended_watch_is_replaced_within_the_limit(
    seed: int, gateway_count: int, error: Exception | None
) -> None:
    """A watch that ends, in order or by a reset, may end in place of a change."""

    async def main(loop: VirtualTimeLoop) -> None:
        random = Random(seed)
        with polled_fleet(loop, gateway_count, seed) as fleet:
            await settle(fleet, random)
            fleet.service.revision += 1
            ended_at_s = loop.time()
            fleet.service.end_watches(error)
            await asyncio.sleep(SETTLED_AFTER_S)
            assert fleet.last_notified_at_s() <= ended_at_s + CHANGE_LIMIT_S - MAX_HOLD_UP_S - 1.0

    run_in_virtual_time(main)


@pytest.mark.parametrize("outage", ["dead", "refuses_connections", "rejects_calls"])
@pytest.mark.parametrize(("gateway_count", "seed"), DRAWS)
def test_service_is_called_within_the_limit_after_an_outage(
    seed: int, outage: str, gateway_count: int
) -> None:
    """Guards against a backoff beyond the limit (review/3), and calls that a dead service delays."""

    async def main(loop: VirtualTimeLoop) -> None:
        random = Random(seed)
        with polled_fleet(loop, gateway_count, seed) as fleet:
            fleet.service.service_time_s = min(FLEET_SERVICE_TIME_S / gateway_count, MAX_SERVICE_TIME_S)
            await settle(fleet, random)
            fleet.service.die()
            fleet.service.end_watches(None)
            if outage != "dead":
                fleet.service.come_back()
                setattr(fleet.service, outage, True)
            await asyncio.sleep(random.uniform(1.0, 60.0))
            fleet.service.come_back()
            returned_at_s = loop.time()
            fleet.service.publish()
            await asyncio.sleep(SETTLED_AFTER_S)
            assert fleet.last_notified_at_s() <= returned_at_s + CHANGE_LIMIT_S - MAX_HOLD_UP_S

    run_in_virtual_time(main)


@pytest.mark.parametrize("gateway_count", FLEET_SIZES)
def test_fleet_that_starts_is_notified_within_the_limit_and_spreads_its_calls(gateway_count: int) -> None:
    """Guards against simultaneous calls of all gateways, which overload the discovery service."""

    async def main(loop: VirtualTimeLoop) -> None:
        with polled_fleet(loop, gateway_count, seed=1) as fleet:
            fleet.service.service_time_s = min(FLEET_SERVICE_TIME_S / gateway_count, MAX_SERVICE_TIME_S)
            fleet.start()
            await asyncio.sleep(SETTLED_AFTER_S)
            assert fleet.last_notified_at_s() <= START_AT_S + CHANGE_LIMIT_S - MAX_HOLD_UP_S
            times_s = sorted(fleet.service.call_times_s)
            assert len(times_s) == gateway_count
            assert most_calls_per_s(times_s) <= max(11, gateway_count / 4)
            assert max(after - before for before, after in pairwise([START_AT_S, *times_s])) < 0.25

    run_in_virtual_time(main)


@pytest.mark.parametrize("gateway_count", [30, 230])
@pytest.mark.parametrize("fleet_service_time_s", [4.0, 8.0])
def test_crowd_that_is_rejected_drains(fleet_service_time_s: float, gateway_count: int) -> None:
    """A service that is too slow for the limit answers all gateways, and is kept busy until then.

    Three times the time for one call of each gateway leaves room for rejected calls.
    """

    async def main(loop: VirtualTimeLoop) -> None:
        with polled_fleet(loop, gateway_count, seed=1) as fleet:
            await settle(fleet, Random(1))
            fleet.service.service_time_s = fleet_service_time_s / gateway_count
            fleet.service.max_wait_s = 0.5
            fleet.service.end_watches(None)
            fleet.service.revision += 1
            ended_at_s = loop.time()
            await asyncio.sleep(2 * SETTLED_AFTER_S)
            assert fleet.last_notified_at_s() <= ended_at_s + 3 * fleet_service_time_s

    run_in_virtual_time(main)


def test_older_list_does_not_replace_a_newer_one() -> None:
    """The answer to an earlier call arrives after the answer to a later one."""

    async def main(loop: VirtualTimeLoop) -> None:
        with polled_fleet(loop, 1, seed=1) as fleet:
            fleet.service.answer_delay_s = 5.0
            fleet.start()
            await asyncio.sleep(1.0)
            fleet.service.answer_delay_s = 0.5
            fleet.service.revision = 7
            await asyncio.sleep(3.5)
            assert fleet.last_notified_at_s() < loop.time()
            fleet.service.revision = 6
            await asyncio.sleep(SETTLED_AFTER_S)
            assert {revision for _, revision in fleet.gateways[0].applied_at_s} == {7}
            assert len(fleet.service.call_times_s) == 2

    run_in_virtual_time(main)


def test_service_that_ends_each_watch_is_not_called_without_a_pause() -> None:
    """Guards against a loop of calls to a service that ends each watch after its first list."""

    async def main(loop: VirtualTimeLoop) -> None:
        with polled_fleet(loop, 1, seed=1) as fleet:
            fleet.start()
            for _ in range(1000):
                await asyncio.sleep(0.02)
                fleet.service.end_watches(None)
            assert 8 <= len(fleet.service.call_times_s) <= 20 / 1.4 + 1

    run_in_virtual_time(main)


@pytest.mark.parametrize("step_s", [-3600.0, -2.0, 2.0, 3600.0])
def test_stepped_wall_clock_does_not_move_a_call(step_s: float, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a wait that is computed from the wall clock."""

    def notified_after_s(wall_clock_step_s: float) -> float:
        async def main(loop: VirtualTimeLoop) -> float:
            with polled_fleet(loop, 3, seed=1) as fleet:
                await settle(fleet, Random(1))
                monkeypatch.setattr("time.time", lambda: loop.time() + wall_clock_step_s)
                fleet.service.end_watches(None)
                fleet.service.revision += 1
                ended_at_s = loop.time()
                await asyncio.sleep(SETTLED_AFTER_S)
                assert fleet.last_notified_at_s() <= ended_at_s + 1.0
                return fleet.last_notified_at_s() - ended_at_s

        return run_in_virtual_time(main)

    assert notified_after_s(step_s) == notified_after_s(0.0)
