"""Writes on databases that are subscribed to: held back until a controller has their intent on disk.

Once a write's end is known its outcome goes to the controller, again and again until it is noted there.
What nobody subscribes to passes untouched. A pooler that can't be sure who subscribes treats all as subscribed to.
"""

from sumacloom.pooler.effects import SendToController
from sumacloom.pooler.pending_statement import StatementStage
from sumacloom.transport.messages import DeliveryIntent, DeliveryOutcome
from sumacloom.types import NEVER

HOLD_S = 0.6  # how long a write waits for its intent to be held
AGAIN_S = 1.0
MAX_UNACKNOWLEDGED = 10_000
MOST_TEXT = 8192
PROMISES = frozenset(
    {"BUSY", "ROLLEDBACK", "LAGGING", "RO", "WRONGHOST", "MAXCONN", "NOSUCH", "NODB", "MALFORMED"}
)


class DeliveryTracker:
    """What one pooler has told controllers, in one incarnation."""

    def __init__(self, node: str, incarnation: int):
        self.node, self.incarnation = node, incarnation
        self.databases, self.everything = set(), False
        self.numbers: dict[str, int] = {}
        self.waiting: dict[tuple, object] = {}  # (database, number): the statement held back
        self.unacknowledged: dict[tuple, DeliveryOutcome] = {}
        self.reported_at = NEVER

    def wants(self, database: str) -> bool:
        """Whether somebody may be listening.

        >>> DeliveryTracker("edge-1", 7).wants("books")
        False
        """
        return self.everything or database in self.databases

    def listen(self, databases, everything: bool) -> None:
        """Takes who subscribes, and whether we can't be sure of it.

        >>> delivery = DeliveryTracker("edge-1", 7); delivery.listen(["books"], False); delivery.wants("books")
        True
        """
        self.databases, self.everything = set(databases), everything

    def note(self, database: str, number: int) -> None:
        """The feed has the item; the outcome need not be said again.

        >>> DeliveryTracker("edge-1", 7).note("books", 1)
        """
        self.unacknowledged.pop((database, number), None)


def item_text(statement) -> str:
    """A write as subscribers get it; a long one is cut, and says so.

    >>> from sumacloom.pooler.session import decode
    >>> item_text(decode("1 PUT a b", {})), item_text(decode("1 EXEC s a b", {"s": ("PUT", "q")}))
    ('PUT a b', 'EXEC q a b')
    """
    text = (
        f"EXEC {statement.prepared[1]} {statement.rest}" if statement.prepared else statement.text
    )
    return text if len(text) <= MOST_TEXT else f"{text[:MOST_TEXT]} ... ({len(text)} bytes)"


def hold_for_intent(core, pending, now: float) -> bool:
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
    pending.stage, pending.sent_at = StatementStage.AWAITING_INTENT, now
    if len(delivery.unacknowledged) >= MAX_UNACKNOWLEDGED:
        pending.sent_at = now - HOLD_S  # nobody takes our outcomes: given up at the next tick
    delivery.waiting[(database, number)] = pending
    core.effects.append(
        SendToController(
            DeliveryIntent(delivery.incarnation, number, database, text, delivery.node)
        )
    )
    return True


def handle_intent_stored(core, message, now: float) -> None:
    """A controller holds the intent: the write goes out."""
    if (
        message.incarnation != core.delivery.incarnation
    ):  # of an earlier life, whose numbers were the same
        return
    pending = core.delivery.waiting.pop((message.database, message.number), None)
    if pending and pending.stage == StatementStage.AWAITING_INTENT:
        core.run(pending, now)


def judge(core, pending, lines: list[str] | None = None) -> None:
    """The end of a statement with an intent, from its reply or, without one, from how far it came."""
    if not pending.intent:
        return
    (database, number, text), pending.intent = pending.intent, None
    delivery = core.delivery
    delivery.waiting.pop((database, number), None)
    if lines is None:
        kind = "doubtful" if pending.stage == StatementStage.RUNNING else "not"
    elif lines[-1].startswith("ERR "):
        kind = "not" if lines[-1].split(" ")[1] in PROMISES else "doubtful"
    else:
        kind = "done"
    verdict = DeliveryOutcome(delivery.incarnation, number, database, text, delivery.node, kind)
    delivery.unacknowledged[(database, number)] = verdict
    core.effects.append(SendToController(verdict))


def resend_outcomes(core, now: float) -> None:
    """Outcomes that no controller has noted go out again."""
    delivery = core.delivery
    if delivery.unacknowledged and now - delivery.reported_at >= AGAIN_S:
        delivery.reported_at = now
        core.effects.extend(
            SendToController(verdict) for verdict in list(delivery.unacknowledged.values())[:500]
        )
