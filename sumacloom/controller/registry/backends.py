"""Backends as one registrar knows them: beats, tombstones, sightings, suspicions."""

from itertools import takewhile

import msgspec
from msgspec import structs

from sumacloom.errors import Err, Ok, Result, mishap
from sumacloom.logs import Scribe
from sumacloom.settings import split_address
from sumacloom.transport.update_cache import Board
from sumacloom.transport.updates import Record, Sighting

scribe = Scribe("roster")
TOMBSTONE_S = 60.0
NEW_LIFE_S = 3.0
SILENT_S = 30.0
PEER_S = 2.5
SUSPECT_S = 3.0
SIGHT_S = 2.0
HEARD_STEP_S = 0.1


class Beat(msgspec.Struct, rename="camel"):
    svc: str
    addr: str
    az: str
    seq: int
    phase: str = "up"
    slots: int = 1
    cold_left_ms: float = 0
    dbrole: str = "replica"


class Roster:
    """What this registrar knows of backends."""

    def __init__(self, board: Board):
        self.board = board
        self.last_seq: dict[str, int] = {}
        self.heard_at: dict[str, float] = {}  # by any registrar, on our clock
        self.heard_told: dict[str, float] = {}  # when we learned so
        self.gone_at: dict[str, float] = {}
        self.peer_heard: dict[str, float] = {}
        self.suspected: dict[str, float] = {}  # backend: when a counter last told of a mishap
        self.probed: dict[str, float] = {}  # backend: since when our probes fail
        self.sighted: dict[str, tuple] = {}  # replica: (seen at, position, told here first)
        self.peer_dark: dict[str, dict] = {}  # peer: {backend: since when, on our clock}
        self.loaded: dict[str, float] = {}  # known only from our disk so far, since when

    def record(self) -> tuple:
        """The backends that are there, as the ledger keeps them.

        >>> Roster(Board()).record()
        ('roster', [])
        """
        return (
            "roster",
            [record for record in self.board.records.values() if record.phase != "gone"],
        )

    def load(self, others: list[tuple], now: float) -> None:
        """Takes the backends that the ledger knew last; each LOGIN names its id, so an old one does no harm.

        >>> roster = Roster(Board()); roster.load([("roster", [["i", "s", "10.0.0.1:80", "z"]])], 0.0); list(roster.board.records)
        ['i']
        """
        kept = [found[1] for found in others if found[0] == "roster"]
        for record in msgspec.convert(kept[-1], list[Record]) if kept else []:
            self.board.records[record.name] = record
            self.loaded[record.name] = now
        self.board.forget(())

    def beat(self, name: str, body: bytes, now: float) -> Result:
        """A backend's beat; Ok(records) that changed by it, Ok(None) if none did.

        >>> roster = Roster(Board()); beat = b'{"svc":"s","addr":"10.0.0.1:80","az":"z","seq":1}'
        >>> roster.beat("i-1", beat, 0.0).ok()[0].service
        's'
        >>> roster.beat("i-1", beat, 0.1)
        Ok(None)
        """
        try:
            beat = msgspec.json.decode(body, type=Beat)
        except msgspec.MsgspecError as error:
            return Err(mishap("invalid_beat", f"the beat is invalid: {error}"))
        if split_address(beat.addr) is None or not beat.svc or beat.phase not in ("up", "draining"):
            return Err(mishap("invalid_beat"))
        if name in self.gone_at:
            return Ok(None)
        held = self.board.records.get(name)
        life = held.life if held else 0
        if beat.seq <= self.last_seq.get(name, held.seq if held else -1):
            if now - self.heard_at.get(name, -1e9) < NEW_LIFE_S or held is None:
                return Ok(None)
            life += 1
        self.last_seq[name] = beat.seq
        self.hear_backend(name, now, now)
        fresh = Record(
            name,
            beat.svc,
            beat.addr,
            beat.az,
            beat.slots,
            beat.phase,
            "primary" if beat.dbrole == "primary" else "replica",
            beat.cold_left_ms,
            life,
            beat.seq,
        )
        if held and self.same(held, fresh):
            return Ok(None)
        if not held or held.role != fresh.role or held.phase != fresh.phase:
            scribe.say(
                "the backend %s of %s is %s, %s", name, fresh.service, fresh.phase, fresh.role
            )
        self.board.records[name] = fresh
        self.board.forget(())
        return Ok([fresh, *self.replaced_by(fresh, now)])

    def replaced_by(self, fresh: Record, now: float) -> list[Record]:
        """Ends the records of other backends that were at the address of a fresh one.

        >>> Roster(Board()).replaced_by(Record("i", "s", "10.0.0.1:80", "z"), 0.0)
        []
        """
        others = [
            record.name
            for record in self.board.records.values()
            if record.address == fresh.address
            and record.name != fresh.name
            and record.phase != "gone"
            and self.heard_at.get(record.name, -1e9) <= self.heard_at.get(fresh.name, now)
        ]
        return [record for record in (self.leave(name, now) for name in others) if record]

    @staticmethod
    def same(held: Record, fresh: Record) -> bool:
        """Whether a beat tells nothing new that others must know.

        >>> Roster.same(Record("i", "s", "a", "z", seq=1), Record("i", "s", "a", "z", seq=2))
        True
        """
        substance = ("service", "address", "zone", "slots", "phase", "role", "life")
        warmer = (held.cold_ms > 0) == (fresh.cold_ms > 0)
        return warmer and all(getattr(held, field) == getattr(fresh, field) for field in substance)

    def leave(self, name: str, now: float) -> Record | None:
        """A backend says goodbye: a tombstone stays, so that a late beat can't revive it.

        >>> roster = Roster(Board()); roster.leave("i-1", 0.0) is None
        True
        """
        held = self.board.records.get(name)
        self.gone_at[name] = now
        if held is None or held.phase == "gone":
            return None
        scribe.say("the backend %s of %s has left", name, held.service)
        gone = msgspec.structs.replace(held, phase="gone", life=held.life + 1)
        self.board.records[name] = gone
        self.board.forget(())
        return gone

    def take_records(self, records: list[Record], now: float) -> list[Record]:
        """Records from another registrar; gives those that were new here.

        >>> Roster(Board()).take_records([Record("i", "s", "10.0.0.1:80", "z")], 0.0)[0].name
        'i'
        """
        fresh = [record for record in records if self.board.newer(record)]
        for record in fresh:
            self.board.records[record.name] = record
            self.heard_at.setdefault(record.name, now)
            if record.phase == "gone":
                self.gone_at.setdefault(record.name, now)
        self.board.forget(())
        return fresh

    def hear_peer(self, peer: str, beat, now: float) -> None:
        """A peer's heartbeat: what it heard, what it finds dark."""
        self.peer_heard[peer] = now
        self.peer_dark[peer] = {name: now - dark / 1000 for name, dark in beat.dark.items()}
        for name, age in beat.heard.items():
            heard = now - age / 1000
            if heard > self.heard_at.get(name, -1e9) + HEARD_STEP_S:
                self.hear_backend(name, heard, now)
        self.take_sightings(beat.positions, now, own=False)
        for name in beat.suspects:
            self.suspect(name, now)

    def take_sightings(self, sightings: list[Sighting], now: float, own: bool) -> None:
        """Positions that counters read; the newest of each replica is kept.

        >>> roster = Roster(Board()); roster.take_sightings([Sighting("i", 3, 9, 500)], 1.0, True)
        >>> roster.sightings(0.0, 1.0, own=True)
        [Sighting(backend='i', term=3, number=9, age_ms=500)]
        """
        for sighting in sightings:
            seen = now - sighting.age_ms / 1000
            if seen > self.sighted.get(sighting.backend, (-1e9,))[0]:
                self.sighted.pop(sighting.backend, None)  # kept in the order in which they came
                self.sighted[sighting.backend] = (seen, sighting, now, own)

    def sightings(self, since: float, now: float, own: bool = False) -> list[Sighting]:
        """The positions that came in after a moment; with `own`, only those our counters told.

        >>> Roster(Board()).sightings(0.0, 1.0)
        []
        """
        return [
            structs.replace(sighting, age_ms=int((now - seen) * 1000))
            for seen, sighting, _came, ours in takewhile(
                lambda sight: sight[2] > since, reversed(self.sighted.values())
            )
            if now - seen < SIGHT_S and (ours or not own)
        ]

    def suspect(self, name: str, now: float) -> None:
        """A counter told of a mishap with this backend.

        >>> roster = Roster(Board()); roster.suspect("i", 1.0); roster.suspected
        {'i': 1.0}
        """
        self.suspected[name] = now

    def suspects(self, beat_s: float, now: float) -> list[str]:
        """The primaries that are to be probed: told of lately, overdue with their beat, or known dark.

        >>> Roster(Board()).suspects(1.2, 0.0)
        []
        """
        return [
            record.name
            for record in self.board.records.values()
            if record.role == "primary"
            and record.phase != "gone"
            and (
                now - self.suspected.get(record.name, -1e9) < SUSPECT_S
                or now - self.heard_at.get(record.name, now) > 1.6 * beat_s
                or record.name in self.probed
            )
        ]

    def hear_backend(self, name: str, heard: float, now: float) -> None:
        """A backend was heard at a moment, here or by a peer.

        >>> roster = Roster(Board()); roster.hear_backend("i", 1.0, 1.1); roster.heard_ages(1.0, 1.5)
        {'i': 500}
        """
        self.heard_at[name], self.heard_told[name] = heard, now
        self.loaded.pop(name, None)

    def heard_ages(self, since: float, now: float) -> dict[str, int]:
        """For the peers: how long ago backends were heard, in ms; only what came in after a moment.

        >>> Roster(Board()).heard_ages(0.0, 0.0)
        {}
        """
        return {
            name: round((now - self.heard_at[name]) * 1000)
            for name, told in self.heard_told.items()
            if told > since
        }

    def dark_ages(self, now: float) -> dict[str, float]:
        """For the peers: how long our probes of a backend have failed, in ms.

        >>> Roster(Board()).dark_ages(0.0)
        {}
        """
        return {name: round((now - since) * 1000) for name, since in self.probed.items()}

    def dark_since(self, name: str, voters: int, now: float) -> float | None:
        """Since when a majority of the registrars has found a backend dark and none heard it.

        >>> roster = Roster(Board()); roster.probed["i"] = 1.0
        >>> roster.dark_since("i", 3, 2.0) is None
        True
        >>> roster.peer_dark["b"] = {"i": 1.4}; roster.peer_heard["b"] = 2.0; roster.dark_since("i", 3, 2.0)
        1.4
        """
        times = [self.probed[name]] if name in self.probed else []
        times += [
            dark[name]
            for peer, dark in self.peer_dark.items()
            if name in dark and now - self.peer_heard[peer] < PEER_S
        ]
        majority = voters // 2 + 1
        if len(times) < majority:
            return None
        since = sorted(times)[majority - 1]
        return None if self.heard_at.get(name, -1e9) > since else since

    def sweep(self, now: float) -> list[Record]:
        """Ends what is long silent; forgets old tombstones. Gives records that changed.

        >>> Roster(Board()).sweep(0.0)
        []
        """
        old = [name for name, gone in self.gone_at.items() if now - gone > TOMBSTONE_S]
        for name in old:
            del self.gone_at[name]
        self.board.forget(
            [
                name
                for name in old
                if self.board.records.get(name, None) and self.board.records[name].phase == "gone"
            ]
        )
        silent = [
            name
            for name, record in self.board.records.items()
            if record.phase != "gone"
            and now - self.heard_at.get(name, self.loaded.get(name, now)) > SILENT_S
        ]
        return [record for record in (self.leave(name, now) for name in silent) if record]
