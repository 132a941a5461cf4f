"""What follows when a connection is lost: resent where that is safe, else the truth about what may have run."""

from sumacloom.pooler.completion import (
    ENDING,
    NOT_IN_TIME,
    drop,
    fail_transaction,
    finish,
    refuse,
)
from sumacloom.pooler.pending_statement import PendingStatement, StatementStage
from sumacloom.pooler.session import Transaction


def connection_lost(core, connection, why: str, now: float, report: bool = True) -> None:
    """A connection is gone: its statement is sent again, or told the truth about what may have run."""
    if connection.key not in core.connections:
        return
    was_idle = connection.open and connection.owner is None and not connection.expected
    drop(core, connection)
    backend = core.pools.backends.get(connection.backend)
    if (
        backend
        and report
        and connection.login_sent
        and not connection.open
        and any(other.open for other in backend.connections.values())
    ):
        core.pools.record_connection_limit(
            backend, now
        )  # it took the connection and ended it, while others stand
    elif backend and report and not was_idle:
        core.pools.record_failure(backend, now)
        core.failed_backends.append(connection.backend)
    if any(tag == "anchor" for tag, _asked_at, _state in connection.expected):
        core.pools.service_pool(connection.service).seeking = None  # to be asked elsewhere
    owner = connection.owner
    connection.owner = None
    if isinstance(owner, Transaction):
        owner.failed, owner.connection = "ROLLEDBACK", None
    elif isinstance(owner, PendingStatement):
        statement_lost(core, owner, now, connection.unclear)


def backend_silent(core, connection, why: str, now: float) -> None:
    """A connection left our own texts unanswered: the backend is dark, and its idle connections are no better."""
    backend = core.pools.backends.get(connection.backend)
    for idle in list(backend.idle) if backend else []:
        drop(core, idle)
    connection_lost(core, connection, why, now)


def statement_lost(core, pending, now: float, unclear: bool = False) -> None:
    """The connection of a statement is gone; doubtful says that its backend no longer knew of the transaction."""
    transaction, stage = pending.transaction, pending.stage
    pending.connection = None
    if transaction:
        transaction.connection = None
    if pending.session.closed:
        core.complete(pending)
        return
    fresh = transaction is None or not transaction.statements_run
    harmless = stage == StatementStage.SETUP or pending.only_reads
    if (
        unclear
        and transaction
        and stage == StatementStage.RUNNING
        and pending.statement.kind != "commit"
    ):
        transaction.unclear = True
        fail_transaction(core, pending, "UNKNOWN", now)
    elif fresh and harmless and core.scheduler.may_go_again(pending, now):
        core.scheduler.enqueue(pending, now)
    elif transaction and (pending.statement.kind != "commit" or stage != StatementStage.RUNNING):
        fail_transaction(core, pending, "ROLLEDBACK", now)
    else:
        report_loss(core, pending, now)


def report_loss(core, pending, now: float, cause: str = NOT_IN_TIME) -> None:
    """The final word on a statement outside a living transaction: a promise only if nothing ran."""
    if pending.stage != StatementStage.RUNNING:
        refuse(core, pending, now, cause)
    elif pending.only_reads:
        finish(core, pending, ["ERR FAIL the backend was lost"], now)
    else:
        pending.session.transaction = None
        finish(core, pending, ["ERR UNKNOWN the backend was lost; it may have run"], now)


def abandon_statement(core, pending, now: float) -> None:
    """This process is about to end: nothing asked stays without a word."""
    if pending.transaction and not (
        pending.statement.kind == "commit" and pending.stage == StatementStage.RUNNING
    ):
        fail_transaction(core, pending, "ROLLEDBACK", now)
    else:
        report_loss(core, pending, now, ENDING)
