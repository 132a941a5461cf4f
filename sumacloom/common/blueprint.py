"""The blueprint as the data plane reads it; the registrar's own model checks it first."""
import msgspec


class Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    svc: str
    kind: str = "primary"
    pfx: str = "/"
    tmo_ms: float = 1000
    goal_ms: float = 500
    prio: int = 1
    tries: int = 1
    max_stale_ms: float = 0
    geo: list[str] = []


class Service(msgspec.Struct, rename="camel"):
    name: str
    maxconn: int = 32
    cold_s: float = 0
    cold_per_s: float = 0
    sync_acks: int = 0


class BlueprintLimits(msgspec.Struct, rename="camel"):
    tx_idle_ms: float = 3000
    idle_ms: float = 15000


class Blueprint(msgspec.Struct, rename="camel"):
    ver: int
    routes: list[Route] = []
    svcs: list[Service] = []
    limits: BlueprintLimits = msgspec.field(default_factory=BlueprintLimits)


def decode_blueprint(raw: bytes) -> Blueprint:
    """Reads a blueprint that a registrar has already checked.

    >>> decode_blueprint(b'{"ver": 3}').ver
    3
    """
    return msgspec.json.decode(raw, type=Blueprint)
