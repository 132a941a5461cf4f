"""What the clock does to statements under way, stage by stage."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from sumacloom.pooler import completion, connection_loss, delivery_intents
from sumacloom.pooler.pending_statement import PendingStatement, StatementStage
from sumacloom.pooler.statement_decision import (
    SILENCE_BOUND_S,
    Decision,
    SentStatement,
    decide_sent,
    read_overdue_s,
)

if TYPE_CHECKING:
    from sumacloom.pooler.core import PoolerCore


def check_setup(core: "PoolerCore", pending: PendingStatement, now: float) -> None:
    """Our own texts take no slot: a connection that leaves them unanswered is dark, and the statement goes elsewhere."""
    if not core.scheduler.is_in_time(pending, now):
        give_up_setup(core, pending, now)
        return
    # a transaction that has run something can't go elsewhere
    bound = pending.transaction and pending.transaction.statements_run
    sent = SentStatement(pending.deadline, pending.sent_at, None if bound else SILENCE_BOUND_S)
    if decide_sent(now, sent) is Decision.SEND_AGAIN:
        connection_loss.backend_silent(core, pending.connection, "its setup went unanswered", now)


def give_up_setup(core: "PoolerCore", pending: PendingStatement, now: float) -> None:
    """Refuses a statement whose connection is not prepared in time; the connection's answers are still awaited."""
    connection, transaction = pending.connection, pending.transaction
    if transaction and transaction.statements_run:
        completion.fail_transaction(core, pending, "ROLLEDBACK", now)
        return
    completion.refuse(core, pending, now)
    if connection.owner is pending:
        completion.release(core, connection, now)


def check_paused(core: "PoolerCore", pending: PendingStatement, now: float) -> None:
    """A statement of a transaction whose backend is not to be sent anything for a moment."""
    if not core.scheduler.is_in_time(pending, now):
        completion.fail_transaction(core, pending, "BUSY", now)
    elif now >= pending.not_before:
        core.start_on(pending, pending.connection, now)


def check_running(core: "PoolerCore", pending: PendingStatement, now: float) -> None:
    """A statement past its deadline is told so; a single read whose answer is overdue goes out again."""
    run_times = core.pools.service_pool(pending.rule.service).run_times
    overdue_s = None
    if pending.only_reads and pending.transaction is None:
        usual_s = run_times.usual_s(pending.plan_name, now)
        overdue_s = read_overdue_s(pending.deadline, pending.sent_at, usual_s)
    shortest_s = run_times.shortest_s(pending.plan_name, now)
    sent = SentStatement(pending.deadline, pending.sent_at, overdue_s, shortest_s)
    decision = decide_sent(now, sent)
    if decision is Decision.SEND_AGAIN:
        connection_loss.connection_lost(core, pending.connection, "a read took too long", now)
    elif decision is Decision.REFUSE:
        time_out(core, pending, now)


def time_out(core: "PoolerCore", pending: PendingStatement, now: float) -> None:
    """Ends a statement that may have run at its deadline, without a promise."""
    connection = pending.connection
    if pending.transaction:
        pending.transaction.failed, pending.transaction.connection = "told", None
        if pending.statement.kind == "commit":
            pending.session.transaction = None
    completion.finish(core, pending, ["ERR TIMEDOUT the statement took too long"], now)
    connection.owner = None
    connection_loss.connection_lost(core, connection, "a statement took too long", now)


def check_awaiting_intent(core: "PoolerCore", pending: PendingStatement, now: float) -> None:
    """No controller has stored the intent yet: it is sent again, and the write refused before its time is over."""
    if core.scheduler.is_in_time(pending, now):
        delivery_intents.resend_intent(core, pending, now)
    else:
        delivery_intents.give_up_intent(core, pending, now)


CHECKS: dict[str, Callable[["PoolerCore", PendingStatement, float], None]] = {
    StatementStage.SETUP: check_setup,
    StatementStage.PAUSED: check_paused,
    StatementStage.RUNNING: check_running,
    StatementStage.AWAITING_INTENT: check_awaiting_intent,
}


def check_all(core: "PoolerCore", now: float) -> None:
    """Looks at every statement under way; those that are done in between are left out."""
    core.scheduler.refuse_hopeless(now)
    for pending in [pending for pending in core.active if pending.stage in CHECKS]:
        if pending.stage in CHECKS:
            CHECKS[pending.stage](core, pending, now)
