"""The discovery client: one session at a time, with the service that the configuration names."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from http_gateway.net.address import Address
from http_gateway.net.discovery.endpoint_list import EndpointList
from http_gateway.net.discovery.poll_schedule import PollSchedule
from http_gateway.net.discovery.session import DiscoverySession
from http_gateway.policy.settings import Settings


class DiscoveryClient:
    """Keeps the endpoint list up to date; owns the task that does so.

    Args:
        address: Where the discovery service listens.
        revision: The revision of the list in force, from which the first watch resumes.
        on_list: Called with each list that the service sends.
        settings: How discovery works.

    Attributes:
        first_list_received: Set when a list has come, or the service has rejected a call and sends none
            soon.
    """

    def __init__(
        self,
        address: Address,
        revision: int,
        on_list: Callable[[EndpointList], None],
        settings: Settings,
    ) -> None:
        self._on_list = on_list
        self._settings = settings
        self._random = Random()
        self._tasks: set[asyncio.Task[None]] = set()
        self.first_list_received = asyncio.Event()
        self._session = self._new_session(address, revision)

    def start(self) -> None:
        """Start to watch the service."""
        task = asyncio.get_running_loop().create_task(self._session.run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        """End the watch and all calls."""
        for task in self._tasks:
            task.cancel()

    def move_to(self, address: Address) -> None:
        """Watch another service, from its complete list on; the list in force stays until that comes."""
        self.stop()
        self._session.close()
        self._session = self._new_session(address, revision=0)
        self.start()

    def _new_session(self, address: Address, revision: int) -> DiscoverySession:
        schedule = PollSchedule(self._settings, self._random)
        return DiscoverySession(address, revision, schedule, self._on_list, self.first_list_received)
