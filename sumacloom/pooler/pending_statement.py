"""A client's statement on its way to a backend and back."""

import itertools
from enum import StrEnum

from sumacloom.pooler.routing import FALLBACK, PLANS

_numbers = itertools.count()


class StatementStage(StrEnum):
    """How far a statement has come."""

    WAITING = "waiting"  # in a queue
    SETUP = "setup"  # our own texts are out, nothing of the client's
    AWAITING_INTENT = "awaiting_intent"  # not sent before a controller holds its intent
    RUNNING = "running"  # it may have reached the backend
    PAUSED = "paused"  # not run; it goes out again on the same connection
    DONE = "done"


class PendingStatement:
    """A statement that needs a backend, with its plan and how far it has come."""

    __slots__ = (
        "connection",
        "deadline",
        "intent",
        "needed",
        "not_before",
        "number",
        "plan_name",
        "prioritized",
        "queue_group",
        "queue_order",
        "received_at",
        "rule",
        "sent_at",
        "session",
        "setup_replies_due",
        "shares_connection",
        "stage",
        "started_at",
        "statement",
        "transaction",
    )

    def __init__(self, session, statement, rule, plan_name: str, now: float, transaction):
        self.session, self.statement, self.rule = session, statement, rule
        self.plan_name = plan_name
        self.received_at = now
        self.deadline = now + rule.statement_s
        self.stage = StatementStage.WAITING
        self.connection = None
        self.not_before = 0.0
        self.setup_replies_due = 0
        self.transaction = transaction
        self.sent_at = 0.0  # when what is out now was sent
        self.started_at = 0.0  # when a connection was last put to work for it
        self.number = next(_numbers)  # keeps the order of those with one deadline
        self.queue_group = self.queue_order = None
        self.needed = None
        self.prioritized = False
        self.shares_connection = (
            session.mode == "statement" and transaction is None
        )  # it shares connections by the statement
        self.intent = None

    @property
    def plan(self) -> tuple:
        """The steps that the interpreter walks.

        >>> PLANS["write"]
        ('lead', 'run')
        """
        return PLANS[self.plan_name]

    @property
    def only_reads(self) -> bool:
        """Whether sending it twice changes nothing."""
        return self.statement.kind == "read"

    def order(self) -> tuple:
        """Its place in a queue: the priority databases first, then priority, then deadline, then arrival."""
        return (not self.prioritized, self.rule.priority, self.deadline, self.number)

    def group_key(self) -> tuple:
        """What it has in common with those that one look at a queue can tell for all."""
        return (
            self.plan_name,
            id(self.rule),
            self.prioritized,
            self.shares_connection,
            self.transaction is None,
        )

    def take_rule(self, rule, plan_name: str) -> None:
        """Another configuration: it goes by another rule, its time still counted from its arrival."""
        self.rule, self.plan_name = rule, plan_name
        self.deadline = self.received_at + rule.statement_s

    def placement_key(self) -> tuple:
        """What decides which connections it may have: all of one kind find the same ones."""
        return (
            self.plan[0],
            id(self.rule),
            self.prioritized,
            self.shares_connection,
            self.transaction is None,
        )

    def fall_back(self) -> bool:
        """Turns from replicas to the primary, if the plan knows how.

        >>> FALLBACK["rotation_read"]
        'lead_read'
        """
        if self.plan_name not in FALLBACK:
            return False
        self.plan_name = FALLBACK[self.plan_name]
        return True
