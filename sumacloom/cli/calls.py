"""How commands call the registrars and end."""

import json
import sys

from sumacloom.cli import client
from sumacloom.cli.tables import as_text
from sumacloom.errors import Err, Ok, Result, exit_code, mishap


def finish(result: Result, show=None) -> int:
    """Prints a result for people, or one sentence with its number; gives the exit code.

    >>> finish(Ok("done"), print)
    done
    0
    """
    if result.is_err():
        found = result.err()
        print(f"sumacloom fleet: {found.sentence} (code {found.code})", file=sys.stderr)
        return exit_code(found.name)
    if show:
        show(result.ok())
    return 0


def ask(
    at: str, method: str, path: str, kind: type, body: bytes = b"", headers: dict | None = None
) -> Result:
    """A call to any registrar, its reply read as JSON.

    >>> ask("nowhere", "GET", "/", dict).err().name
    'usage'
    """
    return (
        client.find_registrars(at)
        .and_then(lambda addresses: client.call(addresses, method, path, body, headers))
        .and_then(lambda outcome: client.read_json(outcome, kind))
    )


def look(at: str, path: str, kind: type, show, change=Ok) -> int:
    """Shows what a registrar tells; says so, by a line and the exit code, where that is its own view only.

    >>> look("nowhere", "/", dict, print)
    2
    """
    answered = client.find_registrars(at).and_then(
        lambda addresses: client.call(addresses, "GET", path)
    )
    code = finish(
        answered.and_then(lambda outcome: client.read_json(outcome, kind)).and_then(change), show
    )
    if code or not answered.ok().view:
        return code
    return finish(Err(own_view(answered.ok())))


def own_view(outcome: client.Outcome):
    """The mishap that a table is one registrar's own view.

    >>> own_view(client.Outcome(200, b"[]", "10.0.0.1:80", "own 12300")).sentence
    "this is 10.0.0.1:80's own view: for 12.3 s it has heard no majority, or lacked something decided"
    """
    alone = outcome.view.split(" ")[-1]
    seconds = f"for {int(alone) / 1000:.1f} s" if alone.isdigit() else "for some time"
    return mishap(
        "own_view",
        f"this is {outcome.address}'s own view: {seconds} it has heard no majority, or lacked something decided",
    )


def print_rows(as_json: bool):
    """How rows are shown.

    >>> print_rows(True)([{"a": 1}])
    [{"a": 1}]
    """
    return lambda rows: print(json.dumps(rows) if as_json else as_text(rows))


def table(name: str, at: str, as_json: bool) -> int:
    """Prints one table of the admin API.

    >>> table("members", "nowhere", False)
    2
    """
    return look(at, f"/api/admin/{name}", list, print_rows(as_json))
