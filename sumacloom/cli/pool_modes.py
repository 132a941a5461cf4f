"""Commands of the pool modes: show, set, and whether all nodes hold the same."""

import json as json_library

from sumacloom.cli.calls import call, command, rows_printer, show_table
from sumacloom.errors import PoolModesPendingError


@command
def show(*, at: str = "", json: bool = False, nodes: bool = False, sessions: bool = False) -> None:
    """Lists the databases that were judged or pinned; those not named are in transaction mode.

    :param at: controllers to ask, IP:PORT,IP:PORT
    :param json: rows as JSON
    :param nodes: instead, which modes each node holds; ends with 6 unless all hold the identical ones
    :param sessions: instead, how many sessions each pooler has in each mode
    """
    if not nodes:
        show_table("sharing" if sessions else "pooling", at, json)
        return
    rows = call(at, "GET", "/api/admin/poolers", list)
    rows_printer(json)(rows)
    newest = max((row.get("generation", 0) for row in rows), default=0)
    digests = {row.get("digest") for row in rows}
    behind = [
        row.get("node") or "?"
        for row in rows
        if row.get("generation", 0) < newest or not row.get("digest")
    ]
    if behind or len(digests) > 1:
        why = ", ".join(behind) or "digests differ"
        raise PoolModesPendingError(f"not all nodes hold the newest pool modes: {why}")


@command
def set_mode(database: str, mode: str, *, base: int = -1, at: str = "") -> None:
    """Pins the mode of a database's sessions, or has it judged again.

    :param database: the database
    :param mode: statement, transaction, or auto
    :param base: only if this is the version of the pool modes; else whatever it is
    :param at: controllers to ask, IP:PORT,IP:PORT
    """
    body = json_library.dumps({"database": database, "mode": mode}).encode()
    headers = {"If-Match": str(base)} if base >= 0 else {}
    reply = call(at, "PUT", "/api/admin/pooling", dict, body, headers)
    how = "judged from what its sessions do" if mode == "auto" else f"in {mode} mode"
    print(f"{database} is {how}, version {reply['generation']}")
