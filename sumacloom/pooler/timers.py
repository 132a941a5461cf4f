"""What a counter does by the clock: cutoffs, sweeps, warm wires, leaving in order."""

from sumacloom.logs import Scribe
from sumacloom.pooler import completion, connection_loss, delivery, delivery_timers  # noqa: F401  (delivery_timers serves a stage)
from sumacloom.pooler.core import LEAVING, Floor
from sumacloom.pooler.stage_timers import AT, stage

scribe = Scribe("upkeep")
SETUP_CUTOFF_S = 0.25
STILL_S = (
    0.25  # between two looks at the clock: this counter stood still, and reads before it judges
)
OWN_CUTOFF_S = 0.8
UNREAD_S = 5.0  # where nothing was drawn from a rotation for so long, it is not swept
DIAL_CUTOFF_S = 0.8
READ_AGAIN_S = 0.9
UNLISTED_S = 2.3
LOGIN_CUTOFF_S = 5.0
WARM_EVERY_S = 0.5
SCARCE_S = 1.0
SPARE_S = 2.0  # idle for so long, a wire above the cap is closed: others may have none
HELD_SHARE = 0.45  # of its aim: how long a statement is held for a backend to come
MOST_HELD = 0.9  # and of its time-out
LONG_OUTAGE_S = 2.0  # without a lead for so long, hope is thin:
HELD_LONG = 0.2  # it is held for this share of its aim only
HELD_ALONE = 0.04  # and for this one by a counter that hears no settled registrar


def tick(floor: Floor, now: float) -> None:
    """All that is due; the shell calls it some twenty times a second."""
    since, floor.ticked_at = floor.ticked_at, now
    floor.stood_still = since is not None and now - since > STILL_S and not floor.stood_still
    if floor.stood_still:
        return  # answers may lie unread that came while nobody looked
    for errand in [errand for errand in floor.active if errand.stage in AT]:
        AT[errand.stage](floor, errand, now)
    for service, waitlist in floor.waitlists.items():
        if waitlist:
            floor.pump(service, now)
    if now - floor.warmed_at >= WARM_EVERY_S:
        floor.warmed_at = now
        end_resting(floor, now)
        check_wires(floor, now)
        warm(floor, now)
        sweep(floor, now)
    delivery.tell_again(floor, now)
    if floor.leaving not in ("serving", "gone"):
        leave_step(floor, now)


@stage("waiting")
def check_waiting(floor, errand, now: float) -> None:
    """An errand that can't be started in time is given up at once, not at the end."""
    ground = floor.yard.ground(errand.rule.service)
    headless = ground.headless_since is not None and now - ground.headless_since >= LONG_OUTAGE_S
    held = now - errand.received
    lost = (
        floor.alone and ground.headless_since is not None
    )  # a new lead may stand where we can't hear of it
    share = HELD_ALONE if lost else HELD_LONG if headless else HELD_SHARE
    hold = errand.rule.goal_s * share if now >= ground.pending_until else errand.rule.statement_s
    if held >= min(hold, errand.rule.statement_s * MOST_HELD):
        session = errand.session
        completion.refuse(floor, errand, now)
        if lost and session.state == "I" and session.errand is None:
            floor.shut_session(session, now)  # it meets another counter, which may be better placed


@stage("setup")
def check_setup(floor, errand, now: float) -> None:
    """A wire that leaves our own texts unanswered is dark."""
    bound = (
        errand.transaction and errand.transaction.ran
    )  # a silence here would end it, not send it elsewhere
    if now >= errand.cutoff or (not bound and now - errand.ran_at >= SETUP_CUTOFF_S):
        connection_loss.backend_silent(floor, errand.wire, "its setup went unanswered", now)


@stage("paused")
def check_paused(floor, errand, now: float) -> None:
    """A statement that found its backend busy goes out again on the same wire."""
    if now >= errand.cutoff:
        completion.fail_transaction(floor, errand, "BUSY", now)
    elif now >= errand.pause_until:
        floor.run(errand, now)


@stage("run")
def check_running(floor, errand, now: float) -> None:
    """A statement past its time-out is told so; a slow single read tries elsewhere once."""
    wire, session = errand.wire, errand.session
    if now >= errand.cutoff:
        if errand.transaction:
            errand.transaction.failed, errand.transaction.wire = "told", None
            if errand.statement.sort == "commit":
                session.transaction = None
        completion.finish(floor, errand, ["ERR TIMEDOUT the statement took too long"], now)
        wire.owner = None
        connection_loss.wire_lost(floor, wire, "a statement took too long", now)
    elif (
        errand.only_reads
        and errand.transaction is None
        and errand.sends < 2
        and now - errand.ran_at >= READ_AGAIN_S
    ):
        connection_loss.wire_lost(floor, wire, "a read took too long", now)


