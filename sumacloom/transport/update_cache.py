"""The news a daemon holds and passes on; none of it ever moves back within a process life."""

import zlib

from sumacloom.configuration.differences import MARK, differ, patch
from sumacloom.configuration.model import (
    PACK_FROM,
    Blueprint,
    decode_blueprint,
    pack_blueprint,
    unpack_blueprint,
)
from sumacloom.transport.messages import News
from sumacloom.transport.updates import (
    AccessNews,
    Digest,
    LaneNews,
    ListenNews,
    PoolNews,
    PoolRow,
    Record,
    digest_records,
)

MOST_PAST = 4
GENERATIONS = ("blueprint", "evacuations", "lanes", "listeners", "access", "pooling")


def body_digest(packed: bytes) -> str:
    """A short digest of a blueprint's own bytes, by which nodes are compared.

    >>> body_digest(b"{}")
    'a3a6bf43'
    """
    return f"{zlib.crc32(unpack_blueprint(packed)):08x}" if packed else ""


def list_digest(listeners: ListenNews) -> str:
    """A short digest of a subscriber list, by which nodes are compared.

    >>> list_digest(ListenNews(1, [("desk", "books", "listening")]))
    'dc1e5497'
    """
    return f"{zlib.crc32(repr(sorted(map(tuple, listeners.rows))).encode()):08x}"


def pool_digest(rows: dict[str, PoolRow]) -> str:
    """A short digest of the modes, by which nodes are compared.

    >>> pool_digest({}) == pool_digest({})
    True
    """
    text = repr(
        [
            (row.database, row.mode, row.pinned, row.exceptions)
            for _name, row in sorted(rows.items())
        ]
    )
    return f"{zlib.crc32(text.encode()):08x}"


