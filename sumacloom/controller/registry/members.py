"""Membership: the poolers in session with this controller, and those that the peers report.

A pooler is a member while its session with some controller stands. One that is lost without a goodbye is
remembered for a while, since some decisions wait until every pooler, also a lost one, has learned of them.
"""

import logging
from bisect import bisect_left
from typing import NamedTuple

logger = logging.getLogger(__name__)

SESSION_S = (
    2.5  # a quiet session ends after this; longer than a pooler's own doubt (CONTACT_S there)
)
REMEMBER_S = 120.0  # how long a pooler lost without a goodbye is named where all must agree
GOODBYE_S = 10.0

# on the wire these stand in place of the priority version that a pooler holds
LEFT, GOODBYE, LOST = -1, -2, -3


class Session(NamedTuple):
    """A pooler's session, and which updates it holds."""

    zone: str
    address: str
    last_heartbeat_at: float
    priority: int = 0
    subscribers: int = 0
    incarnation: int = 0


class MemberRow(NamedTuple):
    """What some controller tells of one pooler; `priority` is LEFT, GOODBYE or LOST without a session.

    Of a lost pooler, the seconds since it was last seen stand in place of its incarnation.
    """

    zone: str
    address: str
    priority: int
    subscribers: int
    incarnation: int

    @property
    def in_session(self) -> bool:
        """Whether a session of the pooler stands."""
        return self.priority >= 0


class LastSeen(NamedTuple):
    """Where and when a pooler was last seen."""

    zone: str
    at: float


class PeerRows(NamedTuple):
    """What a peer reported of its sessions, and when."""

    received_at: float
    rows: list[tuple[str, str, str, int, int, int]]


