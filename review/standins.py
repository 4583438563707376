"""Stand-ins of the clients, hosts, discovery agents and network, and the start of real gateways.

Every case of the review uses this module. It needs only the standard library, and every address is a
loopback address.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
LOOPBACK = "127.0.0.1"
READY_TIMEOUT_S = 30.0
HEARTBEAT_S = 2.0  # an empty line on an unchanged watch
WATCH_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

WARNING_NOTICE: dict[str, Any] = {
    "name": "warning-notice",
    "effect": "at_most_once",
    "group": "all",
    "giveUp": 2_000_000,
    "onTime": 500_000,
    "keyTtl": 5_000_000,
    "worth": 3.0,
    "lateWorth": 0.0,
    "stream": False,
}
CATCHMENT_RUN: dict[str, Any] = {
    "name": "catchment-run",
    "effect": "deduplicated",
    "group": "all",
    "giveUp": 4_000_000,
    "onTime": 2_000_000,
    "keyTtl": 4_000_000,
    "worth": 9.0,
    "lateWorth": 0.0,
    "stream": False,
}


def settings(rank: int, **changes: Any) -> dict[str, Any]:
    """Return the settings of one of three gateways, as the page WIRE shows them, with some changes."""
    return {
        "balancers": 3,
        "classes": [WARNING_NOTICE, CATCHMENT_RUN],
        "clientHabits": {"marksRetry": False},
        "family": "proxy",
        "fees": {"crossZone": 0.0, "lateFail": 0.023, "probe": 0.01, "waste": 0.015},
        "invariants": {
            "answerSlack": 20_000,
            "askEvery": 10_000_000,
            "coldFrom": 0.15,
            "fall": 2_000_000,
            "fallMultiple": 3.0,
            "rampTime": 24_000_000,
            "stopSendingWithin": 250_000,
        },
        "kinds": ["std-box"],
        "layers": ["forecast-servers"],
        "locality": "stanger-street",
        "permissions": {
            "cancelling": True,
            "connIdle": 60_000_000,
            "dialTimeout": 250_000,
            "maxAttempts": 4,
            "maxRetryAfter": 2_000_000,
            "mayDuplicate": True,
            "mostHeld": 20_000,
            "multiplex": 1,
            "peers": False,
            "probes": True,
            "retryAfter": True,
        },
        "rank": rank,
        "realms": [],
        "registryMode": "automatic",
        "report": {"fields": [], "how": "silent"},
        "weightSource": "silent",
        "zones": ["harbour-road", "inanda-ridge", "stanger-street"],
        **changes,
    }


class Record:
    """Writes what happened to a file, one line each, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._started_at_s = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def add(self, event: str, **fields: object) -> None:
        """Add one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{time.monotonic() - self._started_at_s:9.4f} {event} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclass
class Request:
    """A request that a stand-in has read."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    first_byte_at_s: float

    @property
    def id(self) -> str:
        """The X-Request-Id."""
        return self.headers.get("x-request-id", "")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], float]:
    """Read the start line and the headers; also return when the first byte had come."""
    first = await reader.readexactly(1)
    first_byte_at_s = time.monotonic()
    text = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start_line, *lines = text[:-4].split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return start_line, {name.strip().lower(): value.strip() for name, _, value in pairs}, first_byte_at_s


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request; raises an EOFError if the connection ends."""
    start_line, headers, first_byte_at_s = await read_head(reader)
    method, target, _ = start_line.split(" ", 2)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body, first_byte_at_s)


def answer_bytes(body: bytes, status: str = "200 OK", extra: str = "") -> bytes:
    """Return a whole answer with its length."""
    return f"HTTP/1.1 {status}\r\n{extra}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Server:
    """A listener on a free loopback port; subclasses handle its connections."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    @property
    def address(self) -> str:
        """The address as the configuration and the lists write it."""
        return f"{LOOPBACK}:{self.port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await self.handle(reader, writer)
        except (EOFError, OSError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass  # the connection has ended, or the case has
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handle one connection until it ends."""
        raise NotImplementedError


@dataclass
class Arrival:
    """One attempt that a host has received."""

    request_id: str
    host: str
    gateway: int
    first_byte_at_s: float


# Answers a request on its connection; returns whether the connection stays open.
HostScript = Callable[["HostPort", Request, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]]


class HostPort(Server):
    """The address at which one gateway reaches a host."""

    def __init__(self, host: Host, gateway: int) -> None:
        super().__init__()
        self.host = host
        self.gateway = gateway

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of a connection, one at a time."""
        keeps_open = True
        while keeps_open:
            request = await read_request(reader)
            self.host.arrivals.append(
                Arrival(request.id, self.host.name, self.gateway, request.first_byte_at_s)
            )
            self.host.record.add("host-got", host=self.host.name, gateway=self.gateway, id=request.id)
            keeps_open = await self.host.script(self, request, reader, writer)


class Host:
    """A host; each gateway reaches it at an address of its own."""

    def __init__(self, name: str, gateways: int, script: HostScript, record: Record) -> None:
        self.name = name
        self.phase = "Ready"
        self.script = script
        self.record = record
        self.arrivals: list[Arrival] = []
        self.ports = [HostPort(self, gateway) for gateway in range(gateways)]

    async def start(self) -> None:
        """Listen at all addresses."""
        for port in self.ports:
            await port.start()

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        for port in self.ports:
            port.stop()

    def entry(self, gateway: int, address: str = "") -> dict[str, Any]:
        """Return the entry of this host in the list of one gateway."""
        return {
            "id": self.name,
            "host_port": address or self.ports[gateway].address,
            "locality": "harbour-road",
            "flavor": "std-box",
            "cell": 0,
            "phase": self.phase,
            "size": 1.0,
            "up_since_ms": 0,
        }


class Agent(Server):
    """The discovery agent of one gateway.

    Attributes:
        answer_delay_s: Time from a call to its answer.
        refuses: Whether calls are refused with 503.
    """

    def __init__(self, gateway: int, entries: Callable[[int], list[dict[str, Any]]], record: Record) -> None:
        super().__init__()
        self.gateway = gateway
        self.revision = 41
        self.answer_delay_s = 0.0
        self.refuses = False
        self.calls = 0
        self.refused = 0
        self.answered = 0
        self._entries = entries
        self._record = record
        self._watches: set[asyncio.StreamWriter] = set()

    def document(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"revision": self.revision, "complete": True, "members": self._entries(self.gateway)}

    def tell(self, *entries: dict[str, Any]) -> None:
        """Take a change, and send it on all open watches."""
        self.revision += 1
        line = {"revision": self.revision, "complete": False, "members": list(entries)}
        for writer in self._watches:
            _write_chunk(writer, json.dumps(line).encode() + b"\n")

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one call: a watch, or the whole list."""
        request = await read_request(reader)
        self.calls += 1
        self._record.add("discovery-call", gateway=self.gateway, target=request.target)
        if self.refuses:
            self.refused += 1
            writer.write(REFUSAL)
            await writer.drain()
            self._record.add("discovery-refused", gateway=self.gateway)
            return
        closed = asyncio.create_task(reader.read(1))
        try:
            done, _ = await asyncio.wait([closed], timeout=self.answer_delay_s)
            if done:
                self._record.add("discovery-call-closed-by-gateway", gateway=self.gateway)
                return
            self.answered += 1
            self._record.add("discovery-answer", gateway=self.gateway, revision=self.revision)
            await self._answer(request, writer, closed)
        finally:
            closed.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await closed

    async def _answer(
        self, request: Request, writer: asyncio.StreamWriter, closed: asyncio.Task[bytes]
    ) -> None:
        document = json.dumps(self.document()).encode() + b"\n"
        if "watch=1" not in request.target:
            writer.write(answer_bytes(document))
            await writer.drain()
            return
        writer.write(WATCH_HEAD)
        _write_chunk(writer, document)
        self._watches.add(writer)
        try:
            while not (await asyncio.wait([closed], timeout=HEARTBEAT_S))[0]:
                _write_chunk(writer, b"\n")
        finally:
            self._watches.discard(writer)


def _write_chunk(writer: asyncio.StreamWriter, content: bytes) -> None:
    writer.write(b"%x\r\n%s\r\n" % (len(content), content))


class DelayProxy(Server):
    """A network path with a delay that varies; bytes stay in order.

    Args:
        target: Returns the port behind the proxy.
        delay_s: Draws the delay of one piece of bytes.

    Attributes:
        lags_s: How late each piece was written, beyond its delay.
    """

    def __init__(self, target: Callable[[], int], delay_s: Callable[[], float]) -> None:
        super().__init__()
        self._target = target
        self._delay_s = delay_s
        self.lags_s: list[float] = []

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass bytes on in both directions until one side ends the connection."""
        far_reader, far_writer = await asyncio.open_connection(LOOPBACK, self._target())
        for end in (writer, far_writer):
            end.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await asyncio.gather(self._pass_on(reader, far_writer), self._pass_on(far_reader, writer))
        finally:
            far_writer.close()

    async def _pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        due_at_s = 0.0
        while data := await reader.read(65536):
            due_at_s = max(due_at_s, loop.time() + self._delay_s())
            loop.call_at(due_at_s, self._write, writer, data, due_at_s)
        await asyncio.sleep(max(0.0, due_at_s - loop.time()) + self._delay_s())
        if not writer.is_closing():
            writer.write_eof()

    def _write(self, writer: asyncio.StreamWriter, data: bytes, due_at_s: float) -> None:
        self.lags_s.append(asyncio.get_running_loop().time() - due_at_s)
        if not writer.is_closing():
            writer.write(data)


class Gateway:
    """A gateway process, started with the command `run` of the deploy file."""

    def __init__(self, number: int, agent: Agent, config: dict[str, Any], record: Record) -> None:
        self.number = number
        self.port = free_port()
        self._agent = agent
        self._config = config
        self._record = record
        self._process: asyncio.subprocess.Process | None = None
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._path = Path(self._folder.name) / "config.json"
        self._log: list[str] = []
        self._log_task: asyncio.Task[None] | None = None

    def write_config(self, discovery: str = "") -> None:
        """Replace the configuration file."""
        document = {
            "name": f"n{self.number}",
            "listen": f"{LOOPBACK}:{self.port}",
            "discovery": discovery or self._agent.address,
            "seed": f"{Random().getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self._agent.document(),
            **self._config,
        }
        fresh = self._path.with_suffix(".new")
        fresh.write_text(json.dumps(document))
        fresh.replace(self._path)

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        self.write_config()
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            command = tomllib.load(file)["run"]
        environment = {
            **os.environ,
            "PROXY_CONFIG": str(self._path),
            "PROXY_NAME": f"n{self.number}",
            "TMPDIR": self._folder.name,
        }
        for name in ("PROXY_LISTEN", "PROXY_DISCOVERY"):
            environment.pop(name, None)
        self._process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=environment, stderr=asyncio.subprocess.PIPE
        )
        self._log_task = asyncio.create_task(self._read_log())
        self._record.add("gateway-start", gateway=self.number, pid=self._process.pid)
        await self._wait_until_ready()
        self._record.add("gateway-ready", gateway=self.number)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._record.add("signal", gateway=self.number, signal=number.name)
        self._process.send_signal(number)

    async def stop(self) -> None:
        """End the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
        if self._log_task is not None:
            await self._log_task
        self._folder.cleanup()

    @property
    def has_crashed(self) -> bool:
        """Whether the process has ended by itself."""
        return self._process is not None and self._process.returncode is not None

    async def _read_log(self) -> None:
        assert self._process is not None
        assert self._process.stderr is not None
        while line := (await self._process.stderr.readline()).decode(errors="replace"):
            self._record.add("gateway-log", gateway=self.number, line=line.strip())

    async def _wait_until_ready(self) -> None:
        give_up_at_s = time.monotonic() + READY_TIMEOUT_S
        while True:
            with contextlib.suppress(OSError, EOFError):
                connection = await ClientConnection.open(self.port)
                connection.writer.write(b"GET /up HTTP/1.1\r\nHost: api.internal\r\n\r\n")
                status, _, _ = await connection.read_answer()
                connection.close()
                if status == 200:
                    return
            if self.has_crashed or time.monotonic() > give_up_at_s:
                raise CouldNotRunError(f"gateway {self.number} did not become ready")
            await asyncio.sleep(0.05)


class CouldNotRunError(Exception):
    """The case could not run, so nothing is said about the rule."""


class ClientConnection:
    """A connection of a client to a gateway."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, port: int) -> ClientConnection:
        """Connect to a gateway."""
        return cls(*await asyncio.open_connection(LOOPBACK, port))

    async def read_answer(self) -> tuple[int, dict[str, str], bytes]:
        """Read one whole answer."""
        start_line, headers, _ = await read_head(self.reader)
        body = await self.reader.readexactly(int(headers.get("content-length", "0")))
        return int(start_line.split(" ")[1]), headers, body

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


