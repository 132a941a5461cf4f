"""The commands of `sumacloom fleet`."""

import json as json_library
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any

from sumacloom.cli import access, configuration, pool_modes, subscriptions
from sumacloom.cli import tables as sql_tables
from sumacloom.cli.calls import (
    Deadline,
    Rows,
    call,
    command,
    rows_printer,
    show,
    show_table,
)
from sumacloom.cli.client import quote_path
from sumacloom.errors import PriorityPendingError

VOTER_COLUMNS = (
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


@command
def status(*, at: str = "", json: bool = False) -> None:
    """Tells in a few lines how the whole fleet is.

    :param at: controllers to ask, IP:PORT,IP:PORT; else SUMACLOOM_CONTROLLERS, else the settings' seeds
    :param json: everything, as one JSON document
    """

    def print_fleet(fleet: dict[str, Rows]) -> None:
        print(json_library.dumps(fleet) if json else "\n".join(summarize(fleet)))

    show(at, "/api/admin/fleet", dict, print_fleet)


def summarize(fleet: Mapping[str, Rows]) -> list[str]:
    """The status in sentences.

    >>> summarize({})[0]
    'controllers: 0 of 0 heard, 0 vote'
    """
    controllers, poolers = fleet.get("registrars", []), fleet.get("counters", [])
    heard = [row for row in controllers if row.get("node")]
    newest = max((row.get("blueprint", 0) for row in heard), default=0)
    behind = [row["node"] for row in heard + poolers if row.get("blueprint", 0) < newest]
    lease = (fleet.get("duties") or [{}])[0]
    drained = [row["zone"] for row in fleet.get("zones", []) if row.get("evacuated")]
    return [
        f"controllers: {len(heard)} of {len(controllers)} heard, {_count(heard, 'votes')} vote",
        f"poolers: {len(poolers)} members, {_count(poolers, 'ready')} ready, "
        f"{_sum(poolers, 'sessions')} sessions, {_sum(poolers, 'waiting')} waiting",
        f"configuration: {newest}"
        + (f", not yet at {', '.join(behind)}" if behind else ", everywhere"),
        f"releases: {_count_releases(heard + poolers)}",
        *_summarize_backends(fleet.get("backends", [])),
        f"failover lease: {lease.get('holder') or 'nobody'}, token {lease.get('fence', 0)}",
        f"drained zones: {', '.join(drained) or 'none'}",
    ]


def _count_releases(rows: Rows) -> str:
    """How many daemons run which release; those before 0.2.0 don't tell theirs."""
    counted = Counter(row.get("release") or "not told" for row in rows)
    return ", ".join(f"{name} at {count}" for name, count in counted.most_common()) or "none"


def _summarize_backends(backends: Rows) -> list[str]:
    services = sorted({row.get("service", "") for row in backends})
    with_primary = {
        row["service"] for row in backends if row.get("role") == "primary" and not row.get("dark")
    }
    without = [name for name in services if name not in with_primary]
    unreachable = [row["backend"] for row in backends if row.get("dark")]
    draining = [row["backend"] for row in backends if row.get("phase") == "draining"]
    return [
        f"services: {len(services)}, without a primary: {', '.join(without) or 'none'}",
        f"backends: {len(backends)}, unreachable: {', '.join(unreachable) or 'none'}, "
        f"draining: {', '.join(draining) or 'none'}",
    ]


def _count(rows: Rows, column: str) -> int:
    return sum(bool(row.get(column)) for row in rows)


def _sum(rows: Rows, column: str) -> int:
    return sum(row.get(column, 0) for row in rows)


def table_command(name: str, sentence: str) -> Callable[..., int]:
    """A command that lists one table."""

    def list_table(*, at: str = "", json: bool = False) -> None:
        show_table(name, at, json)

    list_table.__doc__ = f"""{sentence}

    :param at: controllers to ask, IP:PORT,IP:PORT
    :param json: rows as JSON
    """
    return command(list_table)


@command
def voters(*, at: str = "", json: bool = False) -> None:
    """Tells who votes, who is recovering, who is partitioned and for how long (alone_ms).

    :param at: controllers to ask, IP:PORT,IP:PORT
    :param json: rows as JSON
    """

    def print_voters(rows: Rows) -> None:
        selected = [{name: row.get(name) for name in VOTER_COLUMNS} for row in rows]
        rows_printer(json)(selected)

    show(at, "/api/admin/registrars", list, print_voters)


@command
def set_priority(*databases: str, at: str = "", wait: float = 10.0) -> None:
    """Gives databases priority, in place of those that had it; waits until every pooler honours it.

    :param databases: the databases
    :param at: controllers to ask, IP:PORT,IP:PORT
    :param wait: how many seconds to wait for it to be in force
    """
    send_priority(list(databases), at, wait)


@command
def clear_priority(*, at: str = "", wait: float = 10.0) -> None:
    """Takes priority back from every database.

    :param at: controllers to ask, IP:PORT,IP:PORT
    :param wait: how many seconds to wait for it to be in force
    """
    send_priority([], at, wait)


def send_priority(databases: list[str], at: str, wait_s: float) -> None:
    """Offers the priority databases, then watches them come into force.

    Raises:
        PriorityPendingError: they don't in time.
    """
    body = json_library.dumps({"databases": databases}).encode()
    version = call(at, "PUT", "/api/admin/lanes", dict, body).get("generation", 0)
    deadline = Deadline(wait_s)
    while True:
        poolers = call(at, "GET", "/api/admin/counters", list)
        behind = [
            row.get("node", "?") for row in poolers if row.get("lanes_held", 0) < version * 2 + 1
        ]
        if not behind:
            names = ", ".join(databases) or "none"
            print(
                f"the priority databases {version} are in force at {len(poolers)} poolers: {names}"
            )
            return
        deadline.wait_or_raise(
            PriorityPendingError(
                f"the priority databases {version} still wait for {', '.join(behind)}"
            )
        )


@command
def query(text: str, *, at: str = "", json: bool = False) -> None:
    """Answers a SELECT over the fleet's tables.

    They are registrars, registers, members, counters, backends, rotation, duties, zones, lanes, generations,
    listeners, listening, access, pooling, poolers and sharing.

    :param text: the query, in one argument
    :param at: controllers to ask, IP:PORT,IP:PORT
    :param json: rows as JSON
    """

    def print_answer(tables: dict[str, Any]) -> None:
        rows_printer(json)(sql_tables.query(tables, text))

    show(at, "/api/admin/fleet", dict, print_answer)


def _order_drain(method: str, zone: str, at: str) -> None:
    call(at, method, "/api/drain/" + quote_path(zone), dict)


@command
def drain(zone: str, *, at: str = "") -> None:
    """Orders that nothing more be sent to a zone's backends.

    :param zone: the zone
    :param at: controllers to ask, IP:PORT,IP:PORT
    """
    _order_drain("POST", zone, at)
    print(f"the zone {zone} is being drained")


@command
def undrain(zone: str, *, at: str = "") -> None:
    """Withdraws the drain of a zone.

    :param zone: the zone
    :param at: controllers to ask, IP:PORT,IP:PORT
    """
    _order_drain("DELETE", zone, at)
    print(f"the zone {zone} may be used again")


@command
def log_level(level: str, *, at: str = "") -> None:
    """Sets the log level of the whole fleet, until each process ends.

    :param level: DEBUG, INFO, WARNING or ERROR
    :param at: controllers to ask, IP:PORT,IP:PORT
    """
    body = json_library.dumps({"level": level.upper()}).encode()
    reply = call(at, "PUT", "/api/admin/log-level", dict, body)
    print(f"the log level is {reply['level']}")


COMMANDS: dict[str, Any] = {
    "status": status,
    "voters": voters,
    "poolers": table_command("counters", "Lists the poolers and where their sessions stand."),
    "controllers": table_command("registrars", "Lists the controllers and what they hold."),
    "backends": table_command(
        "backends", "Lists the backends with role, phase, position and when they were heard."
    ),
    "replicas": table_command(
        "rotation", "Lists, for each pooler, which replicas may serve its reads."
    ),
    "lease": table_command("duties", "Tells who holds the failover lease, and its token."),
    "promotions": table_command(
        "promotions",
        "Lists the promotions decided, from which position, and the term led (0: unclear).",
    ),
    "held-back": table_command(
        "held_back", "Lists the services that wait for a log that no promotion left behind."
    ),
    "zones": table_command("zones", "Lists the zones, and which are drained."),
    "versions": table_command(
        "generations", "Lists each node, the configuration it holds, and why if it is behind."
    ),
    "query": query,
    "drain": drain,
    "undrain": undrain,
    "log-level": log_level,
    "priority": {
        "set": set_priority,
        "clear": clear_priority,
        "show": table_command(
            "lanes", "Lists the priority databases, and the poolers an offer still waits for."
        ),
    },
    "config": {
        "get": configuration.get,
        "check": configuration.check,
        "put": configuration.put,
    },
    "undo": configuration.undo,
    "access": {
        "set": access.set_list,
        "show": access.show,
        "check": access.check,
        "counts": access.counts,
    },
    "pool-modes": {"show": pool_modes.show, "set": pool_modes.set_mode},
    "subscribe": subscriptions.subscribe,
    "unsubscribe": subscriptions.unsubscribe,
    "subscribers": subscriptions.subscribers,
}
