"""The access list's calls of the admin API: set, show, check one caller, counts per node."""

import urllib.parse
from typing import TYPE_CHECKING

from sumacloom.configuration.access_list import ANY, AccessList
from sumacloom.configuration.model import compress, decompress
from sumacloom.consensus.codec import decode
from sumacloom.controller.admin.routing import parse_if_match, route, split_path
from sumacloom.controller.policy import staged_rollout
from sumacloom.controller.policy.access import AccessValue
from sumacloom.controller.registers import ACCESS_KEY
from sumacloom.errors import BadRequestError, MatchMissingError, NoAccessListError
from sumacloom.http import Reply, Request, json_reply

if TYPE_CHECKING:
    from sumacloom.configuration.access_checks import AccessListModel
    from sumacloom.controller.core import ControllerCore
    from sumacloom.controller.process import ControllerProcess

OFFERED_QUERY = "offered"


def current_list(core: "ControllerCore") -> AccessList:
    """The list in force as this controller knows it.

    Raises:
        NoAccessListError: there is none.
    """
    update = core.cache.access
    if not update.version:
        raise NoAccessListError
    return AccessList(decompress(update.body), update.version)


@route("PUT", "/api/admin/access")
async def put_access(process: "ControllerProcess", request: Request) -> Reply:
    """Offers a list built on the version in If-Match; it comes into force once no older lease can stand."""
    # pydantic is slow to import: only where lists arrive
    from sumacloom.configuration.access_checks import parse_access_list

    model = parse_access_list(request.body, {*process.settings.zones.values()})
    base = parse_if_match(request)
    if base is None:
        raise MatchMissingError("If-Match must carry the version built on, 0 for the first list")
    change = staged_rollout.offer(AccessValue, compress(request.body), b"", base)
    value = decode(AccessValue, await process.commit(ACCESS_KEY, change))
    assert value is not None  # an offer always leaves a value
    return json_reply(
        200,
        {
            "generation": value.version,
            "in_force": value.in_force,
            "not_routed": _not_routed(process.core, model),
        },
    )


def _not_routed(core: "ControllerCore", model: "AccessListModel") -> list[str]:
    """The databases that rules name and no route does."""
    named = {database for rule in model.rules for database in rule.databases}
    return sorted(named - {ANY} - core.cache.databases())


@route("GET", "/api/admin/access")
async def get_access(process: "ControllerProcess", request: Request) -> Reply:
    """The list in force, whole; with `?offered` the one that is offered."""
    update = process.core.cache.access
    _path, query = split_path(request)
    offered = query == OFFERED_QUERY
    body = update.offered if offered else update.body
    if not body:
        raise NoAccessListError("no list is offered" if offered else "no access list is in force")
    newest = update.order // 2
    version = newest if offered else update.version
    return Reply(200, decompress(body), (("ETag", f'"{version}"'), ("X-Newest", str(newest))))


@route("GET", "/api/admin/access/check")
async def get_check(process: "ControllerProcess", request: Request) -> Reply:
    """What the list in force says of one address and database; nothing is sent or counted."""
    _path, query = split_path(request)
    fields = dict(urllib.parse.parse_qsl(query))
    database, address = fields.get("database", ""), fields.get("address", "")
    access_list = current_list(process.core)
    try:
        access_list.parse_address(address)
    except ValueError as error:
        raise BadRequestError(f"'{address}' is not an IP address") from error
    if not database:
        raise BadRequestError("name a database and an address")
    verdict = access_list.verdict(database, address)
    return json_reply(
        200,
        {
            "database": database,
            "address": address,
            "region": verdict.region,
            "rule": verdict.rule,
            "allowed": verdict.allowed,
            "generation": access_list.version,
            "routed": database in process.core.cache.databases(),
        },
    )


@route("GET", "/api/admin/access/state")
async def get_state(process: "ControllerProcess", request: Request) -> Reply:
    """Which version is in force, and which is the newest: what the next change builds on."""
    update = process.core.cache.access
    return json_reply(
        200,
        {
            "generation": update.version,
            "newest": update.order // 2,
            "offered": bool(update.offered),
        },
    )


@route("GET", "/api/admin/access/counts")
async def get_counts(process: "ControllerProcess", request: Request) -> Reply:
    """What each pooler allowed and denied, per version and rule."""
    tables = await process.tables.gather()
    return json_reply(200, tables["access"])
