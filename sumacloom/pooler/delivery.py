"""What became of writes on databases that are subscribed to, told to the controllers.

Once a write's end is known its outcome goes to the controller, again and again until it is noted there.
What nobody subscribes to passes untouched. A pooler that can't be sure who subscribes treats all as subscribed to.
"""

from sumacloom.pooler.effects import SendToController
from sumacloom.pooler.pending_statement import StatementStage
from sumacloom.transport.messages import DeliveryOutcome
from sumacloom.types import NEVER

AGAIN_S = 1.0
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
