"""The moves that results and losses share: freeing a wire, finishing an errand, failing a transaction."""

from sumacloom.pooler import delivery


def release(floor, wire, now: float, touched: bool = False) -> None:
    """Frees a wire from its errand or transaction."""
    wire.owner = None
    wire.dirty = wire.dirty or touched
    settle(floor, wire, now)


def settle(floor, wire, now: float) -> None:
    """A wire with nothing outstanding is rolled back if need be, else idle for the next."""
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
    """Closes a wire and forgets it."""
    wire.lost = True
    if floor.wires.pop(wire.key, None) is None:
        return
    floor.effects.append(("shut", wire.key))
    backend = floor.yard.backends.get(wire.backend)
    if backend and backend.wires.pop(wire.key, None):
        backend.dialing -= not wire.open
        if wire in backend.idle:
            backend.idle.remove(wire)


def judge(floor, errand, lines: list[str]) -> None:
    """The verdict on a write that is listened to, if it is one."""
    if errand.intent:
        delivery.judge(floor, errand, lines)


def finish(floor, errand, lines: list[str], now: float, position=None) -> None:
    """The client's reply; what it sent meanwhile follows."""
    judge(floor, errand, lines)
    floor.end_errand(errand)
    floor.reply(errand.session, lines, now, position)
    floor.advance(errand.session, now)


def fail_transaction(floor, errand, code: str, now: float) -> None:
    """Ends a transaction whose COMMIT was never sent: nothing of it is kept."""
    transaction, wire, session = errand.transaction, errand.wire, errand.session
    transaction.failed, transaction.wire = "told", None
    if errand.statement.sort == "commit":
        session.transaction = None
    end = "is lost" if transaction.doubtful else "was rolled back"
    finish(floor, errand, [f"ERR {code} the transaction {end}"], now)
    if wire:
        release(floor, wire, now, touched=True)


def tell_mishap(transaction) -> str:
    """The code for a statement in a transaction that has ended: the promise first, then MALFORMED.

    >>> from sumacloom.pooler.session import Transaction
    >>> transaction = Transaction(None, "begin", 0.0); transaction.failed = "ROLLEDBACK"
    >>> tell_mishap(transaction), tell_mishap(transaction)
    ('ROLLEDBACK', 'MALFORMED')
    """
    code, transaction.failed = transaction.failed, "told"
    return "MALFORMED" if code == "told" else code


def refuse(floor, errand, now: float) -> None:
    """Gives up an errand that has not run: a promise, and when to come back."""
    if errand.transaction:
        fail_transaction(floor, errand, "BUSY", now)
    else:
        finish(floor, errand, ["ERR BUSY not run; come back in 200 ms"], now)


def draw_again(floor, now: float) -> None:
    """Another blueprint: single statements not yet sent go by its rules; a transaction ends by those it began with."""
    waiting = [errand for waitlist in floor.waitlists.values() for errand in waitlist]
    for errand in waiting:
        rule = floor.rules.get(errand.session.database)
        if errand.transaction or errand.stage != "waiting" or rule == errand.rule:
            continue
        floor.waitlists[errand.rule.service].remove(errand)
        if rule is None:
            finish(floor, errand, ["ERR NODB the database is no longer there"], now)
            continue
        errand.rule, errand.plan_name = rule, rule.plans[errand.statement.sort]
        errand.cutoff = errand.hold_until = errand.received + rule.statement_s
        floor.enlist(errand, now)


def session_ended(floor, key, now: float) -> None:
    """The client sends no more, but may still read: what it asked is answered, then the session ends.

    What waits for a wire is refused at once: most that end here have left.
    """
    session = floor.sessions.get(key)
    if session is None:
        return
    session.ending = True
    if session.errand and session.errand.stage == "waiting":
        refuse(floor, session.errand, now)
    if session.errand is None:
        floor.shut_session(session, now)


def close_idle(floor, now: float) -> None:
    """Closes the sessions at rest, which a client does not take for a mishap."""
    for session in list(floor.sessions.values()):
        resting = session.state == "I" and session.errand is None and not session.waiting
        if session.database and resting:
            floor.shut_session(session, now)
