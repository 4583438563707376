"""Tests that fail for a real fault stand in KNOWN-RED.txt: just these may fail, and each of them has to."""

from __future__ import annotations

from pathlib import Path

import pytest

MOST = 3  # more than that is a fault of the whole


def known_red(file: Path) -> dict[str, str]:
    """The listed tests with cause and issue; one line each: test, cause, issue."""
    lines = file.read_text().splitlines() if file.exists() else []
    listed = {}
    for text in filter(None, map(str.strip, lines)):
        test, _, rest = (part.strip() for part in text.partition(","))
        if not all(part.strip() for part in rest.rpartition(",")):
            raise pytest.UsageError(f"{file.name}: {text!r} is not of the form: test, cause, issue")
        listed[test] = rest
    if len(listed) > MOST:
        raise pytest.UsageError(f"{file.name} lists {len(listed)} tests, {MOST} at most may stand there")
    return listed


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    listed = known_red(config.rootpath / "KNOWN-RED.txt")
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason=listed[item.nodeid], strict=True))
    missing = listed.keys() - {item.nodeid for item in items}
    if missing and config.args == config.getini("testpaths"):  # all tests were asked for
        raise pytest.UsageError(f"KNOWN-RED.txt names what is no test: {', '.join(sorted(missing))}")
