"""The processor time of single events of the policy and of the network code, by the size of the fleet."""

from __future__ import annotations

import os
import subprocess
import sys
import time
from collections.abc import Callable
from functools import partial
from itertools import islice
from unittest.mock import Mock

import orjson

from http_gateway.net.discovery.endpoint_directory import EndpointDirectory
from http_gateway.net.discovery.endpoint_list import EndpointEntry, EndpointList
from http_gateway.net.memory.budget import MessageBudgets
from http_gateway.net.upstream.pool import UpstreamPool
from http_gateway.policy.actions import StartAttempt
from http_gateway.policy.balancer import Balancer
from http_gateway.policy.endpoint import Endpoint, EndpointState
from http_gateway.policy.events import (
    AttemptEnded,
    EndpointListUpdate,
    ListUpdateKind,
    Outcome,
    RequestArrived,
)
from http_gateway.policy.time_units import US_PER_MS, US_PER_S
from tests.scale.fleet import (
    CLASS,
    SETTINGS,
    START_US,
    ZONES,
    make_balancer,
    make_endpoint,
    make_endpoints,
    rolling_deploy,
)

CHANGE_INTERVAL_US = 2500  # a deploy brings up to 400 changes a second
SIMULATOR_CHANGES = 3000
REPETITIONS = 60
MAX_CONNECTIONS = 496  # of a gateway with 1,024 descriptors
MS_PER_S = 1000.0
_WIRE_STATES = {EndpointState.READY: "IN", EndpointState.DRAINING: "LAME", EndpointState.REMOVED: "OUT"}


def _cpu_ms(action: Callable[[int], object], repetitions: int) -> float:
    """Return the mean processor time of an action in milliseconds; it gets the number of the repetition."""
    started_at_s = time.process_time()
    for number in range(repetitions):
        action(number)
    return (time.process_time() - started_at_s) * MS_PER_S / repetitions


def list_change_ms(count: int) -> float:
    """Return the cost of a change of the list that is a batch of its own in the policy."""
    balancer = make_balancer(make_endpoints(count))
    changes = rolling_deploy(count, START_US, CHANGE_INTERVAL_US)

    def apply(number: int) -> None:
        update = EndpointListUpdate(ListUpdateKind.DELTA, (next(changes),))
        balancer.handle(update, START_US + number * CHANGE_INTERVAL_US)

    return _cpu_ms(apply, REPETITIONS * 3)


def simulator_change_ms(count: int) -> float:
    """Return the cost of a change that is a batch of its own in the simulator adapter."""
    start = _simulator_input(count, 0)
    changes = _simulator_input(count, SIMULATOR_CHANGES)
    return (_simulator_cpu_s(changes) - _simulator_cpu_s(start)) * MS_PER_S / SIMULATOR_CHANGES


def _simulator_cpu_s(batches: bytes) -> float:
    before = os.times()
    command = [sys.executable, "-m", "http_gateway.simulator"]
    subprocess.run(command, input=batches, stdout=subprocess.DEVNULL, check=True)
    after = os.times()
    return after.children_user + after.children_system - before.children_user - before.children_system


def _simulator_input(count: int, changes: int) -> bytes:
    setup = {
        "balancers": SETTINGS.gateway_count,
        "rank": SETTINGS.gateway_index,
        "locality": SETTINGS.zone,
        "zones": ZONES,
        "classes": [{"name": CLASS.name, "onTime": 500_000, "giveUp": 2_000_000, "effect": "idempotent"}],
        "registryMode": "automatic",
        "fees": {"crossZone": SETTINGS.cross_zone_cost, "probe": 0.01},
        "invariants": {"coldFrom": 0.15, "fall": 2_000_000, "fallMultiple": 3.0, "rampTime": 24_000_000},
        "permissions": {"maxAttempts": 4, "dialTimeout": 250_000},
    }
    batches = [
        _batch(0, START_US, {"verb": "configure", "gateway": 0, "seed": 1, "setup": setup}),
        _batch(1, START_US, _discovery("snapshot", make_endpoints(count))),
    ]
    deploy = rolling_deploy(count, START_US, CHANGE_INTERVAL_US)
    for number, endpoint in enumerate(islice(deploy, changes)):
        clock_us = START_US + number * CHANGE_INTERVAL_US
        batches.append(_batch(2 + number, clock_us, _discovery("diff", (endpoint,))))
    return b"".join(batches)


def _batch(frame: int, clock_us: int, event: dict[str, object]) -> bytes:
    lines = ({"verb": "frame", "clock": clock_us, "frame": frame}, event, {"verb": "eob"})
    return b"".join(orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE) for line in lines)


def _discovery(how: str, endpoints: tuple[Endpoint, ...]) -> dict[str, object]:
    elements = [
        {
            "host": endpoint.id,
            "stageState": _WIRE_STATES[endpoint.state],
            "regionPart": endpoint.zone,
            "sku": endpoint.machine_type,
            "group": endpoint.deduplication_group,
            "readyAt": endpoint.started_at_us or None,
        }
        for endpoint in endpoints
    ]
    return {"verb": "discovery", "gateway": 0, "how": how, "serial": 1, "elements": elements}


