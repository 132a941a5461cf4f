"""The commands of `sumacloom fleet`."""

import json
import sys
import time
import urllib.parse

from sumacloom.cli import access_commands, client, pool_mode_commands
from sumacloom.cli.calls import ask, finish, look, print_rows, table
from sumacloom.cli.fleet_commands import listen, listeners, undo, unlisten
from sumacloom.cli.tables import query as run_query
from sumacloom.errors import Err, Ok, Result, mishap


def status(*, at: str = "", json: bool = False) -> int:
    """Tells in a few lines how the whole fleet is.

    :param at: registrars to ask, IP:PORT,IP:PORT; else SUMACLOOM_REGISTRARS, else the settings file's seeds
    :param json: everything, as one JSON document
    """

    def show(fleet):
        print(globals()["json"].dumps(fleet) if json else "\n".join(sum_up(fleet)))

    return look(at, "/api/admin/fleet", dict, show)


def sum_up(fleet: dict) -> list[str]:
    """The status in sentences.

    >>> sum_up({})[0]
    'registrars: 0 of 0 heard, 0 vote'
    """
    registrars, counters = fleet.get("registrars", []), fleet.get("counters", [])
    heard = [row for row in registrars if row.get("node")]
    newest = max((row.get("blueprint", 0) for row in heard), default=0)
    behind = [row["node"] for row in heard + counters if row.get("blueprint", 0) < newest]
    backends = fleet.get("backends", [])
    services = sorted({row.get("service", "") for row in backends})
    leads = {
        row["service"]: row["backend"]
        for row in backends
        if row.get("role") == "primary" and not row.get("dark")
    }
    duty = (fleet.get("duties") or [{}])[0]
    emptied = [row["zone"] for row in fleet.get("zones", []) if row.get("evacuated")]
    return [
        f"registrars: {len(heard)} of {len(registrars)} heard, {sum(bool(row.get('votes')) for row in heard)} vote",
        f"counters: {len(counters)} members, {sum(bool(row.get('ready')) for row in counters)} ready, "
        f"{sum(row.get('sessions', 0) for row in counters)} sessions, {sum(row.get('waiting', 0) for row in counters)} waiting",
        f"blueprint: {newest}"
        + (f", not yet at {', '.join(behind)}" if behind else ", everywhere"),
        f"services: {len(services)}, without a lead: {', '.join(name for name in services if name not in leads) or 'none'}",
        f"backends: {len(backends)}, dark: {', '.join(row['backend'] for row in backends if row.get('dark')) or 'none'}, "
        f"leaving: {', '.join(row['backend'] for row in backends if row.get('phase') == 'draining') or 'none'}",
        f"failover duty: {duty.get('holder') or 'nobody'}, fence {duty.get('fence', 0)}",
        f"evacuated zones: {', '.join(emptied) or 'none'}",
    ]


def table_command(name: str, sentence: str):
    """A command that lists one table.

    >>> table_command("duties", "Tells who holds the duty.").__name__
    'duties'
    """

    def command(*, at: str = "", json: bool = False) -> int:
        return table(name, at, json)

    command.__name__ = name
    command.__doc__ = f"""{sentence}

    :param at: registrars to ask, IP:PORT,IP:PORT
    :param json: rows as JSON
    """
    return command


VOTERS = (
    "ip",
    "node",
    "zone",
    "standing",
    "view",
    "alone_ms",
    "lacks",
    "hears",
    "voters",
    "leaving_voters",
)


def voters(*, at: str = "", json: bool = False) -> int:
    """Tells who votes, who is learning and what it lacks, who is cut off and for how long (alone_ms).

    :param at: registrars to ask, IP:PORT,IP:PORT
    :param json: rows as JSON
    """
    return look(
        at,
        "/api/admin/registrars",
        list,
        lambda rows: print_rows(json)([{name: row.get(name) for name in VOTERS} for row in rows]),
    )


