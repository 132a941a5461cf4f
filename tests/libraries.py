"""The pinned libraries of the programs, and of tests and tools: installed if missing, then found.

What the programs run on goes into `target/deps`, as the deploy file's build does it; what only tests
and tools need goes into `target/tools`, so that neither is measured or deployed with the other.
"""

import importlib.metadata
import os
import re
import subprocess
import sys

from .paths import ROOT

REQUIREMENTS = {
    os.path.join(ROOT, "requirements.txt"): os.path.join(ROOT, "target", "deps"),
    os.path.join(ROOT, "requirements-dev.txt"): os.path.join(ROOT, "target", "tools"),
}


def pinned(text: str) -> dict[str, str]:
    """Each library's name, in its plain form, and the version that the requirements pin.

    >>> pinned("h11==0.16.0\\nPython_json-logger==4.2.0\\n")
    {'h11': '0.16.0', 'python-json-logger': '4.2.0'}
    """
    lines = [line.partition("==") for line in text.split()]
    return {re.sub(r"[-_.]+", "-", name).lower(): version for name, _equals, version in lines}


def installed(folder: str) -> dict[str, str]:
    """The same of the libraries in a folder.

    >>> installed("/nowhere")
    {}
    """
    found = importlib.metadata.distributions(path=[folder])
    return {re.sub(r"[-_.]+", "-", one.metadata["Name"]).lower(): one.version for one in found}


def install() -> None:
    """Installs what is missing or of another version, and puts the folders first on the path.

    Child processes inherit the path, so the programs under test find the same libraries.
    """
    for requirements, folder in REQUIREMENTS.items():
        with open(requirements, encoding="utf-8") as file:
            wanted = pinned(file.read())
        if not wanted.items() <= installed(folder).items():
            pip = [sys.executable, "-m", "pip", "install", "-q", "-U", "--target", folder]
            subprocess.run([*pip, "-r", requirements], check=True)
        if folder not in sys.path:
            sys.path.insert(0, folder)
    folders = [*REQUIREMENTS.values(), os.environ.get("PYTHONPATH", "")]
    os.environ["PYTHONPATH"] = os.pathsep.join(filter(None, folders))
