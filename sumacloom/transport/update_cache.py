"""The updates that a daemon holds and passes on; none of them moves back within a process's life."""

import logging
import zlib
from typing import Any

from sumacloom.configuration.differences import difference, is_difference, patch
from sumacloom.configuration.model import (
    COMPRESS_FROM,
    Configuration,
    compress,
    decode_configuration,
    decompress,
)
from sumacloom.transport.link import Link
from sumacloom.transport.messages import Update
from sumacloom.transport.updates import (
    AccessUpdate,
    BackendRecord,
    PoolModeRow,
    PoolModeUpdate,
    PriorityUpdate,
    SubscriberUpdate,
    UpdateDigest,
    digest_records,
)

logger = logging.getLogger(__name__)

MAX_EARLIER = 4  # bodies of earlier configurations, from which differences are made
VERSIONED_FIELDS = (
    "configuration",
    "zone_drains",
    "priority",
    "subscribers",
    "access",
    "pool_modes",
)


def _checksum(data: bytes) -> str:
    return f"{zlib.crc32(data):08x}"


def body_checksum(compressed: bytes) -> str:
    """A checksum of a configuration's own bytes, by which nodes are compared.

    >>> body_checksum(b"{}")
    'a3a6bf43'
    """
    return _checksum(decompress(compressed)) if compressed else ""


def subscribers_checksum(subscribers: SubscriberUpdate) -> str:
    """A checksum of a list of subscribers, by which nodes are compared.

    >>> subscribers_checksum(SubscriberUpdate(1, [("desk", "books", "listening")]))
    'dc1e5497'
    """
    return _checksum(repr(sorted(map(tuple, subscribers.rows))).encode())


def pool_modes_checksum(rows: dict[str, PoolModeRow]) -> str:
    """A checksum of the pool modes, by which nodes are compared."""
    text = repr(
        [
            (row.database, row.mode, row.pinned, row.exceptions)
            for _name, row in sorted(rows.items())
        ]
    )
    return _checksum(text.encode())