@dataclass
class Sent:
    """A request that a client has sent, and what came back.

    Attributes:
        status: The status of the answer; 0 if there was none.
        resent: Whether the request went out again, on a new connection, because a kept connection ended
            between requests.
    """

    id: str
    gateway: int
    class_name: str
    sent_at_s: float
    deadline_s: float
    status: int = 0
    body: bytes = b""
    ended_at_s: float = 0.0
    resent: bool = False


@dataclass
class Clients:
    """Clients that send one request at a time on each connection, and keep their connections."""

    gateways: list[Gateway]
    random: Random
    record: Record
    sent: list[Sent] = field(default_factory=list)
    _ids: itertools.count[int] = field(default_factory=itertools.count)
    _kept: dict[int, list[ClientConnection]] = field(default_factory=dict)

    async def run(self, seconds: float, rate_per_s: float, classes: list[dict[str, Any]]) -> None:
        """Send requests at random times to all gateways, and wait for all answers."""
        until_s = time.monotonic() + seconds
        async with asyncio.TaskGroup() as tasks:
            while time.monotonic() < until_s:
                await asyncio.sleep(self.random.expovariate(rate_per_s))
                gateway = self.random.choice(self.gateways)
                tasks.create_task(self.send(gateway, self.random.choice(classes)))
        for connections in self._kept.values():
            for connection in connections:
                connection.close()

    async def send(self, gateway: Gateway, request_class: dict[str, Any]) -> Sent:
        """Send one request and wait for its answer, for one second longer than its deadline."""
        deadline_s = request_class["giveUp"] / 1e6
        sent = Sent(
            f"{self.random.getrandbits(32):08x}{next(self._ids):08x}",
            gateway.number,
            request_class["name"],
            0.0,
            deadline_s,
        )
        self.sent.append(sent)
        kept = self._kept.setdefault(gateway.number, [])
        while kept and kept[-1].reader.at_eof():
            kept.pop().close()
        is_kept = bool(kept)
        try:
            connection = kept.pop() if kept else await ClientConnection.open(gateway.port)
        except OSError:
            self.sent.remove(sent)  # not taken
            return sent
        sent.sent_at_s = time.monotonic()
        self.record.add("client-sent", gateway=gateway.number, id=sent.id, request_class=sent.class_name)
        try:
            async with asyncio.timeout(deadline_s + 1.0):
                try:
                    headers = await self._exchange(connection, sent, request_class)
                except (EOFError, OSError):
                    if not is_kept:
                        raise
                    sent.resent = True
                    connection = await ClientConnection.open(gateway.port)
                    headers = await self._exchange(connection, sent, request_class)
            if headers.get("connection") == "close":
                connection.close()
            else:
                kept.append(connection)
        except (EOFError, OSError, TimeoutError) as error:
            connection.close()
            self.record.add("client-no-answer", id=sent.id, error=type(error).__name__)
        sent.ended_at_s = time.monotonic()
        self.record.add("client-answer", id=sent.id, status=sent.status, body=sent.body.decode("latin-1"))
        return sent

    async def _exchange(
        self, connection: ClientConnection, sent: Sent, request_class: dict[str, Any]
    ) -> dict[str, str]:
        connection.writer.write(_client_request(sent, request_class["effect"]))
        sent.status, headers, sent.body = await connection.read_answer()
        return headers


