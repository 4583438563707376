"""Rules that the project sets itself."""

from __future__ import annotations

import ast
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
POLICY = sorted((ROOT / "http_gateway" / "policy").glob("*.py"))
MAX_LINES = 400
MAX_LINE_LENGTH = 110
# Modules of the standard library that a pure module may use; none of them reads a clock or does I/O.
PURE_MODULES = {"__future__", "collections", "dataclasses", "enum", "hashlib", "math", "random", "typing"}


def _imported_modules(path: Path) -> set[str]:
    modules = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            modules |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            modules.add("." * node.level + (node.module or ""))
    return modules


@pytest.mark.parametrize("path", POLICY, ids=lambda path: path.stem)
def test_policy_modules_are_small(path: Path) -> None:
    lines = path.read_text().splitlines()
    assert len([line for line in lines if line.strip()]) <= MAX_LINES
    assert max(map(len, lines), default=0) <= MAX_LINE_LENGTH


@pytest.mark.parametrize("path", POLICY, ids=lambda path: path.stem)
def test_policy_modules_are_pure(path: Path) -> None:
    for module in _imported_modules(path):
        assert module.split(".")[0] in PURE_MODULES or module.startswith("http_gateway.policy")


def test_the_deploy_file_names_every_policy_module() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert sorted(deploy["policy"]) == [str(path.relative_to(ROOT)) for path in POLICY]


def test_the_deploy_file_names_every_other_module_of_the_gateway() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    named = [ROOT / entry for entry in (*deploy["node"], *deploy["policy"])]
    simulator = ROOT / "http_gateway" / "simulator"
    for path in (ROOT / "http_gateway").rglob("*.py"):
        assert any(path.is_relative_to(entry) for entry in (*named, simulator)), path
