"""Changes of the voters: a register of its own, changed in two stages (joint consensus).

    joint    committed by the old voters; from then on every round needs a majority of the old and of the
             new set. Then every key goes through a full round, so that a majority of the new set holds
             it and no round of the old set alone can still end.
    final    the new set alone.

Any voter can take up what another left unfinished.
"""

import logging
from typing import TYPE_CHECKING, NamedTuple

from sumacloom.consensus.codec import Change, decode, encode, rewrite
from sumacloom.consensus.messages import QuorumChanged
from sumacloom.consensus.proposal import Proposal
from sumacloom.consensus.quorum import INITIAL_VERSION, QuorumConfiguration
from sumacloom.errors import StaleVersionError, VotersDisputedError

if TYPE_CHECKING:
    from sumacloom.consensus.node import ConsensusNode

logger = logging.getLogger(__name__)

VOTERS_KEY = "voters"
MIN_VOTERS = 3
GATHER_S = 0.6  # newcomers within this time of each other come in together
STAGGER_S = 0.4  # how much later the next voter in line acts on a need
FINISH_STAGGER_S = 1.0  # the same for the step from joint to final, which takes longer
UNHEARD_S = (
    0.6  # a voter that a quorum can't hear for so long goes: some 2 s after its last heartbeat
)


class PendingNeed(NamedTuple):
    """A change of the voters that is needed, and since when."""

    need: object
    since: float


class VoterStanding(NamedTuple):
    """What one controller tells of the voters, for the admin API."""

    version: int
    voters: tuple[str, ...]
    leaving: tuple[str, ...]
    standing: str


class QuorumChange:
    """How far the step from a joint configuration to the final one has come here."""

    def __init__(self, version: int):
        self.version = version
        self.stage = 0
        self.proposals: dict[str, Proposal] = {}


def replace_quorum(quorum: QuorumConfiguration) -> Change:
    """The change to the configuration of the next version; refused if another change was faster."""

    def change(current: bytes | None) -> bytes:
        found = decode(QuorumConfiguration, current)
        version = found.version if found else INITIAL_VERSION
        if version != quorum.version - 1:
            raise StaleVersionError("the voters have changed meanwhile")
        return encode(quorum)

    return change


