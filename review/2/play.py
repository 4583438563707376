"""Hosts end some whole answers by closing the connection, with no length; clients must get half of them."""

from __future__ import annotations

import asyncio
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

GATEWAYS = 3
HOSTS = 12
RATE_PER_S = 130.0  # BRIEF 1.1, all gateways together
SECONDS = 30.0
NO_LENGTH_SHARE = 0.1  # no page sets a share
MIN_FORWARDED_SHARE = 0.5  # STANDING, "Beyond this bench"
MIN_ANSWERS = 30


async def case(record: Record) -> list[str]:
    """Play three gateways, and compare the whole answers with no length with what the clients got."""
    random = Random(11)
    no_length: dict[str, str] = {}  # the body of each such answer, and the id of its request
    runs: Counter[str] = Counter()

    async def answer(
        port: HostPort, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        await asyncio.sleep(random.uniform(0.02, 0.06))
        runs[request.id] += 1
        body = f"{request.id} run {runs[request.id]} at {port.host.name}"
        has_length = not has_trouble() or random.random() >= NO_LENGTH_SHARE
        if has_length:
            writer.write(answer_bytes(body.encode()))
        else:
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body.encode())
            await writer.drain()
            no_length[body] = request.id
        record.add("host-answered", id=request.id, has_length=has_length, body=repr(body))
        return has_length  # otherwise the connection is closed; nothing is unread, so this is a FIN

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
    return judge(clients, no_length)


def judge(clients: Clients, no_length: dict[str, str]) -> list[str]:
    """Return a line if fewer than half of the whole answers with no length were forwarded."""
    statuses = {sent.id: sent.status for sent in clients.sent}
    forwarded = sum(sent.body.decode() in no_length for sent in clients.sent if sent.status == 200)
    others = Counter(statuses[request_id] for request_id in no_length.values())
    print(
        f"requests={len(clients.sent)} answers with no length={len(no_length)} forwarded={forwarded} "
        f"statuses of their requests={dict(others)}"
    )
    if sum(sent.status == 200 for sent in clients.sent) < len(clients.sent) / 2:
        raise CouldNotRunError("fewer than half of the requests were served")
    if has_trouble() and len(no_length) < MIN_ANSWERS:
        raise CouldNotRunError("too few answers with no length")
    if forwarded >= MIN_FORWARDED_SHARE * len(no_length):
        return []
    return [f"{forwarded} of {len(no_length)} whole answers with no length were forwarded"]


if __name__ == "__main__":
    sys.exit(play(__file__, case))
