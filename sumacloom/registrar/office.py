"""The registrar's core: register, roster, duties and news put together, without sockets.

Inputs are the methods; messages to peers gather in `outbox` as (peer ip, message). Writes are
synced by the ledger before a reply is put there.
"""
from ..common.logs import Scribe
from ..common.results import Err, mishap
from ..common.settings import Settings, split_address
from ..common.types import NO_BALLOT, Ballot
from ..courier.board import Board
from ..courier.messages import Decided, Panel, PeerBeat, Prepare, Tell
from . import access, desk, duties, lanes, listeners, pooling, taking, voters
from .desk import Desk
from .hearing import HEARERS, KNOWN_S
from .keeping import Keeping
from .register import Ballots, Proposal
from .members import Members
from .roster import Roster
from .spool import Spool, mind_spool
from .values import KEYS, DutyValue, keep

scribe = Scribe("office")
ALIVE_S = 1.1
PEER_BEAT_S = 0.35
WHOLE_S = 1.0
FINISH_S = 0.6
ASK_S = 0.3

class Office(Keeping):
    """One registrar."""

    def __init__(self, settings: Settings, ledger, random, now: float):
        self.settings, self.desk = settings, Desk(ledger)
        self.now = now
        self.me = settings.ip
        self.nonce = random.getrandbits(48)
        self.random = random
        self.board = Board()
        self.roster, self.members = Roster(self.board), Members()
        self.minds, self.minded_at = set(), now
        self.lanes_at, self.readings = now, access.Readings(now)
        self.seeds = [split_address(seed)[0] for seed in settings.seeds]
        self.ballots = Ballots(self.me, self.nonce, random)
        self.decided: dict[str, tuple] = {}
        self.proposals: list[Proposal] = []
        self.outbox: list[tuple] = []
        self.tales, self.asked_at, self.barrier = {}, -1e9, NO_BALLOT
        self.known: dict[str, float] = {}          # registrars: when last named or heard
        self.unheard: dict[str, float] = {}        # voters that a majority can't hear, since when
        self.need, self.move = (None, now), None   # what the voters' change waits for, and its last step
        self.told_panel = None
        self.peers: dict[str, tuple] = {}          # peer ip: (heard at, PeerBeat)
        self.duty: DutyValue | None = None
        self.duty_vacant_since, self.unfit_until = None, -1e9
        self.beaten_at = self.finished_at = self.shared_at = self.told_whole_at = -1e9
        self.told_state = None
        self.told_suspects: set[str] = set()
        self.acceptor = self.open_acceptor()
        self.spool = Spool(self, self.desk.others, now)
        self.roster.load(self.desk.others, now)
        self.kept_roster, self.kept_at = self.board.known_digest, now
        self.started_at = now

    # ------------------------------------------------------------ disk
    def release(self, peer: str, message) -> None:
        """Sends a vote's reply, once all that was written before it is on disk.

        >>> Office.release.__name__
        'release'
        """
        if not self.desk.hold(peer, message):
            self.deliver(peer, message)

    def deliver(self, peer: str, message) -> None:
        """A message to a peer, or to ourselves.

        >>> Office.deliver.__name__
        'deliver'
        """
        if peer == self.me:
            self.hear(peer, message, self.now)
        else:
            self.outbox.append((peer, message))

    def written(self, batches: list, now: float) -> None:
        """The disk holds these batches: what waited for them leaves.

        >>> Office.written.__name__
        'written'
        """
        self.now = now
        for peer, message in self.desk.written(batches):
            self.deliver(peer, message)

    @property
    def votes(self) -> bool:
        """Whether this registrar is a voter that has all it needs.

        >>> Office.votes.fget.__name__
        'votes'
        """
        return self.acceptor.learned and self.me in self.acceptor.panel.members

    def heard_majority(self, now: float) -> bool:
        """Whether enough voters are heard, and hear us, to decide anything.

        >>> Office.heard_majority.__name__
        'heard_majority'
        """
        panel = self.acceptor.panel
        return panel.carried([
            peer for peer in panel.members
            if peer == self.me or (self.alive(peer, now) and self.me in self.peers[peer][1].hears)])

    # ------------------------------------------------------------ proposals
    def propose(self, key: str, change, now: float, reading: bool = False) -> Proposal:
        """Starts a change or a reading; its `outcome` comes with later inputs.

        >>> Office.propose.__name__
        'propose'
        """
        self.now = now
        slot = self.acceptor.slot(key)
        known = (slot.accepted, slot.value)
        proposal = Proposal(key, change, self.acceptor.panel, known, self.ballots, now, reading=reading)
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
                self.vote(self.me, message)

    def vote(self, peer: str, message) -> None:
        """Our vote on a proposal's message; it leaves once its writes are on disk.

        >>> Office.vote.__name__
        'vote'
        """
        reply, keys = self.acceptor.hear(message)
        self.write(keys, promise_only=isinstance(message, Prepare))
        if reply is not None:
            self.release(peer, reply)

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
        taking.take(self, key, value, now)
        return True

    def take_panel(self, panel: Panel, now: float) -> None:
        """Newer voters, already decided: we vote among them alone, and our proposals begin again.

        >>> Office.take_panel.__name__
        'take_panel'
        """
        if panel.generation <= self.acceptor.panel.generation:
            return
        self.acceptor.panel = panel
        if self.acceptor.learned:
            self.desk.write([desk.meta_record(self.acceptor)])
        scribe.say("the voters %d are %s%s", panel.generation, ", ".join(panel.new),
                   f", jointly with {', '.join(panel.old)}" if panel.old else "")
        for proposal in list(self.proposals):
            self.post(proposal.count_by(panel, now), now)
            self.conclude(proposal, now)

    # ------------------------------------------------------------ peers
    def others(self) -> list[str]:
        """The registrars to keep links to.

        >>> Office.others.__name__
        'others'
        """
        known = [peer for peer, named in self.known.items() if self.now - named < KNOWN_S]
        return sorted({*self.seeds, *self.acceptor.panel.members, *known} - {self.me})

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
        self.now = now
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
            self.members.told(now) if whole else None,
            self.roster.heard_ages(self.shared_at, now) if whole is not None else {}, self.roster.dark_ages(now),
            [peer for peer in self.others() if self.alive(peer, now)],
            records, self.board.known_digest, self.acceptor.learned, sorted(self.told_suspects), positions or [],
            self.acceptor.panel if whole and self.acceptor.learned else None, self.settings.voting,
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
        self.now = now
        for proposal in list(self.proposals):
            self.post(proposal.alarm(now), now)
            self.conclude(proposal, now)
        if not self.acceptor.learned and now - self.asked_at >= ASK_S:
            self.asked_at = now
            above = any(Ballot(*promised) > self.barrier for told in self.tales.values()
                        for promised in (told.floor, *(slot[1] for slot in told.slots)))
            if self.barrier == NO_BALLOT or above:         # another barrier: some had promised above the last one
                self.barrier, self.tales = self.ballots.next(), {}
            self.tell_all(Tell(self.barrier))
        if now - self.beaten_at >= PEER_BEAT_S:
            self.beaten_at = now
            state = (len(self.decided), self.duty, self.acceptor.panel.generation, self.board.lanes.order, self.board.evacuations, sorted(self.members.own_rows()),
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
        voters.mind_voters(self, now)
        if self.votes and "failover" in self.settings.cloud.jobs:
            duties.mind_duty(self, now)
            lanes.mind_lanes(self, now)
            access.mind_access(self, now)
            listeners.mind_listeners(self, now)
        pooling.mind_pooling(self, now)
        mind_spool(self, now)
        self.keep_roster(now)

    def settled(self, now: float) -> bool:
        """Whether we hear a majority, and lack nothing that is decided as far as it tells.

        >>> Office.settled.__name__
        'settled'
        """
        if not self.heard_majority(now) or not self.acceptor.learned:
            return False
        living = [peer for peer in self.acceptor.panel.members if self.alive(peer, now)]
        told = [self.peers[peer][1].decided or {} for peer in living if peer != self.me]
        mine = {key: self.decided.get(key, (NO_BALLOT,))[0] for key in self.keys()}
        return all(self.acceptor.slot(key).accepted <= mine[key] for key in mine) and not any(
            Ballot(*ballot) > mine[key] for decided in told for key, ballot in decided.items() if key in mine)

    def keys(self) -> list[str]:
        """The keys of all registers that are in use.

        >>> Office.keys.__name__
        'keys'
        """
        return [*KEYS, *listeners.keys(self)]

    def finish_undecided(self, now: float) -> None:
        """The sweep: settles values that are accepted here but not known to be decided.

        >>> Office.finish_undecided.__name__
        'finish_undecided'
        """
        busy = {proposal.key for proposal in self.proposals}
        for key in self.keys():
            accepted = self.acceptor.slot(key).accepted
            if key not in busy and accepted > self.decided.get(key, (NO_BALLOT,))[0]:
                self.propose(key, keep, now, reading=True)
