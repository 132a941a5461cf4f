"""Commands of the access list: set, show, check, counts."""

import urllib.parse
from typing import Any

from sumacloom.cli import client
from sumacloom.cli.calls import Deadline, Rows, call, command, rows_printer
from sumacloom.cli.files import read_file
from sumacloom.errors import AccessListPendingError

COUNT_COLUMNS = ("logins_allowed", "logins_denied", "requests_allowed", "requests_denied")
EXIT_DENIED = 7


@command
def set_list(file: str, *, base: int = -1, at: str = "", wait: float = 15.0) -> None:
    """Puts an access list into force; waits until every pooler enforces it.

    :param file: the list, JSON
    :param base: the version it builds on, 0 for the first; else the newest there is
    :param at: controllers to ask, IP:PORT,IP:PORT
    :param wait: how many seconds to wait for every pooler
    """
    body = read_file(file)
    if base < 0:
        base = int(call(at, "GET", "/api/admin/access/state", dict).get("newest", 0))
    headers = {"Content-Type": "application/json", "If-Match": str(base)}
    offered = call(at, "PUT", "/api/admin/access", dict, body, headers)
    print(await_enforced(offered, at, wait))


def await_enforced(offered: dict[str, Any], at: str, wait_s: float) -> str:
    """Waits until every pooler enforces a list, or a later one; returns a sentence.

    Raises:
        AccessListPendingError: not all of them do in time.
    """
    deadline, version = Deadline(wait_s), offered.get("generation", 0)
    while True:
        poolers = call(at, "GET", "/api/admin/counters", list)
        behind = [row.get("node", "?") for row in poolers if row.get("access", 0) < version]
        if poolers and not behind:
            unknown = offered.get("not_routed") or []
            note = f"; no route names {', '.join(unknown)}" if unknown else ""
            return f"the access list {version} is in force at {len(poolers)} poolers{note}"
        waits_for = ", ".join(behind) or "the poolers"
        deadline.wait_or_raise(
            AccessListPendingError(f"the access list {version} still waits for {waits_for}")
        )


@command
def show(*, at: str = "", offered: bool = False) -> None:
    """Prints the access list in force, whole.

    :param at: controllers to ask, IP:PORT,IP:PORT
    :param offered: the one that is offered, not yet in force
    """
    path = "/api/admin/access" + ("?offered" if offered else "")
    reply = client.call(client.find_controllers(at), "GET", path)
    print(reply.body.decode("utf-8", "replace"))


@command
def check(*, database: str, address: str, at: str = "") -> int:
    """Tells what the list in force says of one caller and one database; ends with 7 if denied.

    Nothing is sent or counted.

    :param database: the database
    :param address: the caller's IP address
    :param at: controllers to ask, IP:PORT,IP:PORT
    """
    query = urllib.parse.urlencode({"database": database, "address": address})
    row = call(at, "GET", f"/api/admin/access/check?{query}", dict)
    verdict = "allowed" if row["allowed"] else "denied"
    note = "" if row["routed"] else f"; no route names {database}"
    print(
        f"{verdict} by the rule {row['rule']} of the list {row['generation']}: "
        f"{row['address']} is in {row['region']}{note}"
    )
    return 0 if row["allowed"] else EXIT_DENIED


@command
def counts(*, at: str = "", nodes: bool = False, json: bool = False) -> None:
    """Counts logins and requests allowed and denied by each rule, of the list in force and the one before.

    :param at: controllers to ask, IP:PORT,IP:PORT
    :param nodes: a row for each pooler, not only the sum
    :param json: rows as JSON
    """
    rows = call(at, "GET", "/api/admin/access/counts", list)
    rows_printer(json)(rows if nodes else sum_up(rows))


def sum_up(rows: Rows) -> Rows:
    """The counts of all nodes together.

    >>> row = {"node": "a", "generation": 1, "rule": "home", **dict.fromkeys(COUNT_COLUMNS, 2)}
    >>> sum_up([row, {**row, "node": "b"}])[0]["requests_denied"]
    4
    """
    groups: dict[tuple[int, str], Rows] = {}
    for row in rows:
        groups.setdefault((row["generation"], row["rule"]), []).append(row)
    return [
        {
            "generation": version,
            "rule": rule,
            "nodes": len(group),
            **{column: sum(row[column] for row in group) for column in COUNT_COLUMNS},
        }
        for (version, rule), group in groups.items()
    ]
