"""One gateway of a fleet with 3,200 hosts, which are warm unless a deploy replaces them."""

from __future__ import annotations

import asyncio
import os
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins2.clients import Clients, RequestKind
from standins2.discovery import Catalog, Discovery
from standins2.fleet import COULD_NOT_RUN, has_trouble
from standins2.gateways import CannotRunError, Gateway
from standins2.host_farm import HostFarm
from standins2.record import Record

# STANDING: up to sixteen times the hosts, 3,200 at most, of days with 200 gateways and up to 200 hosts.
FARM_COUNT = 8
HOSTS_PER_FARM = 400
GATEWAY_COUNT = 200
WORK_S = 0.05
MAX_LAG_S = 0.2  # stand-ins that were held up for longer give no verdict


@dataclass
class BigFleet:
    """What one run has started."""

    record: Record
    settings: dict[str, Any]
    memory_mb: int
    farms: list[HostFarm] = field(default_factory=list)
    catalog: Catalog = field(default_factory=Catalog)
    discovery: Discovery = field(init=False)
    gateway: Gateway = field(init=False)

    def __post_init__(self) -> None:
        self.discovery = Discovery("discovery", self.catalog, self.record)

    def entry(self, name: str, index: int, started_at_s: float = 0.0) -> dict[str, Any]:
        """Return the list entry of a host at the address with this index."""
        ports = self.farms[index // HOSTS_PER_FARM].ports
        zones = self.settings["zones"]
        return {
            "id": name,
            "host_port": f"127.0.0.1:{ports[index % HOSTS_PER_FARM]}",
            "locality": zones[index % len(zones)],
            "flavor": "standard",
            "cell": index // 6,
            "phase": "Ready",
            "size": 1.0,
            "up_since_ms": round(started_at_s * 1000),
        }

    async def start(self, folder: Path) -> None:
        """Start all hosts, discovery and the gateway, and wait until it is ready."""
        for _ in range(FARM_COUNT):
            self.farms += [HostFarm(HOSTS_PER_FARM, WORK_S)]
        for index in range(FARM_COUNT * HOSTS_PER_FARM):
            self.catalog.add(self.entry(f"s-{index:08x}", index))
        await self.discovery.start()
        config = {
            "discovery": self.discovery.address,
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": 1024},
            "known": self.catalog.whole_list(),
            "settings": self.settings,
        }
        self.gateway = Gateway(folder, 0, config)
        self.gateway.start()
        await self.gateway.wait_until_ready()

    @asynccontextmanager
    async def running_clients(
        self, kinds: Sequence[RequestKind], rate_per_s: float
    ) -> AsyncIterator[Clients]:
        """Let clients send requests; at the end, wait until all are answered."""
        clients = Clients(0, self.gateway.address, kinds, rate_per_s, self.record)
        task = asyncio.create_task(clients.run())
        lag_task = asyncio.create_task(self.record.watch_lag())
        try:
            yield clients
        finally:
            task.cancel()
            await clients.finish()
            lag_task.cancel()
        self.record.conclude(f"the stand-ins were held up for {self.record.max_lag_s:.3f} s at most")
        self.record.conclude(f"answers by status: {dict(sorted(clients.statuses.items()))}")
        if self.record.max_lag_s > MAX_LAG_S:
            raise CannotRunError("the stand-ins were held up for too long")

    async def replace_hosts(self, share: float, within_s: float, drain_s: float, start_s: float) -> None:
        """Replace hosts one after the other; each successor has a new id and the address of its predecessor.

        Discovery writes a line for each change, when it happens.
        """
        count = round(share * FARM_COUNT * HOSTS_PER_FARM)
        begin_s = time.time()
        events: list[tuple[float, int, str]] = []
        for index in range(count):
            at_s = begin_s + index * within_s / count
            events += [(at_s, index, "Terminating"), (at_s + drain_s, index, "Gone")]
            events += [(at_s + drain_s + start_s, index, "Ready")]
        events.sort(reverse=True)
        while events:
            at_s, index, phase = events.pop()
            await asyncio.sleep(max(0.0, at_s - time.time()))
            if phase == "Ready":
                self.catalog.start(self.entry(f"t-{index:08x}", index, time.time()))
            else:
                self.catalog.set_phase([f"s-{index:08x}"], phase)
            self.discovery.publish()
        self.record.add(f"{count} hosts are replaced")

    def end(self) -> None:
        """End all processes, and record what ran and what the gateway logged."""
        if hasattr(self, "gateway"):
            self.gateway.end()
            for line in self.gateway.log().splitlines():
                self.record.add(f"gateway logged: {line}")
        for farm in self.farms:
            for at_s, port, request_id in farm.end():
                self.record.add(f"host at port {port}: gets {request_id}", at_s)


async def run_case(
    record_path: Path,
    settings: dict[str, Any],
    memory_mb: int,
    scenario: Callable[[BigFleet], Awaitable[int]],
) -> int:
    """Run a scenario, write its record and return the exit code."""
    record = Record(record_path)
    record.add(f"TROUBLE={int(has_trouble())}")
    fleet = BigFleet(record, settings, memory_mb)
    try:
        with tempfile.TemporaryDirectory() as folder:
            try:
                await fleet.start(Path(folder))
                return await scenario(fleet)
            finally:
                fleet.end()
    except CannotRunError as error:
        record.conclude(f"could not run: {error}")
        return COULD_NOT_RUN
    finally:
        record.write()
