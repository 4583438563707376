"""Tests for the startup of the gateway: the cached endpoint list and the wait for the first list."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest

from http_gateway import service
from http_gateway.net.config import load_config
from http_gateway.net.http.messages import Message
from tests.support.discovery import WATCH_HEAD, accept_watch_without_changes, chunk, list_document
from tests.support.loopback import (
    TEST_TIMEOUT_S,
    LoopbackClient,
    LoopbackPeer,
    async_test,
    never_respond,
    respond_with,
    start_peers,
    wait_until,
)
from tests.support.service import (
    accepts_connections,
    config_document,
    free_port,
    listening_port,
    readiness_status,
    running_service,
    write_config,
)


@async_test
async def test_cached_list_is_used_until_discovery_sends_a_list(tmp_path: Path) -> None:
    async with start_peers(respond_with(body=b"cached"), respond_with(body=b"listed")) as (cached, listed):

        async def script(request: Message, writer: asyncio.StreamWriter) -> None:
            discovery.writers.append(writer)

        async with (
            start_peers(script) as (discovery,),
            running_service(tmp_path, config_document(discovery.port, cached.list_entry())) as process,
        ):
            port = await listening_port(process)
            assert await readiness_status(port) == 200
            client = await LoopbackClient.connect(port)
            assert (await client.request()).body == b"cached"
            await wait_until(lambda: discovery.requests)
            assert discovery.requests[0].target.endswith(b"from=41")
            document = list_document(42, listed.list_entry(id="s-9"))
            discovery.writers[-1].write(WATCH_HEAD + chunk(document))
            while (await client.request()).body != b"listed":
                await asyncio.sleep(0.01)


async def wait_for_another_request(peer: LoopbackPeer) -> None:
    """Wait until a peer has received another request."""
    count = len(peer.requests)
    await wait_until(lambda: len(peer.requests) > count)


@async_test
async def test_process_starts_to_listen_once_the_local_agent_has_responded(tmp_path: Path) -> None:
    """Guards against requests to endpoints that have been removed since the list was cached.

    With a local discovery agent, a change of the endpoint list counts as received by the gateway as soon as
    the agent has it, even if the gateway has not received it. From that time on, the gateway is expected to
    respect the change.
    """
    async with start_peers(respond_with(body=b"removed"), respond_with(body=b"listed")) as (removed, listed):
        port = free_port()
        config = config_document(1, removed.list_entry(), listen=f"127.0.0.1:{port}")
        async with (
            start_peers(never_respond) as (discovery,),
            running_service(tmp_path, config | {"discovery": f"127.0.0.1:{discovery.port}"}) as process,
        ):
            await wait_until(lambda: discovery.requests)
            for _ in range(3):
                with pytest.raises(ConnectionRefusedError):
                    await LoopbackClient.connect(port)
                await wait_for_another_request(discovery)
            for writer in discovery.request_writers:
                writer.write(WATCH_HEAD + chunk(list_document(42, listed.list_entry(id="s-9"))))
            assert await listening_port(process) == port
            client = await LoopbackClient.connect(port)
            assert (await client.request()).body == b"listed"
            assert not removed.requests


@async_test
async def test_process_becomes_ready_with_the_cached_list_if_the_agent_does_not_respond(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(service, "FIRST_LIST_TIMEOUT_S", 0.1)
    async with start_peers(respond_with(), never_respond) as (endpoint, discovery):
        port = free_port()
        path = write_config(
            tmp_path, config_document(discovery.port, endpoint.list_entry(), listen=f"127.0.0.1:{port}")
        )
        serving = asyncio.create_task(service.serve(load_config({"PROXY_CONFIG": str(path)})))
        await wait_until(lambda: accepts_connections(port))
        assert await readiness_status(port) == 200
        assert (await (await LoopbackClient.connect(port)).request()).status == 200
        signal.raise_signal(signal.SIGTERM)
        await serving


@async_test
async def test_sigterm_stops_a_process_that_waits_for_the_first_list(tmp_path: Path) -> None:
    async with (
        start_peers(never_respond) as (discovery,),
        running_service(tmp_path, config_document(discovery.port)) as process,
    ):
        await wait_until(lambda: discovery.requests)
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert await process.wait() == 0


@async_test
async def test_sighup_switches_discovery_while_the_process_waits_for_the_first_list(tmp_path: Path) -> None:
    async with (
        start_peers(respond_with(), never_respond, accept_watch_without_changes) as (endpoint, old, new),
        running_service(tmp_path, config_document(old.port, endpoint.list_entry())) as process,
    ):
        await wait_until(lambda: old.requests)
        write_config(tmp_path, config_document(new.port, endpoint.list_entry()))
        process.send_signal(signal.SIGHUP)
        assert await readiness_status(await listening_port(process)) == 200
        assert new.requests[0].target.endswith(b"from=0")
