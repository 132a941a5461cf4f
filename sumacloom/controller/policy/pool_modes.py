"""Pool modes at the registrars: a register that every registrar changes by what its counters say, in batches."""

import json

import msgspec

from sumacloom.controller.admin.routes import decide_at_once, read_base, serves
from sumacloom.controller.registers.values import decode, encode
from sumacloom.errors import Err, Ok, mishap
from sumacloom.http import Reply, Request, json_reply, mishap_reply
from sumacloom.logs import Scribe
from sumacloom.transport.update_cache import pool_digest
from sumacloom.transport.updates import PoolNews, PoolRow

scribe = Scribe("pooling")
KEY = "pooling"
MODES = ("statement", "transaction")
BATCH_S = 2.0
MOST_EXCEPTIONS, MOST_STRIKES, MOST_ROWS, MOST_MINDS = 16, 10, 16_384, 512


class PoolValue(msgspec.Struct, array_like=True):
    generation: int = 0
    rows: list[PoolRow] = []

    def news(self) -> PoolNews:
        """As it goes to the boards.

        >>> PoolValue(4, []).news().generation
        4
        """
        return PoolNews(self.generation, 0, self.rows)


def put(value: PoolValue, rows: list[PoolRow]) -> bytes:
    """A value with some rows replaced, as the next generation.

    >>> decode(PoolValue, put(PoolValue(), [PoolRow("books", "statement")])).rows[0].since
    1
    """
    generation = value.generation + 1
    changed = {row.database: msgspec.structs.replace(row, since=generation) for row in rows}
    kept = [row for row in value.rows if row.database not in changed]
    return encode(
        PoolValue(
            generation, sorted([*kept, *changed.values()], key=lambda row: row.database)[:MOST_ROWS]
        )
    )


def judge(minds: list[tuple]):
    """The change that applies counters' judgements, tightenings last so that they stand; stale ones change nothing.

    >>> value = judge([("books", "", "statement", 0)])(None).ok(); decode(PoolValue, value).rows[0].mode
    'statement'
    >>> back = judge([("books", "", "transaction", 1)])(value).ok(); decode(PoolValue, back).rows[0].strikes
    1
    """

    def change(current_bytes):
        current = decode(PoolValue, current_bytes) or PoolValue()
        rows = {row.database: row for row in current.rows}
        changed = {}
        for database, who, mode, since in sorted(minds, key=lambda mind: mind[2] == "transaction"):
            row = changed.get(database) or rows.get(database) or PoolRow(database, "transaction")
            if row.pinned or rows.get(database, row).since != since:
                continue
            if who:
                if who not in row.exceptions and row.mode == "statement":
                    changed[database] = msgspec.structs.replace(
                        row, exceptions=[*row.exceptions, who][-MOST_EXCEPTIONS:]
                    )
            elif mode != row.mode:
                strikes = min(
                    MOST_STRIKES, row.strikes + (mode == "transaction" and database in rows)
                )
                changed[database] = msgspec.structs.replace(
                    row, mode=mode, strikes=strikes, exceptions=[]
                )
        return Ok(put(current, list(changed.values())) if changed else None)

    return change


def pin(database: str, mode: str, base: int | None = None):
    """The change of an operator: a mode that is not judged any more, or `auto` to judge it anew.

    >>> value = pin("books", "statement")(None).ok(); decode(PoolValue, value).rows[0].pinned
    True
    >>> pin("books", "auto", base=0)(value).err().name
    'stale_match'
    """

    def change(current_bytes):
        current = decode(PoolValue, current_bytes) or PoolValue()
        row = next((row for row in current.rows if row.database == database), None)
        wanted = PoolRow(database, "transaction" if mode == "auto" else mode, mode != "auto")
        if row and (row.mode, row.pinned) == (wanted.mode, wanted.pinned):
            return Ok(None)
        if base is not None and base != current.generation:
            return Err(
                mishap("stale_match", f"the current generation is {current.generation}, not {base}")
            )
        if row is None and mode == "auto":
            return Ok(None)
        return Ok(put(current, [wanted]))

    return change


def mind_pooling(office, now: float) -> None:
    """Proposes what the counters in session here have changed their minds on, every few seconds."""
    if not office.minds or now - office.minded_at < BATCH_S or not office.acceptor.learned:
        return
    if any(proposal.key == KEY for proposal in office.proposals) or not office.heard_majority(now):
        return
    office.minded_at, minds = now, sorted(office.minds)
    office.minds.clear()
    office.propose(KEY, judge(minds), now)


def hear_minds(office, minds: list[tuple]) -> None:
    """Judgements of a counter, kept until the next batch; a counter says again what was not taken."""
    if len(office.minds) + len(minds) <= MOST_MINDS:
        office.minds.update(map(tuple, minds))


def own_rows(office) -> list[dict]:
    """The modes as this registrar holds them."""
    return [
        {
            "database": row.database,
            "mode": row.mode,
            "judged": not row.pinned,
            "exceptions": ",".join(row.exceptions),
            "strikes": row.strikes,
            "generation": row.since,
        }
        for _name, row in sorted(office.board.pool_rows.items())
    ]


def node_rows(office, node: str, reports: list[dict]) -> list[dict]:
    """Which judgement this registrar and its counters hold; who does not answer, or is lost without a word, holds none."""
    told = [report["counter"] for report in reports]
    silent = {*office.members.sessions, *office.members.lost(office.now)} - {
        row["node"] for row in told
    }
    return [
        {
            "node": node,
            "role": "registrar",
            "generation": office.board.pooling,
            "digest": pool_digest(office.board.pool_rows),
            "why": "",
        },
        *(
            {
                "node": row["node"],
                "role": "counter",
                "generation": row["pooling"],
                "digest": row["pooling_digest"],
                "why": "",
            }
            for row in told
        ),
        *(
            {
                "node": name,
                "role": "counter",
                "generation": 0,
                "digest": "",
                "why": "does not answer",
            }
            for name in sorted(silent)
        ),
    ]


@serves("PUT", r"/api/admin/pooling")
async def put_mode(shell, request: Request) -> Reply:
    """Pins a database's mode, or has it judged again."""
    try:
        body = json.loads(request.body)
        database, mode = body["database"], body["mode"]
    except (ValueError, KeyError, TypeError):
        return mishap_reply(
            mishap("bad_request", 'the body must be {"database": ..., "mode": ...}')
        )
    blueprint = shell.office.board.blueprint
    if database not in {route.host for route in blueprint.routes} if blueprint else True:
        return mishap_reply(
            mishap("unknown_database", f"the blueprint has no database '{database}'")
        )
    if mode not in (*MODES, "auto"):
        return mishap_reply(mishap("unknown_mode", f"'{mode}' is none of {', '.join(MODES)}, auto"))
    base = read_base(request)
    if base is None and request.headers.get("if-match"):
        return mishap_reply(mishap("bad_request", "If-Match must be a generation"))
    result = await decide_at_once(shell, request, KEY, pin(database, mode, base))
    if result.is_err():
        return mishap_reply(result.err())
    value = decode(PoolValue, result.ok()[1]) or PoolValue()
    return json_reply(200, {"database": database, "mode": mode, "generation": value.generation})
