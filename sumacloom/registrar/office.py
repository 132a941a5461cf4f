"""The registrar's core: register, roster, duties and news put together, without sockets.

Inputs are the methods; messages to peers gather in `outbox` as (peer ip, message). Writes are
synced by the ledger before a reply is put there.
"""
import msgspec

from ..common.logs import Scribe
from ..common.results import Err, mishap
from ..common.settings import Settings, split_address
from ..common.types import NO_BALLOT, Ballot
from ..courier.board import Board
from ..courier.messages import Decided, News, PeerBeat, Prepare, Tell
from . import duties, lanes
from .hearing import HEARERS
from .register import Acceptor, Ballots, Proposal, Slot
from .members import Members
from .roster import Roster
from .values import KEYS, BlueprintValue, DutyValue, EvacuationsValue, decode, keep

scribe = Scribe("office")
ALIVE_S = 1.1
PEER_BEAT_S = 0.35
WHOLE_S = 1.0
FINISH_S = 0.6
ASK_S = 0.3

class Office:
    """One registrar."""

    def __init__(self, settings: Settings, ledger, random, now: float):
        self.settings, self.ledger = settings, ledger
        self.me = settings.ip
        self.nonce = random.getrandbits(48)
        self.random = random
        self.board = Board()
        self.roster, self.members = Roster(self.board), Members()
        self.lanes_at = now
        self.seeds = [split_address(seed)[0] for seed in settings.seeds]
        self.ballots = Ballots(self.me, self.nonce, random)
        self.decided: dict[str, tuple] = {}
        self.proposals: list[Proposal] = []
        self.outbox: list[tuple] = []
        self.tales, self.asked_at = {}, -1e9
        self.peers: dict[str, tuple] = {}          # peer ip: (heard at, PeerBeat)
        self.duty: DutyValue | None = None
        self.duty_vacant_since, self.unfit_until = None, -1e9
        self.beaten_at = self.finished_at = self.shared_at = self.told_whole_at = -1e9
        self.told_state = None
        self.told_suspects: set[str] = set()
        self.acceptor = self.open_acceptor()
        self.started_at = now

    # ------------------------------------------------------------ disk
    def open_acceptor(self) -> Acceptor:
        """The acceptor as the ledger left it; at the very first start, a new one.

        >>> Office.open_acceptor.__name__
        'open_acceptor'
        """
        acceptor = Acceptor([], 0, learned=False)
        for payload in self.ledger.payloads:
            kind, *rest = msgspec.msgpack.decode(payload)
            if kind == "meta":
                acceptor.voters, acceptor.incarnation = rest
                acceptor.learned = True
            else:
                key, promised, *accepted = rest
                slot = acceptor.slots.get(key, Slot())
                slot = slot._replace(promised=Ballot(*promised))
                if accepted:
                    slot = slot._replace(accepted=Ballot(*accepted[0]), value=accepted[1])
                acceptor.slots[key] = slot
        for slot in acceptor.slots.values():
            self.ballots.saw(slot.promised)
        if not acceptor.learned and self.settings.bootstrap:
            acceptor.voters, acceptor.incarnation, acceptor.learned = self.seeds, self.nonce, True
            self.ledger.append([self.meta(acceptor)])
            scribe.say("first start, the voters are %s", ", ".join(self.seeds))
        elif not acceptor.learned:
            acceptor.voters = self.seeds
            scribe.warn("the disk is empty: learning from the other voters before voting")
        return acceptor

    @staticmethod
    def meta(acceptor: Acceptor) -> bytes:
        """The ledger's record of voters and incarnation.

        >>> Office.meta(Acceptor(["a"], 1))[:6]
        b'\\x93\\xa4meta'
        """
        return msgspec.msgpack.encode(("meta", acceptor.voters, acceptor.incarnation))

    def write(self, keys: list[str], promise_only: bool = False) -> None:
        """Puts slots on disk, synced; writes a capture when the segment is full.

        >>> Office.write.__name__
        'write'
        """
        if not keys:
            return
        slots = self.acceptor.slots
        self.ledger.append([
            msgspec.msgpack.encode(("promise", key, slots[key].promised) if promise_only else ("slot", key, *slots[key]))
            for key in keys
        ])
        if self.ledger.full:
            self.ledger.capture([self.meta(self.acceptor), *(
                msgspec.msgpack.encode(("slot", key, *slot)) for key, slot in slots.items())])
            scribe.detail("wrote a capture")

    @property
    def votes(self) -> bool:
        """Whether this registrar is a voter that has all it needs.

        >>> Office.votes.fget.__name__
        'votes'
        """
        return self.acceptor.learned and self.me in self.acceptor.voters

    # ------------------------------------------------------------ proposals
    def propose(self, key: str, change, now: float, reading: bool = False) -> Proposal:
        """Starts a change or a reading; its `outcome` comes with later inputs.

        >>> Office.propose.__name__
        'propose'
        """
        slot = self.acceptor.slots.get(key, Slot())
        known = (slot.accepted, slot.value)
        proposal = Proposal(key, change, self.acceptor.voters, known, self.ballots, now, reading=reading)
        if not self.acceptor.learned:
            proposal.outcome = Err(mishap("rejoining"))
            return proposal
        self.proposals.append(proposal)
        self.post(proposal.messages(), now)
        self.conclude(proposal, now)
        return proposal

    def post(self, messages: list[tuple], now: float) -> None:
        """Messages to voters; those to ourselves are handled here and now.

        >>> Office.post.__name__
        'post'
        """
        for voter, message in messages:
            if voter != self.me:
                self.outbox.append((voter, message))
            else:
                for reply in self.vote(message):
                    self.hear(self.me, reply, now)

    def vote(self, message) -> list:
        """The acceptor's reply, its writes already on disk.

        >>> Office.vote.__name__
        'vote'
        """
        reply, keys = self.acceptor.hear(message)
        self.write(keys, promise_only=isinstance(message, Prepare))
        return [reply] if reply is not None else []

    def conclude(self, proposal: Proposal, now: float) -> None:
        """Publishes what a proposal decided, and drops it once it has an outcome.

        >>> Office.conclude.__name__
        'conclude'
        """
        if proposal.outcome is None or proposal not in self.proposals:
            return
        self.proposals.remove(proposal)
        if proposal.decided:
            ballot, value = proposal.decided
            if self.settle(proposal.key, ballot, value, now):
                self.tell_all(Decided(proposal.key, ballot))

    def settle(self, key: str, ballot: Ballot, value: bytes, now: float) -> bool:
        """Takes a decided value into force here; an older one changes nothing.

        >>> Office.settle.__name__
        'settle'
        """
        ballot = Ballot(*ballot)
        if ballot <= self.decided.get(key, (NO_BALLOT,))[0]:
            return False
        self.decided[key] = (ballot, value)
        self.ballots.saw(ballot)
        self.write(self.acceptor.mend(key, ballot, value))
        if key == "blueprint":
            found = decode(BlueprintValue, value)
            if self.board.take(News(found.raw, 0, None, None)):
                scribe.say("the blueprint %d is decided", found.ver)
        elif key == "evacuations":
            found = decode(EvacuationsValue, value)
            if self.board.take(News(None, found.generation, found.zones, None)):
                scribe.say("the evacuated zones are now: %s", ", ".join(found.zones) or "none")
        elif key == duties.DUTY:
            found = decode(DutyValue, value)
            if self.duty is None or found.fence >= self.duty.fence:
                if found != self.duty:
                    scribe.say("the failover duty is with %s, fence %d", found.holder or "nobody", found.fence)
                self.duty = found
        elif key == lanes.KEY:
            found = decode(lanes.LanesValue, value)
            self.lanes_at = now
            if self.board.take(News(None, 0, None, None, found.news())):
                stage = "in force" if found.in_force else "offered"
                scribe.say("the lanes %d are %s: %s", found.generation, stage, ", ".join(found.databases) or "none")
        return True

    # ------------------------------------------------------------ peers
    def others(self) -> list[str]:
        """The registrars to keep links to.

        >>> Office.others.__name__
        'others'
        """
        return sorted({*self.seeds, *self.acceptor.voters} - {self.me})

    def tell_all(self, message) -> None:
        """A message to every other registrar.

        >>> Office.tell_all.__name__
        'tell_all'
        """
        self.outbox.extend((peer, message) for peer in self.others())

    def hear(self, peer: str, message, now: float) -> None:
        """A message of a peer, or of ourselves.

        >>> Office.hear.__name__
        'hear'
        """
        handler = HEARERS.get(type(message))
        if handler:
            handler(self, peer, message, now)

    def alive(self, peer: str, now: float) -> bool:
        """Whether a registrar was heard of late.

        >>> Office.alive.__name__
        'alive'
        """
        return peer == self.me or now - self.peers.get(peer, (-1e9,))[0] < ALIVE_S

    def peer_beat(self, now: float, records=None, positions=None, whole: bool | None = None) -> PeerBeat:
        """This registrar's heartbeat for its peers; `whole` with what rarely changes, None out of turn.

        >>> Office.peer_beat.__name__
        'peer_beat'
        """
        return PeerBeat(
            {key: ballot for key, (ballot, _value) in self.decided.items()} if whole else None,
            self.members.told() if whole else None,
            self.roster.heard_ages(self.shared_at, now) if whole is not None else {}, self.roster.dark_ages(now),
            [peer for peer in self.others() if self.alive(peer, now)],
            records, self.board.known_digest, self.acceptor.learned, sorted(self.told_suspects), positions or [],
        )

    def tell_records(self, records: list, now: float) -> None:
        """Changed backend records go to the peers at once.

        >>> Office.tell_records.__name__
        'tell_records'
        """
        if records:
            self.tell_all(self.peer_beat(now, records))

    # ------------------------------------------------------------ clock
    def tick(self, now: float) -> None:
        """All that is due; the shell calls it some ten times a second.

        >>> Office.tick.__name__
        'tick'
        """
        for proposal in list(self.proposals):
            self.post(proposal.alarm(now), now)
            self.conclude(proposal, now)
        if not self.acceptor.learned and now - self.asked_at >= ASK_S:
            self.asked_at = now
            self.tell_all(Tell())
        if now - self.beaten_at >= PEER_BEAT_S:
            self.beaten_at = now
            state = (len(self.decided), self.duty, self.board.lanes.order, self.board.evacuations, sorted(self.members.told()),
                     [self.alive(peer, now) for peer in self.others()])
            whole = state != self.told_state or now - self.told_whole_at >= WHOLE_S
            if whole:
                self.told_state, self.told_whole_at = state, now
            sightings = self.roster.sightings(self.shared_at, now, own=True)
            self.tell_all(self.peer_beat(now, None, sightings, whole))
            self.shared_at = now
            self.told_suspects.clear()
            self.members.sweep(now)
            self.tell_records(self.roster.sweep(now), now)
        if self.acceptor.learned and now - self.finished_at >= FINISH_S:
            self.finished_at = now
            self.finish_undecided(now)
        if self.votes and "failover" in self.settings.cloud.jobs:
            duties.mind_duty(self, now)
            lanes.mind_lanes(self, now)

    def settled(self, now: float) -> bool:
        """Whether we hear a majority, and lack nothing that is decided as far as it tells.

        >>> Office.settled.__name__
        'settled'
        """
        living = [peer for peer in self.acceptor.voters if self.alive(peer, now)]
        if len(living) <= len(self.acceptor.voters) // 2 or not self.acceptor.learned:
            return False
        told = [self.peers[peer][1].decided or {} for peer in living if peer != self.me]
        mine = {key: self.decided.get(key, (NO_BALLOT,))[0] for key in KEYS}
        return all(self.acceptor.slots.get(key, Slot()).accepted <= mine[key] for key in KEYS) and not any(
            Ballot(*ballot) > mine[key] for decided in told for key, ballot in decided.items() if key in mine)

    def finish_undecided(self, now: float) -> None:
        """The sweep: settles values that are accepted here but not known to be decided.

        >>> Office.finish_undecided.__name__
        'finish_undecided'
        """
        busy = {proposal.key for proposal in self.proposals}
        for key in KEYS:
            accepted = self.acceptor.slots.get(key, Slot()).accepted
            if key not in busy and accepted > self.decided.get(key, (NO_BALLOT,))[0]:
                self.propose(key, keep, now, reading=True)
