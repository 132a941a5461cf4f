"""The operator's configuration: put and get."""

from typing import TYPE_CHECKING

from sumacloom.consensus.codec import decode, unchanged
from sumacloom.controller.admin.routing import parse_if_match, route
from sumacloom.controller.registers import CONFIGURATION_KEY
from sumacloom.controller.registers.configuration import ConfigurationValue, put_configuration
from sumacloom.errors import BodyTooLargeError, MatchMissingError, NotFoundError
from sumacloom.http import MAX_BODY_BYTES, Reply, Request, json_reply

if TYPE_CHECKING:
    from sumacloom.controller.process import ControllerProcess

CONFIGURATION_PATH = "/api/config"


@route("PUT", CONFIGURATION_PATH)
async def put_config(process: "ControllerProcess", request: Request) -> Reply:
    """The operator's configuration: checked here, committed at a quorum."""
    if len(request.body) > MAX_BODY_BYTES:
        raise BodyTooLargeError
    # pydantic is slow to import: only where configurations arrive
    from sumacloom.configuration.checks import parse_configuration

    model = parse_configuration(request.body)
    base = parse_if_match(request)
    if base is None:
        raise MatchMissingError
    await process.commit(CONFIGURATION_KEY, put_configuration(model.ver, request.body, base))
    return json_reply(200, {"ver": model.ver})


@route("GET", CONFIGURATION_PATH)
async def get_config(process: "ControllerProcess", request: Request) -> Reply:
    """The newest configuration, whole, as a quorum holds it."""
    value = await process.commit(CONFIGURATION_KEY, unchanged, reading=True)
    found = decode(ConfigurationValue, value)
    if found is None:
        raise NotFoundError("no configuration has been taken yet")
    return Reply(200, found.body, (("ETag", f'"{found.ver}"'),))
