"""Replacing a primary: plans as generators that yield batches of commands and are sent their results.

A plan touches no socket: it yields a list of commands (Ask, Promote, Announce, Fence, ...) and receives a dict
from command to outcome. So every schedule of lost answers can be played as a table.
"""

from typing import NamedTuple

from sumacloom.transport.updates import Record
from sumacloom.types import Position, read_position

CATCH_UP_TRIES = 20
SOON_S = 2.0
LEAD_TRIES = 40
MOST_BEHIND, MOST_LAG_MS = 300, 1000.0  # further back, a replica would not catch up in time


class Ask(NamedTuple):
    """A text for a backend; its outcome is a Row, an error code, or None for silence."""

    backend: Record
    text: str
    patient: bool = False  # whether a batch waits for its silent backends to the cutoff


class Promote(NamedTuple):
    """A call to the platform; its outcome is the HTTP status, 0 for silence, or None if it never left."""

    service: str
    backend: str


class Rest(NamedTuple):
    """A pause in seconds."""

    seconds: float


class Announce(NamedTuple):
    """Tells every counter that a new lead is on its way."""

    service: str
    seconds: float


class Fence(NamedTuple):
    """Sees to a fence above that of an earlier unclear call; its outcome is whether that is decided."""

    service: str


class Look(NamedTuple):
    """Looks at the roster; its outcome is the set of names of the service's backends that are there."""

    service: str


class Row(NamedTuple):
    """The row that STAT, PAUSE, CONT and STEPDOWN answer with.

    >>> read_row("replica 3 3.1209 0 12 2 17").position
    Position(term=3, number=1209)
    """

    role: str
    term: int
    position: Position
    held: int
    lag_ms: float


def read_row(text: str) -> Row | None:
    """Reads the row; None if it is something else.

    >>> read_row("nonsense") is None
    True
    """
    words = text.split()
    position = read_position(words[2]) if len(words) >= 7 else None
    if position is None or not words[1].isdigit():
        return None
    held = int(words[3]) if words[3].isdigit() else 0
    lag = float(words[4]) if words[4].replace(".", "", 1).isdigit() else 0.0
    return Row(words[0], int(words[1]), position, held, lag)


def rows_of(results: dict) -> dict[Record, Row]:
    """The backends that answered with a row.

    >>> rows_of({})
    {}
    """
    return {
        ask.backend: row
        for ask, row in results.items()
        if isinstance(ask, Ask) and isinstance(row, Row)
    }


def best_of(rows: dict[Record, Row]) -> Record:
    """The backend with the furthest log; among equals the one that lags least.

    >>> best_of({Record("i", "s", "a", "z"): read_row("replica 3 3.1 0 0 0 0")}).name
    'i'
    """
    return max(rows, key=lambda record: (rows[record].position, -rows[record].lag_ms, record.name))


def promote(service: str, target: Record):
    """Calls the platform: True if it says that the backend leads, False if it says no, None if unclear or not sent.

    >>> plan = promote("s", Record("i", "s", "a", "z")); next(plan)
    [Promote(service='s', backend='i')]
    """
    command = Promote(service, target.name)
    status = (yield [command])[command]
    if status is None:
        return None
    if 200 <= status < 300:
        yield [Announce(service, SOON_S)]
        return True
    return False if 400 <= status < 500 and status not in (408, 429) else None


