"""The listeners' calls of the admin API: register, end, list, take items, and who holds which list."""

import json
import urllib.parse

import curio

from sumacloom.controller.admin.routes import decide_at_once, serves
from sumacloom.controller.delivery import subscribers
from sumacloom.controller.delivery.feed import acknowledge
from sumacloom.controller.registers.values import decode
from sumacloom.errors import Err, Ok, Result, mishap
from sumacloom.http import Reply, Request, json_reply, mishap_reply
from sumacloom.transport.update_cache import list_digest

LATER = (("Retry-After", "2"),)
STEP_S = 0.05
MOST_WAIT_S, MOST_TAKEN = 20.0, 200
MOST_NAME = 64


def word(value) -> bool:
    """Whether a value is a name: one word, not too long.

    >>> word("desk-1"), word("a b"), word(7)
    (True, False, False)
    """
    return (
        isinstance(value, str)
        and 0 < len(value) <= MOST_NAME
        and value.isprintable()
        and not set(value) & set(" /?#%")
    )


def refuse(found) -> Reply:
    """A mishap as a reply; what can't be decided now says when to come back.

    >>> refuse(mishap("no_majority")).headers
    (('Retry-After', '2'),)
    """
    reply = mishap_reply(found)
    return reply._replace(headers=LATER) if found.status == 503 else reply


async def order(shell, key: str, change, request: Request | None = None) -> Result:
    """A change, refused at once where no majority is heard; with a request, only while its caller waits."""
    if not shell.office.heard_majority(shell.now()):
        return Err(
            mishap(
                "no_majority", "no majority of the registrars is heard from here; come back in 2 s"
            )
        )
    return await (
        decide_at_once(shell, request, key, change) if request else shell.decide(key, change)
    )


def read_body(request: Request, known: set) -> Result:
    """Name, database and token of a call.

    >>> read_body(Request("POST", "/", {}, b"{}"), set()).err().name
    'bad_request'
    """
    try:
        body = json.loads(request.body)
        name, database, token = body["name"], body["database"], body.get("token", "")
    except (ValueError, KeyError, TypeError, AttributeError):
        return Err(
            mishap("bad_request", 'the body must be {"name": ..., "database": ..., "token": ...}')
        )
    if (
        not word(name)
        or not isinstance(database, str)
        or not isinstance(token, str)
        or len(token) > MOST_NAME
    ):
        return Err(
            mishap("bad_request", f"name and token are words of {MOST_NAME} letters at most")
        )
    if database not in known:
        return Err(mishap("unknown_database", f"the blueprint has no database '{database}'"))
    return Ok((name, database, token))


@serves("POST", r"/api/admin/listeners")
async def post_listener(shell, request: Request) -> Reply:
    """Somebody wants to listen; the same call again is the same listener."""
    blueprint = shell.office.board.blueprint
    read = read_body(request, {route.host for route in blueprint.routes} if blueprint else set())
    if read.is_err():
        return refuse(read.err())
    name, database, token = read.ok()
    result = await order(
        shell, subscribers.KEY, subscribers.subscribe(name, database, token), request
    )
    if result.is_err():
        return refuse(result.err())
    value = decode(subscribers.Listeners, result.ok()[1])
    row = value.find(name, database)
    return json_reply(
        200,
        {
            "name": name,
            "database": database,
            "generation": value.generation,
            "state": row.state if row else "ended",
        },
    )


@serves("DELETE", r"/api/admin/listeners/([^/]+)/([^/]+)")
async def delete_listener(shell, request: Request, database: str, name: str) -> Reply:
    """Ends a listener by a recorded order."""
    result = await order(
        shell, subscribers.KEY, subscribers.unsubscribe(name, database, "asked"), request
    )
    if result.is_err():
        return refuse(result.err())
    return json_reply(200, {"name": name, "database": database, "state": "ended"})