def request_ms(
    balancer: Balancer, now_us: int, interval_us: int, outcome: Outcome, repetitions: int
) -> tuple[float, float]:
    """Return the cost of a request and of the end of its first attempt, both in milliseconds."""
    started: list[StartAttempt] = []

    def arrive(number: int) -> None:
        request = RequestArrived(number, CLASS.name, CLASS.timeout_us, 10 * US_PER_MS)
        actions = balancer.handle(request, now_us + number * interval_us)
        started.extend(action for action in actions if isinstance(action, StartAttempt))

    arrival_ms = _cpu_ms(arrive, repetitions)
    end_us = now_us + repetitions * interval_us

    def end(number: int) -> None:
        action = started[number]
        balancer.handle(AttemptEnded(action.request_id, 0, action.endpoint_id, outcome, 1, True), end_us)

    return arrival_ms, _cpu_ms(end, len(started)) if started else 0.0


def warming_refresh_ms(count: int) -> float:
    """Return the cost of a request every 100 ms while one endpoint warms up and all others are warm."""
    endpoints = (*make_endpoints(count - 1), make_endpoint(count, START_US))
    balancer = make_balancer(endpoints)
    return request_ms(balancer, START_US, US_PER_S // 10, Outcome.OK, REPETITIONS)[0]


def warm_request_ms(count: int) -> float:
    """Return the cost of a request while all endpoints are warm."""
    return request_ms(make_balancer(make_endpoints(count)), START_US, 1000, Outcome.OK, REPETITIONS)[0]


def all_warming_choice_ms(count: int) -> float:
    """Return the cost of a request while all endpoints warm up, 20 requests a second."""
    balancer = make_balancer(make_endpoints(count, START_US))
    return request_ms(balancer, START_US, US_PER_S // 20, Outcome.OK, REPETITIONS)[0]


def failure_ms(count: int) -> float:
    """Return the cost of an attempt that ends with an error."""
    balancer = make_balancer(make_endpoints(count))
    request_ms(balancer, START_US, 1000, Outcome.OK, 1)
    return request_ms(balancer, START_US + US_PER_S, 1000, Outcome.ERROR, REPETITIONS)[1]


def start_list_ms(count: int) -> float:
    """Return the cost in the policy of the first complete list."""
    endpoints = make_endpoints(count)
    return _cpu_ms(lambda _: make_balancer(endpoints), 3)


def break_list_ms(count: int) -> float:
    """Return the cost in the policy of a complete list in which a tenth of the endpoints was replaced."""
    balancer = make_balancer(make_endpoints(count))
    lists = [
        (
            *make_endpoints(count - count // 10),
            *(make_endpoint(count * number + index, START_US) for index in range(1, count // 10)),
        )
        for number in (2, 3, 4)
    ]

    def apply(number: int) -> None:
        balancer.handle(EndpointListUpdate(ListUpdateKind.COMPLETE, lists[number]), START_US + number)

    return _cpu_ms(apply, len(lists))


def directory_and_pool_change_ms(count: int) -> float:
    """Return the cost of a change in the directory and in the connection pool."""
    directory = EndpointDirectory(2 * count)
    pool = UpstreamPool(1.0, 60.0, 100, MessageBudgets.create(1 << 20, 100, 100))

    def apply(endpoints: tuple[Endpoint, ...], is_complete: bool) -> None:
        entries = tuple(EndpointEntry(endpoint, ("127.0.0.1", endpoint.id % count)) for endpoint in endpoints)
        resolved = directory.resolve(EndpointList(1, is_complete, entries), is_complete)
        pool.update_endpoints(resolved.entries, is_complete)

    apply(make_endpoints(count), True)
    changes = rolling_deploy(count, START_US, CHANGE_INTERVAL_US)
    return _cpu_ms(lambda _: apply((next(changes),), False), REPETITIONS * 3)


def connection_limit_ms(count: int) -> float:
    """Return the cost of finding the connection to close when a new one would exceed the limit."""
    pool = UpstreamPool(1.0, 60.0, MAX_CONNECTIONS, MessageBudgets.create(1 << 20, 100, 100))
    entries = [
        EndpointEntry(endpoint, ("127.0.0.1", endpoint.id % count)) for endpoint in make_endpoints(count)
    ]
    pool.update_endpoints(entries, is_complete=True)
    for number, endpoint in enumerate(list(pool._endpoints.values())[:MAX_CONNECTIONS]):
        connection = Mock(idle_since_at_s=float(number))
        connection.drop = partial(endpoint.remove_idle, connection)
        endpoint.add_idle(connection)
    return _cpu_ms(lambda _: pool._close_longest_idle(), REPETITIONS)


COSTS: dict[str, Callable[[int], float]] = {
    "list change over the simulator adapter": simulator_change_ms,
    "list change in the policy": list_change_ms,
    "list change in directory and pool": directory_and_pool_change_ms,
    "connection to close at the limit": connection_limit_ms,
    "request every 100 ms, one endpoint warming up": warming_refresh_ms,
    "request, all endpoints warm": warm_request_ms,
    "request, all endpoints warming up": all_warming_choice_ms,
    "attempt that ends with an error": failure_ms,
    "complete list at the start, policy": start_list_ms,
    "complete list after a break, policy": break_list_ms,
}
