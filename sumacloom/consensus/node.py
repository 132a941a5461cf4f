"""One controller's part in the consensus: acceptor, proposals, voters and storage put together.

No sockets: inputs are the methods, messages to peers gather in `outbox`. What a committed value means
is for whoever builds on this class: see `apply_committed`, `keys` and `snapshot_records`.
"""

import logging
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from sumacloom.consensus import storage
from sumacloom.consensus.codec import Change, Value, decode, unchanged
from sumacloom.consensus.contact import PeerContact, PeerState
from sumacloom.consensus.messages import (
    Accept,
    Accepted,
    Committed,
    CommittedValue,
    FetchCommitted,
    Prepare,
    Promise,
    QuorumChanged,
    ReadReply,
    ReadRequest,
    Rejected,
    StateRequest,
    StateTransfer,
)
from sumacloom.consensus.proposal import CommittedRegister, Outcome, Proposal, VoterMessage
from sumacloom.consensus.proposal_number import NO_PROPOSAL, ProposalNumber, ProposalNumberSource
from sumacloom.consensus.quorum import QuorumConfiguration
from sumacloom.consensus.reconfiguration import VOTERS_KEY, Reconfiguration
from sumacloom.consensus.recovery import INCARNATION_BITS, StateRecovery
from sumacloom.consensus.storage import Log, Storage, WriteBatch
from sumacloom.consensus.validation import is_credible
from sumacloom.errors import RecoveringError
from sumacloom.settings import Settings, seed_hosts
from sumacloom.types import NEVER

logger = logging.getLogger(__name__)

ALIVE_S = 1.1  # a peer is alive if a heartbeat of it came within this time
KNOWN_S = 30.0  # a controller that nobody has named for so long is no longer dialled
COMPLETE_EVERY_S = 0.6  # how often values accepted but not known to be committed are looked for
CONTACT_NUMBER_MASK = 0x3FFFFFFF

Handler = Callable[[str, Any, float], None]
"""Handles a peer's message: (peer, message, now)."""


class Outgoing(NamedTuple):
    """A message for a peer, by its address."""

    peer: str
    message: Any


