"""All open watches fall silent, and hosts drain right after."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from standins2.discovery import Discovery
from standins2.fleet import Fleet, has_trouble, run_case

WATCHES_OPEN_S = 8.0  # gateways that share discovery spread their calls over 5 s
OBSERVED_S = 12.0
RATE_PER_S = 120.0
TOLD_WITHIN_S = 6.0  # after discovery had the change and could be reached
# The moment of the silence. A silent watch is given up 2.5 s after its last line, and the gateway calls again
# at a fixed offset within each 5 s of Unix time, which is 0 s for gateway 0. The silence begins so that this
# offset has just passed. The other two gateways have offsets of 1.67 and 3.33 s.
POLL_INTERVAL_S = 5.0
LAST_LINE_OFFSET_S = 2.65


async def _wait_for_offset(offset_s: float) -> None:
    await asyncio.sleep((offset_s - time.time()) % POLL_INTERVAL_S)


async def _fall_silent(fleet: Fleet, discoveries: list[Discovery]) -> None:
    """Send one more change, a host with a new size, and nothing after it on the open watches."""
    await _wait_for_offset(LAST_LINE_OFFSET_S)
    fleet.catalog.set_phase([fleet.hosts[-1].host_id], "Ready")
    for discovery in discoveries:
        discovery.publish()
        discovery.last_line_at_s()  # raises if there is not exactly one watch
    await asyncio.sleep(0.05)
    if has_trouble():
        for discovery in discoveries:
            discovery.silence()


async def scenario(fleet: Fleet) -> int:
    """Let all watches fall silent, drain a quarter of the hosts right after, and accept every call."""
    discoveries = await fleet.start_discoveries("discovery")
    await fleet.start_gateways(discoveries)
    fleet.start_clients(RATE_PER_S)
    await asyncio.sleep(WATCHES_OPEN_S)
    await _fall_silent(fleet, discoveries)
    host_ids, drained_at_s = fleet.drain(discoveries, host_count=3)
    await asyncio.sleep(OBSERVED_S)
    await fleet.stop_clients()
    return fleet.judge_drain(host_ids, drained_at_s, drained_at_s + TOLD_WITHIN_S, discoveries)


if __name__ == "__main__":
    sys.exit(asyncio.run(run_case(Path(__file__).with_name("record.txt"), scenario)))
