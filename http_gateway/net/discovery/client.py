"""The watch on discovery, and its lists in the module's words."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import httptools
import orjson

from http_gateway.net.address import Address
from http_gateway.net.discovery.endpoint_list import EndpointList, read_endpoint_list
from http_gateway.net.discovery.json_stream import JsonStream
from http_gateway.policy.settings import Settings
from http_gateway.policy.time_units import US_PER_S

log = logging.getLogger(__name__)

# Seconds. While nothing changes an empty line comes every 2 s; what a silent watch misses counts as told
# after 6 s, and by then a new one must have brought it.
SILENCE = 2.5
CONNECT_TIME = 1.0
# Seconds; a service that is asked by all gateways may keep a call waiting, but with the time to connect, one
# that stays unanswered is over by this gateway's next turn.
ANSWER_TIME = 4.0
# Where lists are pushed, an agent on this machine answers at once and at no cost, or not at all. What it has
# counts as told from the moment at which it has it, so a call comes several times within the time that a
# drain allows, and doesn't wait for the last one's end: the agent may be back while that stays unanswered.
AGAIN_PART = 0.2  # of the drain's grace
LEAST_AGAIN, MOST_AGAIN = 0.02, 0.5  # seconds: nothing busier than this, and in time for all that is due
MOST_CALLS = 5  # open at a time; the oldest gives way
# Seconds within which each gateway has a turn, where one service answers all of them. It answers call after
# call, and those that wait too long in vain: called more often than it can answer, it answers nobody. So the
# calls are spread evenly, over as much of the 6 s after which all counts as told as leaves time to answer.
ROUND = 5.0
AT_ONCE = 0.5  # seconds; a refusal that comes so soon tells of too many calls, and not of an outage
MOST_ROUNDS = 16  # of which one is called in, at random, while calls are refused like that


@dataclass(slots=True, eq=False)
class _Source:
    """A service that is watched: its revisions mean nothing to another, and once left it is not heard."""

    address: Address
    revision: int
    watch: _Watching | None = None  # the call that is followed: the first that was answered
    shared: bool = False  # one service answers all gateways: it has to be asked, or has turned a call away
    rounds: int = 1  # of which one is called in


class _Watching(asyncio.Protocol):
    """One call to discovery: hands on each list as it comes, and knows when it has gone silent."""

    def __init__(self, source: _Source, owner: DiscoveryClient) -> None:
        host, port = source.address
        self._request = (
            f"GET /discovery/hosts?watch=1&from={source.revision} HTTP/1.1\r\n"
            f"Host: {host}:{port}\r\nAccept: application/json\r\n\r\n"
        ).encode()
        self._source = source
        self._owner = owner
        self._texts = JsonStream()
        self._parser = httptools.HttpResponseParser(self)
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._began = 0.0
        self._silence: asyncio.TimerHandle | None = None
        self.over: asyncio.Future[str] = self._loop.create_future()
        self.answered: asyncio.Future[bool] = self._loop.create_future()  # False if it ended before

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport, self._began = transport, self._loop.time()
        transport.write(self._request)
        self._wait(ANSWER_TIME)

    def data_received(self, data: bytes) -> None:
        if self.over.done():
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            cause = error.__context__ or error
            self.end(f"{type(cause).__name__}: {cause}")
        if (
            not self._texts.has_partial_document and not self.over.done()
        ):  # a list that has begun has to end within its time
            self._wait(SILENCE)

    def on_headers_complete(self) -> None:
        if self._parser.get_status_code() != 200:
            self._owner.turned_away(self._source, self._loop.time() - self._began)
            raise ValueError(f"discovery answered {self._parser.get_status_code()}")
        if not self._owner.follows(self._source, self):
            self.end("another call is followed")
        elif not self.answered.done():
            self.answered.set_result(True)

    def on_body(self, data: bytes) -> None:
        for text in self._texts.feed(data):
            if self._owner.follows(self._source, self):
                self._owner.hear(text)

    def on_message_complete(self) -> None:
        self.end("the watch ended")

    def connection_lost(self, exc: Exception | None) -> None:
        self.end(f"the connection ended ({exc or 'closed'})")

    def end(self, why: str) -> None:
        if self._silence is not None:
            self._silence.cancel()
        if self._transport is not None:
            self._transport.abort()
        if not self.answered.done():
            self.answered.set_result(False)
        if not self.over.done():
            self.over.set_result(why)

    def _wait(self, seconds: float) -> None:
        """A machine that is cut off says nothing, and TCP doesn't notice: silence is the only sign."""
        if self._silence is not None:
            self._silence.cancel()
        self._silence = self._loop.call_later(seconds, self.end, "the watch is silent")


