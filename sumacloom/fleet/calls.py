"""How commands call the registrars and end."""
import json
import sys

from ..common.results import Ok, Result, exit_code
from . import client
from .tables import as_text


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


def ask(at: str, method: str, path: str, kind: type, body: bytes = b"", headers: dict | None = None) -> Result:
    """A call to any registrar, its reply read as JSON.

    >>> ask("nowhere", "GET", "/", dict).err().name
    'usage'
    """
    return client.find_registrars(at).and_then(
        lambda addresses: client.call(addresses, method, path, body, headers)
    ).and_then(lambda outcome: client.read_json(outcome, kind))


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
    return finish(ask(at, "GET", f"/api/admin/{name}", list), print_rows(as_json))
