"""Commands of the operator's configuration: get, check, put, undo."""

import json
from typing import Any

from sumacloom.cli import client
from sumacloom.cli.calls import Deadline, call, command, print_error
from sumacloom.cli.files import read_file
from sumacloom.errors import NotFoundError, UndoPendingError

CONFIGURATION_PATH = "/api/config"


@command
def get(*, at: str = "") -> None:
    """Prints the configuration in force, whole.

    :param at: controllers to ask, IP:PORT,IP:PORT
    """
    reply = client.call(client.find_controllers(at), "GET", CONFIGURATION_PATH)
    print(reply.body.decode("utf-8", "replace"))


def parse_or_report(body: bytes) -> Any:
    """Checks a configuration; all its errors but the last are printed here.

    Raises:
        SumacloomError: the last error.
    """
    from sumacloom.configuration.checks import find_errors

    errors, model = find_errors(body)
    for error in errors[:-1]:
        print_error(error)
    if errors:
        raise errors[-1]
    return model


@command
def check(file: str) -> None:
    """Checks a configuration file here, with the controllers' own model, and names every error.

    :param file: the configuration, JSON
    """
    model = parse_or_report(read_file(file))
    routes, services = len(model.routes), len(model.svcs)
    print(f"the configuration {model.ver} is valid: {routes} routes, {services} services")


@command
def put(file: str, *, base: int = -1, at: str = "") -> None:
    """Puts a configuration into force; what gets no clear reply is sent again unchanged.

    :param file: the configuration, JSON
    :param base: the version it builds on; else the one in force
    :param at: controllers to ask, IP:PORT,IP:PORT
    """
    body = read_file(file)
    model = parse_or_report(body)
    addresses = client.find_controllers(at)
    if base < 0:
        base = _current_version(addresses)
    headers = {"Content-Type": "application/json", "If-Match": str(base)}
    client.call(addresses, "PUT", CONFIGURATION_PATH, body, headers)
    print(f"the configuration {model.ver} is in force, built on {base}")


def _current_version(addresses: list[str]) -> int:
    """The version in force; 0 if none ever was."""
    try:
        reply = client.call(addresses, "GET", CONFIGURATION_PATH)
    except NotFoundError:
        return 0
    return int(reply.parse(dict).get("ver", 0))


@command
def undo(
    *, version: int = 0, at: str = "", wait: float = 15.0, without: list[str] | None = None
) -> None:
    """Undoes a change: the configuration before is restored everywhere; waits until every node holds it.

    :param version: the version that is to be undone; else the one in force
    :param at: controllers to ask, IP:PORT,IP:PORT
    :param wait: how many seconds to wait for every node
    :param without: nodes that are known to be gone for good, and not waited for
    """
    if not version:
        version = int(call(at, "GET", CONFIGURATION_PATH, dict).get("ver", 0))
    body = json.dumps({"generation": version}).encode()
    undone = call(at, "POST", "/api/admin/undo", dict, body)
    print(await_restored(undone, at, wait, set(without or [])))


def await_restored(undone: dict[str, Any], at: str, wait_s: float, without: set[str]) -> str:
    """Waits until every node holds the restored version, or a later one, and all the same bytes.

    Returns:
        A sentence for people.

    Raises:
        UndoPendingError: not all of them do in time.
    """
    deadline, wanted = Deadline(wait_s), undone.get("generation", 0)
    while True:
        rows = call(at, "GET", "/api/admin/generations", list)
        nodes = [row for row in rows if row.get("node") not in without]
        behind = [
            f"{row.get('node')} ({row.get('why') or 'at ' + str(row.get('generation'))})"
            for row in nodes
            if row.get("generation", 0) < wanted
        ]
        held = {(row.get("generation"), row.get("body")) for row in nodes}
        if nodes and not behind and len(held) == 1:
            newest = next(iter(held))[0]
            later = f"; {newest} is in force since" if newest != wanted else ""
            return (
                f"the configuration {undone.get('undone')} is undone: {wanted} restores "
                f"{undone.get('restores')} at all {len(nodes)} nodes{later}"
            )
        where = ", ".join(behind) or "all nodes alike"
        deadline.wait_or_raise(
            UndoPendingError(
                f"the configuration {wanted} restores {undone.get('restores')}, "
                f"but is not yet at {where}"
            )
        )
