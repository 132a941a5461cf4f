"""The backends a pooler knows, their connections, and which of them may be drawn."""

import logging
import zlib

from sumacloom.pooler.connection_limits import BACKOFF_S, ConnectionLimits
from sumacloom.pooler.server_connection import ServerConnection
from sumacloom.pooler.service_pool import Backend, ServicePool
from sumacloom.settings import Settings, is_address, split_address
from sumacloom.transport.updates import PositionObservation
from sumacloom.types import NEVER, Position

logger = logging.getLogger(__name__)
READ_ONLY_RETRY_S = 0.25  # between two sends to a backend that said RO and claims to be the primary
SHARE_OF_BOUND = 0.6


class ServerPools(ConnectionLimits):
    """All services and backends, as one pooler sees them."""

    def __init__(self, settings: Settings):
        super().__init__()
        self.settings = settings
        self.service_pools: dict[str, ServicePool] = {}
        self.backends: dict[str, Backend] = {}
        self.draining_zones: dict[str, float] = {}  # since when
        self.next_key = 1

    def service_pool(self, service: str) -> ServicePool:
        """The service's pool, made when first asked for.

        >>> ServerPools(Settings("n", "r", "10.0.0.1", "z")).service_pool("svc").name
        'svc'
        """
        if service not in self.service_pools:
            turn = zlib.crc32(f"{self.settings.node} {service}".encode()) / 2**32
            self.service_pools[service] = ServicePool(service, self.settings.health, turn)
        return self.service_pools[service]

    def apply_record(self, record, now: float) -> list[ServerConnection]:
        """Takes a backend's record from an update; gives the connections to shut if it is gone.

        >>> ServerPools(Settings("n", "r", "10.0.0.1", "z")).apply_record(None, 0.0)
        []
        """
        if record is None:
            return []
        backend = self.backends.get(record.name)
        if backend and record.order <= backend.order:
            return []
        if record.phase == "gone":
            return self.remove(record.name)
        if not is_address(record.address):
            return []
        address = split_address(record.address)
        doomed = []
        if backend and (backend.host, backend.port) != address:
            doomed = self.remove(record.name)
            backend = None
        if backend is None:
            backend = self.backends[record.name] = Backend(record.name, record.service)
            self.service_pool(record.service).backends[record.name] = backend
        was = backend.role
        backend.host, backend.port = address
        backend.zone, backend.region = (
            record.zone,
            self.settings.zones.get(record.zone, record.zone),
        )
        if record.incarnation > backend.order[0]:
            backend.backoff = backend.backoff_until = 0.0  # it was started anew
        backend.slots, backend.order = record.slots, record.order
        backend.role = record.role
        if record.role == "primary" and was != "primary":
            backend.primary_seen_at = now
            self.service_pool(record.service).replica_health.forget(backend.name)
        if record.phase != backend.phase:
            backend.phase = record.phase
            backend.closing_at = now + self.settings.bounds.drain_ms / 1000 * SHARE_OF_BOUND
            logger.info("the backend %s is %s", backend.name, record.phase)
        backend.cold_until = now + record.cold_ms / 1000
        return doomed

    def remove(self, name: str) -> list[ServerConnection]:
        """Forgets a backend; gives its connections to shut.

        >>> ServerPools(Settings("n", "r", "10.0.0.1", "z")).remove("i-1")
        []
        """
        backend = self.backends.pop(name, None)
        if backend is None:
            return []
        logger.info("the backend %s is gone", name)
        service_pool = self.service_pool(backend.service)
        service_pool.backends.pop(name, None)
        service_pool.replica_health.forget(name)
        return list(backend.connections.values())

    def apply_zone_drains(self, zones: list[str], now: float) -> None:
        """Takes the zones to be kept empty.

        >>> pools = ServerPools(Settings("n", "r", "10.0.0.1", "z")); pools.apply_zone_drains(["a"], 1.0)
        >>> pools.draining_zones
        {'a': 1.0}
        """
        self.draining_zones = {zone: self.draining_zones.get(zone, now) for zone in zones}

    def closed_to_new(self, backend: Backend, now: float) -> bool:
        """Whether even the primary must get nothing more, its zone or itself being emptied.

        >>> pools = ServerPools(Settings("n", "r", "10.0.0.1", "z")); backend = Backend("i-1", "svc")
        >>> backend.zone = "z"; pools.closed_to_new(backend, 0.0)
        False
        """
        return self.zone_closed(backend, now) or (
            backend.phase != "up" and now >= backend.closing_at
        )

    def zone_closed(self, backend: Backend, now: float) -> bool:
        """Whether the backend's zone has been drained for so long that not even an open transaction may go on there.

        >>> pools = ServerPools(Settings("n", "r", "10.0.0.1", "z")); backend = Backend("i-1", "svc"); backend.zone = "z"
        >>> pools.apply_zone_drains(["z"], 0.0); pools.zone_closed(backend, 0.1), pools.zone_closed(backend, 60.0)
        (False, True)
        """
        since = self.draining_zones.get(backend.zone)
        return (
            since is not None
            and now >= since + self.settings.bounds.evac_ms / 1000 * SHARE_OF_BOUND
        )

    def at_home(self, backend: Backend, rule) -> bool:
        """Whether the route's homes admit the backend's region.

        >>> backend = Backend("i-1", "svc"); backend.region = "sul"
        >>> from sumacloom.pooler.routing import Rule
        >>> rule = Rule("r", "svc", "self", 1, 1, 0, frozenset({"norte"}), {})
        >>> ServerPools(Settings("n", "r", "10.0.0.1", "z")).at_home(backend, rule)
        False
        """
        return not (rule and rule.homes) or backend.region in rule.homes

    def warm_enough(self, backend: Backend, now: float) -> bool:
        """Whether the cold budget, shared out among the members, admits one more send; it is spent by asking.

        >>> pools = ServerPools(Settings("n", "r", "10.0.0.1", "z")); pools.warm_enough(Backend("i-1", "svc"), 0.0)
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

    def primary_candidates(self, service_pool: ServicePool, rule, now: float) -> list[Backend]:
        """The backends that may be the primary, the newest claim first.

        >>> pools = ServerPools(Settings("n", "r", "10.0.0.1", "z")); pools.primary_candidates(pools.service_pool("s"), None, 0.0)
        []
        """
        return sorted(
            (
                backend
                for backend in service_pool.backends.values()
                if backend.primary_seen_at > NEVER
                and backend.role == "primary"
                and now >= backend.read_only_at + READ_ONLY_RETRY_S
                and (backend.idle or now >= backend.backoff_until)
                and not self.closed_to_new(backend, now)
                and self.at_home(backend, rule)
            ),
            key=lambda backend: -backend.primary_seen_at,
        )

    def reaches_primary(self, service_pool: ServicePool, rule, now: float) -> bool:
        """Whether a backend that may be the primary is known, and nothing says that it can't be reached.

        >>> pools = ServerPools(Settings("n", "r", "10.0.0.1", "z")); pools.reaches_primary(pools.service_pool("s"), None, 0.0)
        False
        """
        return any(
            backend.idle or backend.unreachable_since is None
            for backend in self.primary_candidates(service_pool, rule, now)[:1]
        )

    def select_replicas(
        self, service_pool: ServicePool, rule, needed: Position, now: float
    ) -> list[Backend]:
        """The replicas that may serve a read: the freshest first, and among equals the nearest.

        Replicas inside the band count as equally fresh, unless one is known to hold the needed
        position and another is known to lack it.

        >>> pools = ServerPools(Settings("n", "r", "10.0.0.1", "z")); pools.select_replicas(pools.service_pool("s"), None, Position(0, 0), 0.0)
        []
        """
        soft, _hard = service_pool.replica_health.lag_limits()
        ranked = []
        for replica in service_pool.replica_health.eligible():
            backend = service_pool.backends.get(replica.name)
            if (
                backend is None
                or backend.role == "primary"
                or backend.phase != "up"
                or backend.zone in self.draining_zones
                or (now < backend.backoff_until and not backend.idle)
                or not self.at_home(backend, rule)
            ):
                continue
            far = (backend.region != self.settings.region) + (backend.zone != self.settings.zone)
            lacks = replica.position < needed and replica.lag > 0
            busy = len(backend.connections) - len(backend.idle)
            at_capacity = busy >= max(1, backend.slots)
            ranked.append(
                (
                    lacks,
                    now < backend.deprioritized_until,
                    replica.lag > soft,
                    at_capacity,
                    far,
                    busy,
                    -replica.position.number,
                    backend.name,
                    backend,
                )
            )
        ranked = sorted(ranked)
        return [entry[-1] for entry in ranked]

    def take_connection(self, backend: Backend, values: dict, prepared) -> ServerConnection | None:
        """An idle connection, one that fits the session before one that needs a RESET.

        >>> ServerPools(Settings("n", "r", "10.0.0.1", "z")).take_connection(Backend("i-1", "svc"), {}, None) is None
        True
        """
        best = None
        for connection in reversed(backend.idle):
            rank = (
                connection.fits(values),
                prepared is None or prepared in connection.names,
                len(connection.values) == len(values),
            )
            if best is None or rank > best[0]:
                best = (rank, connection)
            if rank == (True, True, True):
                break
        if best is None:
            return None
        backend.idle.remove(best[1])
        return best[1]

    def new_connection(self, backend: Backend, now: float) -> ServerConnection | None:
        """A connection to dial, if the cap and the backoff admit one.

        >>> pools = ServerPools(Settings("n", "r", "10.0.0.1", "z")); backend = Backend("i-1", "svc"); backend.zone = "z"
        >>> pools.new_connection(backend, 0.0).backend
        'i-1'
        """
        if (
            now < backend.backoff_until
            or len(backend.connections) >= self.connection_limit(backend, now)
            or self.closed_to_new(backend, now)
        ):
            return None
        connection = ServerConnection(self.next_key, backend.name, backend.service, now)
        self.next_key += 1
        backend.connections[connection.key] = connection
        backend.dialing += 1
        return connection

    def prove_primary(
        self, backend: Backend, asked_at: float, position: Position | None, now: float
    ) -> None:
        """A success that only a primary can give.

        >>> pools = ServerPools(Settings("n", "r", "10.0.0.1", "z")); backend = Backend("i-1", "s")
        >>> pools.prove_primary(backend, 1.0, Position(3, 4), 1.0); pools.service_pool("s").primary_name
        'i-1'
        """
        service_pool = self.service_pool(backend.service)
        backend.primary_seen_at = max(backend.primary_seen_at, asked_at)
        backend.role = "primary"
        if (
            service_pool.primary_name != backend.name
            and position
            and position >= service_pool.primary_position
        ):
            service_pool.primary_name = backend.name
            service_pool.replica_health.forget(backend.name)
            logger.info(
                "the backend %s is the primary of %s in term %d",
                backend.name,
                backend.service,
                position.term,
            )
        if position:
            service_pool.primary_position = max(service_pool.primary_position, position)
            service_pool.primary_positions.note(asked_at, position)

    def observations(self, since: float, now: float) -> list[PositionObservation]:
        """The positions of replicas that this pooler itself read after a moment.

        >>> ServerPools(Settings("n", "r", "10.0.0.1", "z")).observations(0.0, 1.0)
        []
        """
        return [
            PositionObservation(
                replica.name, *replica.position, int((now - replica.seen_at) * 1000)
            )
            for service_pool in self.service_pools.values()
            for replica in service_pool.replica_health.replicas.values()
            if replica.own_at is not None and replica.own_at > since
        ]

    def take_observations(self, observations: list[PositionObservation], now: float) -> None:
        """Positions that other poolers read.

        >>> ServerPools(Settings("n", "r", "10.0.0.1", "z")).take_observations([], 1.0)
        """
        for sighting in observations:
            backend = self.backends.get(sighting.backend)
            if backend and backend.role != "primary" and backend.phase != "gone":
                replica_health = self.service_pool(backend.service).replica_health
                if sighting.backend in replica_health.replicas:
                    replica_health.see(
                        sighting.backend,
                        Position(sighting.term, sighting.number),
                        now - sighting.age_ms / 1000,
                        own=False,
                    )

    def record_read_only(self, backend: Backend, now: float) -> None:
        """The backend said RO: it is not the primary.

        >>> backend = Backend("i-1", "s"); ServerPools(Settings("n", "r", "10.0.0.1", "z")).record_read_only(backend, 4.0)
        >>> backend.read_only_at
        4.0
        """
        backend.read_only_at = now

    def record_failure(self, backend: Backend, now: float) -> None:
        """A connection of the backend was refused, cut or went silent: it rests for a growing while.

        >>> backend = Backend("i-1", "s"); ServerPools(Settings("n", "r", "10.0.0.1", "z")).record_failure(backend, 4.0)
        >>> backend.backoff_until
        4.15
        """
        if now < backend.backoff_until:
            return
        backend.backoff = min(self.max_backoff_s(backend), backend.backoff * 2 or BACKOFF_S)
        backend.backoff_until = now + backend.backoff
        if backend.unreachable_since is None:
            backend.unreachable_since = now
            logger.info("the backend %s can't be reached", backend.name)
        self.service_pool(backend.service).replica_health.silent(backend.name, now)

    def record_success(self, backend: Backend) -> None:
        """A connection of the backend came up or answered.

        >>> backend = Backend("i-1", "s"); ServerPools(Settings("n", "r", "10.0.0.1", "z")).record_success(backend)
        """
        if backend.unreachable_since is not None:
            logger.info("the backend %s can be reached again", backend.name)
        backend.unreachable_since = None
        backend.backoff = 0.0
        backend.backoff_until = 0.0