class ConsensusNode:
    """One voter, or one that would vote.

    Attributes:
        me: our address, the name that voters and peers go by.
        committed: per key, the newest value known to be committed.
        peers: the newest heartbeat of each peer, put there by whoever reads heartbeats.
        known_at: controllers, and when each was last heard or named by another.
        outbox: messages to send, taken by the process.
    """

    def __init__(self, settings: Settings, wal: Log, source: random.Random, now: float):
        self.settings = settings
        self.storage = Storage(wal)
        self.now = self.started_at = now
        self.me = settings.ip
        self.random = source
        self.nonce = source.getrandbits(INCARNATION_BITS)
        self.seeds = seed_hosts(settings.seeds)
        self.proposal_numbers = ProposalNumberSource(self.me, self.nonce, source)
        self.committed: dict[str, CommittedRegister] = {}
        self.proposals: list[Proposal] = []
        self.outbox: list[Outgoing] = []
        self.peers: dict[str, PeerState] = {}
        self.known_at: dict[str, float] = {}
        self.completed_at = NEVER
        self.contact = PeerContact(self.nonce & CONTACT_NUMBER_MASK)
        self.recovery = StateRecovery(self)
        self.reconfiguration = Reconfiguration(self, now)
        self.handlers: dict[type, Handler] = {
            Prepare: self._handle_request,
            Accept: self._handle_request,
            ReadRequest: self._handle_request,
            Promise: self._handle_reply,
            Accepted: self._handle_reply,
            Rejected: self._handle_reply,
            ReadReply: self._handle_reply,
            Committed: self.handle_committed,
            FetchCommitted: self._handle_fetch,
            CommittedValue: self._handle_committed_value,
            QuorumChanged: self.reconfiguration.handle_quorum_changed,
            StateRequest: self.recovery.handle_request,
            StateTransfer: self.recovery.handle_transfer,
        }
        self.acceptor = storage.open_acceptor(
            self.storage, self.proposal_numbers, self.seeds, settings.bootstrap, self.nonce
        )

    # ------------------------------------------------------------ for whoever builds on this
    def apply_committed(self, key: str, value: bytes, now: float) -> None:
        """Puts a committed value to use here."""
        if key == VOTERS_KEY:
            quorum = decode(QuorumConfiguration, value)
            if quorum is not None:
                self.apply_quorum(quorum, now)

    def fixed_keys(self) -> tuple[str, ...]:
        """The keys that every node has, whatever its registers hold."""
        return (VOTERS_KEY,)

    def keys(self) -> list[str]:
        """The keys of all registers in use, the voters among them."""
        return list(self.fixed_keys())

    def snapshot_records(self) -> list[bytes]:
        """All state, as a snapshot holds it."""
        return storage.snapshot_records(self.acceptor)

    # ------------------------------------------------------------ disk
    def write(self, keys: list[str], promise_only: bool = False) -> None:
        """Queues the state of these keys for the disk."""
        if not keys:
            return
        self.storage.write(
            [storage.register_record(self.acceptor, key, promise_only) for key in keys]
        )
        self.snapshot_if_due()

    def write_snapshot(self) -> None:
        """Queues all state for the disk."""
        self.storage.write(self.snapshot_records(), complete=True)

    def snapshot_if_due(self) -> None:
        """Takes a snapshot at once where this storage is synchronous and the log is long enough."""
        if self.storage.synchronous and self.storage.wal.should_snapshot:
            self.storage.wal.snapshot(self.snapshot_records())

    def handle_synced(self, batches: list[WriteBatch], now: float) -> None:
        """The disk holds these batches: what waited for them leaves."""
        self.now = now
        for peer, message in self.storage.mark_synced(batches):
            self.send(peer, message)

    # ------------------------------------------------------------ sending
    def send_when_synced(self, peer: str, message: Any) -> None:
        """Sends a message once all that was written before it is on disk."""
        if not self.storage.defer(peer, message):
            self.send(peer, message)

    def send(self, peer: str, message: Any) -> None:
        """A message to a peer, or to ourselves."""
        if peer == self.me:
            self.receive(peer, message, self.now)
        else:
            self.outbox.append(Outgoing(peer, message))

    def broadcast(self, message: Any) -> None:
        """A message to every other controller."""
        self.outbox.extend(Outgoing(peer, message) for peer in self.peer_addresses())

    def peer_addresses(self) -> list[str]:
        """The controllers to keep links to."""
        known = [peer for peer, named_at in self.known_at.items() if self.now - named_at < KNOWN_S]
        return sorted({*self.seeds, *self.acceptor.quorum.members, *known} - {self.me})

    def _send_to_voters(self, messages: list[VoterMessage]) -> None:
        for voter, message in messages:
            if voter != self.me:
                self.outbox.append(Outgoing(voter, message))
            else:
                self._vote(self.me, message)

    # ------------------------------------------------------------ receiving
    def receive(self, peer: str, message: Any, now: float) -> None:
        """A message of a peer, or of ourselves."""
        self.now = now
        handler = self.handlers.get(type(message))
        if handler is None:
            return
        if is_credible(peer, message):
            handler(peer, message, now)
        else:
            name = type(message).__name__
            logger.warning("%s sent a %s with another's number, or one out of range", peer, name)

    def _handle_request(self, peer: str, message: Any, now: float) -> None:
        if not isinstance(message, ReadRequest):
            self.proposal_numbers.observe(message.proposal_number)
        self._vote(peer, message)

    def _vote(self, peer: str, message: Any) -> None:
        """Our acceptor's reply; it leaves once its writes are on disk."""
        reply, dirty_keys = self.acceptor.receive(message)
        self.write(dirty_keys, promise_only=isinstance(message, Prepare))
        if reply is not None:
            self.send_when_synced(peer, reply)

    def _handle_reply(self, peer: str, message: Any, now: float) -> None:
        for proposal in [one for one in self.proposals if one.key == message.key]:
            self._send_to_voters(proposal.receive(peer, message, now))
            self._finish(proposal, now)

    def handle_committed(self, peer: str, message: Committed, now: float) -> None:
        """A peer knows a value to be committed: it is taken from our own acceptor, or fetched."""
        state = self.acceptor.register_state(message.key)
        if state.accepted == message.proposal_number and state.value is not None:
            self.commit(message.key, message.proposal_number, state.value, now)
        elif message.proposal_number > self.committed_number(message.key):
            self.outbox.append(Outgoing(peer, FetchCommitted(message.key)))

    def _handle_fetch(self, peer: str, message: FetchCommitted, now: float) -> None:
        if message.key in self.committed:
            number, value = self.committed[message.key]
            self.outbox.append(Outgoing(peer, CommittedValue(message.key, number, value or b"")))

    def _handle_committed_value(self, peer: str, message: CommittedValue, now: float) -> None:
        self.commit(message.key, message.proposal_number, message.value, now)

    # ------------------------------------------------------------ proposals
    def propose(self, key: str, change: Change, now: float, reading: bool = False) -> Proposal:
        """Starts a change or a read of a register; its `outcome` comes with later inputs."""
        self.now = now
        state = self.acceptor.register_state(key)
        proposal = Proposal(
            key,
            change,
            self.acceptor.quorum,
            (state.accepted, state.value),
            self.proposal_numbers,
            now,
            reading=reading,
        )
        if not self.acceptor.recovered:
            proposal.outcome = Outcome(error=RecoveringError())
            return proposal
        if not reading and any(one.key == key and not one.reading for one in self.proposals):
            proposal.queue()  # two of our own would only outbid each other
        self.proposals.append(proposal)
        self._send_to_voters(proposal.messages())
        self._finish(proposal, now)
        return proposal

    def is_busy(self, key: str) -> bool:
        """Whether a proposal of this node on a key is under way."""
        return any(proposal.key == key for proposal in self.proposals)

    def _finish(self, proposal: Proposal, now: float) -> None:
        """Drops a proposal that has ended, and publishes what it committed."""
        if proposal.outcome is None or proposal not in self.proposals:
            return
        self.proposals.remove(proposal)
        if proposal.committed is not None:
            number, value = proposal.committed
            if value is not None and self.commit(proposal.key, number, value, now):
                self.broadcast(Committed(proposal.key, number))
        self._start_queued(proposal.key, now)

    def _start_queued(self, key: str, now: float) -> None:
        """The next change of a key starts once the one before it has ended."""
        own = [one for one in self.proposals if one.key == key and not one.reading]
        if not own or not all(proposal.queued for proposal in own):
            return
        state = self.acceptor.register_state(key)
        own[0].known_number, own[0].known_value = state.accepted, state.value
        own[0].start_round(now)
        self._send_to_voters(own[0].messages())
        self._finish(own[0], now)

    def commit(self, key: str, number: ProposalNumber, value: bytes, now: float) -> bool:
        """Takes a committed value into use here; returns False for one that is not newer."""
        number = ProposalNumber(*number)
        if number <= self.committed_number(key):
            return False
        self.committed[key] = CommittedRegister(number, value)
        self.proposal_numbers.observe(number)
        self.write(self.acceptor.repair(key, number, value))
        self.apply_committed(key, value, now)
        return True

    def committed_value(self, key: str, kind: type[Value]) -> Value | None:
        """The newest value of a key known to be committed, decoded; None if there is none."""
        register = self.committed.get(key)
        return decode(kind, register.value) if register else None

    def committed_number(self, key: str) -> ProposalNumber:
        """The number of the newest value of a key known to be committed."""
        register = self.committed.get(key)
        return register.proposal_number if register else NO_PROPOSAL

    def apply_quorum(self, quorum: QuorumConfiguration, now: float) -> None:
        """Newer voters, already committed: we vote among them alone, and our proposals restart."""
        if quorum.version <= self.acceptor.quorum.version:
            return
        self.acceptor.quorum = quorum
        if self.acceptor.recovered:
            self.storage.write([storage.meta_record(self.acceptor)])
        joint = f", jointly with {', '.join(quorum.old)}" if quorum.old else ""
        logger.info("the voters %d are %s%s", quorum.version, ", ".join(quorum.new), joint)
        for proposal in list(self.proposals):
            self._send_to_voters(proposal.use_quorum(quorum, now))
            self._finish(proposal, now)

    # ------------------------------------------------------------ standing
    @property
    def is_voter(self) -> bool:
        """Whether this node votes: it is among the voters and has its state."""
        return self.acceptor.recovered and self.me in self.acceptor.quorum.members

    def last_heartbeat_at(self, peer: str, now: float) -> float:
        """When a peer's newest heartbeat came; long ago if never."""
        if peer == self.me:
            return now
        state = self.peers.get(peer)
        return state.received_at if state else NEVER

    def is_alive(self, peer: str, now: float) -> bool:
        """Whether a heartbeat of a peer came lately."""
        return now - self.last_heartbeat_at(peer, now) < ALIVE_S

    def acknowledges_us(self, peer: str) -> bool:
        """Whether a peer's newest heartbeat says that it receives ours."""
        return self.me in self.peers[peer].heartbeat.heartbeats_received

    def has_quorum_contact(self, now: float) -> bool:
        """Whether enough voters are heard, and receive our heartbeats, to decide anything."""
        quorum = self.acceptor.quorum
        return quorum.has_quorum([peer for peer in quorum.members if self._in_contact(peer, now)])

    def _in_contact(self, peer: str, now: float) -> bool:
        if peer == self.me:
            return True
        heard = self.is_alive(peer, now) and self.contact.holds(peer, now)
        return heard and self.acknowledges_us(peer)

    def in_quorum(self, now: float) -> bool:
        """Whether we are in contact with a quorum and lack nothing that it had accepted lately."""
        if not self.has_quorum_contact(now) or not self.acceptor.recovered:
            return False
        quorum = self.acceptor.quorum
        reported = [
            peer
            for peer in quorum.members
            if peer == self.me or self.contact.has_reported(peer, now)
        ]
        return quorum.has_quorum(reported) and not self.missing_keys(now)

    def uncommitted(self) -> dict[str, ProposalNumber]:
        """What our acceptor holds and is not known to be committed."""
        newest = {key: self.acceptor.register_state(key).accepted for key in self.keys()}
        return {
            key: accepted
            for key, accepted in newest.items()
            if accepted > self.committed_number(key)
        }

    def missing_keys(self, now: float) -> list[str]:
        """The keys of which we, or a voter that is alive, hold something newer than committed here."""
        own = {key: self.committed_number(key) for key in self.keys()}
        reports = [
            self.contact.reported[peer].numbers
            for peer in self.acceptor.quorum.members
            if peer in self.contact.reported and self.is_alive(peer, now)
        ]
        newer = {
            key
            for numbers in reports
            for key, number in numbers.items()
            if key in own and number > own[key]
        }
        return sorted({*self.uncommitted(), *newer})

    # ------------------------------------------------------------ timers
    def complete_uncommitted(self, now: float) -> None:
        """Anti-entropy: commits values that are accepted here but not known to be committed."""
        busy = {proposal.key for proposal in self.proposals}
        for key in self.uncommitted():
            if key not in busy:
                self.propose(key, unchanged, now, reading=True)

    def tick_consensus(self, now: float) -> None:
        """All that is due of proposals, recovery and voters."""
        self.now = now
        for proposal in list(self.proposals):
            self._send_to_voters(proposal.on_timer(now))
            self._finish(proposal, now)
        self.recovery.on_timer(now)
        if self.acceptor.recovered and now - self.completed_at >= COMPLETE_EVERY_S:
            self.completed_at = now
            self.complete_uncommitted(now)
        self.reconfiguration.on_timer(now)
