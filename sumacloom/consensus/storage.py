"""What a registrar keeps on disk, and what waits for it.

Nothing that was put behind a write leaves before that write is synced. With `prompt` the sync happens
at once, in the same thread; without it the shell syncs whole batches in a thread of its own, so that a
disk that hangs holds up nothing but votes.
"""

from typing import NamedTuple

import msgspec

from sumacloom.consensus.acceptor import Acceptor, Slot
from sumacloom.consensus.quorum import Configuration
from sumacloom.errors import Err, Ok, mishap
from sumacloom.logs import Scribe
from sumacloom.types import NO_BALLOT, Ballot

scribe = Scribe("office")
FIRST_PAUSE_S, MOST_PAUSE_S = 1.0, 30.0  # between tries of a snapshot that the disk refuses
OTHER_KINDS = {
    "spooled": 8,
    "spent": 4,
    "roster": 2,
}  # not the acceptor's, and how long such a record is


def encode(record: tuple) -> bytes:
    """A record as the ledger keeps it.

    >>> encode(("spent", 7, "books", 1))[:7]
    b'\\x94\\xa5spent'
    """
    return msgspec.msgpack.encode(record)


class ForeignLedger(Exception):
    """The ledger holds what is not ours; `found` is the numbered mishap."""

    def __init__(self, found):
        super().__init__(found.sentence)
        self.found = found


class Batch(NamedTuple):
    """Records to write, and what may leave once they are on disk.

    >>> Batch([b"one"], []).after
    []
    """

    payloads: list
    after: list
    whole: bool = False  # everything there is, so that nothing before it is needed


class Storage:
    """The writes of one registrar, in their order.

    >>> import tempfile; from sumacloom.wal.log import Ledger
    >>> storage = Storage(Ledger(tempfile.mkdtemp()), prompt=False); storage.write([b"one"]); storage.hold("b", "reply")
    True
    >>> batches = storage.take(); storage.sync(batches); storage.written(batches)
    [('b', 'reply')]
    """

    def __init__(self, ledger, prompt: bool = True):
        self.ledger, self.prompt = ledger, prompt
        self.batches: list[Batch] = []
        self.others: list[tuple] = []  # records of the spool and the roster, as the ledger had them
        self.snapshot_taken()

    def write(self, payloads: list, whole: bool = False) -> None:
        """Puts records on their way to the disk; `whole` if they are everything there is."""
        batch = Batch(payloads, [], whole)
        if self.prompt:
            self.sync([batch])
        else:
            self.batches.append(batch)

    def write_records(self, records: list[tuple]) -> None:
        """Puts records of the spool or the roster on their way to the disk."""
        self.write([encode(record) for record in records])

    def hold(self, peer: str, message) -> bool:
        """Keeps a message back until all that was written before it is synced; False if nothing is unsynced.

        >>> Storage(None).hold("b", "reply")
        False
        """
        if self.batches:
            self.batches[-1].after.append((peer, message))
        return bool(self.batches)

    def take(self) -> list[Batch]:
        """The batches to sync now; they count as unsynced until `written`.

        >>> Storage(None).take()
        []
        """
        return list(self.batches)

    def sync(self, batches: list[Batch]) -> None:
        """Writes and syncs; this is what waits for the disk. A damaged ledger gets a snapshot once all is learned anew."""
        learned = [place for place, batch in enumerate(batches) if batch.whole]
        if learned and self.ledger.damaged:
            self.ledger.snapshot(batches[learned[-1]].payloads)
            batches = batches[learned[-1] + 1 :]
        if batches:
            self.ledger.append([payload for batch in batches for payload in batch.payloads])

    def snapshot_due(self, now: float) -> bool:
        """Whether the log is to be replaced by a snapshot now; after a refusal only some time later, unless all waits for it.

        >>> import tempfile; from sumacloom.wal.log import Ledger
        >>> Storage(Ledger(tempfile.mkdtemp())).snapshot_due(0.0), Storage(Ledger(tempfile.mkdtemp(), 0)).snapshot_due(0.0)
        (False, True)
        """
        return self.ledger.crowded or (self.ledger.full and now >= self.snapshot_at)

    def snapshot_refused(self, now: float) -> None:
        """The disk refused one: the next try comes after a growing pause.

        >>> storage = Storage(None); storage.snapshot_refused(1.0); storage.snapshot_refused(2.0); storage.snapshot_at
        4.0
        """
        self.snapshot_at = now + self.pause_s
        self.pause_s = min(2 * self.pause_s, MOST_PAUSE_S)

    def snapshot_taken(self) -> None:
        """The disk took one.

        >>> storage = Storage(None); storage.snapshot_refused(1.0); storage.snapshot_taken(); storage.pause_s
        1.0
        """
        self.snapshot_at, self.pause_s = -1e9, FIRST_PAUSE_S

    def written(self, batches: list[Batch]) -> list[tuple]:
        """The batches are synced: gives what may leave now.

        >>> Storage(None).written([])
        []
        """
        del self.batches[: len(batches)]
        return [held for batch in batches for held in batch.after]


