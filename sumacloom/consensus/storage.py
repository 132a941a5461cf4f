"""What a node keeps on disk, and which messages wait until it is there.

A message deferred behind a write never leaves before that write is synced. A `synchronous` storage
syncs at once, in the caller; otherwise the process syncs whole batches in a thread of its own, so that
a disk that hangs holds up votes and nothing else.

Records are msgpack arrays whose first item is their kind. The kinds and their layouts are read back
from disks of earlier releases and never change.
"""

import logging
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

import msgspec

from sumacloom.consensus.acceptor import Acceptor, RegisterState
from sumacloom.consensus.proposal_number import NO_PROPOSAL, ProposalNumber, ProposalNumberSource
from sumacloom.consensus.quorum import INITIAL_VERSION, QuorumConfiguration
from sumacloom.errors import ForeignLogError, SumacloomError
from sumacloom.types import NEVER

logger = logging.getLogger(__name__)

FIRST_RETRY_S, MAX_RETRY_S = 1.0, 30.0  # between attempts at a snapshot that the disk refuses

# kinds of records that belong to whoever builds on the node, and how many items each has
EXTENSION_KINDS = {"spooled": 8, "spent": 4, "roster": 2}

Record = tuple[Any, ...]


class Log(Protocol):
    """What storage needs of a write-ahead log."""

    payloads: list[bytes]
    fresh: bool
    damage: SumacloomError | None

    @property
    def should_snapshot(self) -> bool:
        """Whether it is time to replace the log by a snapshot."""

    @property
    def must_snapshot(self) -> bool:
        """Whether the log may not grow before a snapshot."""

    def append(self, payloads: list[bytes]) -> None:
        """Writes and syncs records."""

    def snapshot(self, payloads: list[bytes]) -> None:
        """Replaces everything by a snapshot."""


class Deferred(NamedTuple):
    """A message that leaves once all that was written before it is synced."""

    peer: str
    message: Any


class WriteBatch(NamedTuple):
    """Records to write, and what may leave once they are synced."""

    payloads: list[bytes]
    deferred: list[Deferred]
    complete: bool = False  # all state there is: nothing written before it is needed


class Storage:
    """The writes of one node, in their order.

    >>> import tempfile; from sumacloom.wal.log import WriteAheadLog
    >>> storage = Storage(WriteAheadLog(tempfile.mkdtemp()), synchronous=False)
    >>> storage.write([b"one"]); storage.defer("b", "reply")
    True
    >>> batches = storage.pending_batches(); storage.sync(batches); storage.mark_synced(batches)
    [Deferred(peer='b', message='reply')]
    """

    def __init__(self, wal: Log, synchronous: bool = True):
        self.wal = wal
        self.synchronous = synchronous
        self.batches: list[WriteBatch] = []
        self.extension_records: list[Record] = []  # as the log had them at the start
        self.snapshot_at = NEVER
        self.retry_s = FIRST_RETRY_S

    def write(self, payloads: list[bytes], complete: bool = False) -> None:
        """Queues records for the disk; `complete` if they are all the state there is."""
        batch = WriteBatch(payloads, [], complete)
        if self.synchronous:
            self.sync([batch])
        else:
            self.batches.append(batch)

    def write_records(self, records: list[Record]) -> None:
        """Queues records of whoever builds on the node."""
        self.write([encode_record(record) for record in records])

    def defer(self, peer: str, message: Any) -> bool:
        """Holds a message back until all writes queued so far are synced; False if none is queued."""
        if self.batches:
            self.batches[-1].deferred.append(Deferred(peer, message))
        return bool(self.batches)

    def pending_batches(self) -> list[WriteBatch]:
        """The batches to sync now; they stay pending until `mark_synced`."""
        return list(self.batches)

    def sync(self, batches: list[WriteBatch]) -> None:
        """Writes and syncs; blocks on the disk. A damaged log is replaced by the first complete state.

        Raises:
            OSError: the disk refused; the same call may be made again.
        """
        complete = [index for index, batch in enumerate(batches) if batch.complete]
        if complete and self.wal.damage:
            self.wal.snapshot(batches[complete[-1]].payloads)
            batches = batches[complete[-1] + 1 :]
        if batches:
            self.wal.append([payload for batch in batches for payload in batch.payloads])

    def mark_synced(self, batches: list[WriteBatch]) -> list[Deferred]:
        """The first batches are synced; returns the messages that may leave now."""
        del self.batches[: len(batches)]
        return [deferred for batch in batches for deferred in batch.deferred]

    def snapshot_due(self, now: float) -> bool:
        """Whether to replace the log by a snapshot now; after a refusal only later, unless it must be.

        >>> import tempfile; from sumacloom.wal.log import WriteAheadLog
        >>> Storage(WriteAheadLog(tempfile.mkdtemp())).snapshot_due(0.0)
        False
        >>> Storage(WriteAheadLog(tempfile.mkdtemp(), 0)).snapshot_due(0.0)
        True
        """
        return self.wal.must_snapshot or (self.wal.should_snapshot and now >= self.snapshot_at)

    def snapshot_refused(self, now: float) -> None:
        """The disk refused a snapshot: the next attempt comes after a delay that doubles."""
        self.snapshot_at = now + self.retry_s
        self.retry_s = min(2 * self.retry_s, MAX_RETRY_S)

    def snapshot_taken(self) -> None:
        """The disk took a snapshot."""
        self.snapshot_at = NEVER
        self.retry_s = FIRST_RETRY_S


