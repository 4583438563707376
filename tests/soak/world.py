"""The endpoints, the discovery service, the clients and the gateway processes of a soak."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import signal
import socket
import time
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from pathlib import Path
from random import Random
from typing import Any

from http_gateway.net.http.messages import Message
from http_gateway.net.http.writer import write_response
from tests.soak.history import AttemptRecord, Effect, History, RequestEnd, RequestRecord
from tests.support.discovery import WATCH_HEAD, chunk, list_document
from tests.support.loopback import LoopbackClient, LoopbackPeer, abort_with_reset
from tests.support.process_memory import BYTES_PER_MB, peak_resident_bytes
from tests.support.service import (
    LEAST_LIMITS,
    LEAST_MEMORY_MB,
    config_document,
    free_port,
    listening_port,
    running_service,
)

GATEWAYS = ("n0", "n1", "n2")
ENDPOINT_COUNT = 5
REQUESTS_PER_S = 60.0
DRAIN_GRACE_S = 0.25
WINDOW_S = 0.6
LONGEST_TIMEOUT_S = 1.4
KEPT_CONNECTION_PART = 0.6  # of the requests are sent on a kept connection, where there is one
NO_LENGTH_PART = 0.05  # of the responses
SECOND_COPY_PART = 0.1  # of the responses
SIGKILL_AFTER_S = LONGEST_TIMEOUT_S + 0.7
HEARTBEAT_S = 0.005
MEMORY_CHECK_INTERVAL_S = 0.1
WATCH_HEARTBEAT_S = 2.0
CLASS_NAMES = {Effect.IDEMPOTENT: "page-read", Effect.KEYED: "order-add", Effect.AT_MOST_ONCE: "chapter-buy"}
SETTINGS: dict[str, Any] = {
    "balancers": len(GATEWAYS),
    "classes": [
        {
            "name": name,
            "effect": effect.value,
            "group": "all",
            "keyTtl": round(1_000_000 * WINDOW_S),
            "giveUp": round(1_000_000 * LONGEST_TIMEOUT_S),
            "onTime": 500_000,
            "worth": 3.0,
        }
        for effect, name in CLASS_NAMES.items()
    ],
    "permissions": {
        "cancelling": True,
        "connIdle": 10_000_000,
        "dialTimeout": 200_000,
        "maxAttempts": 4,
        "mayDuplicate": True,
        "retryAfter": True,
        "maxRetryAfter": 500_000,
    },
    "invariants": {"answerSlack": 20_000, "stopSendingWithin": round(1_000_000 * DRAIN_GRACE_S)},
}


class Endpoint:
    """An endpoint with one address for each gateway, so that it can tell the gateways apart.

    Args:
        name: The name of the endpoint.
        random: Draws how each request ends.
        response_random: Draws the form of each response.
        history: Records the attempts.
    """

    def __init__(self, name: str, random: Random, response_random: Random, history: History) -> None:
        self.name = name
        self.phase = "Ready"
        self._random = random
        self._response_random = response_random
        self._history = history
        self._peers = {gateway: LoopbackPeer(self._script(gateway), name) for gateway in GATEWAYS}

    async def start(self) -> None:
        """Listen on all addresses."""
        for peer in self._peers.values():
            await peer.start()

    def stop(self) -> None:
        """Close all addresses and connections."""
        for peer in self._peers.values():
            peer.stop()

    def list_entry(self, gateway: str) -> dict[str, Any]:
        """Return the entry of this endpoint in the endpoint list of one gateway."""
        return self._peers[gateway].list_entry(self.phase)

    def _script(self, gateway: str) -> Callable[[Message, asyncio.StreamWriter], Awaitable[None]]:
        async def answer(request: Message, writer: asyncio.StreamWriter) -> None:
            attempt = AttemptRecord(
                request.header(b"x-request-id") or "",
                self.name,
                gateway,
                time.monotonic(),
                float(request.header(b"x-deadline") or 0),
            )
            self._history.attempts.append(attempt)
            draw = self._random.random()
            if draw < 0.03 or self.phase != "Ready":
                attempt.is_rejected = True
                writer.write(write_response(503, [(b"x-not-run", b"1")], b"", close=False))
            elif draw < 0.09:  # no answer until the gateway gives up
                return
            elif draw < 0.12:
                abort_with_reset(writer)
            else:
                await asyncio.sleep(self._random.expovariate(1 / 0.06))
                self._respond(500 if draw < 0.15 else 200, attempt.request_id.encode(), writer)

        return answer

    def _respond(self, status: int, body: bytes, writer: asyncio.StreamWriter) -> None:
        """Send a response once, twice in a row, or without a length so that its connection ends it."""
        # Without TCP_NODELAY the kernel may hold the second copy back.
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 0)
        draw = self._response_random.random()
        if draw < NO_LENGTH_PART:
            writer.write(b"HTTP/1.1 %d Status\r\n\r\n%s" % (status, body))
            writer.close()
            return
        response = write_response(status, [], body, close=False)
        writer.write(response)
        if draw < NO_LENGTH_PART + SECOND_COPY_PART:
            writer.write(response)


class Discovery:
    """A discovery agent of each gateway; all of them send the same changes."""

    def __init__(self, endpoints: list[Endpoint], history: History) -> None:
        self.peers = {gateway: LoopbackPeer(self._script(gateway), gateway) for gateway in GATEWAYS}
        self._endpoints = endpoints
        self._history = history
        self._watches: dict[asyncio.StreamWriter, str] = {}
        self._revision = 1
        self._is_stopped = False

    async def start(self) -> None:
        """Listen for the gateways' watches."""
        for peer in self.peers.values():
            await peer.start()

    def stop(self) -> None:
        """End all watches."""
        self._is_stopped = True
        for peer in self.peers.values():
            peer.stop()

    def change(self, endpoint: Endpoint, phase: str) -> None:
        """Change the phase of an endpoint and tell all gateways."""
        self._revision += 1
        endpoint.phase = phase
        for writer, gateway in self._watches.items():
            document = list_document(self._revision, endpoint.list_entry(gateway), complete=False)
            writer.write(chunk(document))
        for gateway in GATEWAYS:
            if phase == "Ready":
                self._history.drain_told_at_s.pop((gateway, endpoint.name), None)
            else:
                self._history.drain_told_at_s[gateway, endpoint.name] = time.monotonic()

    def _script(self, gateway: str) -> Callable[[Message, asyncio.StreamWriter], Awaitable[None]]:
        async def watch(_: Message, writer: asyncio.StreamWriter) -> None:
            entries = [endpoint.list_entry(gateway) for endpoint in self._endpoints]
            writer.write(WATCH_HEAD + chunk(list_document(self._revision, *entries)))
            self._watches[writer] = gateway
            next_heartbeat_at_s = time.monotonic() + WATCH_HEARTBEAT_S
            try:
                while not writer.is_closing() and not self._is_stopped:
                    await asyncio.sleep(0.05)
                    if time.monotonic() > next_heartbeat_at_s:
                        next_heartbeat_at_s += WATCH_HEARTBEAT_S
                        writer.write(chunk(b"\n"))
            finally:
                self._watches.pop(writer, None)

        return watch


