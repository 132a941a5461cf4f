"""Failover plans: generators that yield batches of commands and are sent their results.

A plan touches no socket: it yields a list of commands and receives a dict from command to result. So
every schedule of lost replies can be played as a table. Each plan returns the name of the backend that is
the primary now, or "" if it changed nothing.
"""

from collections.abc import Generator, Mapping, Sequence
from typing import Any

from sumacloom.controller.failover.backend_status import (
    BackendStatus,
    Statuses,
    current_primary,
    is_near,
    most_advanced,
)
from sumacloom.controller.failover.commands import (
    AnnouncePrimary,
    BackendQuery,
    Command,
    HoldBack,
    ListBackends,
    Promote,
    RaiseFencingToken,
    Wait,
    is_refusal,
)
from sumacloom.controller.failover.promotion_history import (
    decide,
    is_left_behind,
    without_ineffective,
)
from sumacloom.controller.registers.promotions import Promotion
from sumacloom.transport.updates import BackendRecord
from sumacloom.types import Position

CATCH_UP_ATTEMPTS = 20
PENDING_S = 2.0  # how long poolers up to dc17e1a let statements wait for a new primary
PRIMARY_ATTEMPTS = 40
CATCH_UP_POLL_S = 0.02
PRIMARY_POLL_S = 0.1
RETRY_S = 0.2

Results = Mapping[Any, Any]
History = Sequence[Promotion]
Plan = Generator[list[Command], Results, str]


def statuses_of(results: Results) -> Statuses:
    """The backends that answered with a status."""
    return {
        command.backend: result
        for command, result in results.items()
        if isinstance(command, BackendQuery) and isinstance(result, BackendStatus)
    }


# ---------------------------------------------------------------- steps
def promote(
    service: str, target: BackendRecord, status: BackendStatus, history: History
) -> Generator[list[Command], Results, bool | None]:
    """Calls the platform: True if the backend is the primary now, False if not, None if unclear."""
    command = Promote(service, target.name, decide(target, status, history), tuple(history))
    answer = (yield [command])[command]
    if answer is None:
        return None
    if 200 <= answer < 300:
        yield [AnnouncePrimary(service, PENDING_S)]
        return True
    return False if is_refusal(answer) else None


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
    history: History = (),
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
        history: the promotions that were decided for it.
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
    candidates = yield from _promotable(service, candidates, statuses, history)
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
    promoted = yield from promote(service, target, candidates[target], history)
    if promoted and sync_acks:
        others = [backend for backend in candidates if backend is not target]
        yield from resume_replicas(target, others)
    return target.name if promoted else ""


def _promotable(
    service: str, candidates: Statuses, statuses: Statuses, history: History
) -> Generator[list[Command], Results, Statuses]:
    """The candidates whose logs no promotion left behind; any of them once they were held back for long.

    An earlier unclear call can't take effect any more here: the fencing token was raised above its own.
    """
    effective = without_ineffective(history, statuses)
    good = {
        backend: status
        for backend, status in candidates.items()
        if not is_left_behind(status, effective)
    }
    if good or not candidates:
        return good
    command = HoldBack(service, tuple(sorted(backend.name for backend in candidates)))
    return candidates if (yield [command])[command] else {}


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
    history: History = (),
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
        own = stepped_down
        goal = own.position
    else:
        goal = max(goal, own.position)
    statuses = yield from _catch_up(replicas, statuses, goal)
    ready = {backend: status for backend, status in statuses.items() if status.position >= goal}
    # if nobody has caught up, the one that stepped down holds everything, and leads on
    target = most_advanced(ready) if ready else leaver
    promoted = yield from promote(service, target, {**ready, leaver: own}[target], history)
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