LISTS = {
    "members": table_command("counters", "Lists the counters and where their sessions stand."),
    "registrars": table_command("registrars", "Lists the registrars and what they hold."),
    "backends": table_command(
        "backends", "Lists the backends with role, phase, position and when they were heard."
    ),
    "rotation": table_command(
        "rotation", "Lists each counter's rotation: which replicas may serve its reads."
    ),
    "duties": table_command("duties", "Tells who holds the failover duty, and its fence."),
    "zones": table_command("zones", "Lists the zones, and which are evacuated."),
    "generations": table_command(
        "generations", "Lists each node, the blueprint it holds, and why if it is behind."
    ),
    "lanes": table_command(
        "lanes",
        "Lists the databases in the priority lane, and the counters an offer still waits for.",
    ),
}


def set_lanes(*databases: str, at: str = "", wait: float = 10.0) -> int:
    """Gives databases the priority lane, in place of those that had it; waits until every counter honours it.

    :param databases: the databases
    :param at: registrars to ask, IP:PORT,IP:PORT
    :param wait: how many seconds to wait for it to be in force
    """
    return send_lanes(list(databases), at, wait)


def clear_lanes(*, at: str = "", wait: float = 10.0) -> int:
    """Takes the priority lane back from every database.

    :param at: registrars to ask, IP:PORT,IP:PORT
    :param wait: how many seconds to wait for it to be in force
    """
    return send_lanes([], at, wait)


def send_lanes(databases: list[str], at: str, wait: float) -> int:
    """Offers the lanes, then watches them come into force.

    >>> send_lanes([], "nowhere", 0.0)
    2
    """
    body = json.dumps({"databases": databases}).encode()
    offered = ask(at, "PUT", "/api/admin/lanes", dict, body)
    if offered.is_err():
        return finish(offered)
    cutoff, generation = time.monotonic() + wait, offered.ok().get("generation", 0)
    while True:
        counters = ask(at, "GET", "/api/admin/counters", list)
        if counters.is_err():
            return finish(counters)
        behind = [
            row.get("node", "?")
            for row in counters.ok()
            if row.get("lanes_held", 0) < generation * 2 + 1
        ]
        if not behind:
            print(
                f"the lanes {generation} are in force at {len(counters.ok())} counters: {', '.join(databases) or 'none'}"
            )
            return 0
        if time.monotonic() >= cutoff:
            return finish(
                Err(
                    mishap(
                        "lanes_waiting",
                        f"the lanes {generation} still wait for {', '.join(behind)}",
                    )
                )
            )
        time.sleep(0.2)


def query(text: str, *, at: str = "", json: bool = False) -> int:
    """Answers a SELECT over the tables registrars, registers, members, counters, backends, rotation, duties, zones, lanes, generations, listeners, listening, access, pooling, poolers, sharing.

    :param text: the query, in one argument
    :param at: registrars to ask, IP:PORT,IP:PORT
    :param json: rows as JSON
    """
    return look(
        at, "/api/admin/fleet", dict, print_rows(json), lambda tables: run_query(tables, text)
    )


def get(*, at: str = "") -> int:
    """Prints the blueprint in force, whole.

    :param at: registrars to ask, IP:PORT,IP:PORT
    """
    addresses = client.find_registrars(at)
    return finish(
        addresses.and_then(lambda found: client.call(found, "GET", "/api/config")),
        lambda outcome: print(outcome.body.decode("utf-8", "replace")),
    )


def read_file(path: str) -> Result:
    """A file's bytes.

    >>> read_file("/nowhere").err().name
    'usage'
    """
    try:
        with open(path, "rb") as file:
            return Ok(file.read())
    except OSError as error:
        return Err(mishap("usage", f"the file can't be read: {error}"))


def check(file: str) -> int:
    """Checks a blueprint file here, with the registrars' own model, and names every error.

    :param file: the blueprint, JSON
    """
    return finish(
        read_file(file).and_then(check_all),
        lambda model: print(
            f"the blueprint {model.ver} is valid: {len(model.routes)} routes, {len(model.svcs)} services"
        ),
    )