class Reconfiguration:
    """Decides who should vote, and carries the change out.

    Attributes:
        unheard_since: voters that a quorum can't hear, and since when.
        peer_versions: the version of the configuration that each peer last reported.
        disputed_peers: peers whose initial voters differ from ours.
    """

    def __init__(self, node: "ConsensusNode", now: float):
        self._node = node
        self.unheard_since: dict[str, float] = {}
        self.pending_need = PendingNeed(None, now)
        self.quorum_change: QuorumChange | None = None
        self.peer_versions: dict[str, int] = {}
        self.disputed_peers: set[str] = set()

    # ------------------------------------------------------------ messages
    def handle_quorum_changed(self, peer: str, message: QuorumChanged, now: float) -> None:
        """A peer counts by other voters: we take the newer ones, or send ours."""
        node, own, other = self._node, self._node.acceptor.quorum, message.quorum
        if other.version == own.version and other.identity != own.identity:
            self._report_dispute(peer, own, other)
        if other.version >= own.version:
            node.apply_quorum(other, now)
        elif node.acceptor.recovered:
            node.send_when_synced(peer, QuorumChanged(own))

    def _report_dispute(
        self, peer: str, own: QuorumConfiguration, other: QuorumConfiguration
    ) -> None:
        if peer in self.disputed_peers:
            return
        self.disputed_peers.add(peer)
        error = VotersDisputedError()
        logger.warning(
            "%d %s: %s here, %s at %s; neither counts the other's votes",
            error.code,
            error.message,
            ", ".join(own.new),
            ", ".join(other.new),
            peer,
        )

    # ------------------------------------------------------------ who should vote
    def reachable(self, now: float) -> list[str]:
        """The voters that are alive, ourselves included."""
        node = self._node
        return [peer for peer in node.acceptor.quorum.members if node.is_alive(peer, now)]

    def newcomers(self, now: float) -> set[str]:
        """Controllers that count as voters by their settings, have their state, and no vote yet."""
        node = self._node
        voting = node.acceptor.quorum.new
        return {
            peer
            for peer, (_received_at, heartbeat) in node.peers.items()
            if peer not in voting
            and node.is_alive(peer, now)
            and heartbeat.voting
            and heartbeat.recovered
        }

    def track_unheard_voters(self, now: float) -> None:
        """Remembers since when each voter is unheard by a quorum."""
        node, quorum = self._node, self._node.acceptor.quorum
        reachable = self.reachable(now)
        for voter in quorum.new:
            unaware = [
                peer
                for peer in reachable
                if not node.is_alive(voter, now) and not self._is_heard_by(voter, peer)
            ]
            if quorum.has_quorum(unaware):
                self.unheard_since.setdefault(voter, now)
            else:
                self.unheard_since.pop(voter, None)

    def _is_heard_by(self, voter: str, peer: str) -> bool:
        """Whether a peer's heartbeat says that it hears a voter; for ourselves we have looked already."""
        node = self._node
        return peer != node.me and voter in node.peers[peer].heartbeat.heartbeats_received

    def wanted_voters(self, now: float) -> tuple[str, ...]:
        """Who should vote: all who can, less those that leave or are unheard, the longest first.

        Never fewer are left than `required_voters`, so a healthy voter does not go for a dead one.
        """
        node, quorum = self._node, self._node.acceptor.quorum
        target = {*quorum.new, *self.newcomers(now)}

        def gone_for(voter: str) -> tuple[bool, float, str]:
            since = min(self.unheard_since.get(voter, now), node.last_heartbeat_at(voter, now))
            return (not self.is_leaving(voter), since, voter)

        gone = sorted(
            (
                voter
                for voter in quorum.new
                if self.is_leaving(voter) or now - self.unheard_since.get(voter, now) >= UNHEARD_S
            ),
            key=gone_for,
        )
        spare = max(0, len(target) - self.required_voters())
        return tuple(sorted(target - set(gone[:spare])))

    def loss_margin(self, voters: tuple[str, ...], now: float) -> int:
        """How many of these voters may be lost and the rest still decides; leaving ones count as lost."""
        standing = sum(
            self._node.is_alive(voter, now) and not self.is_leaving(voter) for voter in voters
        )
        return standing - len(voters) // 2 - 1

    def is_improvement(self, target: tuple[str, ...], now: float) -> bool:
        """Whether a change of voters is for the better: a vote added beside a silent one is not."""
        after = self.loss_margin(target, now)
        before = self.loss_margin(self._node.acceptor.quorum.new, now)
        return after >= self.tolerated_losses() or after > before

    def required_voters(self) -> int:
        """How many voters there must be, whoever has gone, to bear the tolerated losses."""
        return max(MIN_VOTERS, 2 * self.tolerated_losses() + 1)

    def tolerated_losses(self) -> int:
        """How many machines may be lost at once: where settings differ, the most that a voter says."""
        node = self._node
        members = node.acceptor.quorum.members
        reported = [
            state.heartbeat.tolerates for peer, state in node.peers.items() if peer in members
        ]
        return max([node.settings.tolerate.nodes, *reported])

    def is_leaving(self, voter: str) -> bool:
        """Whether a voter has said that it no longer counts as one, as it does when it is stopped."""
        node = self._node
        if voter == node.me:
            return not node.settings.voting
        state = node.peers.get(voter)
        return state is not None and not state.heartbeat.voting

    def may_leave(self, now: float) -> bool:
        """Whether a controller that is being stopped may end: it is no voter, and a quorum knows that.

        Nor need it wait where it has no contact with a quorum, or where nobody can take its place.
        """
        node, quorum = self._node, self._node.acceptor.quorum
        if not node.has_quorum_contact(now):
            return True
        if node.me not in quorum.members:
            aware = [
                voter
                for voter in quorum.members
                if self.peer_versions.get(voter, 0) >= quorum.version
            ]
            return quorum.has_quorum(aware)
        recovering = any(
            node.is_alive(peer, now)
            and heartbeat.voting
            and not heartbeat.recovered
            and peer not in quorum.members
            for peer, (_received_at, heartbeat) in node.peers.items()
        )
        return not quorum.old and not recovering and node.me in self.wanted_voters(now)

    # ------------------------------------------------------------ carrying a change out
    def is_our_turn(
        self, need: object, wait_s: float, now: float, stagger_s: float = STAGGER_S
    ) -> bool:
        """Whether a need has lasted long enough for us to act: the voters act one after the other."""
        if self.pending_need.need != need:
            self.pending_need = PendingNeed(need, now)
        place = self.reachable(now).index(self._node.me)
        return now - self.pending_need.since >= wait_s + stagger_s * place

    def on_timer(self, now: float) -> None:
        """Brings newcomers in and takes the gone out, one change at a time."""
        node, quorum = self._node, self._node.acceptor.quorum
        if not node.is_voter:
            return
        self.track_unheard_voters(now)
        if not quorum.has_quorum(self.reachable(now)) or node.is_busy(VOTERS_KEY):
            return
        if quorum.old:
            if self.is_our_turn(quorum.version, 0.0, now, FINISH_STAGGER_S):
                self.finish_quorum_change(now)
            return
        target, newcomers = self.wanted_voters(now), self.newcomers(now)
        if target == tuple(sorted(quorum.new)):
            self.pending_need = PendingNeed(None, now)
            return
        need = (quorum.version, tuple(sorted(newcomers)))
        if not self.is_our_turn(need, GATHER_S if newcomers else 0.0, now):
            return
        if self.is_improvement(target, now) and self._has_living_quorum(target, now):
            logger.info("the voters are to be %s", ", ".join(target))
            joint = QuorumConfiguration(quorum.version + 1, quorum.new, target)
            node.propose(VOTERS_KEY, replace_quorum(joint), now)

    def _has_living_quorum(self, target: tuple[str, ...], now: float) -> bool:
        living = [voter for voter in target if self._node.is_alive(voter, now)]
        return QuorumConfiguration(0, (), target).has_quorum(living)

    def finish_quorum_change(self, now: float) -> None:
        """From joint to final: every key in a full round, the voters first, then the new set alone."""
        node, quorum, step = self._node, self._node.acceptor.quorum, self.quorum_change
        if step is None or step.version != quorum.version:
            step = self.quorum_change = QuorumChange(quorum.version)
        failed = [
            key
            for key, proposal in step.proposals.items()
            if proposal.outcome is not None and not proposal.outcome.succeeded
        ]
        for key in failed:  # the other rounds stand
            step.proposals[key] = node.propose(key, rewrite, now)
        if any(proposal.outcome is None for proposal in step.proposals.values()):
            return
        stages = self._stages()
        if step.stage < len(stages):
            keys = stages[step.stage]
            step.stage += 1
            step.proposals = {key: node.propose(key, rewrite, now) for key in keys}
        else:
            final = QuorumConfiguration(quorum.version + 1, (), quorum.new)
            node.propose(VOTERS_KEY, replace_quorum(final), now)

    def _stages(self) -> list[list[str]]:
        """The keys to write again, in order: later keys may be named by the values of earlier ones."""
        fixed = self._node.fixed_keys()
        return [
            [VOTERS_KEY],
            [key for key in fixed if key != VOTERS_KEY],
            [key for key in self._node.keys() if key not in fixed],  # noqa: SIM118 - not a mapping
        ]

    def standing(self) -> VoterStanding:
        """Who votes, as this controller knows, and why it votes or does not."""
        node, quorum = self._node, self._node.acceptor.quorum
        if not node.acceptor.recovered:
            why = "learning: its disk held no whole memory"
        elif node.me in quorum.members:
            why = "joint: both sets decide" if quorum.old else "votes"
        else:
            why = "comes in" if node.settings.voting else "its settings say voting = false"
        leaving = tuple(voter for voter in quorum.old if voter not in quorum.new)
        return VoterStanding(quorum.version, quorum.new, leaving, why)
