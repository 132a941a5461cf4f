"""Pool modes at the controllers: a register that each of them changes by its poolers' votes, in batches."""

from typing import TYPE_CHECKING, NamedTuple

import msgspec
from msgspec import structs

from sumacloom.consensus.codec import Change, decode, encode
from sumacloom.controller.registers import POOL_MODES_KEY
from sumacloom.errors import StaleVersionError
from sumacloom.transport.updates import PoolModeRow, PoolModeUpdate

if TYPE_CHECKING:
    from sumacloom.controller.core import ControllerCore

STATEMENT, TRANSACTION, AUTO = "statement", "transaction", "auto"
MODES = (STATEMENT, TRANSACTION)
BATCH_S = 2.0
MAX_EXCEPTIONS, MAX_STRIKES, MAX_ROWS, MAX_VOTES = 16, 10, 16_384, 512


class PoolModeVote(NamedTuple):
    """A pooler's judgement of a database, or of one user of it, made against a row of version `since`."""

    database: str
    user: str  # "" for the database itself
    mode: str
    since: int


class PoolModesValue(msgspec.Struct, array_like=True):
    """The register's value."""

    version: int = 0
    rows: list[PoolModeRow] = []

    def update(self) -> PoolModeUpdate:
        """As it goes to the poolers."""
        return PoolModeUpdate(self.version, 0, self.rows)

    def with_rows(self, rows: list[PoolModeRow]) -> "PoolModesValue":
        """The next version, with some rows replaced.

        >>> PoolModesValue().with_rows([PoolModeRow("books", "statement")]).rows[0].since
        1
        """
        version = self.version + 1
        changed = {row.database: structs.replace(row, since=version) for row in rows}
        retained = [row for row in self.rows if row.database not in changed]
        merged = sorted([*retained, *changed.values()], key=lambda row: row.database)
        return PoolModesValue(version, merged[:MAX_ROWS])


def apply_votes(votes: list[PoolModeVote]) -> Change:
    """The change that applies poolers' votes; tightenings come last, so that they stand.

    >>> value = apply_votes([PoolModeVote("books", "", "statement", 0)])(None)
    >>> decode(PoolModesValue, value).rows[0].mode
    'statement'
    """
    ordered = sorted(votes, key=lambda vote: vote.mode == TRANSACTION)

    def change(current: bytes | None) -> bytes | None:
        value = decode(PoolModesValue, current) or PoolModesValue()
        rows = {row.database: row for row in value.rows}
        changed: dict[str, PoolModeRow] = {}
        for vote in ordered:
            known = rows.get(vote.database)
            row = changed.get(vote.database) or known or PoolModeRow(vote.database, TRANSACTION)
            stale = (known or row).since != vote.since
            if row.pinned or stale:
                continue
            fresh = _apply_vote(row, vote, had_row=known is not None)
            if fresh is not row:
                changed[vote.database] = fresh
        return encode(value.with_rows(list(changed.values()))) if changed else None

    return change


def _apply_vote(row: PoolModeRow, vote: PoolModeVote, had_row: bool) -> PoolModeRow:
    """The row after one vote; the very same row if nothing changes."""
    if vote.user:
        if vote.user in row.exceptions or row.mode != STATEMENT:
            return row
        exceptions = [*row.exceptions, vote.user][-MAX_EXCEPTIONS:]
        return structs.replace(row, exceptions=exceptions)
    if vote.mode == row.mode:
        return row
    strike = vote.mode == TRANSACTION and had_row
    strikes = min(MAX_STRIKES, row.strikes + strike)
    return structs.replace(row, mode=vote.mode, strikes=strikes, exceptions=[])


def pin_mode(database: str, mode: str, base: int | None = None) -> Change:
    """The change of an operator: a mode that is not judged any more, or `auto` to judge it anew.

    >>> decode(PoolModesValue, pin_mode("books", "statement")(None)).rows[0].pinned
    True
    """
    pinned = mode != AUTO
    wanted = PoolModeRow(database, mode if pinned else TRANSACTION, pinned)

    def change(current: bytes | None) -> bytes | None:
        value = decode(PoolModesValue, current) or PoolModesValue()
        row = next((row for row in value.rows if row.database == database), None)
        if row and (row.mode, row.pinned) == (wanted.mode, wanted.pinned):
            return None
        if base is not None and base != value.version:
            raise StaleVersionError(f"the current version is {value.version}, not {base}")
        if row is None and not pinned:
            return None
        return encode(value.with_rows([wanted]))

    return change


class PoolModeVotes:
    """Gathers poolers' votes and proposes them every few seconds; a pooler repeats what was not taken."""

    def __init__(self, core: "ControllerCore", now: float):
        self._core = core
        self._votes: set[PoolModeVote] = set()
        self._proposed_at = now

    def receive(self, votes: list[tuple[str, str, str, int]]) -> None:
        """Votes of a pooler in session here."""
        if len(self._votes) + len(votes) <= MAX_VOTES:
            self._votes.update(PoolModeVote(*vote) for vote in votes)

    def on_timer(self, now: float) -> None:
        """Proposes what was gathered."""
        core = self._core
        if not self._votes or now - self._proposed_at < BATCH_S or not core.acceptor.recovered:
            return
        if core.is_busy(POOL_MODES_KEY) or not core.has_quorum_contact(now):
            return
        self._proposed_at = now
        votes = sorted(self._votes)
        self._votes.clear()
        core.propose(POOL_MODES_KEY, apply_votes(votes), now)