class Gateway:
    """A gateway process that restarts under its name and address."""

    def __init__(
        self, name: str, folder: Path, discovery: Discovery, faults: dict[str, str], random: Random
    ) -> None:
        self.name = name
        self.port = free_port()
        self.is_accepting = False
        self.is_draining = False  # from SIGTERM on: clients use their open connections until the process ends
        self.aborts_connections = "FAULT_ACCEPT_EVERY" in faults
        self.faults_seen: list[str] = []
        self.peak_bytes = 0
        self._folder = folder / name
        self._folder.mkdir()
        self._discovery = discovery
        self._faults = faults
        self._random = random

    async def run(self, restart_after_s: float) -> None:
        """Run the process and restart it once with SIGTERM, then SIGKILL as early as it may come."""
        for run_s in (restart_after_s, None):
            config = config_document(
                self._discovery.peers[self.name].port,
                name=self.name,
                listen=f"127.0.0.1:{self.port}",
                settings=SETTINGS,
                limits=LEAST_LIMITS,
            )
            async with running_service(self._folder, config, 0, **self._faults) as process:
                await listening_port(process)
                log = asyncio.create_task(self._read_log(process))
                reloads = asyncio.create_task(self._reload(process))
                memory = asyncio.create_task(self._watch_memory(process))
                self.is_accepting = True
                try:
                    await asyncio.sleep(run_s) if run_s is not None else await process.wait()
                    process.send_signal(signal.SIGTERM)
                    await asyncio.sleep(0.3)
                    self.is_accepting = False
                    self.is_draining = True
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(process.wait(), SIGKILL_AFTER_S - 0.3)
                    if process.returncode:
                        self.faults_seen.append(f"crash: {self.name} exited with {process.returncode}")
                finally:
                    self.is_draining = False
                    log.cancel()
                    reloads.cancel()
                    memory.cancel()

    async def _reload(self, process: asyncio.subprocess.Process) -> None:
        """Send SIGHUP several times in a row, again and again, until the task is cancelled."""
        while True:
            await asyncio.sleep(self._random.uniform(0.2, 2.0))
            for _ in range(self._random.randrange(1, 4)):
                if process.returncode is None:
                    process.send_signal(signal.SIGHUP)

    async def _watch_memory(self, process: asyncio.subprocess.Process) -> None:
        """Record when the process passes its memory limit, until the task is cancelled."""
        while process.returncode is None:
            with contextlib.suppress(OSError, ValueError):  # the process has just ended
                self.peak_bytes = max(self.peak_bytes, peak_resident_bytes(process.pid))
            if self.peak_bytes > LEAST_MEMORY_MB * BYTES_PER_MB:
                self.faults_seen.append(f"memory: {self.name}: {self.peak_bytes} bytes")
                return
            await asyncio.sleep(MEMORY_CHECK_INTERVAL_S)

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := (await process.stderr.readline()).decode(errors="replace"):
            if " ERROR " in line or "Traceback" in line:
                self.faults_seen.append(f"log: {self.name}: {line.strip()}")


