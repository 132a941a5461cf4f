"""The priority databases' call of the admin API."""

from typing import TYPE_CHECKING, Any

from sumacloom.consensus.codec import decode
from sumacloom.controller.admin.orders import commit_order
from sumacloom.controller.admin.routing import json_field, route
from sumacloom.controller.policy import priority
from sumacloom.controller.registers import PRIORITY_KEY
from sumacloom.errors import BadRequestError, UnknownDatabaseError
from sumacloom.http import Reply, Request, json_reply

if TYPE_CHECKING:
    from sumacloom.controller.core import ControllerCore
    from sumacloom.controller.process import ControllerProcess


@route("PUT", "/api/admin/lanes")
async def put_priority(process: "ControllerProcess", request: Request) -> Reply:
    """Offers the set of priority databases; it comes into force once every pooler holds it."""
    databases = _parse_databases(request)
    unknown = sorted(set(databases) - process.core.cache.databases())
    if unknown:
        raise UnknownDatabaseError(f"the configuration has no database '{unknown[0]}'")
    value = await commit_order(process, request, PRIORITY_KEY, priority.offer(databases))
    found = decode(priority.PriorityValue, value)
    return json_reply(
        200,
        {
            "generation": found.version if found else 0,
            "databases": sorted(set(databases)),
            "in_force": found.in_force if found else True,
        },
    )


def _parse_databases(request: Request) -> list[str]:
    error = BadRequestError('the body must be {"databases": [names]}')
    databases = json_field(request, "databases")
    if not isinstance(databases, list) or len(databases) > priority.MAX_DATABASES:
        raise error
    if not all(isinstance(name, str) and name and " " not in name for name in databases):
        raise error
    return databases


def priority_rows(core: "ControllerCore", now: float) -> list[dict[str, Any]]:
    """A row for each database that has, or will have, priority."""
    held = core.cache.priority
    offered = held.order > 0 and held.order % 2 == 0
    waits_for = ",".join(core.members.without_priority(held.order, now)) if offered else ""
    return [
        {
            "database": database,
            "generation": held.order // 2,
            "in_force": database in held.databases,
            "offered": database in held.offered,
            "waits_for": waits_for,
        }
        for database in sorted({*held.databases, *held.offered})
    ]
