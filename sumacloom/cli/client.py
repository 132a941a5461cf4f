"""Calls to the registrars: any of them will do; what one can't do another may."""

import http.client
import json
import os
import time
from typing import NamedTuple

from sumacloom.errors import TABLE, Err, Ok, Result, mishap
from sumacloom.settings import VARIABLE, parse_settings, split_address

REGISTRARS = "SUMACLOOM_REGISTRARS"
CALL_S = 2.0
PATIENCE_S = 10.0
MOST_HOPS = 2
AGAIN = (408, 429)
MOST_REPLY = 16 << 20


class Outcome(NamedTuple):
    """A clear reply.

    >>> Outcome(200, b"{}", "10.0.0.1:80").status
    200
    """

    status: int
    body: bytes
    address: str
    view: str = ""  # "own 12000": one registrar's, and for how many ms it has been alone


def find_registrars(at: str) -> Result:
    """The addresses to try: those named, else the variable's, else the settings file's seeds.

    >>> find_registrars("10.0.0.1:80,10.0.0.2:80").ok()
    ['10.0.0.1:80', '10.0.0.2:80']
    >>> find_registrars("nonsense").err().name
    'usage'
    """
    text = at or os.environ.get(REGISTRARS, "")
    if not text and os.environ.get(VARIABLE):
        try:
            with open(os.environ[VARIABLE], encoding="utf-8") as file:
                settings = parse_settings(file.read(), "counter")
        except OSError as error:
            return Err(mishap("settings_missing", f"the settings file can't be read: {error}"))
        if settings.is_ok():
            text = ",".join(settings.ok().seeds)
    addresses = [part.strip() for part in text.split(",") if part.strip()]
    wrong = [address for address in addresses if split_address(address) is None]
    if wrong or not addresses:
        return Err(
            mishap(
                "usage",
                f"'{wrong[0]}' is not IP:PORT"
                if wrong
                else f"name a registrar with --at IP:PORT, or in {REGISTRARS}",
            )
        )
    return Ok(addresses)


def call_one(
    address: str, method: str, path: str, body: bytes, headers: dict, hops: int = 0
) -> Outcome | None:
    """One call, following 307 twice at most; None if there is no clear reply.

    >>> call_one("127.0.0.1:1", "GET", "/", b"", {}) is None
    True
    """
    host, port = split_address(address)
    wire = http.client.HTTPConnection(host, port, timeout=CALL_S)
    try:
        wire.request(method, path, body or None, headers)
        reply = wire.getresponse()
        data = reply.read(MOST_REPLY)
        if reply.status == 307 and hops < MOST_HOPS:
            target = reply.headers.get("Location", "")
            place, _slash, rest = target.removeprefix("http://").partition("/")
            if split_address(place) is None:
                return None
            return call_one(place, method, "/" + rest, body, headers, hops + 1)
        return Outcome(reply.status, data, address, reply.headers.get("Sumacloom-View", ""))
    except (OSError, http.client.HTTPException):
        return None
    finally:
        wire.close()


def call(
    addresses: list[str],
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict | None = None,
    patience_s: float = PATIENCE_S,
    clock=time.monotonic,
    rest=time.sleep,
) -> Result:
    """Calls one registrar after the other until one answers clearly, in bounded time.

    An unclear end (silence, a 5xx, 408, 429) is sent again unchanged, to the next one, with growing
    pauses; the registers make that safe. Gives Ok(Outcome), or Err with the registrar's own sentence.

    >>> call(["127.0.0.1:1"], "GET", "/", patience_s=0.0).err().name
    'unreachable'
    """
    started, pause, number = clock(), 0.1, 0
    alone, last = (
        None,
        mishap("unreachable", f"no registrar could be reached at {', '.join(addresses)}"),
    )
    while True:
        outcome = call_one(addresses[number % len(addresses)], method, path, body, headers or {})
        number += 1
        if outcome and outcome.view and outcome.status < 300 and number < len(addresses):
            alone = outcome  # another may know better
            continue
        if outcome and outcome.status < 500 and outcome.status not in AGAIN:
            return Ok(outcome) if outcome.status < 300 else Err(read_mishap(outcome))
        if alone and number >= len(addresses):
            return Ok(alone)
        if outcome:
            last = read_mishap(outcome)
        if number >= len(addresses) and clock() - started >= patience_s:
            return Err(last)
        if number % len(addresses) == 0:
            rest(pause)
            pause = min(2.0, pause * 2)


def read_mishap(outcome: Outcome):
    """The numbered mishap in a reply; `garbled` if there is none.

    >>> read_mishap(Outcome(404, b"<html>", "10.0.0.1:80")).name
    'garbled'
    """
    try:
        data = json.loads(outcome.body)
        name = data["error"]
        return mishap(name if name in TABLE else "garbled", str(data["sentence"]))
    except (ValueError, KeyError, TypeError):
        return mishap(
            "garbled",
            f"{outcome.address} answered {outcome.status} with something that is not ours",
        )


def read_json(outcome: Outcome, kind: type) -> Result:
    """The JSON of a reply, of the kind expected.

    >>> read_json(Outcome(200, b"[]", "10.0.0.1:80"), list).ok()
    []
    """
    try:
        data = json.loads(outcome.body)
    except ValueError:
        data = None
    if not isinstance(data, kind):
        return Err(mishap("garbled", f"{outcome.address} answered with something that is not ours"))
    return Ok(data)
