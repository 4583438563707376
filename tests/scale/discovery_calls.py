"""Prints how often a fleet calls a shared discovery service, in virtual time.

By hand: `python -m tests.scale.discovery_calls`. The service needs `FLEET_SERVICE_TIME_S` for one call of
each gateway, and rejects calls that would wait for over 2 s.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable

from tests.support.discovery_fleet import (
    DiscoveryFleet,
    VirtualDiscovery,
    most_calls_per_s,
    polled_fleet,
)
from tests.support.virtual_time import VirtualTimeLoop, run_in_virtual_time

FLEET_SERVICE_TIME_S = 3.8
SETTLED_AFTER_S = 30.0
OBSERVED_S = 60.0
OUTAGE_S = 20.0
SEED = 1


def calm(loop: VirtualTimeLoop, fleet: DiscoveryFleet) -> None:
    """Change nothing."""


def switch(loop: VirtualTimeLoop, fleet: DiscoveryFleet) -> None:
    """Let all gateways switch to another service."""
    service = VirtualDiscovery(loop)
    service.service_time_s = fleet.service.service_time_s
    fleet.switch_to(service)


def silence(loop: VirtualTimeLoop, fleet: DiscoveryFleet) -> None:
    """Let all watches fall silent."""
    fleet.service.silence_watches()


def end(loop: VirtualTimeLoop, fleet: DiscoveryFleet) -> None:
    """End all watches."""
    fleet.service.end_watches(None)


def vanish(loop: VirtualTimeLoop, fleet: DiscoveryFleet) -> None:
    """Let the service vanish without a word, and come back after a time."""
    fleet.service.die()
    loop.call_later(OUTAGE_S, fleet.service.come_back)


def measure(gateway_count: int, event: Callable[[VirtualTimeLoop, DiscoveryFleet], None] | None) -> str:
    """Return the calls after an event, and the time until the last gateway is notified; None is the start."""

    async def main(loop: VirtualTimeLoop) -> str:
        with polled_fleet(loop, gateway_count, SEED) as fleet:
            fleet.service.service_time_s = FLEET_SERVICE_TIME_S / gateway_count
            began_at_s = loop.time()
            fleet.start()
            if event is not None:
                await asyncio.sleep(SETTLED_AFTER_S)
                began_at_s = loop.time()
                fleet.service.rejected_count = 0
                event(loop, fleet)
                fleet.service.revision += event is not calm
            await asyncio.sleep(OBSERVED_S)
            times_s = [at_s for at_s in fleet.service.call_times_s if at_s >= began_at_s]
            notified_s = max(0.0, fleet.last_notified_at_s() - began_at_s)
            return (
                f"calls={len(times_s)} most_per_s={most_calls_per_s(times_s)}"
                f" rejected={fleet.service.rejected_count} last_notified_s={notified_s:.2f}"
            )

    return run_in_virtual_time(main)


def main() -> None:
    """Print the figures for the fleet sizes of the arguments, or for 3, 30 and 230 gateways."""
    for gateway_count in map(int, sys.argv[1:] or ("3", "30", "230")):
        for name, event in (
            ("start", None),
            ("calm minute", calm),
            ("SIGHUP", switch),
            ("silence", silence),
            ("end", end),
            (f"outage of {OUTAGE_S:.0f} s", vanish),
        ):
            print(f"gateways={gateway_count} {name}: {measure(gateway_count, event)}", flush=True)


if __name__ == "__main__":
    main()
