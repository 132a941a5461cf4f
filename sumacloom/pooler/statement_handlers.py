"""What each sort of statement does; all but reads, writes and COMMIT are answered here."""

from sumacloom.pooler import completion
from sumacloom.pooler.admission import REQUEST
from sumacloom.pooler.session import MOST_VALUES, Session, Transaction

HANDLERS = {}


def handles(*names):
    """Registers the handler of statements of these sorts.

    >>> "begin" in HANDLERS
    True
    """

    def register(function):
        HANDLERS.update(dict.fromkeys(names, function))
        return function

    return register


@handles("read", "write")
def handle_statement(core, session: Session, statement, now: float) -> None:
    """A read or a write, single or in a transaction."""
    transaction = session.transaction
    if transaction is None and (
        denial := core.access_control.denies(session, session.database, REQUEST)
    ):
        core.reply(session, [denial], now)
        return
    if transaction is None:
        core.pool_modes.seen(session, bool(session.values or statement.prepared), now)
    plan = ""
    if transaction:
        plan = transaction.rule.plans["begin_read" if transaction.mode == "begin_read" else "begin"]
    core.submit(session, statement, plan, now)


@handles("begin", "begin_read")
def handle_begin(core, session: Session, statement, now: float) -> None:
    """A transaction begins here; its connection is drawn at its first statement."""
    rule = core.rules.get(session.database)
    if session.transaction:
        core.reply(session, ["ERR MALFORMED a transaction is open"], now)
    elif denial := core.access_control.denies(session, session.database, REQUEST):
        core.reply(session, [denial], now)
    elif rule is None:
        core.reply(session, [core.missing_database.answer(now)], now)
    else:
        core.pool_modes.seen(session, True, now)
        session.transaction = Transaction(rule, statement.kind, now)
        core.reply(session, ["DONE -"], now)


@handles("commit")
def handle_commit(core, session: Session, statement, now: float) -> None:
    """COMMIT goes to the backend; after a failure it is answered here."""
    transaction = session.transaction
    if transaction is None:
        core.reply(session, ["ERR MALFORMED no transaction is open"], now)
    elif transaction.failed:
        session.transaction = None
        code = "UNKNOWN" if transaction.unclear else "ROLLEDBACK"
        core.reply(session, [f"ERR {code} the transaction had failed"], now)
    else:
        handle_statement(core, session, statement, now)


@handles("abort")
def handle_abort(core, session: Session, statement, now: float) -> None:
    """ABORT is answered here; the connection is rolled back behind it."""
    transaction, session.transaction = session.transaction, None
    if transaction is None:
        core.reply(session, ["ERR MALFORMED no transaction is open"], now)
        return
    if transaction.connection:
        completion.release(
            core, transaction.connection, now, values_changed=transaction.values_changed
        )
    core.reply(session, ["DONE -"], now)


@handles("set")
def handle_set(core, session: Session, statement, now: float) -> None:
    """SET is kept here and put on a connection when one is drawn."""
    if len(session.values) >= MOST_VALUES and statement.name not in session.values:
        core.reply(session, ["ERR TOOLONG too many session values"], now)
        return
    session.values[statement.name] = statement.rest
    session.mode = "transaction"
    core.reply(session, ["DONE -"], now)


@handles("prep")
def handle_prep(core, session: Session, statement, now: float) -> None:
    """PREP is kept here and put on a connection when it runs."""
    if len(session.names) >= MOST_VALUES and statement.name not in session.names:
        core.reply(session, ["ERR TOOLONG too many prepared names"], now)
        return
    session.names[statement.name] = statement.prepared
    session.mode = "transaction"
    core.reply(session, ["DONE -"], now)


@handles("free")
def handle_free(core, session: Session, statement, now: float) -> None:
    """FREE forgets the name."""
    session.names.pop(statement.name, None)
    core.reply(session, ["DONE -"], now)


@handles("nosuch", "malformed")
def handle_unreadable(core, session: Session, statement, now: float) -> None:
    """What can't run goes to no backend."""
    text = (
        "NOSUCH there is no such name"
        if statement.kind == "nosuch"
        else "MALFORMED this statement is not understood"
    )
    core.reply(session, [f"ERR {text}"], now)
