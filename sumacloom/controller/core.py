"""The controller's core: registers, registry, leases and policies put together, without sockets.

Inputs are the methods; messages to peers gather in `outbox`. Writes are queued at `storage`, and a reply
that depends on one is deferred until it is synced.
"""

import logging
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from sumacloom.consensus import storage
from sumacloom.consensus.codec import decode
from sumacloom.consensus.contact import PeerState, newest_numbers
from sumacloom.consensus.messages import Committed, QuorumChanged
from sumacloom.consensus.node import KNOWN_S, ConsensusNode
from sumacloom.consensus.proposal_number import ProposalNumber
from sumacloom.consensus.storage import Log
from sumacloom.controller.delivery.feed import Feed
from sumacloom.controller.delivery.log import DeliveryLog
from sumacloom.controller.delivery.subscribers import SubscribersValue, Subscriptions
from sumacloom.controller.failover.lease import FailoverLease
from sumacloom.controller.policy.access import AccessRollout, AccessValue
from sumacloom.controller.policy.pool_modes import PoolModesValue, PoolModeVotes
from sumacloom.controller.policy.priority import PriorityRollout, PriorityValue
from sumacloom.controller.registers import (
    ACCESS_KEY,
    CONFIGURATION_KEY,
    FAILOVER_LEASE_KEY,
    FEED_PREFIX,
    POOL_MODES_KEY,
    PRIORITY_KEY,
    PROMOTIONS_KEY,
    REGISTER_KEYS,
    SUBSCRIBERS_KEY,
    ZONE_DRAINS_KEY,
)
from sumacloom.controller.registers.configuration import ConfigurationValue
from sumacloom.controller.registers.lease import LeaseValue
from sumacloom.controller.registers.promotions import Promotion, PromotionsValue
from sumacloom.controller.registers.zone_drains import ZoneDrainsValue
from sumacloom.controller.registry.backends import BackendRegistry
from sumacloom.controller.registry.members import Members
from sumacloom.settings import Settings
from sumacloom.transport.messages import (
    IntentReplica,
    IntentStored,
    PeerHeartbeat,
    ReplicaStored,
    Update,
)
from sumacloom.transport.update_cache import UpdateCache
from sumacloom.transport.updates import BackendRecord, PositionObservation
from sumacloom.types import NEVER

logger = logging.getLogger(__name__)

HEARTBEAT_S = 0.35
FULL_HEARTBEAT_S = 1.0  # what rarely changes is sent at least so often
STORE_BACKENDS_S = 1.0
FAILOVER_JOB = "failover"  # as the settings name it


class HeartbeatState(NamedTuple):
    """What a full heartbeat tells; a change of it makes the next heartbeat a full one."""

    committed: int
    lease: LeaseValue | None
    quorum_version: int
    priority_order: int
    zone_drains: int
    sessions: list[tuple[str, str, str, int, int, int]]
    alive: list[bool]


