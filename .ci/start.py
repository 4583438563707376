"""Checks that a command starts the gateway, and that the gateway reloads on SIGHUP and exits on SIGTERM.

Usage: start.py COMMAND. The gateway gets its endpoint list from stubs of the discovery service.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

TIMEOUT_S = 60.0
READY_CHECK_INTERVAL_S = 0.05
ENDPOINT = {"id": "s-1", "host_port": "127.0.0.1:9", "locality": "a", "phase": "Ready", "up_since_ms": 0}
REQUEST_CLASS = {
    "name": "page-read",
    "effect": "idempotent",
    "giveUp": 1500000,
    "onTime": 400000,
    "worth": 3.0,
}


class CheckFailedError(Exception):
    """The gateway did not do what was expected in time."""


class DiscoveryStub(ThreadingHTTPServer):
    """A discovery service that sends one list to each watch."""

    daemon_threads = True

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0), DiscoveryStubHandler)
        self.requested = threading.Event()
        self.address = f"127.0.0.1:{self.server_address[1]}"
        threading.Thread(target=self.serve_forever, daemon=True).start()


class DiscoveryStubHandler(BaseHTTPRequestHandler):
    """Answers a watch, and keeps it open."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        """Send one list."""
        assert isinstance(self.server, DiscoveryStub)
        self.server.requested.set()
        line = json.dumps({"revision": 1, "complete": True, "members": [ENDPOINT]}).encode() + b"\n"
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        self.wfile.write(b"%x\r\n%s\r\n" % (len(line), line))
        threading.Event().wait()

    def log_message(self, *_: object) -> None:
        """Log nothing."""


def free_address() -> str:
    """Return a loopback address on which nothing listens."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def is_ready(address: str) -> bool:
    """Return whether the gateway at an address reports that it is ready."""
    try:
        with urllib.request.urlopen(f"http://{address}/up", timeout=TIMEOUT_S) as response:
            return bool(response.status == 200)
    except (urllib.error.URLError, ConnectionError):
        return False


def wait_until_ready(gateway: subprocess.Popen[bytes], address: str) -> None:
    """Wait for readiness; raises `CheckFailedError`."""
    deadline_at_s = time.monotonic() + TIMEOUT_S
    while not is_ready(address):
        if gateway.poll() is not None or time.monotonic() > deadline_at_s:
            raise CheckFailedError("the gateway did not become ready")
        time.sleep(READY_CHECK_INTERVAL_S)


def write_config(path: Path, address: str, discovery: DiscoveryStub) -> None:
    """Write a configuration file."""
    config = {
        "listen": address,
        "discovery": discovery.address,
        "seed": "1",
        "settings": {"classes": [REQUEST_CLASS]},
    }
    path.write_text(json.dumps(config))


def check_gateway(command: str, config_path: Path) -> int:
    """Start the gateway, send it its signals and return its exit code; raises `CheckFailedError`."""
    address = free_address()
    first_discovery = DiscoveryStub()
    second_discovery = DiscoveryStub()
    write_config(config_path, address, first_discovery)
    environment = {**os.environ, "PROXY_CONFIG": str(config_path), "PROXY_NAME": "n0"}
    gateway = subprocess.Popen(["/bin/sh", "-c", command], env=environment)
    try:
        wait_until_ready(gateway, address)
        write_config(config_path, address, second_discovery)
        gateway.send_signal(signal.SIGHUP)
        if not second_discovery.requested.wait(TIMEOUT_S) or not is_ready(address):
            raise CheckFailedError("the gateway did not take its new configuration")
        gateway.send_signal(signal.SIGTERM)
        return gateway.wait(TIMEOUT_S)
    finally:
        gateway.kill()


def main() -> int:
    """Check the command of the first argument; return the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        try:
            return check_gateway(sys.argv[1], Path(folder) / "config.json")
        except CheckFailedError as error:
            print(error, file=sys.stderr)
            return 1


if __name__ == "__main__":
    sys.exit(main())