def meta_record(acceptor: Acceptor) -> bytes:
    """The record that says who votes, and in which incarnation; whoever finds it finds all before it.

    >>> meta_record(Acceptor(Configuration(1, (), ("a",)), 1))[:6]
    b'\\x93\\xa4meta'
    """
    return msgspec.msgpack.encode(("meta", acceptor.configuration, acceptor.incarnation))


def slot_record(acceptor: Acceptor, key: str, promise_only: bool = False) -> bytes:
    """The record of one key.

    >>> slot_record(Acceptor(Configuration(1, (), ("a",)), 1), "k")[:6]
    b'\\x95\\xa4slot'
    """
    slot = acceptor.slot(key)
    return msgspec.msgpack.encode(
        ("promise", key, slot.promised) if promise_only else ("slot", key, *slot)
    )


def floor_record(acceptor: Acceptor) -> bytes:
    """The record of the promise that holds for every key.

    >>> floor_record(Acceptor(Configuration(1, (), ("a",)), 1))[:7]
    b'\\x92\\xa5floor'
    """
    return msgspec.msgpack.encode(("floor", acceptor.floor))


def whole(acceptor: Acceptor) -> list[bytes]:
    """Everything, for a snapshot or after learning; the meta record comes last, and only from who has learned.

    >>> len(whole(Acceptor(Configuration(1, (), ("a",)), 1)))
    2
    """
    return [
        floor_record(acceptor),
        *(slot_record(acceptor, key) for key in acceptor.slots),
        *([meta_record(acceptor)] if acceptor.learned else []),
    ]


def read_configuration(found) -> Configuration:
    """The voters of a record; records of the first version name three seeds and no generation.

    >>> read_configuration(["a", "b"]) == read_configuration([1, [], ["a", "b"]])
    True
    """
    if all(isinstance(voter, str) for voter in found):
        return Configuration(1, (), tuple(found))
    return msgspec.convert(found, Configuration)


def open_acceptor(payloads: list[bytes], others: list | None = None):
    """The acceptor as the ledger left it, unlearned where there is no meta record; Err for foreign records.

    Records of the spool and the roster go to `others`.

    >>> open_acceptor([]).ok().learned, open_acceptor([b"nonsense"]).err().name
    (False, 'ledger_foreign')
    """
    acceptor = Acceptor(Configuration(0, (), ()), 0, learned=False)
    for payload in payloads:
        try:
            found = msgspec.msgpack.decode(payload)
            if found[0] in OTHER_KINDS and len(found) == OTHER_KINDS[found[0]]:
                others is None or others.append(tuple(found))
            else:
                take_record(acceptor, *found)
        except (msgspec.MsgspecError, TypeError, ValueError, LookupError) as error:
            return Err(
                mishap("ledger_foreign", f"the ledger holds a record that is not ours: {error}")
            )
    return Ok(acceptor)


def take_record(acceptor: Acceptor, kind: str, *rest) -> None:
    """Takes one record of the ledger.

    >>> take_record(Acceptor(Configuration(0, (), ()), 0), "nonsense")
    Traceback (most recent call last):
    ValueError: a record of the kind 'nonsense'
    """
    if kind == "meta":
        acceptor.configuration, acceptor.incarnation, acceptor.learned = (
            read_configuration(rest[0]),
            rest[1],
            True,
        )
    elif kind == "panel":  # its name on disk in the second version
        acceptor.configuration = read_configuration(rest[0])
    elif kind == "floor":
        acceptor.floor = max(acceptor.floor, Ballot(*rest[0]))
    elif kind == "promise":
        acceptor.slots[rest[0]] = acceptor.slots.get(rest[0], Slot())._replace(
            promised=Ballot(*rest[1])
        )
    elif kind == "slot":
        key, promised, accepted, value = rest
        acceptor.slots[key] = Slot(Ballot(*promised), Ballot(*accepted), value)
    else:
        raise ValueError(f"a record of the kind '{kind}'")


def after_start(
    acceptor: Acceptor, settings, seeds: list[str], nonce: int, fresh: bool
) -> list[bytes]:
    """What an acceptor just opened becomes: a first start, or a voter that must learn. Gives records to write.

    >>> from sumacloom.settings import Settings
    >>> acceptor = Acceptor(Configuration(0, (), ()), 0, learned=False)
    >>> len(after_start(acceptor, Settings("n", "r", "a", "z", bootstrap=True), ["a"], 7, True)), acceptor.configuration.new
    (2, ('a',))
    """
    if acceptor.learned:
        return []
    acceptor.configuration, acceptor.slots, acceptor.floor = (
        Configuration(0, (), tuple(seeds)),
        {},
        NO_BALLOT,
    )
    if settings.bootstrap and fresh:
        acceptor.configuration = Configuration(1, (), tuple(seeds))
        acceptor.incarnation, acceptor.learned = nonce, True
        scribe.say("first start, the voters are %s", ", ".join(seeds))
        return whole(acceptor)
    scribe.warn(
        "%s: learning from the voters before voting",
        "the disk is empty" if fresh else "the disk holds less than a whole memory",
    )
    return []
