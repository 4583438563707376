"""Tests for the configuration at startup: environment variables and invalid files."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import orjson
import pytest

from http_gateway.net.config import load_config
from tests.support.loopback import TEST_TIMEOUT_S, async_test
from tests.support.service import INVALID_DISCOVERY_ADDRESSES, config_document, running_service


def config_without(field: str) -> dict[str, Any]:
    """Return a configuration that lacks one field."""
    return {name: value for name, value in config_document(1).items() if name != field}


@pytest.mark.parametrize(
    "config",
    [
        b"{",
        b"[]",
        config_without("listen"),
        config_without("settings"),
        config_document(1, listen="nowhere"),
        config_document(1, listen="127.0.0.1:port"),
        *(config_document(1, discovery=address) for address in INVALID_DISCOVERY_ADDRESSES),
        config_document(
            1, known={"members": [{"id": "s-1", "host_port": "127.0.0.1:70000", "phase": "Ready"}]}
        ),
        config_document(1, settings={}),
        config_document(1, settings=[]),
        config_document(1, known={"members": [{}]}),
        # An address reserved for documentation (RFC 5737), so that no machine can bind it.
        config_document(1, listen="192.0.2.1:9000"),
    ],
)
@async_test
async def test_invalid_configuration_prints_one_line_and_exits_with_code_2(
    tmp_path: Path, config: object
) -> None:
    async with running_service(tmp_path, config) as process:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            _, errors = await process.communicate()
        assert process.returncode == 2
        assert errors.startswith(b"http_gateway: ")
        assert errors.count(b"\n") == 1


def test_environment_variables_override_the_file(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(config_document(1)))
    config = load_config({"PROXY_CONFIG": str(path), "PROXY_NAME": "n7", "PROXY_LISTEN": "127.0.0.2:9001"})
    assert (config.name, config.listen_address, config.discovery_address) == (
        "n7",
        ("127.0.0.2", 9001),
        ("127.0.0.1", 1),
    )
    assert (config.connect_timeout_s, config.idle_timeout_s, config.max_descriptors) == (0.2, 60.0, 1024)
    assert [request_class.name for request_class in config.settings.classes] == ["page-read", "chapter-buy"]
