"""Calls of backends: heartbeats, and the goodbye of one that leaves."""

from typing import TYPE_CHECKING

from sumacloom.controller.admin.routing import route
from sumacloom.errors import NotInQuorumError
from sumacloom.http import Reply, Request

if TYPE_CHECKING:
    from sumacloom.controller.process import ControllerProcess

BACKENDS_PATH = "/api/instances/"


@route("PUT", BACKENDS_PATH + "([^/]+)")
async def put_backend(process: "ControllerProcess", request: Request, name: str) -> Reply:
    """A backend's heartbeat."""
    changed = process.core.registry.receive(name, request.body, process.now())
    if changed:
        process.core.publish_records(changed, process.now())
        await process.flush()
    return acknowledge(process)


@route("DELETE", BACKENDS_PATH + "([^/]+)")
async def delete_backend(process: "ControllerProcess", request: Request, name: str) -> Reply:
    """A backend leaves."""
    record = process.core.registry.remove(name, process.now())
    if record:
        process.core.publish_records([record], process.now())
        await process.flush()
    return acknowledge(process)


def acknowledge(process: "ControllerProcess") -> Reply:
    """What a backend said is acknowledged only where others learn of it.

    Without a quorum the backend is told to go on to another daemon. It is heard here all the same, so that
    where no controller has a quorum, no backend is given up as silent.

    Raises:
        NotInQuorumError: nobody else may learn of it.
    """
    if not process.core.has_quorum_contact(process.now()):
        raise NotInQuorumError
    return Reply(200, b"{}")
