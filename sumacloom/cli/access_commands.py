"""Commands of the access list: set, show, check, counts."""

import time
import urllib.parse

from sumacloom.cli import client
from sumacloom.cli.calls import ask, finish, print_rows
from sumacloom.errors import Err, Ok, Result, mishap

COUNTS = ("logins_allowed", "logins_denied", "requests_allowed", "requests_denied")


def set_list(file: str, *, base: int = -1, at: str = "", wait: float = 15.0) -> int:
    """Puts an access list into force; waits until every counter enforces it.

    :param file: the list, JSON
    :param base: the generation it builds on, 0 for the first; else the newest there is
    :param at: registrars to ask, IP:PORT,IP:PORT
    :param wait: how many seconds to wait for every counter
    """
    try:
        with open(file, "rb") as opened:
            raw = opened.read()
    except OSError as error:
        return finish(Err(mishap("usage", f"the file can't be read: {error}")))
    if base < 0:
        state = ask(at, "GET", "/api/admin/access/state", dict)
        if state.is_err():
            return finish(state)
        base = int(state.ok().get("newest", 0))
    headers = {"Content-Type": "application/json", "If-Match": str(base)}
    offered = ask(at, "PUT", "/api/admin/access", dict, raw, headers)
    return finish(offered.and_then(lambda reply: watch(reply, at, wait)), print)


def watch(offered: dict, at: str, wait: float) -> Result:
    """Waits until every counter enforces a list, or a later one.

    >>> watch({}, "nowhere", 0.0).err().name
    'usage'
    """
    cutoff, generation = time.monotonic() + wait, offered.get("generation", 0)
    while True:
        counters = ask(at, "GET", "/api/admin/counters", list)
        if counters.is_err():
            return counters
        behind = [
            row.get("node", "?") for row in counters.ok() if row.get("access", 0) < generation
        ]
        if not behind and counters.ok():
            unknown = offered.get("not_routed") or []
            note = f"; no route names {', '.join(unknown)}" if unknown else ""
            return Ok(
                f"the access list {generation} is in force at {len(counters.ok())} counters{note}"
            )
        if time.monotonic() >= cutoff:
            return Err(
                mishap(
                    "access_waiting",
                    f"the access list {generation} still waits for "
                    f"{', '.join(behind) or 'the counters'}",
                )
            )
        time.sleep(0.2)


def show(*, at: str = "", offered: bool = False) -> int:
    """Prints the access list in force, whole.

    :param at: registrars to ask, IP:PORT,IP:PORT
    :param offered: the one that is offered, not yet in force
    """
    path = "/api/admin/access" + ("?offered" if offered else "")
    found = client.find_registrars(at).and_then(
        lambda addresses: client.call(addresses, "GET", path)
    )
    return finish(found, lambda outcome: print(outcome.body.decode("utf-8", "replace")))


def check(*, database: str, address: str, at: str = "") -> int:
    """Tells what the list in force says of one caller and one database; nothing is sent or counted. Ends with 7 if denied.

    :param database: the database
    :param address: the caller's IP address
    :param at: registrars to ask, IP:PORT,IP:PORT
    """
    query = urllib.parse.urlencode({"database": database, "address": address})
    found = ask(at, "GET", f"/api/admin/access/check?{query}", dict)
    code = finish(
        found,
        lambda row: print(
            f"{'allowed' if row['allowed'] else 'denied'} by the rule {row['rule']} of the list {row['generation']}: "
            f"{row['address']} is in {row['region']}{'' if row['routed'] else '; no route names ' + row['database']}"
        ),
    )
    return code or (0 if found.ok()["allowed"] else 7)


def counts(*, at: str = "", nodes: bool = False, json: bool = False) -> int:
    """Counts logins and requests allowed and denied by each rule, of the list in force and the one before.

    :param at: registrars to ask, IP:PORT,IP:PORT
    :param nodes: a row for each counter, not only the sum
    :param json: rows as JSON
    """
    rows = ask(at, "GET", "/api/admin/access/counts", list)
    return finish(rows.map(lambda found: found if nodes else sum_up(found)), print_rows(json))


def sum_up(rows: list[dict]) -> list[dict]:
    """The counts of all nodes together.

    >>> row = {"node": "a", "generation": 1, "rule": "home", **dict.fromkeys(COUNTS, 2)}
    >>> sum_up([row, {**row, "node": "b"}])[0]["requests_denied"]
    4
    """
    keys = dict.fromkeys((row["generation"], row["rule"]) for row in rows)
    return [
        {
            "generation": generation,
            "rule": rule,
            "nodes": len(found),
            **{name: sum(row[name] for row in found) for name in COUNTS},
        }
        for generation, rule in keys
        for found in [
            [row for row in rows if (row["generation"], row["rule"]) == (generation, rule)]
        ]
    ]
