"""The bytes of a ledger. Each append is one group, whose header tells its place: all before it was synced.

    mark, number of the file, offset of the group, bytes of the body, checksum of the body    20 bytes
    checksum of these                                                                          4 bytes
    the records, each a length (4 bytes) and its payload

Files of the first version hold bare records (length, checksum, payload); a group may follow them.
"""

import struct
import zlib
from typing import NamedTuple

MARK = b"\xf5LG1"  # read as the length of a bare record it is too much
HEADER = struct.Struct(">4sIIII")
HEADER_BYTES = HEADER.size + 4
BARE_HEAD = 8


class Scan(NamedTuple):
    """What a file holds: the payloads, the bytes up to the first that can't be read, all bytes, and whether
    something whole stands behind the unreadable (then `payloads` has it too).
    """

    payloads: list[bytes]
    filled: int
    size: int
    damaged: bool
    head: bytes = b""

    @property
    def foreign(self) -> bool:
        """Whether it begins with what is neither ours nor the remains of a write of ours.

        >>> scan(b"#!/bin/sh", 1).foreign, scan(pack(b"torn")[:-1], 1).foreign
        (True, False)
        """
        return (
            self.filled == 0
            and not self.damaged
            and int.from_bytes(self.head, "big") >> 26 > 0
            and not any(ours == there for ours, there in zip(MARK, self.head))
        )


def number4(number: int) -> bytes:
    """Four bytes.

    >>> number4(258)
    b'\\x00\\x00\\x01\\x02'
    """
    return number.to_bytes(4, "big")


def pack(payload: bytes) -> bytes:
    """A bare record of the first version: length, checksum, payload.

    >>> len(pack(b"abc"))
    11
    """
    return number4(len(payload)) + number4(zlib.crc32(payload)) + payload


def group(number: int, offset: int, payloads: list[bytes]) -> bytes:
    """The bytes of one append at that place.

    >>> scan(group(1, 0, [b"a", b"bc"]), 1).payloads
    [b'a', b'bc']
    """
    body = b"".join(number4(len(payload)) + payload for payload in payloads)
    header = HEADER.pack(MARK, number, offset, len(body), zlib.crc32(body))
    return header + number4(zlib.crc32(header)) + body


def header_at(data: bytes, number: int, at: int) -> tuple[int, int] | None:
    """Size and checksum of the body of a group that belongs at this very place.

    >>> header_at(group(1, 0, [b"a"]), 1, 0)[0], header_at(group(2, 0, [b"a"]), 1, 0)
    (5, None)
    """
    header = data[at : at + HEADER_BYTES]
    if (
        len(header) < HEADER_BYTES
        or number4(zlib.crc32(header[: HEADER.size])) != header[HEADER.size :]
    ):
        return None
    mark, in_file, offset, size, checksum = HEADER.unpack(header[: HEADER.size])
    return (size, checksum) if (mark, in_file, offset) == (MARK, number, at) else None


def bare_at(data: bytes, at: int) -> bytes | None:
    """The payload of a whole bare record there; one of zeros is a hole.

    >>> bare_at(pack(b"a"), 0), bare_at(bytes(8), 0)
    (b'a', None)
    """
    size = int.from_bytes(data[at : at + 4], "big")
    payload = (
        data[at + BARE_HEAD : at + BARE_HEAD + size]
        if 0 < size <= len(data) - at - BARE_HEAD
        else b""
    )
    return (
        payload
        if payload and number4(zlib.crc32(payload)) == data[at + 4 : at + BARE_HEAD]
        else None
    )


def whole_at(data: bytes, number: int, at: int) -> tuple[list[bytes], int] | None:
    """The payloads of the group or bare record there, and where it ends.

    >>> whole_at(group(1, 0, [b"a"]), 1, 0), whole_at(pack(b"a"), 1, 0), whole_at(b"torn", 1, 0)
    (([b'a'], 29), ([b'a'], 9), None)
    """
    header = header_at(data, number, at)
    if header is None:
        payload = bare_at(data, at)
        return None if payload is None else ([payload], at + BARE_HEAD + len(payload))
    end = at + HEADER_BYTES + header[0]
    body = data[at + HEADER_BYTES : end]
    if len(body) < header[0] or zlib.crc32(body) != header[1]:
        return None
    payloads, inside = [], 0
    while inside < len(body):
        size = int.from_bytes(body[inside : inside + 4], "big")
        payloads.append(body[inside + 4 : inside + 4 + size])
        inside += 4 + size
    return payloads, end


def next_at(data: bytes, number: int, at: int, bare: bool) -> int | None:
    """The next place behind this one where a group begins, or a whole bare record, if such are looked for.

    >>> next_at(b"??" + pack(b"a"), 1, 0, True), next_at(b"??" + pack(b"a"), 1, 0, False)
    (2, None)
    """
    mark = data.find(MARK, at + 1)
    while mark >= 0 and header_at(data, number, mark) is None:
        mark = data.find(MARK, mark + 1)
    places = range(at + 1, mark if mark >= 0 else len(data) - BARE_HEAD) if bare else ()
    first = next((place for place in places if bare_at(data, place) is not None), None)
    return first if first is not None else mark if mark >= 0 else None


def scan(data: bytes, number: int) -> Scan:
    """Reads a file. A group is begun only when all before it is synced, so what can't be read before one is damage,
    and what can't be read at the end is a torn one. A bare record tells no such thing: one behind is damage too.

    >>> whole = group(1, 0, [b"a"]) + group(1, 29, [b"b"])
    >>> scan(whole[:-1], 1)[:2], scan(b"?" + whole[1:], 1).damaged
    (([b'a'], 29), True)
    """
    payloads, at, filled, damaged, grouped = [], 0, None, False, False
    while at is not None and at < len(data):
        found = whole_at(data, number, at)
        if found:
            grouped = grouped or header_at(data, number, at) is not None
            damaged = damaged or filled is not None
            payloads += found[0]
            at = found[1]
        else:
            filled = at if filled is None else filled
            at = next_at(data, number, at, not grouped)
            damaged = damaged or at is not None
    return Scan(payloads, len(data) if filled is None else filled, len(data), damaged, data[:4])
