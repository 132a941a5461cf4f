"""Intents and verdicts of counters, on disk until their feed holds them.

A counter may send a write on a listened database only once its intent is held here. The copy at another
registrar, the `spare`, takes over if this one is lost. The feed makes a second append of one item a no-op,
so whoever holds an entry may append it: spares later, and what has no verdict only when its counter is gone.
"""

import zlib

from sumacloom.consensus import reconfiguration
from sumacloom.consensus.handlers import hears
from sumacloom.controller.delivery import subscribers
from sumacloom.controller.delivery.feed import append
from sumacloom.logs import Scribe
from sumacloom.transport.messages import Held, Intent, Noted, Spare, SpareHeld, Verdict

scribe = Scribe("spool")
SPARE_S = 0.2  # how long one spare is waited for while a counter waits, then the next is asked
SPARE_AGAIN_S = 0.4  # and how long while none does
SPARE_TURN_S = 2.0  # how much later a spare appends
GONE_S = 5.0  # a counter unheard by everyone for so long sends no verdict any more
APPEND_EVERY_S = 0.1
MOST_BATCH = 200


class Entry:
    """One intent: who has it, what became of it, and who waits for word."""

    __slots__ = (
        "asked",
        "client",
        "copied",
        "kind",
        "lacks",
        "node",
        "place",
        "sent_at",
        "since",
        "spare",
        "text",
        "unheard",
    )

    def __init__(self, node: str, text: str, kind: str, spare: bool, now: float):
        self.node, self.text, self.kind, self.spare, self.since = node, text, kind, spare, now
        self.unheard = None  # since when the counter is unheard by everyone
        self.client, self.lacks, self.place = "", set(), ""
        self.copied, self.asked, self.sent_at = (
            False,
            False,
            now,
        )  # whether another disk holds it, was asked to, and when


class Spool:
    """The entries of one registrar by (life, database, number)."""

    def __init__(self, office, records: list, now: float):
        self.office, self.entries, self.appended_at = office, {}, {}
        for kind, *rest in [found for found in records if found[0] in ("spooled", "spent")]:
            key, rest = tuple(rest[:3]), rest[3:]
            if kind == "spooled":
                self.entries[key] = Entry(*rest, now)
            else:
                self.entries.pop(key, None)

    def records(self) -> list[tuple]:
        """All entries, for a snapshot.

        >>> Spool(None, [("spooled", 7, "books", 1, "edge-1", "PUT a b", "", False)], 0.0).records()
        [('spooled', 7, 'books', 1, 'edge-1', 'PUT a b', '', False)]
        """
        return [record(key, entry) for key, entry in self.entries.items()]

    def write(self, key: tuple, entry: Entry) -> None:
        """Puts an entry on its way to the disk."""
        self.office.storage.write_records([record(key, entry)])

    def drop(self, keys: list[tuple]) -> None:
        """Forgets entries that need no more.

        >>> Spool(None, [], 0.0).drop([])
        """
        gone = {key: entry for key in keys if (entry := self.entries.pop(key, None))}
        for key, entry in gone.items():
            if entry.client and entry.kind:
                self.office.outbox.append((entry.client, Noted(key[0], key[2], key[1])))
        if gone:
            self.office.storage.write_records([("spent", *key) for key in gone])

    def sweep(self, database: str, feed) -> None:
        """The feed was decided anew: what it has seen is spent.

        >>> Spool(None, [], 0.0).sweep("books", None)
        """
        self.drop([key for key in self.entries if key[1] == database and feed.has(key[0], key[2])])


def record(key: tuple, entry: Entry) -> tuple:
    """An entry as the ledger keeps it.

    >>> record((7, "books", 1), Entry("edge-1", "PUT a b", "done", True, 0.0))
    ('spooled', 7, 'books', 1, 'edge-1', 'PUT a b', 'done', True)
    """
    return ("spooled", *key, entry.node, entry.text, entry.kind, entry.spare)


def place_of(message) -> tuple:
    """The key of what a message is about.

    >>> place_of(Held(7, 1, "books"))
    (7, 'books', 1)
    """
    return (message.life, message.database, message.number)


def take_intent(office, client: str, message: Intent, now: float) -> None:
    """A counter's intent: onto the disk here and at another registrar; then the counter hears of it."""
    spool, key = office.spool, place_of(message)
    entry = spool.entries.get(key)
    if entry is None:
        entry = spool.entries[key] = Entry(message.node, message.text, "", False, now)
        spool.write(key, entry)
    entry.client, entry.lacks, entry.since = client, {"disk"}, now
    if send_spare(office, key, entry, now):
        entry.lacks.add("spare")
    office.release(office.me, Held(*key[::2], message.database))


def send_spare(office, key: tuple, entry: Entry, now: float) -> bool:
    """Asks another registrar to hold a copy, the next one if the last was silent; False if none is heard."""
    peers = spares(office, now)
    if not peers:
        return False
    if entry.place not in peers:
        entry.place = peers[zlib.crc32(office.me.encode()) % len(peers)]
    elif entry.asked:
        entry.place = peers[(peers.index(entry.place) + 1) % len(peers)]
    entry.asked, entry.copied, entry.sent_at = True, False, now
    office.outbox.append(
        (entry.place, Spare(*key[::2], key[1], entry.text, entry.node, entry.kind))
    )
    return True


