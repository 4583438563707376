"""Checks of the package layout: module sizes, allowed imports, and the module lists of the deploy file."""

from __future__ import annotations

import ast
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PACKAGE = ROOT / "http_gateway"
POLICY = sorted((PACKAGE / "policy").glob("*.py"))
MODULES = sorted(PACKAGE.rglob("*.py"))
MAX_LINES = 400
MAX_LINE_LENGTH = 110
# The standard library modules that a policy module may import. The policy must neither read a clock nor
# perform I/O, so none of these modules does.
PURE_MODULES = {
    "__future__",
    "bisect",
    "collections",
    "dataclasses",
    "enum",
    "hashlib",
    "itertools",
    "math",
    "random",
    "typing",
}
# The parts of the package, each with the other parts whose modules it may import.
DEPENDENCIES = {
    "__init__": set(),
    "__main__": {"service"},
    "json_fields": set(),
    "net": {"json_fields", "policy", "settings_reader"},
    "policy": set(),
    "service": {"json_fields", "net", "policy", "settings_reader"},
    "settings_reader": {"json_fields", "policy"},
    "simulator": {"json_fields", "policy", "settings_reader"},
}


def _imported_modules(path: Path) -> set[str]:
    modules = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            modules |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            modules.add("." * node.level + (node.module or ""))
    return modules


def _part(path: Path) -> str:
    """Return the part of the package that a module belongs to: its top-level module or subpackage."""
    return path.relative_to(PACKAGE).with_suffix("").parts[0]


def _module_id(path: Path) -> str:
    return ".".join(path.relative_to(PACKAGE).with_suffix("").parts)


@pytest.mark.parametrize("path", POLICY, ids=lambda path: path.stem)
def test_policy_module_is_short(path: Path) -> None:
    lines = path.read_text().splitlines()
    assert len([line for line in lines if line.strip()]) <= MAX_LINES
    assert max(map(len, lines), default=0) <= MAX_LINE_LENGTH


@pytest.mark.parametrize("path", POLICY, ids=lambda path: path.stem)
def test_policy_module_is_pure(path: Path) -> None:
    for module in _imported_modules(path):
        assert module.split(".")[0] in PURE_MODULES or module.startswith("http_gateway.policy.")


@pytest.mark.parametrize("path", MODULES, ids=_module_id)
def test_module_is_short(path: Path) -> None:
    line_count = len(path.read_text().splitlines())
    assert line_count <= MAX_LINES


@pytest.mark.parametrize("path", MODULES, ids=_module_id)
def test_module_imports_only_from_allowed_parts(path: Path) -> None:
    """Every import within the package names the imported part.

    A relative import or an import of the bare package would hide which part it depends on, so both fail.
    """
    part = _part(path)
    for module in _imported_modules(path):
        package, _, rest = module.partition(".")
        if package in ("", "http_gateway"):
            assert package == "http_gateway"
            assert rest.split(".")[0] in DEPENDENCIES[part] | {part}


def test_deploy_file_lists_every_policy_module() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert sorted(deploy["policy"]) == [str(path.relative_to(ROOT)) for path in POLICY]


def test_deploy_file_lists_every_other_module_of_the_gateway() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    named = [ROOT / entry for entry in (*deploy["node"], *deploy["policy"])]
    simulator = PACKAGE / "simulator"
    for path in MODULES:
        assert any(path.is_relative_to(entry) for entry in (*named, simulator)), path