class Clients:
    """Clients that send requests to the gateways on new and on kept connections."""

    def __init__(self, gateways: list[Gateway], random: Random, history: History) -> None:
        self._gateways = gateways
        self._random = random
        self._history = history
        self._ids = itertools.count()
        self._kept: dict[str, list[LoopbackClient]] = {gateway: [] for gateway in GATEWAYS}

    async def run(self, until_s: float) -> None:
        """Send requests at random times until a time, and wait until all have ended."""
        async with asyncio.TaskGroup() as requests:
            while time.monotonic() < until_s:
                await asyncio.sleep(self._random.expovariate(REQUESTS_PER_S))
                reachable = [gateway for gateway in self._gateways if self._is_reachable(gateway)]
                if reachable:
                    requests.create_task(self._send(self._random.choice(reachable)))

    def _is_reachable(self, gateway: Gateway) -> bool:
        """Return whether a request can be sent to a gateway, if only on an open connection."""
        return gateway.is_accepting or (gateway.is_draining and bool(self._kept[gateway.name]))

    async def _send(self, gateway: Gateway) -> None:
        kept = self._kept[gateway.name]
        effect = self._random.choice(list(Effect))
        timeout_s = round(self._random.uniform(0.3, LONGEST_TIMEOUT_S), 3)
        record = RequestRecord(f"{next(self._ids):08x}", gateway.name, effect, time.monotonic(), timeout_s)
        uses_kept = not gateway.is_accepting or self._random.random() < KEPT_CONNECTION_PART
        client = kept.pop() if kept and uses_kept else None
        may_be_reset = client is not None or gateway.aborts_connections
        if client is None:
            try:
                client = await LoopbackClient.connect(gateway.port)
            except OSError:
                return
        record.sent_at_s = time.monotonic()
        self._history.requests[record.id] = record
        client.writer.write(_request(record))
        await self._wait_for_answer(client, record, may_be_reset)

    async def _wait_for_answer(
        self, client: LoopbackClient, record: RequestRecord, may_be_reset: bool
    ) -> None:
        leaves_after_s = self._random.uniform(0, 0.3) if self._random.random() < 0.1 else None
        try:
            async with asyncio.timeout(leaves_after_s or record.timeout_s + 2.0):
                response = await client.response()
        except TimeoutError:
            record.end = RequestEnd.NONE if leaves_after_s is None else RequestEnd.LEFT
            client.close()
        except ConnectionError:
            # A kept connection may end between requests, and ECONNABORTED resets a new connection. If an
            # endpoint has seen the request, the gateway has read it.
            was_read = any(attempt.request_id == record.id for attempt in self._history.attempts)
            record.end = RequestEnd.NOT_TAKEN if may_be_reset and not was_read else RequestEnd.CLOSED
        else:
            record.end, record.status = RequestEnd.ANSWERED, response.status
            record.is_foreign = response.status == HTTPStatus.OK and response.body.decode() != record.id
            if response.keep_alive:
                self._kept[record.gateway].append(client)
            else:
                client.close()
        record.ended_at_s = time.monotonic()


def _request(record: RequestRecord) -> bytes:
    name = CLASS_NAMES[record.effect]
    method = "GET" if record.effect is Effect.IDEMPOTENT else "POST"
    lines = [
        f"{method} /{name} HTTP/1.1",
        "Host: api.internal",
        f"X-Request-Id: {record.id}",
        f"X-Class: {name}",
        f"X-Deadline: {record.timeout_s}",
    ]
    if record.effect is Effect.KEYED:
        lines.append(f"Idempotency-Key: {record.id}")
    if method == "POST":
        lines.append("Content-Length: 4")
    body = "" if method == "GET" else "work"
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()


async def record_lag(history: History) -> None:
    """Record how late the soak's own event loop runs, until the task is cancelled."""
    while True:
        due_at_s = time.monotonic() + HEARTBEAT_S
        await asyncio.sleep(HEARTBEAT_S)
        lag_s = time.monotonic() - due_at_s
        if lag_s > HEARTBEAT_S:
            history.lags.append((time.monotonic(), lag_s))
