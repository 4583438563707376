"""Hosts send some answers twice, the second copy right behind the first; no other client may get it."""

from __future__ import annotations

import asyncio
import socket
import sys
from collections import Counter
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import (
    CATCHMENT_RUN,
    WARNING_NOTICE,
    Agent,
    Clients,
    CouldNotRunError,
    Gateway,
    Host,
    HostPort,
    Record,
    Request,
    answer_bytes,
    has_trouble,
    play,
    running,
    running_gateways,
    settings,
)

GATEWAYS = 1
HOSTS = 6
RATE_PER_S = 280.0  # DAYS: "A gateway receives 200 to 320 requests a second"
SECONDS = 75.0
COPY_SHARE = 0.1  # DAYS: "some answers"
TURNED_AWAY_SHARE = 0.03  # by hosts whose queue is full, also with TROUBLE=0


async def case(record: Record) -> list[str]:
    """Play one gateway, and look whose answer each client got and how often each request ran."""
    random = Random(7)
    second_copies: set[str] = set()
    runs: Counter[str] = Counter()

    async def answer(
        port: HostPort, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        # A plain TCP socket, as the system makes it: asyncio alone would set TCP_NODELAY.
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 0)
        if random.random() < TURNED_AWAY_SHARE:
            writer.write(answer_bytes(b"", "503 Service Unavailable", "X-Not-Run: 1\r\n"))
            record.add("host-turned-away", host=port.host.name, id=request.id)
            return True
        runs[request.id] += 1
        record.add("host-runs", host=port.host.name, id=request.id)
        await asyncio.sleep(random.uniform(0.005, 0.03))
        whole = answer_bytes(request.id.encode())
        writer.write(whole)
        record.add("host-answered", host=port.host.name, id=request.id)
        if has_trouble() and random.random() < COPY_SHARE:
            # Nothing else waits on the connection, since the gateway has not got the first answer yet.
            writer.write(whole)
            second_copies.add(request.id)
            record.add("host-second-copy", host=port.host.name, id=request.id)
        return True

    hosts = [Host(f"s-{number}", GATEWAYS, answer, record) for number in range(HOSTS)]

    def entries(gateway: int) -> list[dict[str, object]]:
        return [host.entry(gateway) for host in hosts]

    agents = [Agent(rank, entries, record) for rank in range(GATEWAYS)]
    async with running(*hosts, *agents):
        gateways = [
            Gateway(rank, agent, {"settings": settings(rank)}, record) for rank, agent in enumerate(agents)
        ]
        async with running_gateways(gateways):
            clients = Clients(gateways, random, record)
            await clients.run(SECONDS, RATE_PER_S, [WARNING_NOTICE, CATCHMENT_RUN])
    return judge(clients, second_copies, runs)


def judge(clients: Clients, second_copies: set[str], runs: Counter[str]) -> list[str]:
    """Return a line for each at-most-once request that ran twice, and for each foreign answer."""
    served = [sent for sent in clients.sent if sent.status == 200]
    if len(served) < len(clients.sent) / 2:
        raise CouldNotRunError("fewer than half of the requests were served")
    repeated = [
        f"{sent.class_name} {sent.id}, which must never run twice, ran {runs[sent.id]} times"
        for sent in clients.sent
        if sent.class_name == WARNING_NOTICE["name"] and runs[sent.id] > 1
    ]
    foreign = [
        f"request {sent.id} got the answer to {sent.body.decode()}"
        + (", a second copy" if sent.body.decode() in second_copies else ", which so came a request late")
        for sent in served
        if sent.body.decode() != sent.id
    ]
    print(
        f"requests={len(clients.sent)} served={len(served)} second copies={len(second_copies)} "
        f"foreign answers={len(foreign)} run twice={len(repeated)}"
    )
    return repeated + foreign


if __name__ == "__main__":
    sys.exit(play(__file__, case))
