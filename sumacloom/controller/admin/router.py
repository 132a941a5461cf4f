"""Finds the handler of a request, and turns errors into replies."""

from typing import TYPE_CHECKING

from sumacloom.controller.admin import (  # noqa: F401 - each registers its routes
    access_calls,
    backend_calls,
    configuration_calls,
    fleet_calls,
    pool_mode_calls,
    priority_calls,
    subscriber_calls,
    undo_calls,
    zone_drain_calls,
)
from sumacloom.controller.admin.backend_calls import BACKENDS_PATH
from sumacloom.controller.admin.configuration_calls import CONFIGURATION_PATH
from sumacloom.controller.admin.fleet_calls import LOG_LEVEL_PATH
from sumacloom.controller.admin.routing import Match, find_matches, split_path
from sumacloom.errors import (
    MethodNotAllowedError,
    NotFoundError,
    NotInQuorumError,
    SumacloomError,
)
from sumacloom.http import Reply, Request, error_reply

if TYPE_CHECKING:
    from sumacloom.controller.process import ControllerProcess

ADMIN_PREFIX = "/api/admin/"
# tells that a table is this controller's own view, and for how many ms it has been without a quorum
VIEW_HEADER = "Sumacloom-View"
# refusals that are judged by what this controller holds, which may be old without a quorum
JUDGED_STATUSES = (404, 409, 410, 422)


async def handle(process: "ControllerProcess", request: Request) -> Reply:
    """Replies to a request.

    Without a quorum no order is taken, and nothing is refused for what only a quorum knows.
    """
    path, _query = split_path(request)
    if not _is_local(request.method, path) and not process.core.has_quorum_contact(process.now()):
        return error_reply(NotInQuorumError())
    matches = find_matches(path)
    for match in matches:
        if match.route.method == request.method:
            reply = await _run(process, request, match)
            return _qualify(process, reply) if path.startswith(ADMIN_PREFIX) else reply
    return error_reply(MethodNotAllowedError() if matches else NotFoundError())


def _is_local(method: str, path: str) -> bool:
    """Whether a controller without a quorum serves this by itself."""
    if path.startswith(BACKENDS_PATH) or path == LOG_LEVEL_PATH:
        return True
    return method == "GET" and path != CONFIGURATION_PATH


async def _run(process: "ControllerProcess", request: Request, match: Match) -> Reply:
    try:
        return await match.route.handler(process, request, *match.groups)
    except SumacloomError as error:
        return error_reply(error, match.route.retry_after_s)


def _qualify(process: "ControllerProcess", reply: Reply) -> Reply:
    """Without a quorum a reply of the admin API says that it is one controller's own view."""
    if process.core.in_quorum(process.now()):
        return reply
    if reply.status in JUDGED_STATUSES:
        return error_reply(NotInQuorumError())
    view = f"own {round(1000 * process.out_of_quorum_s())}"
    return reply._replace(headers=(*reply.headers, (VIEW_HEADER, view)))
