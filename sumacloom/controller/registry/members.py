"""Members: the counters in session here, and those that the peers tell of."""

from bisect import bisect_left
from typing import NamedTuple

from sumacloom.logs import Scribe

scribe = Scribe("roster")
SESSION_S = 2.5  # a quiet session ends after this; longer than a counter's own lease
REMEMBER_S = 120.0  # a counter gone without a word is named for so long where all must agree
GOODBYE_S = 10.0
LEFT, BYE, GONE = -1, -2, -3  # in place of what a counter holds of the lanes


class Session(NamedTuple):
    """A counter's session.

    >>> Session("z", "10.0.0.1:7441", 0.0).lanes
    0
    """

    zone: str
    address: str
    heard_at: float
    lanes: int = 0  # what it holds of the lanes and of the listeners, as its digest says
    listeners: int = 0
    life: int = 0


class Members:
    """The sessions that stand, and the counters that have only just left."""

    def __init__(self):
        self.sessions: dict[str, Session] = {}
        self.siblings: dict[
            str, list[str]
        ] = {}  # the sessions of a zone in order, until one comes or goes
        self.departed: dict[str, float] = {}
        self.goodbyes: dict[str, float] = {}  # counters that ended in order
        self.seen: dict[str, tuple] = {}  # counters, wherever in session: node: (zone, when last)
        self.peers: dict[str, tuple] = {}  # peer: (heard at, [(node, zone, address, lanes)])

    def hear(
        self,
        node: str,
        zone: str,
        address: str,
        now: float,
        lanes: int = 0,
        listeners: int = 0,
        life: int = 0,
    ) -> bool:
        """A counter's heartbeat; tells whether its session is new.

        >>> Members().hear("edge-1", "z", "10.0.0.1:7441", 0.0)
        True
        """
        fresh = node not in self.sessions
        if fresh or self.sessions[node].zone != zone:
            self.siblings.clear()
        self.sessions[node] = Session(zone, address, now, lanes, listeners, life)
        self.departed.pop(node, None)
        if fresh:
            scribe.say("the counter %s is a member", node)
        return fresh

    def end(self, node: str, now: float, in_order: bool = False) -> None:
        """A counter's session is over; one that ended in order is not looked for.

        >>> Members().end("edge-1", 0.0)
        """
        session = self.sessions.pop(node, None)
        if session:
            self.siblings.clear()
            self.departed[node] = now
            if in_order:
                self.goodbyes[node] = now
            scribe.say("the counter %s is no longer a member here", node)

    def hear_peer(self, peer: str, sessions: list | None, now: float) -> None:
        """A peer tells its sessions; None says that they are as last told.

        >>> Members().hear_peer("b", [], 0.0)
        """
        if sessions is None:
            sessions = self.peers.get(peer, (now, []))[1]
        self.peers[peer] = (now, sessions)

    def told(self, now: float = 0.0) -> list[tuple]:
        """For the peers: (node, zone, address, lanes, listeners, life) of our sessions, and of those that have left.

        Of a counter lost without a word, how many seconds ago stands in place of its life.

        >>> Members().told()
        []
        """
        lost = [
            (node, zone, "", GONE, 0, int(now - seen))
            for node, (zone, seen) in self.lost(now).items()
        ]
        return self.own_rows() + lost

    def own_rows(self) -> list[tuple]:
        """Our sessions, and those that ended here of late.

        >>> Members().own_rows()
        []
        """
        left = [(node, "", "", LEFT, 0, 0) for node in self.departed if node not in self.sessions]
        byes = [(node, "", "", BYE, 0, 0) for node in self.goodbyes if node not in self.sessions]
        return (
            [
                (node, one.zone, one.address, one.lanes, one.listeners, one.life)
                for node, one in self.sessions.items()
            ]
            + left
            + byes
        )

    def lost(self, now: float) -> dict[str, tuple[str, float]]:
        """Counters that ended without a word and are in session nowhere: node to (zone, when last seen).

        >>> members = Members(); _fresh = members.hear("edge-1", "z", "a", 0.0); members.sweep(0.1); members.sweep(9.0)
        >>> members.lost(9.0)
        {'edge-1': ('z', 0.1)}
        """
        there = self.rows(now)
        return {
            node: found
            for node, found in self.seen.items()
            if there.get(node, ("", "", LEFT))[2] < 0
        }

    def rows(self, now: float) -> dict[str, tuple]:
        """What is told of each counter anywhere; what a standing session says goes first.

        >>> members = Members(); _fresh = members.hear("edge-1", "z", "a", 0.0, 4, 2, 9); members.rows(1.0)
        {'edge-1': ('z', 'a', 4, 2, 9)}
        """
        told = [
            row for heard, rows in self.peers.values() if now - heard < SESSION_S for row in rows
        ]
        found = {}
        for node, *row in [*told, *self.own_rows()]:
            if node not in found or row[2] > found[node][2]:
                found[node] = tuple(row)
        return found

    def all(self, now: float) -> dict[str, tuple[str, str, int]]:
        """Every counter known anywhere: node to (zone, address, lanes); lanes is LEFT for one just gone.

        >>> members = Members(); _fresh = members.hear("edge-1", "z", "a", 0.0, 4); members.all(1.0)
        {'edge-1': ('z', 'a', 4)}
        """
        return {node: row[:3] for node, row in self.rows(now).items() if row[2] > BYE}

    def unaware(self, generation: int, now: float) -> list[str]:
        """The counters not known to hold a generation of the listeners, those lost without a word among them.

        >>> members = Members(); _fresh = members.hear("edge-1", "z", "a", 0.0); members.unaware(1, 0.0)
        ['edge-1']
        """
        behind = {
            node for node, row in self.rows(now).items() if row[2] >= 0 and row[3] < generation
        }
        return sorted(behind | {*self.lost(now)})

    def lives(self, now: float) -> dict[str, int]:
        """The life of each counter in session anywhere.

        >>> Members().lives(0.0)
        {}
        """
        return {node: row[4] for node, row in self.rows(now).items() if row[2] >= 0}

    def count(self, now: float) -> int:
        """How many counters are members.

        >>> Members().count(0.0)
        0
        """
        return sum(lanes != LEFT for _zone, _address, lanes in self.all(now).values())

    def lacking(self, lanes: int, now: float) -> list[str]:
        """The counters not known to hold a generation of the lanes, those just gone among them.

        >>> members = Members(); _fresh = members.hear("edge-1", "z", "a", 0.0, 2); members.lacking(4, 0.0)
        ['edge-1']
        """
        return sorted(
            node for node, (_zone, _address, held) in self.all(now).items() if held < lanes
        )

    def parent(self, node: str, home: str, fan: int) -> str:
        """Where a counter takes its news from: an address, or nothing for the registrar itself.

        The members in session here form a tree by zone; in another zone than the registrar's
        only the first is a direct child, so news crosses the border once.

        >>> members = Members()
        >>> _fresh = [members.hear(f"edge-{n}", "far", f"10.0.0.{n}:7441", 0.0) for n in (1, 2)]
        >>> members.parent("edge-2", "near", 4)
        '10.0.0.1:7441'
        """
        zone = self.sessions[node].zone
        if zone not in self.siblings:
            self.siblings[zone] = sorted(
                name for name, session in self.sessions.items() if session.zone == zone
            )
        siblings = self.siblings[zone]
        place = bisect_left(siblings, node)
        direct = fan if zone == home else 1
        return "" if place < direct else self.sessions[siblings[(place - direct) // fan]].address

    def sweep(self, now: float) -> None:
        """Ends quiet sessions, and forgets those that left long enough ago.

        >>> Members().sweep(0.0)
        """
        for node in [
            node for node, session in self.sessions.items() if now - session.heard_at > SESSION_S
        ]:
            self.end(node, now)
        for node in [node for node, left in self.departed.items() if now - left > SESSION_S]:
            del self.departed[node]
        for node in [
            node
            for node, left in self.goodbyes.items()
            if now - left > GOODBYE_S or node in self.sessions
        ]:
            del self.goodbyes[node]
        for node, row in self.rows(now).items():
            if row[2] >= 0:
                self.seen[node] = (row[0], now)
            elif row[2] == BYE:
                self.seen.pop(node, None)
            elif row[2] == GONE:
                self.seen.setdefault(node, (row[0], now - row[4]))
        for node in [node for node, (_zone, seen) in self.seen.items() if now - seen > REMEMBER_S]:
            del self.seen[node]
