"""What happens when a wire comes up, answers, errs or is lost; and the send rules that follow.

A statement that was certainly not run may go out again; a read may; a write or COMMIT that may
have reached its backend never does. Promises are made only where they are certainly true.
"""
from ..common.logs import Scribe
from .errand import Errand
from .session import Transaction

scribe = Scribe("wires")
NOT_RUN = frozenset({"BUSY", "NOSUCH", "LAGGING", "RO", "WRONGHOST", "MAXCONN"})
BUSY_PAUSE_S = 0.03
MOST_READ_SENDS = 3
BARRED_S = 0.5

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
    """Bytes of a backend.

    >>> wire_data.__name__
    'wire_data'
    """
    wire = floor.wires.get(key)
    if wire is None:
        return
    for result in wire.feed(data):
        RESULTS[result.tag](floor, wire, result, now)
    if wire.lost:
        wire_lost(floor, wire, "it spoke out of turn", now)


def observe(floor, wire, result, now: float):
    """Takes the position that every READY shows; gives the backend.

    >>> observe.__name__
    'observe'
    """
    backend = floor.yard.backends.get(wire.backend)
    if backend and result.position and backend.role != "primary":
        floor.yard.ground(backend.service).rotation.see(backend.name, result.position, now)
    return backend


@result_of("login")
def login_result(floor, wire, result, now: float) -> None:
    """A wire is up, or its backend refused it.

    >>> RESULTS["login"] is login_result
    True
    """
    backend = observe(floor, wire, result, now)
    if result.code:
        scribe.say("the backend %s refused a wire: %s", wire.backend, result.code)
        drop(floor, wire)
        if backend:
            backend.barred_until = now + BARRED_S
        return
    wire.open = True
    if backend:
        backend.dialing -= 1
        floor.yard.note_well(backend)
    settle(floor, wire, now)


@result_of("pre")
def setup_result(floor, wire, result, now: float) -> None:
    """One of the texts that prepare a wire was answered.

    >>> RESULTS["pre"] is setup_result
    True
    """
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
    """One text less to wait for; with the last, the statement goes out.

    >>> setup_step.__name__
    'setup_step'
    """
    errand.pending -= 1
    if errand.pending:
        return
    if errand.session.closed:
        floor.end_errand(errand)
        release(floor, errand.wire, now)
    else:
        floor.run(errand, now)


@result_of("begin")
def begin_result(floor, wire, result, now: float) -> None:
    """The BEGIN that fences a statement was answered.

    >>> RESULTS["begin"] is begin_result
    True
    """
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
    """The wire could not be prepared; nothing of the client's has run.

    >>> setup_mishap.__name__
    'setup_mishap'
    """
    wire, transaction = errand.wire, errand.transaction
    if transaction and transaction.wire is wire and transaction.ran:
        fail_transaction(floor, errand, result.code if result.code in NOT_RUN else "ROLLEDBACK", now)
        return
    requeue(floor, errand, result.code, now)


def requeue(floor, errand, code: str, now: float) -> None:
    """Back to the waitlist after a send that did not run, its wire freed.

    >>> requeue.__name__
    'requeue'
    """
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
    errand.refusal = code
    errand.stage, errand.wire = "waiting", None
    release(floor, wire, now)
    if errand.session.closed:
        floor.end_errand(errand)
    else:
        floor.enlist(errand, now)


@result_of("run")
def run_result(floor, wire, result, now: float) -> None:
    """The client's own statement was answered.

    >>> RESULTS["run"] is run_result
    True
    """
    backend = observe(floor, wire, result, now)
    errand = wire.owner
    if not isinstance(errand, Errand) or errand.stage != "run":
        settle(floor, wire, now)
        return
    proves = not result.code and errand.plan[0] == "lead"
    if proves and backend:
        floor.yard.prove_lead(backend, result.asked_at, result.position, now)
    if errand.session.closed:
        floor.end_errand(errand)
        release(floor, wire, now)
    elif errand.transaction:
        transaction_result(floor, errand, result, now)
    else:
        single_result(floor, errand, result, now)


