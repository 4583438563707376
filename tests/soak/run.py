"""Runs one seeded soak."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from random import Random

from tests.soak.history import History
from tests.soak.world import (
    DRAIN_GRACE_S,
    ENDPOINT_COUNT,
    GATEWAYS,
    WINDOW_S,
    Clients,
    Discovery,
    Endpoint,
    Gateway,
    record_lag,
)
from tests.support.crowd import (
    ClientScript,
    crowd,
    send_short_fields,
    send_tiny_requests,
    send_unknown_classes,
    stop_half_way,
    write_slowly,
)
from tests.support.syscall_faults import fault_variables

MAX_HOLD_UP_MS = 150
DRAIN_TIME_S = 2.5
CROWD_PART = 0.4  # of the soaks
CROWD_SIZE = 12  # clients of each kind at each gateway
CROWD_SCRIPTS = [send_short_fields, stop_half_way, write_slowly, send_tiny_requests, send_unknown_classes]


@dataclass(frozen=True)
class SoakResult:
    """What one soak has found."""

    seed: int
    request_count: int
    ends: dict[str, int]
    broken: list[str]
    max_own_lag_s: float
    has_crowd: bool
    peak_bytes: int  # the largest resident memory of a gateway process


def draw_faults(random: Random) -> dict[str, object]:
    """Draw which faults of system calls and clocks a gateway has, and how often."""
    faults: dict[str, object] = {"seed": random.randrange(10**6)}
    if random.random() < 0.8:
        faults |= {"hold_up_ms": MAX_HOLD_UP_MS, "hold_up_every": random.choice((200, 600))}
    if random.random() < 0.5:
        faults["accept_every"] = random.choice((3, 10, 40))
    if random.random() < 0.4:
        faults["connect_every"] = random.choice((6, 15))
    if random.random() < 0.3:
        faults["short_every"] = random.choice((2, 7))
    if random.random() < 0.3:
        faults["reset_every"] = random.choice((10, 30))
    if random.random() < 0.4:
        faults["wall_step_s"] = random.choice((3600, -3600, 5))
    return faults


def draw_crowd(random: Random) -> list[ClientScript]:
    """Draw what the misbehaving clients of a soak do; many soaks have none."""
    if random.random() >= CROWD_PART:
        return []
    return random.sample(CROWD_SCRIPTS, 2)


async def _keep_crowd(gateway: Gateway, script: ClientScript) -> None:
    """Run misbehaving clients at a gateway until the task is cancelled."""
    async with crowd(gateway.port, CROWD_SIZE, script):
        await asyncio.Event().wait()


async def run_soak(seed: int, seconds: float, folder: Path, library: Path) -> SoakResult:
    """Run gateways, endpoints, discovery and clients for some time, and judge what they saw."""
    # Each part has its own random numbers, so that the draws of one do not depend on the timing of another.
    random = Random(f"{seed} soak")
    history = History(WINDOW_S, DRAIN_GRACE_S)
    names = [f"s-{number}" for number in range(ENDPOINT_COUNT)]
    endpoints = [
        Endpoint(name, Random(f"{seed} {name}"), Random(f"{seed} {name} responses"), history)
        for name in names
    ]
    discovery = Discovery(endpoints, history)
    for endpoint in endpoints:
        await endpoint.start()
    await discovery.start()
    gateways = [
        Gateway(
            name,
            folder,
            discovery,
            fault_variables(library, **draw_faults(random)),
            Random(f"{seed} {name}"),
        )
        for name in GATEWAYS
    ]
    tasks = [
        asyncio.create_task(record_lag(history)),
        *(asyncio.create_task(gateway.run(random.uniform(2.0, seconds - 2.0))) for gateway in gateways),
    ]
    clients = Clients(gateways, Random(f"{seed} clients"), history)
    crowd_scripts = draw_crowd(Random(f"{seed} crowd"))
    crowds = [
        asyncio.create_task(_keep_crowd(gateway, script)) for gateway in gateways for script in crowd_scripts
    ]
    drains = asyncio.create_task(_drain_endpoints(endpoints, discovery, Random(f"{seed} drains")))
    await clients.run(time.monotonic() + seconds)
    background = (drains, *crowds, *tasks)
    for task in background:
        task.cancel()
    results = await asyncio.gather(*background, return_exceptions=True)
    for endpoint in endpoints:
        endpoint.stop()
    discovery.stop()
    await asyncio.sleep(0.1)  # the watches end
    failures = [f"soak: {error!r}" for error in results if isinstance(error, Exception)]
    ends = Counter(record.end.name for record in history.requests.values())
    faults_seen = [fault for gateway in gateways for fault in gateway.faults_seen]
    peak_bytes = max(gateway.peak_bytes for gateway in gateways)
    max_lag_s = max((lag_s for _, lag_s in history.lags), default=0.0)
    broken = history.broken_rules() + faults_seen + failures
    return SoakResult(seed, len(history.requests), dict(ends), broken, max_lag_s, len(crowds) > 0, peak_bytes)


async def _drain_endpoints(endpoints: list[Endpoint], discovery: Discovery, random: Random) -> None:
    """Drain one endpoint after another, each for some time, until the task is cancelled."""
    while True:
        await asyncio.sleep(random.uniform(0.5, 1.5))
        endpoint = random.choice(endpoints)
        discovery.change(endpoint, "Terminating")
        await asyncio.sleep(DRAIN_TIME_S)
        discovery.change(endpoint, "Ready")
