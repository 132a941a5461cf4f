"""Commands of the pool modes: show, set, and whether all nodes hold the same."""

import json as json_library

from sumacloom.cli.calls import ask, finish, print_rows, table
from sumacloom.errors import Err, mishap


def show(*, at: str = "", json: bool = False, nodes: bool = False, sessions: bool = False) -> int:
    """Lists the databases that were judged or pinned; those not named are in transaction mode.

    :param at: registrars to ask, IP:PORT,IP:PORT
    :param json: rows as JSON
    :param nodes: instead, which judgement each node holds; ends with 6 unless all hold the identical one
    :param sessions: instead, how many sessions each counter has in each mode
    """
    if not nodes:
        return table("sharing" if sessions else "pooling", at, json)
    rows = ask(at, "GET", "/api/admin/poolers", list)
    code = finish(rows, print_rows(json))
    if code:
        return code
    newest = max((row.get("generation", 0) for row in rows.ok()), default=0)
    digests = {row.get("digest") for row in rows.ok()}
    behind = [
        row.get("node") or "?"
        for row in rows.ok()
        if row.get("generation", 0) < newest or not row.get("digest")
    ]
    if behind or len(digests) > 1:
        return finish(
            Err(
                mishap(
                    "pooling_waiting",
                    f"not all nodes hold the newest pool modes: "
                    f"{', '.join(behind) or 'digests differ'}",
                )
            )
        )
    return 0


def set_mode(database: str, mode: str, *, base: int = -1, at: str = "") -> int:
    """Pins the mode of a database's sessions, or has it judged again.

    :param database: the database
    :param mode: statement, transaction, or auto
    :param base: only if this is the generation of the pool modes; else whatever it is
    :param at: registrars to ask, IP:PORT,IP:PORT
    """
    body = json_library.dumps({"database": database, "mode": mode}).encode()
    headers = {"If-Match": str(base)} if base >= 0 else {}
    return finish(
        ask(at, "PUT", "/api/admin/pooling", dict, body, headers),
        lambda reply: print(
            f"{database} is {'judged from what its sessions do' if mode == 'auto' else 'in ' + mode + ' mode'}, "
            f"generation {reply['generation']}"
        ),
    )
