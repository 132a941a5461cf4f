"""Commands that wait until the whole fleet agrees: undo, and who listens."""

import hashlib
import json
import os
import time
import urllib.parse

from sumacloom.cli import client, feed_reader
from sumacloom.cli.calls import ask, finish, print_rows, table
from sumacloom.errors import Err, Ok, Result, mishap


def undo(*, generation: int = 0, at: str = "", wait: float = 15.0, without: list[str] = []) -> int:
    """Undoes an edit of the blueprint: the one before is restored everywhere; waits until every node holds it.

    :param generation: the generation that is to be undone; else the one in force
    :param at: registrars to ask, IP:PORT,IP:PORT
    :param wait: how many seconds to wait for every node
    :param without: nodes that are known to be gone for good, and not waited for
    """
    if not generation:
        current = ask(at, "GET", "/api/config", dict)
        if current.is_err():
            return finish(current)
        generation = int(current.ok().get("ver", 0))
    undone = ask(
        at, "POST", "/api/admin/undo", dict, json.dumps({"generation": generation}).encode()
    )
    return finish(undone.and_then(lambda order: watch_undo(order, at, wait, set(without))), print)


def watch_undo(order: dict, at: str, wait: float, without: set) -> Result:
    """Waits until every node holds the restored generation, or a later one, and all hold the same bytes.

    >>> watch_undo({}, "nowhere", 0.0, set()).err().name
    'usage'
    """
    cutoff, wanted = time.monotonic() + wait, order.get("generation", 0)
    while True:
        rows = ask(at, "GET", "/api/admin/generations", list)
        if rows.is_err():
            return rows
        nodes = [row for row in rows.ok() if row.get("node") not in without]
        behind = [
            f"{row.get('node')} ({row.get('why') or 'at ' + str(row.get('generation'))})"
            for row in nodes
            if row.get("generation", 0) < wanted
        ]
        held = {(row.get("generation"), row.get("body")) for row in nodes}
        if nodes and not behind and len(held) == 1:
            newer = next(iter(held))[0]
            later = f"; {newer} is in force since" if newer != wanted else ""
            return Ok(
                f"the blueprint {order.get('undone')} is undone: {wanted} restores {order.get('restores')} "
                f"at all {len(nodes)} nodes{later}"
            )
        if time.monotonic() >= cutoff:
            return Err(
                mishap(
                    "undo_waiting",
                    f"the blueprint {wanted} restores {order.get('restores')}, "
                    f"but is not yet at {', '.join(behind) or 'all nodes alike'}",
                )
            )
        time.sleep(0.2)


def listen(
    name: str,
    database: str,
    *,
    into: str,
    count: int = 0,
    seconds: float = 0.0,
    at: str = "",
    wait: float = 15.0,
) -> int:
    """Listens to a database: each committed write comes once, as a line of the file, which is the cursor too.

    :param name: who listens; a name is taken by one listener
    :param database: the database
    :param into: the file that the items are appended to; the same file again goes on where it ended
    :param count: end after so many items; 0 goes on
    :param seconds: end after so long; 0 goes on
    :param at: registrars to ask, IP:PORT,IP:PORT
    :param wait: how many seconds to wait until every counter knows of the listener
    """
    token = hashlib.sha256(os.path.abspath(into).encode()).hexdigest()[:32]
    body = globals()["json"].dumps({"name": name, "database": database, "token": token}).encode()
    asked = ask(at, "POST", "/api/admin/listeners", dict, body)
    return finish(
        asked.and_then(lambda _row: await_listening(name, database, at, wait)).and_then(
            lambda _row: feed_reader.take_all(
                client.find_registrars(at).ok(), name, database, into, count, seconds
            )
        ),
        lambda taken: print(f"{taken} items taken"),
    )


def await_listening(name: str, database: str, at: str, wait: float) -> Result:
    """Waits until a listener that joins is known to every counter.

    >>> await_listening("desk", "books", "nowhere", 0.0).err().name
    'usage'
    """
    cutoff = time.monotonic() + wait
    while True:
        rows = ask(at, "GET", "/api/admin/listeners", list)
        if rows.is_err():
            return rows
        row = next(
            (
                row
                for row in rows.ok()
                if (row.get("name"), row.get("database")) == (name, database)
            ),
            {},
        )
        if row.get("state") in ("listening", "lapsed"):
            return Ok(row)
        if time.monotonic() >= cutoff:
            return Err(
                mishap(
                    "listeners_waiting",
                    f"{name} joins, but waits for {row.get('waits_for') or 'the registrars'}",
                )
            )
        time.sleep(0.2)


def unlisten(name: str, database: str, *, at: str = "") -> int:
    """Ends a listener.

    :param name: who listens
    :param database: the database
    :param at: registrars to ask, IP:PORT,IP:PORT
    """
    path = f"/api/admin/listeners/{urllib.parse.quote(database, safe='')}/{urllib.parse.quote(name, safe='')}"
    return finish(
        ask(at, "DELETE", path, dict),
        lambda _reply: print(f"{name} no longer listens to {database}"),
    )


def listeners(*, at: str = "", json: bool = False, nodes: bool = False) -> int:
    """Lists who listens, how far each is, and whom a joining one waits for.

    :param at: registrars to ask, IP:PORT,IP:PORT
    :param json: rows as JSON
    :param nodes: instead, which list each node holds; ends with 6 unless all hold the identical one
    """
    if not nodes:
        return table("listeners", at, json)
    rows = ask(at, "GET", "/api/admin/listening", list)
    code = finish(rows, print_rows(json))
    if code:
        return code
    behind, digests = feed_reader.agreement(rows.ok())
    if behind or len(digests) > 1:
        return finish(
            Err(
                mishap(
                    "listeners_waiting",
                    f"not all nodes hold the newest list: {', '.join(behind) or 'digests differ'}",
                )
            )
        )
    return 0
