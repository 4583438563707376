"""What the reload of a configuration file does must not grow with the endpoint list in the file."""

from __future__ import annotations

from pathlib import Path

from http_gateway.net.config import load_config, reload_config
from http_gateway.net.memory.plan import MAX_DOCUMENT_BYTES
from tests.support.opcodes import executed_opcodes
from tests.support.service import config_document, write_config

MAX_GROWTH = 4


def reload_cost(folder: Path, endpoint_count: int) -> int:
    """Return the cost of reading a file again that contains a list of this length."""
    members: list[dict[str, object]] = [
        {"id": f"s-{number}", "host_port": "127.0.0.1:9000", "phase": "Ready"}
        for number in range(endpoint_count)
    ]
    path = write_config(folder, config_document(1, *members))
    environment = {"PROXY_CONFIG": str(path)}
    assert len(load_config(environment).cached_list.entries) == endpoint_count
    return executed_opcodes(lambda: reload_config(environment, MAX_DOCUMENT_BYTES))


def test_reload_does_not_read_the_endpoint_list_of_the_file(tmp_path: Path) -> None:
    """Guards against requests that wait while a running gateway reads a list that it does not use."""
    assert reload_cost(tmp_path, 3200) <= MAX_GROWTH * reload_cost(tmp_path, 10)