def encode_record(record: Record) -> bytes:
    """A record as the log keeps it."""
    return msgspec.msgpack.encode(record)


def meta_record(acceptor: Acceptor) -> bytes:
    """The record of voters and incarnation; a log that has it has all the state before it."""
    return encode_record(("meta", acceptor.quorum, acceptor.incarnation))


def register_record(acceptor: Acceptor, key: str, promise_only: bool = False) -> bytes:
    """The record of one register."""
    state = acceptor.register_state(key)
    if promise_only:
        return encode_record(("promise", key, state.promised))
    return encode_record(("slot", key, *state))


def promised_floor_record(acceptor: Acceptor) -> bytes:
    """The record of the promise that holds for every key."""
    return encode_record(("floor", acceptor.promised_floor))


def snapshot_records(acceptor: Acceptor) -> list[bytes]:
    """All state; the meta record comes last, and only from an acceptor that has recovered."""
    records = [promised_floor_record(acceptor)]
    records += [register_record(acceptor, key) for key in acceptor.registers]
    if acceptor.recovered:
        records.append(meta_record(acceptor))
    return records


def parse_quorum(item: Any) -> QuorumConfiguration:
    """The voters of a record; records of the first release name three seeds and no version.

    >>> parse_quorum(["a", "b"]) == parse_quorum([1, [], ["a", "b"]])
    True
    """
    if all(isinstance(voter, str) for voter in item):
        return QuorumConfiguration(INITIAL_VERSION, (), tuple(item))
    return msgspec.convert(item, QuorumConfiguration)


def restore_acceptor(
    payloads: list[bytes], extension_records: list[Record] | None = None
) -> Acceptor:
    """The acceptor as its records left it; not recovered where there is no meta record.

    Args:
        payloads: the records, oldest first.
        extension_records: takes the records that are not the acceptor's.

    Raises:
        ForeignLogError: a record is not one of ours.
    """
    acceptor = Acceptor(QuorumConfiguration(0, (), ()), 0, recovered=False)
    for payload in payloads:
        try:
            record = msgspec.msgpack.decode(payload)
            if EXTENSION_KINDS.get(record[0]) != len(record):
                _apply_record(acceptor, *record)
            elif extension_records is not None:
                extension_records.append(tuple(record))
        except (msgspec.MsgspecError, TypeError, ValueError, LookupError) as error:
            raise ForeignLogError(
                f"the write-ahead log holds a record that is not ours: {error}"
            ) from error
    return acceptor


