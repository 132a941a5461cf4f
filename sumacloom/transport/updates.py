"""The pieces of state that updates carry from the controllers to every pooler.

The order of fields is part of the wire and of stored data: fields may be renamed, not moved.
"""

import zlib
from collections.abc import Iterable

import msgspec

PHASE_UP, PHASE_DRAINING, PHASE_GONE = "up", "draining", "gone"
ROLE_PRIMARY, ROLE_REPLICA = "primary", "replica"


class BackendRecord(msgspec.Struct, array_like=True, frozen=True):
    """What is known of one backend; (incarnation, seq) orders what is known."""

    name: str
    service: str
    address: str
    zone: str
    slots: int = 1
    phase: str = PHASE_UP
    role: str = ROLE_REPLICA
    cold_ms: float = 0  # how much longer it is slow from its start
    incarnation: int = 0
    seq: int = 0

    @property
    def order(self) -> tuple[int, int]:
        """What makes one record newer than another.

        >>> old = BackendRecord("i", "s", "a", "z", seq=9)
        >>> BackendRecord("i", "s", "a", "z", incarnation=1).order > old.order
        True
        """
        return (self.incarnation, self.seq)

    @property
    def is_gone(self) -> bool:
        """Whether the backend has left, and only its tombstone is kept."""
        return self.phase == PHASE_GONE

    @property
    def is_primary(self) -> bool:
        """Whether the backend sees itself as the primary of its service."""
        return self.role == ROLE_PRIMARY


class UpdateDigest(msgspec.Struct, array_like=True, frozen=True):
    """Which updates a daemon holds: a version each, and a checksum of the backend records."""

    configuration: int = 0
    zone_drains: int = 0
    records: int = 0
    priority: int = 0
    subscribers: int = 0
    access: int = 0
    pool_modes: int = 0


class PositionObservation(msgspec.Struct, array_like=True, frozen=True):
    """A replica's log position as some pooler read it, and how long ago in ms."""

    backend: str
    term: int
    number: int
    age_ms: int


class PriorityUpdate(msgspec.Struct, array_like=True, frozen=True):
    """The priority databases: those in force, and those offered or in force next."""

    order: int  # twice the version, and one more once in force
    databases: list[str]
    offered: list[str]


class AccessUpdate(msgspec.Struct, array_like=True, frozen=True):
    """The access list: the one in force, and the one offered or in force next; both compressed."""

    order: int  # twice the version, and one more once in force
    version: int  # of the list in force; 0: none ever was
    body: bytes
    offered: bytes = b""


class PoolModeRow(msgspec.Struct, array_like=True, frozen=True):
    """How the sessions of one database may share server connections."""

    database: str
    mode: str  # statement or transaction
    pinned: bool = False  # set by an operator: not judged from behaviour
    exceptions: list[str] = []  # users in transaction mode all the same
    since: int = 0  # the version in which this row last changed
    strikes: int = 0  # how often a judgement was taken back


class PoolModeUpdate(msgspec.Struct, array_like=True, frozen=True):
    """The rows of pool modes that the receiver lacks."""

    version: int
    base: int  # the rows are all that changed after this version
    rows: list[PoolModeRow]


class SubscriberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """The whole list of subscribers: (name, database, state)."""

    version: int
    rows: list[tuple[str, str, str]]


def digest_records(records: Iterable[BackendRecord]) -> int:
    """A checksum of the backends that are there; those gone don't count.

    >>> digest_records([])
    0
    """
    present = (record for record in records if not record.is_gone)
    text = "|".join(
        sorted(f"{record.name}:{record.incarnation}:{record.seq}" for record in present)
    )
    return zlib.crc32(text.encode())
