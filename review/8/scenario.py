"""Discovery is slow, and hosts drain while it is."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from standins2.fleet import Fleet, has_trouble, run_case

ANSWER_AFTER_S = 4.5  # well within the 6 s after which a change counts as told
BEFORE_DRAIN_S = (
    12.0  # a call at once is answered by then; so is one in the poll slot, which is at most 5 s away
)
OBSERVED_S = 25.0
RATE_PER_S = 40.0
TOLD_WITHIN_S = 6.0  # after discovery had the change and could be reached


async def scenario(fleet: Fleet) -> int:
    """Start the gateways, answer their calls late, and drain a quarter of the hosts."""
    discoveries = await fleet.start_discoveries("discovery")
    for discovery in discoveries:
        discovery.answer_after_s = ANSWER_AFTER_S if has_trouble() else 0.0
    await fleet.start_gateways(discoveries)
    fleet.start_clients(RATE_PER_S)
    await asyncio.sleep(BEFORE_DRAIN_S)
    host_ids, drained_at_s = fleet.drain(discoveries, host_count=3)
    await asyncio.sleep(OBSERVED_S)
    await fleet.stop_clients()
    return fleet.judge_drain(host_ids, drained_at_s, drained_at_s + TOLD_WITHIN_S, discoveries)


if __name__ == "__main__":
    sys.exit(asyncio.run(run_case(Path(__file__).with_name("record.txt"), scenario)))
