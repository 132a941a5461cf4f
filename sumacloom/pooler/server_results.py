"""What happens when a wire comes up, answers, errs or is lost; and the send rules that follow.

A statement that was certainly not run may go out again; a read may; a write or COMMIT that may
have reached its backend never does. Promises are made only where they are certainly true.
"""

from sumacloom.logs import Scribe
from sumacloom.pooler.completion import drop, fail_transaction, finish, release, settle
from sumacloom.pooler.connection_loss import MOST_READ_SENDS, wire_lost
from sumacloom.pooler.delivery import item_text, judge
from sumacloom.pooler.pending_statement import Errand
from sumacloom.types import ORIGIN

scribe = Scribe("wires")
NOT_RUN = frozenset({"BUSY", "NOSUCH", "LAGGING", "RO", "WRONGHOST", "MAXCONN"})
BUSY_PAUSE_S = 0.03
SHY_S = {"BUSY": 0.1, "FAIL": 1.5}  # how long reads prefer another backend after that answer
STRUGGLING = frozenset(SHY_S)
BARRED_S = 0.5
ANCHOR_SLACK_S = 0.02

RESULTS = {}


def result_of(tag: str):
    """Registers the handler of results with that tag.

    >>> "login" in RESULTS
    True
    """

    def register(function):
        RESULTS[tag] = function
        return function

    return register


def wire_data(floor, key, data: bytes, now: float) -> None:
    """Bytes of a backend."""
    wire = floor.wires.get(key)
    if wire is None:
        return
    for result in wire.feed(data):
        if wire.key in floor.wires:
            RESULTS[result.tag](floor, wire, result, now)
    if wire.lost and wire.key in floor.wires:
        scribe.warn("the backend %s spoke out of turn: its wire is closed", wire.backend)
        wire_lost(floor, wire, "it spoke out of turn", now)


def observe(floor, wire, result, now: float):
    """Takes the position that every READY shows; gives the backend."""
    backend = floor.yard.backends.get(wire.backend)
    if backend and result.position and backend.role != "primary":
        floor.yard.ground(backend.service).rotation.see(backend.name, result.position, now)
    return backend


@result_of("login")
def login_result(floor, wire, result, now: float) -> None:
    """A wire is up, or its backend refused it."""
    backend = observe(floor, wire, result, now)
    if result.code:
        scribe.say("the backend %s refused a wire: %s", wire.backend, result.code)
        drop(floor, wire)
        if backend and result.code == "MAXCONN":
            floor.yard.note_crowd(backend, now)
        elif backend:
            backend.barred_until = now + BARRED_S
        return
    wire.open = True
    if backend:
        backend.dialing -= 1
        floor.yard.note_well(backend)
    settle(floor, wire, now)


@result_of("pre")
def setup_result(floor, wire, result, now: float) -> None:
    """One of the texts that prepare a wire was answered."""
    errand = wire.owner
    if not isinstance(errand, Errand) or errand.stage != "setup":
        wire.dirty = wire.dirty or bool(result.code)
        settle(floor, wire, now)
        return
    if result.code:
        wire.dirty = True
        setup_mishap(floor, errand, result, now)
    else:
        setup_step(floor, errand, now)


def setup_step(floor, errand, now: float) -> None:
    """One text less to wait for; with the last, the statement goes out."""
    errand.pending -= 1
    if errand.pending or errand.wire.lost:  # lost: something more came behind, out of turn
        return
    if errand.session.closed:
        floor.end_errand(errand)
        release(floor, errand.wire, now)
    else:
        floor.run(errand, now)


@result_of("begin")
def begin_result(floor, wire, result, now: float) -> None:
    """The BEGIN that fences a statement was answered."""
    backend = observe(floor, wire, result, now)
    errand = wire.owner
    led = not result.code and isinstance(errand, Errand) and "open" in errand.plan
    if backend and led:
        floor.yard.prove_lead(backend, result.asked_at, result.position, now)
    if not isinstance(errand, Errand) or errand.stage != "setup":
        settle(floor, wire, now)
    elif result.code:
        setup_mishap(floor, errand, result, now)
    else:
        if errand.transaction and not errand.session.closed:
            errand.transaction.wire = wire
        setup_step(floor, errand, now)


def setup_mishap(floor, errand, result, now: float) -> None:
    """The wire could not be prepared; nothing of the client's has run."""
    wire, transaction = errand.wire, errand.transaction
    if transaction and transaction.wire is wire and transaction.ran:
        fail_transaction(
            floor, errand, result.code if result.code in NOT_RUN else "ROLLEDBACK", now
        )
        return
    requeue(floor, errand, result.code, now)


def requeue(floor, errand, code: str, now: float) -> None:
    """Back to the waitlist after a send that did not run, its wire freed."""
    wire, transaction = errand.wire, errand.transaction
    backend = floor.yard.backends.get(wire.backend)
    if transaction:
        transaction.wire = None
    if code == "RO" and backend:
        floor.yard.note_refusal(backend, now)
    elif code == "LAGGING":
        errand.fall_back()
    elif code == "NOSUCH":
        wire.dirty = True
    elif code == "WRONGHOST" and backend:
        backend.barred_until = now + BARRED_S
    elif code in ("BUSY", "MAXCONN"):
        errand.pause_until = now + BUSY_PAUSE_S
    if code in STRUGGLING and backend:
        backend.shy_until = now + SHY_S[code]
    errand.refusal = code
    errand.stage, errand.wire = "waiting", None
    release(floor, wire, now)
    if errand.session.closed:
        floor.end_errand(errand)
    else:
        floor.enlist(errand, now)


