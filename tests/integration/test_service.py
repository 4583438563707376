"""The program as the platform starts it: configuration, signals, exit."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import orjson
import pytest

from http_gateway import service
from http_gateway.net.config import load_config
from http_gateway.net.http.messages import Message
from tests.integration.test_discovery import HEAD, chunk, list_document
from tests.support.loopback import (
    TEST_TIMEOUT_S,
    LoopbackClient,
    async_test,
    never_respond,
    request_and_never_read,
    request_bytes,
    respond_with,
    start_peers,
    wait_until,
)

SETUP: dict[str, Any] = {
    "balancers": 4,
    "classes": [
        {"name": "page-read", "effect": "idempotent", "giveUp": 1500000, "onTime": 400000, "worth": 3.0},
        {"name": "chapter-buy", "effect": "at_most_once", "giveUp": 20000000, "onTime": 400000, "worth": 8.0},
    ],
    "permissions": {"cancelling": True, "connIdle": 60000000, "dialTimeout": 200000, "maxAttempts": 5},
}


def config_document(discovery_port: int, *members: dict[str, Any], **other: Any) -> dict[str, Any]:
    return {
        "name": "n3",
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery_port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"revision": 41, "complete": True, "members": members},
        "settings": SETUP,
        **other,
    }


def write_config(folder: Path, config: object) -> Path:
    path = folder / "config.json"
    path.write_bytes(config if isinstance(config, bytes) else orjson.dumps(config))
    return path


@asynccontextmanager
async def running_service(
    folder: Path, config: object, descriptors: int = 0, **variables: str
) -> AsyncIterator[asyncio.subprocess.Process]:
    environment = {"PROXY_CONFIG": str(write_config(folder, config)), **variables}
    process = await asyncio.create_subprocess_exec(
        *(["prlimit", f"--nofile={descriptors}"] if descriptors else []),
        sys.executable,
        *("-m", "http_gateway"),
        env=environment,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def next_log_line(process: asyncio.subprocess.Process, words: str) -> str:
    """The next line of its log with these words."""
    assert process.stderr is not None
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while text := (await process.stderr.readline()).decode():
            if words in text:
                return text
    raise AssertionError(f"it ended and did not say {words!r}")


async def listening_port(process: asyncio.subprocess.Process) -> int:
    return int((await next_log_line(process, "listens on")).rsplit(":", 1)[1])


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def accepts(port: int) -> bool:
    with socket.socket() as probe:
        return probe.connect_ex(("127.0.0.1", port)) == 0


async def readiness_status(port: int) -> int:
    client = await LoopbackClient.connect(port)
    client.writer.write(b"GET /up HTTP/1.1\r\n\r\n")
    status = (await client.response()).status
    client.close()
    return status


async def _watch(request: Message, writer: asyncio.StreamWriter) -> None:
    """The agent: it answers at once, and knows of no change."""
    writer.write(HEAD + chunk(list_document(41, complete=False)))


@async_test
async def test_sigterm_answers_what_is_held_and_exits_0(tmp_path: Path) -> None:
    async with (
        start_peers(never_respond, _watch) as (host, discovery),
        running_service(tmp_path, config_document(discovery.port, host.list_entry())) as process,
    ):
        port = await listening_port(process)
        assert await readiness_status(port) == 200
        holder, idler = await LoopbackClient.connect(port), await LoopbackClient.connect(port)
        idler.writer.write(b"GET /up HTTP/1.1\r\n\r\n")
        await idler.response()
        holder.writer.write(request_bytes("chapter-buy", {"X-Deadline": ""}))
        await wait_until(lambda: host.requests)
        process.send_signal(signal.SIGTERM)
        signalled = time.monotonic()
        while await readiness_status(port) == 200:  # new connections are still taken in
            await asyncio.sleep(0.01)
        with contextlib.suppress(ConnectionError):
            while await readiness_status(port):
                await asyncio.sleep(0.01)
        assert time.monotonic() - signalled >= 0.4
        assert await idler.read_until_closed() == b""  # closed between requests
        await respond_with(body=b"bought")(host.requests[0], host.request_writers[0])
        answer = await holder.response()
        assert (answer.status, answer.body, answer.keep_alive) == (200, b"bought", False)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert await process.wait() == 0
        with pytest.raises(ConnectionError):
            await LoopbackClient.connect(port)


@async_test
async def test_a_client_that_reads_nothing_does_not_hold_up_the_exit(tmp_path: Path) -> None:
    short = SETUP | {"classes": [SETUP["classes"][0]]}
    async with (
        start_peers(respond_with(body=bytes(60_000)), _watch) as (host, discovery),
        running_service(
            tmp_path, config_document(discovery.port, host.list_entry(), settings=short)
        ) as process,
    ):
        client = await LoopbackClient.connect(await listening_port(process))
        await request_and_never_read(client, host)
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert await process.wait() == 0


@async_test
async def test_the_known_list_serves_until_discovery_answers(tmp_path: Path) -> None:
    async with start_peers(respond_with(body=b"known"), respond_with(body=b"told")) as (known, fresh):

        async def script(request: Message, writer: asyncio.StreamWriter) -> None:
            discovery.writers.append(writer)

        async with (
            start_peers(script) as (discovery,),
            running_service(tmp_path, config_document(discovery.port, known.list_entry())) as process,
        ):
            port = await listening_port(process)
            assert await readiness_status(port) == 200
            client = await LoopbackClient.connect(port)
            assert (await client.request()).body == b"known"
            await wait_until(lambda: discovery.requests)
            assert discovery.requests[0].target.endswith(b"from=41")
            discovery.writers[-1].write(HEAD + chunk(list_document(42, fresh.list_entry(id="s-9"))))
            while (await client.request()).body != b"told":
                await asyncio.sleep(0.01)


@async_test
async def test_a_new_process_listens_once_the_agent_has_spoken(tmp_path: Path) -> None:
    """The list of its last run may be old: what the agent has counts as told from the first moment."""
    async with start_peers(respond_with(body=b"left"), respond_with(body=b"told")) as (left, fresh):
        port = free_port()
        async with (
            start_peers(never_respond) as (discovery,),
            running_service(
                tmp_path, config_document(discovery.port, left.list_entry(), listen=f"127.0.0.1:{port}")
            ) as process,
        ):
            await wait_until(lambda: discovery.requests)
            for _ in range(3):
                with pytest.raises(ConnectionRefusedError):
                    await LoopbackClient.connect(port)
                count = len(discovery.requests)
                await wait_until(lambda: len(discovery.requests) > count)  # noqa: B023
            for asker in discovery.request_writers:
                asker.write(HEAD + chunk(list_document(42, fresh.list_entry(id="s-9"))))
            assert await listening_port(process) == port
            client = await LoopbackClient.connect(port)
            assert (await client.request()).body == b"told"
            assert not left.requests


@async_test
async def test_a_new_process_is_ready_though_the_agent_stays_silent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(service, "FIRST_LIST_TIME", 0.1)
    async with start_peers(respond_with(), never_respond) as (host, discovery):
        port = free_port()
        path = write_config(
            tmp_path, config_document(discovery.port, host.list_entry(), listen=f"127.0.0.1:{port}")
        )
        serving = asyncio.create_task(service.serve(load_config({"PROXY_CONFIG": str(path)})))
        await wait_until(lambda: accepts(port))
        assert await readiness_status(port) == 200
        assert (await (await LoopbackClient.connect(port)).request()).status == 200
        signal.raise_signal(signal.SIGTERM)
        await serving


@async_test
async def test_sigterm_ends_a_process_that_still_waits_for_the_agent(tmp_path: Path) -> None:
    async with (
        start_peers(never_respond) as (discovery,),
        running_service(tmp_path, config_document(discovery.port)) as process,
    ):
        await wait_until(lambda: discovery.requests)
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert await process.wait() == 0


@async_test
async def test_sighup_moves_a_process_that_still_waits_for_the_agent(tmp_path: Path) -> None:
    async with (
        start_peers(respond_with(), never_respond, _watch) as (host, old, new),
        running_service(tmp_path, config_document(old.port, host.list_entry())) as process,
    ):
        await wait_until(lambda: old.requests)
        write_config(tmp_path, config_document(new.port, host.list_entry()))
        process.send_signal(signal.SIGHUP)
        assert await readiness_status(await listening_port(process)) == 200
        assert new.requests[0].target.endswith(b"from=0")


@async_test
async def test_sighup_moves_the_watch_to_the_discovery_of_the_new_file(tmp_path: Path) -> None:
    """The old list serves until the new service tells its whole list, though a variable named the old one."""
    async with start_peers(respond_with(body=b"known"), respond_with(body=b"told"), _watch) as (
        known,
        fresh,
        old,
    ):

        async def script(request: Message, writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD)

        async with (
            start_peers(script) as (new,),
            running_service(
                tmp_path, config_document(1, known.list_entry()), PROXY_DISCOVERY=f"127.0.0.1:{old.port}"
            ) as process,
        ):
            client = await LoopbackClient.connect(await listening_port(process))
            await wait_until(lambda: old.requests)
            write_config(tmp_path, config_document(new.port, known.list_entry(), seed="other"))
            process.send_signal(signal.SIGHUP)
            await wait_until(lambda: new.requests and old.closed)
            assert new.requests[0].target.endswith(b"from=0")
            assert (await client.request()).body == b"known"
            new.writers[-1].write(chunk(list_document(3, fresh.list_entry(id="s-9"))))
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while (await client.request()).body != b"told":
                    await asyncio.sleep(0.01)
            process.send_signal(signal.SIGHUP)  # nothing is new
            process.send_signal(signal.SIGTERM)
            await next_log_line(process, "stopping")
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
            assert len(new.requests) == 1


BAD_ADDRESSES = [
    "",
    "127.0.0.1",
    "127.0.0.1:0",
    "127.0.0.1:70000",
    "127.0.0.1:-1",
    "a..b:80",
    "a\0b:80",
    "a b:8",
]


@pytest.mark.parametrize(
    "config",
    [
        b"{",
        b"\xff",
        {"listen": "nowhere"},
        None,
        *(config_document(1, discovery=text) for text in BAD_ADDRESSES),
    ],
)
@async_test
async def test_sighup_with_a_bad_file_changes_nothing(tmp_path: Path, config: object) -> None:
    async with (
        start_peers(respond_with(), _watch) as (host, discovery),
        running_service(tmp_path, config_document(discovery.port, host.list_entry())) as process,
    ):
        client = await LoopbackClient.connect(await listening_port(process))
        await wait_until(lambda: discovery.requests)
        if config is None:
            (tmp_path / "config.json").unlink()
        else:
            write_config(tmp_path, config)
        process.send_signal(signal.SIGHUP)
        await next_log_line(process, "ERROR reload: ")
        assert (await client.request()).status == 200
        assert not discovery.closed


@async_test
async def test_sighup_says_what_it_does_not_change(tmp_path: Path) -> None:
    async with (
        start_peers(_watch) as (discovery,),
        running_service(tmp_path, config_document(discovery.port)) as process,
    ):
        await listening_port(process)
        write_config(tmp_path, config_document(discovery.port, limits={"sockets": 512}))
        process.send_signal(signal.SIGHUP)
        assert "the next start" in await next_log_line(process, "reload: ")


@async_test
async def test_sighup_as_the_file_has_just_been_read_is_not_lost(tmp_path: Path) -> None:
    """It comes between the reading and the handler: the file may have changed since."""
    async with start_peers(respond_with(), _watch, _watch) as (host, old, new):
        path = write_config(tmp_path, config_document(old.port, host.list_entry()))
        (tmp_path / "new.json").write_bytes(orjson.dumps(config_document(new.port, host.list_entry())))
        code = """
