"""The delivery log: intents and outcomes of poolers, on disk until their feed holds them.

A pooler may send a write on a database with subscribers only once its intent is stored here. A replica at
another controller takes over if this one is lost. The feed makes a second append of one item a no-op, so
whoever holds an entry may append it: replicas later, and what has no outcome only when its pooler is gone.
"""

import logging
import zlib
from typing import TYPE_CHECKING, Any, NamedTuple, TypeVar

from sumacloom.controller.delivery.feed import DOUBTFUL, Feed, FeedEntry, append
from sumacloom.controller.registers import FEED_PREFIX
from sumacloom.transport.messages import (
    DeliveryIntent,
    DeliveryOutcome,
    IntentReplica,
    IntentStored,
    OutcomeAcknowledged,
    ReplicaStored,
)
from sumacloom.types import NEVER

if TYPE_CHECKING:
    from sumacloom.controller.core import ControllerCore

logger = logging.getLogger(__name__)

REPLICA_TIMEOUT_S = 0.2  # while a pooler waits; then the next controller is asked
REPLICA_RETRY_S = 0.4  # while none does
REPLICA_DELAY_S = 2.0  # how much later a replica appends
LOST_POOLER_S = 5.0  # a pooler unheard by everyone for so long sends no outcome any more
APPEND_EVERY_S = 0.1
MAX_BATCH = 200

STORED_RECORD, SPENT_RECORD = "spooled", "spent"  # kinds of our records in the log


Notice = TypeVar("Notice", IntentStored, OutcomeAcknowledged, ReplicaStored)


class EntryKey(NamedTuple):
    """What tells one write from another; in the order of stored records."""

    incarnation: int
    database: str
    number: int

    def notice(self, kind: type[Notice]) -> Notice:
        """The message of that kind about this write."""
        return kind(self.incarnation, self.number, self.database)


def key_of(message: Any) -> EntryKey:
    """The key of what a message is about."""
    return EntryKey(message.incarnation, message.database, message.number)


class DeliveryEntry:
    """One intent.

    Attributes:
        node: the pooler.
        kind: what became of the write; "" while that is unknown.
        is_replica: whether this is another controller's replica.
        client: the pooler's session here, if it waits for a reply.
        waits_for: what the pooler still waits for: "disk", "replica".
        replica_at: the controller that holds, or is asked to hold, the other copy.
        replicated: whether another disk is known to hold it.
    """

    __slots__ = (
        "client",
        "is_replica",
        "kind",
        "node",
        "replica_at",
        "replicated",
        "request_sent_at",
        "requested",
        "since",
        "text",
        "unheard_since",
        "waits_for",
    )

    def __init__(self, node: str, text: str, kind: str, is_replica: bool, now: float):
        self.node = node
        self.text = text
        self.kind = kind
        self.is_replica = is_replica
        self.since = now
        self.unheard_since: float | None = None
        self.client = ""
        self.waits_for: set[str] = set()
        self.replica_at = ""
        self.replicated = self.requested = False
        self.request_sent_at = now

    def record(self, key: EntryKey) -> tuple:
        """The entry as the log keeps it."""
        return (STORED_RECORD, *key, self.node, self.text, self.kind, self.is_replica)


