"""Writes on databases that are subscribed to wait until a controller has stored their intent.

An intent is sent again while its write has time: a controller that is left, or a message that is lost, costs
the caller no more than that.
"""

from typing import TYPE_CHECKING

from sumacloom.pooler import completion
from sumacloom.pooler.delivery import item_text
from sumacloom.pooler.effects import SendToController
from sumacloom.pooler.pending_statement import PendingStatement, StatementStage
from sumacloom.transport.messages import DeliveryIntent, IntentStored

if TYPE_CHECKING:
    from sumacloom.pooler.core import PoolerCore

INTENT_RETRY_S = 0.6  # network: by then a controller has tried two others for the second copy
MAX_UNACKNOWLEDGED = 10_000  # outcomes kept for controllers that take none


def hold_for_intent(core: "PoolerCore", pending: PendingStatement, now: float) -> bool:
    """Whether a statement about to be sent must wait for its intent; if so, the intent goes out."""
    delivery, transaction = core.delivery, pending.transaction
    kind, database = pending.statement.kind, pending.session.database
    if pending.intent or not delivery.wants(database):
        return False
    if kind == "write" and transaction is None:
        text = item_text(pending.statement)
    elif kind == "commit" and transaction.writes:
        text = "\n".join(transaction.writes)
    else:
        return False
    number = delivery.numbers[database] = delivery.numbers.get(database, 0) + 1
    pending.intent = (database, number, text)
    pending.stage = StatementStage.AWAITING_INTENT
    if len(delivery.unacknowledged) >= MAX_UNACKNOWLEDGED:
        give_up_intent(core, pending, now)  # nobody takes our outcomes
        return True
    delivery.waiting[(database, number)] = pending
    send_intent(core, pending, now)
    if transaction is None:
        connection, pending.connection = pending.connection, None
        completion.release(core, connection, now)  # others may have it meanwhile
    return True


def send_intent(core: "PoolerCore", pending: PendingStatement, now: float) -> None:
    """Asks a controller to store the intent; a copy of it changes nothing there."""
    database, number, text = pending.intent
    pending.sent_at = now
    delivery = core.delivery
    core.effects.append(
        SendToController(
            DeliveryIntent(delivery.incarnation, number, database, text, delivery.node)
        )
    )


def resend_intent(core: "PoolerCore", pending: PendingStatement, now: float) -> None:
    """Sends an intent again that may have been lost, with the session to a controller or without one."""
    if now - pending.sent_at >= INTENT_RETRY_S:
        send_intent(core, pending, now)


def give_up_intent(core: "PoolerCore", pending: PendingStatement, now: float) -> None:
    """No controller stored the intent in time: the write was not sent, and the client hears so."""
    if pending.transaction:
        completion.fail_transaction(core, pending, "ROLLEDBACK", now)
        return
    connection = pending.connection
    completion.finish(core, pending, ["ERR BUSY not run: no controller stored its intent"], now)
    if connection:
        completion.release(core, connection, now)


def handle_intent_stored(core: "PoolerCore", message: IntentStored, now: float) -> None:
    """A controller holds the intent: the write goes out."""
    if (
        message.incarnation != core.delivery.incarnation
    ):  # of an earlier life, whose numbers were the same
        return
    pending = core.delivery.waiting.pop((message.database, message.number), None)
    if pending is None or pending.stage != StatementStage.AWAITING_INTENT:
        return
    if pending.transaction:
        core.run(pending, now)
    else:
        core.scheduler.enqueue(pending, now)