def emptied(floor, errand, now: float) -> bool:
    """Whether the zone of the errand's backend is closed by now; if so it is taken back before anything is sent."""
    wire, transaction = errand.wire, errand.transaction
    backend = floor.yard.backends.get(wire.backend)
    if backend is None or not floor.yard.zone_closed(backend, now):
        return False
    if transaction and transaction.wire is wire and transaction.ran:
        fail_transaction(floor, errand, "ROLLEDBACK", now)
    else:
        requeue(floor, errand, "", now)
    return True


@result_of("run")
def run_result(floor, wire, result, now: float) -> None:
    """The client's own statement was answered."""
    backend = observe(floor, wire, result, now)
    errand = wire.owner
    if not isinstance(errand, Errand) or errand.stage != "run":
        settle(floor, wire, now)
        return
    # a COMMIT that wrote nothing succeeds even where the lead was lost: it proves nothing
    proves = not result.code and errand.plan[0] == "lead" and errand.statement.sort != "commit"
    if proves and backend:
        floor.yard.prove_lead(backend, result.asked_at, result.position, now)
    if errand.session.closed:
        judge(floor, errand, [result.line])
        floor.end_errand(errand)
        release(floor, wire, now)
    elif errand.transaction:
        transaction_result(floor, errand, result, now)
    else:
        single_result(floor, errand, result, now)


def single_result(floor, errand, result, now: float) -> None:
    """A single statement's result: told to the client, or sent again where that is safe."""
    code = result.code
    again = code in NOT_RUN or (
        code == "FAIL" and errand.only_reads and errand.sends < MOST_READ_SENDS
    )
    if again and now < errand.hold_until and may_go_again(floor, errand, code, now):
        requeue(floor, errand, code, now)
        return
    if not code:
        floor.yard.ground(errand.rule.service).succeeded()
    if not code and errand.statement.sort == "write":
        errand.session.last_commit = result.position or errand.session.last_commit
    wire = errand.wire
    finish(floor, errand, [*result.rows, result.line], now, result.position)
    release(floor, wire, now)


def may_go_again(floor, errand, code: str, now: float) -> bool:
    """Whether the budget of resends admits one more after that answer.

    >>> may_go_again(None, None, "LAGGING", 0.0)
    True
    """
    return code not in STRUGGLING or floor.yard.ground(errand.rule.service).may_resend(now)


def transaction_result(floor, errand, result, now: float) -> None:
    """The result of a statement or COMMIT inside a transaction."""
    transaction, wire, code = errand.transaction, errand.wire, result.code
    lines = [*result.rows, result.line]
    if (
        code == "BUSY"
        and result.state == "T"
        and now < errand.cutoff
        and may_go_again(floor, errand, code, now)
    ):
        errand.stage, errand.pause_until = "paused", now + BUSY_PAUSE_S
    elif (
        code in NOT_RUN
        and not transaction.ran
        and now < errand.hold_until
        and may_go_again(floor, errand, code, now)
    ):
        requeue(floor, errand, code, now)
    elif errand.statement.sort == "commit":
        if not code and transaction.mode == "begin":
            errand.session.last_commit = result.position or errand.session.last_commit
        errand.session.transaction = None
        finish(floor, errand, lines, now, result.position)
        release(floor, wire, now, touched=bool(code) and transaction.touched)
    elif not code and result.state == "T":
        transaction.ran += 1
        if errand.statement.sort == "write":
            transaction.writes.append(item_text(errand.statement))
        wire.owner = transaction
        finish(floor, errand, lines, now, result.position)
    else:
        transaction.failed, transaction.wire = "told", None
        finish(floor, errand, lines, now, result.position)
        release(floor, wire, now, touched=transaction.touched)


@result_of("clean")
@result_of("stat")
def own_result(floor, wire, result, now: float) -> None:
    """A text of our own was answered: an end, or a sweep's STAT."""
    observe(floor, wire, result, now)
    settle(floor, wire, now)


@result_of("anchor")
def anchor_result(floor, wire, result, now: float) -> None:
    """A BEGIN that only asks for a proven position."""
    backend = observe(floor, wire, result, now)
    ground = floor.yard.ground(wire.service)
    ground.seeking = None
    if backend and not result.code:
        floor.yard.prove_lead(backend, result.asked_at, result.position, now)
        floor.pump(wire.service, now)
    elif backend and result.code == "RO":
        floor.yard.note_refusal(backend, now)


def needed(floor, errand, ground, now: float):
    """The position a replica must hold for this read; None while an anchor is sought."""
    anchor = ground.anchors.at_least(
        errand.received - max(0.0, errand.rule.stale_s - ANCHOR_SLACK_S)
    )
    if anchor is None:
        seek_anchor(floor, ground, now)
        return None
    return max(anchor, errand.session.last_commit or ORIGIN)


def seek_anchor(floor, ground, now: float) -> None:
    """Asks the lead for a position when ordinary traffic gave none of late."""
    if ground.seeking is not None and now - ground.seeking < 0.5:
        return
    for backend in floor.yard.lead_candidates(ground, None, now)[:1]:
        wire = floor.yard.take_wire(backend, {}, None)
        if wire is None:
            if not backend.dialing:
                floor.dial(backend, now)
            return
        ground.seeking = now
        data = wire.ask("anchor", "-", "BEGIN", now) + wire.ask("clean", "-", "ABORT", now)
        floor.effects.append(("send", wire.key, data))
