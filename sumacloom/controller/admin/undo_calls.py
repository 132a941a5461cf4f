"""Undoing a change of the configuration: one order, and the table of the version that each node holds."""

import logging
from typing import TYPE_CHECKING, Any

from sumacloom.controller.admin.holders import NO_ANSWER
from sumacloom.controller.admin.routing import json_field, route
from sumacloom.controller.registers import CONFIGURATION_KEY
from sumacloom.controller.registers.configuration import (
    ConfigurationValue,
    current_value,
    undo_configuration,
)
from sumacloom.errors import BadRequestError
from sumacloom.http import Reply, Request, json_reply
from sumacloom.transport.messages import CONTROLLER_ROLE, POOLER_ROLE
from sumacloom.transport.update_cache import body_checksum

if TYPE_CHECKING:
    from sumacloom.controller.core import ControllerCore
    from sumacloom.controller.process import ControllerProcess

logger = logging.getLogger(__name__)


@route("POST", "/api/admin/undo")
async def post_undo(process: "ControllerProcess", request: Request) -> Reply:
    """Brings the body before a version back into force, as a new and higher version."""
    wrong = json_field(request, "generation")
    if type(wrong) is not int or wrong < 1:
        raise BadRequestError('the body must be {"generation": the one that is to be undone}')
    value = current_value(await process.commit(CONFIGURATION_KEY, undo_configuration(wrong)))
    undone, restored, ver = next(entry for entry in reversed(value.undos) if entry[0] == wrong)
    logger.info("the configuration %d is undone: %d restores %d", undone, ver, restored)
    return json_reply(
        200,
        {"undone": undone, "restores": restored, "generation": ver, "current": value.ver},
    )


def _row(
    node: str, role: str, version: int = 0, body: str = "", restores: int = 0, why: str = ""
) -> dict[str, Any]:
    return {
        "node": node,
        "role": role,
        "generation": version,
        "body": body,
        "restores": restores,
        "why": why,
    }


def version_rows(
    core: "ControllerCore", node: str, poolers: list[dict[str, Any]], now: float
) -> list[dict[str, Any]]:
    """What this controller, its poolers, and those that ended here without a goodbye hold."""
    cache, value = core.cache, core.committed_value(CONFIGURATION_KEY, ConfigurationValue)
    answered = {row["node"]: row for row in poolers}
    own = _row(
        node,
        CONTROLLER_ROLE,
        cache.digest().configuration,
        body_checksum(cache.compressed),
        value.restores if value else 0,
        "" if core.in_quorum(now) else "hears no majority",
    )
    rows = [own]
    for name, row in answered.items():
        why = "" if row["ready"] else "not ready"
        rows.append(_row(name, POOLER_ROLE, row["blueprint"], row["body"], why=why))
    silent = [name for name in core.members.sessions if name not in answered]
    rows += [_row(name, POOLER_ROLE, why=NO_ANSWER) for name in silent]
    lost = core.members.lost(now)
    rows += [
        _row(name, POOLER_ROLE, why=f"gone for {now - seen.at:.0f} s")
        for name, seen in lost.items()
    ]
    return rows


def one_per_node(rows: list[dict[str, Any]], unheard: list[str]) -> list[dict[str, Any]]:
    """Each node once: what it says itself goes before what others say; silent controllers by address.

    >>> rows = [{"node": "a", "generation": 0}, {"node": "a", "generation": 4}]
    >>> [row["generation"] for row in one_per_node(rows, [])]
    [4]
    """
    best: dict[str, dict[str, Any]] = {}
    for row in rows:
        known = best.get(row["node"], row)
        if row["generation"] >= known["generation"]:
            best[row["node"]] = row
    silent = [_row(address, CONTROLLER_ROLE, why="unheard") for address in unheard]
    return [best[node] for node in sorted(best)] + silent
