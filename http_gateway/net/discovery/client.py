"""The discovery client, which has one session at a time with the configured discovery service."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from http_gateway.net.address import Address
from http_gateway.net.discovery.endpoint_list import EndpointList
from http_gateway.net.discovery.poll_schedule import PollSchedule
from http_gateway.net.discovery.session import DiscoverySession
from http_gateway.policy.settings import Settings


class DiscoveryClient:
    """Keeps the endpoint list up to date, in a task that it owns.

    Args:
        address: The address of the discovery service.
        revision: The revision of the current endpoint list, from which the first watch resumes.
        on_list: Applies a list that the service has sent; the next one waits until it has returned.
        settings: The settings of the gateway, with the kind of discovery and the index of this gateway.
        max_document_bytes: The largest list that is accepted.

    Attributes:
        service_responded: Set once the service has sent a list or rejected a call. After a rejection,
            no list is expected soon, so startup stops waiting for one.
    """

    def __init__(
        self,
        address: Address,
        revision: int,
        on_list: Callable[[EndpointList], Awaitable[None]],
        settings: Settings,
        max_document_bytes: int,
    ) -> None:
        self._max_document_bytes = max_document_bytes
        self._on_list = on_list
        self._schedule = PollSchedule(settings, Random())
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self.service_responded = asyncio.Event()
        self._session = self._new_session(address, revision)

    def start(self) -> None:
        """Start to watch the discovery service."""
        self._schedule.on_start(self._loop.time())
        self._run_session()

    def stop(self) -> None:
        """Cancel the watch and all pending calls."""
        for task in self._tasks:
            task.cancel()

    def switch_to(self, address: Address, requested_at_s: float | None = None) -> None:
        """Watch another service, starting with its complete list.

        The current endpoint list stays in use until that list arrives.

        Args:
            address: The address of the other service.
            requested_at_s: Loop time at which the switch was requested; None means now.
        """
        self.stop()
        self._session.close()
        now_s = self._loop.time()
        self._schedule.on_switch(now_s, now_s if requested_at_s is None else requested_at_s)
        self._session = self._new_session(address, revision=0)
        self._run_session()

    def _run_session(self) -> None:
        task = self._loop.create_task(self._session.run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _new_session(self, address: Address, revision: int) -> DiscoverySession:
        return DiscoverySession(
            address, revision, self._schedule, self._on_list, self.service_responded, self._max_document_bytes
        )
