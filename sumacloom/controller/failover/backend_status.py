"""What backends say of themselves, and how replicas compare."""

from typing import NamedTuple

from sumacloom.transport.updates import BackendRecord
from sumacloom.types import Position, parse_position

MAX_BEHIND, MAX_LAG_MS = 300, 1000.0  # further back, a replica would not catch up in time
STATUS_FIELDS = 7


class BackendStatus(NamedTuple):
    """The row that STAT, PAUSE, CONT and STEPDOWN answer with.

    >>> parse_status("replica 3 3.1209 0 12 2 17").position
    Position(term=3, number=1209)
    """

    role: str
    term: int
    position: Position
    paused_term: int
    lag_ms: float

    @property
    def is_primary(self) -> bool:
        """Whether the backend says that it is the primary."""
        return self.role == "primary"


Statuses = dict[BackendRecord, BackendStatus]


def parse_status(text: str) -> BackendStatus | None:
    """Parses the row; None if it is something else.

    >>> parse_status("nonsense") is None
    True
    """
    words = text.split()
    if len(words) < STATUS_FIELDS or not words[1].isdigit():
        return None
    position = parse_position(words[2])
    if position is None:
        return None
    paused_term = int(words[3]) if words[3].isdigit() else 0
    lag_ms = float(words[4]) if words[4].replace(".", "", 1).isdigit() else 0.0
    return BackendStatus(words[0], int(words[1]), position, paused_term, lag_ms)


def most_advanced(statuses: Statuses) -> BackendRecord:
    """The backend with the furthest log; among equals the one that lags least."""

    def rank(backend: BackendRecord) -> tuple[Position, float, str]:
        status = statuses[backend]
        return (status.position, -status.lag_ms, backend.name)

    return max(statuses, key=rank)


def current_primary(statuses: Statuses) -> BackendRecord | None:
    """The backend that says it is the primary, if it is of the newest term."""
    newest = max((status.term for status in statuses.values()), default=0)
    for backend, status in statuses.items():
        if status.is_primary and status.term == newest:
            return backend
    return None


def is_near(status: BackendStatus, primary: BackendStatus) -> bool:
    """Whether a replica is near enough to its primary to catch up at once.

    >>> is_near(parse_status("replica 3 3.8 0 20 0 0"), parse_status("primary 3 3.9 0 0 0 0"))
    True
    """
    behind = primary.position.number - status.position.number
    same_term = status.position.term == primary.position.term
    return same_term and behind <= MAX_BEHIND and status.lag_ms <= MAX_LAG_MS
