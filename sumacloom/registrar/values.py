"""What the registers hold, and the changes that may be made to them."""
import hashlib

import msgspec

from ..common.results import Err, Ok, mishap

KEYS = ("blueprint", "evacuations", "duty/failover", "lanes", "voters")
HISTORY = 64


class BlueprintValue(msgspec.Struct, array_like=True):
    ver: int
    raw: bytes
    history: list[tuple[int, str]]       # (ver, digest) of those taken, the newest last


class EvacuationsValue(msgspec.Struct, array_like=True):
    generation: int
    zones: list[str]


class DutyValue(msgspec.Struct, array_like=True):
    holder: str
    fence: int
    nonce: int


def encode(value) -> bytes:
    """A value as the register holds it.

    >>> encode(EvacuationsValue(1, []))
    b'\\x92\\x01\\x90'
    """
    return msgspec.msgpack.encode(value)


def decode(kind, value: bytes | None):
    """A value read from the register; None if there is none.

    >>> decode(EvacuationsValue, None) is None
    True
    """
    return None if value is None else msgspec.msgpack.decode(value, type=kind)


def put_blueprint(ver: int, raw: bytes, base: int):
    """The change that takes a blueprint built on `base`; one taken before is well again.

    >>> put_blueprint(3, b"{}", 0)(None).is_ok()
    True
    >>> put_blueprint(3, b"{}", 2)(None).err().name
    'stale_match'
    """
    digest = hashlib.sha256(raw).hexdigest()[:32]

    def change(current_bytes):
        current = decode(BlueprintValue, current_bytes) or BlueprintValue(0, b"", [])
        if (ver, digest) in current.history:
            return Ok(None)
        if base != current.ver:
            return Err(mishap("stale_match", f"the current generation is {current.ver}, not {base}"))
        if ver <= current.ver:
            return Err(mishap("old_generation", f"ver {ver} is not above the current {current.ver}"))
        return Ok(encode(BlueprintValue(ver, raw, [*current.history, (ver, digest)][-HISTORY:])))
    return change


def evacuate(zone: str, wanted: bool):
    """The change that empties a zone, or takes it back.

    >>> decode(EvacuationsValue, evacuate("z", True)(None).ok()).zones
    ['z']
    """
    def change(current_bytes):
        current = decode(EvacuationsValue, current_bytes) or EvacuationsValue(0, [])
        if (zone in current.zones) == wanted:
            return Ok(None)
        zones = sorted({*current.zones, zone} if wanted else {*current.zones} - {zone})
        return Ok(encode(EvacuationsValue(current.generation + 1, zones)))
    return change


def claim_duty(holder: str, nonce: int, expected: DutyValue | None):
    """The change that wins a vacant duty; it fails if another was faster.

    >>> decode(DutyValue, claim_duty("a", 1, None)(None).ok()).fence
    1
    """
    def change(current_bytes):
        current = decode(DutyValue, current_bytes)
        if current != expected:
            return Err(mishap("stale_match", "the duty has another holder"))
        return Ok(encode(DutyValue(holder, (current.fence if current else 0) + 1, nonce)))
    return change


def keep(_current):
    """The change that changes nothing: a reading in two rounds.

    >>> keep(b"x")
    Ok(None)
    """
    return Ok(None)
