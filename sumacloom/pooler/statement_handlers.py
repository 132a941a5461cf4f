"""What each sort of statement does; all but reads, writes and COMMIT are answered here."""

from sumacloom.pooler import completion
from sumacloom.pooler.admission import REQUEST
from sumacloom.pooler.session import MOST_VALUES, Session, Transaction

SORTS = {}


def sort(*names):
    """Registers the handler of statements of these sorts.

    >>> "begin" in SORTS
    True
    """

    def register(function):
        SORTS.update(dict.fromkeys(names, function))
        return function

    return register


@sort("read", "write")
def handle_statement(floor, session: Session, statement, now: float) -> None:
    """A read or a write, single or in a transaction."""
    transaction = session.transaction
    if transaction is None and (denial := floor.gate.denies(session, session.database, REQUEST)):
        floor.reply(session, [denial], now)
        return
    if transaction is None:
        floor.pooling.seen(session, bool(session.values or statement.prepared), now)
    plan = ""
    if transaction:
        plan = transaction.rule.plans["begin_read" if transaction.mode == "begin_read" else "begin"]
    floor.submit(session, statement, plan, now)


@sort("begin", "begin_read")
def handle_begin(floor, session: Session, statement, now: float) -> None:
    """A transaction begins here; its wire is drawn at its first statement."""
    rule = floor.rules.get(session.database)
    if session.transaction:
        floor.reply(session, ["ERR MALFORMED a transaction is open"], now)
    elif denial := floor.gate.denies(session, session.database, REQUEST):
        floor.reply(session, [denial], now)
    elif rule is None:
        floor.reply(session, ["ERR NODB the database is no longer there"], now)
    else:
        floor.pooling.seen(session, True, now)
        session.transaction = Transaction(rule, statement.sort, now)
        floor.reply(session, ["DONE -"], now)


@sort("commit")
def handle_commit(floor, session: Session, statement, now: float) -> None:
    """COMMIT goes to the backend; after a failure it is answered here."""
    transaction = session.transaction
    if transaction is None:
        floor.reply(session, ["ERR MALFORMED no transaction is open"], now)
    elif transaction.failed:
        session.transaction = None
        code = "UNKNOWN" if transaction.doubtful else "ROLLEDBACK"
        floor.reply(session, [f"ERR {code} the transaction had failed"], now)
    else:
        handle_statement(floor, session, statement, now)


@sort("abort")
def handle_abort(floor, session: Session, statement, now: float) -> None:
    """ABORT is answered here; the wire is rolled back behind it."""
    transaction, session.transaction = session.transaction, None
    if transaction is None:
        floor.reply(session, ["ERR MALFORMED no transaction is open"], now)
        return
    if transaction.wire:
        completion.release(floor, transaction.wire, now, touched=transaction.touched)
    floor.reply(session, ["DONE -"], now)


@sort("set")
def handle_set(floor, session: Session, statement, now: float) -> None:
    """SET is kept here and put on a wire when one is drawn."""
    if len(session.values) >= MOST_VALUES and statement.name not in session.values:
        floor.reply(session, ["ERR TOOLONG too many session values"], now)
        return
    session.values[statement.name] = statement.rest
    session.mode = "transaction"
    floor.reply(session, ["DONE -"], now)


@sort("prep")
def handle_prep(floor, session: Session, statement, now: float) -> None:
    """PREP is kept here and put on a wire when it runs."""
    if len(session.names) >= MOST_VALUES and statement.name not in session.names:
        floor.reply(session, ["ERR TOOLONG too many prepared names"], now)
        return
    session.names[statement.name] = statement.prepared
    session.mode = "transaction"
    floor.reply(session, ["DONE -"], now)


@sort("free")
def handle_free(floor, session: Session, statement, now: float) -> None:
    """FREE forgets the name."""
    session.names.pop(statement.name, None)
    floor.reply(session, ["DONE -"], now)


@sort("nosuch", "malformed")
def handle_unreadable(floor, session: Session, statement, now: float) -> None:
    """What can't run goes to no backend."""
    text = (
        "NOSUCH there is no such name"
        if statement.sort == "nosuch"
        else "MALFORMED this statement is not understood"
    )
    floor.reply(session, [f"ERR {text}"], now)
