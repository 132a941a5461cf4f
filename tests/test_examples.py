"""Every module's examples hold as they are written."""

import doctest
import importlib
import pathlib

import pytest

from .paths import ROOT

FILES = [
    path.relative_to(ROOT)
    for package in ("sumacloom", "capacity", "tests")
    for path in sorted(pathlib.Path(ROOT, package).rglob("*.py"))
    if not path.name.startswith("test_")
]
MODULES = [
    ".".join(path.with_suffix("").parts)
    for path in FILES
    if any(
        line.lstrip().startswith(">>> ")
        for line in pathlib.Path(ROOT, path).read_text(encoding="utf-8").splitlines()
    )
]


IMPORTABLE = [
    ".".join(path.with_suffix("").parts)
    for path in FILES
    if path.name not in ("__main__.py", "__init__.py")
]


@pytest.mark.parametrize("name", IMPORTABLE)
def test_the_module_can_be_imported(name):
    """Also one that no other test uses, as the trial with real programs."""
    importlib.import_module(name)


@pytest.mark.parametrize("name", MODULES)
def test_the_examples_of(name):
    result = doctest.testmod(importlib.import_module(name))
    assert result.attempted and not result.failed
