"""One registrar's part in the agreement: acceptor, proposals, voters and disk put together, without sockets.

Inputs are the methods; messages to peers gather in `outbox` as (peer ip, message). Writes are synced by the
ledger before a reply is put there. What a decided value means is for whoever builds on it: see `take`.
"""

from sumacloom.consensus import reconfiguration, storage
from sumacloom.consensus.contact import Contact
from sumacloom.consensus.handlers import HEARERS, KNOWN_S, is_credible
from sumacloom.consensus.messages import Decided, Prepare, Tell
from sumacloom.consensus.persistence import OnDisk
from sumacloom.consensus.proposal import Ballots, Proposal
from sumacloom.consensus.quorum import Configuration
from sumacloom.consensus.storage import Storage
from sumacloom.controller.registers.values import KEYS, decode, keep
from sumacloom.errors import Err, mishap
from sumacloom.logs import Scribe
from sumacloom.settings import Settings, split_address
from sumacloom.types import NO_BALLOT, Ballot

scribe = Scribe("office")
ALIVE_S = 1.1
FINISH_S = 0.6
ASK_S = 0.3


class Node(OnDisk):
    """One voter, or one that would vote."""

    def __init__(self, settings: Settings, ledger, random, now: float):
        self.settings, self.storage = settings, Storage(ledger)
        self.now = self.started_at = now
        self.me = settings.ip
        self.nonce = random.getrandbits(48)
        self.random = random
        self.seeds = list(dict.fromkeys(split_address(seed)[0] for seed in settings.seeds))
        self.ballots = Ballots(self.me, self.nonce, random)
        self.decided: dict[str, tuple] = {}
        self.proposals: list[Proposal] = []
        self.outbox: list[tuple] = []
        self.tales, self.asked_at, self.barrier = {}, -1e9, NO_BALLOT
        self.known: dict[str, float] = {}  # registrars: when last named or heard
        self.unheard: dict[str, float] = {}  # voters that a majority can't hear, since when
        self.need, self.move = (
            (None, now),
            None,
        )  # what the voters' change waits for, and its last step
        self.peers: dict[str, tuple] = {}  # peer ip: (heard at, PeerBeat)
        self.generations: dict[str, int] = {}  # peer: the generation of voters that it last told
        self.disputed: set[str] = set()  # peers whose first voters are others than ours
        self.finished_at = -1e9
        self.contact = Contact(self.nonce & 0x3FFFFFFF)
        self.acceptor = self.open_acceptor()

    def take(self, key: str, value: bytes, now: float) -> None:
        """Puts a decided value to use here; whoever builds on this adds its own keys."""
        if key == reconfiguration.KEY:
            self.take_configuration(decode(Configuration, value), now)

    def keys(self) -> list[str]:
        """The keys of all registers that are in use, the voters among them."""
        return list(KEYS)

    def whole(self) -> list[bytes]:
        """Everything, as a snapshot holds it; whoever builds on this adds its own records."""
        return storage.whole(self.acceptor)

    def release(self, peer: str, message) -> None:
        """Sends a vote's reply, once all that was written before it is on disk."""
        if not self.storage.hold(peer, message):
            self.deliver(peer, message)

    def deliver(self, peer: str, message) -> None:
        """A message to a peer, or to ourselves."""
        if peer == self.me:
            self.hear(peer, message, self.now)
        else:
            self.outbox.append((peer, message))

    def written(self, batches: list, now: float) -> None:
        """The disk holds these batches: what waited for them leaves."""
        self.now = now
        for peer, message in self.storage.written(batches):
            self.deliver(peer, message)

    @property
    def votes(self) -> bool:
        """Whether this registrar is a voter that has all it needs."""
        return self.acceptor.learned and self.me in self.acceptor.configuration.members

    def heard_majority(self, now: float) -> bool:
        """Whether enough voters are heard, and hear us, to decide anything."""
        configuration = self.acceptor.configuration
        return configuration.has_quorum(
            [
                peer
                for peer in configuration.members
                if peer == self.me
                or (
                    self.alive(peer, now)
                    and self.contact.holds(peer, now)
                    and self.me in self.peers[peer][1].hears
                )
            ]
        )

    def propose(self, key: str, change, now: float, reading: bool = False) -> Proposal:
        """Starts a change or a reading; its `outcome` comes with later inputs."""
        self.now = now
        slot = self.acceptor.slot(key)
        known = (slot.accepted, slot.value)
        proposal = Proposal(
            key, change, self.acceptor.configuration, known, self.ballots, now, reading=reading
        )
        if not self.acceptor.learned:
            proposal.outcome = Err(mishap("rejoining"))
            return proposal
        if not reading and any(other.key == key and not other.reading for other in self.proposals):
            proposal.hold()  # two of our own would only outbid each other
        self.proposals.append(proposal)
        self.post(proposal.messages(), now)
        self.conclude(proposal, now)
        return proposal

    def post(self, messages: list[tuple], now: float) -> None:
        """Messages to voters; those to ourselves are handled here and now."""
        for voter, message in messages:
            if voter != self.me:
                self.outbox.append((voter, message))
            else:
                self.vote(self.me, message)

    def vote(self, peer: str, message) -> None:
        """Our vote on a proposal's message; it leaves once its writes are on disk."""
        reply, keys = self.acceptor.hear(message)
        self.write(keys, promise_only=isinstance(message, Prepare))
        if reply is not None:
            self.release(peer, reply)

    def conclude(self, proposal: Proposal, now: float) -> None:
        """Publishes what a proposal decided, and drops it once it has an outcome."""
        if proposal.outcome is None or proposal not in self.proposals:
            return
        self.proposals.remove(proposal)
        if proposal.decided:
            ballot, value = proposal.decided
            if self.settle(proposal.key, ballot, value, now):
                self.tell_all(Decided(proposal.key, ballot))
        self.release_held(proposal.key, now)

    def release_held(self, key: str, now: float) -> None:
        """The next change of a key begins once the one before it has ended."""
        ours = [
            proposal for proposal in self.proposals if proposal.key == key and not proposal.reading
        ]
        if ours and all(proposal.held for proposal in ours):
            slot = self.acceptor.slot(key)
            ours[0].known_ballot, ours[0].known_value = slot.accepted, slot.value
            ours[0].begin(now)
            self.post(ours[0].messages(), now)
            self.conclude(ours[0], now)

    def settle(self, key: str, ballot: Ballot, value: bytes, now: float) -> bool:
        """Takes a decided value into force here; an older one changes nothing."""
        ballot = Ballot(*ballot)
        if ballot <= self.decided.get(key, (NO_BALLOT,))[0]:
            return False
        self.decided[key] = (ballot, value)
        self.ballots.saw(ballot)
        self.write(self.acceptor.mend(key, ballot, value))
        self.take(key, value, now)
        return True

    def take_configuration(self, configuration: Configuration, now: float) -> None:
        """Newer voters, already decided: we vote among them alone, and our proposals begin again."""
        if configuration.generation <= self.acceptor.configuration.generation:
            return
        self.acceptor.configuration = configuration
        if self.acceptor.learned:
            self.storage.write([storage.meta_record(self.acceptor)])
        scribe.say(
            "the voters %d are %s%s",
            configuration.generation,
            ", ".join(configuration.new),
            f", jointly with {', '.join(configuration.old)}" if configuration.old else "",
        )
        for proposal in list(self.proposals):
            self.post(proposal.count_by(configuration, now), now)
            self.conclude(proposal, now)

    def hear(self, peer: str, message, now: float) -> None:
        """A message of a peer, or of ourselves."""
        self.now = now
        handler = HEARERS.get(type(message))
        if handler and not is_credible(peer, message):
            scribe.warn(
                "%s sent what it may not: a %s with another's ballot, or out of range",
                peer,
                type(message).__name__,
            )
        elif handler:
            handler(self, peer, message, now)

    def settled(self, now: float) -> bool:
        """Whether we hear a majority, and lack nothing that it had accepted when it last told."""
        if not self.heard_majority(now) or not self.acceptor.learned:
            return False
        configuration = self.acceptor.configuration
        told = [
            peer
            for peer in configuration.members
            if peer == self.me or self.contact.has_told(peer, now)
        ]
        return configuration.has_quorum(told) and not self.lacking(now)

    def undecided(self) -> dict[str, Ballot]:
        """What is accepted here and not known to be decided."""
        newest = {key: self.acceptor.slot(key).accepted for key in self.keys()}
        return {
            key: accepted
            for key, accepted in newest.items()
            if accepted > self.decided.get(key, (NO_BALLOT,))[0]
        }

    def lacking(self, now: float) -> list[str]:
        """The keys of which we, or a voter that is heard, hold something newer than is known here to be decided."""
        mine = {key: self.decided.get(key, (NO_BALLOT,))[0] for key in self.keys()}
        told = [
            self.contact.told[peer][1]
            for peer in self.acceptor.configuration.members
            if peer in self.contact.told and self.alive(peer, now)
        ]
        return sorted(
            {
                *self.undecided(),
                *(
                    key
                    for ballots in told
                    for key, ballot in ballots.items()
                    if key in mine and ballot > mine[key]
                ),
            }
        )

    def finish_undecided(self, now: float) -> None:
        """The sweep: settles values that are accepted here but not known to be decided."""
        busy = {proposal.key for proposal in self.proposals}
        for key in self.keys():
            accepted = self.acceptor.slot(key).accepted
            if key not in busy and accepted > self.decided.get(key, (NO_BALLOT,))[0]:
                self.propose(key, keep, now, reading=True)

    # ------------------------------------------------------------ peers
    def others(self) -> list[str]:
        """The registrars to keep links to."""
        known = [peer for peer, named in self.known.items() if self.now - named < KNOWN_S]
        return sorted({*self.seeds, *self.acceptor.configuration.members, *known} - {self.me})

    def tell_all(self, message) -> None:
        """A message to every other registrar."""
        self.outbox.extend((peer, message) for peer in self.others())

    def alive(self, peer: str, now: float) -> bool:
        """Whether a registrar was heard of late."""
        return now - self.heard_at(peer, now) < ALIVE_S

    def heard_at(self, peer: str, now: float) -> float:
        """When a registrar was last heard; long ago if never."""
        return now if peer == self.me else self.peers.get(peer, (-1e9,))[0]

    # ------------------------------------------------------------ clock
    def tick_agreement(self, now: float) -> None:
        """All that is due of proposals, of learning and of the voters."""
        self.now = now
        for proposal in list(self.proposals):
            self.post(proposal.alarm(now), now)
            self.conclude(proposal, now)
        if not self.acceptor.learned and now - self.asked_at >= ASK_S:
            self.ask(now)
        if self.acceptor.learned and now - self.finished_at >= FINISH_S:
            self.finished_at = now
            self.finish_undecided(now)
        reconfiguration.mind_voters(self, now)

    def ask(self, now: float) -> None:
        """Without memory: asks all others for what they hold, and for a promise against all that was before."""
        self.asked_at = now
        above = any(
            Ballot(*promised) > self.barrier
            for told in self.tales.values()
            for promised in (told.floor, *(slot[1] for slot in told.slots))
        )
        if (
            self.barrier == NO_BALLOT or above
        ):  # another barrier: some had promised above the last one
            self.barrier, self.tales = self.ballots.next(), {}
        self.tell_all(Tell(self.barrier))
