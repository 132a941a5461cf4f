"""The pool modes' call of the admin API, and their tables."""

import json
from typing import TYPE_CHECKING, Any

from sumacloom.consensus.codec import decode
from sumacloom.controller.admin.holders import holder_row, unanswered_rows
from sumacloom.controller.admin.orders import commit_order
from sumacloom.controller.admin.routing import parse_if_match, route
from sumacloom.controller.policy.pool_modes import AUTO, MODES, PoolModesValue, pin_mode
from sumacloom.controller.registers import POOL_MODES_KEY
from sumacloom.errors import BadRequestError, UnknownDatabaseError, UnknownPoolModeError
from sumacloom.http import Reply, Request, json_reply
from sumacloom.transport.messages import CONTROLLER_ROLE, POOLER_ROLE
from sumacloom.transport.update_cache import pool_modes_checksum

if TYPE_CHECKING:
    from sumacloom.controller.core import ControllerCore
    from sumacloom.controller.process import ControllerProcess


@route("PUT", "/api/admin/pooling")
async def put_mode(process: "ControllerProcess", request: Request) -> Reply:
    """Pins a database's mode, or has it judged again."""
    try:
        body = json.loads(request.body)
        database, mode = body["database"], body["mode"]
    except (ValueError, KeyError, TypeError):
        raise BadRequestError('the body must be {"database": ..., "mode": ...}') from None
    if database not in process.core.cache.databases():
        raise UnknownDatabaseError(f"the configuration has no database '{database}'")
    if mode not in (*MODES, AUTO):
        raise UnknownPoolModeError(f"'{mode}' is none of {', '.join(MODES)}, {AUTO}")
    base = parse_if_match(request)
    if base is None and request.headers.get("if-match"):
        raise BadRequestError("If-Match must be a version")
    change = pin_mode(database, mode, base)
    value = await commit_order(process, request, POOL_MODES_KEY, change)
    version = (decode(PoolModesValue, value) or PoolModesValue()).version
    return json_reply(200, {"database": database, "mode": mode, "generation": version})


def pool_mode_rows(core: "ControllerCore") -> list[dict[str, Any]]:
    """The modes as this controller holds them."""
    return [
        {
            "database": row.database,
            "mode": row.mode,
            "judged": not row.pinned,
            "exceptions": ",".join(row.exceptions),
            "strikes": row.strikes,
            "generation": row.since,
        }
        for _database, row in sorted(core.cache.pool_modes.items())
    ]


def holder_rows(
    core: "ControllerCore", node: str, poolers: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    """Which modes this controller and its poolers hold; who does not answer, or is lost, holds none."""
    own = holder_row(
        node,
        CONTROLLER_ROLE,
        core.cache.pool_modes_version,
        pool_modes_checksum(core.cache.pool_modes),
    )
    answered = [
        holder_row(row["node"], POOLER_ROLE, row["pooling"], row["pooling_digest"])
        for row in poolers
    ]
    return [own, *answered, *unanswered_rows(core, poolers)]
