"""Runs the gateway as a separate process, with helpers for its configuration, log and readiness."""

from __future__ import annotations

import asyncio
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import orjson

from tests.support.loopback import TEST_TIMEOUT_S, LoopbackClient

SETTINGS_DOCUMENT: dict[str, Any] = {
    "balancers": 4,
    "classes": [
        {"name": "page-read", "effect": "idempotent", "giveUp": 1500000, "onTime": 400000, "worth": 3.0},
        {"name": "chapter-buy", "effect": "at_most_once", "giveUp": 20000000, "onTime": 400000, "worth": 8.0},
    ],
    "permissions": {"cancelling": True, "connIdle": 60000000, "dialTimeout": 200000, "maxAttempts": 5},
}
# The least memory and the most descriptors that the operators' pages name.
LEAST_MEMORY_MB = 32
LEAST_LIMITS = {"cores": 1.0, "memory_mb": LEAST_MEMORY_MB, "sockets": 1024}
INVALID_DISCOVERY_ADDRESSES = [
    "",
    "127.0.0.1",
    "127.0.0.1:0",
    "127.0.0.1:70000",
    "127.0.0.1:-1",
    "a..b:80",
    "a\0b:80",
    "a b:8",
]


def config_document(discovery_port: int, *members: dict[str, Any], **fields: Any) -> dict[str, Any]:
    """Build the content of a configuration file.

    Args:
        discovery_port: The port of the discovery service on the loopback address.
        members: The endpoints of the cached list.
        fields: Top-level fields that replace the default ones.
    """
    return {
        "name": "n3",
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery_port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"revision": 41, "complete": True, "members": members},
        "settings": SETTINGS_DOCUMENT,
        **fields,
    }


def write_config(folder: Path, config: object) -> Path:
    """Write a configuration file from bytes or from a document to encode, and return its path."""
    path = folder / "config.json"
    path.write_bytes(config if isinstance(config, bytes) else orjson.dumps(config))
    return path


@asynccontextmanager
async def running_service(
    folder: Path, config: object, max_descriptors: int = 0, **variables: str
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run a gateway process; kill it if it still runs at the end of the context.

    Args:
        folder: The directory for the configuration file.
        config: The bytes of the file, or a document to encode.
        max_descriptors: The file descriptor limit of the process; 0 keeps the inherited limit.
        variables: Additional environment variables.
    """
    environment = {"PROXY_CONFIG": str(write_config(folder, config)), **variables}
    process = await asyncio.create_subprocess_exec(
        *(["prlimit", f"--nofile={max_descriptors}"] if max_descriptors else []),
        sys.executable,
        *("-m", "http_gateway"),
        env=environment,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def next_log_line(process: asyncio.subprocess.Process, text: str) -> str:
    """Return the next log line that contains a text; fail if the process ends without one."""
    assert process.stderr is not None
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while line := (await process.stderr.readline()).decode():
            if text in line:
                return line
    raise AssertionError(f"the process ended without logging {text!r}")


async def remaining_log(process: asyncio.subprocess.Process) -> str:
    """Return everything that the process still logs until it exits."""
    assert process.stderr is not None
    return (await process.stderr.read()).decode()


async def listening_port(process: asyncio.subprocess.Process) -> int:
    """Wait for the log line that names the listening address, and return its port."""
    return int((await next_log_line(process, "listening name=")).rsplit(":", 1)[1])


def free_port() -> int:
    """Return a loopback port on which nothing listens."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def accepts_connections(port: int) -> bool:
    """Return whether something listens on a loopback port."""
    with socket.socket() as probe:
        return probe.connect_ex(("127.0.0.1", port)) == 0


async def readiness_status(port: int) -> int:
    """Return the status of the response to `GET /up`."""
    client = await LoopbackClient.connect(port)
    client.writer.write(b"GET /up HTTP/1.1\r\n\r\n")
    status = (await client.response()).status
    client.close()
    return status


async def response_body(port: int) -> bytes:
    """Send one request on a new connection and return the body of the response."""
    client = await LoopbackClient.connect(port)
    body = (await client.request()).body
    client.close()
    return body
