"""Calls to the controllers: any of them will do, and what one can't do another may."""

import http.client
import json
import os
import time
import urllib.parse
from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar

from sumacloom.errors import (
    ERRORS_BY_NAME,
    ControllersUnreachableError,
    GarbledReplyError,
    SettingsMissingError,
    SumacloomError,
    UsageError,
)
from sumacloom.settings import POOLER, SETTINGS_VARIABLE, is_address, parse_settings, split_address

Json = TypeVar("Json", dict, list)

CONTROLLERS_VARIABLE = "SUMACLOOM_CONTROLLERS"
FIRST_RELEASE_VARIABLE = "SUMACLOOM_REGISTRARS"  # read as well, so that scripts go on working
VIEW_HEADER = "Sumacloom-View"
CALL_TIMEOUT_S = 2.0
PATIENCE_S = 10.0
FIRST_DELAY_S, MAX_DELAY_S = 0.1, 2.0
MAX_REDIRECTS = 2
TEMPORARY_REDIRECT = 307
RETRYABLE_STATUSES = (408, 429)
MAX_REPLY_BYTES = 16 << 20


class ClearReply(NamedTuple):
    """A reply that settles a call.

    Attributes:
        view: "own 12000" where it is one controller's view, and for how many ms it has had no quorum.
    """

    status: int
    body: bytes
    address: str
    view: str = ""

    @property
    def succeeded(self) -> bool:
        """Whether the call was carried out."""
        return self.status < 300

    def parse(self, kind: type[Json]) -> Json:
        """The JSON of the body.

        Raises:
            GarbledReplyError: it is not JSON, or of another kind.
        """
        try:
            data = json.loads(self.body)
        except ValueError:
            data = None
        if not isinstance(data, kind):
            raise GarbledReplyError(f"{self.address} answered with something that is not ours")
        return data

    def error(self) -> SumacloomError:
        """The error that the body names; a GarbledReplyError if it names none."""
        try:
            data = json.loads(self.body)
            kind = ERRORS_BY_NAME.get(data["error"], GarbledReplyError)
            return kind(str(data["sentence"]))
        except (ValueError, KeyError, TypeError):
            return GarbledReplyError(
                f"{self.address} answered {self.status} with something that is not ours"
            )


def quote_path(*parts: str) -> str:
    """Words of an operator as parts of a path.

    >>> quote_path("books", "a/b")
    'books/a%2Fb'
    """
    return "/".join(urllib.parse.quote(part, safe="") for part in parts)


def find_controllers(at: str) -> list[str]:
    """The addresses to try: those named, else the variable's, else the settings file's seeds.

    >>> find_controllers("10.0.0.1:80,10.0.0.2:80")
    ['10.0.0.1:80', '10.0.0.2:80']

    Raises:
        UsageError: none is named, or one is not IP:PORT.
        SettingsMissingError: the settings file can't be read.
    """
    variables = (CONTROLLERS_VARIABLE, FIRST_RELEASE_VARIABLE)
    named = [at, *(os.environ.get(variable, "") for variable in variables)]
    text = next(filter(None, named), "") or ",".join(_seeds_of_settings())
    addresses = [part.strip() for part in text.split(",") if part.strip()]
    for address in addresses:
        if not is_address(address):
            raise UsageError(f"'{address}' is not IP:PORT")
    if not addresses:
        raise UsageError(f"name a controller with --at IP:PORT, or in {CONTROLLERS_VARIABLE}")
    return addresses


def _seeds_of_settings() -> list[str]:
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        return []
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except OSError as error:
        raise SettingsMissingError(f"the settings file can't be read: {error}") from error
    try:
        return parse_settings(text, POOLER).seeds
    except SumacloomError:
        return []  # the variable of another program: --at is asked for


def call_one(
    address: str, method: str, path: str, body: bytes, headers: dict[str, str], redirects: int = 0
) -> ClearReply | None:
    """One call, following a few redirects; None if there is no reply.

    >>> call_one("127.0.0.1:1", "GET", "/", b"", {}) is None
    True
    """
    host, port = split_address(address)
    connection = http.client.HTTPConnection(host, port, timeout=CALL_TIMEOUT_S)
    try:
        connection.request(method, path, body or None, headers)
        reply = connection.getresponse()
        data = reply.read(MAX_REPLY_BYTES)
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()
    if reply.status != TEMPORARY_REDIRECT or redirects >= MAX_REDIRECTS:
        return ClearReply(reply.status, data, address, reply.headers.get(VIEW_HEADER, ""))
    location = reply.headers.get("Location", "").removeprefix("http://")
    target, _slash, rest = location.partition("/")
    if not is_address(target):
        return None
    return call_one(target, method, "/" + rest, body, headers, redirects + 1)


def call(
    addresses: list[str],
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    patience_s: float = PATIENCE_S,
    clock: Callable[[], float] = time.monotonic,
    sleep: Callable[[float], Any] = time.sleep,
) -> ClearReply:
    """Calls one controller after the other until one replies clearly, in bounded time.

    An unclear end (silence, a 5xx, 408, 429) is sent again unchanged, to the next one, with growing delays;
    the registers make that safe. A controller's own view counts only if no other knows better.

    Raises:
        SumacloomError: a controller's own error, or the last unclear one.
    """
    started_at, delay, attempts = clock(), FIRST_DELAY_S, 0
    own_view: ClearReply | None = None
    last_error: SumacloomError = ControllersUnreachableError(
        f"no controller could be reached at {', '.join(addresses)}"
    )
    while True:
        reply = call_one(addresses[attempts % len(addresses)], method, path, body, headers or {})
        attempts += 1
        all_tried = attempts >= len(addresses)
        if reply and reply.view and reply.succeeded and not all_tried:
            own_view = reply
            continue
        if reply and reply.status < 500 and reply.status not in RETRYABLE_STATUSES:
            if reply.succeeded:
                return reply
            raise reply.error()
        if own_view and all_tried:
            return own_view
        if reply:
            last_error = reply.error()
        if all_tried and clock() - started_at >= patience_s:
            raise last_error
        if attempts % len(addresses) == 0:
            sleep(delay)
            delay = min(MAX_DELAY_S, delay * 2)
