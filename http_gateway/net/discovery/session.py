"""A session with one discovery service, which lasts until the gateway switches to another service."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import NamedTuple

import orjson

from http_gateway.net.address import Address
from http_gateway.net.discovery.endpoint_list import EndpointList, EndpointListReader
from http_gateway.net.discovery.poll_schedule import PollSchedule
from http_gateway.net.discovery.watch import DiscoveryWatch

log = logging.getLogger(__name__)

MS_PER_S = 1000
MAX_CONCURRENT_CALLS = 5
MAX_CALL_AGE_S = 60.0  # an unanswered call that is older has probably lost its service
ENTRIES_PER_STEP = 256  # entries of a list that are decoded without a return to the event loop


class ReceivedDocument(NamedTuple):
    """A document that waits to be applied, and the watch that received it."""

    watch: DiscoveryWatch
    content: bytes
    answers_call: bool  # whether it came with the first bytes of its watch


@dataclass(frozen=True, eq=False)
class PendingCall:
    """A call whose first line has not arrived."""

    watch: DiscoveryWatch
    task: asyncio.Task[None]


class DiscoverySession:
    """Keeps a watch on one discovery service open.

    A call is one HTTP request for a watch. After a watch has ended, the next call resumes from the last
    revision that the service has sent. Calls overlap: an unanswered call does not delay the next one, and
    goes on while the next one is made, because a slow service may still answer it. The first call that is
    answered becomes the watch, and ends the others.

    Args:
        address: The address of the service.
        revision: The revision to resume from; 0 requests a complete list. Revisions of different services are
            unrelated.
        schedule: The timing of the calls, which already knows when the first one is due.
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
        self._loop = asyncio.get_running_loop()
        self._active_watch: DiscoveryWatch | None = None  # the first watch that the service answered
        self._calls: list[PendingCall] = []  # the oldest first
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
        while True:
            try:
                watch = await self._open_watch()
                answered_ms = round((self._loop.time() - watch.called_at_s) * MS_PER_S)
                log.info("discovery watch opened address=%s:%d answered_ms=%d", *self._address, answered_ms)
                log.info('discovery watch ended reason="%s"', await watch.ended)
                await self._documents.join()  # the next watch resumes behind what this one has received
                self._schedule.on_watch_ended(self._loop.time(), watch.last_line_at_s)
            except Exception:  # otherwise this task would end and no further lists would arrive
                log.exception("discovery watch failed")
            finally:
                self._end_active_watch()

    def try_activate(self, watch: DiscoveryWatch) -> bool:
        """Make a watch the active one if there is none; return whether it is the active watch."""
        if not self._is_closed and self._active_watch is None and not watch.ended.done():
            self._active_watch = watch
            self._end_other_calls()
        return not self._is_closed and self._active_watch is watch

    def _end_other_calls(self) -> None:
        """End the other calls at once, because the parts of lists that they hold take memory."""
        for call in self._calls:
            if call.watch is not self._active_watch:
                call.watch.end("another watch is active")

    def on_rejected(self, after_s: float) -> None:
        """Adapt the schedule to a rejected call.

        Args:
            after_s: Seconds from the request to the rejection.
        """
        if not self._is_closed:
            self._schedule.on_rejected(after_s)
            self._service_responded.set()

    def on_document(self, watch: DiscoveryWatch, document: bytes) -> None:
        """Queue a list if it comes from the active watch, which does not read on until it is applied.

        Args:
            watch: The watch that received the document.
            document: The bytes of the list.
        """
        if self.try_activate(watch):
            answers_call = not watch.answered.done()
            self._documents.put_nowait(ReceivedDocument(watch, document, answers_call))
            watch.pause_reading()

    async def _apply_documents(self) -> None:
        """Decode the received lists and pass them on, one after the other; the event loop runs in between.

        A list that cannot be decoded or applied ends the watch, as its changes would otherwise be missing
        from the current list. The next watch resumes from the revision before it.
        """
        while True:
            watch, content, answers_call = await self._documents.get()
            try:
                await self._apply(content)
                if not self._is_closed:
                    self._on_list_applied(watch, answers_call)
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

    def _on_list_applied(self, watch: DiscoveryWatch, answers_call: bool) -> None:
        answer_time_s = self._loop.time() - watch.called_at_s if answers_call else None
        self._schedule.on_list_received(answer_time_s)
        self._service_responded.set()

    def _discard_documents(self) -> None:
        while not self._documents.empty():
            self._documents.get_nowait()
            self._documents.task_done()

    def _end_active_watch(self) -> None:
        if self._active_watch is not None:
            self._active_watch.end("stopped")
        self._active_watch = None

    async def _open_watch(self) -> DiscoveryWatch:
        """Make calls until the service answers one, and return its watch."""
        try:
            while self._active_watch is None:
                await self._wait_for_calls(self._next_call_at_s())
                if self._active_watch is None and self._loop.time() >= self._next_call_at_s():
                    self._start_call()
            return self._active_watch
        finally:
            # A task group would wait for the end of cancelled calls, which this method must not do.
            for call in self._calls:
                call.task.cancel()
            self._calls.clear()

    def _next_call_at_s(self) -> float:
        """Return when the next call is due.

        A call whose list is arriving delays the next one until no more of the list arrives.
        """
        stalled_at_s = (call.watch.stalled_at_s for call in self._calls)
        return max(self._schedule.due_at_s, *(at_s for at_s in stalled_at_s if at_s is not None), 0.0)

    async def _wait_for_calls(self, until_s: float) -> None:
        """Wait until a call has ended or been answered, or until a moment in loop time."""
        tasks = [call.task for call in self._calls]
        with suppress(TimeoutError):
            async with asyncio.timeout_at(until_s):
                if not tasks:
                    await self._loop.create_future()
                await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        ended = [call for call in self._calls if call.task.done()]
        self._calls = [call for call in self._calls if not call.task.done()]
        for call in ended:
            call.task.result()

    def _start_call(self) -> None:
        """Make a further call, and give one up if there are too many.

        The oldest call is the first that a slow service answers, so the second oldest is given up, unless the
        oldest has waited for too long.
        """
        now_s = self._loop.time()
        if len(self._calls) >= MAX_CONCURRENT_CALLS:
            is_too_old = now_s - self._calls[0].watch.called_at_s > MAX_CALL_AGE_S
            given_up = self._calls.pop(0 if is_too_old else 1)
            given_up.task.cancel()
            waited_s = now_s - given_up.watch.called_at_s
            log.info("discovery call given up address=%s:%d waited_s=%.3f", *self._address, waited_s)
        watch = DiscoveryWatch(self._address, self._revision, self, self._max_document_bytes)
        self._calls.append(PendingCall(watch, self._loop.create_task(self._call(watch))))
        self._schedule.on_call_started(now_s)

    async def _call(self, watch: DiscoveryWatch) -> None:
        """Make one call; return once it is answered or has ended."""
        if not await self._connect(watch):
            return
        try:
            if not await watch.answered and self._active_watch is None:
                log.info('discovery watch ended reason="%s"', await watch.ended)
        finally:
            if self._active_watch is not watch:
                watch.end("another watch is active")

    async def _connect(self, watch: DiscoveryWatch) -> bool:
        """Connect a watch, and return whether that succeeded."""
        host, port = self._address
        try:
            await self._loop.create_connection(lambda: watch, host, port)
        except OSError as error:
            log.info('discovery connect failed address=%s:%d reason="%s"', host, port, error)
            return False
        return True