import os, signal, sys
from http_gateway import service as program

load = program.load_config
def late(environment):
    config = load(environment)
    os.replace(sys.argv[1], environment["PROXY_CONFIG"])
    os.kill(os.getpid(), signal.SIGHUP)
    return config

program.load_config = late
sys.exit(program.main())
"""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            code,
            str(tmp_path / "new.json"),
            env={"PROXY_CONFIG": str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        assert await readiness_status(await listening_port(process)) == 200
        assert new.requests
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0


@async_test
async def test_signals_after_the_end_of_the_loop_do_not_make_it_a_crash(tmp_path: Path) -> None:
    """They find no handler any more, and by default they end a process with their number."""
    code = """
import os, signal, sys
from http_gateway import service as program

async def serve(config, early):
    pass

program.serve = serve
status = program.main()
for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
    os.kill(os.getpid(), number)
sys.exit(status)
"""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", code, env={"PROXY_CONFIG": str(write_config(tmp_path, config_document(1)))}
    )
    assert await process.wait() == 0


def _without(key: str) -> dict[str, Any]:
    return {name: value for name, value in config_document(1).items() if name != key}


@pytest.mark.parametrize(
    "config",
    [
        b"{",
        b"[]",
        _without("listen"),
        _without("settings"),
        config_document(1, listen="nowhere"),
        config_document(1, listen="127.0.0.1:port"),
        *(config_document(1, discovery=text) for text in BAD_ADDRESSES),
        config_document(
            1, known={"members": [{"id": "s-1", "host_port": "127.0.0.1:70000", "phase": "Ready"}]}
        ),
        config_document(1, settings={}),
        config_document(1, settings=[]),
        config_document(1, known={"members": [{}]}),
        config_document(1, listen="192.0.2.1:9000"),  # no address of any machine: it cannot be bound
    ],
)
@async_test
async def test_a_bad_configuration_is_one_plain_line_and_exit_2(tmp_path: Path, config: object) -> None:
    async with running_service(tmp_path, config) as process:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            _, errors = await process.communicate()
        assert process.returncode == 2
        assert errors.startswith(b"http_gateway: ")
        assert errors.count(b"\n") == 1


def test_the_environment_comes_before_the_file(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(config_document(1)))
    config = load_config({"PROXY_CONFIG": str(path), "PROXY_NAME": "n7", "PROXY_LISTEN": "127.0.0.2:9001"})
    assert (config.name, config.listen_address, config.discovery_address) == (
        "n7",
        ("127.0.0.2", 9001),
        ("127.0.0.1", 1),
    )
    assert (config.connect_timeout_s, config.idle_timeout_s, config.max_descriptors) == (0.2, 60.0, 1024)
    assert [kind.name for kind in config.settings.classes] == ["page-read", "chapter-buy"]