def single_result(floor, errand, result, now: float) -> None:
    """A single statement's result: told to the client, or sent again where that is safe.

    >>> single_result.__name__
    'single_result'
    """
    code = result.code
    again = code in NOT_RUN or (code == "FAIL" and errand.only_reads and errand.sends < MOST_READ_SENDS)
    if again and now < errand.hold_until:
        requeue(floor, errand, code, now)
        return
    if not code and errand.statement.sort == "write":
        errand.session.last_commit = result.position or errand.session.last_commit
    wire = errand.wire
    finish(floor, errand, [*result.rows, result.line], now, result.position)
    release(floor, wire, now)


def transaction_result(floor, errand, result, now: float) -> None:
    """The result of a statement or COMMIT inside a transaction.

    >>> transaction_result.__name__
    'transaction_result'
    """
    transaction, wire, code = errand.transaction, errand.wire, result.code
    lines = [*result.rows, result.line]
    if code == "BUSY" and result.state == "T" and now < errand.cutoff:
        errand.stage, errand.pause_until = "paused", now + BUSY_PAUSE_S
    elif code in NOT_RUN and not transaction.ran and now < errand.hold_until:
        requeue(floor, errand, code, now)
    elif errand.statement.sort == "commit":
        if not code and transaction.mode == "begin":
            errand.session.last_commit = result.position or errand.session.last_commit
        errand.session.transaction = None
        finish(floor, errand, lines, now, result.position)
        release(floor, wire, now, touched=bool(code) and transaction.touched)
    elif not code and result.state == "T":
        transaction.ran += 1
        wire.owner = transaction
        finish(floor, errand, lines, now, result.position)
    else:
        transaction.failed, transaction.wire = "told", None
        finish(floor, errand, lines, now, result.position)
        release(floor, wire, now, touched=transaction.touched)


def tell_failure(transaction) -> str:
    """The code for a statement in a transaction that has ended: the promise first, then MALFORMED.

    >>> from sumacloom.counter.session import Transaction
    >>> transaction = Transaction(None, "begin", 0.0); transaction.failed = "ROLLEDBACK"
    >>> tell_failure(transaction), tell_failure(transaction)
    ('ROLLEDBACK', 'MALFORMED')
    """
    code, transaction.failed = transaction.failed, "told"
    return "MALFORMED" if code == "told" else code


def fail_transaction(floor, errand, code: str, now: float) -> None:
    """Ends a transaction whose COMMIT was never sent: nothing of it is kept.

    >>> fail_transaction.__name__
    'fail_transaction'
    """
    transaction, wire, session = errand.transaction, errand.wire, errand.session
    transaction.failed, transaction.wire = "told", None
    if errand.statement.sort == "commit":
        session.transaction = None
    finish(floor, errand, [f"ERR {code} the transaction was rolled back"], now)
    if wire:
        release(floor, wire, now, touched=True)


def refuse(floor, errand, now: float) -> None:
    """Gives up an errand that has not run: a promise, and when to come back.

    >>> refuse.__name__
    'refuse'
    """
    if errand.transaction:
        fail_transaction(floor, errand, "BUSY", now)
    else:
        finish(floor, errand, ["ERR BUSY not run; come back in 200 ms"], now)


def finish(floor, errand, lines: list[str], now: float, position=None) -> None:
    """The client's reply; what it sent meanwhile follows.

    >>> finish.__name__
    'finish'
    """
    floor.end_errand(errand)
    floor.reply(errand.session, lines, now, position)
    floor.advance(errand.session, now)


@result_of("clean")
@result_of("stat")
def own_result(floor, wire, result, now: float) -> None:
    """A text of our own was answered: an end, or a sweep's STAT.

    >>> RESULTS["stat"] is own_result
    True
    """
    observe(floor, wire, result, now)
    settle(floor, wire, now)


