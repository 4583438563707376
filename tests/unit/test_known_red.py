"""What KNOWN-RED.txt allows, and what it does not."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests import conftest

TESTS = """
def test_red(): assert False
def test_green(): assert True
"""
RED, GREEN = "tests/test_it.py::test_red", "tests/test_it.py::test_green"


def run(folder: Path, listed: str) -> tuple[int, str]:
    tests = folder / "tests"
    tests.mkdir()
    (tests / "test_it.py").write_text(TESTS)
    (tests / "conftest.py").write_text(Path(conftest.__file__).read_text())
    (folder / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    (folder / "KNOWN-RED.txt").write_text(listed)
    command = [sys.executable, "-m", "pytest", "-rx", "-p", "no:cacheprovider"]
    ended = subprocess.run(
        command, cwd=folder, env={**os.environ, "PYTEST_ADDOPTS": ""}, capture_output=True, check=False
    )
    return ended.returncode, (ended.stdout + ended.stderr).decode()


def test_a_listed_test_may_fail_and_is_printed(tmp_path: Path) -> None:
    code, text = run(tmp_path, f"{RED}, the loop is late, issue 8\n")
    assert code == 0
    assert f"XFAIL {RED} - the loop is late, issue 8" in text


@pytest.mark.parametrize(
    ("listed", "says"),
    [
        ("", "1 failed"),
        (f"{RED}, late, issue 8\n{GREEN}, late, issue 8", "XPASS(strict)"),
        (
            f"{RED}, late, issue 8\ntests/test_it.py::test_gone, late, issue 8",
            "no test: tests/test_it.py::test_gone",
        ),
        (f"{RED}, late", "is not of the form"),
        ("\n".join(f"{RED}{number}, late, issue 8" for number in range(4)), "3 at most"),
    ],
    ids=["not listed", "passes", "no such test", "no cause", "too many"],
)
def test_all_else_fails_the_run(tmp_path: Path, listed: str, says: str) -> None:
    code, text = run(tmp_path, listed)
    assert code != 0
    assert says in text
