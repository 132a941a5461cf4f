"""The backend registry: what one controller knows of backends.

Heartbeats are soft state, ordered by `seq`. A backend that leaves is kept as a tombstone, so that a late
heartbeat can't revive it. Positions that poolers read, and suspicions, are kept here too.
"""

import logging
from collections.abc import Iterable
from itertools import takewhile
from typing import NamedTuple

import msgspec
from msgspec import structs

from sumacloom.errors import InvalidHeartbeatError
from sumacloom.settings import is_address
from sumacloom.transport.messages import PeerHeartbeat
from sumacloom.transport.update_cache import UpdateCache
from sumacloom.transport.updates import (
    PHASE_DRAINING,
    PHASE_GONE,
    PHASE_UP,
    ROLE_PRIMARY,
    ROLE_REPLICA,
    BackendRecord,
    PositionObservation,
)
from sumacloom.types import NEVER

logger = logging.getLogger(__name__)

ROSTER_RECORD = "roster"  # the kind of our record in the log
TOMBSTONE_S = 60.0
NEW_INCARNATION_S = 3.0  # a lower seq counts as a restart only after so long a silence
SILENT_S = 30.0
PEER_S = 2.5  # how long a peer's word on unreachable backends counts
SUSPECT_S = 3.0
OBSERVATION_S = 2.0
HEARTBEAT_STEP_S = 0.1
OVERDUE_HEARTBEATS = 1.6  # a primary is probed when its heartbeat is so many intervals old

# a change of any of these must reach others at once
SUBSTANCE = ("service", "address", "zone", "slots", "phase", "role", "incarnation")


class BackendHeartbeat(msgspec.Struct, rename="camel"):
    """The body of a backend's heartbeat; names are those of the pages."""

    svc: str
    addr: str
    az: str
    seq: int
    phase: str = PHASE_UP
    slots: int = 1
    cold_left_ms: float = 0
    dbrole: str = ROLE_REPLICA


class ObservedPosition(NamedTuple):
    """A replica's position: when it was read, when it came here, and whether from a pooler of ours."""

    seen_at: float
    observation: PositionObservation
    received_at: float
    own: bool


def is_same(known: BackendRecord, fresh: BackendRecord) -> bool:
    """Whether a heartbeat tells nothing new that others must know.

    >>> old = BackendRecord("i", "s", "a", "z", seq=1)
    >>> is_same(old, BackendRecord("i", "s", "a", "z", seq=2))
    True
    """
    same_warmth = (known.cold_ms > 0) == (fresh.cold_ms > 0)
    return same_warmth and all(getattr(known, name) == getattr(fresh, name) for name in SUBSTANCE)


