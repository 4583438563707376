"""Discovery refuses calls while it is crowded, and hosts drain after it has recovered."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from standins2.fleet import Fleet, has_trouble, run_case

CROWDED_S = 16.0
QUIET_S = 0.5
OBSERVED_S = 40.0
RATE_PER_S = 40.0
TOLD_WITHIN_S = 6.0  # after discovery had the change and could be reached


async def scenario(fleet: Fleet) -> int:
    """Start the gateways while discovery is crowded, let it recover, and drain a quarter of the hosts."""
    discoveries = await fleet.start_discoveries("discovery")
    for discovery in discoveries:
        discovery.refuses = has_trouble()
    await fleet.start_gateways(discoveries)
    fleet.start_clients(RATE_PER_S)
    await asyncio.sleep(CROWDED_S)
    for discovery in discoveries:
        discovery.refuses = False
    fleet.record.add("discovery accepts every call from now on")
    await asyncio.sleep(QUIET_S)
    host_ids, drained_at_s = fleet.drain(discoveries, host_count=3)
    await asyncio.sleep(OBSERVED_S)
    await fleet.stop_clients()
    return fleet.judge_drain(host_ids, drained_at_s, drained_at_s + TOLD_WITHIN_S, discoveries)


if __name__ == "__main__":
    sys.exit(asyncio.run(run_case(Path(__file__).with_name("record.txt"), scenario)))