def replace_dead(
    service: str,
    dead: Record | None,
    replicas: list[Record],
    sync_acks: int,
    doubtful: bool = False,
):
    """The primary is dark: freezes the replicas if need be, draws the furthest, promotes it.

    Gives the name of the backend that leads now, or nothing; a promotion that got no clear answer is not
    tried again here, since the next plan is drawn from a fresh look at the fleet.

    With `syncAcks` nothing may be received between the freeze and the new lead: CONT is sent only once
    the promoted backend itself says that it leads, and never after an unclear call, which may yet land.

    >>> plan = replace_dead("s", None, [Record("i", "s", "a", "z")], 0)
    >>> [ask.text for ask in next(plan)]
    ['STAT']
    """
    everyone = replicas + ([dead] if dead else [])
    if doubtful and not (yield from raise_fence(service)):
        return ""
    rows = rows_of(
        (
            yield [
                Ask(backend, "STAT", sync_acks > 0 and backend is not dead) for backend in everyone
            ]
        )
    )
    leads = leading(rows)
    if leads:
        return (yield from confirm(service, leads, rows)) if sync_acks else leads.name
    newest = max((max(row.term, row.held) for row in rows.values()), default=0)
    rows = {backend: row for backend, row in rows.items() if backend in replicas}
    if not rows:
        return ""
    if sync_acks:
        rows = rows_of((yield [Ask(backend, f"PAUSE {newest + 1}", True) for backend in rows]))
        rows = {backend: row for backend, row in rows.items() if row.held > newest}
        look = Look(service)
        there = (yield [look])[look]
        if (
            not rows
            or len(replicas) - len(rows) >= sync_acks
            or not there <= {backend.name for backend in everyone}
        ):
            if not doubtful:
                yield [Ask(backend, "CONT") for backend in rows] or [Rest(0.2)]
            return ""
    target = best_of(rows)
    done = yield from promote(service, target)
    if done and sync_acks:
        yield from release(target, [backend for backend in rows if backend is not target])
    return target.name if done else ""


def raise_fence(service: str):
    """Sees to a higher fence, so that an earlier call still on its way is refused.

    >>> next(raise_fence("s"))
    [Fence(service='s')]
    """
    command = Fence(service)
    return (yield [command])[command]


def leading(rows: dict[Record, Row]) -> Record | None:
    """The backend that says it leads, if it is of the newest term.

    >>> leading({}) is None
    True
    """
    newest = max((row.term for row in rows.values()), default=0)
    return next(
        (backend for backend, row in rows.items() if row.role == "primary" and row.term == newest),
        None,
    )


def release(target: Record, others: list[Record]):
    """Once the promoted backend leads, the replicas may receive again.

    >>> [ask.text for ask in next(release(Record("i", "s", "a", "z"), []))]
    ['STAT']
    """
    for _try in range(LEAD_TRIES):
        row = rows_of((yield [Ask(target, "STAT")])).get(target)
        if row and row.role == "primary":
            yield [Ask(backend, "CONT") for backend in others] or [Rest(0.0)]
            return
        yield [Rest(0.1)]


def confirm(service: str, leads: Record, rows: dict[Record, Row]):
    """A backend leads, but replicas are frozen by a plan that did not end: that plan's call is fenced off, then they go on.

    >>> plan = confirm("s", Record("i", "s", "a", "z"), {}); next(plan)
    Traceback (most recent call last):
    StopIteration: i
    """
    frozen = [backend for backend, row in rows.items() if row.held > rows[leads].term]
    if frozen:
        command = Promote(
            service, leads.name
        )  # the present primary: nothing changes but the fence seen
        if not 200 <= ((yield [command])[command] or 0) < 300:
            return ""
        yield [Ask(backend, "CONT") for backend in frozen]
    return leads.name


def look_over(service: str, everyone: list[Record]):
    """A new holder, or one with an unclear call behind it, looks at a service whose primary may be well.

    >>> next(look_over("s", []))
    [Fence(service='s')]
    """
    if not (yield from raise_fence(service)):
        return ""
    rows = rows_of((yield [Ask(backend, "STAT", True) for backend in everyone]))
    leads = leading(rows)
    return (yield from confirm(service, leads, rows)) if leads else ""


