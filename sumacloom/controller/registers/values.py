"""What the registers hold, and the changes that may be made to them."""

import hashlib
import json

import msgspec

from sumacloom.configuration.differences import differ, patch
from sumacloom.configuration.model import pack_blueprint, unpack_blueprint
from sumacloom.controller.registers.order_history import Taken
from sumacloom.errors import Err, Ok, mishap

KEYS = (
    "blueprint",
    "evacuations",
    "duty/failover",
    "lanes",
    "voters",
    "listeners",
    "access",
    "pooling",
)
OLD_HISTORY = 64  # how many a value of the older form remembered
MOST_PAST, MOST_PAST_BYTES, MOST_UNDOS = 4, 48 << 10, 16


class BlueprintValue(msgspec.Struct, array_like=True):
    ver: int
    packed: bytes
    history: bytes | list[tuple[int, str]]  # those taken, packed; a list on disks of the older form
    past: list[
        tuple[int, bytes]
    ] = []  # bodies before this one, the newest first, each as it differs from its follower
    undos: list[tuple[int, int, int]] = []  # (ver undone, ver whose body came back, its new ver)

    def __post_init__(self):
        if isinstance(self.history, list):
            self.history = Taken.of_list(self.history, OLD_HISTORY).pack()

    @property
    def taken(self) -> Taken:
        """Which configurations were taken.

        >>> BlueprintValue(3, b"{}", [(3, "0a" * 16)]).taken.entries
        ((3, b'\\n\\n\\n\\n\\n\\n'),)
        """
        return Taken.unpack(self.history)

    @property
    def raw(self) -> bytes:
        """The operator's own bytes.

        >>> BlueprintValue(3, b"{}", []).raw
        b'{}'
        """
        return unpack_blueprint(self.packed)

    @property
    def restores(self) -> int:
        """The generation whose body is in force under a new number; 0 if it is the operator's own.

        >>> BlueprintValue(9, b"{}", [], [], [(8, 7, 9)]).restores
        7
        """
        return next((old for _undone, old, ver in self.undos if ver == self.ver), 0)

    def before(self, raw: bytes) -> list[tuple[int, bytes]]:
        """What the next value, of that body, keeps to go back to: bounded in bytes, but always the one before.

        >>> [ver for ver, _difference in BlueprintValue(3, b"{}", [], [(2, b"y")]).before(b"z")]
        [3, 2]
        """
        kept, size = [], 0
        for ver, difference in [(self.ver, differ(raw, self.raw)), *self.past][:MOST_PAST]:
            size += len(difference)
            if kept and size > MOST_PAST_BYTES:
                break
            kept.append((ver, difference))
        return kept if self.ver else []


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
    digest, packed = digest_of(raw), pack_blueprint(raw)

    def change(current_bytes):
        current = decode(BlueprintValue, current_bytes) or BlueprintValue(0, b"", [])
        taken = current.taken
        if taken.holds(ver, digest):
            return Ok(None)
        if base < ver <= taken.forgotten:
            return Err(
                mishap(
                    "forgotten",
                    f"it is not known any more whether the generation {ver} was this body",
                )
            )
        if base != current.ver:
            return Err(
                mishap("stale_match", f"the current generation is {current.ver}, not {base}")
            )
        if ver <= current.ver:
            return Err(
                mishap("old_generation", f"ver {ver} is not above the current {current.ver}")
            )
        history = taken.add(ver, digest).pack()
        return Ok(encode(BlueprintValue(ver, packed, history, current.before(raw), current.undos)))

    return change


def undo_blueprint(wrong: int):
    """The change that brings back, under a new and higher number, the body before generation `wrong`.

    >>> first = put_blueprint(3, b'{"ver": 3}', 0)(None).ok(); second = put_blueprint(7, b'{"ver": 7, "a": 1}', 3)(first).ok()
    >>> back = decode(BlueprintValue, undo_blueprint(7)(second).ok()); back.ver, back.raw, back.restores
    (8, b'{"ver":8}', 3)
    """

    def change(current_bytes):
        current = decode(BlueprintValue, current_bytes) or BlueprintValue(0, b"", [])
        if any(undone == wrong for undone, _old, _ver in current.undos):
            return Ok(None)
        if len(current.undos) >= MOST_UNDOS and wrong <= current.undos[0][0]:
            return Err(
                mishap(
                    "forgotten",
                    f"it is not known any more whether the generation {wrong} was undone",
                )
            )
        if wrong != current.ver:
            return Err(
                mishap("stale_match", f"the current generation is {current.ver}, not {wrong}")
            )
        if not current.past:
            return Err(
                mishap("nothing_to_undo", f"nothing is kept from before the generation {wrong}")
            )
        old, difference = current.past[0]
        ver = current.ver + 1
        raw = json.dumps(
            {**json.loads(patch(current.raw, difference)), "ver": ver}, separators=(",", ":")
        ).encode()
        history = current.taken.add(ver, digest_of(raw)).pack()
        undos = [*current.undos, (wrong, old, ver)][-MOST_UNDOS:]
        return Ok(
            encode(BlueprintValue(ver, pack_blueprint(raw), history, current.before(raw), undos))
        )

    return change


def digest_of(raw: bytes) -> bytes:
    """What tells one body from another.

    >>> len(digest_of(b"{}"))
    32
    """
    return hashlib.sha256(raw).digest()


def evacuate(zone: str, wanted: bool):
    """The change that empties a zone, or takes it back.

    The first order is written even if it changes nothing: an empty register can't refuse an older order.

    >>> decode(EvacuationsValue, evacuate("z", True)(None).ok()).zones
    ['z']
    """

    def change(current_bytes):
        current = decode(EvacuationsValue, current_bytes) or EvacuationsValue(0, [])
        if current.generation and (zone in current.zones) == wanted:
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