def read_query(path: str) -> Result:
    """The numbers of a taking: cursor, wait, most.

    >>> read_query("/x?cursor=4&wait=1").ok()
    (4, 1.0, 200)
    >>> read_query("/x?cursor=four").err().name
    'bad_request'
    """
    found = dict(urllib.parse.parse_qsl(path.partition("?")[2]))
    try:
        cursor, wait, most = (
            int(found.get("cursor", 0)),
            float(found.get("wait", 0)),
            int(found.get("most", MOST_TAKEN)),
        )
    except ValueError:
        return Err(mishap("bad_request", "cursor, wait and most must be numbers"))
    if cursor < 0 or not wait >= 0 or most < 1:
        return Err(mishap("bad_request", "cursor, wait and most must not be below 0, 0 and 1"))
    return Ok((cursor, min(wait, MOST_WAIT_S), min(most, MOST_TAKEN)))


def standing(office, name: str, database: str) -> Result:
    """Whether a listener may take: Ok(its row), or why not."""
    row = subscribers.held(office).find(name, database)
    if row is None:
        return Err(mishap("no_listener", f"nobody called '{name}' listens to '{database}'"))
    feed = subscribers.feed_of(office, database)
    missed = feed.lapsed.get(name, row.missed if row.state == "lapsed" else None)
    if missed is not None:
        return Err(
            mishap("lapsed", f"the listener was too slow and missed {missed} items; listen anew")
        )
    return Ok(row)


@serves("GET", r"/api/admin/items/([^/]+)/([^/]+)")
async def get_items(shell, request: Request, database: str, name: str) -> Reply:
    """A long poll: the cursor acknowledges all below it, and what follows comes, each item once."""
    office, query = shell.office, read_query(request.path)
    row = standing(office, name, database)
    if query.is_err() or row.is_err():
        return refuse(query.err() if query.is_err() else row.err())
    cursor, wait, most = query.ok()
    key, cutoff = subscribers.FEEDS + database, shell.now() + wait
    while True:
        row, feed = standing(office, name, database), subscribers.feed_of(office, database)
        if row.is_err():
            return refuse(row.err())
        acknowledged = feed.cursors.get(name)
        if acknowledged is not None and cursor and cursor != acknowledged:
            result = await order(shell, key, acknowledge(name, cursor))
            if result.is_err():
                return refuse(result.err())
            feed = subscribers.feed_of(office, database)
        start = cursor or acknowledged or 0
        items = (
            [item for item in feed.items if item.number >= start][:most]
            if acknowledged is not None
            else []
        )
        if items or shell.now() >= cutoff:
            return json_reply(
                200,
                {
                    "state": row.ok().state,
                    "cursor": items[-1].number + 1 if items else start,
                    "items": [
                        {"number": item.number, "text": item.text, "doubtful": item.doubtful}
                        for item in items
                    ],
                },
            )
        await curio.sleep(STEP_S)


def list_rows(office, now: float) -> list[dict]:
    """The listeners, how far each is, and whom a joining one waits for."""
    rows = []
    for row in subscribers.held(office).rows:
        feed = subscribers.feed_of(office, row.database)
        cursor = feed.cursors.get(row.name)
        waits = office.members.unaware(row.since, now) if row.state == "joining" else []
        rows.append(
            {
                "name": row.name,
                "database": row.database,
                "state": row.state,
                "cursor": cursor or 0,
                "behind": feed.next - cursor if cursor else 0,
                "missed": feed.lapsed.get(row.name, row.missed),
                "waits_for": ",".join(waits),
            }
        )
    return rows


def node_rows(office, node: str, reports: list[dict]) -> list[dict]:
    """Which list this registrar and its counters hold; who does not answer, or is lost without a word, holds none."""
    held, told = office.board.listeners, [report["counter"] for report in reports]
    silent = {*office.members.sessions, *office.members.lost(office.now)} - {
        row["node"] for row in told
    }
    return [
        {
            "node": node,
            "role": "registrar",
            "generation": held.generation,
            "digest": list_digest(held),
            "spooled": len(office.spool.entries),
            "why": "",
        },
        *(
            {
                "node": row["node"],
                "role": "counter",
                "generation": row["listeners"],
                "digest": row["listeners_digest"],
                "spooled": row["unnoted"],
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
                "spooled": 0,
                "why": "does not answer",
            }
            for name in sorted(silent)
        ),
    ]
