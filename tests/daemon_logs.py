"""What a daemon's log tells of errors that nothing expected."""

from collections.abc import Iterator


def find_errors(log: str) -> Iterator[str]:
    """Tasks that failed and began again, and tracebacks.

    >>> list(find_errors('{"message": "serving"}'))
    []
    """
    yield from (line for line in log.splitlines() if "it starts again" in line)
    for text in log.split("Traceback")[1:]:
        yield text.partition("\n{")[0]  # up to the next line of the log
