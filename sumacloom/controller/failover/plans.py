"""Failover plans: generators that yield batches of commands and are sent their results.

A plan touches no socket: it yields a list of commands and receives a dict from command to result. So
every schedule of lost replies can be played as a table. Each plan returns the name of the backend that is
the primary now, or "" if it changed nothing.
"""

from collections.abc import Callable, Generator, Mapping
from typing import Any, NamedTuple

from sumacloom.transport.updates import BackendRecord
from sumacloom.types import Position, parse_position

CATCH_UP_ATTEMPTS = 20
PENDING_S = 2.0  # how long poolers hold statements for a new primary
PRIMARY_ATTEMPTS = 40
MAX_BEHIND, MAX_LAG_MS = 300, 1000.0  # further back, a replica would not catch up in time
CATCH_UP_POLL_S = 0.02
PRIMARY_POLL_S = 0.1
RETRY_S = 0.2
STATUS_FIELDS = 7
RETRYABLE_STATUSES = (408, 429)

# names of plans, as logs and the admin API show them
FAIL_OVER, SWITCH_OVER, RELEASE_REPLICAS = "replace_dead", "hand_over", "look_over"


class BackendQuery(NamedTuple):
    """A text for a backend; its result is a BackendStatus, an error code, or None for silence."""

    backend: BackendRecord
    text: str
    patient: bool = False  # whether the batch waits for a silent backend to the timeout


class Promote(NamedTuple):
    """A call to the platform; its result is the HTTP status, 0 for silence, or None if it never left."""

    service: str
    backend: str


class Wait(NamedTuple):
    """A pause in seconds."""

    seconds: float


class AnnouncePrimary(NamedTuple):
    """Tells every pooler that a new primary is on its way."""

    service: str
    seconds: float


class RaiseFencingToken(NamedTuple):
    """Asks for a token above that of an earlier unclear call; its result is whether that is committed."""

    service: str


class ListBackends(NamedTuple):
    """Asks the registry; its result is the set of names of the service's replicas that are there."""

    service: str


Command = BackendQuery | Promote | Wait | AnnouncePrimary | RaiseFencingToken | ListBackends
Results = Mapping[Any, Any]
Plan = Generator[list[Command], Results, str]


class BackendStatus(NamedTuple):
    """The row that STAT, PAUSE, CONT and STEPDOWN answer with.

    >>> parse_status("replica 3 3.1209 0 12 2 17").position
    Position(term=3, number=1209)
    """

    role: str
    term: int
    position: Position
    paused_term: int
    lag_ms: float

    @property
    def is_primary(self) -> bool:
        """Whether the backend says that it is the primary."""
        return self.role == "primary"


Statuses = dict[BackendRecord, BackendStatus]


class SelectedPlan(NamedTuple):
    """A plan and its name."""

    name: str
    plan: Plan


def parse_status(text: str) -> BackendStatus | None:
    """Parses the row; None if it is something else.

    >>> parse_status("nonsense") is None
    True
    """
    words = text.split()
    if len(words) < STATUS_FIELDS or not words[1].isdigit():
        return None
    position = parse_position(words[2])
    if position is None:
        return None
    paused_term = int(words[3]) if words[3].isdigit() else 0
    lag_ms = float(words[4]) if words[4].replace(".", "", 1).isdigit() else 0.0
    return BackendStatus(words[0], int(words[1]), position, paused_term, lag_ms)


def statuses_of(results: Results) -> Statuses:
    """The backends that answered with a status."""
    return {
        command.backend: result
        for command, result in results.items()
        if isinstance(command, BackendQuery) and isinstance(result, BackendStatus)
    }


def most_advanced(statuses: Statuses) -> BackendRecord:
    """The backend with the furthest log; among equals the one that lags least."""

    def rank(backend: BackendRecord) -> tuple[Position, float, str]:
        status = statuses[backend]
        return (status.position, -status.lag_ms, backend.name)

    return max(statuses, key=rank)


def current_primary(statuses: Statuses) -> BackendRecord | None:
    """The backend that says it is the primary, if it is of the newest term."""
    newest = max((status.term for status in statuses.values()), default=0)
    for backend, status in statuses.items():
        if status.is_primary and status.term == newest:
            return backend
    return None


def is_near(status: BackendStatus, primary: BackendStatus) -> bool:
    """Whether a replica is near enough to its primary to catch up at once.

    >>> is_near(parse_status("replica 3 3.8 0 20 0 0"), parse_status("primary 3 3.9 0 0 0 0"))
    True
    """
    behind = primary.position.number - status.position.number
    same_term = status.position.term == primary.position.term
    return same_term and behind <= MAX_BEHIND and status.lag_ms <= MAX_LAG_MS


# ---------------------------------------------------------------- steps
def promote(service: str, target: BackendRecord) -> Generator[list[Command], Results, bool | None]:
    """Calls the platform: True if the backend is the primary now, False if not, None if unclear."""
    command = Promote(service, target.name)
    status = (yield [command])[command]
    if status is None:
        return None
    if 200 <= status < 300:
        yield [AnnouncePrimary(service, PENDING_S)]
        return True
    refused = 400 <= status < 500 and status not in RETRYABLE_STATUSES
    return False if refused else None


