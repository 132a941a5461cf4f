"""Value types that several packages share."""

from typing import NamedTuple

NEVER = -1e9  # a moment long past, in seconds on the steady clock


class Position(NamedTuple):
    """A position in a backend's replication log; an older term is behind, whatever its number.

    >>> Position(3, 900) < Position(4, 2)
    True
    """

    term: int
    number: int

    def __str__(self) -> str:
        return f"{self.term}.{self.number}"


LOG_START = Position(0, 0)


def parse_position(text: str) -> Position | None:
    """Parses TERM.NUMBER as backends write it; anything else is None.

    >>> parse_position("3.1207")
    Position(term=3, number=1207)
    >>> parse_position("-") is None
    True
    """
    term, dot, number = text.partition(".")
    if dot and term.isdigit() and number.isdigit():
        return Position(int(term), int(number))
    return None
