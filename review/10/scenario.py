"""A new configuration moves discovery, and hosts drain right after."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from standins2.discovery import Discovery
from standins2.fleet import Fleet, has_trouble, run_case

WATCHES_OPEN_S = 8.0  # gateways that share discovery spread their calls over 5 s
OBSERVED_S = 8.0
RATE_PER_S = 120.0
TOLD_WITHIN_S = 4.0  # after SIGHUP
OLD_CLOSES_AFTER_S = 1.5
AFTER_RELOAD_S = 0.2  # the gateways have left the old discovery by then
# The moment of SIGHUP. The gateway calls the new discovery at a fixed offset within each 5 s of Unix time,
# which is 0 s for gateway 0. This offset has just passed. The other gateways have offsets of 1.67 and 3.33 s.
POLL_INTERVAL_S = 5.0
RELOAD_OFFSET_S = 0.04


async def _wait_for_offset(offset_s: float) -> None:
    await asyncio.sleep((offset_s - time.time()) % POLL_INTERVAL_S)


async def _close_old(old: list[Discovery]) -> None:
    """Accept no connection any more, and close the open ones after 1.5 s."""
    for discovery in old:
        discovery.stop_accepting()
    await asyncio.sleep(OLD_CLOSES_AFTER_S)
    for discovery in old:
        discovery.close_connections()


async def scenario(fleet: Fleet) -> int:
    """Replace the configuration and send SIGHUP, and drain a quarter of the hosts right after."""
    old = await fleet.start_discoveries("discovery")
    new = await fleet.start_discoveries("new discovery")
    await fleet.start_gateways(old)
    fleet.start_clients(RATE_PER_S)
    await asyncio.sleep(WATCHES_OPEN_S)
    await _wait_for_offset(RELOAD_OFFSET_S)
    reloaded_at_s = time.time()
    if has_trouble():
        for gateway, discovery in zip(fleet.gateways, new, strict=True):
            gateway.reload(discovery=discovery.address)
        fleet.record.add("the configuration is replaced, and SIGHUP is sent")
        closing = asyncio.create_task(_close_old(old))
    await asyncio.sleep(AFTER_RELOAD_S)
    host_ids, drained_at_s = fleet.drain([*old, *new], host_count=3)
    await asyncio.sleep(OBSERVED_S)
    if has_trouble():
        await closing
    await fleet.stop_clients()
    sources = new if has_trouble() else old
    return fleet.judge_drain(host_ids, drained_at_s, reloaded_at_s + TOLD_WITHIN_S, sources)


if __name__ == "__main__":
    sys.exit(asyncio.run(run_case(Path(__file__).with_name("record.txt"), scenario)))