def raise_fencing_token(service: str) -> Generator[list[Command], Results, bool]:
    """Sees to a higher token, so that an earlier call still on its way is refused."""
    command = RaiseFencingToken(service)
    return bool((yield [command])[command])


def resume_replicas(
    target: BackendRecord, others: list[BackendRecord]
) -> Generator[list[Command], Results, None]:
    """Once the promoted backend says that it is the primary, the paused replicas may receive again."""
    resume: list[Command] = [BackendQuery(backend, "CONT") for backend in others]
    for _attempt in range(PRIMARY_ATTEMPTS):
        status = statuses_of((yield [BackendQuery(target, "STAT")])).get(target)
        if status and status.is_primary:
            yield resume or [Wait(0.0)]
            return
        yield [Wait(PRIMARY_POLL_S)]


def confirm_primary(service: str, primary: BackendRecord, statuses: Statuses) -> Plan:
    """There is a primary, but replicas are paused by a plan that did not end: they are resumed.

    That plan's call is fenced off first: promoting the present primary changes nothing but the token that
    the platform has seen.
    """
    term = statuses[primary].term
    paused = [backend for backend, status in statuses.items() if status.paused_term > term]
    if paused:
        command = Promote(service, primary.name)
        status = (yield [command])[command] or 0
        if not 200 <= status < 300:
            return ""
        yield [BackendQuery(backend, "CONT") for backend in paused]
    return primary.name


# ---------------------------------------------------------------- plans
def fail_over(
    service: str,
    dead: BackendRecord | None,
    replicas: list[BackendRecord],
    sync_acks: int,
    unclear: bool = False,
) -> Plan:
    """The primary is unreachable: pauses the replicas if need be, promotes the most advanced.

    A promotion that got no clear answer is not repeated here, since the next plan is made from a fresh look.

    With `sync_acks` nothing may be received between the pause and the new primary: CONT is sent only once
    the promoted backend itself says that it is the primary, and never after an unclear call, which may
    yet take effect.

    Args:
        service: the service.
        dead: its unreachable primary, if it had one.
        replicas: those that may be promoted.
        sync_acks: how many replicas must have received a commit before it is answered.
        unclear: whether an earlier call for this service may yet take effect.
    """
    everyone = replicas + ([dead] if dead else [])
    if unclear and not (yield from raise_fencing_token(service)):
        return ""
    queries: list[Command] = [
        BackendQuery(backend, "STAT", sync_acks > 0 and backend is not dead) for backend in everyone
    ]
    statuses = statuses_of((yield queries))
    primary = current_primary(statuses)
    if primary:
        if sync_acks:
            return (yield from confirm_primary(service, primary, statuses))
        return primary.name
    newest = max((max(status.term, status.paused_term) for status in statuses.values()), default=0)
    candidates = {backend: status for backend, status in statuses.items() if backend in replicas}
    if not candidates:
        return ""
    if sync_acks:
        candidates = yield from _pause(candidates, newest)
        complete = yield from _is_complete(service, candidates, everyone, replicas, sync_acks)
        if not complete:
            if not unclear:
                yield [BackendQuery(backend, "CONT") for backend in candidates] or [Wait(RETRY_S)]
            return ""
    target = most_advanced(candidates)
    promoted = yield from promote(service, target)
    if promoted and sync_acks:
        others = [backend for backend in candidates if backend is not target]
        yield from resume_replicas(target, others)
    return target.name if promoted else ""


def _pause(statuses: Statuses, term: int) -> Generator[list[Command], Results, Statuses]:
    """Keeps replicas from receiving; returns those that say so."""
    queries: list[Command] = [
        BackendQuery(backend, f"PAUSE {term + 1}", True) for backend in statuses
    ]
    paused = statuses_of((yield queries))
    return {backend: status for backend, status in paused.items() if status.paused_term > term}


def _is_complete(
    service: str,
    paused: Statuses,
    everyone: list[BackendRecord],
    replicas: list[BackendRecord],
    sync_acks: int,
) -> Generator[list[Command], Results, bool]:
    """Whether one of the paused replicas surely holds every commit that was answered."""
    command = ListBackends(service)
    present = (yield [command])[command]
    known = {backend.name for backend in everyone}
    missing = len(replicas) - len(paused)
    return bool(paused) and missing < sync_acks and present <= known


def release_replicas(service: str, everyone: list[BackendRecord]) -> Plan:
    """A new lease holder, or one with an unclear call behind it, looks at a service that may be well."""
    if not (yield from raise_fencing_token(service)):
        return ""
    queries: list[Command] = [BackendQuery(backend, "STAT", True) for backend in everyone]
    statuses = statuses_of((yield queries))
    primary = current_primary(statuses)
    if primary is None:
        return ""
    return (yield from confirm_primary(service, primary, statuses))


