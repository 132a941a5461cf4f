"""The bytes of a log. Each append is one group whose header tells its place, so all before it was synced.

    magic, number of the file, offset of the group, bytes of the body, checksum of the body    20 bytes
    checksum of these                                                                           4 bytes
    the records, each a length (4 bytes) and its payload

Files of the first release hold bare records (length, checksum, payload); groups may follow them.
"""

import struct
import zlib
from typing import NamedTuple

MAGIC = b"\xf5LG1"  # read as the length of a bare record it is too much
HEADER = struct.Struct(">4sIIII")
HEADER_BYTES = HEADER.size + 4
LENGTH_BYTES = 4
BARE_HEADER_BYTES = 8
MAX_BARE_LENGTH_BITS = 26  # no record of the first release was so long


class GroupHeader(NamedTuple):
    """What a valid header says of its body."""

    size: int
    checksum: int


class Frame(NamedTuple):
    """The payloads of one group or bare record, and the offset behind it."""

    payloads: list[bytes]
    end: int


class ScanResult(NamedTuple):
    """What a file holds.

    Attributes:
        payloads: all readable records; those behind the unreadable place too if `damaged`.
        valid_bytes: bytes up to the first that can't be read.
        size: all bytes.
        damaged: whether something valid stands behind the unreadable place.
        head: the first bytes.
    """

    payloads: list[bytes]
    valid_bytes: int
    size: int
    damaged: bool
    head: bytes = b""

    @property
    def has_torn_tail(self) -> bool:
        """Whether the file ends with bytes that can't be read."""
        return self.valid_bytes < self.size

    @property
    def foreign(self) -> bool:
        """Whether it begins with what is neither ours nor what a torn write of ours leaves.

        >>> scan(b"#!/bin/sh", 1).foreign, scan(encode_bare_record(b"torn")[:-1], 1).foreign
        (True, False)
        """
        if self.valid_bytes or self.damaged:
            return False
        too_long = int.from_bytes(self.head, "big") >> MAX_BARE_LENGTH_BITS > 0
        partly_ours = any(ours == there for ours, there in zip(MAGIC, self.head, strict=False))
        return too_long and not partly_ours


def _uint32(number: int) -> bytes:
    return number.to_bytes(4, "big")


def encode_bare_record(payload: bytes) -> bytes:
    """A record as the first release wrote it: length, checksum, payload."""
    return _uint32(len(payload)) + _uint32(zlib.crc32(payload)) + payload


def encode_group(file_number: int, offset: int, payloads: list[bytes]) -> bytes:
    """The bytes of one append at that place.

    >>> scan(encode_group(1, 0, [b"a", b"bc"]), 1).payloads
    [b'a', b'bc']
    """
    body = b"".join(_uint32(len(payload)) + payload for payload in payloads)
    header = HEADER.pack(MAGIC, file_number, offset, len(body), zlib.crc32(body))
    return header + _uint32(zlib.crc32(header)) + body


def header_at(data: bytes, file_number: int, offset: int) -> GroupHeader | None:
    """The header of a group that belongs at this very place; None if there is none.

    >>> header_at(encode_group(1, 0, [b"a"]), 1, 0).size, header_at(encode_group(2, 0, [b"a"]), 1, 0)
    (5, None)
    """
    header = data[offset : offset + HEADER_BYTES]
    if len(header) < HEADER_BYTES:
        return None
    if _uint32(zlib.crc32(header[: HEADER.size])) != header[HEADER.size :]:
        return None
    magic, in_file, at, size, checksum = HEADER.unpack(header[: HEADER.size])
    if (magic, in_file, at) != (MAGIC, file_number, offset):
        return None
    return GroupHeader(size, checksum)


def bare_record_at(data: bytes, offset: int) -> bytes | None:
    """The payload of a valid bare record there; one of zeros is a hole in the file.

    >>> bare_record_at(encode_bare_record(b"a"), 0), bare_record_at(bytes(8), 0)
    (b'a', None)
    """
    start = offset + BARE_HEADER_BYTES
    size = int.from_bytes(data[offset : offset + LENGTH_BYTES], "big")
    if not 0 < size <= len(data) - start:
        return None
    payload = data[start : start + size]
    checksum = data[offset + LENGTH_BYTES : start]
    return payload if _uint32(zlib.crc32(payload)) == checksum else None


def frame_at(data: bytes, file_number: int, offset: int) -> Frame | None:
    """The group or bare record there; None if there is no valid one.

    >>> frame_at(encode_group(1, 0, [b"a"]), 1, 0), frame_at(b"torn", 1, 0)
    (Frame(payloads=[b'a'], end=29), None)
    """
    header = header_at(data, file_number, offset)
    if header is None:
        payload = bare_record_at(data, offset)
        if payload is None:
            return None
        return Frame([payload], offset + BARE_HEADER_BYTES + len(payload))
    end = offset + HEADER_BYTES + header.size
    body = data[offset + HEADER_BYTES : end]
    if len(body) < header.size or zlib.crc32(body) != header.checksum:
        return None
    return Frame(_split_body(body), end)


def _split_body(body: bytes) -> list[bytes]:
    payloads, offset = [], 0
    while offset < len(body):
        size = int.from_bytes(body[offset : offset + LENGTH_BYTES], "big")
        offset += LENGTH_BYTES
        payloads.append(body[offset : offset + size])
        offset += size
    return payloads


def next_frame_offset(data: bytes, file_number: int, offset: int, bare: bool) -> int | None:
    """The next offset behind this one where a group begins, or a bare record if such are looked for.

    >>> next_frame_offset(b"??" + encode_bare_record(b"a"), 1, 0, True)
    2
    >>> next_frame_offset(b"??" + encode_bare_record(b"a"), 1, 0, False) is None
    True
    """
    found = data.find(MAGIC, offset + 1)
    while found >= 0 and header_at(data, file_number, found) is None:
        found = data.find(MAGIC, found + 1)
    group = found if found >= 0 else None
    if bare:
        limit = group if group is not None else len(data) - BARE_HEADER_BYTES
        for place in range(offset + 1, limit):
            if bare_record_at(data, place) is not None:
                return place
    return group


def scan(data: bytes, file_number: int) -> ScanResult:
    """Reads a file as far as it can be read.

    A group is begun only when all before it is synced, so what can't be read before one is damage, and
    what can't be read at the end is a torn write. A bare record tells no such thing of what stands
    before it, yet one behind an unreadable place is damage too.

    >>> file = encode_group(1, 0, [b"a"]) + encode_group(1, 29, [b"b"])
    >>> scan(file[:-1], 1)[:2], scan(b"?" + file[1:], 1).damaged
    (([b'a'], 29), True)
    """
    payloads: list[bytes] = []
    first_unreadable: int | None = None
    damaged = has_groups = False
    offset: int | None = 0
    while offset is not None and offset < len(data):
        frame = frame_at(data, file_number, offset)
        if frame:
            has_groups = has_groups or header_at(data, file_number, offset) is not None
            damaged = damaged or first_unreadable is not None
            payloads += frame.payloads
            offset = frame.end
        else:
            first_unreadable = offset if first_unreadable is None else first_unreadable
            offset = next_frame_offset(data, file_number, offset, bare=not has_groups)
            damaged = damaged or offset is not None
    valid_bytes = len(data) if first_unreadable is None else first_unreadable
    return ScanResult(payloads, valid_bytes, len(data), damaged, data[: len(MAGIC)])
