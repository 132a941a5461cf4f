"""Fixtures of several tests, and the plugin for known failures."""

import os

import pytest

from tests.known_red import KnownRed
from tests.paths import ROOT


def pytest_configure(config):
    """Registers the plugin that knows the tests listed in KNOWN-RED.txt."""
    config.pluginmanager.register(KnownRed(ROOT))


@pytest.fixture
def no_fsync(monkeypatch):
    """For tests that tell nothing of a loss of power: files are written, not synced."""
    monkeypatch.setattr(os, "fsync", lambda file: None)
    monkeypatch.setattr(os, "fdatasync", lambda file: None)
