"""The log of a gateway process follows a request from its arrival to its final answer."""

from __future__ import annotations

import signal
from pathlib import Path

from tests.support.discovery import accept_watch_without_changes
from tests.support.loopback import LoopbackClient, async_test, request_bytes, respond_with, start_peers
from tests.support.service import config_document, listening_port, remaining_log, running_service


@async_test
async def test_debug_lines_tell_the_way_of_a_request(tmp_path: Path) -> None:
    async with start_peers(respond_with(), accept_watch_without_changes) as (endpoint, discovery):
        config = config_document(discovery.port, endpoint.list_entry())
        async with running_service(tmp_path, config, PROXY_LOG_LEVEL="debug") as process:
            client = await LoopbackClient.connect(await listening_port(process))
            client.writer.write(request_bytes(headers={"X-Request-Id": "7a99"}))
            assert (await client.response()).status == 200
            process.send_signal(signal.SIGTERM)
            log = await remaining_log(process)
    lines = [line for line in log.splitlines() if "request_id=1 " in line]
    steps = [line.split(" DEBUG ")[1].split(" request_id=")[0] for line in lines]
    assert steps == ["request received", "attempt started", "attempt ended", "request answered"]
    assert 'client_request_id="7a99"' in lines[0]
    assert "outcome=OK" in lines[2]
    assert "status=200" in lines[3]