class BackendRegistry:
    """What this controller knows of backends.

    Attributes:
        last_heartbeat_at: when a backend was last heard, by any controller, on our clock.
        heartbeat_learned_at: when we learned so.
        removed_at: tombstones.
        suspected_at: when a pooler last reported a fault of a backend.
        probe_failed_since: since when our own probes of a backend fail.
        peer_unreachable_since: for each peer, since when its probes of a backend fail, on our clock.
        restored_at: backends known only from our disk so far.
    """

    def __init__(self, cache: UpdateCache):
        self.cache = cache
        self.last_seq: dict[str, int] = {}
        self.last_heartbeat_at: dict[str, float] = {}
        self.heartbeat_learned_at: dict[str, float] = {}
        self.removed_at: dict[str, float] = {}
        self.peer_received_at: dict[str, float] = {}
        self.suspected_at: dict[str, float] = {}
        self.probe_failed_since: dict[str, float] = {}
        self.observed: dict[str, ObservedPosition] = {}
        self.peer_unreachable_since: dict[str, dict[str, float]] = {}
        self.restored_at: dict[str, float] = {}

    # ------------------------------------------------------------ disk
    def record(self) -> tuple[str, list[BackendRecord]]:
        """The backends that are there, as the log keeps them."""
        present = [record for record in self.cache.records.values() if not record.is_gone]
        return (ROSTER_RECORD, present)

    def restore(self, records: list[tuple], now: float) -> None:
        """Takes the backends of the newest record in the log.

        An outdated one does no harm: each LOGIN names the backend's id, so a reused address is refused.

        >>> registry = BackendRegistry(UpdateCache())
        >>> registry.restore([("roster", [["i", "s", "10.0.0.1:80", "z"]])], 0.0)
        >>> list(registry.cache.records)
        ['i']
        """
        rosters = [record[1] for record in records if record[0] == ROSTER_RECORD]
        for record in msgspec.convert(rosters[-1], list[BackendRecord]) if rosters else []:
            self.cache.records[record.name] = record
            self.restored_at[record.name] = now
        self.cache.refresh_records_digest()

    # ------------------------------------------------------------ heartbeats
    def receive(self, name: str, body: bytes, now: float) -> list[BackendRecord]:
        """A backend's heartbeat; returns the records that changed by it.

        >>> registry = BackendRegistry(UpdateCache())
        >>> body = b'{"svc":"s","addr":"10.0.0.1:80","az":"z","seq":1}'
        >>> registry.receive("i-1", body, 0.0)[0].service, registry.receive("i-1", body, 0.1)
        ('s', [])

        Raises:
            InvalidHeartbeatError: a field is missing or wrong.
        """
        heartbeat = self._parse(body)
        if name in self.removed_at:
            return []
        known = self.cache.records.get(name)
        incarnation = known.incarnation if known else 0
        if heartbeat.seq <= self.last_seq.get(name, known.seq if known else -1):
            late = now - self.last_heartbeat_at.get(name, NEVER) < NEW_INCARNATION_S
            if late or known is None:
                return []
            incarnation += 1
        self.last_seq[name] = heartbeat.seq
        self.observe_heartbeat(name, now, now)
        fresh = BackendRecord(
            name,
            heartbeat.svc,
            heartbeat.addr,
            heartbeat.az,
            heartbeat.slots,
            heartbeat.phase,
            ROLE_PRIMARY if heartbeat.dbrole == ROLE_PRIMARY else ROLE_REPLICA,
            heartbeat.cold_left_ms,
            incarnation,
            heartbeat.seq,
        )
        if known and is_same(known, fresh):
            return []
        if not known or known.role != fresh.role or known.phase != fresh.phase:
            logger.info(
                "the backend %s of %s is %s, %s", name, fresh.service, fresh.phase, fresh.role
            )
        self.cache.records[name] = fresh
        self.cache.refresh_records_digest()
        return [fresh, *self._remove_others_at(fresh, now)]

    @staticmethod
    def _parse(body: bytes) -> BackendHeartbeat:
        try:
            heartbeat = msgspec.json.decode(body, type=BackendHeartbeat)
        except msgspec.MsgspecError as error:
            raise InvalidHeartbeatError(f"the beat is invalid: {error}") from error
        valid_phase = heartbeat.phase in (PHASE_UP, PHASE_DRAINING)
        if not is_address(heartbeat.addr) or not heartbeat.svc or not valid_phase:
            raise InvalidHeartbeatError
        return heartbeat

    def _remove_others_at(self, fresh: BackendRecord, now: float) -> list[BackendRecord]:
        """Removes other backends that were at the address of a fresh one."""
        others = [
            record.name
            for record in self.cache.records.values()
            if record.address == fresh.address
            and record.name != fresh.name
            and not record.is_gone
            and self.last_heartbeat_at.get(record.name, NEVER)
            <= self.last_heartbeat_at.get(fresh.name, now)
        ]
        return self._remove_all(others, now)

    def _remove_all(self, names: Iterable[str], now: float) -> list[BackendRecord]:
        removed = [self.remove(name, now) for name in names]
        return [record for record in removed if record is not None]

    def remove(self, name: str, now: float) -> BackendRecord | None:
        """A backend has left; returns its tombstone, or None if it was not there."""
        known = self.cache.records.get(name)
        self.removed_at[name] = now
        if known is None or known.is_gone:
            return None
        logger.info("the backend %s of %s has left", name, known.service)
        gone = structs.replace(known, phase=PHASE_GONE, incarnation=known.incarnation + 1)
        self.cache.records[name] = gone
        self.cache.refresh_records_digest()
        return gone

    def observe_heartbeat(self, name: str, sent_at: float, now: float) -> None:
        """A backend was heard at a moment, here or by a peer."""
        self.last_heartbeat_at[name] = sent_at
        self.heartbeat_learned_at[name] = now
        self.restored_at.pop(name, None)

    # ------------------------------------------------------------ peers
    def take_records(self, records: list[BackendRecord], now: float) -> list[BackendRecord]:
        """Records from another controller; returns those that were new here."""
        fresh = self.cache.apply_records(records)
        for record in fresh:
            self.last_heartbeat_at.setdefault(record.name, now)
            if record.is_gone:
                self.removed_at.setdefault(record.name, now)
        return fresh

    def receive_peer(self, peer: str, heartbeat: PeerHeartbeat, now: float) -> None:
        """A peer's heartbeat: which backends it heard, which it can't reach."""
        self.peer_received_at[peer] = now
        self.peer_unreachable_since[peer] = {
            name: now - age / 1000 for name, age in heartbeat.unreachable_ages.items()
        }
        for name, age in heartbeat.backend_ages.items():
            sent_at = now - age / 1000
            if sent_at > self.last_heartbeat_at.get(name, NEVER) + HEARTBEAT_STEP_S:
                self.observe_heartbeat(name, sent_at, now)
        self.take_observations(heartbeat.positions, now, own=False)
        for name in heartbeat.suspects:
            self.suspect(name, now)

    def backend_ages(self, since: float, now: float) -> dict[str, int]:
        """For the peers: how long ago backends were heard, in ms; only what came in after a moment.

        >>> registry = BackendRegistry(UpdateCache()); registry.observe_heartbeat("i", 1.0, 1.1)
        >>> registry.backend_ages(1.0, 1.5)
        {'i': 500}
        """
        return {
            name: round((now - self.last_heartbeat_at[name]) * 1000)
            for name, learned_at in self.heartbeat_learned_at.items()
            if learned_at > since
        }

    def unreachable_ages(self, now: float) -> dict[str, int]:
        """For the peers: how long our probes of a backend have failed, in ms."""
        return {
            name: round((now - since) * 1000) for name, since in self.probe_failed_since.items()
        }

    # ------------------------------------------------------------ positions
    def take_observations(
        self, observations: list[PositionObservation], now: float, own: bool
    ) -> None:
        """Positions that poolers read; the newest of each replica is kept.

        >>> registry = BackendRegistry(UpdateCache())
        >>> registry.take_observations([PositionObservation("i", 3, 9, 500)], 1.0, True)
        >>> registry.observations(0.0, 1.0, own=True)
        [PositionObservation(backend='i', term=3, number=9, age_ms=500)]
        """
        for observation in observations:
            seen_at = now - observation.age_ms / 1000
            known = self.observed.get(observation.backend)
            if known is None or seen_at > known.seen_at:
                self.observed.pop(observation.backend, None)  # kept in the order of receipt
                self.observed[observation.backend] = ObservedPosition(
                    seen_at, observation, now, own
                )

    def observations(
        self, since: float, now: float, own: bool = False
    ) -> list[PositionObservation]:
        """The positions that came in after a moment; with `own`, only those from our poolers."""
        recent = takewhile(
            lambda observed: observed.received_at > since, reversed(self.observed.values())
        )
        return [
            structs.replace(one.observation, age_ms=int((now - one.seen_at) * 1000))
            for one in recent
            if now - one.seen_at < OBSERVATION_S and (one.own or not own)
        ]

    # ------------------------------------------------------------ failure detection
    def suspect(self, name: str, now: float) -> None:
        """A pooler reported a fault of this backend."""
        self.suspected_at[name] = now

    def suspects(self, heartbeat_s: float, now: float) -> list[str]:
        """The primaries to probe: suspected lately, overdue with their heartbeat, or unreachable."""
        return [
            record.name
            for record in self.cache.records.values()
            if record.is_primary
            and not record.is_gone
            and self._is_suspect(record.name, heartbeat_s, now)
        ]

    def _is_suspect(self, name: str, heartbeat_s: float, now: float) -> bool:
        silence_s = now - self.last_heartbeat_at.get(name, now)
        return (
            now - self.suspected_at.get(name, NEVER) < SUSPECT_S
            or silence_s > OVERDUE_HEARTBEATS * heartbeat_s
            or name in self.probe_failed_since
        )

    def unreachable_since(self, name: str, voters: int, now: float) -> float | None:
        """Since when a majority of the voters can't reach a backend and nobody has heard it.

        >>> registry = BackendRegistry(UpdateCache()); registry.probe_failed_since["i"] = 1.0
        >>> registry.unreachable_since("i", 3, 2.0) is None
        True
        >>> registry.peer_unreachable_since["b"] = {"i": 1.4}; registry.peer_received_at["b"] = 2.0
        >>> registry.unreachable_since("i", 3, 2.0)
        1.4
        """
        times = [
            since[name]
            for peer, since in self.peer_unreachable_since.items()
            if name in since and now - self.peer_received_at[peer] < PEER_S
        ]
        if name in self.probe_failed_since:
            times.append(self.probe_failed_since[name])
        majority = voters // 2 + 1
        if len(times) < majority:
            return None
        since = sorted(times)[majority - 1]
        return None if self.last_heartbeat_at.get(name, NEVER) > since else since

    def sweep(self, now: float) -> list[BackendRecord]:
        """Removes backends long silent, forgets old tombstones; returns the records that changed."""
        old = [name for name, at in self.removed_at.items() if now - at > TOMBSTONE_S]
        for name in old:
            del self.removed_at[name]
        records = self.cache.records
        self.cache.forget_records(
            [name for name in old if name in records and records[name].is_gone]
        )
        silent = [
            name
            for name, record in records.items()
            if not record.is_gone and self._silent_for(name, now) > SILENT_S
        ]
        return self._remove_all(silent, now)

    def _silent_for(self, name: str, now: float) -> float:
        known_since = self.restored_at.get(name, now)
        return now - self.last_heartbeat_at.get(name, known_since)