class DiscoveryClient:
    """Keeps a watch going, from the last version that came; the old list stays in force meanwhile."""

    def __init__(
        self,
        address: Address,
        revision: int,
        take: Callable[[EndpointList], None],
        settings: Settings | None = None,
    ) -> None:
        self._asked = settings is not None and settings.discovery_is_polled
        self._source = _Source(address, revision, shared=self._asked)
        self._take = take
        grace = settings.drain_grace_us / US_PER_S if settings is not None else 0.0
        self._again = min(MOST_AGAIN, max(LEAST_AGAIN, AGAIN_PART * grace))
        self._turn = ROUND * settings.gateway_index / settings.gateway_count if settings is not None else 0.0
        self._random = Random()
        self._task: asyncio.Task[None] | None = None
        self.first_list_received = (
            asyncio.Event()
        )  # a list has come since the start, or word that none will at once

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run(self._source))

    def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()

    def move_to(self, address: Address) -> None:
        """Watch another service, from its whole list on."""
        self.stop()
        self._source = _Source(address, 0, shared=self._asked)
        self.start()

    async def _run(self, source: _Source) -> None:
        if source.shared:  # whoever starts with us, or moves here with us, would call in this moment too
            await asyncio.sleep(self._next_pause(source))
        while True:
            try:
                watch = await self._reach(source)
                log.info("discovery: %s; asking again", await watch.over)
            except Exception:  # without a watch, hosts that drain would go unnoticed for good
                log.exception("discovery: failed; asking again")
            finally:
                if source.watch is not None:
                    source.watch.end("stopped")
                source.watch = None
            await asyncio.sleep(self._next_pause(source))

    def _next_pause(self, source: _Source) -> float:
        """Seconds until the next call; where all gateways ask one service, until this one's turn.

        They share no more than the clock of all machines, and each knows its number.
        """
        if not source.shared:
            return self._again
        return (self._turn - time.time()) % ROUND + ROUND * self._random.randrange(source.rounds)

    async def _reach(self, source: _Source) -> _Watching:
        """Call until the service answers."""
        calls: list[asyncio.Task[None]] = []
        try:
            while source.watch is None:
                calls = [call for call in calls if not call.done()]
                if len(calls) >= MOST_CALLS:
                    calls.pop(0).cancel()
                calls.append(asyncio.create_task(self._call(source)))
                await asyncio.wait(
                    calls,
                    timeout=None if source.shared else self._again,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                ended = [call for call in calls if call.done()]
                for call in ended:
                    call.result()
                if ended and source.watch is None:
                    await asyncio.sleep(self._next_pause(source))
            return source.watch
        finally:
            for call in calls:
                call.cancel()

    async def _call(self, source: _Source) -> None:
        """One call, until it is answered or over."""
        try:
            async with asyncio.timeout(CONNECT_TIME):
                _, watch = await asyncio.get_running_loop().create_connection(
                    lambda: _Watching(source, self), *source.address
                )
        except (OSError, TimeoutError) as error:
            log.info("discovery: no connection (%s); asking again", error or "too slow")
            return
        try:
            if not await watch.answered:
                log.info("discovery: %s; asking again", await watch.over)
        finally:
            if source.watch is not watch:
                watch.end("another call is followed")

    def follows(self, source: _Source, watch: _Watching) -> bool:
        """Whether what this call brings counts: of those to one service, the first that was answered."""
        if source is self._source and source.watch is None and not watch.over.done():
            source.watch = watch
        return source is self._source and source.watch is watch

    def turned_away(self, source: _Source, waited: float) -> None:
        """No agent of our own would: calls at its pace would keep an overbooked service so for good."""
        source.shared = True
        if waited < AT_ONCE:
            source.rounds = min(2 * source.rounds, MOST_ROUNDS)
        if source is self._source:
            self.first_list_received.set()

    def hear(self, text: bytes) -> None:
        # Raises on a bad text, which ends the watch: what it held would be missing from the list for good.
        told = read_endpoint_list(orjson.loads(text))
        self._take(told)
        self._source.revision, self._source.shared, self._source.rounds = told.revision, self._asked, 1
        self.first_list_received.set()