def check_all(raw: bytes) -> Result:
    """Checks a blueprint; all its errors but the last are printed here.

    >>> check_all(b"").err().name
    'unreadable'
    """
    from sumacloom.configuration.checks import find_mishaps

    mishaps, model = find_mishaps(raw)
    for found in mishaps[:-1]:
        print(f"sumacloom fleet: {found.sentence} (code {found.code})", file=sys.stderr)
    return Err(mishaps[-1]) if mishaps else Ok(model)


def put(file: str, *, base: int = -1, at: str = "") -> int:
    """Puts a blueprint into force; what gets no clear reply is sent again unchanged.

    :param file: the blueprint, JSON
    :param base: the generation it builds on; else the one in force
    :param at: registrars to ask, IP:PORT,IP:PORT
    """
    return finish(
        read_file(file).and_then(
            lambda raw: check_all(raw).and_then(
                lambda model: send_blueprint(raw, model.ver, base, at)
            )
        ),
        print,
    )


def send_blueprint(raw: bytes, ver: int, base: int, at: str) -> Result:
    """Sends a checked blueprint.

    >>> send_blueprint(b"{}", 1, 0, "nowhere").err().name
    'usage'
    """
    addresses = client.find_registrars(at)
    if addresses.is_err():
        return addresses
    if base < 0:
        current = client.call(addresses.ok(), "GET", "/api/config")
        if current.is_err() and current.err().name != "no_route":
            return current
        read = current.and_then(lambda outcome: client.read_json(outcome, dict))
        if current.is_ok() and read.is_err():
            return read
        base = int(read.ok().get("ver", 0)) if read.is_ok() else 0
    sent = client.call(
        addresses.ok(),
        "PUT",
        "/api/config",
        raw,
        {"Content-Type": "application/json", "If-Match": str(base)},
    )
    return sent.map(lambda _answered: f"the blueprint {ver} is in force, built on {base}")


def order(method: str, zone: str, at: str, sentence: str) -> int:
    """An evacuation order.

    >>> order("POST", "z", "nowhere", "")
    2
    """
    path = "/api/drain/" + urllib.parse.quote(zone, safe="")
    return finish(ask(at, method, path, dict), lambda _reply: print(sentence))


def evacuate(zone: str, *, at: str = "") -> int:
    """Orders that nothing more be sent to a zone's backends.

    :param zone: the zone
    :param at: registrars to ask, IP:PORT,IP:PORT
    """
    return order("POST", zone, at, f"the zone {zone} is being emptied")


def restore(zone: str, *, at: str = "") -> int:
    """Takes the evacuation of a zone back.

    :param zone: the zone
    :param at: registrars to ask, IP:PORT,IP:PORT
    """
    return order("DELETE", zone, at, f"the zone {zone} may be used again")


def log_level(level: str, *, at: str = "") -> int:
    """Sets the log level of the whole fleet, until each process ends.

    :param level: DEBUG, INFO, WARNING or ERROR
    :param at: registrars to ask, IP:PORT,IP:PORT
    """
    body = json.dumps({"level": level.upper()}).encode()
    return finish(
        ask(at, "PUT", "/api/admin/log-level", dict, body),
        lambda reply: print(f"the log level is {reply['level']}"),
    )


COMMANDS = {
    "status": status,
    "voters": voters,
    **LISTS,
    "query": query,
    "evacuate": evacuate,
    "restore": restore,
    "log-level": log_level,
    "lane": {"set": set_lanes, "clear": clear_lanes},
    "blueprint": {"get": get, "check": check, "put": put},
    "undo": undo,
    "access": {
        "set": access_commands.set_list,
        "show": access_commands.show,
        "check": access_commands.check,
        "counts": access_commands.counts,
    },
    "pooling": {"show": pool_mode_commands.show, "set": pool_mode_commands.set_mode},
    "listen": listen,
    "unlisten": unlisten,
    "listeners": listeners,
}
