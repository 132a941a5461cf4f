"""Rules compiled from the configuration, one per database, each with a plan per kind of statement.

A plan is a short program for the interpreter in core.py:
  lead      draw a connection of the primary       (fenced: the backend itself answers RO)
  rotation  draw a connection of the replicas that serve reads; LAGGING or no replica turns to `lead_read`
  open      send BEGIN ahead and wait for its answer
  open_read send WAITPOS and BEGIN FETCH ahead and wait for the answer
  run       send the statement itself
  end       send ABORT behind the statement
"""

from typing import NamedTuple

from sumacloom.configuration.model import Configuration, Route

PLANS = {
    "lead_read": ("lead", "open", "run", "end"),
    "rotation_read": ("rotation", "run"),
    "write": ("lead", "run"),
    "begin": ("lead", "open", "run"),
    "begin_read": ("rotation", "open_read", "run"),
}

BY_KIND = {
    "primary": {"read": "lead_read", "write": "write", "begin": "begin", "begin_read": "begin"},
    "stale_ok": {
        "read": "rotation_read",
        "write": "write",
        "begin": "begin",
        "begin_read": "begin_read",
    },
    "self": {
        "read": "rotation_read",
        "write": "write",
        "begin": "begin",
        "begin_read": "begin_read",
    },
}

FALLBACK = {"rotation_read": "lead_read", "begin_read": "begin"}


class Rule(NamedTuple):
    """What the configuration says of one database.

    >>> compile_rules(Configuration(1, [Route("r", "db", "svc")]))["db"].service
    'svc'
    """

    name: str
    service: str
    kind: str
    statement_s: float
    priority: int
    stale_s: float
    homes: frozenset
    plans: dict


def compile_rules(configuration: Configuration) -> dict[str, Rule]:
    """Compiles every route; a host with several prefixes keeps its shortest.

    >>> rules = compile_rules(Configuration(1, [Route("r", "db", "svc", kind="self")]))
    >>> rules["db"].plans["read"]
    'rotation_read'
    """
    ordered = sorted(configuration.routes, key=lambda route: len(route.pfx), reverse=True)
    return {route.host: compile_rule(route) for route in ordered}


def compile_rule(route: Route) -> Rule:
    """Compiles one route.

    >>> compile_rule(Route("r", "db", "svc", tmo_ms=800)).statement_s
    0.8
    """
    return Rule(
        route.name,
        route.svc,
        route.kind,
        route.tmo_ms / 1000,
        route.prio,
        route.max_stale_ms / 1000,
        frozenset(route.geo),
        BY_KIND.get(route.kind, BY_KIND["primary"]),
    )
