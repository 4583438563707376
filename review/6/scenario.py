"""A rolling deploy in a fleet of 3,200 hosts."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from standins2.big_fleet import GATEWAY_COUNT, BigFleet, run_case
from standins2.clients import Clients
from standins2.fleet import BROKEN, HELD, has_trouble
from standins2.sites import KWELA_KINDS, kwela_forecast

MEMORY_MB = 192
RATE_PER_S = 20.0
WARM_UP_S = 8.0
DEPLOY_S = 25.0  # BRIEF 7.3: within 23 to 39 s
DEPLOY_SHARE = 0.9  # BRIEF 7.3: up to 99% of the hosts, up to 19% of the fleet at a time
DRAIN_S = 4.0
START_S = 1.0
OBSERVED_S = 15.0
LATE_ANSWER_S = 0.5  # STANDING: up to half a second after its time it only earns nothing; later it is lost


async def scenario(fleet: BigFleet) -> int:
    """Replace nine in ten hosts within 25 s, under light traffic."""
    async with fleet.running_clients(KWELA_KINDS, RATE_PER_S) as clients:
        await asyncio.sleep(WARM_UP_S)
        if has_trouble():
            fleet.record.conclude("the rolling deploy begins")
            await fleet.replace_hosts(DEPLOY_SHARE, DEPLOY_S, DRAIN_S, START_S)
        else:
            await asyncio.sleep(DEPLOY_S)
        await asyncio.sleep(OBSERVED_S)
    return _judge(fleet, clients)


def _judge(fleet: BigFleet, clients: Clients) -> int:
    """Judge the rule on lost requests: each gets a final answer at most 0.5 s after its time."""
    record = fleet.record
    lost = [call for call in clients.calls if call.late_s > LATE_ANSWER_S + record.max_lag_s]
    for call in lost:
        record.add(f"LOST: {call.request_id}, answered {call.late_s:.2f} s after its time", call.sent_at_s)
    record.conclude(
        f"{len(lost)} of {len(clients.calls)} requests got no answer until 0.5 s after their time"
    )
    if fleet.gateway.exit_code is not None:
        record.conclude(f"the gateway has ended with code {fleet.gateway.exit_code}")
    record.conclude("the rule was broken" if lost else "the rule held")
    return BROKEN if lost else HELD


if __name__ == "__main__":
    settings = kwela_forecast(0, GATEWAY_COUNT)
    sys.exit(asyncio.run(run_case(Path(__file__).with_name("record.txt"), settings, MEMORY_MB, scenario)))
