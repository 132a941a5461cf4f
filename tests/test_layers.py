"""Packages import only what lies below them, see docs/ARCHITECTURE.md."""

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent / "sumacloom"
PACKAGES_BELOW = {
    "state_machines": set(),
    "wal": set(),
    "configuration": set(),
    "consensus": {"wal"},
    "transport": {"configuration", "consensus"},
    "controller": {"configuration", "consensus", "transport", "wal"},
    "pooler": {"configuration", "state_machines", "transport"},
    "cli": {"configuration"},
}


def imported_packages(package):
    """The packages of ours that a package's modules name, also inside functions."""
    found = set()
    for path in (ROOT / package).rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            names = [alias.name for alias in node.names] if isinstance(node, ast.Import) else []
            names += [node.module or ""] if isinstance(node, ast.ImportFrom) else []
            assert not (isinstance(node, ast.ImportFrom) and node.level), (
                f"relative import in {path}"
            )
            parts = [name.split(".") for name in names]
            found |= {part[1] for part in parts if part[0] == "sumacloom" and len(part) > 1}
    return found & set(PACKAGES_BELOW)


@pytest.mark.parametrize("package", PACKAGES_BELOW)
def test_a_package_imports_only_what_lies_below_it(package):
    assert imported_packages(package) - {package} <= PACKAGES_BELOW[package]


def test_every_package_has_its_place():
    assert {path.parent.name for path in ROOT.glob("*/__init__.py")} == set(PACKAGES_BELOW)
