"""Makes the pinned libraries and the sources importable, and registers the plugin for known failures."""

import os
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
for folder in (os.path.join(ROOT, "target", "tools"), os.path.join(ROOT, "target", "deps"), ROOT):
    if os.path.isdir(folder) and folder not in sys.path:
        sys.path.insert(0, folder)

import pytest  # noqa: E402  (found by the lines above)


def pytest_configure(config):
    """Registers the plugin that knows the tests listed in KNOWN-RED.txt."""
    from tests.known_red import KnownRed

    config.pluginmanager.register(KnownRed(ROOT))


@pytest.fixture
def no_fsync(monkeypatch):
    """For tests that tell nothing of a loss of power: files are written, not synced."""
    monkeypatch.setattr(os, "fsync", lambda file: None)
    monkeypatch.setattr(os, "fdatasync", lambda file: None)
