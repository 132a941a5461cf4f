"""Zone drains: an operator orders that nothing more be sent to a zone's backends, or withdraws that."""

from typing import TYPE_CHECKING

from sumacloom.controller.admin.orders import commit_order
from sumacloom.controller.admin.routing import route
from sumacloom.controller.registers import ZONE_DRAINS_KEY
from sumacloom.controller.registers.zone_drains import drain_zone
from sumacloom.errors import UnknownZoneError
from sumacloom.http import Reply, Request, json_reply

if TYPE_CHECKING:
    from sumacloom.controller.process import ControllerProcess

DRAIN_PATTERN = "/api/drain/([^/]+)"


async def _order_drain(
    process: "ControllerProcess", request: Request, zone: str, drained: bool
) -> Reply:
    if zone not in process.settings.zones:
        raise UnknownZoneError(f"there is no zone '{zone}'")
    await commit_order(process, request, ZONE_DRAINS_KEY, drain_zone(zone, drained))
    return json_reply(200, {"zone": zone, "evacuated": drained})


@route("POST", DRAIN_PATTERN)
async def post_drain(process: "ControllerProcess", request: Request, zone: str) -> Reply:
    """Nothing more is to be sent to the zone's backends."""
    return await _order_drain(process, request, zone, True)


@route("DELETE", DRAIN_PATTERN)
async def delete_drain(process: "ControllerProcess", request: Request, zone: str) -> Reply:
    """The zone's backends may be used again."""
    return await _order_drain(process, request, zone, False)
