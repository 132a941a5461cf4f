"""The admin API: the fleet's state as tables, gathered from all registrars and their counters.

Nothing here touches the path of statements: counters answer with what they hold.
"""

import json

import curio

from sumacloom.consensus import reconfiguration
from sumacloom.controller.admin import subscriber_calls, undo_calls
from sumacloom.controller.admin.routes import decide_at_once, serves
from sumacloom.controller.failover import lease
from sumacloom.controller.policy import pool_modes, priority
from sumacloom.controller.registers.values import decode
from sumacloom.errors import mishap
from sumacloom.http import Reply, Request, json_reply, mishap_reply
from sumacloom.logs import LEVELS, Scribe, set_level
from sumacloom.transport.messages import Inquire, Level, Part
from sumacloom.types import NO_BALLOT

scribe = Scribe("admin")
GATHER_S = 0.6
COUNTERS_S = 0.25
STEP_S = 0.02
TABLES = (
    "registrars",
    "registers",
    "members",
    "counters",
    "backends",
    "rotation",
    "duties",
    "zones",
    "lanes",
    "generations",
    "listeners",
    "listening",
    "access",
    "pooling",
    "poolers",
    "sharing",
)


async def own_part(shell) -> dict:
    """This registrar's rows, with fresh ones of the counters in session here."""
    asked_at = shell.now()
    links = list(shell.counters.values())
    for link in links:
        shell.beat_counter(link, asked_at, want_report=True)
    while shell.now() - asked_at < COUNTERS_S and any(
        link.reported_at < asked_at for link in links
    ):
        await curio.sleep(STEP_S)
    office, now = shell.office, shell.now()
    settings, node = shell.settings, shell.settings.node
    reports = [link.report for link in links if link.report and link.reported_at >= asked_at]
    digest = office.board.digest()
    return {
        "registrars": [
            {
                "node": node,
                "zone": settings.zone,
                "ip": settings.ip,
                "votes": office.votes,
                "learned": office.acceptor.learned,
                "blueprint": digest.blueprint,
                "evacuations": digest.evacuations,
                "hears": ",".join(peer for peer in office.others() if office.alive(peer, now)),
                "plans": ",".join(f"{name}:{plan}" for name, plan in sorted(shell.plans.items())),
                **reconfiguration.rows(office, node, now),
                "view": "majority" if office.settled(now) else "own",
                "alone_ms": round(1000 * shell.unsettled_s()),
                "lacks": ",".join(office.lacking(now)),
                "disk": "refuses" if shell.disk_ill else "well",
            }
        ],
        "registers": [
            {
                "node": node,
                "key": key,
                "decided": str(tuple(office.decided.get(key, (NO_BALLOT,))[0][:2])),
                "accepted": str(tuple(office.acceptor.slots[key].accepted[:2]))
                if key in office.acceptor.slots
                else "-",
            }
            for key in office.keys()  # noqa: SIM118 - a method of the core, not a mapping
        ],
        "members": [
            {
                "node": name,
                "zone": zone,
                "address": address,
                "registrar": node,
                "heard_ms": round((now - heard) * 1000),
            }
            for name, (zone, address, heard, *_held) in sorted(office.members.sessions.items())
        ],
        "counters": [report["counter"] for report in reports],
        "listening": subscriber_calls.node_rows(office, node, reports),
        "generations": undo_calls.own_rows(
            office, node, reports, list(office.members.sessions), now
        ),
        "poolers": pool_modes.node_rows(office, node, reports),
        "sharing": [row for report in reports for row in report.get("sharing", [])],
        "access": [row for report in reports for row in report.get("access", [])],
        "rotation": [row for report in reports for row in report["rotation"]],
    }


def shared_part(shell) -> dict:
    """Rows that every registrar holds alike, as this one holds them."""
    office, now = shell.office, shell.now()
    roster, duty = office.roster, office.duty
    voters = len(office.acceptor.configuration.new)

    def position(name):
        sight = roster.sighted.get(name)
        return f"{sight[1].term}.{sight[1].number}" if sight else "-"

    return {
        "backends": [
            {
                "backend": record.name,
                "service": record.service,
                "zone": record.zone,
                "address": record.address,
                "phase": record.phase,
                "role": record.role,
                "slots": record.slots,
                "position": position(record.name),
                "heard_ms": round((now - roster.heard_at[record.name]) * 1000)
                if record.name in roster.heard_at
                else -1,
                "dark": roster.dark_since(record.name, voters, now) is not None,
            }
            for record in sorted(
                office.board.records.values(), key=lambda record: (record.service, record.name)
            )
            if record.phase != "gone"
        ],
        "duties": [
            {
                "duty": lease.DUTY,
                "holder": duty.holder if duty else "",
                "fence": duty.fence if duty else 0,
                "vacant": lease.vacant(office, now),
            }
        ],
        "lanes": lane_rows(office, now),
        "pooling": pool_modes.own_rows(office),
        "listeners": subscriber_calls.list_rows(office, now),
        "zones": [
            {"zone": zone, "region": region, "evacuated": zone in office.board.zones}
            for zone, region in sorted(shell.settings.zones.items())
        ],
    }