def spares(office, now: float) -> list[str]:
    """The registrars that may hold a copy: heard, hearing us, and not on their way out if others are there."""
    peers = [
        peer
        for peer in office.others()
        if office.alive(peer, now) and office.me in office.peers[peer][1].hears
    ]
    return [peer for peer in peers if office.peers[peer][1].voting] or peers


def unhanded(office) -> list[tuple]:
    """The entries that no other disk is known to hold."""
    return [key for key, entry in office.spool.entries.items() if not entry.copied]


def may_leave(office, now: float) -> bool:
    """Whether a registrar that is being stopped may end, as far as voters and spool go."""
    return reconfiguration.may_go(office, now) and (not spares(office, now) or not unhanded(office))


def take_verdict(office, client: str, message: Verdict, now: float) -> None:
    """What became of an intent, here or at a registrar that is gone.

    It is noted only once the feed has it: a verdict on one disk could be lost with that disk while its
    counter, which lives on, had already forgotten it.
    """
    spool, key = office.spool, place_of(message)
    seen = subscribers.feed_of(office, message.database).has(message.life, message.number)
    if not seen:
        entry = spool.entries.get(key)
        if entry is None:
            entry = spool.entries[key] = Entry(message.node, message.text, message.kind, False, now)
        fresh = (entry.kind, entry.spare) != (message.kind, False)
        entry.kind, entry.spare, entry.since, entry.client = message.kind, False, now, client
        if fresh:
            spool.write(key, entry)
            send_spare(office, key, entry, now)
        return
    office.release(client, Noted(message.life, message.number, message.database))


@hears(Held)
def disk_holds(office, _peer: str, message, now: float) -> None:
    """Our own disk holds an intent."""
    step_on(office, place_of(message), "disk")


@hears(SpareHeld)
def spare_holds(office, peer: str, message, now: float) -> None:
    """The other registrar's disk holds an intent."""
    key = place_of(message)
    entry = office.spool.entries.get(key)
    if entry:
        entry.copied, entry.asked, entry.place = True, False, peer
    step_on(office, key, "spare")


def step_on(office, key: tuple, what: str) -> None:
    """One thing less that the counter waits for."""
    entry = office.spool.entries.get(key)
    if entry and what in entry.lacks:
        entry.lacks.discard(what)
        if not entry.lacks:
            office.outbox.append((entry.client, Held(key[0], key[2], key[1])))


@hears(Spare)
def take_spare(office, peer: str, message, now: float) -> None:
    """Another registrar's copy."""
    spool, key = office.spool, place_of(message)
    if not subscribers.feed_of(office, message.database).has(message.life, message.number):
        held = spool.entries.get(key)
        entry = spool.entries.setdefault(key, Entry(message.node, message.text, "", True, now))
        fresh = held is None or (message.kind and message.kind != held.kind)
        entry.kind, entry.since = message.kind or entry.kind, now
        if held is None:
            entry.place, entry.copied = peer, True
        if fresh:  # asked again, it is on its way to the disk already
            spool.write(key, entry)
    office.release(peer, SpareHeld(message.life, message.number, message.database))


def ripe(office, key: tuple, entry: Entry, lives: dict, now: float) -> str:
    """What an entry may be appended as now; nothing while it must wait."""
    if entry.kind:
        return entry.kind if not entry.spare or now - entry.since >= SPARE_TURN_S else ""
    if lives.get(entry.node) == key[0]:
        entry.unheard = None
        return ""
    entry.unheard = entry.unheard or now
    return "doubtful" if now - entry.unheard >= GONE_S else ""


def mind_spool(office, now: float) -> None:
    """Has every entry held at a second disk; appends what is ripe.

    A counter waits for the second disk wherever another registrar is heard. Where none is, one must do: a side
    that is cut off goes on committing.
    """
    spool = office.spool
    if not spool.entries:
        return
    peers = spares(office, now)
    for key, entry in spool.entries.items():
        if entry.copied and peers and entry.place not in peers:
            entry.copied = False  # who held the other copy is gone
        if not entry.copied and now - entry.sent_at >= (SPARE_S if entry.lacks else SPARE_AGAIN_S):
            send_spare(office, key, entry, now)
        if not peers:
            step_on(office, key, "spare")
    if not office.settled(now):
        return
    lives, batches = office.members.lives(now), {}
    for key, entry in spool.entries.items():
        kind = ripe(office, key, entry, lives, now)
        if kind:
            batches.setdefault(key[1], []).append((key[0], key[2], entry.text, kind))
    listened = subscribers.held(office).feeds
    for database, entries in batches.items():
        feed_key = subscribers.FEEDS + database
        if database not in listened:
            spool.drop([(life, database, number) for life, number, *_rest in entries])
        elif now - spool.appended_at.get(database, -1e9) >= APPEND_EVERY_S and not any(
            proposal.key == feed_key for proposal in office.proposals
        ):
            spool.appended_at[database] = now
            office.propose(feed_key, append(sorted(entries)[:MOST_BATCH]), now)
