"""The gateway process: startup, signal handling, graceful shutdown and exit codes."""

from __future__ import annotations

import asyncio
import errno
import gc
import logging
import os
import signal
import socket
import sys
from collections.abc import Sequence

from http_gateway.net.attempted_ids import AttemptedRequestIds
from http_gateway.net.config import ConfigError, GatewayConfig, load_config
from http_gateway.net.config_reload import ConfigReloader
from http_gateway.net.discovery.client import DiscoveryClient
from http_gateway.net.discovery.endpoint_directory import EndpointDirectory
from http_gateway.net.discovery.endpoint_list import EndpointList
from http_gateway.net.event_loop import GatewayEventLoop
from http_gateway.net.frontend.listener import Frontend
from http_gateway.net.log_rate_limit import BoundedFormatter, LogRateLimiter
from http_gateway.net.loop_lag import LoopLagMonitor
from http_gateway.net.memory.budget import MessageBudgets
from http_gateway.net.memory.plan import plan_memory
from http_gateway.net.memory.process_memory import MemoryMonitor, resident_bytes
from http_gateway.net.request_dispatcher import RequestDispatcher
from http_gateway.net.upstream.pool import UpstreamPool
from http_gateway.policy.balancer import Balancer
from http_gateway.policy.time_units import US_PER_S

log = logging.getLogger(__name__)

# Clients still open connections for this long after SIGTERM, so the gateway goes on accepting them.
ACCEPT_AFTER_SIGTERM_S = 0.5
# SIGKILL comes no earlier than 0.7 s and the longest timeout after SIGTERM. A longer timeout counts as this.
MAX_TIMEOUT_BEFORE_SIGKILL_S = 3.0
# At startup the gateway waits this long for the first endpoint list, because the cached list may name
# endpoints that are draining or removed. The wait outlasts a short outage of discovery. It leaves 1.5 s of
# the 10 s within which a restarted gateway must be ready.
FIRST_LIST_TIMEOUT_S = 8.5
DRAIN_CHECK_INTERVAL_S = 0.01
# The listening socket may fail to open for a moment, while the system is short of resources.
BIND_TIMEOUT_S = 2.0
BIND_RETRY_DELAY_S = 0.02
_TEMPORARY_ERRORS = (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM)

EXIT_OK = 0
EXIT_CONFIG_ERROR = 2

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class GatewayService:
    """Runs one gateway from startup to exit; must be created in a running event loop.

    Args:
        config: The configuration at startup.
    """

    def __init__(self, config: GatewayConfig) -> None:
        plan = plan_memory(
            config.memory_limit_bytes, resident_bytes(), config.max_descriptors, config.file_bytes
        )
        endpoint_count = len(config.cached_list.entries)
        budgets = MessageBudgets.create(
            plan.message_bytes(endpoint_count), plan.max_client_connections, plan.max_endpoint_connections
        )
        self._config = config
        self._loop = asyncio.get_running_loop()
        self._pool = UpstreamPool(
            config.connect_timeout_s, config.idle_timeout_s, plan.max_endpoint_connections, budgets
        )
        balancer = Balancer(config.settings, config.seed)
        self._plan = plan
        self._budgets = budgets
        self._directory = EndpointDirectory(plan.max_endpoints(endpoint_count))
        self._dispatcher = RequestDispatcher(
            balancer,
            self._pool,
            budgets.requests,
            AttemptedRequestIds(plan.max_request_ids),
            self._directory,
        )
        self._dispatcher.update_endpoints(config.cached_list, is_cached=True)
        self._frontend = Frontend(self._dispatcher, config.settings, plan.max_client_connections, budgets)
        self._discovery = DiscoveryClient(
            config.discovery_address,
            config.cached_list.revision,
            self._update_endpoints,
            config.settings,
            plan.max_document_bytes,
        )
        self._reloader = ConfigReloader(config, self._discovery, os.environ, plan.max_document_bytes)
        self._lag_monitor = LoopLagMonitor()
        self._memory_monitor = MemoryMonitor(config.memory_limit_bytes, self._describe_usage)
        self._stop_requested = asyncio.Event()

    async def run(self, early_sighups: Sequence[int]) -> None:
        """Serve requests until SIGTERM or SIGINT, then shut down gracefully.

        Args:
            early_sighups: Numbers of the SIGHUP signals received since the process started. The configuration
                is read again if there are any, as the file may have changed since it was read.

        Raises:
            ConfigError: The gateway cannot listen on the configured address.
        """
        for signal_number in _STOP_SIGNALS:
            self._loop.add_signal_handler(signal_number, self._stop_requested.set)
        listener = await self._bind()
        self._discovery.start()
        try:
            self._enable_reload(early_sighups)
            await self._wait_for_first_list()
            self._listen(listener)
            await self._stop_requested.wait()
            await self._shut_down()
        finally:
            self._reloader.stop()
            self._discovery.stop()
            self._lag_monitor.stop()
            self._memory_monitor.stop()

    async def _bind(self) -> socket.socket:
        """Bind the listening socket; a shortage of system resources is waited out for a short time."""
        host, port = self._config.listen_address
        give_up_at_s = self._loop.time() + BIND_TIMEOUT_S
        while True:
            try:
                return self._frontend.bind(host, port)
            except OSError as error:
                if error.errno not in _TEMPORARY_ERRORS or self._loop.time() >= give_up_at_s:
                    raise ConfigError(f"cannot listen on {host}:{port}: {error.strerror}") from None
                log.warning('bind failed address=%s:%d reason="%s"', host, port, error.strerror)
            await asyncio.sleep(BIND_RETRY_DELAY_S)

    def _enable_reload(self, early_sighups: Sequence[int]) -> None:
        self._loop.add_signal_handler(signal.SIGHUP, self._reloader.request_reload)
        if early_sighups:
            self._reloader.request_reload()

    async def _wait_for_first_list(self) -> None:
        """Wait until discovery responds, stop is requested or the timeout expires.

        The gateway waits only for a local agent that pushes lists, because the agent responds at once. A
        polled service may take several seconds, so the gateway starts with the cached list instead.
        """
        if self._config.settings.discovery_is_polled:
            return
        service_responded = self._discovery.service_responded
        await _wait_for_any(FIRST_LIST_TIMEOUT_S, service_responded, self._stop_requested)
        if not service_responded.is_set():
            log.warning("discovery has not responded, using the cached endpoint list")

    def _listen(self, listener: socket.socket) -> None:
        port = self._frontend.listen(listener)
        self._lag_monitor.start()
        # Objects created during startup live until exit. Excluding them from garbage collection keeps later
        # collections short, so that these do not delay the event loop.
        gc.collect()
        gc.freeze()
        self._memory_monitor.start()
        log.info("listening name=%s address=%s:%d", self._config.name, self._config.listen_address[0], port)

    async def _update_endpoints(self, endpoint_list: EndpointList) -> None:
        """Apply a list in pieces, and take the memory of its endpoints away from the messages.

        The event loop runs between the pieces. If the task is cancelled there, the gateway keeps the pieces
        that were applied, and the next complete list brings the others.
        """
        for piece in self._directory.split(endpoint_list):
            if piece.entries:
                self._dispatcher.update_endpoints(piece)
                self._budgets.set_limit(self._plan.message_bytes(len(self._directory)))
            await asyncio.sleep(0)

    def _describe_usage(self) -> str:
        return (
            f"client_connections={len(self._frontend.connections)}"
            f" endpoint_connections={self._pool.open_descriptors}"
            f" requests={self._dispatcher.in_flight_count}"
            f" request_buffer_bytes={self._frontend.buffered_bytes}"
            f" response_buffer_bytes={self._frontend.unread_response_bytes}"
        )

    async def _shut_down(self) -> None:
        """Accept connections for a short time, then stop listening and answer the requests received.

        New requests have to be answered before SIGKILL may come. Earlier ones keep their own deadlines.
        """
        log.info("shutdown started unanswered_requests=%d", self._dispatcher.unanswered_count)
        classes = self._config.settings.classes
        longest_timeout_s = max(request_class.timeout_us for request_class in classes) / US_PER_S
        stops_accepting_at_s = self._loop.time() + ACCEPT_AFTER_SIGTERM_S
        self._frontend.begin_shutdown(
            stops_accepting_at_s + min(longest_timeout_s, MAX_TIMEOUT_BEFORE_SIGKILL_S)
        )
        await asyncio.sleep(ACCEPT_AFTER_SIGTERM_S)
        await self._frontend.accept_backlog()
        self._frontend.stop_accepting()
        await self._wait_for_connections(stops_accepting_at_s + longest_timeout_s)

    async def _wait_for_connections(self, deadline_at_s: float) -> None:
        """Wait until all client connections are closed, or until the deadline.

        A connection closes after its response; the deadline limits the wait for clients that do not read
        their responses.
        """
        try:
            async with asyncio.timeout_at(deadline_at_s):
                while self._frontend.connections:
                    await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        except TimeoutError:
            log.warning("connections still open at exit count=%d", len(self._frontend.connections))


