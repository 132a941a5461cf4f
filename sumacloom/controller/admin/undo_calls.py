"""Undoing an edit of the blueprint: one order, and the table that shows which generation each node holds."""

import json

from sumacloom.controller.admin.routes import serves
from sumacloom.controller.registers.values import BlueprintValue, decode, undo_blueprint
from sumacloom.errors import mishap
from sumacloom.http import Reply, Request, json_reply, mishap_reply
from sumacloom.logs import Scribe
from sumacloom.transport.update_cache import body_digest

scribe = Scribe("undo")


@serves("POST", r"/api/admin/undo")
async def post_undo(shell, request: Request) -> Reply:
    """Brings the body before a generation back into force, as a new and higher generation."""
    try:
        wrong = json.loads(request.body)["generation"]
    except (ValueError, KeyError, TypeError):
        wrong = None
    if type(wrong) is not int or wrong < 1:
        return mishap_reply(
            mishap("bad_request", 'the body must be {"generation": the one that is to be undone}')
        )
    result = await shell.decide("blueprint", undo_blueprint(wrong))
    if result.is_err():
        return mishap_reply(result.err())
    value = decode(BlueprintValue, result.ok()[1])
    undone, old, ver = next(entry for entry in reversed(value.undos) if entry[0] == wrong)
    scribe.say("the blueprint %d is undone: %d restores %d", undone, ver, old)
    return json_reply(
        200, {"undone": undone, "restores": old, "generation": ver, "current": value.ver}
    )


def own_rows(office, node: str, reports: list[dict], sessions: list[str], now: float) -> list[dict]:
    """What this registrar, its counters, and those that ended here without a word hold."""
    board = office.board
    value = (
        decode(BlueprintValue, office.decided["blueprint"][1])
        if "blueprint" in office.decided
        else None
    )
    told = {report["counter"]["node"]: report["counter"] for report in reports}
    return [
        {
            "node": node,
            "role": "registrar",
            "generation": board.digest().blueprint,
            "body": body_digest(board.packed),
            "restores": value.restores if value else 0,
            "why": "" if office.settled(now) else "hears no majority",
        },
        *(
            {
                "node": name,
                "role": "counter",
                "generation": row["blueprint"],
                "body": row["body"],
                "restores": 0,
                "why": "" if row["ready"] else "not ready",
            }
            for name, row in told.items()
        ),
        *(
            {
                "node": name,
                "role": "counter",
                "generation": 0,
                "body": "",
                "restores": 0,
                "why": "does not answer",
            }
            for name in sessions
            if name not in told
        ),
        *(
            {
                "node": name,
                "role": "counter",
                "generation": 0,
                "body": "",
                "restores": 0,
                "why": f"gone for {now - since:.0f} s",
            }
            for name, (_zone, since) in office.members.lost(now).items()
        ),
    ]


def one_per_node(rows: list[dict], unheard: list[str]) -> list[dict]:
    """Each node once: what it says itself goes before what others say of it; silent registrars by address.

    >>> [row["generation"] for row in one_per_node([{"node": "a", "generation": 0}, {"node": "a", "generation": 4}], [])]
    [4]
    """
    best = {}
    for row in rows:
        if row["generation"] >= best.get(row["node"], row)["generation"]:
            best[row["node"]] = row
    silent = [
        {
            "node": address,
            "role": "registrar",
            "generation": 0,
            "body": "",
            "restores": 0,
            "why": "unheard",
        }
        for address in unheard
    ]
    return [best[node] for node in sorted(best)] + silent
