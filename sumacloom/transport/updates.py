"""The news that daemons hold, as msgspec structures."""

import zlib

import msgspec


class Record(msgspec.Struct, array_like=True, frozen=True):
    """What is known of one backend; (life, seq) orders what is known.

    >>> Record("i-1", "svc", "10.0.0.9:80", "z").phase
    'up'
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int = 1
    phase: str = "up"  # up draining gone
    role: str = "replica"
    cold_ms: float = 0
    life: int = 0
    seq: int = 0

    @property
    def order(self) -> tuple:
        """What makes one record newer than another.

        >>> Record("i", "s", "a", "z", life=1).order > Record("i", "s", "a", "z", seq=9).order
        True
        """
        return (self.life, self.seq)


class Digest(msgspec.Struct, array_like=True, frozen=True):
    """What news a daemon holds.

    >>> Digest(3, 1, 77) == Digest(3, 1, 77)
    True
    """

    blueprint: int = 0
    evacuations: int = 0
    records: int = 0
    lanes: int = 0
    listeners: int = 0
    access: int = 0
    pooling: int = 0


class Sighting(msgspec.Struct, array_like=True, frozen=True):
    """A replica's position as some counter saw it, and how long ago in ms.

    >>> Sighting("i-1", 3, 1207, 40).number
    1207
    """

    backend: str
    term: int
    number: int
    age_ms: int


class LaneNews(msgspec.Struct, array_like=True, frozen=True):
    """The priority lanes: which are in force, and which are offered or in force next."""

    order: int  # twice the generation, and one more once in force
    databases: list[str]
    offered: list[str]


class AccessNews(msgspec.Struct, array_like=True, frozen=True):
    """The access list: which is in force, and which is offered or in force next."""

    order: int  # twice the generation, and one more once in force
    generation: int  # of the list in force; 0: none ever was
    body: bytes  # the list in force, packed
    offered: bytes = b""  # what comes into force next, packed


class PoolRow(msgspec.Struct, array_like=True, frozen=True):
    """How the sessions of one database may share connections."""

    database: str
    mode: str  # statement transaction
    pinned: bool = False  # set by an operator: not judged
    exceptions: list[str] = []  # who is in transaction mode all the same
    since: int = 0  # the generation in which this row last changed
    strikes: int = 0  # how often a judgement was taken back


class PoolNews(msgspec.Struct, array_like=True, frozen=True):
    """What was judged of late: the rows that the receiver lacks."""

    generation: int
    base: int  # the rows are all that changed after this generation
    rows: list[PoolRow]


class ListenNews(msgspec.Struct, array_like=True, frozen=True):
    """Who listens: the whole list, with its generation."""

    generation: int
    rows: list[tuple[str, str, str]]  # name, database, state


def digest_records(records) -> int:
    """A short digest of the backends that are there; those gone don't count.

    >>> digest_records([])
    0
    """
    live = (record for record in records if record.phase != "gone")
    text = "|".join(sorted(f"{record.name}:{record.life}:{record.seq}" for record in live))
    return zlib.crc32(text.encode())