def hand_over(
    service: str, leaver: Record, replicas: list[Record], sync_acks: int = 0, doubtful: bool = False
):
    """The primary is to go, in order: it steps down, a replica catches up, that one is promoted.

    >>> plan = hand_over("s", Record("p", "s", "a", "z"), [Record("i", "s", "a", "z")])
    >>> [ask.backend.name for ask in next(plan)]
    ['i', 'p']
    """
    if doubtful and not (yield from raise_fence(service)):
        return ""
    rows = rows_of((yield [Ask(backend, "STAT", sync_acks > 0) for backend in [*replicas, leaver]]))
    own = rows.pop(leaver, None)
    leads = [backend for backend, row in rows.items() if row.role == "primary"]
    if leads:
        return leads[0].name
    if not rows or own is None or (sync_acks and len(rows) < len(replicas)):
        return ""
    goal = max(row.position for row in rows.values())
    if own.role == "primary":
        if not any(near(row, own) for row in rows.values()):
            yield [Rest(0.2)]
            return ""
        term = max(row.term for row in [own, *rows.values()]) + 1
        step = Ask(leaver, f"STEPDOWN {term}")
        row = (yield [Announce(service, SOON_S), step])[step]
        if not isinstance(row, Row):
            yield [Rest(0.1)]
            return ""
        goal = row.position
    else:
        goal = max(goal, own.position)
    for _try in range(CATCH_UP_TRIES):
        if any(row.position >= goal for row in rows.values()):
            break
        yield [Rest(0.02)]
        rows = rows_of((yield [Ask(backend, "STAT") for backend in replicas])) or rows
    ready = {backend: row for backend, row in rows.items() if row.position >= goal}
    # nobody has caught up: the one that stepped down holds everything, and leads on
    target = best_of(ready) if ready else leaver
    done = yield from promote(service, target)
    return target.name if done else ""


def near(row: Row, own: Row) -> bool:
    """Whether a replica is near enough to its primary to catch up at once.

    >>> near(read_row("replica 3 3.8 0 20 0 0"), read_row("primary 3 3.9 0 0 0 0"))
    True
    """
    behind = own.position.number - row.position.number
    return (
        row.position.term == own.position.term
        and behind <= MOST_BEHIND
        and row.lag_ms <= MOST_LAG_MS
    )


def draw_plan(
    service: str,
    records: list[Record],
    zones: list[str],
    dark_since,
    sync_acks: int,
    now: float,
    dark_s: float,
    nobody_since: float | None,
    doubtful: bool = False,
):
    """The plan that a service needs now, if any: (name, plan).

    >>> primary = Record("p", "s", "a", "z", role="primary")
    >>> draw_plan("s", [primary, Record("i", "s", "a", "z")], [], lambda name: 0.0, 0, 9.0, 0.5, None)[0]
    'replace_dead'
    >>> draw_plan("s", [primary, Record("i", "s", "a", "y")], ["z"], lambda name: None, 0, 9.0, 0.5, None)[0]
    'hand_over'
    """
    there = [record for record in records if record.phase != "gone"]
    primaries = [record for record in there if record.role == "primary"]
    replicas = [record for record in there if record.role != "primary"]
    good = [record for record in replicas if record.phase == "up" and record.zone not in zones] or [
        record for record in replicas if record.phase == "up"
    ]
    if not good:
        return None
    if not primaries:
        if nobody_since is None or now - nobody_since < dark_s:
            return None
        return "replace_dead", replace_dead(
            service, None, replicas if sync_acks else good, sync_acks, doubtful
        )
    living = [record for record in primaries if dark_since(record.name) is None]
    if not living:
        since = max(dark_since(record.name) for record in primaries)
        if now - since < dark_s:
            return None
        return "replace_dead", replace_dead(
            service, primaries[0], replicas if sync_acks else good, sync_acks, doubtful
        )
    leaver = living[0]
    elsewhere = [record for record in good if record.zone not in zones]
    if len(living) == 1 and leaver.phase == "draining" and good:
        return "hand_over", hand_over(
            service, leaver, replicas if sync_acks else good, sync_acks, doubtful
        )
    if len(living) == 1 and leaver.zone in zones and elsewhere:
        return "hand_over", hand_over(service, leaver, elsewhere, sync_acks, doubtful)
    if doubtful and sync_acks:
        return "look_over", look_over(service, there)
    return None