def _client_request(sent: Sent, effect: str) -> bytes:
    method, body = ("GET", "") if effect == "idempotent" else ("POST", "work")
    lines = [
        f"{method} /{sent.class_name} HTTP/1.1",
        "Host: api.internal",
        f"X-Request-Id: {sent.id}",
        f"X-Class: {sent.class_name}",
        f"X-Deadline: {sent.deadline_s:.3f}",
    ]
    if effect == "deduplicated":
        lines.append(f"Idempotency-Key: key-{sent.id}")
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()


def free_port() -> int:
    """Return a loopback port on which nothing listens."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return int(probe.getsockname()[1])


@contextlib.asynccontextmanager
async def running(*parts: Host | Agent | DelayProxy) -> AsyncIterator[None]:
    """Start stand-ins, and stop them at the end of the context."""
    try:
        for part in parts:
            await part.start()
        yield
    finally:
        for part in parts:
            part.stop()


@contextlib.asynccontextmanager
async def running_gateways(gateways: list[Gateway]) -> AsyncIterator[None]:
    """Start gateways together, and end them at the end of the context."""
    try:
        await asyncio.gather(*(gateway.start() for gateway in gateways))
        yield
    finally:
        await asyncio.gather(*(gateway.stop() for gateway in gateways))


def has_trouble() -> bool:
    """Return whether the disruption is played; not with TROUBLE=0."""
    return os.environ.get("TROUBLE", "1") != "0"


def play(script: str, case: Callable[[Record], Coroutine[Any, Any, list[str]]]) -> int:
    """Run a case, print what it found and return the exit code.

    Args:
        script: The path of the case's script; `record.txt` is written beside it.
        case: Plays the case; returns one line for each break of the rule.
    """
    record = Record(Path(script).resolve().parent / "record.txt")
    try:
        breaks = asyncio.run(case(record))
    except CouldNotRunError as error:
        record.add("could-not-run", error=error)
        print(f"could not run: {error}")
        return COULD_NOT_RUN
    except Exception:  # a fault of the case says nothing about the rule
        record.add("could-not-run", error=traceback.format_exc())
        traceback.print_exc()
        return COULD_NOT_RUN
    else:
        for line in breaks:
            record.add("broken", what=line)
        print("\n".join(breaks[:5]) if breaks else "the rule held")
        print(f"breaks={len(breaks)} trouble={int(has_trouble())}")
        return BROKEN if breaks else HELD
    finally:
        record.close()
        sys.stdout.flush()
