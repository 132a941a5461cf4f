"""Known positions of primaries: positions read from a backend proven to be the primary, dated by the moment of asking."""

from collections import deque

from sumacloom.types import Position

KEEP_S = 6.0
STEP_S = 0.05


class PrimaryPositions:
    """The recent anchors of one service.

    Every commit acknowledged before an anchor's date is in its position, whoever made it.

    >>> primary_positions = PrimaryPositions()
    >>> primary_positions.note(10.0, Position(3, 7)); primary_positions.note(11.0, Position(3, 9))
    >>> primary_positions.as_of(9.5)
    Position(term=3, number=7)
    >>> primary_positions.as_of(10.5)
    Position(term=3, number=9)
    >>> primary_positions.as_of(12.0) is None
    True
    """

    __slots__ = ("dated",)

    def __init__(self):
        self.dated = deque()

    def note(self, asked_at: float, position: Position) -> None:
        """Keeps an anchor; a newer one from an older term is not believed.

        >>> primary_positions = PrimaryPositions(); primary_positions.note(1.0, Position(4, 1)); primary_positions.note(2.0, Position(3, 9))
        >>> len(primary_positions.dated)
        1
        """
        dated = self.dated
        if dated:
            last_at, last = dated[-1]
            if position < last or asked_at <= last_at:
                return
            # three within a step: the middle one adds nothing
            if asked_at - last_at < STEP_S and len(dated) > 1 and last_at - dated[-2][0] < STEP_S:
                dated[-1] = (asked_at, position)
                return
        dated.append((asked_at, position))
        while dated and dated[0][0] < asked_at - KEEP_S:
            dated.popleft()

    def as_of(self, moment: float) -> Position | None:
        """The oldest anchor dated at or after the moment: the one replicas most surely hold.

        >>> PrimaryPositions().as_of(0.0) is None
        True
        """
        return next((position for date, position in self.dated if date >= moment), None)
