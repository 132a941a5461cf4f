"""The access list's calls of the admin API: set, show, check one caller, counts per node."""

import urllib.parse

from sumacloom.configuration.access_list import Access
from sumacloom.configuration.model import pack_blueprint
from sumacloom.controller.admin.routes import read_base, serves
from sumacloom.controller.admin.tables import gather
from sumacloom.controller.policy import access, staged_rollout
from sumacloom.controller.registers.values import decode
from sumacloom.errors import mishap
from sumacloom.http import Reply, Request, json_reply, mishap_reply


def current(office) -> Access | None:
    """The list in force as this registrar knows it, compiled."""
    news = office.board.access
    return Access(access.body_of(news.body), news.generation) if news.generation else None


@serves("PUT", r"/api/admin/access")
async def put_access(shell, request: Request) -> Reply:
    """Offers a list built on the generation in If-Match; it comes into force once no older lease can stand."""
    from sumacloom.configuration.access_checks import (
        check_access,  # pydantic is slow to import: only where lists arrive
    )

    checked = check_access(request.body, {*shell.settings.zones.values()})
    if checked.is_err():
        return mishap_reply(checked.err())
    base = read_base(request)
    if base is None:
        return mishap_reply(
            mishap(
                "match_missing", "If-Match must carry the generation built on, 0 for the first list"
            )
        )
    change = staged_rollout.offer(access.AccessValue, pack_blueprint(request.body), b"", base)
    result = await shell.decide(access.KEY, change)
    if result.is_err():
        return mishap_reply(result.err())
    value = decode(access.AccessValue, result.ok()[1])
    return json_reply(
        200,
        {
            "generation": value.generation,
            "in_force": value.in_force,
            "not_routed": not_routed(shell.office, checked.ok()),
        },
    )


def not_routed(office, model) -> list[str]:
    """The databases that rules name and no route does."""
    blueprint = office.board.blueprint
    routed = {route.host for route in blueprint.routes} if blueprint else set()
    return sorted(
        {database for rule in model.rules for database in rule.databases if database != "*"}
        - routed
    )


@serves("GET", r"/api/admin/access")
async def get_access(shell, request: Request) -> Reply:
    """The list in force, whole; with `?offered` the one that is offered."""
    news = shell.office.board.access
    offered = request.path.partition("?")[2] == "offered"
    body = news.offered if offered else news.body
    if not body:
        return mishap_reply(
            mishap("no_access", "no list is offered" if offered else "no access list is in force")
        )
    generation = news.order // 2 if offered else news.generation
    return Reply(
        200, access.body_of(body), (("ETag", f'"{generation}"'), ("X-Newest", str(news.order // 2)))
    )


@serves("GET", r"/api/admin/access/check")
async def get_check(shell, request: Request) -> Reply:
    """What the list in force says of one address and database; nothing is sent or counted."""
    query = dict(urllib.parse.parse_qsl(request.path.partition("?")[2]))
    database, address = query.get("database", ""), query.get("address", "")
    found = current(shell.office)
    if found is None:
        return mishap_reply(mishap("no_access"))
    try:
        found.read_address(address)
    except ValueError:
        return mishap_reply(mishap("bad_request", f"'{address}' is not an IP address"))
    if not database:
        return mishap_reply(mishap("bad_request", "name a database and an address"))
    verdict = found.verdict(database, address)
    blueprint = shell.office.board.blueprint
    routed = bool(blueprint) and any(route.host == database for route in blueprint.routes)
    return json_reply(
        200,
        {
            "database": database,
            "address": address,
            "region": verdict.region,
            "rule": verdict.rule,
            "allowed": verdict.allowed,
            "generation": found.generation,
            "routed": routed,
        },
    )


@serves("GET", r"/api/admin/access/state")
async def get_state(shell, request: Request) -> Reply:
    """Which generation is in force, and which is the newest: what the next change builds on."""
    news = shell.office.board.access
    return json_reply(
        200,
        {"generation": news.generation, "newest": news.order // 2, "offered": bool(news.offered)},
    )


@serves("GET", r"/api/admin/access/counts")
async def get_counts(shell, request: Request) -> Reply:
    """What each counter allowed and denied, per generation and rule."""
    return json_reply(200, (await gather(shell))["access"])
