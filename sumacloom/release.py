"""Which release of the programs runs: its number, and a digest of its sources.

The build writes the text into `target/release` (`python3 -m sumacloom.release`), since hashing all
sources at each start would cost time that a start doesn't have.
"""

import functools
import hashlib
import pathlib

from sumacloom import __version__

PACKAGE = pathlib.Path(__file__).parent
RELEASE_FILE = PACKAGE.parent / "target" / "release"
DIGEST_DIGITS = 8
UNBUILT = "unbuilt"


def digest_of(package: pathlib.Path) -> str:
    """A digest of the names and contents of all Python and JSON files below a folder."""
    digest = hashlib.sha256()
    files = [path for path in package.rglob("*") if path.suffix in (".py", ".json")]
    for path in sorted(files):
        content = hashlib.sha256(path.read_bytes()).hexdigest()
        digest.update(f"{path.relative_to(package).as_posix()} {content}\n".encode())
    return digest.hexdigest()[:DIGEST_DIGITS]


def write_release(path: pathlib.Path = RELEASE_FILE, package: pathlib.Path = PACKAGE) -> str:
    """Writes the release of these sources into a file; returns the text."""
    text = f"{__version__}+{digest_of(package)}"
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(text + "\n", encoding="utf-8")
    return text


@functools.cache
def release(path: pathlib.Path = RELEASE_FILE) -> str:
    """The release that the build wrote down; its digest is `unbuilt` where none did.

    >>> release(pathlib.Path("/nowhere")) == f"{__version__}+{UNBUILT}"
    True
    """
    try:
        return path.read_text(encoding="utf-8").strip()
    except OSError:
        return f"{__version__}+{UNBUILT}"


if __name__ == "__main__":
    print(write_release())
