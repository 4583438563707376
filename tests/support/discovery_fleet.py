"""A fleet of discovery clients before one discovery service, in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from random import Random
from unittest import mock

from http_gateway.net.discovery import client as client_module
from http_gateway.net.discovery.client import DiscoveryClient
from http_gateway.net.discovery.endpoint_list import EndpointList
from http_gateway.net.memory.plan import MAX_DOCUMENT_BYTES
from http_gateway.policy.settings import Settings
from tests.support.discovery import REJECTION, WATCH_HEAD, chunk, list_document, polled_settings
from tests.support.virtual_time import VirtualConnection, VirtualTimeLoop

LINE_INTERVAL_S = 2.0  # between the empty lines of a watch without changes


@dataclass
class ServiceWatch:
    """A watch that the service has opened."""

    connection: VirtualConnection
    is_silent: bool = False
    line_timer: asyncio.TimerHandle | None = None


class VirtualDiscovery:
    """A discovery service of fixed capacity: calls wait in turn, and are rejected if the wait were too long.

    Args:
        loop: The event loop with the virtual clock.

    Attributes:
        service_time_s: The time that each call occupies the service.
        max_wait_s: A call that would have to wait for longer is rejected.
        answer_delay_s: A further delay of each answer, during which other calls are served.
        first_line_delay_s: The time from the head of an answer to its list.
        refuses_connections: Whether connections are refused.
        rejects_calls: Whether all calls are rejected.
        call_times_s: When calls arrived.
        rejected_count: How many calls were rejected.
    """

    def __init__(self, loop: VirtualTimeLoop) -> None:
        self._loop = loop
        self.address = loop.add_server(self)
        self.service_time_s = 0.0
        self.max_wait_s = 2.0
        self.answer_delay_s = 0.0
        self.first_line_delay_s = 0.0
        self.refuses_connections = False
        self.rejects_calls = False
        self.is_dead = False
        self.revision = 1
        self.call_times_s: list[float] = []
        self.rejected_count = 0
        self._busy_until_s = 0.0
        self._incarnation = 0
        self._watches: list[ServiceWatch] = []

    async def accept(self) -> None:
        """Accept a connection, refuse it, or leave it without an answer."""
        if self.refuses_connections:
            raise ConnectionRefusedError
        if self.is_dead:
            await self._loop.create_future()

    def on_bytes(self, connection: VirtualConnection, data: bytes) -> None:
        """Queue a call."""
        self.call_times_s.append(self._loop.time())
        if self.is_dead:
            return
        starts_at_s = max(self._loop.time(), self._busy_until_s)
        if self.rejects_calls or starts_at_s - self._loop.time() > self.max_wait_s:
            self.rejected_count += 1
            connection.deliver(REJECTION)
            return
        self._busy_until_s = starts_at_s + self.service_time_s
        self._loop.call_at(
            self._busy_until_s + self.answer_delay_s, self._answer, connection, self._incarnation
        )

    def publish(self) -> None:
        """Change the list, and tell the open watches."""
        self.revision += 1
        for watch in self._watches:
            if not watch.is_silent:
                watch.connection.deliver(chunk(list_document(self.revision, complete=False)))

    def silence_watches(self) -> None:
        """Send nothing more on the open watches, and leave them open."""
        for watch in self._watches:
            watch.is_silent = True

    def end_watches(self, error: Exception | None) -> None:
        """Close the open watches in order, or reset them with an error."""
        for watch in self._watches:
            watch.is_silent = True
            watch.connection.lose(error)

    def die(self) -> None:
        """Vanish without a word: connections stay open, and no answer comes, not even after the return."""
        self.is_dead = True
        self._incarnation += 1
        self.silence_watches()

    def come_back(self) -> None:
        """Answer calls that arrive from now on."""
        self.is_dead = False
        self.refuses_connections = False
        self.rejects_calls = False

    def _answer(self, connection: VirtualConnection, incarnation: int) -> None:
        if incarnation != self._incarnation or connection.is_closed:
            return
        connection.deliver(WATCH_HEAD)
        self._loop.call_later(self.first_line_delay_s, self._open_watch, connection, incarnation)

    def _open_watch(self, connection: VirtualConnection, incarnation: int) -> None:
        if incarnation != self._incarnation or connection.is_closed:
            return
        watch = ServiceWatch(connection)
        self._watches.append(watch)
        connection.deliver(chunk(list_document(self.revision)))
        self._loop.call_later(LINE_INTERVAL_S, self._send_empty_line, watch)

    def _send_empty_line(self, watch: ServiceWatch) -> None:
        if watch.connection.is_closed:
            self._watches.remove(watch)
        elif not watch.is_silent:
            watch.connection.deliver(chunk(b"\n"))
            self._loop.call_later(LINE_INTERVAL_S, self._send_empty_line, watch)


@dataclass
class FleetGateway:
    """A discovery client, and when it applied each revision."""

    client: DiscoveryClient
    applied_at_s: list[tuple[float, int]] = field(default_factory=list)

    def notified_at_s(self, revision: int) -> float:
        """Return when a revision was first applied; infinity if it was not."""
        return min((at_s for at_s, applied in self.applied_at_s if applied >= revision), default=float("inf"))


class DiscoveryFleet:
    """Gateways that share one discovery service.

    Args:
        loop: The event loop with the virtual clock.
        all_settings: The settings of each gateway.
        seed: Seed of the clients' random numbers.
    """

    def __init__(self, loop: VirtualTimeLoop, all_settings: list[Settings], seed: int) -> None:
        self.service = VirtualDiscovery(loop)
        self._loop = loop
        self.gateways: list[FleetGateway] = []
        for settings in all_settings:
            random = Random(f"{seed}/{len(self.gateways)}")
            with mock.patch.object(client_module, "Random", return_value=random):
                self.gateways.append(self._new_gateway(settings))

    def _new_gateway(self, settings: Settings) -> FleetGateway:
        async def apply(endpoint_list: EndpointList) -> None:
            gateway.applied_at_s.append((self._loop.time(), endpoint_list.revision))

        client = DiscoveryClient(self.service.address, 0, apply, settings, MAX_DOCUMENT_BYTES)
        gateway = FleetGateway(client)
        return gateway

    def start(self) -> None:
        """Start all clients."""
        for gateway in self.gateways:
            gateway.client.start()

    def switch_to(self, service: VirtualDiscovery) -> None:
        """Let all clients switch to another service."""
        self.service = service
        for gateway in self.gateways:
            gateway.client.switch_to(service.address)

    def last_notified_at_s(self) -> float:
        """Return when the last gateway has applied the latest revision."""
        return max(gateway.notified_at_s(self.service.revision) for gateway in self.gateways)


def most_calls_per_s(times_s: list[float]) -> int:
    """Return the largest number of calls within one second."""
    return max((sum(start <= at_s < start + 1.0 for at_s in times_s) for start in times_s), default=0)


@contextmanager
def polled_fleet(loop: VirtualTimeLoop, gateway_count: int, seed: int) -> Iterator[DiscoveryFleet]:
    """Run gateways that share a polled discovery service; yields the fleet.

    The wall clock runs with the virtual clock.
    """
    all_settings = [polled_settings(gateway_count, index) for index in range(gateway_count)]
    with mock.patch("time.time", loop.time):
        fleet = DiscoveryFleet(loop, all_settings, seed)
        try:
            yield fleet
        finally:
            for gateway in fleet.gateways:
                gateway.client.stop()
