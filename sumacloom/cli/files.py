"""Files that commands read."""

from sumacloom.errors import UsageError


def read_file(path: str) -> bytes:
    """A file's bytes.

    Raises:
        UsageError: it can't be read.
    """
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        raise UsageError(f"the file can't be read: {error}") from error