def end_resting(floor, now: float) -> None:
    """Ends transactions that rest too long, and connections that never log in."""
    rest_s = floor.blueprint.limits.tx_idle_ms / 1000 if floor.blueprint else 3.0
    for session in list(floor.sessions.values()):
        transaction = session.transaction
        if session.database is None and now - session.opened_at >= LOGIN_CUTOFF_S:
            floor.shut_session(session, now)
        elif transaction and transaction.wire and session.errand is None:
            backend = floor.yard.backends.get(transaction.wire.backend)
            closed = backend is not None and floor.yard.closed_to_new(backend, now)
            if closed or now - transaction.rested_at >= rest_s:
                wire, transaction.wire, transaction.failed = transaction.wire, None, "ROLLEDBACK"
                completion.release(floor, wire, now, touched=transaction.touched)


def check_wires(floor, now: float) -> None:
    """Closes wires that leave a text of our own unanswered."""
    late = [
        wire
        for wire in floor.wires.values()
        if wire.owner is None
        and (wire.expected or not wire.open)
        and now - (wire.asked_at if wire.open else wire.opened_at)
        >= (OWN_CUTOFF_S if wire.open else DIAL_CUTOFF_S)
    ]
    for wire in late:
        connection_loss.wire_lost(floor, wire, "it went silent", now)


def warm(floor, now: float) -> None:
    """Keeps one wire to every backend that this counter may need; where connections are scarce, none unused."""
    if floor.blueprint is None:
        return
    wanted = {route.svc for route in floor.blueprint.routes}
    for backend in floor.yard.backends.values():
        closed = backend.phase != "up" or backend.zone in floor.yard.evacuated
        scarce = floor.yard.share(backend) < 1
        if backend.service in wanted and not backend.wires and not closed and not scarce:
            floor.dial(backend, now)
        for wire in [wire for wire in backend.idle if scarce and now - wire.idle_since >= SCARCE_S]:
            completion.drop(floor, wire)
        spare = max(0, len(backend.wires) - floor.yard.cap(backend, now))
        for wire in [wire for wire in backend.idle if now - wire.idle_since >= SPARE_S][:spare]:
            completion.drop(floor, wire)


def sweep(floor, now: float) -> None:
    """Asks each replica for its position once a second, unless traffic showed it or nobody reads."""
    if floor.leaving != "serving":
        return
    for ground in floor.yard.grounds.values():
        if (
            now - ground.swept_at < floor.settings.health.sweep_s * 0.9
            or now - ground.read_at > UNREAD_S
        ):
            continue
        ground.swept_at = now
        due = [
            backend
            for backend in ground.backends.values()
            if backend.role != "primary" and backend.idle and ground.rotation.due(backend.name, now)
        ]
        for backend in due:
            wire = backend.idle.pop()
            floor.effects.append(("send", wire.key, wire.ask("stat", "-", "STAT", now)))


def sigterm(floor, now: float) -> None:
    """The platform asks this process to end."""
    if floor.leaving == "serving":
        floor.leaving_at = now
        leave(floor, "sigterm", now)


def leave_step(floor, now: float) -> None:
    """Walks the chart `leaving` by the clock."""
    grace = floor.settings.bounds.grace_s
    gone_for = now - floor.leaving_at
    if gone_for >= min(UNLISTED_S, grace * 0.4):
        leave(floor, "unlisted", now)
    if gone_for >= grace / 2:
        leave(floor, "half", now)
    if gone_for >= grace * 0.8:
        leave(floor, "late", now)
    if not floor.sessions:
        leave(floor, "empty", now)


def leave(floor, event: str, now: float) -> None:
    """One event of leaving, and what the chart says to do."""
    floor.leaving, actions = LEAVING.step(floor.leaving, event)
    for action in actions:
        if action == "say_leaving":
            scribe.say("leaving: no longer ready, serving on")
        elif action == "freeze_health":
            for ground in floor.yard.grounds.values():
                ground.rotation.frozen = True
        elif action == "close_idle":
            completion.close_idle(floor, now)
        elif action == "end_transactions":
            for session in list(floor.sessions.values()):
                transaction = session.transaction
                if transaction and session.errand is None:
                    if transaction.wire:
                        completion.release(floor, transaction.wire, now, touched=True)
                    transaction.wire = None
                    transaction.failed = transaction.failed or "ROLLEDBACK"
        elif action == "end_asked":
            for errand in list(floor.active):
                connection_loss.errand_ended(floor, errand, now)
        elif action == "exit":
            floor.effects.append(("exit",))
