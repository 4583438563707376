"""The Python example in README.md runs and prints the actions of the policy."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

README = Path(__file__).parents[2] / "README.md"


def test_example_runs_and_prints_its_actions(capsys: pytest.CaptureFixture[str]) -> None:
    blocks = re.findall(r"```python\n(.*?)```", README.read_text(), re.DOTALL)
    assert len(blocks) == 1
    exec(compile(blocks[0], str(README), "exec"), {})
    assert "StartAttempt(request_id=7" in capsys.readouterr().out
