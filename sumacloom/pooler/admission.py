"""The gate: what the access list says of logins and requests, the counts of it, and the lease on the list itself.

A list is offered for longer than any lease before it comes into force, and a lease runs from a stamp of this
counter's own clock that a registrar confirmed by a reading at a majority. So whoever still serves holds the newest.
"""

from sumacloom.configuration.access_list import Access
from sumacloom.configuration.model import unpack_blueprint
from sumacloom.logs import Scribe
from sumacloom.transport.updates import AccessNews

scribe = Scribe("gate")
LEASE_S = 3.0  # shorter than the registrars' ENFORCE_S
LATER = "ERR BUSY not run, the access list is not confirmed; come back in 200 ms"
LOGIN, REQUEST = 0, 2  # places in a count: logins allowed and denied, requests allowed and denied


class Lease:
    """How long this counter may rely on the list it holds.

    >>> lease = Lease(); lease.held(9.0)
    True
    >>> lease.hear(2, 2, None, 5.0); lease.hear(3, 3, 8.0, 9.0); lease.held(10.9), lease.held(11.1)
    (True, False)
    """

    def __init__(self):
        self.heard = 0  # the newest stage that a registrar told of
        self.until = None

    def hear(self, told: int, board: int, confirmed: float | None, now: float) -> None:
        """A registrar's beat: the stage it holds, the one we hold, and the stamp it confirms, if any.

        >>> lease = Lease(); lease.hear(3, 2, 8.0, 9.0); lease.until      # ours is older: nothing is confirmed
        -1000000000.0
        """
        self.heard = max(self.heard, told)
        if self.until is None and max(self.heard, board):
            first = (
                max(self.heard, board) == 2
            )  # the first list ever, offered: none is in force yet
            self.until = now + LEASE_S if first else -1e9
        if confirmed is not None and board >= told:
            self.until = max(self.until, confirmed + LEASE_S)

    def held(self, now: float) -> bool:
        """Whether the list held may be relied on; where none was ever offered there is nothing to rely on.

        >>> Lease().held(0.0)
        True
        """
        return self.until is None or now < self.until


class Gate:
    """One counter's access list in force, and what was allowed and denied by it."""

    def __init__(self):
        self.access: Access | None = None
        self.lapsed = self.closing = False
        self.counts: dict[
            int, dict[str, list[int]]
        ] = {}  # generation: rule: counts, of two generations

    def take(self, news: AccessNews) -> bool:
        """Takes the list in force; tells whether it is another one.

        >>> gate = Gate(); gate.take(AccessNews(3, 1, b'{"default": "deny"}')), gate.take(AccessNews(4, 1, b""))
        (True, False)
        """
        if news.generation <= (self.access.generation if self.access else 0):
            return False
        self.access = Access(unpack_blueprint(news.body), news.generation)
        kept = [*self.counts, news.generation][-2:]
        self.counts = {generation: self.counts.get(generation, {}) for generation in kept}
        scribe.say(
            "the access list %d is in force: %d rules, else %s",
            news.generation,
            len(self.access.rules),
            self.access.default,
        )
        return True

    def denies(self, session, database: str, place: int) -> str:
        """What to answer instead of serving, or nothing; counts the verdict under its rule.

        >>> from sumacloom.pooler.session import Session
        >>> gate = Gate(); session = Session(1, 0.0, "10.0.0.1"); gate.denies(session, "books", REQUEST)
        ''
        >>> _new = gate.take(AccessNews(3, 1, b'{"default": "deny"}')); gate.denies(session, "books", REQUEST)
        'ERR DENIED by the rule default: books is not for the region unknown'
        >>> gate.counts
        {1: {'default': [0, 0, 0, 1]}}
        """
        if self.lapsed:
            return LATER
        if self.access is None:
            return ""
        verdict = self.verdict(session, database)
        counts = self.counts[self.access.generation].setdefault(verdict.rule, [0, 0, 0, 0])
        counts[place + (not verdict.allowed)] += 1
        if verdict.allowed:
            return ""
        return f"ERR DENIED by the rule {verdict.rule}: {database} is not for the region {verdict.region}"

    def verdict(self, session, database: str):
        """The list's verdict on a session; its region is looked up once for each list."""
        generation = self.access.generation
        if session.region is None or session.region[0] != generation:
            session.region = (generation, self.access.region(session.address))
        return self.access.judge(database, session.region[1])

    def rows(self, node: str) -> list[dict]:
        """The counts, a row for each generation and rule, rules that met nothing included.

        >>> gate = Gate(); _new = gate.take(AccessNews(3, 1, b'{"default": "deny"}')); gate.rows("edge-1")[0]["rule"]
        'default'
        """
        names = [rule.name for rule in self.access.rules] + ["default"] if self.access else []
        zero = {self.access.generation: dict.fromkeys(names, (0, 0, 0, 0))} if self.access else {}
        return [
            {
                "node": node,
                "generation": generation,
                "rule": rule,
                "logins_allowed": logins,
                "logins_denied": turned,
                "requests_allowed": allowed,
                "requests_denied": denied,
            }
            for generation, found in self.counts.items()
            for rule, (logins, turned, allowed, denied) in {
                **zero.get(generation, {}),
                **found,
            }.items()
        ]


def take_access(floor, news: AccessNews, lapsed: bool, now: float) -> None:
    """Takes the list in force and whether it may be relied on; sessions at rest that are now denied are closed."""
    gate = floor.gate
    if lapsed != gate.lapsed:
        gate.lapsed = lapsed
        scribe.say(
            "no registrar confirms the access list: nothing new is taken"
            if lapsed
            else "the access list is confirmed again"
        )
    if gate.take(news) or gate.closing:
        denied = [
            session
            for session in floor.sessions.values()
            if session.database and not gate.verdict(session, session.database).allowed
        ]
        gate.closing = bool(denied)
        for session in denied:
            if session.state == "I" and session.errand is None and not session.waiting:
                floor.shut_session(session, now)
