"""Gateway processes, started with the command `run` of the deploy file."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 30.0
PORTS = (12_000, 30_000)
END_TIMEOUT_S = 10.0


class CannotRunError(Exception):
    """The case could not run; it shows nothing about the rule."""


def free_address() -> str:
    """Return a loopback address on which nothing listens.

    Its port is below those that the system gives to outgoing connections, so that none of them takes it.
    """
    while True:
        port = random.randint(*PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return f"127.0.0.1:{port}"


class Gateway:
    """One gateway process, with its configuration file in a temporary folder."""

    def __init__(self, folder: Path, index: int, config: dict[str, Any]) -> None:
        self.index = index
        self.address = free_address()
        self._config = {"name": f"n{index}", "listen": self.address, **config}
        self._path = folder / f"config-{index}.json"
        self._log_path = folder / f"gateway-{index}.log"
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def process_id(self) -> int:
        """The process id of the gateway; the shell of the command has been replaced by it."""
        assert self._process is not None
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """The exit code, or None while the process runs."""
        assert self._process is not None
        return self._process.poll()

    def start(self) -> None:
        """Write the configuration and start the process."""
        self._write_config()
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {name: value for name, value in os.environ.items() if name != "PYTHONPATH"}
        environment |= {"PROXY_CONFIG": str(self._path), "PROXY_LOG_LEVEL": "INFO"}
        with self._log_path.open("wb") as log:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def reload(self, **changes: Any) -> None:
        """Replace the configuration file and send SIGHUP."""
        self._config |= changes
        self._write_config()
        self.signal(signal.SIGHUP)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._process.send_signal(number)

    async def wait_until_ready(self) -> None:
        """Wait until `GET /up` is answered with 200.

        Raises:
            CannotRunError: The gateway did not become ready.
        """
        deadline_at_s = time.monotonic() + READY_TIMEOUT_S
        while not await self._is_ready():
            if self.exit_code is not None or time.monotonic() > deadline_at_s:
                raise CannotRunError(f"gateway {self.index} did not become ready: {self.log()[-500:]}")
            await asyncio.sleep(0.05)

    def log(self) -> str:
        """Return the log of the process."""
        return self._log_path.read_text(errors="replace")

    def end(self) -> None:
        """Kill the process, if it still runs."""
        if self._process is not None:
            self._process.kill()
            self._process.wait(END_TIMEOUT_S)

    def _write_config(self) -> None:
        new_path = self._path.with_suffix(".new")
        new_path.write_text(json.dumps(self._config))
        new_path.replace(self._path)

    async def _is_ready(self) -> bool:
        host, port = self.address.rsplit(":", 1)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(b"GET /up HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")
                return (await reader.readuntil(b"\r\n")).split(b" ")[1] == b"200"
            finally:
                writer.close()
        return False
