"""A small deployment like `deploy/sites/tidal-register.toml`: 3 gateways, 12 hosts, lists asked for."""

from __future__ import annotations

import asyncio
import os
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from pathlib import Path

from standins2.clients import Clients
from standins2.discovery import Catalog, Discovery
from standins2.gateways import CannotRunError, Gateway
from standins2.hosts import Arrival, Host
from standins2.record import Record
from standins2.sites import COLOMBO_KINDS, COLOMBO_ZONES, tidal_register

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2

GATEWAY_COUNT = 3
HOST_COUNT = 12
DRAIN_GRACE_S = 0.75  # tidal-register.toml: drain_grace_ms
SOCKET_SLACK_S = 0.05  # PROTOCOL: each time limit is 50 ms longer on sockets
WORK_S = 0.03
MAX_LAG_S = 0.1  # stand-ins that were held up for longer give no verdict


def has_trouble() -> bool:
    """Whether the run has its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Fleet:
    """The gateways, hosts and clients of one run."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.folder = folder
        self.catalog = Catalog()
        self.hosts = [
            Host(f"s-{index:08x}", COLOMBO_ZONES[index % 3], index % 3, WORK_S, record)
            for index in range(HOST_COUNT)
        ]
        self.gateways: list[Gateway] = []
        self.clients: list[Clients] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start_hosts(self) -> None:
        """Start all hosts and list them."""
        for host in self.hosts:
            await host.start()
            self.catalog.add(host.entry())

    async def start_discoveries(self, name: str) -> list[Discovery]:
        """Start discovery, at an address for each gateway."""
        discoveries = [
            Discovery(f"{name} {index}", self.catalog, self.record) for index in range(GATEWAY_COUNT)
        ]
        for discovery in discoveries:
            await discovery.start()
        return discoveries

    async def start_gateways(self, discoveries: Sequence[Discovery]) -> None:
        """Start all gateways with the present list, and wait until they are ready."""
        for rank, discovery in enumerate(discoveries):
            config = {
                "discovery": discovery.address,
                "seed": os.urandom(8).hex(),
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "known": self.catalog.whole_list(),
                "settings": tidal_register(rank, GATEWAY_COUNT),
            }
            self.gateways.append(Gateway(self.folder, rank, config))
            self.gateways[-1].start()
        for gateway in self.gateways:
            await gateway.wait_until_ready()
            self.record.add(f"gateway {gateway.index}: ready")

    def start_clients(self, rate_per_s: float) -> None:
        """Let clients send requests to each gateway at this rate."""
        for gateway in self.gateways:
            clients = Clients(gateway.index, gateway.address, COLOMBO_KINDS, rate_per_s, self.record)
            self.clients.append(clients)
            self._tasks.append(asyncio.create_task(clients.run()))

    async def stop_clients(self) -> None:
        """Let the clients stop after their open requests."""
        for task in self._tasks:
            task.cancel()
        for clients in self.clients:
            await clients.finish()

    def end(self) -> None:
        """End all processes, and record what they logged."""
        for gateway in self.gateways:
            if gateway.exit_code is not None:
                self.record.conclude(f"gateway {gateway.index} has ended with code {gateway.exit_code}")
            gateway.end()
            for line in gateway.log().splitlines():
                self.record.add(f"gateway {gateway.index} logged: {line}")

    def drain(self, discoveries: Sequence[Discovery], host_count: int) -> tuple[list[str], float]:
        """Let some hosts begin to drain; they go on answering what reaches them.

        Returns:
            Their ids, and the time at which discovery has the change.
        """
        host_ids = [host.host_id for host in self.hosts[:host_count]]
        self.catalog.set_phase(host_ids, "Terminating")
        drained_at_s = time.time()
        self.record.add(f"{', '.join(host_ids)} drain from now on, in revision {self.catalog.revision}")
        for discovery in discoveries:
            discovery.publish()
        return host_ids, drained_at_s

    def judge_drain(
        self, host_ids: Sequence[str], drained_at_s: float, told_by_s: float, sources: Sequence[Discovery]
    ) -> int:
        """Judge the rule on drains, and return the exit code.

        Args:
            host_ids: The hosts that drain.
            drained_at_s: When discovery had the change.
            told_by_s: When the change counts as told at the latest, whether or not it arrived.
            sources: The discovery of each gateway, which may have written the change earlier.
        """
        self.record.conclude(f"the stand-ins were held up for {self.record.max_lag_s:.3f} s at most")
        for clients in self.clients:
            self.record.conclude(f"answers by status: {dict(sorted(clients.statuses.items()))}")
        if self.record.max_lag_s > MAX_LAG_S:
            raise CannotRunError("the stand-ins were held up for too long")
        arrivals = [arrival for host in self.hosts if host.host_id in host_ids for arrival in host.arrivals]
        if not any(arrival.first_byte_at_s < drained_at_s for arrival in arrivals):
            raise CannotRunError("the hosts got no request before they drained")
        is_broken = False
        for gateway, source in zip(self.gateways, sources, strict=True):
            at_s = min(source.written_at_s(self.catalog.revision), told_by_s)
            limit_at_s = at_s + DRAIN_GRACE_S + SOCKET_SLACK_S + self.record.max_lag_s
            own = [arrival for arrival in arrivals if _gateway_index(arrival) == gateway.index]
            late = [arrival for arrival in own if arrival.first_byte_at_s > limit_at_s]
            is_broken = is_broken or bool(late)
            last_s = max((arrival.first_byte_at_s for arrival in own), default=0.0) - drained_at_s
            self.record.conclude(
                f"gateway {gateway.index}: told {at_s - drained_at_s:.2f} s after the change, last request to"
                f" a draining host {last_s:.2f} s after it, allowed until {limit_at_s - drained_at_s:.2f} s;"
                f" {len(late)} requests later than that"
            )
            for arrival in late:
                self.record.add(f"LATE: {arrival.host_id} got {arrival.request_id}", arrival.first_byte_at_s)
        self.record.conclude("the rule was broken" if is_broken else "the rule held")
        return BROKEN if is_broken else HELD


def _gateway_index(arrival: Arrival) -> int:
    return int(arrival.request_id[:2], 16)


@asynccontextmanager
async def _running(record: Record) -> AsyncIterator[Fleet]:
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(record, Path(folder))
        lag_task = asyncio.create_task(record.watch_lag())
        try:
            yield fleet
        finally:
            lag_task.cancel()
            fleet.end()


async def run_case(record_path: Path, scenario: Callable[[Fleet], Awaitable[int]]) -> int:
    """Run a scenario, write its record and return the exit code."""
    record = Record(record_path)
    record.add(f"TROUBLE={int(has_trouble())}")
    try:
        async with _running(record) as fleet:
            await fleet.start_hosts()
            return await scenario(fleet)
    except CannotRunError as error:
        record.conclude(f"could not run: {error}")
        return COULD_NOT_RUN
    finally:
        record.write()