@result_of("anchor")
def anchor_result(floor, wire, result, now: float) -> None:
    """A BEGIN that only asks for a proven position.

    >>> RESULTS["anchor"] is anchor_result
    True
    """
    backend = observe(floor, wire, result, now)
    ground = floor.yard.ground(wire.service)
    ground.seeking = None
    if backend and not result.code:
        floor.yard.prove_lead(backend, result.asked_at, result.position, now)
        floor.pump(wire.service, now)
    elif backend and result.code == "RO":
        floor.yard.note_refusal(backend, now)


def seek_anchor(floor, ground, now: float) -> None:
    """Asks the lead for a position when ordinary traffic gave none of late.

    >>> seek_anchor.__name__
    'seek_anchor'
    """
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


def release(floor, wire, now: float, touched: bool = False) -> None:
    """Frees a wire from its errand or transaction.

    >>> release.__name__
    'release'
    """
    wire.owner = None
    wire.dirty = wire.dirty or touched
    settle(floor, wire, now)


def settle(floor, wire, now: float) -> None:
    """A wire with nothing outstanding is rolled back if need be, else idle for the next.

    >>> settle.__name__
    'settle'
    """
    if wire.owner is not None or wire.expected or wire.lost or wire.key not in floor.wires:
        return
    if wire.state != "I":
        floor.effects.append(("send", wire.key, wire.ask("clean", "-", "ABORT", now)))
        return
    backend = floor.yard.backends.get(wire.backend)
    if backend is None:
        drop(floor, wire)
        return
    if wire not in backend.idle:
        wire.idle_since = now
        backend.idle.append(wire)
    floor.pump(wire.service, now)


def drop(floor, wire) -> None:
    """Closes a wire and forgets it.

    >>> drop.__name__
    'drop'
    """
    wire.lost = True
    if floor.wires.pop(wire.key, None) is None:
        return
    floor.effects.append(("shut", wire.key))
    backend = floor.yard.backends.get(wire.backend)
    if backend and backend.wires.pop(wire.key, None):
        backend.dialing -= not wire.open
        if wire in backend.idle:
            backend.idle.remove(wire)


def wire_lost(floor, wire, why: str, now: float, report: bool = True) -> None:
    """A wire is gone: its errand is sent again, or told the truth about what may have run.

    >>> wire_lost.__name__
    'wire_lost'
    """
    if wire.key not in floor.wires:
        return
    was_idle = wire.open and wire.owner is None and not wire.expected
    drop(floor, wire)
    backend = floor.yard.backends.get(wire.backend)
    if backend and report and not was_idle:
        floor.yard.note_mishap(backend, now)
        floor.mishaps.append(wire.backend)
    owner = wire.owner
    wire.owner = None
    if isinstance(owner, Transaction):
        owner.failed, owner.wire = "ROLLEDBACK", None
    elif isinstance(owner, Errand):
        errand_lost(floor, owner, now)


def backend_silent(floor, wire, why: str, now: float) -> None:
    """A wire left our own texts unanswered: the backend is dark, and its idle wires are no better.

    >>> backend_silent.__name__
    'backend_silent'
    """
    backend = floor.yard.backends.get(wire.backend)
    for idle in list(backend.idle) if backend else []:
        drop(floor, idle)
    wire_lost(floor, wire, why, now)


def errand_lost(floor, errand, now: float) -> None:
    """The wire of an errand is gone.

    >>> errand_lost.__name__
    'errand_lost'
    """
    transaction, stage = errand.transaction, errand.stage
    errand.wire = None
    if transaction:
        transaction.wire = None
    if errand.session.closed:
        floor.end_errand(errand)
        return
    fresh = transaction is None or not transaction.ran
    harmless = stage == "setup" or (errand.only_reads and errand.sends < MOST_READ_SENDS)
    if fresh and harmless and now < errand.hold_until:
        floor.enlist(errand, now)
    elif transaction and (errand.statement.sort != "commit" or stage != "run"):
        fail_transaction(floor, errand, "ROLLEDBACK", now)
    elif stage == "run" and not errand.only_reads:
        errand.session.transaction = None
        finish(floor, errand, ["ERR UNKNOWN the backend was lost; it may have run"], now)
    elif stage == "run":
        finish(floor, errand, ["ERR FAIL the backend was lost"], now)
    else:
        refuse(floor, errand, now)
