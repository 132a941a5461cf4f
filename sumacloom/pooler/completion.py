"""The moves that results and losses share: freeing a connection, finishing a statement, failing a transaction."""

from sumacloom.pooler import delivery
from sumacloom.pooler.effects import Close, Send

# causes of a refusal, as the client reads them
NOT_IN_TIME = "no backend could take it in its time"
CUT_OFF = "this pooler reaches no primary, and no controller that knows of a new one"
UNCONFIRMED = "no controller confirms what this pooler must be sure of"
ENDING = "this pooler is about to end"


def release(core, connection, now: float, values_changed: bool = False) -> None:
    """Frees a connection from its statement or transaction."""
    connection.owner = None
    connection.dirty = connection.dirty or values_changed
    settle(core, connection, now)


def settle(core, connection, now: float) -> None:
    """A connection with nothing outstanding is rolled back if need be, else idle for the next."""
    if (
        connection.owner is not None
        or connection.expected
        or connection.unhandled
        or connection.lost
        or connection.key not in core.connections
    ):
        return
    if connection.state != "I":
        core.effects.append(Send(connection.key, connection.ask("clean", "-", "ABORT", now)))
        return
    backend = core.pools.backends.get(connection.backend)
    if backend is None:
        drop(core, connection)
        return
    if connection not in backend.idle:
        connection.idle_since = now
        backend.idle.append(connection)
    core.scheduler.dispatch(connection.service, now)


def drop(core, connection) -> None:
    """Closes a connection and forgets it."""
    connection.lost = True
    if core.connections.pop(connection.key, None) is None:
        return
    core.effects.append(Close(connection.key))
    backend = core.pools.backends.get(connection.backend)
    if backend and backend.connections.pop(connection.key, None):
        backend.dialing -= not connection.open
        if connection in backend.idle:
            backend.idle.remove(connection)


def finish(core, pending, lines: list[str], now: float, position=None) -> None:
    """The client's reply; what it sent meanwhile follows."""
    delivery.judge(core, pending, lines)
    core.complete(pending)
    core.reply(pending.session, lines, now, position)
    core.advance(pending.session, now)


def fail_transaction(core, pending, code: str, now: float) -> None:
    """Ends a transaction whose COMMIT was never sent: nothing of it is kept."""
    transaction, connection, session = pending.transaction, pending.connection, pending.session
    transaction.failed, transaction.connection = "told", None
    if pending.statement.kind == "commit":
        session.transaction = None
    end = "is lost" if transaction.unclear else "was rolled back"
    finish(core, pending, [f"ERR {code} the transaction {end}"], now)
    if connection:
        release(core, connection, now, values_changed=True)


def take_failure_code(transaction) -> str:
    """The code for a statement in a transaction that has ended: the promise first, then MALFORMED.

    >>> from sumacloom.pooler.session import Transaction
    >>> transaction = Transaction(None, "begin", 0.0); transaction.failed = "ROLLEDBACK"
    >>> take_failure_code(transaction), take_failure_code(transaction)
    ('ROLLEDBACK', 'MALFORMED')
    """
    code, transaction.failed = transaction.failed, "told"
    return "MALFORMED" if code == "told" else code


def refuse(core, pending, now: float, cause: str = NOT_IN_TIME) -> None:
    """Gives up a statement that has not run: a promise, and the cause."""
    core.refusals[cause] += 1
    if pending.transaction:
        fail_transaction(core, pending, "BUSY", now)
    else:
        finish(core, pending, [f"ERR BUSY not run: {cause}"], now)


def session_ended(core, key, now: float) -> None:
    """The client sends no more, but may still read: what it asked is answered as for any other, then the session ends."""
    session = core.sessions.get(key)
    if session is None:
        return
    session.ending = True
    if session.pending is None:
        core.shut_session(session, now)


def close_idle(core, now: float) -> None:
    """Closes the sessions at rest, which a client does not take for a fault."""
    for session in list(core.sessions.values()):
        resting = session.state == "I" and session.pending is None and not session.waiting
        if session.database and resting:
            core.shut_session(session, now)
