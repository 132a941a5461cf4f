"""Modules, tests and commands that the pages name exist."""

import re
from pathlib import Path

import pytest

from .paths import ROOT

PAGES = [
    path
    for path in (
        *Path(ROOT, "docs").glob("*.md"),
        Path(ROOT, "README.md"),
        Path(ROOT, "CONTRIBUTING.md"),
    )
    if path.name != "measurements.md"  # speaks of the sources as they were
]
MODULE = re.compile(r"`((?:[a-z_]+/)*[a-z_]+\.py)`")
TEST = re.compile(r"`(test_[a-z0-9_]+)`")
SOURCES = [
    path.relative_to(ROOT).as_posix()
    for package in ("sumacloom", "tests", "capacity")
    for path in Path(ROOT, package).rglob("*.py")
]
TESTS = {
    name
    for path in Path(ROOT, "tests").rglob("*.py")
    for name in re.findall(r"^def (test_\w+)", path.read_text(encoding="utf-8"), re.MULTILINE)
} | {Path(path).stem for path in SOURCES}


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_modules_named_in_a_page_exist(page):
    named = set(MODULE.findall(page.read_text(encoding="utf-8")))
    assert not {
        name for name in named if not any(f"/{path}".endswith(f"/{name}") for path in SOURCES)
    }


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_tests_named_in_a_page_exist(page):
    assert set(TEST.findall(page.read_text(encoding="utf-8"))) <= TESTS
