"""The backends a counter knows, their wires, and which of them may be drawn."""

import zlib

from sumacloom.logs import Scribe
from sumacloom.pooler.server_connection import Wire
from sumacloom.pooler.service_pool import Backend, Ground
from sumacloom.settings import Settings, split_address
from sumacloom.transport.updates import Sighting
from sumacloom.types import Position

scribe = Scribe("yard")
BACKOFF_S, MOST_BACKOFF_S = 0.15, 1.2
REFUSED_S = 0.25
SHARE_OF_MAXCONN = 0.7
MOST_WIRES = 32
FREE_WIRES = 4  # more than a fair share, as long as the backend does not mind
CROWD_S = 5.0
SHARE_OF_BOUND = 0.6
UNKNOWN_MEMBERS = 8
MEMBERS_S = 10.0
PACKED_S = 5.0  # so long after a statement in statement mode a wire is kept for the next


class Yard:
    """All services and backends, as one counter sees them."""

    def __init__(self, settings: Settings):
        self.settings = settings
        self.grounds = {}
        self.backends = {}
        self.evacuated = {}
        self.services = {}
        self.members, self.settled = (
            UNKNOWN_MEMBERS,
            True,
        )  # settled: the members have had the time to be counted
        self.members_seen = []
        self.next_key = 1

    def count_members(self, members: int, now: float) -> None:
        """Takes the member count; the most of the last seconds counts, since wires outlive their ends.

        >>> yard = Yard(Settings("n", "r", "10.0.0.1", "z")); yard.count_members(3, 0.0); yard.count_members(2, 1.0)
        >>> yard.members
        3
        """
        self.members_seen = [
            (seen, count) for seen, count in self.members_seen if now - seen < MEMBERS_S
        ]
        if not self.members_seen or self.members_seen[-1][1] != members:
            self.members_seen.append((now, members))
        else:
            self.members_seen[-1] = (now, members)
        self.members = max(count for _seen, count in self.members_seen)

    def ground(self, service: str) -> Ground:
        """The service's ground, made when first asked for.

        >>> Yard(Settings("n", "r", "10.0.0.1", "z")).ground("svc").name
        'svc'
        """
        if service not in self.grounds:
            turn = zlib.crc32(f"{self.settings.node} {service}".encode()) / 2**32
            self.grounds[service] = Ground(service, self.settings.health, turn)
        return self.grounds[service]

    def take_record(self, record, now: float) -> list[Wire]:
        """Takes a backend's record from the news; gives the wires to shut if it is gone.

        >>> Yard(Settings("n", "r", "10.0.0.1", "z")).take_record(None, 0.0)
        []
        """
        if record is None:
            return []
        backend = self.backends.get(record.name)
        if backend and record.order <= backend.order:
            return []
        if record.phase == "gone":
            return self.remove(record.name)
        address = split_address(record.address)
        if address is None:
            return []
        doomed = []
        if backend and (backend.host, backend.port) != address:
            doomed = self.remove(record.name)
            backend = None
        if backend is None:
            backend = self.backends[record.name] = Backend(record.name, record.service)
            self.ground(record.service).backends[record.name] = backend
        was = backend.role
        backend.host, backend.port = address
        backend.zone, backend.region = (
            record.zone,
            self.settings.zones.get(record.zone, record.zone),
        )
        backend.slots, backend.order = record.slots, record.order
        backend.role = record.role
        if record.role == "primary" and was != "primary":
            backend.claimed_at = now
            self.ground(record.service).rotation.forget(backend.name)
        if record.phase != backend.phase:
            backend.phase = record.phase
            backend.closing_at = now + self.settings.bounds.drain_ms / 1000 * SHARE_OF_BOUND
            scribe.say("the backend %s is %s", backend.name, record.phase)
        backend.cold_until = now + record.cold_ms / 1000
        return doomed

    def remove(self, name: str) -> list[Wire]:
        """Forgets a backend; gives its wires to shut.

        >>> Yard(Settings("n", "r", "10.0.0.1", "z")).remove("i-1")
        []
        """
        backend = self.backends.pop(name, None)
        if backend is None:
            return []
        scribe.say("the backend %s is gone", name)
        ground = self.ground(backend.service)
        ground.backends.pop(name, None)
        ground.rotation.forget(name)
        return list(backend.wires.values())

    def take_evacuations(self, zones: list[str], now: float) -> None:
        """Takes the zones to be kept empty.

        >>> yard = Yard(Settings("n", "r", "10.0.0.1", "z")); yard.take_evacuations(["a"], 1.0)
        >>> yard.evacuated
        {'a': 1.0}
        """
        self.evacuated = {zone: self.evacuated.get(zone, now) for zone in zones}

    def closed_to_new(self, backend: Backend, now: float) -> bool:
        """Whether even the lead must get nothing more, its zone or itself being emptied.

        >>> yard = Yard(Settings("n", "r", "10.0.0.1", "z")); backend = Backend("i-1", "svc")
        >>> backend.zone = "z"; yard.closed_to_new(backend, 0.0)
        False
        """
        return self.zone_closed(backend, now) or (
            backend.phase != "up" and now >= backend.closing_at
        )

    def zone_closed(self, backend: Backend, now: float) -> bool:
        """Whether the backend's zone is evacuated for so long that not even an open transaction may go on there.

        >>> yard = Yard(Settings("n", "r", "10.0.0.1", "z")); backend = Backend("i-1", "svc"); backend.zone = "z"
        >>> yard.take_evacuations(["z"], 0.0); yard.zone_closed(backend, 0.1), yard.zone_closed(backend, 60.0)
        (False, True)
        """
        since = self.evacuated.get(backend.zone)
        return (
            since is not None
            and now >= since + self.settings.bounds.evac_ms / 1000 * SHARE_OF_BOUND
        )

    def at_home(self, backend: Backend, rule) -> bool:
        """Whether the route's homes admit the backend's region.

        >>> backend = Backend("i-1", "svc"); backend.region = "sul"
        >>> from sumacloom.pooler.routing import Rule
        >>> rule = Rule("r", "svc", "self", 1, 1, 1, 0, frozenset({"norte"}), {})
        >>> Yard(Settings("n", "r", "10.0.0.1", "z")).at_home(backend, rule)
        False
        """
        return not (rule and rule.homes) or backend.region in rule.homes

    def warm_enough(self, backend: Backend, now: float) -> bool:
        """Whether the cold budget, shared out among the members, admits one more send; it is spent by asking.

        >>> yard = Yard(Settings("n", "r", "10.0.0.1", "z")); yard.warm_enough(Backend("i-1", "svc"), 0.0)
        True
        """
        service = self.services.get(backend.service)
        if now >= backend.cold_until or service is None or service.cold_per_s <= 0:
            return True
        rate = service.cold_per_s / max(1, self.members)
        backend.tokens = min(1.0, backend.tokens + (now - backend.tokens_at) * rate)
        backend.tokens_at = now
        if backend.tokens < 1.0:
            return False
        backend.tokens -= 1.0
        return True

    def lead_candidates(self, ground: Ground, rule, now: float) -> list[Backend]:
        """The backends that may lead, the newest claim first.

        >>> yard = Yard(Settings("n", "r", "10.0.0.1", "z")); yard.lead_candidates(yard.ground("s"), None, 0.0)
        []
        """
        return sorted(
            (
                backend
                for backend in ground.backends.values()
                if backend.claimed_at > -1e9
                and backend.role == "primary"
                and now >= backend.refused_at + REFUSED_S
                and (backend.idle or now >= backend.barred_until)
                and not self.closed_to_new(backend, now)
                and self.at_home(backend, rule)
            ),
            key=lambda backend: -backend.claimed_at,
        )

    def draw_rotation(self, ground: Ground, rule, needed: Position, now: float) -> list[Backend]:
        """The replicas that may serve a read: the freshest first, and among equals the nearest.

        Replicas inside the band count as equally fresh, unless one is known to hold the needed
        position and another is known to lack it.

        >>> yard = Yard(Settings("n", "r", "10.0.0.1", "z")); yard.draw_rotation(yard.ground("s"), None, Position(0, 0), 0.0)
        []
        """
        soft, _hard = ground.rotation.bands()
        ranked = []
        for replica in ground.rotation.inside():
            backend = ground.backends.get(replica.name)
            if (
                backend is None
                or backend.role == "primary"
                or backend.phase != "up"
                or backend.zone in self.evacuated
                or (now < backend.barred_until and not backend.idle)
                or not self.at_home(backend, rule)
            ):
                continue
            far = (backend.region != self.settings.region) + (backend.zone != self.settings.zone)
            lacks = replica.position < needed and replica.lag > 0
            busy = len(backend.wires) - len(backend.idle)
            crowded = busy >= max(1, backend.slots)
            ranked.append(
                (
                    lacks,
                    now < backend.shy_until,
                    replica.lag > soft,
                    crowded,
                    far,
                    busy,
                    -replica.position.number,
                    backend.name,
                    backend,
                )
            )
        ranked.sort()
        return [entry[-1] for entry in ranked]

    def share(self, backend: Backend) -> float:
        """This counter's fair share of the backend's connections; below 1 in a fleet larger than those.

        >>> yard = Yard(Settings("n", "r", "10.0.0.1", "z")); yard.members = 2; round(yard.share(Backend("i-1", "svc")), 1)
        11.2
        """
        service = self.services.get(backend.service)
        return (service.maxconn if service else 32) * SHARE_OF_MAXCONN / max(1, self.members)

    def cap(self, backend: Backend, now: float) -> int:
        """How many wires this counter may hold to the backend: its fair share, or a few more until told of a crowd.

        Until the members are counted it is a few: a fleet that starts at once would else take all of `maxconn` by
        whoever comes first.

        >>> yard = Yard(Settings("n", "r", "10.0.0.1", "z")); yard.members = 1; yard.cap(Backend("i-1", "svc"), 0.0)
        22
        """
        fair = max(1, min(MOST_WIRES if self.settled else FREE_WIRES, int(self.share(backend))))
        return fair if now < backend.crowded_until else max(fair, FREE_WIRES)

    def note_crowd(self, backend: Backend, now: float) -> None:
        """The backend has more connections than it takes: everyone keeps to the fair share for a while.

        >>> backend = Backend("i-1", "s"); Yard(Settings("n", "r", "10.0.0.1", "z")).note_crowd(backend, 1.0)
        >>> backend.crowded_until
        6.0
        """
        backend.crowded_until = now + CROWD_S
        backend.barred_until = max(backend.barred_until, now + BACKOFF_S)

    def last_wire(self, backend: Backend, now: float) -> bool:
        """Whether the one idle wire is all that is left under the cap: it is kept for the priority lane.

        >>> Yard(Settings("n", "r", "10.0.0.1", "z")).last_wire(Backend("i-1", "svc"), 0.0)
        False
        """
        return len(backend.idle) == 1 and 1 < self.cap(backend, now) <= len(backend.wires)

    def kept_back(self, backend: Backend, errand, lanes: bool, now: float) -> bool:
        """Whether the last wire is not for this one: it is kept for the priority lane, or for sessions that share wires
        by the statement, which transactions with their pauses would else starve.
        """
        if errand.packed:
            backend.packed_at = now
        laned = lanes and not errand.lane
        packs = (
            not errand.packed
            and errand.transaction is not None
            and now - backend.packed_at < PACKED_S
        )
        return (laned or packs) and self.last_wire(backend, now)

    def take_wire(self, backend: Backend, values: dict, prepared) -> Wire | None:
        """An idle wire, one that fits the session before one that needs a RESET.

        >>> Yard(Settings("n", "r", "10.0.0.1", "z")).take_wire(Backend("i-1", "svc"), {}, None) is None
        True
        """
        best = None
        for wire in reversed(backend.idle):
            rank = (
                wire.fits(values),
                prepared is None or prepared in wire.names,
                len(wire.values) == len(values),
            )
            if best is None or rank > best[0]:
                best = (rank, wire)
            if rank == (True, True, True):
                break
        if best is None:
            return None
        backend.idle.remove(best[1])
        return best[1]

    def new_wire(self, backend: Backend, now: float) -> Wire | None:
        """A wire to dial, if the cap and the backoff admit one.

        >>> yard = Yard(Settings("n", "r", "10.0.0.1", "z")); backend = Backend("i-1", "svc"); backend.zone = "z"
        >>> yard.new_wire(backend, 0.0).backend
        'i-1'
        """
        if (
            now < backend.barred_until
            or len(backend.wires) >= self.cap(backend, now)
            or self.closed_to_new(backend, now)
        ):
            return None
        wire = Wire(self.next_key, backend.name, backend.service, now)
        self.next_key += 1
        backend.wires[wire.key] = wire
        backend.dialing += 1
        return wire

    def prove_lead(
        self, backend: Backend, asked_at: float, position: Position | None, now: float
    ) -> None:
        """A success that only a leader can give.

        >>> yard = Yard(Settings("n", "r", "10.0.0.1", "z")); backend = Backend("i-1", "s")
        >>> yard.prove_lead(backend, 1.0, Position(3, 4), 1.0); yard.ground("s").lead_name
        'i-1'
        """
        ground = self.ground(backend.service)
        backend.claimed_at = max(backend.claimed_at, asked_at)
        backend.role = "primary"
        if ground.lead_name != backend.name and position and position >= ground.lead_seen:
            ground.lead_name = backend.name
            ground.rotation.forget(backend.name)
            scribe.say(
                "the backend %s leads %s in term %d", backend.name, backend.service, position.term
            )
        if position:
            ground.lead_seen = max(ground.lead_seen, position)
            ground.anchors.note(asked_at, position)

    def sightings(self, since: float, now: float) -> list[Sighting]:
        """The positions of replicas that this counter itself read after a moment.

        >>> Yard(Settings("n", "r", "10.0.0.1", "z")).sightings(0.0, 1.0)
        []
        """
        return [
            Sighting(replica.name, *replica.position, int((now - replica.seen_at) * 1000))
            for ground in self.grounds.values()
            for replica in ground.rotation.replicas.values()
            if replica.own_at is not None and replica.own_at > since
        ]

    def take_sightings(self, sightings: list[Sighting], now: float) -> None:
        """Positions that other counters read.

        >>> Yard(Settings("n", "r", "10.0.0.1", "z")).take_sightings([], 1.0)
        """
        for sighting in sightings:
            backend = self.backends.get(sighting.backend)
            if backend and backend.role != "primary" and backend.phase != "gone":
                rotation = self.ground(backend.service).rotation
                if sighting.backend in rotation.replicas:
                    rotation.see(
                        sighting.backend,
                        Position(sighting.term, sighting.number),
                        now - sighting.age_ms / 1000,
                        own=False,
                    )

    def note_refusal(self, backend: Backend, now: float) -> None:
        """The backend said RO: it does not lead.

        >>> backend = Backend("i-1", "s"); Yard(Settings("n", "r", "10.0.0.1", "z")).note_refusal(backend, 4.0)
        >>> backend.refused_at
        4.0
        """
        backend.refused_at = now

    def note_mishap(self, backend: Backend, now: float) -> None:
        """A wire of the backend was refused, cut or went silent: it rests for a growing while.

        >>> backend = Backend("i-1", "s"); Yard(Settings("n", "r", "10.0.0.1", "z")).note_mishap(backend, 4.0)
        >>> backend.barred_until
        4.15
        """
        if now < backend.barred_until:
            return
        backend.backoff = min(MOST_BACKOFF_S, backend.backoff * 2 or BACKOFF_S)
        backend.barred_until = now + backend.backoff
        if backend.dark_since is None:
            backend.dark_since = now
            scribe.say("the backend %s can't be reached", backend.name)
        self.ground(backend.service).rotation.silent(backend.name, now)

    def note_well(self, backend: Backend) -> None:
        """A wire of the backend came up or answered.

        >>> backend = Backend("i-1", "s"); Yard(Settings("n", "r", "10.0.0.1", "z")).note_well(backend)
        """
        if backend.dark_since is not None:
            scribe.say("the backend %s can be reached again", backend.name)
        backend.dark_since = None
        backend.backoff = 0.0
        backend.barred_until = 0.0