def lane_rows(office, now: float) -> list[dict]:
    """A row for each database that is or will be in the priority lane."""
    held = office.board.lanes
    waiting = (
        ",".join(office.members.lacking(held.order, now))
        if held.order % 2 == 0 and held.order
        else ""
    )
    return [
        {
            "database": database,
            "generation": held.order // 2,
            "in_force": database in held.databases,
            "offered": database in held.offered,
            "waits_for": waiting,
        }
        for database in sorted({*held.databases, *held.offered})
    ]


async def gather(shell) -> dict:
    """The whole fleet's tables; registrars that don't answer in time are left out, and named as unheard."""
    shell.inquiries += 1
    number = shell.inquiries
    parts = shell.parts[number] = {}
    peers = [peer for peer in shell.office.others() if shell.office.alive(peer, shell.now())]
    for peer in peers:
        shell.office.outbox.append((peer, Inquire(number)))
    await shell.act()
    started = shell.now()
    tables = await own_part(shell)
    while shell.now() - started < GATHER_S and len(parts) < len(peers):
        await curio.sleep(STEP_S)
    del shell.parts[number]
    for part in parts.values():
        for name, rows in part.items():
            tables[name] = tables[name] + rows
    unheard = [peer for peer in shell.office.others() if peer not in parts]
    now, heard = shell.now(), {peer: at for peer, (at, _beat) in shell.office.peers.items()}
    tables["registrars"] += [
        {
            "node": "",
            "zone": "",
            "ip": peer,
            "votes": False,
            "learned": False,
            "blueprint": 0,
            "evacuations": 0,
            "hears": "unheard",
            "plans": "",
            "view": "unheard",
            "alone_ms": round(1000 * (now - heard[peer])) if peer in heard else None,
        }
        for peer in unheard
    ]
    for name in ("generations", "listening", "poolers"):
        tables[name] = undo_calls.one_per_node(tables[name], unheard)
    return {**tables, **shared_part(shell)}


def hear(shell, peer: str, message) -> bool:
    """Takes what peers say for the admin API; False if it is something else.

    >>> hear(None, "", None)
    False
    """
    if isinstance(message, Part):
        if message.number in shell.parts:
            shell.parts[message.number][peer] = message.tables
        return True
    if isinstance(message, Level):
        apply_level(shell, message.level)
        return True
    if not isinstance(message, Inquire):
        return False

    async def tell_part():
        part = Part(message.number, await own_part(shell))
        shell.office.outbox.append(
            (peer, part)
        )  # only now: the outbox is another list after each wait
        await shell.act()

    shell.errands.append(tell_part)
    return True


def apply_level(shell, level: str) -> None:
    """Sets the level here and at the counters in session here."""
    set_level(level)
    scribe.say("the log level is %s", level)
    for link in shell.counters.values():
        shell.beat_counter(link, shell.now(), level=level)


@serves("GET", r"/api/admin/fleet")
async def get_fleet(shell, request: Request) -> Reply:
    """All tables."""
    return json_reply(200, await gather(shell))


@serves("GET", r"/api/admin/([a-z]+)")
async def get_table(shell, request: Request, name: str) -> Reply:
    """One table."""
    if name not in TABLES:
        return mishap_reply(mishap("no_route", f"there is no table '{name}'"))
    return json_reply(200, (await gather(shell))[name])


@serves("PUT", r"/api/admin/lanes")
async def put_lanes(shell, request: Request) -> Reply:
    """Offers a set of databases for the priority lane; it comes into force once every counter holds it."""
    try:
        databases = json.loads(request.body)["databases"]
    except (ValueError, KeyError, TypeError):
        databases = None
    if (
        not isinstance(databases, list)
        or len(databases) > priority.MOST_LANES
        or not all(isinstance(name, str) and name and " " not in name for name in databases)
    ):
        return mishap_reply(mishap("bad_request", 'the body must be {"databases": [names]}'))
    blueprint = shell.office.board.blueprint
    known = {route.host for route in blueprint.routes} if blueprint else set()
    unknown = sorted(set(databases) - known)
    if unknown:
        return mishap_reply(
            mishap("unknown_database", f"the blueprint has no database '{unknown[0]}'")
        )
    result = await decide_at_once(shell, request, priority.KEY, priority.offer(databases))
    if result.is_err():
        return mishap_reply(result.err())
    value = decode(priority.LanesValue, result.ok()[1])
    return json_reply(
        200,
        {
            "generation": value.generation if value else 0,
            "databases": sorted(set(databases)),
            "in_force": value.in_force if value else True,
        },
    )


@serves("PUT", r"/api/admin/log-level")
async def put_log_level(shell, request: Request) -> Reply:
    """The log level of the whole fleet, until each process ends."""
    try:
        level = json.loads(request.body)["level"]
    except (ValueError, KeyError, TypeError):
        level = None
    if level not in LEVELS:
        return mishap_reply(
            mishap("bad_request", f'the body must be {{"level": one of {", ".join(LEVELS)}}}')
        )
    apply_level(shell, level)
    shell.office.tell_all(Level(level))
    await shell.act()
    return json_reply(200, {"level": level})
