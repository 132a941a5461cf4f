"""The fleet's tables and the log level, as calls of the admin API."""

from typing import TYPE_CHECKING

from sumacloom.controller.admin.routing import json_field, route
from sumacloom.controller.admin.tables import TABLES
from sumacloom.errors import BadRequestError, NotFoundError
from sumacloom.http import Reply, Request, json_reply
from sumacloom.logs import LEVELS
from sumacloom.transport.messages import SetLogLevel

if TYPE_CHECKING:
    from sumacloom.controller.process import ControllerProcess

LOG_LEVEL_PATH = "/api/admin/log-level"


@route("GET", "/api/admin/fleet")
async def get_fleet(process: "ControllerProcess", request: Request) -> Reply:
    """All tables."""
    return json_reply(200, await process.tables.gather())


@route("GET", "/api/admin/([a-z]+)")
async def get_table(process: "ControllerProcess", request: Request, name: str) -> Reply:
    """One table."""
    if name not in TABLES:
        raise NotFoundError(f"there is no table '{name}'")
    tables = await process.tables.gather()
    return json_reply(200, tables[name])


@route("PUT", LOG_LEVEL_PATH)
async def put_log_level(process: "ControllerProcess", request: Request) -> Reply:
    """The log level of the whole fleet, until each process ends."""
    level = json_field(request, "level")
    if level not in LEVELS:
        raise BadRequestError(f'the body must be {{"level": one of {", ".join(LEVELS)}}}')
    process.tables.apply_log_level(level)
    process.core.broadcast(SetLogLevel(level))
    await process.flush()
    return json_reply(200, {"level": level})