class DeliveryLog:
    """The entries of one controller."""

    def __init__(self, core: "ControllerCore", records: list[tuple], now: float):
        self._core = core
        self.entries: dict[EntryKey, DeliveryEntry] = {}
        self.appended_at: dict[str, float] = {}
        for kind, *items in records:
            if kind == STORED_RECORD:
                incarnation, database, number, node, text, outcome, is_replica = items
                key = EntryKey(incarnation, database, number)
                self.entries[key] = DeliveryEntry(node, text, outcome, is_replica, now)
            elif kind == SPENT_RECORD:
                self.entries.pop(EntryKey(*items[:3]), None)

    # ------------------------------------------------------------ disk
    def records(self) -> list[tuple]:
        """All entries, for a snapshot.

        >>> record = ("spooled", 7, "books", 1, "edge-1", "PUT a b", "", False)
        >>> DeliveryLog(None, [record], 0.0).records() == [record]
        True
        """
        return [entry.record(key) for key, entry in self.entries.items()]

    def _write(self, key: EntryKey, entry: DeliveryEntry) -> None:
        self._core.storage.write_records([entry.record(key)])

    def drop(self, keys: list[EntryKey]) -> None:
        """Forgets entries that need no more, and tells the poolers that wait."""
        dropped = []
        for key in keys:
            entry = self.entries.pop(key, None)
            if entry is None:
                continue
            dropped.append(key)
            if entry.client and entry.kind:
                self._core.send(entry.client, key.notice(OutcomeAcknowledged))
        if dropped:
            self._core.storage.write_records([(SPENT_RECORD, *key) for key in dropped])

    def apply_feed(self, database: str, feed: Feed) -> None:
        """A feed was committed anew: what it has seen is spent."""
        self.drop(
            [
                key
                for key in self.entries
                if key.database == database and feed.has_seen(key.incarnation, key.number)
            ]
        )

    # ------------------------------------------------------------ poolers
    def take_intent(self, client: str, message: DeliveryIntent, now: float) -> None:
        """A pooler's intent: onto the disk here and at another controller; then the pooler hears of it."""
        key = key_of(message)
        entry = self.entries.get(key)
        if entry is None:
            entry = DeliveryEntry(message.node, message.text, "", False, now)
            self.entries[key] = entry
            self._write(key, entry)
        entry.client, entry.since = client, now
        entry.waits_for = {"disk"}
        if self._request_replica(key, entry, now):
            entry.waits_for.add("replica")
        self._core.send_when_synced(self._core.me, key.notice(IntentStored))

    def take_outcome(self, client: str, message: DeliveryOutcome, now: float) -> None:
        """What became of an intent, here or at a controller that is gone.

        It is acknowledged only once the feed has it: an outcome on one disk could be lost with that disk
        while its pooler, which lives on, had already forgotten it.
        """
        key = key_of(message)
        if self._feed_has(key):
            self._core.send_when_synced(client, key.notice(OutcomeAcknowledged))
            return
        entry = self.entries.get(key)
        if entry is None:  # not written: its pooler repeats it until the feed has it
            entry = DeliveryEntry(message.node, message.text, message.kind, False, now)
            self.entries[key] = entry
        changed = (entry.kind, entry.is_replica) != (message.kind, False)
        entry.kind, entry.is_replica = message.kind, False
        entry.since, entry.client = now, client
        if changed:
            self._write(key, entry)
            self._request_replica(key, entry, now)

    def _feed_has(self, key: EntryKey) -> bool:
        feed = self._core.subscriptions.feed(key.database)
        return feed.has_seen(key.incarnation, key.number)

    # ------------------------------------------------------------ replicas
    def replica_candidates(self, now: float) -> list[str]:
        """The controllers that may hold a replica: in contact both ways, not leaving if others are there."""
        core = self._core
        peers = [
            peer
            for peer in core.peer_addresses()
            if core.is_alive(peer, now) and core.acknowledges_us(peer)
        ]
        return [peer for peer in peers if core.peers[peer].heartbeat.voting] or peers

    def _request_replica(self, key: EntryKey, entry: DeliveryEntry, now: float) -> bool:
        """Asks another controller to hold a replica, the next one if the last was silent.

        Returns:
            False if no other controller is in contact.
        """
        peers = self.replica_candidates(now)
        if not peers:
            return False
        if entry.replica_at not in peers:
            entry.replica_at = peers[zlib.crc32(self._core.me.encode()) % len(peers)]
        elif entry.requested:
            entry.replica_at = peers[(peers.index(entry.replica_at) + 1) % len(peers)]
        entry.requested, entry.replicated, entry.request_sent_at = True, False, now
        replica = IntentReplica(
            key.incarnation, key.number, key.database, entry.text, entry.node, entry.kind
        )
        self._core.send(entry.replica_at, replica)
        return True

    def handle_intent_stored(self, _peer: str, message: IntentStored, now: float) -> None:
        """Our own disk holds an intent."""
        self._done_waiting(key_of(message), "disk")

    def handle_replica_stored(self, peer: str, message: ReplicaStored, now: float) -> None:
        """Another controller's disk holds an intent."""
        key = key_of(message)
        entry = self.entries.get(key)
        if entry:
            entry.replicated, entry.requested, entry.replica_at = True, False, peer
        self._done_waiting(key, "replica")

    def _done_waiting(self, key: EntryKey, what: str) -> None:
        entry = self.entries.get(key)
        if entry is None or what not in entry.waits_for:
            return
        entry.waits_for.discard(what)
        if not entry.waits_for:
            self._core.send(entry.client, key.notice(IntentStored))

    def handle_replica(self, peer: str, message: IntentReplica, now: float) -> None:
        """Another controller asks us to hold a replica."""
        key = key_of(message)
        if not self._feed_has(key):
            self._take_replica(key, peer, message, now)
        self._core.send_when_synced(peer, key.notice(ReplicaStored))

    def _take_replica(self, key: EntryKey, peer: str, message: IntentReplica, now: float) -> None:
        known = self.entries.get(key)
        if known is None:
            entry = DeliveryEntry(message.node, message.text, message.kind, True, now)
            entry.replica_at, entry.replicated = peer, True
            self.entries[key] = entry
            self._write(key, entry)
            return
        changed = bool(message.kind) and message.kind != known.kind
        known.kind = message.kind or known.kind
        known.since = now
        if changed:  # asked again, it is on its way to the disk already
            self._write(key, known)

    def unreplicated(self) -> list[EntryKey]:
        """The entries that no other disk is known to hold."""
        return [key for key, entry in self.entries.items() if not entry.replicated]

    def may_leave(self, now: float) -> bool:
        """Whether a controller that is being stopped may end, as far as its entries go."""
        return not self.replica_candidates(now) or not self.unreplicated()

    # ------------------------------------------------------------ timers
    def ripe_kind(
        self, key: EntryKey, entry: DeliveryEntry, incarnations: dict[str, int], now: float
    ) -> str:
        """What an entry may be appended as now; "" while it must wait."""
        if entry.kind:
            waits = entry.is_replica and now - entry.since < REPLICA_DELAY_S
            return "" if waits else entry.kind
        if incarnations.get(entry.node) == key.incarnation:
            entry.unheard_since = None
            return ""
        entry.unheard_since = entry.unheard_since or now
        return DOUBTFUL if now - entry.unheard_since >= LOST_POOLER_S else ""

    def on_timer(self, now: float) -> None:
        """Has every entry held at a second disk, and appends what is ripe."""
        if not self.entries:
            return
        self._maintain_replicas(now)
        if self._core.in_quorum(now):
            self._append_ripe(now)

    def _maintain_replicas(self, now: float) -> None:
        """A pooler waits for the second disk wherever another controller is in contact.

        Where none is, one disk must do: a side that is partitioned goes on committing.
        """
        peers = self.replica_candidates(now)
        for key, entry in self.entries.items():
            if entry.replicated and peers and entry.replica_at not in peers:
                entry.replicated = False  # who held the other copy is gone
            retry_s = REPLICA_TIMEOUT_S if entry.waits_for else REPLICA_RETRY_S
            if not entry.replicated and now - entry.request_sent_at >= retry_s:
                self._request_replica(key, entry, now)
            if not peers:
                self._done_waiting(key, "replica")

    def _append_ripe(self, now: float) -> None:
        core = self._core
        incarnations = core.members.incarnations(now)
        batches: dict[str, list[FeedEntry]] = {}
        for key, entry in self.entries.items():
            kind = self.ripe_kind(key, entry, incarnations, now)
            if kind:
                item = FeedEntry(key.incarnation, key.number, entry.text, kind)
                batches.setdefault(key.database, []).append(item)
        subscribed = core.subscriptions.value().feeds
        for database, items in batches.items():
            if database not in subscribed:
                self.drop([EntryKey(item.incarnation, database, item.number) for item in items])
                continue
            last = self.appended_at.get(database, NEVER)
            feed_key = FEED_PREFIX + database
            if now - last >= APPEND_EVERY_S and not core.is_busy(feed_key):
                self.appended_at[database] = now
                core.propose(feed_key, append(sorted(items)[:MAX_BATCH]), now)
