"""The calls to one discovery service, until the gateway moves to another one."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

import orjson

from http_gateway.net.address import Address
from http_gateway.net.discovery.endpoint_list import EndpointList, read_endpoint_list
from http_gateway.net.discovery.poll_schedule import PollSchedule
from http_gateway.net.discovery.watch import DiscoveryWatch

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0
MAX_CONCURRENT_CALLS = 5  # the oldest is cancelled for a further one


class DiscoverySession:
    """Keeps a watch on one service open, resuming from the last revision that it has sent.

    Args:
        address: Where the service listens.
        revision: The revision to resume from; 0 for a complete list. It means nothing to another service.
        schedule: When calls are due.
        on_list: Called with each list; an exception ends the watch.
        responded: Set when a list has come, or the service has rejected a call.
    """

    def __init__(
        self,
        address: Address,
        revision: int,
        schedule: PollSchedule,
        on_list: Callable[[EndpointList], None],
        responded: asyncio.Event,
    ) -> None:
        self._address = address
        self._revision = revision
        self._schedule = schedule
        self._on_list = on_list
        self._responded = responded
        self._watch: DiscoveryWatch | None = None  # the one in use: the first that was accepted
        self._is_closed = False

    def close(self) -> None:
        """Ignore everything that the service sends from now on."""
        self._is_closed = True

    async def run(self) -> None:
        """Open one watch after the other, until cancelled."""
        if self._schedule.is_shared:  # gateways that start or move together would all call at once
            await self._wait_for_next_call()
        while True:
            try:
                watch = await self._open_watch()
                log.info('discovery watch ended reason="%s"', await watch.ended)
            except Exception:  # without a watch, draining endpoints would go unnoticed
                log.exception("discovery watch failed")
            finally:
                self._release_watch()
            await self._wait_for_next_call()

    def use_watch(self, watch: DiscoveryWatch) -> bool:
        """Return whether this watch is the one in use; the first accepted one becomes it."""
        if not self._is_closed and self._watch is None and not watch.ended.done():
            self._watch = watch
        return not self._is_closed and self._watch is watch

    def on_rejected(self, after_s: float) -> None:
        """Slow the schedule down after a call was rejected, so many seconds after its request."""
        self._schedule.on_rejected(after_s)
        if not self._is_closed:
            self._responded.set()

    def on_document(self, watch: DiscoveryWatch, document: bytes) -> None:
        """Read a list and pass it on, if it comes from the watch in use.

        An unreadable list ends the watch: its changes would be missing from the list in force.

        Raises:
            orjson.JSONDecodeError: It is not JSON.
            EndpointListError: It is not an endpoint list.
        """
        if not self.use_watch(watch):
            return
        endpoint_list = read_endpoint_list(orjson.loads(document))
        self._on_list(endpoint_list)
        self._revision = endpoint_list.revision
        self._schedule.on_list_received()
        self._responded.set()

    async def _wait_for_next_call(self) -> None:
        await asyncio.sleep(self._schedule.next_delay_s(time.time()))

    def _release_watch(self) -> None:
        if self._watch is not None:
            self._watch.end("stopped")
        self._watch = None

    async def _open_watch(self) -> DiscoveryWatch:
        """Call until the service accepts a watch."""
        # Not a task group: a call is cancelled without waiting for its end.
        calls: list[asyncio.Task[None]] = []
        try:
            while self._watch is None:
                calls = [call for call in calls if not call.done()]
                if len(calls) >= MAX_CONCURRENT_CALLS:
                    calls.pop(0).cancel()
                calls.append(asyncio.create_task(self._call()))
                await self._wait_for_calls(calls)
            return self._watch
        finally:
            for call in calls:
                call.cancel()

    async def _wait_for_calls(self, calls: list[asyncio.Task[None]]) -> None:
        """Wait until a call has ended, or another one is due beside them."""
        ended, _ = await asyncio.wait(
            calls, timeout=self._schedule.overlap_delay_s, return_when=asyncio.FIRST_COMPLETED
        )
        for call in ended:
            call.result()
        if ended and self._watch is None:
            await self._wait_for_next_call()

    async def _call(self) -> None:
        """Call once, until the watch is accepted or has ended."""
        watch = await self._connect()
        if watch is None:
            return
        try:
            if not await watch.accepted:
                log.info('discovery watch ended reason="%s"', await watch.ended)
        finally:
            if self._watch is not watch:
                watch.end("another watch is in use")

    async def _connect(self) -> DiscoveryWatch | None:
        host, port = self._address
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, watch = await asyncio.get_running_loop().create_connection(
                    lambda: DiscoveryWatch(self._address, self._revision, self), host, port
                )
        except (OSError, TimeoutError) as error:
            log.info(
                'discovery connect failed address=%s:%d reason="%s"', host, port, str(error) or "timeout"
            )
            return None
        return watch