async def serve(config: GatewayConfig, early_sighups: Sequence[int] = ()) -> None:
    """Run a gateway until SIGTERM or SIGINT.

    Args:
        config: The configuration at startup.
        early_sighups: Numbers of the SIGHUP signals received since the process started.

    Raises:
        ConfigError: The gateway cannot listen on the configured address.
    """
    await GatewayService(config).run(early_sighups)


async def _wait_for_any(timeout_s: float, *events: asyncio.Event) -> None:
    """Wait until at least one of the events is set, or until the timeout expires."""
    tasks = [asyncio.create_task(event.wait()) for event in events]
    try:
        await asyncio.wait(tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()


async def _serve_until_exit(config: GatewayConfig, early_sighups: Sequence[int]) -> None:
    """Run the gateway, then block further signals.

    The event loop removes its signal handlers as it closes. A later signal would kill the process with a
    status other than 0, which looks like a crash.
    """
    try:
        await serve(config, early_sighups)
    finally:
        signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, *_STOP_SIGNALS))


def _set_up_logging(level_name: str) -> None:
    """Write log lines of a level and above to standard error; an unknown level counts as INFO."""
    level = logging.getLevelNamesMapping().get(level_name.upper(), logging.INFO)
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        BoundedFormatter("%(asctime)s.%(msecs)03d %(levelname)s %(message)s", datefmt="%H:%M:%S")
    )
    handler.addFilter(LogRateLimiter())
    logging.basicConfig(handlers=[handler], level=level)


def main() -> int:
    """Run the gateway that the environment variables configure, and return the exit code."""
    _set_up_logging(os.environ.get("PROXY_LOG_LEVEL", ""))
    # Without a handler, SIGHUP would end the process. Until the event loop handles SIGHUP, this handler
    # records each signal. The gateway then reloads the configuration if any signal was recorded.
    early_sighups: list[int] = []
    signal.signal(signal.SIGHUP, lambda signal_number, _: early_sighups.append(signal_number))
    try:
        with asyncio.Runner(loop_factory=GatewayEventLoop) as runner:
            runner.run(_serve_until_exit(load_config(os.environ), early_sighups))
    except ConfigError as error:
        print(f"http_gateway: {error}", file=sys.stderr)
        return EXIT_CONFIG_ERROR
    return EXIT_OK
