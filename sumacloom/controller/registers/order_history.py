"""Which configurations were taken, in few bytes, so that an order sent again is known.

The packed form begins with the newest version that was forgotten (0 if none was): of an order at or
below it nobody can tell any more whether it was taken. Then, for each order, follow its version as the
step from the one before and a short digest of its body.
"""

from typing import NamedTuple

DIGEST_BYTES = 6  # two bodies under one version are told apart but for one case in 2 ** 48
MAX_ORDERS = 2048
CONTINUATION = 128  # set in each byte of a number but its last


def pack_number(number: int) -> bytes:
    r"""A number as a variable-length integer, seven bits a byte, the lowest first.

    >>> pack_number(5), pack_number(300)
    (b'\x05', b'\xac\x02')
    """
    packed = bytearray()
    while number >= CONTINUATION:
        packed.append(number & (CONTINUATION - 1) | CONTINUATION)
        number >>= 7
    return bytes([*packed, number])


def unpack_number(packed: bytes, offset: int) -> tuple[int, int]:
    r"""The number at an offset, and the offset behind it.

    >>> unpack_number(b"\xac\x02", 0)
    (300, 2)
    """
    number = shift = 0
    while packed[offset] >= CONTINUATION:
        number |= (packed[offset] & (CONTINUATION - 1)) << shift
        offset += 1
        shift += 7
    return number | packed[offset] << shift, offset + 1


class Order(NamedTuple):
    """An order that was taken."""

    version: int
    digest: bytes


class OrderHistory(NamedTuple):
    """The orders that were taken, as far back as they are remembered; versions climb.

    >>> history = OrderHistory().add(3, bytes(16)).add(7, bytes(16))
    >>> history == OrderHistory.unpack(history.pack()), len(history.pack())
    (True, 15)
    """

    forgotten: int = 0  # the newest version of which no digest is kept
    entries: tuple[Order, ...] = ()  # the newest last

    def add(self, version: int, digest: bytes, limit: int | None = None) -> "OrderHistory":
        """With one more order; beyond the limit the oldest are forgotten.

        >>> OrderHistory().add(7, b"123456789").entries[-1]
        Order(version=7, digest=b'123456')
        """
        entries = (*self.entries, Order(version, digest[:DIGEST_BYTES]))
        limit = limit or MAX_ORDERS
        dropped, retained = entries[:-limit], entries[-limit:]
        return OrderHistory(dropped[-1].version if dropped else self.forgotten, retained)

    def contains(self, version: int, digest: bytes) -> bool:
        """Whether that very configuration is known to have been taken.

        >>> OrderHistory().add(3, b"123456").contains(3, b"1234567")
        True
        """
        return (version, digest[:DIGEST_BYTES]) in self.entries

    def pack(self) -> bytes:
        r"""As a register's value carries it.

        >>> OrderHistory(2, (Order(3, b"123456"),)).pack()
        b'\x02\x01123456'
        """
        packed, before = [pack_number(self.forgotten)], self.forgotten
        for version, digest in self.entries:
            packed += [pack_number(version - before), digest]
            before = version
        return b"".join(packed)

    @classmethod
    def unpack(cls, packed: bytes) -> "OrderHistory":
        """As it was before it was packed.

        >>> OrderHistory.unpack(b"")
        OrderHistory(forgotten=0, entries=())
        """
        if not packed:
            return cls()
        entries = []
        forgotten, offset = unpack_number(packed, 0)
        version = forgotten
        while offset < len(packed):
            step, offset = unpack_number(packed, offset)
            version += step
            entries.append(Order(version, packed[offset : offset + DIGEST_BYTES]))
            offset += DIGEST_BYTES
        return cls(forgotten, tuple(entries))

    @classmethod
    def of_list(cls, pairs: list[tuple[int, str]], limit: int) -> "OrderHistory":
        """From the (version, hex digest) pairs of values of the first release, which held `limit` of them.

        >>> OrderHistory.of_list([(5, "0a" * 16)], 1).forgotten
        4
        """
        entries = tuple(
            Order(version, bytes.fromhex(digest)[:DIGEST_BYTES]) for version, digest in pairs
        )
        return cls(entries[0].version - 1 if len(entries) >= limit else 0, entries)
