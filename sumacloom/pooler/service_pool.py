"""One backend and one service, as a pooler sees them."""

from sumacloom.pooler.primary_positions import PrimaryPositions
from sumacloom.pooler.replica_health import ReplicaHealth
from sumacloom.pooler.run_times import RunTimes
from sumacloom.pooler.send_backoff import SendBackoff
from sumacloom.types import LOG_START, NEVER


class Backend:
    """One backend: what its heartbeats say, its connections, and how it has behaved here."""

    __slots__ = (
        "backoff",
        "backoff_until",
        "closing_at",
        "cold_until",
        "connection_limit_until",
        "connections",
        "deprioritized_until",
        "dialing",
        "host",
        "idle",
        "name",
        "order",
        "phase",
        "port",
        "primary_seen_at",
        "read_only_at",
        "region",
        "role",
        "send_backoff",
        "service",
        "slots",
        "statement_mode_at",
        "tokens",
        "tokens_at",
        "unreachable_since",
        "zone",
    )

    def __init__(self, name: str, service: str):
        self.name, self.service = name, service
        self.order = (-1, -1)
        self.connections, self.idle, self.dialing = {}, [], 0
        self.backoff = self.backoff_until = 0.0
        self.read_only_at = NEVER
        self.primary_seen_at = NEVER
        self.closing_at = None
        self.tokens, self.tokens_at = 1.0, 0.0
        self.role, self.phase = "replica", "up"
        self.cold_until = 0.0
        self.unreachable_since = None
        self.send_backoff = SendBackoff()
        self.connection_limit_until = self.statement_mode_at = NEVER
        self.deprioritized_until = (
            NEVER  # it failed or shed a statement of ours: reads go elsewhere first
        )


class ServicePool:
    """One service: its backends, replicas and known positions."""

    __slots__ = (
        "backends",
        "name",
        "primary_name",
        "primary_position",
        "primary_positions",
        "read_at",
        "replica_health",
        "run_times",
        "seeking",
        "swept_at",
    )

    def __init__(self, name: str, health, turn: float):
        self.name = name
        self.backends = {}
        self.replica_health = ReplicaHealth(health, turn)
        self.primary_positions = PrimaryPositions()
        self.seeking = None
        self.swept_at = self.read_at = NEVER
        self.primary_position, self.primary_name = LOG_START, ""
        self.run_times = RunTimes()
