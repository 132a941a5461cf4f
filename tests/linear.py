"""Whether a history of operations on one register could have happened one after the other (Wing and Gong's search).

An operation that got no clear answer may have taken effect at any time since it was asked, once, or never.
"""

import math
from typing import NamedTuple

MOST_STEPS = 60_000  # a history that doesn't fit may take the search very long: then it is an error


class Operation(NamedTuple):
    """One order or reading, over all its tries."""

    asked: float
    ended: float  # answered, or given up
    what: tuple  # ("put", ver, body, base), ("read",), ("zone", zone, wanted)
    said: object  # "ok", "refused", "unclear", or what a reading gave


def configuration_register(state: tuple, operation: Operation):
    """The register of configurations: (current, those taken). Gives the next state; None where this can't be."""
    current, taken = state
    if operation.what[0] == "read":
        return state if operation.said == current else None
    _put, ver, body, base = operation.what
    was, fits = (ver, body) in taken, base == current and ver > current
    if operation.said == "refused":
        return None if was or fits else state
    if operation.said == "ok" and was:
        return state
    return (ver, taken | {(ver, body)}) if fits and not was else None


def zone_drains(state: frozenset, operation: Operation):
    """The zones that are being emptied."""
    if operation.what[0] == "read":
        return state if operation.said == state else None
    _zone, zone, wanted = operation.what
    changed = state | {zone} if wanted else state - {zone}
    return changed if operation.said == "ok" or changed != state else None


def linear(operations, model, start, fenced: bool = False) -> bool:
    """Whether the history fits the model. `fenced`: what was given up takes no effect after an order asked later did."""
    rows = sorted(operations, key=lambda row: row.asked)
    ends = [math.inf if row.said == "unclear" else row.ended for row in rows]
    stack, seen = [(0, start, -math.inf)], set()
    while stack:
        done, state, newest = stack.pop()
        left = [place for place in range(len(rows)) if not done >> place & 1]
        horizon = min((ends[place] for place in left), default=math.inf)
        if horizon == math.inf:
            return True
        for place in sorted(left, key=lambda place: (-ends[place], place)):
            row = rows[place]
            late = fenced and row.said == "unclear" and newest > row.ended
            after = None if row.asked > horizon or late else model(state, row)
            if after is not None:
                later = newest if row.what[0] == "read" else max(newest, row.asked)
                step = (done | 1 << place, after, later)
                if len(seen) > MOST_STEPS:
                    raise RuntimeError(f"no order was found in {MOST_STEPS} steps")
                if step not in seen:
                    seen.add(step)
                    stack.append(step)
    return False
