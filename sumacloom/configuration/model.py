"""The configuration as the data plane reads it; `checks` reads it more strictly first.

Field names are those of the operators' pages, in Python's case.
"""

import zlib

import msgspec

COMPRESS_FROM = 1024  # bytes; smaller bodies travel as they are
MAX_BODY_BYTES = 8 << 20
ZLIB_HEADER = b"\x78"  # no JSON object begins so
ZLIB_LEVEL = 6


class Route(msgspec.Struct, rename="camel"):
    """A database and the service that it is served by; times in milliseconds."""

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
    """A primary and its replicas."""

    name: str
    maxconn: int = 32
    cold_s: float = 0
    cold_per_s: float = 0
    sync_acks: int = 0


class ConfigurationLimits(msgspec.Struct, rename="camel"):
    """Limits that hold for all databases; times in milliseconds."""

    tx_idle_ms: float = 3000
    idle_ms: float = 15000
    guarded: bool = False  # our own: a pooler that hears no controller in quorum takes no work


class Configuration(msgspec.Struct, rename="camel"):
    """A whole configuration."""

    ver: int
    routes: list[Route] = []
    svcs: list[Service] = []
    limits: ConfigurationLimits = msgspec.field(default_factory=ConfigurationLimits)

    def databases(self) -> set[str]:
        """The databases that have a route."""
        return {route.host for route in self.routes}


def compress(body: bytes) -> bytes:
    """A body as it is kept and passed on: large ones are compressed, since links may be narrow.

    >>> compress(b'{"ver": 3}'), len(compress(b'{"ver": 3}' + b" " * 9000)) < 100
    (b'{"ver": 3}', True)
    """
    return body if len(body) < COMPRESS_FROM else zlib.compress(body, ZLIB_LEVEL)


def decompress(data: bytes) -> bytes:
    """The operator's own bytes again.

    >>> decompress(compress(b'{"ver": 3}' + b" " * 9000))[:10]
    b'{"ver": 3}'

    Raises:
        ValueError: the data can't be decompressed in bounded space.
    """
    if data[:1] != ZLIB_HEADER:
        return data
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(data, MAX_BODY_BYTES)
    except zlib.error as error:
        raise ValueError(f"a configuration can't be decompressed: {error}") from error
    if not decompressor.eof:
        raise ValueError("a configuration is too large, or cut off")
    return body


def decode_configuration(data: bytes) -> Configuration:
    """Reads a configuration that a controller has already checked, compressed or not.

    >>> decode_configuration(b'{"ver": 3}').ver
    3
    """
    return msgspec.json.decode(decompress(data), type=Configuration)