def _apply_record(acceptor: Acceptor, kind: str, *items: Any) -> None:
    apply = _RECORD_KINDS.get(kind)
    if apply is None:
        raise ValueError(f"a record of the kind '{kind}'")
    apply(acceptor, *items)


def _apply_meta(acceptor: Acceptor, quorum: Any, incarnation: int) -> None:
    acceptor.quorum = parse_quorum(quorum)
    acceptor.incarnation = incarnation
    acceptor.recovered = True


def _apply_panel(acceptor: Acceptor, quorum: Any, *_rest: Any) -> None:
    acceptor.quorum = parse_quorum(quorum)


def _apply_floor(acceptor: Acceptor, number: Any, *_rest: Any) -> None:
    acceptor.promised_floor = max(acceptor.promised_floor, ProposalNumber(*number))


def _apply_promise(acceptor: Acceptor, key: str, promised: Any, *_rest: Any) -> None:
    state = acceptor.registers.get(key, RegisterState())
    acceptor.registers[key] = state._replace(promised=ProposalNumber(*promised))


def _apply_slot(acceptor: Acceptor, key: str, promised: Any, accepted: Any, value: Any) -> None:
    acceptor.registers[key] = RegisterState(
        ProposalNumber(*promised), ProposalNumber(*accepted), value
    )


_RECORD_KINDS: dict[str, Callable[..., None]] = {
    "meta": _apply_meta,
    "panel": _apply_panel,  # voters alone, as the second release wrote them
    "floor": _apply_floor,
    "promise": _apply_promise,
    "slot": _apply_slot,
}


def reset_state(acceptor: Acceptor, seeds: list[str]) -> None:
    """Drops whatever an incomplete log gave: nobody may vote with half of its promises."""
    acceptor.quorum = QuorumConfiguration(0, (), tuple(seeds))
    acceptor.registers = {}
    acceptor.promised_floor = NO_PROPOSAL


def bootstrap(acceptor: Acceptor, seeds: list[str], incarnation: int) -> None:
    """The very first start of the system: the seeds are the first voters."""
    acceptor.quorum = QuorumConfiguration(INITIAL_VERSION, (), tuple(seeds))
    acceptor.incarnation = incarnation
    acceptor.recovered = True


def open_acceptor(
    storage: Storage,
    proposal_numbers: ProposalNumberSource,
    seeds: list[str],
    may_bootstrap: bool,
    incarnation: int,
) -> Acceptor:
    """The acceptor as the log left it; at the very first start of the system, a new one.

    Args:
        storage: the log, just opened.
        proposal_numbers: learns of the numbers that the log holds.
        seeds: the first voters.
        may_bootstrap: whether the settings allow a first start.
        incarnation: tells this incarnation of the process from others.

    Raises:
        ForeignLogError: the log is not ours.
    """
    wal = storage.wal
    acceptor = restore_acceptor(wal.payloads, storage.extension_records)
    if isinstance(wal.damage, ForeignLogError):
        raise wal.damage
    acceptor.recovered = acceptor.recovered and not wal.damage
    for state in acceptor.registers.values():
        proposal_numbers.observe(state.promised)
    proposal_numbers.observe(acceptor.promised_floor)
    if not acceptor.recovered:
        reset_state(acceptor, seeds)
        if may_bootstrap and wal.fresh:
            bootstrap(acceptor, seeds, incarnation)
            logger.info("first start, the voters are %s", ", ".join(seeds))
            storage.write(snapshot_records(acceptor))
        else:
            why = "the disk is empty" if wal.fresh else "the log is incomplete"
            logger.warning("%s: the state is recovered from the voters before voting", why)
    wal.payloads = []
    return acceptor
