"""The pinned libraries: installed into target/deps if they aren't there, and found there."""

import importlib.metadata
import os
import re
import subprocess
import sys

from .conftest import ROOT

REQUIREMENTS, FOLDER = os.path.join(ROOT, "requirements.txt"), os.path.join(ROOT, "target", "deps")


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
    """Installs what is missing or of another version, and puts the folder first on the path, for child processes too."""
    with open(REQUIREMENTS, encoding="utf-8") as file:
        wanted = pinned(file.read())
    if not wanted.items() <= installed(FOLDER).items():
        subprocess.run(
            [
                sys.executable,
                "-m",
                "pip",
                "install",
                "-q",
                "-U",
                "--target",
                FOLDER,
                "-r",
                REQUIREMENTS,
            ],
            check=True,
        )
    if FOLDER not in sys.path:
        sys.path.insert(0, FOLDER)
    os.environ["PYTHONPATH"] = os.pathsep.join(filter(None, [FOLDER, os.environ.get("PYTHONPATH")]))