class UpdateCache:
    """Configuration, zone drains, backend records and policies, with their versions.

    >>> cache = UpdateCache(); cache.apply(Update(b'{"ver": 3}', 1, ["z"], []))
    True
    >>> cache.digest().configuration, cache.digest().zone_drains
    (3, 1)
    """

    def __init__(self) -> None:
        self.configuration: Configuration | None = None
        self.compressed = b""
        self.configurations_refused = 0  # received and of no use
        self._earlier: list[tuple[int, bytes]] = []  # (ver, compressed body), the newest first
        self._bodies: dict[int, bytes] = {}  # what leads from a version to the present body
        self.zone_drains = 0
        self.zones: list[str] = []
        self.records: dict[str, BackendRecord] = {}
        self.records_digest = 0
        self.priority = PriorityUpdate(0, [], [])
        self.subscribers = SubscriberUpdate(0, [])
        self.access = AccessUpdate(0, 0, b"")
        self.pool_modes_version = 0
        self.pool_modes: dict[str, PoolModeRow] = {}

    def digest(self) -> UpdateDigest:
        """Which updates this cache holds."""
        return UpdateDigest(
            self.configuration.ver if self.configuration else 0,
            self.zone_drains,
            self.records_digest,
            self.priority.order,
            self.subscribers.version,
            self.access.order,
            self.pool_modes_version,
        )

    def databases(self) -> set[str]:
        """The databases of the configuration in force."""
        return self.configuration.databases() if self.configuration else set()

    def covers(self, digest: UpdateDigest) -> bool:
        """Whether no version of another's is above ours; records have none.

        >>> UpdateCache().covers(UpdateDigest()), UpdateCache().covers(UpdateDigest(configuration=3))
        (True, False)
        """
        own = self.digest()
        return all(getattr(own, name) >= getattr(digest, name) for name in VERSIONED_FIELDS)

    def apply(self, update: Update) -> bool:
        """Takes what is newer; returns whether anything was.

        >>> cache = UpdateCache()
        >>> cache.apply(Update(None, 2, ["z"], None)), cache.apply(Update(None, 1, [], None))
        (True, False)
        """
        changed = False
        if update.configuration is not None:
            changed = self.apply_configuration(update.configuration)
        if update.zones is not None and update.zone_drains > self.zone_drains:
            self.zone_drains, self.zones, changed = update.zone_drains, update.zones, True
        if update.priority is not None and update.priority.order > self.priority.order:
            self.priority, changed = update.priority, True
        subscribers = update.subscribers
        if subscribers is not None and subscribers.version > self.subscribers.version:
            self.subscribers, changed = subscribers, True
        if update.access is not None and update.access.order > self.access.order:
            self.access, changed = update.access, True
        if update.pool_modes is not None and self.apply_pool_modes(update.pool_modes):
            changed = True
        return bool(self.apply_records(update.records or [])) or changed

    def apply_records(self, records: list[BackendRecord]) -> list[BackendRecord]:
        """Takes backend records that are newer than ours; returns those."""
        newer = [record for record in records if self.is_newer(record)]
        if newer:
            self.records.update((record.name, record) for record in newer)
            self.refresh_records_digest()
        return newer

    def apply_configuration(self, body: bytes) -> bool:
        """Takes a body, compressed or as a difference from ours; returns False for one of no use.

        >>> cache = UpdateCache(); cache.apply_configuration(b'{"ver": 3}')
        True
        >>> cache.apply_configuration(difference(b"x", b'{"ver": 4}'))
        False
        """
        if is_difference(body):
            try:
                body = compress(patch(decompress(self.compressed), body))
            except ValueError as error:
                self.configurations_refused += 1
                logger.warning("an update of the configuration is not applied: %s", error)
                return False
        configuration = decode_configuration(body)
        if self.configuration:
            if configuration.ver <= self.configuration.ver:
                self.configurations_refused += 1
                return False
            earlier = [(self.configuration.ver, self.compressed), *self._earlier]
            self._earlier = earlier[:MAX_EARLIER]
        self.configuration, self.compressed = configuration, body
        self._bodies = {}
        return True

    def body_for(self, ver: int) -> bytes:
        """Our body for one that holds a version: as a difference where that is known and shorter.

        >>> cache = UpdateCache(); _changed = cache.apply_configuration(b'{"ver": 3}'); cache.body_for(0)
        b'{"ver": 3}'
        """
        if ver not in self._bodies:
            old = next((body for earlier, body in self._earlier if earlier == ver), None)
            if old is not None and len(self.compressed) >= COMPRESS_FROM:
                body = difference(decompress(old), decompress(self.compressed))
            else:
                body = self.compressed
            self._bodies[ver] = body
        return min(self._bodies[ver], self.compressed, key=len)

    def apply_pool_modes(self, update: PoolModeUpdate) -> bool:
        """Takes pool modes that follow on ours; others are asked for again by the digest.

        >>> cache = UpdateCache()
        >>> cache.apply_pool_modes(PoolModeUpdate(4, 3, [])), cache.apply_pool_modes(PoolModeUpdate(4, 0, []))
        (False, True)
        """
        if update.version <= self.pool_modes_version or update.base > self.pool_modes_version:
            return False
        for row in update.rows:
            if row.since > self.pool_modes_version:
                self.pool_modes[row.database] = row
        self.pool_modes_version = update.version
        return True

    def pool_modes_since(self, version: int) -> PoolModeUpdate:
        """What changed in the pool modes after a version."""
        rows = [row for row in self.pool_modes.values() if row.since > version]
        return PoolModeUpdate(self.pool_modes_version, version, rows)

    def is_newer(self, record: BackendRecord) -> bool:
        """Whether a record is newer than the one held."""
        known = self.records.get(record.name)
        return known is None or record.order > known.order

    def forget_records(self, names: list[str]) -> None:
        """Drops records whose time is up."""
        for name in names:
            self.records.pop(name, None)
        self.refresh_records_digest()

    def refresh_records_digest(self) -> None:
        """Brings the digest up to date after a change of `records`."""
        self.records_digest = digest_records(self.records.values())

    def send_newer(self, link: Link, digest: UpdateDigest) -> None:
        """Sends a far end what it lacks of `digest`, our present one; a link still full gets it later."""
        if link.digest is None or link.digest == digest or not link.send_buffer.flush():
            return
        update = self.update_for(link.digest)
        if update:
            link.send(update)
        link.digest = digest

    def update_for(self, other: UpdateDigest) -> Update | None:
        """What a daemon with that digest lacks; None if nothing."""
        own = self.digest()
        if other == own:
            return None
        newer: dict[str, Any] = {
            name: getattr(own, name) > getattr(other, name) for name in VERSIONED_FIELDS
        }
        update = Update(
            self.body_for(other.configuration) if newer["configuration"] else None,
            own.zone_drains,
            self.zones if newer["zone_drains"] else None,
            list(self.records.values()) if own.records != other.records else None,
            self.priority if newer["priority"] else None,
            self.subscribers if newer["subscribers"] else None,
            self.access if newer["access"] else None,
            self.pool_modes_since(other.pool_modes) if newer["pool_modes"] else None,
        )
        has_content = (
            update.configuration
            or update.zones is not None
            or update.records
            or update.priority
            or update.subscribers
            or update.access
            or update.pool_modes
        )
        return update if has_content else None