class Board:
    """Blueprint, evacuations and backend records, with their generations.

    >>> board = Board(); board.take(News(b'{"ver": 3}', 1, ["z"], []))
    True
    >>> board.digest()
    Digest(blueprint=3, evacuations=1, records=0, lanes=0, listeners=0, access=0, pooling=0)
    """

    def __init__(self):
        self.blueprint: Blueprint | None = None
        self.packed = b""
        self.past: list[tuple[int, bytes]] = []  # (ver, packed body) of late, the newest first
        self.differences: dict[int, bytes] = {}  # what leads from one of those to the present body
        self.evacuations = 0
        self.zones: list[str] = []
        self.records: dict[str, Record] = {}
        self.known_digest = 0
        self.lanes = LaneNews(0, [], [])
        self.listeners = ListenNews(0, [])
        self.access = AccessNews(0, 0, b"")
        self.pooling, self.pool_rows = 0, {}

    def digest(self) -> Digest:
        """What this board holds.

        >>> Board().digest()
        Digest(blueprint=0, evacuations=0, records=0, lanes=0, listeners=0, access=0, pooling=0)
        """
        return Digest(
            self.blueprint.ver if self.blueprint else 0,
            self.evacuations,
            self.known_digest,
            self.lanes.order,
            self.listeners.generation,
            self.access.order,
            self.pooling,
        )

    def holds(self, digest: Digest) -> bool:
        """Whether no generation of another's is above ours; records have none.

        >>> Board().holds(Digest()), Board().holds(Digest(blueprint=3))
        (True, False)
        """
        ours = self.digest()
        return all(getattr(ours, name) >= getattr(digest, name) for name in GENERATIONS)

    def take(self, news: News) -> bool:
        """Takes what is newer; tells whether anything was.

        >>> board = Board(); board.take(News(None, 2, ["z"], None)), board.take(News(None, 1, [], None))
        (True, False)
        """
        changed = False
        if news.blueprint is not None:
            changed = self.take_blueprint(news.blueprint)
        if news.zones is not None and news.evacuations > self.evacuations:
            self.evacuations, self.zones, changed = news.evacuations, news.zones, True
        if news.lanes is not None and news.lanes.order > self.lanes.order:
            self.lanes, changed = news.lanes, True
        if news.listeners is not None and news.listeners.generation > self.listeners.generation:
            self.listeners, changed = news.listeners, True
        if news.access is not None and news.access.order > self.access.order:
            self.access, changed = news.access, True
        if news.pooling is not None and self.take_pooling(news.pooling):
            changed = True
        newer = [record for record in news.records or () if self.newer(record)]
        if newer:
            self.records.update((record.name, record) for record in newer)
            self.known_digest = digest_records(self.records.values())
            changed = True
        return changed

    def take_blueprint(self, told: bytes) -> bool:
        """Takes a body, packed or as it differs from ours; an older one, or a difference of another, changes nothing.

        >>> board = Board(); board.take_blueprint(b'{"ver": 3}'), board.take_blueprint(differ(b"x", b'{"ver": 4}'))
        (True, False)
        """
        if told.startswith(MARK):
            try:
                told = pack_blueprint(patch(unpack_blueprint(self.packed), told))
            except ValueError:
                return False
        blueprint = decode_blueprint(told)
        if self.blueprint and blueprint.ver <= self.blueprint.ver:
            return False
        if self.blueprint:
            self.past = [(self.blueprint.ver, self.packed), *self.past][:MOST_PAST]
        self.blueprint, self.packed, self.differences = blueprint, told, {}
        return True

    def body_for(self, ver: int) -> bytes:
        """Our body for one that holds a generation: as it differs from that, where we know it and that is shorter.

        >>> board = Board(); _took = board.take_blueprint(b'{"ver": 3}'); board.body_for(0)
        b'{"ver": 3}'
        """
        if ver not in self.differences:
            old = next((packed for kept, packed in self.past if kept == ver), None)
            shorter = old is not None and len(self.packed) >= PACK_FROM
            self.differences[ver] = (
                differ(unpack_blueprint(old), unpack_blueprint(self.packed))
                if shorter
                else self.packed
            )
        return min(self.differences[ver], self.packed, key=len)

    def take_pooling(self, news: PoolNews) -> bool:
        """Takes judgements of pool modes that follow on ours; others are asked for again by the digest.

        >>> board = Board(); board.take_pooling(PoolNews(4, 3, [])), board.take_pooling(PoolNews(4, 0, []))
        (False, True)
        """
        if news.generation <= self.pooling or news.base > self.pooling:
            return False
        self.pool_rows.update((row.database, row) for row in news.rows if row.since > self.pooling)
        self.pooling = news.generation
        return True

    def pool_news(self, generation: int) -> PoolNews:
        """What changed in the pool modes after a generation.

        >>> Board().pool_news(0)
        PoolNews(generation=0, base=0, rows=[])
        """
        return PoolNews(
            self.pooling,
            generation,
            [row for row in self.pool_rows.values() if row.since > generation],
        )

    def newer(self, record: Record) -> bool:
        """Whether a record is newer than the one held.

        >>> Board().newer(Record("i", "s", "a", "z"))
        True
        """
        held = self.records.get(record.name)
        return held is None or record.order > held.order

    def forget(self, names) -> None:
        """Drops records whose time is up.

        >>> Board().forget(["i"])
        """
        for name in names:
            self.records.pop(name, None)
        self.known_digest = digest_records(self.records.values())

    def news_for(self, held: Digest) -> News | None:
        """What a daemon with that digest lacks; None if nothing.

        >>> Board().news_for(Digest()) is None
        True
        """
        mine = self.digest()
        if held == mine:
            return None
        news = News(
            self.body_for(held.blueprint) if mine.blueprint > held.blueprint else None,
            mine.evacuations,
            self.zones if mine.evacuations > held.evacuations else None,
            list(self.records.values()) if mine.records != held.records else None,
            self.lanes if mine.lanes > held.lanes else None,
            self.listeners if mine.listeners > held.listeners else None,
            self.access if mine.access > held.access else None,
            self.pool_news(held.pooling) if mine.pooling > held.pooling else None,
        )
        told = (
            news.blueprint
            or news.zones is not None
            or news.records
            or news.lanes
            or news.listeners
            or news.access
            or news.pooling
        )
        return news if told else None
