"""Pool modes, judged from what sessions do: `statement` or `transaction`.

Safety never rests on the mode: in either, a transaction holds one connection from its first statement to its end, and a
write is sent once. A session judged `statement` that begins a transaction, sets a value or prepares a name is in
`transaction` mode from that message on. What a vote changes is which sessions pack into the shared connections.
"""

from collections import OrderedDict

from sumacloom.settings import PoolSettings
from sumacloom.transport.updates import PoolModeRow
from sumacloom.types import NEVER

STATEMENT, TRANSACTION = "statement", "transaction"
MOST_TALLIES, MOST_NAMES = 4096, 1024
LEAST_SEEN = 20  # requests below which no share is judged
SAY_AGAIN_S = 3.0
NAMED = 2  # sessions of one name that needed transaction mode before the name is an exception
JUDGE_S = 1.0


class Tally:
    """What one database's sessions did here since the last vote."""

    __slots__ = ("requests", "since", "stateful")

    def __init__(self, now: float):
        self.requests = self.stateful = 0
        self.since = now


class PoolModes:
    """One pooler's votes, and those that the fleet holds."""

    def __init__(self, settings: PoolSettings):
        self.settings = settings
        self.version = 0
        self.rows: dict[str, PoolModeRow] = {}
        self.tallies: OrderedDict[str, Tally] = OrderedDict()
        self.names: OrderedDict[tuple, int] = (
            OrderedDict()
        )  # (database, who): sessions seen to need transactions
        self.said: dict[tuple, float] = {}
        self.judged_at = NEVER

    def take(self, version: int, rows: dict[str, PoolModeRow]) -> None:
        """Takes what the fleet holds.

        >>> pool_modes = PoolModes(PoolSettings()); pool_modes.take(1, {"books": PoolModeRow("books", "statement")})
        >>> pool_modes.mode("books", "someone")
        'statement'
        """
        if version != self.version:
            self.version, self.rows = version, rows

    def mode(self, database: str, who: str) -> str:
        """The mode that a new session starts in.

        >>> PoolModes(PoolSettings()).mode("books", "someone")
        'transaction'
        """
        row = self.rows.get(database)
        if row is None or row.mode != STATEMENT or (not row.pinned and who in row.exceptions):
            return TRANSACTION
        return (
            STATEMENT if row.pinned or self.names.get((database, who), 0) < NAMED else TRANSACTION
        )

    def seen(self, session, stateful: bool, now: float) -> None:
        """A request or a change of a session's state; the first sign of state tightens the session at once.

        >>> from sumacloom.pooler.session import Session
        >>> session = Session(1, 0.0); session.database, session.mode = "books", "statement"
        >>> pool_modes = PoolModes(PoolSettings()); pool_modes.seen(session, True, 1.0); session.mode
        'transaction'
        """
        if not self.settings.on:
            return
        database = session.database
        tally = self.tallies.get(database)
        if tally is None:
            tally = self.tallies[database] = Tally(now)
            if len(self.tallies) > MOST_TALLIES:
                self.tallies.popitem(last=False)
        tally.requests += 1
        if stateful:
            tally.stateful += 1
            if not session.stateful:
                session.stateful = True
                key = (database, session.who)
                self.names[key] = self.names.pop(key, 0) + 1
                if len(self.names) > MOST_NAMES:
                    self.names.popitem(last=False)
            session.mode, session.plain, session.tight_at = TRANSACTION, 0, now
            return
        session.plain += 1
        row = self.rows.get(database)
        if (
            session.mode == TRANSACTION
            and row
            and row.mode == STATEMENT
            and not session.values
            and not session.names
            and session.plain >= self.settings.session_requests
            and now - session.tight_at >= self.settings.session_s
        ):
            session.mode = STATEMENT

    def pool_mode_votes(self, now: float) -> list[tuple[str, str, str, int]]:
        """Changes of mind to tell: (database, who or nothing, mode, the version of the row judged).

        >>> PoolModes(PoolSettings()).pool_mode_votes(0.0)
        []
        """
        if not self.settings.on or now - self.judged_at < JUDGE_S:
            return []
        self.judged_at = now
        found = [
            mind
            for database, tally in list(self.tallies.items())
            for mind in self.judge(database, tally, now)
        ]
        found += [
            (database, who, TRANSACTION, self.rows[database].since)
            for (database, who), times in self.names.items()
            if times >= NAMED
            and self.of(database).mode == STATEMENT
            and who not in self.of(database).exceptions
            and not self.of(database).pinned
        ]
        fresh = [mind for mind in found if now - self.said.get(mind, NEVER) >= SAY_AGAIN_S]
        self.said = {mind: self.said[mind] for mind in found if mind in self.said}
        self.said.update(dict.fromkeys(fresh, now))
        return fresh

    def of(self, database: str) -> PoolModeRow:
        """What the fleet holds of a database.

        >>> PoolModes(PoolSettings()).of("books").mode
        'transaction'
        """
        return self.rows.get(database) or PoolModeRow(database, TRANSACTION)

    def judge(self, database: str, tally: Tally, now: float) -> list[tuple]:
        """What one database's tally says: nothing yet, nothing new, or another mode.

        >>> pool_modes = PoolModes(PoolSettings()); tally = Tally(0.0); tally.requests = 100
        >>> pool_modes.judge("books", tally, 1.0), pool_modes.judge("books", tally, 60.0)
        ([], [('books', '', 'statement', 0)])
        """
        row, settings = self.of(database), self.settings
        if row.pinned or tally.requests < LEAST_SEEN:
            return []
        share = tally.stateful / tally.requests
        long = settings.relax_s * 2 ** min(
            row.strikes, 10
        )  # each vote taken back makes the next take longer
        if row.mode == STATEMENT and share >= settings.tighten_share:
            return [(database, "", TRANSACTION, row.since)]
        if now - tally.since < long or tally.requests < settings.relax_requests:
            return []
        if row.mode == TRANSACTION and share <= settings.relax_share:
            return [(database, "", STATEMENT, row.since)]
        tally.requests, tally.stateful, tally.since = (
            0,
            0,
            now,
        )  # judged, and nothing new: a fresh window
        return []

    def report(self, sessions) -> list[dict]:
        """The modes here and how many sessions are in each, for the admin API.

        >>> PoolModes(PoolSettings()).report([])
        []
        """
        counts: dict[tuple, int] = {}
        for session in sessions:
            if session.database:
                key = (session.database, session.mode)
                counts[key] = counts.get(key, 0) + 1
        return [
            {
                "database": database,
                "mode": self.of(database).mode,
                "statement_sessions": counts.get((database, STATEMENT), 0),
                "transaction_sessions": counts.get((database, TRANSACTION), 0),
            }
            for database in sorted({*self.rows, *(database for database, _mode in counts)})
        ]
