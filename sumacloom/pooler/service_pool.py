"""One backend and one service, as a counter sees them."""

from sumacloom.pooler.primary_positions import Anchors
from sumacloom.pooler.replica_health import Rotation
from sumacloom.types import ORIGIN

MOST_RESENDS, RESENDS_PER_S, RESENDS_PER_SUCCESS = 20.0, 5.0, 0.5


class Backend:
    """One backend: what its beats say, its wires, and how it has behaved here."""

    __slots__ = (
        "backoff",
        "barred_until",
        "claimed_at",
        "closing_at",
        "cold_until",
        "crowded_until",
        "dark_since",
        "dialing",
        "host",
        "idle",
        "name",
        "order",
        "packed_at",
        "phase",
        "port",
        "refused_at",
        "region",
        "role",
        "service",
        "shy_until",
        "slots",
        "tokens",
        "tokens_at",
        "wires",
        "zone",
    )

    def __init__(self, name: str, service: str):
        self.name, self.service = name, service
        self.order = (-1, -1)
        self.wires, self.idle, self.dialing = {}, [], 0
        self.backoff = self.barred_until = 0.0
        self.refused_at = -1e9
        self.claimed_at = -1e9
        self.closing_at = None
        self.tokens, self.tokens_at = 1.0, 0.0
        self.role, self.phase = "replica", "up"
        self.cold_until = 0.0
        self.dark_since = None
        self.crowded_until = self.packed_at = -1e9
        self.shy_until = -1e9  # it failed or shed a statement of ours: reads go elsewhere first


class Ground:
    """One service: its backends, rotation and anchors."""

    __slots__ = (
        "anchors",
        "backends",
        "headless_since",
        "lead_name",
        "lead_seen",
        "name",
        "pending_until",
        "read_at",
        "resends",
        "resends_at",
        "rotation",
        "seeking",
        "swept_at",
    )

    def __init__(self, name: str, health, turn: float):
        self.name = name
        self.backends = {}
        self.rotation = Rotation(health, turn)
        self.anchors = Anchors()
        self.seeking = self.headless_since = None
        self.swept_at = self.read_at = self.pending_until = -1e9
        self.lead_seen, self.lead_name = ORIGIN, ""
        self.resends, self.resends_at = MOST_RESENDS, 0.0

    def may_resend(self, now: float) -> bool:
        """Takes one of the service's resends, so that a backend in trouble is not met with more and more of them.

        >>> ground = Ground("svc", None, 0.0); [ground.may_resend(0.0) for _try in range(25)].count(True)
        20
        """
        self.resends = min(MOST_RESENDS, self.resends + (now - self.resends_at) * RESENDS_PER_S)
        self.resends_at = now
        if self.resends < 1.0:
            return False
        self.resends -= 1.0
        return True

    def succeeded(self) -> None:
        """A statement succeeded: the service has earned part of a resend.

        >>> ground = Ground("svc", None, 0.0); ground.resends = 3.0; ground.succeeded(); ground.resends
        3.5
        """
        self.resends = min(MOST_RESENDS, self.resends + RESENDS_PER_SUCCESS)
