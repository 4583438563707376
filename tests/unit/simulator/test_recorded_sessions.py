"""Recorded sessions of the simulator protocol are answered with the recorded replies, byte for byte.

The sessions were recorded before the package was renamed and split up. Equal replies show that the decisions
of the policy have not changed since.
"""

from __future__ import annotations

import io
import itertools
import json
import subprocess
import sys
from pathlib import Path

import pytest

from http_gateway.simulator.instance_server import serve
from tests.support.record_session import record, running_adapter
from tests.support.session_scenario import Scenario
from tests.support.session_scenarios import SCENARIOS

ROOT = Path(__file__).parents[3]
DATA = ROOT / "tests" / "data"
SCENARIO_NAMES = [scenario.name for scenario in SCENARIOS]
ADAPTER_COMMAND = [sys.executable, "-m", "http_gateway.simulator"]
MAX_FILE_BYTES = 250_000

EVENT_VERBS = {"configure", "retire", "discovery", "order", "headers", "attemptEnd", "expired", "wakeup"}
EVENT_VERBS |= {"probeResult", "peerData"}
ACTION_VERBS = {"dispatch", "abortAttempt", "refuse", "giveUp", "wakeMe", "follow"}


def _read(name: str, side: str) -> bytes:
    return (DATA / f"{name}.{side}.jsonl").read_bytes()


def _assert_same_lines(actual: bytes, expected: bytes) -> None:
    pairs = itertools.zip_longest(actual.splitlines(keepends=True), expected.splitlines(keepends=True))
    for number, (actual_line, expected_line) in enumerate(pairs, start=1):
        assert actual_line == expected_line, f"line {number} differs"


@pytest.mark.parametrize("name", SCENARIO_NAMES)
def test_recorded_session_gets_the_recorded_replies(name: str) -> None:
    output = io.BytesIO()
    serve(io.BytesIO(_read(name, "input")), output)
    _assert_same_lines(output.getvalue(), _read(name, "output"))


@pytest.mark.parametrize("name", SCENARIO_NAMES)
def test_adapter_program_gives_the_recorded_replies(name: str) -> None:
    result = subprocess.run(
        ADAPTER_COMMAND, input=_read(name, "input"), capture_output=True, timeout=60, check=True, cwd=ROOT
    )
    assert result.stderr == b""
    _assert_same_lines(result.stdout, _read(name, "output"))


@pytest.mark.parametrize("scenario", SCENARIOS, ids=SCENARIO_NAMES)
def test_recorder_reproduces_the_recorded_session(scenario: Scenario) -> None:
    with running_adapter(ADAPTER_COMMAND, ROOT) as adapter:
        session = record(scenario, adapter)
    _assert_same_lines(session.input, _read(scenario.name, "input"))
    _assert_same_lines(session.output, _read(scenario.name, "output"))


def test_recorded_sessions_cover_every_verb_that_the_policy_uses() -> None:
    def verbs(side: str) -> set[str]:
        return {
            json.loads(line)["verb"] for name in SCENARIO_NAMES for line in _read(name, side).splitlines()
        }

    assert verbs("input") >= EVENT_VERBS
    assert verbs("output") - {"ack"} == ACTION_VERBS


@pytest.mark.parametrize("name", SCENARIO_NAMES)
@pytest.mark.parametrize("side", ["input", "output"])
def test_recorded_session_files_are_small(name: str, side: str) -> None:
    assert 0 < len(_read(name, side)) <= MAX_FILE_BYTES
