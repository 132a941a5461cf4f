"""The blueprint as the data plane reads it; the registrar's own model checks it first."""

import zlib

import msgspec

PACK_FROM = 1024  # smaller bodies travel as they are
MOST_UNPACKED = 8 << 20


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
    guarded: bool = False  # ours: who hears no settled registrar takes no work


class Blueprint(msgspec.Struct, rename="camel"):
    ver: int
    routes: list[Route] = []
    svcs: list[Service] = []
    limits: BlueprintLimits = msgspec.field(default_factory=BlueprintLimits)


def pack_blueprint(raw: bytes) -> bytes:
    """A blueprint as it is kept and passed on: many routes are packed, since links may be narrow.

    >>> pack_blueprint(b'{"ver": 3}'), len(pack_blueprint(b'{"ver": 3}' + b" " * 9000)) < 100
    (b'{"ver": 3}', True)
    """
    return raw if len(raw) < PACK_FROM else zlib.compress(raw, 6)


def unpack_blueprint(data: bytes) -> bytes:
    """The operator's own bytes again; ValueError for what can't be unpacked in bounded space.

    >>> unpack_blueprint(pack_blueprint(b'{"ver": 3}' + b" " * 9000))[:10]
    b'{"ver": 3}'
    """
    if data[:1] != b"\x78":
        return data
    machine = zlib.decompressobj()
    try:
        raw = machine.decompress(data, MOST_UNPACKED)
    except zlib.error as error:
        raise ValueError(f"a blueprint can't be unpacked: {error}") from error
    if not machine.eof:
        raise ValueError("a blueprint is too large, or cut off")
    return raw


def decode_blueprint(data: bytes) -> Blueprint:
    """Reads a blueprint that a registrar has already checked, packed or not.

    >>> decode_blueprint(b'{"ver": 3}').ver
    3
    """
    return msgspec.json.decode(unpack_blueprint(data), type=Blueprint)
