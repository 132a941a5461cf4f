"""Differences between two bodies: runs of parts of the first, and new parts.

Bodies are JSON lists of objects.
"""

import zlib

import msgspec

PREFIX = b"~"  # no body and no compressed body begins so
SEPARATOR = b"},{"
MAX_PARTS = 100_000


class Difference(msgspec.Struct, array_like=True):
    """What leads from one body to another."""

    base: int  # checksum of the body that it is taken from
    result: int  # and of the body that it leads to
    steps: list[tuple[int, int] | bytes]  # (first part, how many of the base), or a new part


def is_difference(data: bytes) -> bool:
    """Whether this is a difference and not a body."""
    return data.startswith(PREFIX)


def difference(base: bytes, wanted: bytes) -> bytes:
    """What leads from one body to another.

    >>> before = b'{"a":[' + b",".join(b'{"n":%d}' % n for n in range(999)) + b"]}"
    >>> after = before.replace(b":700}", b":7}")
    >>> len(difference(before, after)) < 60, patch(before, difference(before, after)) == after
    (True, True)
    """
    parts = base.split(SEPARATOR)
    places = {part: place for place, part in enumerate(parts)}
    steps: list[list[int] | bytes] = []
    for part in wanted.split(SEPARATOR):
        last = steps[-1] if steps else None
        if isinstance(last, list):
            following = last[0] + last[1]
            if following < len(parts) and parts[following] == part:
                last[1] += 1
                continue
        steps.append([places[part], 1] if part in places else part)
    return PREFIX + msgspec.msgpack.encode((zlib.crc32(base), zlib.crc32(wanted), steps))


def patch(base: bytes, delta: bytes) -> bytes:
    """The body that a difference leads to.

    >>> patch(b"{}", difference(b"{}", b'{"a":1}'))
    b'{"a":1}'

    Raises:
        ValueError: it is unreadable, too large, or not a difference of this base.
    """
    try:
        found = msgspec.msgpack.decode(delta[len(PREFIX) :], type=Difference)
    except msgspec.MsgspecError as error:
        raise ValueError(f"a difference can't be read: {error}") from error
    if found.base != zlib.crc32(base):
        raise ValueError("a difference of another body")
    parts = base.split(SEPARATOR)
    result: list[bytes] = []
    for step in found.steps:
        result += [step] if isinstance(step, bytes) else parts[step[0] : step[0] + step[1]]
        if len(result) > MAX_PARTS:
            raise ValueError("a difference is too large")
    body = SEPARATOR.join(result)
    if zlib.crc32(body) != found.result:
        raise ValueError("a difference does not lead where it should")
    return body
