"""A session with one discovery service, which lasts until the gateway switches to another service."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import orjson

from http_gateway.net.address import Address
from http_gateway.net.discovery.endpoint_list import EndpointList, EndpointListReader
from http_gateway.net.discovery.poll_schedule import PollSchedule
from http_gateway.net.discovery.watch import DiscoveryWatch

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0
MAX_CONCURRENT_CALLS = 5  # a further call cancels the oldest one
ENTRIES_PER_STEP = 256  # entries of a list that are decoded without a return to the event loop


class ReceivedDocument(NamedTuple):
    """A document that waits to be applied, and the watch that received it."""

    watch: DiscoveryWatch
    content: bytes


class DiscoverySession:
    """Keeps a watch on one discovery service open.

    A call is one HTTP request for a watch. After a watch has ended, the next call resumes from the last
    revision that the service has sent.

    Args:
        address: The address of the service.
        revision: The revision to resume from; 0 requests a complete list. Revisions of different services are
            unrelated.
        schedule: The timing of the calls.
        on_list: Applies a list; an exception that it raises ends the watch. The next list waits for its end.
        service_responded: Event to set once the service has sent a list or rejected a call.
        max_document_bytes: The largest list that is accepted.
    """

    def __init__(
        self,
        address: Address,
        revision: int,
        schedule: PollSchedule,
        on_list: Callable[[EndpointList], Awaitable[None]],
        service_responded: asyncio.Event,
        max_document_bytes: int,
    ) -> None:
        self._max_document_bytes = max_document_bytes
        self._address = address
        self._revision = revision
        self._schedule = schedule
        self._on_list = on_list
        self._service_responded = service_responded
        self._active_watch: DiscoveryWatch | None = None  # the first watch that the service accepted
        self._is_closed = False
        self._documents: asyncio.Queue[ReceivedDocument] = asyncio.Queue()

    def close(self) -> None:
        """Close the session; everything that the service sends later is ignored."""
        self._is_closed = True

    async def run(self) -> None:
        """Open a watch, and another one whenever it ends, until the task is cancelled."""
        applier = asyncio.create_task(self._apply_documents())
        try:
            await self._keep_watch_open()
        finally:
            applier.cancel()

    async def _keep_watch_open(self) -> None:
        # Without this wait, gateways that start or switch together would all call the service at once.
        if self._schedule.is_shared:
            await self._wait_for_next_call()
        while True:
            try:
                watch = await self._open_watch()
                log.info('discovery watch ended reason="%s"', await watch.ended)
            except Exception:  # otherwise this task would end and no further lists would arrive
                log.exception("discovery watch failed")
            finally:
                self._end_active_watch()
            await self._documents.join()  # the next watch resumes behind what this one has received
            await self._wait_for_next_call()

    def try_activate(self, watch: DiscoveryWatch) -> bool:
        """Make a watch the active one if there is none; return whether it is the active watch."""
        if not self._is_closed and self._active_watch is None and not watch.ended.done():
            self._active_watch = watch
        return not self._is_closed and self._active_watch is watch

    def on_rejected(self, after_s: float) -> None:
        """Adapt the schedule to a rejected call.

        Args:
            after_s: Seconds from the request to the rejection.
        """
        self._schedule.on_rejected(after_s)
        if not self._is_closed:
            self._service_responded.set()

    def on_document(self, watch: DiscoveryWatch, document: bytes) -> None:
        """Queue a list if it comes from the active watch, which does not read on until it is applied.

        Args:
            watch: The watch that received the document.
            document: The bytes of the list.
        """
        if self.try_activate(watch):
            self._documents.put_nowait(ReceivedDocument(watch, document))
            watch.pause_reading()

    async def _apply_documents(self) -> None:
        """Decode the received lists and pass them on, one after the other; the event loop runs in between.

        A list that cannot be decoded or applied ends the watch, as its changes would otherwise be missing
        from the current list. The next watch resumes from the revision before it.
        """
        while True:
            watch, content = await self._documents.get()
            try:
                await self._apply(content)
            except Exception as error:
                watch.end(f"{type(error).__name__}: {error}")
                self._discard_documents()
            self._documents.task_done()
            if self._documents.empty():
                watch.resume_reading()
            await asyncio.sleep(0)

    async def _apply(self, content: bytes) -> None:
        """Decode and apply one list.

        Raises:
            orjson.JSONDecodeError: The document is not JSON.
            EndpointListError: The document is not an endpoint list.
        """
        reader = EndpointListReader(orjson.loads(content))
        while (endpoint_list := reader.read(ENTRIES_PER_STEP)) is None:
            await asyncio.sleep(0)
        if self._is_closed:
            return
        await self._on_list(endpoint_list)
        self._revision = endpoint_list.revision
        self._schedule.on_list_received()
        self._service_responded.set()

    def _discard_documents(self) -> None:
        while not self._documents.empty():
            self._documents.get_nowait()
            self._documents.task_done()

    async def _wait_for_next_call(self) -> None:
        await asyncio.sleep(self._schedule.next_delay_s(time.time()))

    def _end_active_watch(self) -> None:
        if self._active_watch is not None:
            self._active_watch.end("stopped")
        self._active_watch = None

    async def _open_watch(self) -> DiscoveryWatch:
        """Make calls until the service accepts a watch, and return this watch."""
        # A task group would wait for the end of cancelled calls, which this method must not do.
        calls: list[asyncio.Task[None]] = []
        try:
            while self._active_watch is None:
                calls = [call for call in calls if not call.done()]
                if len(calls) >= MAX_CONCURRENT_CALLS:
                    calls.pop(0).cancel()
                calls.append(asyncio.create_task(self._call()))
                await self._wait_for_calls(calls)
            return self._active_watch
        finally:
            for call in calls:
                call.cancel()

    async def _wait_for_calls(self, calls: list[asyncio.Task[None]]) -> None:
        """Wait until a call has ended or the next call is due while these are unanswered."""
        ended, _ = await asyncio.wait(
            calls, timeout=self._schedule.overlap_delay_s, return_when=asyncio.FIRST_COMPLETED
        )
        for call in ended:
            call.result()
        if ended and self._active_watch is None:
            await self._wait_for_next_call()

    async def _call(self) -> None:
        """Make one call; return once its watch is accepted or has ended."""
        watch = await self._connect()
        if watch is None:
            return
        try:
            if not await watch.accepted:
                log.info('discovery watch ended reason="%s"', await watch.ended)
        finally:
            if self._active_watch is not watch:
                watch.end("another watch is active")

    def _new_watch(self) -> DiscoveryWatch:
        return DiscoveryWatch(self._address, self._revision, self, self._max_document_bytes)

    async def _connect(self) -> DiscoveryWatch | None:
        host, port = self._address
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, watch = await asyncio.get_running_loop().create_connection(self._new_watch, host, port)
        except (OSError, TimeoutError) as error:
            log.info(
                'discovery connect failed address=%s:%d reason="%s"', host, port, str(error) or "timeout"
            )
            return None
        return watch
