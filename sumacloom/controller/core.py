"""The registrar's core: register, roster, duties and news put together, without sockets.

Inputs are the methods; messages to peers gather in `outbox` as (peer ip, message). Writes are
synced by the ledger before a reply is put there.
"""

from sumacloom.consensus import storage
from sumacloom.consensus.node import Node
from sumacloom.controller import committed_values, peer_heartbeats  # noqa: F401  (peer_heartbeats registers handlers)
from sumacloom.controller.delivery import subscribers
from sumacloom.controller.delivery.log import Spool, mind_spool
from sumacloom.controller.failover import lease
from sumacloom.controller.policy import access, pool_modes, priority
from sumacloom.controller.registry.backends import Roster
from sumacloom.controller.registry.members import Members
from sumacloom.logs import Scribe
from sumacloom.settings import Settings
from sumacloom.transport.messages import PeerBeat
from sumacloom.transport.update_cache import Board

scribe = Scribe("office")
PEER_BEAT_S = 0.35
WHOLE_S = 1.0
KEEP_ROSTER_S = 1.0


class Office(Node):
    """One registrar."""

    def __init__(self, settings: Settings, ledger, random, now: float):
        super().__init__(settings, ledger, random, now)
        self.board = Board()
        self.roster, self.members = Roster(self.board), Members()
        self.minds, self.minded_at = set(), now
        self.lanes_at, self.readings = now, access.Readings(now)
        self.duty = None  # the failover duty's decided DutyValue
        self.duty_since, self.duty_before = (
            now,
            "",
        )  # when this holding began here, and who held it before
        self.duty_vacant_since, self.unfit_until = None, -1e9
        self.beaten_at = self.shared_at = self.told_whole_at = -1e9
        self.told_state = None
        self.told_suspects: set[str] = set()
        self.spool = Spool(self, self.storage.others, now)
        self.roster.load(self.storage.others, now)
        self.kept_roster, self.kept_at = self.board.known_digest, now

    def take(self, key: str, value: bytes, now: float) -> None:
        """Puts a decided value to use here."""
        committed_values.take(self, key, value, now)

    def keys(self) -> list[str]:
        """The keys of all registers that are in use."""
        return [*super().keys(), *subscribers.keys(self)]

    def whole(self) -> list[bytes]:
        """Everything, as a snapshot holds it."""
        return [
            *map(storage.encode, [*self.spool.records(), self.roster.record()]),
            *super().whole(),
        ]

    def keep_roster(self, now: float) -> None:
        """Keeps the backends on disk, so that after a loss of all power they need not be learned from beats."""
        if self.board.known_digest != self.kept_roster and now - self.kept_at >= KEEP_ROSTER_S:
            self.kept_roster, self.kept_at = self.board.known_digest, now
            self.storage.write_records([self.roster.record()])

    def peer_beat(
        self, now: float, records=None, positions=None, whole: bool | None = None
    ) -> PeerBeat:
        """This registrar's heartbeat for its peers; `whole` with what rarely changes, None out of turn."""
        return PeerBeat(
            {key: ballot for key, (ballot, _value) in self.decided.items()} if whole else None,
            self.members.told(now) if whole else None,
            self.roster.heard_ages(self.shared_at, now) if whole is not None else {},
            self.roster.dark_ages(now),
            {peer: self.peers[peer][1].number for peer in self.others() if self.alive(peer, now)},
            records,
            self.board.known_digest,
            self.acceptor.learned,
            sorted(self.told_suspects),
            positions or [],
            self.acceptor.configuration if whole and self.acceptor.learned else None,
            self.settings.voting,
            self.contact.number,
            self.undecided() if whole else {},
            self.settings.tolerate.nodes,
        )

    def tell_records(self, records: list, now: float) -> None:
        """Changed backend records go to the peers at once."""
        if records:
            self.tell_all(self.peer_beat(now, records))

    # ------------------------------------------------------------ clock
    def tick(self, now: float) -> None:
        """All that is due; the shell calls it some ten times a second."""
        self.now = now
        if now - self.beaten_at >= PEER_BEAT_S:
            self.beaten_at = now
            state = (
                len(self.decided),
                self.duty,
                self.acceptor.configuration.generation,
                self.board.lanes.order,
                self.board.evacuations,
                sorted(self.members.own_rows()),
                [self.alive(peer, now) for peer in self.others()],
            )
            whole = state != self.told_state or now - self.told_whole_at >= WHOLE_S
            if whole:
                self.told_state, self.told_whole_at = state, now
            sightings = self.roster.sightings(self.shared_at, now, own=True)
            self.contact.send(now)
            self.tell_all(self.peer_beat(now, None, sightings, whole))
            self.shared_at = now
            self.told_suspects.clear()
            self.members.sweep(now)
            self.tell_records(self.roster.sweep(now), now)
        self.tick_agreement(now)
        if self.votes and "failover" in self.settings.cloud.jobs:
            lease.mind_duty(self, now)
            priority.mind_lanes(self, now)
            access.mind_access(self, now)
            subscribers.mind_listeners(self, now)
        pool_modes.mind_pooling(self, now)
        mind_spool(self, now)
        self.keep_roster(now)