def switch_over(
    service: str,
    leaver: BackendRecord,
    replicas: list[BackendRecord],
    sync_acks: int = 0,
    unclear: bool = False,
) -> Plan:
    """The primary is to go, in order: it steps down, a replica catches up, that one is promoted."""
    if unclear and not (yield from raise_fencing_token(service)):
        return ""
    queries: list[Command] = [
        BackendQuery(backend, "STAT", sync_acks > 0) for backend in [*replicas, leaver]
    ]
    statuses = statuses_of((yield queries))
    own = statuses.pop(leaver, None)
    for backend, status in statuses.items():
        if status.is_primary:
            return backend.name
    if not statuses or own is None or (sync_acks and len(statuses) < len(replicas)):
        return ""
    goal = max(status.position for status in statuses.values())
    if own.is_primary:
        if not any(is_near(status, own) for status in statuses.values()):
            yield [Wait(RETRY_S)]
            return ""
        stepped_down = yield from _step_down(service, leaver, [own, *statuses.values()])
        if stepped_down is None:
            yield [Wait(PRIMARY_POLL_S)]
            return ""
        goal = stepped_down.position
    else:
        goal = max(goal, own.position)
    statuses = yield from _catch_up(replicas, statuses, goal)
    ready = {backend: status for backend, status in statuses.items() if status.position >= goal}
    # if nobody has caught up, the one that stepped down holds everything, and leads on
    target = most_advanced(ready) if ready else leaver
    promoted = yield from promote(service, target)
    return target.name if promoted else ""


def _step_down(
    service: str, leaver: BackendRecord, statuses: list[BackendStatus]
) -> Generator[list[Command], Results, BackendStatus | None]:
    """Makes the primary a replica; returns its status after that, None if it gave none."""
    term = max(status.term for status in statuses) + 1
    step_down = BackendQuery(leaver, f"STEPDOWN {term}")
    result = (yield [AnnouncePrimary(service, PENDING_S), step_down])[step_down]
    return result if isinstance(result, BackendStatus) else None


def _catch_up(
    replicas: list[BackendRecord], statuses: Statuses, goal: Position
) -> Generator[list[Command], Results, Statuses]:
    """Waits until some replica has reached a position; returns the newest statuses."""
    for _attempt in range(CATCH_UP_ATTEMPTS):
        if any(status.position >= goal for status in statuses.values()):
            break
        yield [Wait(CATCH_UP_POLL_S)]
        queries: list[Command] = [BackendQuery(backend, "STAT") for backend in replicas]
        statuses = statuses_of((yield queries)) or statuses
    return statuses


# ---------------------------------------------------------------- which plan
class ServiceView(NamedTuple):
    """What is known of one service at a moment.

    Attributes:
        records: its backends.
        drained_zones: zones whose backends get nothing more.
        unreachable_since: since when a quorum can't reach a backend, by its name; None if it can.
        sync_acks: how many replicas must have received a commit before it is answered.
        unreachable_s: how long a primary must be unreachable before it is replaced.
        without_primary_since: since when no backend says that it is the primary; None if one does.
        unclear: whether an earlier call for this service may yet take effect.
    """

    service: str
    records: list[BackendRecord]
    drained_zones: list[str]
    unreachable_since: Callable[[str], float | None]
    sync_acks: int
    unreachable_s: float
    without_primary_since: float | None
    unclear: bool = False


def select_plan(view: ServiceView, now: float) -> SelectedPlan | None:
    """The plan that a service needs now, if any."""
    present = [record for record in view.records if not record.is_gone]
    primaries = [record for record in present if record.is_primary]
    replicas = [record for record in present if not record.is_primary]
    up = [record for record in replicas if record.phase == "up"]
    elsewhere = [record for record in up if record.zone not in view.drained_zones]
    good = elsewhere or up
    if not good:
        return None
    # with sync_acks every replica counts, since any may hold the newest commit
    candidates = replicas if view.sync_acks else good
    service, sync_acks, unclear = view.service, view.sync_acks, view.unclear
    if not primaries:
        since = view.without_primary_since
        if since is None or now - since < view.unreachable_s:
            return None
        return SelectedPlan(FAIL_OVER, fail_over(service, None, candidates, sync_acks, unclear))
    living = [record for record in primaries if view.unreachable_since(record.name) is None]
    if not living:
        times = [view.unreachable_since(record.name) for record in primaries]
        if now - max(time for time in times if time is not None) < view.unreachable_s:
            return None
        plan = fail_over(service, primaries[0], candidates, sync_acks, unclear)
        return SelectedPlan(FAIL_OVER, plan)
    leaver = living[0]
    if len(living) == 1 and leaver.phase == "draining":
        plan = switch_over(service, leaver, candidates, sync_acks, unclear)
        return SelectedPlan(SWITCH_OVER, plan)
    if len(living) == 1 and leaver.zone in view.drained_zones and elsewhere:
        plan = switch_over(service, leaver, elsewhere, sync_acks, unclear)
        return SelectedPlan(SWITCH_OVER, plan)
    if unclear and sync_acks:
        return SelectedPlan(RELEASE_REPLICAS, release_replicas(service, present))
    return None
