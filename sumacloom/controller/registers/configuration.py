"""The operator's configuration as a register: versions, earlier bodies, and the changes of both."""

import hashlib
import json

import msgspec

from sumacloom.configuration.differences import difference, patch
from sumacloom.configuration.model import compress, decompress
from sumacloom.consensus.codec import Change, decode, encode
from sumacloom.controller.registers.order_history import OrderHistory
from sumacloom.errors import (
    NothingToUndoError,
    OldVersionError,
    OrderForgottenError,
    StaleVersionError,
)

FIRST_RELEASE_HISTORY = 64  # how many orders a value of the first release remembered
MAX_EARLIER, MAX_EARLIER_BYTES = 4, 48 << 10
MAX_UNDOS = 16


class ConfigurationValue(msgspec.Struct, array_like=True):
    """The register's value.

    Attributes:
        ver: the version, as the operator numbers it.
        compressed: the operator's own bytes, perhaps compressed.
        history: the orders that were taken, packed; a list on disks of the first release.
        earlier: (version, difference) of earlier bodies, the newest first, each against its follower.
        undos: (version undone, version whose body came back, its new version).
    """

    ver: int
    compressed: bytes
    history: bytes | list[tuple[int, str]]
    earlier: list[tuple[int, bytes]] = []
    undos: list[tuple[int, int, int]] = []

    def __post_init__(self) -> None:
        if isinstance(self.history, list):
            self.history = OrderHistory.of_list(self.history, FIRST_RELEASE_HISTORY).pack()

    @property
    def order_history(self) -> OrderHistory:
        """Which configurations were taken."""
        assert isinstance(self.history, bytes)  # a list was packed when the value was made
        return OrderHistory.unpack(self.history)

    @property
    def body(self) -> bytes:
        """The operator's own bytes.

        >>> ConfigurationValue(3, b"{}", []).body
        b'{}'
        """
        return decompress(self.compressed)

    @property
    def restores(self) -> int:
        """The version whose body is in force under a new number; 0 if it is the operator's own.

        >>> ConfigurationValue(9, b"{}", [], [], [(8, 7, 9)]).restores
        7
        """
        return next((old for _undone, old, ver in self.undos if ver == self.ver), 0)

    def earlier_for(self, body: bytes) -> list[tuple[int, bytes]]:
        """The earlier bodies that the next value, of that body, keeps: bounded in bytes, at least one.

        >>> [ver for ver, _ in ConfigurationValue(3, b"{}", [], [(2, b"y")]).earlier_for(b"z")]
        [3, 2]
        """
        if not self.ver:
            return []
        retained: list[tuple[int, bytes]] = []
        size = 0
        for ver, delta in [(self.ver, difference(body, self.body)), *self.earlier][:MAX_EARLIER]:
            size += len(delta)
            if retained and size > MAX_EARLIER_BYTES:
                break
            retained.append((ver, delta))
        return retained


def current_value(current: bytes | None) -> ConfigurationValue:
    """The register's value; of one never written, version 0 without a body."""
    return decode(ConfigurationValue, current) or ConfigurationValue(0, b"", [])


def body_digest(body: bytes) -> bytes:
    """What tells one body from another."""
    return hashlib.sha256(body).digest()


def put_configuration(ver: int, body: bytes, base: int) -> Change:
    """The change to a configuration built on version `base`; one taken before is acknowledged again.

    >>> put_configuration(3, b"{}", 0)(None) is not None
    True
    """
    digest, compressed = body_digest(body), compress(body)

    def change(current: bytes | None) -> bytes | None:
        value = current_value(current)
        history = value.order_history
        if history.contains(ver, digest):
            return None
        if base < ver <= history.forgotten:
            raise OrderForgottenError(
                f"it is not known any more whether the version {ver} was this body"
            )
        if base != value.ver:
            raise StaleVersionError(f"the current version is {value.ver}, not {base}")
        if ver <= value.ver:
            raise OldVersionError(f"ver {ver} is not above the current {value.ver}")
        packed = history.add(ver, digest).pack()
        earlier = value.earlier_for(body)
        return encode(ConfigurationValue(ver, compressed, packed, earlier, value.undos))

    return change


def undo_configuration(wrong: int) -> Change:
    """The change that brings back, under a new and higher number, the body before version `wrong`.

    >>> first = put_configuration(3, b'{"ver": 3}', 0)(None)
    >>> second = put_configuration(7, b'{"ver": 7, "a": 1}', 3)(first)
    >>> restored = current_value(undo_configuration(7)(second))
    >>> restored.ver, restored.body, restored.restores
    (8, b'{"ver":8}', 3)
    """

    def change(current: bytes | None) -> bytes | None:
        value = current_value(current)
        if any(undone == wrong for undone, _old, _ver in value.undos):
            return None
        if len(value.undos) >= MAX_UNDOS and wrong <= value.undos[0][0]:
            raise OrderForgottenError(
                f"it is not known any more whether the version {wrong} was undone"
            )
        if wrong != value.ver:
            raise StaleVersionError(f"the current version is {value.ver}, not {wrong}")
        if not value.earlier:
            raise NothingToUndoError(f"nothing is kept from before the version {wrong}")
        old, delta = value.earlier[0]
        ver = value.ver + 1
        restored = {**json.loads(patch(value.body, delta)), "ver": ver}
        body = json.dumps(restored, separators=(",", ":")).encode()
        packed = value.order_history.add(ver, body_digest(body)).pack()
        undos = [*value.undos, (wrong, old, ver)][-MAX_UNDOS:]
        earlier = value.earlier_for(body)
        return encode(ConfigurationValue(ver, compress(body), packed, earlier, undos))

    return change
