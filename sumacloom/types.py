"""Small value types: ids, generations, positions, ballots and times."""

from typing import NamedTuple, NewType

BackendId = NewType("BackendId", str)
ServiceName = NewType("ServiceName", str)
NodeName = NewType("NodeName", str)
Generation = NewType("Generation", int)
Moment = NewType("Moment", float)  # seconds on the steady clock
Milliseconds = NewType("Milliseconds", float)


class Position(NamedTuple):
    """A place in a backend's log; an older term is behind, whatever its number.

    >>> Position(3, 900) < Position(4, 2)
    True
    """

    term: int
    number: int

    def __str__(self) -> str:
        return f"{self.term}.{self.number}"


ORIGIN = Position(0, 0)


def read_position(text: str) -> Position | None:
    """Reads TERM.NUMBER; anything else is None.

    >>> read_position("3.1207")
    Position(term=3, number=1207)
    >>> read_position("-") is None
    True
    """
    term, dot, number = text.partition(".")
    if dot and term.isdigit() and number.isdigit():
        return Position(int(term), int(number))
    return None


class Ballot(NamedTuple):
    """The order of proposals; the nonce keeps two lives of one proposer apart.

    >>> Ballot(1, "b", 7) < Ballot(2, "a", 1)
    True
    """

    round: int
    proposer: str
    nonce: int


NO_BALLOT = Ballot(0, "", 0)