class Members:
    """The sessions that stand here, and what is known of all other poolers."""

    def __init__(self) -> None:
        self.sessions: dict[str, Session] = {}
        self.departed_at: dict[str, float] = {}
        self.goodbyes_at: dict[str, float] = {}  # poolers that ended in order
        self.seen: dict[str, LastSeen] = {}  # poolers, wherever in session
        self.peer_rows: dict[str, PeerRows] = {}
        self._by_zone: dict[str, list[str]] = {}  # sessions of a zone in order, until one changes

    def receive(
        self,
        node: str,
        zone: str,
        address: str,
        now: float,
        priority: int = 0,
        subscribers: int = 0,
        incarnation: int = 0,
    ) -> bool:
        """A pooler's heartbeat; returns whether its session is new."""
        is_new = node not in self.sessions
        if is_new or self.sessions[node].zone != zone:
            self._by_zone.clear()
        self.sessions[node] = Session(zone, address, now, priority, subscribers, incarnation)
        self.departed_at.pop(node, None)
        if is_new:
            logger.info("the pooler %s is a member", node)
        return is_new

    def end(self, node: str, now: float, in_order: bool = False) -> None:
        """A pooler's session is over; one that ended in order is not waited for."""
        if self.sessions.pop(node, None) is None:
            return
        self._by_zone.clear()
        self.departed_at[node] = now
        if in_order:
            self.goodbyes_at[node] = now
        logger.info("the pooler %s is no longer a member here", node)

    def receive_peer(
        self, peer: str, rows: list[tuple[str, str, str, int, int, int]] | None, now: float
    ) -> None:
        """A peer reports its sessions; None says that they are as last reported."""
        if rows is None:
            known = self.peer_rows.get(peer)
            rows = known.rows if known else []
        self.peer_rows[peer] = PeerRows(now, rows)

    def own_rows(self) -> list[tuple[str, str, str, int, int, int]]:
        """Our sessions, and those that ended here lately."""
        sessions = [
            (node, one.zone, one.address, one.priority, one.subscribers, one.incarnation)
            for node, one in self.sessions.items()
        ]
        left = [
            (node, "", "", LEFT, 0, 0) for node in self.departed_at if node not in self.sessions
        ]
        goodbyes = [
            (node, "", "", GOODBYE, 0, 0) for node in self.goodbyes_at if node not in self.sessions
        ]
        return sessions + left + goodbyes

    def rows_for_peers(self, now: float = 0.0) -> list[tuple[str, str, str, int, int, int]]:
        """What the peers are told: our own rows, and the poolers that are lost."""
        lost = [
            (node, seen.zone, "", LOST, 0, int(now - seen.at))
            for node, seen in self.lost(now).items()
        ]
        return self.own_rows() + lost

    def rows(self, now: float) -> dict[str, MemberRow]:
        """What is told of each pooler anywhere; what a standing session says goes first.

        >>> members = Members(); _new = members.receive("edge-1", "z", "a", 0.0, 4, 2, 9)
        >>> members.rows(1.0)["edge-1"].priority
        4
        """
        reported = [
            row
            for peer in self.peer_rows.values()
            if now - peer.received_at < SESSION_S
            for row in peer.rows
        ]
        found: dict[str, MemberRow] = {}
        for node, zone, address, priority, subscribers, incarnation in [
            *reported,
            *self.own_rows(),
        ]:
            row = MemberRow(zone, address, priority, subscribers, incarnation)
            if node not in found or row.priority > found[node].priority:
                found[node] = row
        return found

    def lost(self, now: float) -> dict[str, LastSeen]:
        """Poolers that ended without a goodbye and are in session nowhere.

        >>> members = Members(); _new = members.receive("edge-1", "z", "a", 0.0)
        >>> members.sweep(0.1); members.sweep(9.0); members.lost(9.0)["edge-1"].at
        0.1
        """
        rows = self.rows(now)
        return {
            node: seen
            for node, seen in self.seen.items()
            if node not in rows or not rows[node].in_session
        }

    def present(self, now: float) -> dict[str, MemberRow]:
        """Every pooler known anywhere, those that have just left included."""
        return {node: row for node, row in self.rows(now).items() if row.priority > GOODBYE}

    def count(self, now: float) -> int:
        """How many poolers are members."""
        return sum(row.priority != LEFT for row in self.present(now).values())

    def incarnations(self, now: float) -> dict[str, int]:
        """The incarnation of each pooler in session anywhere."""
        return {node: row.incarnation for node, row in self.rows(now).items() if row.in_session}

    def without_subscribers(self, version: int, now: float) -> list[str]:
        """The poolers not known to hold a version of the subscribers, lost ones among them."""
        behind = {
            node
            for node, row in self.rows(now).items()
            if row.in_session and row.subscribers < version
        }
        return sorted(behind | {*self.lost(now)})

    def without_priority(self, order: int, now: float) -> list[str]:
        """The poolers not known to hold a stage of the priority databases, those just left among them.

        >>> members = Members(); _new = members.receive("edge-1", "z", "a", 0.0, 2)
        >>> members.without_priority(4, 0.0)
        ['edge-1']
        """
        return sorted(node for node, row in self.present(now).items() if row.priority < order)

    def parent(self, node: str, own_zone: str, fan_out: int) -> str:
        """Where a pooler takes its updates from: an address, or "" for this controller itself.

        The members in session here form a tree by zone; in another zone than the controller's only the
        first is a direct child, so updates cross the border once.

        >>> members = Members()
        >>> _new = [members.receive(f"edge-{n}", "far", f"10.0.0.{n}:7441", 0.0) for n in (1, 2)]
        >>> members.parent("edge-2", "near", 4)
        '10.0.0.1:7441'
        """
        zone = self.sessions[node].zone
        if zone not in self._by_zone:
            self._by_zone[zone] = sorted(
                name for name, session in self.sessions.items() if session.zone == zone
            )
        siblings = self._by_zone[zone]
        place = bisect_left(siblings, node)
        direct = fan_out if zone == own_zone else 1
        if place < direct:
            return ""
        return self.sessions[siblings[(place - direct) // fan_out]].address

    def sweep(self, now: float) -> None:
        """Ends quiet sessions, and forgets those that left long enough ago."""
        self._end_quiet_sessions(now)
        self._forget_departed(now)
        self._remember_seen(now)

    def _end_quiet_sessions(self, now: float) -> None:
        for node, session in list(self.sessions.items()):
            if now - session.last_heartbeat_at > SESSION_S:
                self.end(node, now)

    def _forget_departed(self, now: float) -> None:
        for node, left_at in list(self.departed_at.items()):
            if now - left_at > SESSION_S:
                del self.departed_at[node]
        for node, left_at in list(self.goodbyes_at.items()):
            if now - left_at > GOODBYE_S or node in self.sessions:
                del self.goodbyes_at[node]

    def _remember_seen(self, now: float) -> None:
        for node, row in self.rows(now).items():
            if row.in_session:
                self.seen[node] = LastSeen(row.zone, now)
            elif row.priority == GOODBYE:
                self.seen.pop(node, None)
            elif row.priority == LOST:
                self.seen.setdefault(node, LastSeen(row.zone, now - row.incarnation))
        for node, seen in list(self.seen.items()):
            if now - seen.at > REMEMBER_S:
                del self.seen[node]
