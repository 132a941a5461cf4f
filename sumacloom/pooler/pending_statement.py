"""An errand: one statement on its way to a backend and back."""

from sumacloom.pooler.routing import FALLBACK, PLANS


class Errand:
    """A statement that needs a backend, with its plan and how far it has come.

    Stages: waiting (in a waitlist), setup (own texts are out, nothing of the client's), run
    (the statement itself may have reached the backend), paused (not run, to go out again on the
    same wire), done.
    """

    __slots__ = (
        "cutoff",
        "hold_until",
        "intent",
        "lane",
        "needed",
        "packed",
        "pause_until",
        "pending",
        "plan_name",
        "ran_at",
        "received",
        "refusal",
        "rule",
        "sends",
        "session",
        "stage",
        "statement",
        "transaction",
        "wire",
    )

    def __init__(self, session, statement, rule, plan_name: str, now: float, transaction):
        self.session, self.statement, self.rule = session, statement, rule
        self.plan_name = plan_name
        self.received = now
        self.cutoff = now + rule.statement_s
        self.hold_until = self.cutoff
        self.stage = "waiting"
        self.wire = None
        self.pause_until = 0.0
        self.sends = 0
        self.pending = 0
        self.transaction = transaction
        self.refusal = ""
        self.ran_at = 0.0
        self.needed = None
        self.lane = False
        self.packed = (
            session.mode == "statement" and transaction is None
        )  # it shares wires by the statement
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
        return self.statement.sort == "read"

    def order(self) -> tuple:
        """Its place in a waitlist: the priority lane first, then priority, then cutoff."""
        return (not self.lane, self.rule.priority, self.cutoff)

    def kind(self) -> tuple:
        """What decides which wires it may have: all of one kind find the same ones."""
        return (self.plan[0], id(self.rule), self.lane, self.packed, self.transaction is None)

    def fall_back(self) -> bool:
        """Turns from the rotation to the lead, if the plan knows how.

        >>> FALLBACK["rotation_read"]
        'lead_read'
        """
        if self.plan_name not in FALLBACK:
            return False
        self.plan_name = FALLBACK[self.plan_name]
        return True
