"""A process with many warm hosts: `python -m standins2.host_farm COUNT WORK_S`.

It prints the ports as one line of JSON. A line on its standard input makes all hosts fail. When the input
ends, it prints the requests that have arrived, one line of JSON with `[first_byte_at_s, port, request_id]`
each, and exits.
"""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import tempfile
from pathlib import Path

from standins2.hosts import Host
from standins2.record import Record

END_TIMEOUT_S = 10.0


class HostFarm:
    """Starts the process, and ends it."""

    def __init__(self, count: int, work_s: float) -> None:
        command = [sys.executable, "-m", "standins2.host_farm", str(count), str(work_s)]
        self._process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        assert self._process.stdout is not None
        self.ports: list[int] = json.loads(self._process.stdout.readline())

    def fail(self) -> None:
        """Let all hosts answer with 500 from now on."""
        assert self._process.stdin is not None
        self._process.stdin.write(b"fail\n")
        self._process.stdin.flush()

    def end(self) -> list[tuple[float, int, str]]:
        """End the process, and return the requests that have run."""
        try:
            output, _ = self._process.communicate(timeout=END_TIMEOUT_S)
        finally:
            self._process.kill()
        return [tuple(json.loads(line)) for line in output.splitlines()]


async def _run(count: int, work_s: float) -> None:
    with tempfile.TemporaryDirectory() as folder:
        record = Record(Path(folder) / "unused")
        hosts = [Host(str(index), "", 0, work_s, record) for index in range(count)]
        for host in hosts:
            await host.start()
        print(json.dumps([host.port for host in hosts]), flush=True)
        while await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline):
            for host in hosts:
                host.fails = True
        for host in hosts:
            for arrival in host.arrivals:
                print(json.dumps([arrival.first_byte_at_s, host.port, arrival.request_id]))


if __name__ == "__main__":
    asyncio.run(_run(int(sys.argv[1]), float(sys.argv[2])))