class ControllerCore(ConsensusNode):
    """One controller."""

    def __init__(self, settings: Settings, wal: Log, source: random.Random, now: float):
        super().__init__(settings, wal, source, now)
        records = self.storage.extension_records
        self.cache = UpdateCache()
        self.registry = BackendRegistry(self.cache)
        self.members = Members()
        self.failover_lease = FailoverLease(self, now)
        self.priority = PriorityRollout(self, now)
        self.access = AccessRollout(self, now)
        self.pool_mode_votes = PoolModeVotes(self, now)
        self.subscriptions = Subscriptions(self)
        self.delivery = DeliveryLog(self, records, now)
        self.registry.restore(records, now)
        self.promotions = PromotionsValue({})
        self.new_suspects: set[str] = set()  # not yet told to the peers
        self.heartbeat_sent_at = self.ages_sent_at = self.full_heartbeat_at = NEVER
        self._last_full_state: HeartbeatState | None = None
        self._stored_digest, self._stored_at = self.cache.records_digest, now
        self.handlers |= {
            PeerHeartbeat: self._handle_peer_heartbeat,
            IntentStored: self.delivery.handle_intent_stored,
            IntentReplica: self.delivery.handle_replica,
            ReplicaStored: self.delivery.handle_replica_stored,
        }
        self._appliers: dict[str, Callable[[bytes, float], None]] = {
            CONFIGURATION_KEY: self._apply_configuration,
            ZONE_DRAINS_KEY: self._apply_zone_drains,
            FAILOVER_LEASE_KEY: self._apply_lease,
            PRIORITY_KEY: self._apply_priority,
            ACCESS_KEY: self._apply_access,
            POOL_MODES_KEY: self._apply_pool_modes,
            SUBSCRIBERS_KEY: self._apply_subscribers,
            PROMOTIONS_KEY: self._apply_promotions,
        }

    # ------------------------------------------------------------ registers
    def fixed_keys(self) -> tuple[str, ...]:
        """The keys of all registers but the feeds."""
        return REGISTER_KEYS

    def keys(self) -> list[str]:
        """The keys of all registers in use."""
        return [*REGISTER_KEYS, *self.subscriptions.feed_keys()]

    def snapshot_records(self) -> list[bytes]:
        """All state, as a snapshot holds it."""
        own = [*self.delivery.records(), self.registry.record()]
        return [*map(storage.encode_record, own), *super().snapshot_records()]

    def apply_committed(self, key: str, value: bytes, now: float) -> None:
        """Puts a committed value to use here."""
        if key in self._appliers:
            self._appliers[key](value, now)
        elif key.startswith(FEED_PREFIX):
            feed = decode(Feed, value)
            if feed is not None:
                self.delivery.apply_feed(key.removeprefix(FEED_PREFIX), feed)
        else:
            super().apply_committed(key, value, now)

    def _apply_configuration(self, value: bytes, _now: float) -> None:
        found = _decode(ConfigurationValue, value)
        if self.cache.apply(Update(found.compressed, 0, None, None)):
            restores = f", it restores {found.restores}" if found.restores else ""
            logger.info("the configuration %d is committed%s", found.ver, restores)

    def _apply_zone_drains(self, value: bytes, _now: float) -> None:
        found = _decode(ZoneDrainsValue, value)
        if self.cache.apply(Update(None, found.version, found.zones, None)):
            logger.info("the drained zones are now: %s", ", ".join(found.zones) or "none")

    def _apply_lease(self, value: bytes, now: float) -> None:
        self.failover_lease.apply(_decode(LeaseValue, value), now)

    def _apply_priority(self, value: bytes, now: float) -> None:
        found = _decode(PriorityValue, value)
        self.priority.offered_at = now
        if self.cache.apply(Update(None, 0, None, None, priority=found.update())):
            stage = "in force" if found.in_force else "offered"
            databases = ", ".join(found.wanted) or "none"
            logger.info("the priority databases %d are %s: %s", found.version, stage, databases)

    def _apply_access(self, value: bytes, now: float) -> None:
        found = _decode(AccessValue, value)
        if self.cache.apply(Update(None, 0, None, None, access=found.update())):
            self.access.offered_at = now
            stage = "in force" if found.in_force else "offered"
            logger.info("the access list %d is %s", found.version, stage)

    def _apply_pool_modes(self, value: bytes, _now: float) -> None:
        found = _decode(PoolModesValue, value)
        before = self.cache.pool_modes_version
        if self.cache.apply(Update(None, 0, None, None, pool_modes=found.update())):
            changed = [f"{row.database} {row.mode}" for row in found.rows if row.since > before]
            logger.info("the pool modes %d: %s", found.version, ", ".join(changed))

    def _apply_subscribers(self, value: bytes, _now: float) -> None:
        found = _decode(SubscribersValue, value)
        if self.cache.apply(Update(None, 0, None, None, subscribers=found.update())):
            rows = [f"{row.name} to {row.database} ({row.state})" for row in found.rows]
            logger.info("the subscribers %d: %s", found.version, ", ".join(rows) or "none")

    def _apply_promotions(self, value: bytes, _now: float) -> None:
        self.promotions = _decode(PromotionsValue, value)

    def promotions_of(self, service: str) -> tuple[Promotion, ...]:
        """The promotions that were decided for a service, the oldest first."""
        return tuple(self.promotions.services.get(service, ()))

    # ------------------------------------------------------------ heartbeats
    def peer_heartbeat(
        self,
        now: float,
        records: list[BackendRecord] | None = None,
        positions: list[PositionObservation] | None = None,
        full: bool | None = None,
    ) -> PeerHeartbeat:
        """This controller's heartbeat for its peers.

        Args:
            now: seconds on the steady clock.
            records: backend records that changed.
            positions: replica positions that our poolers read.
            full: whether with what rarely changes; None for one out of turn, without ages either.
        """
        acknowledged = {
            peer: self.peers[peer].heartbeat.number
            for peer in self.peer_addresses()
            if self.is_alive(peer, now)
        }
        quorum = self.acceptor.quorum if full and self.acceptor.recovered else None
        return PeerHeartbeat(
            {key: one.proposal_number for key, one in self.committed.items()} if full else None,
            self.members.rows_for_peers(now) if full else None,
            {} if full is None else self.registry.backend_ages(self.ages_sent_at, now),
            self.registry.unreachable_ages(now),
            acknowledged,
            records,
            self.cache.records_digest,
            self.acceptor.recovered,
            sorted(self.new_suspects),
            positions or [],
            quorum,
            self.settings.voting,
            self.contact.number,
            self.uncommitted() if full else {},
            self.settings.tolerate.nodes,
        )

    def publish_records(self, records: list[BackendRecord], now: float) -> None:
        """Sends changed backend records to the peers at once."""
        if records:
            self.broadcast(self.peer_heartbeat(now, records))

    def report_suspect(self, name: str, now: float) -> None:
        """A pooler in session here reports a fault of a backend; the peers hear of it at once."""
        self.registry.suspect(name, now)
        self.new_suspects.add(name)
        self.heartbeat_sent_at = NEVER

    def announce_leaving(self) -> None:
        """The next heartbeat says that this controller no longer counts as a voter."""
        self.settings.voting = False
        self.heartbeat_sent_at = self.full_heartbeat_at = NEVER

    def _handle_peer_heartbeat(self, peer: str, message: PeerHeartbeat, now: float) -> None:
        if not self.is_alive(peer, now):
            logger.info("the controller %s is heard", peer)
            self.heartbeat_sent_at = NEVER  # reply at once: contact is established the sooner
        self._warn_of_tolerance(peer, message)
        self.peers[peer] = PeerState(now, message)
        self._date_contact(peer, message, now)
        self.registry.receive_peer(peer, message, now)
        self.members.receive_peer(peer, message.sessions, now)
        if message.records:
            self.publish_records(self.registry.take_records(message.records, now), now)
        elif message.digest != self.cache.records_digest and self.cache.records:
            records = list(self.cache.records.values())
            self.send(peer, self.peer_heartbeat(now, records))
        if message.quorum:
            self.reconfiguration.peer_versions[peer] = message.quorum.version
            self.reconfiguration.handle_quorum_changed(peer, QuorumChanged(message.quorum), now)
        for key, number in (message.committed or {}).items():
            committed = ProposalNumber(*number)
            if committed > self.committed_number(key):
                self.handle_committed(peer, Committed(key, committed), now)

    def _warn_of_tolerance(self, peer: str, message: PeerHeartbeat) -> None:
        own = self.settings.tolerate.nodes
        before = self.peers[peer].heartbeat.tolerates if peer in self.peers else 0
        if message.tolerates not in (0, own, before):
            logger.warning(
                "tolerate.nodes is %d at %s and %d here: the most that a voter says is kept to",
                message.tolerates,
                peer,
                own,
            )

    def _date_contact(self, peer: str, message: PeerHeartbeat, now: float) -> None:
        acknowledged = message.heartbeats_received.get(self.me)
        self.contact.receive(peer, acknowledged)
        if message.committed is not None:
            numbers = newest_numbers(message.committed, message.uncommitted)
            self.contact.receive_numbers(peer, acknowledged, numbers)
        self.known_at[peer] = now
        for other in message.heartbeats_received:  # named by a peer, not heard ourselves
            known = self.known_at.get(other, 0.0)
            self.known_at[other] = max(now - KNOWN_S / 2, known)

    # ------------------------------------------------------------ timers
    def tick(self, now: float) -> None:
        """All that is due; the process calls it some twenty times a second."""
        self.now = now
        if now - self.heartbeat_sent_at >= HEARTBEAT_S:
            self.heartbeat_sent_at = now
            self._send_heartbeats(now)
            self.members.sweep(now)
            self.publish_records(self.registry.sweep(now), now)
        self.tick_consensus(now)
        if self.is_voter and FAILOVER_JOB in self.settings.cloud.jobs:
            self.failover_lease.on_timer(now)
            self.priority.on_timer(now)
            self.access.on_timer(now)
            self.subscriptions.on_timer(now)
        self.pool_mode_votes.on_timer(now)
        self.delivery.on_timer(now)
        self._store_backends(now)

    def _send_heartbeats(self, now: float) -> None:
        state = HeartbeatState(
            len(self.committed),
            self.failover_lease.value,
            self.acceptor.quorum.version,
            self.cache.priority.order,
            self.cache.zone_drains,
            sorted(self.members.own_rows()),
            [self.is_alive(peer, now) for peer in self.peer_addresses()],
        )
        changed = state != self._last_full_state
        full = changed or now - self.full_heartbeat_at >= FULL_HEARTBEAT_S
        if full:
            self._last_full_state, self.full_heartbeat_at = state, now
        positions = self.registry.observations(self.ages_sent_at, now, own=True)
        self.contact.send(now)
        self.broadcast(self.peer_heartbeat(now, None, positions, full))
        self.ages_sent_at = now
        self.new_suspects.clear()

    def _store_backends(self, now: float) -> None:
        """Keeps the backends on disk, so that after a loss of all power they are known at once."""
        changed = self.cache.records_digest != self._stored_digest
        if changed and now - self._stored_at >= STORE_BACKENDS_S:
            self._stored_digest, self._stored_at = self.cache.records_digest, now
            self.storage.write_records([self.registry.record()])


def _decode(kind: Any, value: bytes) -> Any:
    """A committed value, which always is there."""
    return decode(kind, value)
