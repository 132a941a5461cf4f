"""How one body differs from another: runs of the first, and what is new. Bodies are JSON lists of many objects."""

import zlib

import msgspec

MARK = b"~"  # no body and no packed body begins so
SEAM = b"},{"
MOST_PARTS = 100_000


class Difference(msgspec.Struct, array_like=True):
    base: int  # checksum of the body it is taken from
    result: int  # and of the body it leads to
    steps: list[tuple[int, int] | bytes]  # (first part, how many), or a new part


def differ(base: bytes, wanted: bytes) -> bytes:
    """What leads from one body to another.

    >>> before = b'{"a":[' + b",".join(b'{"n":%d}' % n for n in range(999)) + b"]}"; after = before.replace(b":700}", b":7}")
    >>> len(differ(before, after)) < 60, patch(before, differ(before, after)) == after
    (True, True)
    """
    parts = base.split(SEAM)
    places = {part: place for place, part in enumerate(parts)}
    steps = []
    for part in wanted.split(SEAM):
        last = steps[-1] if steps else None
        if (
            isinstance(last, list)
            and last[0] + last[1] < len(parts)
            and parts[last[0] + last[1]] == part
        ):
            last[1] += 1
        elif part in places:
            steps.append([places[part], 1])
        else:
            steps.append(part)
    return MARK + msgspec.msgpack.encode((zlib.crc32(base), zlib.crc32(wanted), steps))


def patch(base: bytes, difference: bytes) -> bytes:
    """The body that a difference leads to; ValueError if it is not one of this base.

    >>> patch(b"{}", differ(b"{}", b'{"a":1}'))
    b'{"a":1}'
    """
    try:
        found = msgspec.msgpack.decode(difference[len(MARK) :], type=Difference)
    except msgspec.MsgspecError as error:
        raise ValueError(f"a difference can't be read: {error}") from error
    if found.base != zlib.crc32(base):
        raise ValueError("a difference of another body")
    parts, result = base.split(SEAM), []
    for step in found.steps:
        result += [step] if isinstance(step, bytes) else parts[step[0] : step[0] + step[1]]
        if len(result) > MOST_PARTS:
            raise ValueError("a difference is too large")
    body = SEAM.join(result)
    if zlib.crc32(body) != found.result:
        raise ValueError("a difference does not lead where it should")
    return body
