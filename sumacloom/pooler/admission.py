"""Access control: what the access list says of logins and requests, the counts of it, and the lease on the list itself.

A list is offered for longer than any lease before it comes into force, and a lease runs from a stamp of this
pooler's own clock that a controller confirmed by a reading at a majority. So whoever still serves holds the newest.
"""

import logging

from sumacloom.configuration.access_list import AccessList
from sumacloom.configuration.model import decompress
from sumacloom.transport.updates import AccessUpdate
from sumacloom.types import NEVER

logger = logging.getLogger(__name__)
LEASE_S = 3.0  # shorter than the controllers' ENFORCE_S
UNCONFIRMED = "ERR BUSY not run: the access list is not confirmed"
LOGIN, REQUEST = 0, 2  # places in a count: logins allowed and denied, requests allowed and denied


class AccessLease:
    """How long this pooler may rely on the list it holds.

    >>> lease = AccessLease(); lease.held(9.0)
    True
    >>> lease.receive(2, 2, None, 5.0); lease.receive(3, 3, 8.0, 9.0); lease.held(10.9), lease.held(11.1)
    (True, False)
    """

    def __init__(self):
        self.received_at = 0  # the newest stage that a controller told of
        self.until = None

    def receive(self, reported: int, cache: int, confirmed: float | None, now: float) -> None:
        """A controller's heartbeat: the stage it holds, the one we hold, and the stamp it confirms, if any.

        >>> lease = AccessLease(); lease.receive(3, 2, 8.0, 9.0); lease.until      # ours is older: nothing is confirmed
        -1000000000.0
        """
        self.received_at = max(self.received_at, reported)
        if self.until is None and max(self.received_at, cache):
            first = (
                max(self.received_at, cache) == 2
            )  # the first list ever, offered: none is in force yet
            self.until = now + LEASE_S if first else NEVER
        if confirmed is not None and cache >= reported:
            self.until = max(self.until, confirmed + LEASE_S)

    def held(self, now: float) -> bool:
        """Whether the list held may be relied on; where none was ever offered there is nothing to rely on.

        >>> AccessLease().held(0.0)
        True
        """
        return self.until is None or now < self.until


class AccessControl:
    """One pooler's access list in force, and what was allowed and denied by it."""

    def __init__(self):
        self.access: AccessList | None = None
        self.lapsed = self.closing = False
        self.counts: dict[int, dict[str, list[int]]] = {}  # version: rule: counts, of two versions

    def take(self, update: AccessUpdate) -> bool:
        """Takes the list in force; tells whether it is another one.

        >>> access_control = AccessControl(); access_control.take(AccessUpdate(3, 1, b'{"default": "deny"}')), access_control.take(AccessUpdate(4, 1, b""))
        (True, False)
        """
        if update.version <= (self.access.version if self.access else 0):
            return False
        self.access = AccessList(decompress(update.body), update.version)
        kept = [*self.counts, update.version][-2:]
        self.counts = {version: self.counts.get(version, {}) for version in kept}
        logger.info(
            "the access list %d is in force: %d rules, else %s",
            update.version,
            len(self.access.rules),
            self.access.default,
        )
        return True

    def denies(self, session, database: str, place: int) -> str:
        """What to answer instead of serving, or nothing; counts the outcome under its rule.

        >>> from sumacloom.pooler.session import Session
        >>> access_control = AccessControl(); session = Session(1, 0.0, "10.0.0.1"); access_control.denies(session, "books", REQUEST)
        ''
        >>> _new = access_control.take(AccessUpdate(3, 1, b'{"default": "deny"}')); access_control.denies(session, "books", REQUEST)
        'ERR DENIED by the rule default: books is not for the region unknown'
        >>> access_control.counts
        {1: {'default': [0, 0, 0, 1]}}
        """
        if self.lapsed:
            return UNCONFIRMED
        if self.access is None:
            return ""
        verdict = self.verdict(session, database)
        counts = self.counts[self.access.version].setdefault(verdict.rule, [0, 0, 0, 0])
        counts[place + (not verdict.allowed)] += 1
        if verdict.allowed:
            return ""
        return f"ERR DENIED by the rule {verdict.rule}: {database} is not for the region {verdict.region}"

    def verdict(self, session, database: str):
        """The list's outcome on a session; its region is looked up once for each list."""
        version = self.access.version
        if session.region is None or session.region[0] != version:
            session.region = (version, self.access.region(session.address))
        return self.access.verdict_for_region(database, session.region[1])

    def rows(self, node: str) -> list[dict]:
        """The counts, a row for each version and rule, rules that met nothing included.

        >>> access_control = AccessControl(); _new = access_control.take(AccessUpdate(3, 1, b'{"default": "deny"}')); access_control.rows("edge-1")[0]["rule"]
        'default'
        """
        names = [rule.name for rule in self.access.rules] + ["default"] if self.access else []
        zero = {self.access.version: dict.fromkeys(names, (0, 0, 0, 0))} if self.access else {}
        return [
            {
                "node": node,
                "generation": version,
                "rule": rule,
                "logins_allowed": logins,
                "logins_denied": turned,
                "requests_allowed": allowed,
                "requests_denied": denied,
            }
            for version, found in self.counts.items()
            for rule, (logins, turned, allowed, denied) in {
                **zero.get(version, {}),
                **found,
            }.items()
        ]


def take_access(core, update: AccessUpdate, lapsed: bool, now: float) -> None:
    """Takes the list in force and whether it may be relied on; sessions at rest that are now denied are closed."""
    access_control = core.access_control
    if lapsed != access_control.lapsed:
        access_control.lapsed = lapsed
        logger.info(
            "no controller confirms the access list: nothing new is taken"
            if lapsed
            else "the access list is confirmed again"
        )
    if access_control.take(update) or access_control.closing:
        denied = [
            session
            for session in core.sessions.values()
            if session.database and not access_control.verdict(session, session.database).allowed
        ]
        access_control.closing = bool(denied)
        for session in denied:
            if session.state == "I" and session.pending is None and not session.waiting:
                core.shut_session(session, now)
