"""The gateway as a program: start, signals, reload, exit."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from collections.abc import Sequence
from dataclasses import replace

from http_gateway.net.config import ConfigError, GatewayConfig, load_config, reload_config
from http_gateway.net.discovery.client import DiscoveryClient
from http_gateway.net.frontend.listener import Frontend
from http_gateway.net.request_dispatcher import RequestDispatcher
from http_gateway.net.upstream.pool import UpstreamPool
from http_gateway.policy.balancer import Balancer
from http_gateway.policy.time_units import US_PER_S

log = logging.getLogger("http_gateway")

RESERVED = 32  # descriptors for all that is no client's and no host's connection, or not counted yet
STILL_ACCEPTING = 0.5  # seconds for which connections go on coming after SIGTERM
# Seconds for which a start waits to hear from the agent on this machine, since the list of the last run may
# name hosts that have left. It answers at once if at all; the wait outlasts a short outage of discovery, and
# leaves the start itself a second and a half of the 10 s within which a restarted gateway has to be ready.
FIRST_LIST_TIME = 8.5
LAG_STEP, LAG_SHOWN = 0.1, 0.05
SELDOM = 1.0  # seconds between two log lines of a kind


async def serve(config: GatewayConfig, early: Sequence[int] = ()) -> None:
    """Run until SIGTERM; `early` are the signals to read the file again that came after it was read."""
    half = max(1, (config.max_descriptors - RESERVED) // 2)
    upstream = UpstreamPool(config.connect_timeout_s, config.idle_timeout_s, half)
    dispatcher = RequestDispatcher(Balancer(config.settings, config.seed), upstream)
    dispatcher.update_endpoints(config.cached_list, is_cached=True)
    frontend = Frontend(dispatcher, config.settings, half)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    try:
        listener = frontend.bind(*config.listen_address)
    except OSError as error:
        raise ConfigError(
            f"cannot listen on {config.listen_address[0]}:{config.listen_address[1]}: {error.strerror}"
        ) from None
    discovery = DiscoveryClient(
        config.discovery_address, config.cached_list.revision, dispatcher.update_endpoints, config.settings
    )
    discovery.start()
    reload_file = _Reload(config, discovery)
    loop.add_signal_handler(signal.SIGHUP, reload_file)
    if early:
        reload_file()
    if not config.settings.discovery_is_polled:
        await _any_of(FIRST_LIST_TIME, discovery.first_list_received, stop)
        if not discovery.first_list_received.is_set():
            log.warning("discovery has said nothing yet; going on with the list of the last run")
    port = await frontend.listen(listener)
    lag = loop.create_task(_watch_lag())
    # What exists now stays: the collector need not look at it again, which would hold up the loop.
    gc.collect()
    gc.freeze()
    log.info("%s listens on %s:%d", config.name, config.listen_address[0], port)
    await stop.wait()
    log.info("stopping: %d requests held", dispatcher.unanswered_count)
    longest = max(kind.timeout_us for kind in config.settings.classes) / US_PER_S
    frontend.begin_shutdown(loop.time() + STILL_ACCEPTING + longest)
    await asyncio.sleep(STILL_ACCEPTING)
    await frontend.accept_backlog()
    frontend.stop_accepting()
    await _until_answered(frontend)
    discovery.stop()
    lag.cancel()


async def _any_of(seconds: float, *events: asyncio.Event) -> None:
    """Wait for the first of them, but no longer than so many seconds."""
    waits = [asyncio.create_task(event.wait()) for event in events]
    await asyncio.wait(waits, timeout=seconds, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()


class _Seldom(logging.Filter):
    """Peers can cause some lines at will: of a kind, one in a second is enough."""

    def __init__(self) -> None:
        super().__init__()
        self._said: dict[str, float] = {}  # by the text without its figures: as many as the source holds
        self._left_out: dict[str, int] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        kind = str(record.msg)
        if record.created < self._said.get(kind, 0.0) + SELDOM:
            self._left_out[kind] = self._left_out.get(kind, 0) + 1
            return False
        self._said[kind] = record.created
        left_out = self._left_out.pop(kind, 0)
        if left_out:
            record.msg = f"{kind} ({left_out} such lines left out)"
        return True


class _Reload:
    """On SIGHUP: read the file again, and watch the discovery that it names."""

    def __init__(self, config: GatewayConfig, discovery: DiscoveryClient) -> None:
        self._config = config
        self._discovery = discovery

    def __call__(self) -> None:
        try:
            told = reload_config(os.environ)
        except ConfigError as error:
            log.error("reload: %s; going on with what is in force", error)
            return
        old, self._config = self._config, replace(self._config, discovery_address=told.discovery_address)
        if told.discovery_address != old.discovery_address:
            log.info("reload: discovery is now at %s:%d", *told.discovery_address)
            self._discovery.move_to(told.discovery_address)
        # These two are new in every file, and of use at a start alone.
        if replace(told, seed=old.seed, cached_list=old.cached_list) != self._config:
            log.warning("reload: only discovery changes; the rest of the file waits for the next start")


async def _until_answered(frontend: Frontend) -> None:
    """Each connection closes with its answer; one who doesn't read must not hold up the exit."""
    try:
        async with asyncio.timeout_at(frontend.shutdown_deadline_at_s):
            while frontend.connections:
                await asyncio.sleep(0.01)
    except TimeoutError:
        log.warning("%d connections were still open at the exit", len(frontend.connections))


async def _watch_lag() -> None:
    """Say so when the loop runs late: every deadline is then met late."""
    loop = asyncio.get_running_loop()
    while True:
        due = loop.time() + LAG_STEP
        await asyncio.sleep(LAG_STEP)
        if loop.time() - due > LAG_SHOWN:
            log.warning("the loop runs %d ms late", (loop.time() - due) * 1000)


async def _to_the_end(config: GatewayConfig, early: Sequence[int]) -> None:
    """Serve, and let no signal through after that: without a handler it would end us as though by a crash."""
    try:
        await serve(config, early)
    finally:
        signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM, signal.SIGINT))


def main() -> int:
    logging.basicConfig(
        stream=sys.stderr,
        level=logging.INFO,
        format="%(asctime)s.%(msecs)03d %(levelname)s %(message)s",
        datefmt="%H:%M:%S",
    )
    for handler in logging.getLogger().handlers:
        handler.addFilter(_Seldom())
    early: list[int] = []  # such a signal would end the program, or find the file read and be lost
    signal.signal(signal.SIGHUP, lambda number, _: early.append(number))
    try:
        asyncio.run(_to_the_end(load_config(os.environ), early))
    except ConfigError as error:
        print(f"http_gateway: {error}", file=sys.stderr)
        return 2
    return 0
