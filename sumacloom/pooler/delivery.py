"""Writes on databases that are listened to: held back until a registrar has their intent on disk.

Once a write's end is known its verdict goes to the registrar, again and again until it is noted there.
What nobody listens to passes untouched. A counter that can't be sure who listens treats all as listened to.
"""

from sumacloom.transport.messages import Intent, Verdict

HOLD_S = 0.6  # how long a write waits for its intent to be held
AGAIN_S = 1.0
MOST_UNNOTED = 10_000
MOST_TEXT = 8192
PROMISES = frozenset(
    {"BUSY", "ROLLEDBACK", "LAGGING", "RO", "WRONGHOST", "MAXCONN", "NOSUCH", "NODB", "MALFORMED"}
)


class Spooling:
    """What one counter has told registrars, in one life."""

    def __init__(self, node: str, life: int):
        self.node, self.life = node, life
        self.databases, self.everything = set(), False
        self.numbers: dict[str, int] = {}
        self.waiting: dict[tuple, object] = {}  # (database, number): the errand held back
        self.unnoted: dict[tuple, Verdict] = {}
        self.told_at = -1e9

    def wants(self, database: str) -> bool:
        """Whether somebody may be listening.

        >>> Spooling("edge-1", 7).wants("books")
        False
        """
        return self.everything or database in self.databases

    def listen(self, databases, everything: bool) -> None:
        """Takes who listens, and whether we can't be sure of it.

        >>> spooling = Spooling("edge-1", 7); spooling.listen(["books"], False); spooling.wants("books")
        True
        """
        self.databases, self.everything = set(databases), everything

    def note(self, database: str, number: int) -> None:
        """The feed has the item; the verdict need not be said again.

        >>> Spooling("edge-1", 7).note("books", 1)
        """
        self.unnoted.pop((database, number), None)


def item_text(statement) -> str:
    """A write as listeners get it; a long one is cut, and says so.

    >>> from sumacloom.pooler.session import decode
    >>> item_text(decode("1 PUT a b", {})), item_text(decode("1 EXEC s a b", {"s": ("PUT", "q")}))
    ('PUT a b', 'EXEC q a b')
    """
    text = (
        f"EXEC {statement.prepared[1]} {statement.rest}" if statement.prepared else statement.text
    )
    return text if len(text) <= MOST_TEXT else f"{text[:MOST_TEXT]} ... ({len(text)} bytes)"


def holds_back(floor, errand, now: float) -> bool:
    """Whether a statement about to be sent must wait for its intent; if so, the intent goes out."""
    spooling, transaction = floor.spooling, errand.transaction
    sort, database = errand.statement.sort, errand.session.database
    if errand.intent or not spooling.wants(database):
        return False
    if sort == "write" and transaction is None:
        text = item_text(errand.statement)
    elif sort == "commit" and transaction.writes:
        text = "\n".join(transaction.writes)
    else:
        return False
    number = spooling.numbers[database] = spooling.numbers.get(database, 0) + 1
    errand.intent = (database, number, text)
    errand.stage, errand.ran_at = "spooling", now
    if len(spooling.unnoted) >= MOST_UNNOTED:
        errand.ran_at = now - HOLD_S  # nobody takes our verdicts: given up at the next tick
    spooling.waiting[(database, number)] = errand
    floor.effects.append(("spool", Intent(spooling.life, number, database, text, spooling.node)))
    return True


def intent_held(floor, message, now: float) -> None:
    """A registrar holds the intent: the write goes out."""
    if message.life != floor.spooling.life:  # of an earlier life, whose numbers were the same
        return
    errand = floor.spooling.waiting.pop((message.database, message.number), None)
    if errand and errand.stage == "spooling":
        floor.run(errand, now)


def judge(floor, errand, lines: list[str] | None = None) -> None:
    """The end of an errand with an intent, from its reply or, without one, from how far it came."""
    if not errand.intent:
        return
    (database, number, text), errand.intent = errand.intent, None
    spooling = floor.spooling
    spooling.waiting.pop((database, number), None)
    if lines is None:
        kind = "doubtful" if errand.stage == "run" else "not"
    elif lines[-1].startswith("ERR "):
        kind = "not" if lines[-1].split(" ")[1] in PROMISES else "doubtful"
    else:
        kind = "done"
    verdict = Verdict(spooling.life, number, database, text, spooling.node, kind)
    spooling.unnoted[(database, number)] = verdict
    floor.effects.append(("spool", verdict))


def tell_again(floor, now: float) -> None:
    """Verdicts that no registrar has noted go out again."""
    spooling = floor.spooling
    if spooling.unnoted and now - spooling.told_at >= AGAIN_S:
        spooling.told_at = now
        floor.effects.extend(
            ("spool", verdict) for verdict in list(spooling.unnoted.values())[:500]
        )
