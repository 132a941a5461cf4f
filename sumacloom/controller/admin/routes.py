"""What a registrar serves at `ctl`: beats, blueprints, evacuations, and the admin API."""

import re

from sumacloom.controller.registers.values import (
    BlueprintValue,
    decode,
    evacuate,
    keep,
    put_blueprint,
)
from sumacloom.errors import Err, mishap
from sumacloom.http import Reply, Request, json_reply, mishap_reply

PATHS = []
BEATS = "/api/instances/"
OWN_ORDERS = ("/api/admin/log-level",)  # what may be ordered of a registrar that is cut off
VIEW = (
    "Sumacloom-View"  # tells that a table is our own view, and for how many ms we have been alone
)


def serves(method: str, pattern: str):
    """Registers the handler of a method at paths of a pattern.

    >>> any(method == "PUT" for method, _pattern, _handler in PATHS)
    True
    """

    def register(function):
        PATHS.append((method, re.compile(pattern + "$"), function))
        return function

    return register


async def handle(shell, request: Request) -> Reply:
    """Finds the handler of a request; unknown paths and wrong methods get their statuses.

    Without a majority no order is taken, and nothing is refused for what only a majority knows.
    """
    path, _mark, _query = request.path.partition("?")
    now, admin = shell.now(), path.startswith("/api/admin/")
    own = (
        path.startswith(BEATS)
        or path in OWN_ORDERS
        or (request.method == "GET" and path != "/api/config")
    )
    if not own and not shell.office.heard_majority(now):
        return mishap_reply(mishap("out_of_touch"))
    matches = [
        (method, pattern.match(path), handler)
        for method, pattern, handler in PATHS
        if pattern.match(path)
    ]
    for method, match, handler in matches:
        if method == request.method:
            reply = await handler(shell, request, *match.groups())
            if not admin or shell.office.settled(shell.now()):
                return reply
            if reply.status in (404, 409, 410, 422):  # judged by what we hold, and that may be old
                return mishap_reply(mishap("out_of_touch"))
            return reply._replace(
                headers=(*reply.headers, (VIEW, f"own {round(1000 * shell.unsettled_s())}"))
            )
    return mishap_reply(mishap("wrong_method" if matches else "no_route"))


@serves("PUT", r"/api/instances/([^/]+)")
async def put_instance(shell, request: Request, name: str) -> Reply:
    """A backend's beat."""
    result = shell.office.roster.beat(name, request.body, shell.now())
    if result.is_err():
        return mishap_reply(result.err())
    if result.ok():
        shell.office.tell_records(result.ok(), shell.now())
        await shell.act()
    return acknowledge(shell)


def acknowledge(shell) -> Reply:
    """What a backend said has been taken; it is acknowledged only where others learn of it.

    Without a majority it is told to go on to another daemon: here it is heard all the same, so that
    where no registrar has a majority, no backend is given up as silent.
    """
    if shell.office.heard_majority(shell.now()):
        return Reply(200, b"{}")
    return mishap_reply(mishap("out_of_touch"))


@serves("DELETE", r"/api/instances/([^/]+)")
async def delete_instance(shell, request: Request, name: str) -> Reply:
    """A backend leaves."""
    record = shell.office.roster.leave(name, shell.now())
    if record:
        shell.office.tell_records([record], shell.now())
        await shell.act()
    return acknowledge(shell)


def read_base(request: Request) -> int | None:
    """The version in If-Match; None if it holds none.

    >>> [read_base(Request("PUT", "/", {"if-match": text}, b"")) for text in ('"7"', "7", "", "\xb2", "9" * 5000)]
    [7, 7, None, None, None]
    """
    text = request.headers.get("if-match", "").strip().strip('"')
    return int(text) if text.isascii() and text.isdigit() and len(text) < 20 else None


def unless_gone(request: Request, change):
    """The change, for as long as its caller waits: one that has given up may have ordered the contrary since.

    >>> unless_gone(Request("POST", "/", {}, b"", lambda: True), keep)(None).err().name
    'caller_gone'
    """
    return lambda current: Err(mishap("caller_gone")) if request.gone() else change(current)


async def decide_at_once(shell, request: Request, key: str, change):
    """The outcome of an order without a number: a late copy looks like a new one, so it counts only while its caller waits."""
    if shell.waking():
        return Err(mishap("stood_still"))
    return await shell.decide(key, unless_gone(request, change))


@serves("PUT", r"/api/config")
async def take_blueprint(shell, request: Request) -> Reply:
    """The operator's blueprint: checked here, decided at a majority."""
    if len(request.body) > shell.most_blueprint:
        return mishap_reply(mishap("too_large"))
    from sumacloom.configuration.checks import (
        check_blueprint,  # pydantic is slow to import: only where blueprints arrive
    )

    checked = check_blueprint(request.body)
    if checked.is_err():
        return mishap_reply(checked.err())
    base = read_base(request)
    if base is None:
        return mishap_reply(mishap("match_missing"))
    result = await shell.decide("blueprint", put_blueprint(checked.ok().ver, request.body, base))
    if result.is_err():
        return mishap_reply(result.err())
    return json_reply(200, {"ver": checked.ok().ver})


@serves("GET", r"/api/config")
async def give_blueprint(shell, request: Request) -> Reply:
    """The newest blueprint, whole, as a majority holds it."""
    result = await shell.decide("blueprint", keep, reading=True)
    if result.is_err():
        return mishap_reply(result.err())
    found = decode(BlueprintValue, result.ok()[1])
    if found is None:
        return mishap_reply(mishap("no_route", "no blueprint has been taken yet"))
    return Reply(200, found.raw, (("ETag", f'"{found.ver}"'),))


async def order_evacuation(shell, request: Request, zone: str, wanted: bool) -> Reply:
    """Empties a zone or takes it back; acknowledged once decided."""
    if zone not in shell.settings.zones:
        return mishap_reply(mishap("unknown_zone", f"there is no zone '{zone}'"))
    result = await decide_at_once(shell, request, "evacuations", evacuate(zone, wanted))
    if result.is_err():
        return mishap_reply(result.err())
    return json_reply(200, {"zone": zone, "evacuated": wanted})


@serves("POST", r"/api/drain/([^/]+)")
async def post_drain(shell, request: Request, zone: str) -> Reply:
    """Nothing more is to be sent to the zone's backends."""
    return await order_evacuation(shell, request, zone, True)


@serves("DELETE", r"/api/drain/([^/]+)")
async def delete_drain(shell, request: Request, zone: str) -> Reply:
    """The zone's backends may be used again."""
    return await order_evacuation(shell, request, zone, False)
