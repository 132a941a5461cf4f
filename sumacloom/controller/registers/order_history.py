"""Which configurations were taken, packed into few bytes: each version as its step from the one before, and a short digest.

The packed form begins with the newest version that was forgotten (0 if none was): of an order at or below it
nobody can tell any more whether it was taken.
"""

from typing import NamedTuple

DIGEST_BYTES = 6  # two bodies under one version are told apart but for one case in 2 ** 48
MOST_TAKEN = 2048


def pack_number(number: int) -> bytes:
    """A whole number, seven bits a byte, the lowest first.

    >>> pack_number(5), pack_number(300)
    (b'\\x05', b'\\xac\\x02')
    """
    found = bytearray()
    while number > 127:
        found.append(number & 127 | 128)
        number >>= 7
    return bytes([*found, number])


def read_number(packed: bytes, place: int) -> tuple[int, int]:
    """The number at a place, and the place after it.

    >>> read_number(b"\\xac\\x02", 0)
    (300, 2)
    """
    number = shift = 0
    while packed[place] > 127:
        number |= (packed[place] & 127) << shift
        place, shift = place + 1, shift + 7
    return number | packed[place] << shift, place + 1


class Taken(NamedTuple):
    """The orders that were taken, as far back as they are remembered; versions climb.

    >>> taken = Taken().add(3, bytes(16)).add(7, bytes(16)); taken == Taken.unpack(taken.pack()), len(taken.pack())
    (True, 15)
    """

    forgotten: int = 0  # the newest version of which no digest is kept
    entries: tuple[tuple[int, bytes], ...] = ()  # (version, digest), the newest last

    def add(self, ver: int, digest: bytes, most: int = 0) -> "Taken":
        """With one more; beyond the bound the oldest are forgotten.

        >>> Taken(0, ((3, b"a"),)).add(7, b"123456789").entries[-1]
        (7, b'123456')
        """
        entries = (*self.entries, (ver, digest[:DIGEST_BYTES]))
        lost, kept = entries[: -(most or MOST_TAKEN)], entries[-(most or MOST_TAKEN) :]
        return Taken(lost[-1][0] if lost else self.forgotten, kept)

    def holds(self, ver: int, digest: bytes) -> bool:
        """Whether that very configuration is known to have been taken.

        >>> Taken().add(3, b"123456").holds(3, b"1234567"), Taken().holds(3, b"123456")
        (True, False)
        """
        return (ver, digest[:DIGEST_BYTES]) in self.entries

    def pack(self) -> bytes:
        """As the value carries it.

        >>> Taken(2, ((3, b"123456"),)).pack()
        b'\\x02\\x01123456'
        """
        steps, before = [pack_number(self.forgotten)], self.forgotten
        for ver, digest in self.entries:
            steps += [pack_number(ver - before), digest]
            before = ver
        return b"".join(steps)

    @classmethod
    def unpack(cls, packed: bytes) -> "Taken":
        """As it was before it was packed.

        >>> Taken.unpack(b"")
        Taken(forgotten=0, entries=())
        """
        if not packed:
            return cls()
        entries = []
        forgotten, place = read_number(packed, 0)
        ver = forgotten
        while place < len(packed):
            step, place = read_number(packed, place)
            ver += step
            entries.append((ver, packed[place : place + DIGEST_BYTES]))
            place += DIGEST_BYTES
        return cls(forgotten, tuple(entries))

    @classmethod
    def of_list(cls, pairs: list, most: int) -> "Taken":
        """From the list of (version, hex digest) of older values, which held `most` of them.

        >>> Taken.of_list([(5, "0a" * 16)], 1)
        Taken(forgotten=4, entries=((5, b'\\n\\n\\n\\n\\n\\n'),))
        """
        entries = tuple((ver, bytes.fromhex(digest)[:DIGEST_BYTES]) for ver, digest in pairs)
        return cls(entries[0][0] - 1 if len(entries) >= most else 0, entries)
