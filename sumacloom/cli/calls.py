"""How commands call the controllers, and how they end."""

import functools
import json
import sys
import time
from collections.abc import Callable
from typing import Any, ParamSpec

from sumacloom.cli import client
from sumacloom.cli.client import Json
from sumacloom.cli.tables import Rows, format_rows
from sumacloom.errors import LocalViewError, SumacloomError

Parameters = ParamSpec("Parameters")

POLL_S = 0.2


def command(function: Callable[Parameters, int | None]) -> Callable[Parameters, int]:
    """Makes a command of a function: an error ends it with one sentence, its number and its exit code."""

    @functools.wraps(function)
    def run(*arguments: Parameters.args, **options: Parameters.kwargs) -> int:
        try:
            return function(*arguments, **options) or 0
        except SumacloomError as error:
            print_error(error)
            return error.exit_code

    return run


def print_error(error: SumacloomError) -> None:
    """One error as a line on standard error."""
    print(f"sumacloom fleet: {error.message} (code {error.code})", file=sys.stderr)


def call(
    at: str,
    method: str,
    path: str,
    kind: type[Json],
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> Json:
    """A call to any controller, its reply parsed as JSON.

    Raises:
        SumacloomError: the call failed.
    """
    addresses = client.find_controllers(at)
    return client.call(addresses, method, path, body, headers).parse(kind)


def show(at: str, path: str, kind: type[Json], print_result: Callable[[Any], Any]) -> None:
    """Prints what a controller replies.

    Raises:
        LocalViewError: it was printed, but is that controller's own view only.
        SumacloomError: the call failed.
    """
    reply = client.call(client.find_controllers(at), "GET", path)
    print_result(reply.parse(kind))
    if reply.view:
        raise own_view_error(reply)


def own_view_error(reply: client.ClearReply) -> LocalViewError:
    """The error that a table is one controller's own view.

    >>> own_view_error(client.ClearReply(200, b"[]", "10.0.0.1:80", "own 12300")).message[:48]
    "this is 10.0.0.1:80's own view: for 12.3 s it ha"
    """
    alone_ms = reply.view.split(" ")[-1]
    duration = f"for {int(alone_ms) / 1000:.1f} s" if alone_ms.isdigit() else "for some time"
    return LocalViewError(
        f"this is {reply.address}'s own view: {duration} it has heard no majority, "
        "or lacked something decided"
    )


def rows_printer(as_json: bool) -> Callable[[Rows], None]:
    """Prints rows for people, or as JSON.

    >>> rows_printer(True)([{"a": 1}])
    [{"a": 1}]
    """
    return lambda rows: print(json.dumps(rows) if as_json else format_rows(rows))


def show_table(name: str, at: str, as_json: bool) -> None:
    """Prints one table of the admin API."""
    show(at, f"/api/admin/{name}", list, rows_printer(as_json))


class Deadline:
    """Polls until something is so, for a number of seconds at most."""

    def __init__(self, wait_s: float):
        self._ends_at = time.monotonic() + wait_s

    def wait_or_raise(self, error: SumacloomError) -> None:
        """Sleeps until the next poll.

        Raises:
            SumacloomError: the given one, once the time is over.
        """
        if time.monotonic() >= self._ends_at:
            raise error
        time.sleep(POLL_S)
