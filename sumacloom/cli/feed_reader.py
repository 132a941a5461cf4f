"""The operator's and subscribers' commands for listeners.

The file that `listen` writes is its cursor too: an item and the proof that it was taken are one line, synced
before the next taking acknowledges it. So an item is in the file once, whatever dies in between.
"""

import json
import os
import time
import urllib.parse

from sumacloom.cli import client
from sumacloom.errors import Err, Ok, Result, mishap


def last_number(path: str) -> Result:
    """The number of the last whole line of the file, 0 if there is none; a torn last line is cut off.

    >>> last_number("/nowhere/at/all").ok()
    0
    """
    try:
        with open(path, "rb+") as file:
            data = file.read()
            whole = data[: data.rfind(b"\n") + 1]
            if len(whole) < len(data):
                file.truncate(len(whole))
                os.fsync(file.fileno())
    except FileNotFoundError:
        return Ok(0)
    except OSError as error:
        return Err(mishap("effect_unwritable", f"the file can't be used: {error}"))
    try:
        return Ok(int(json.loads(whole.splitlines()[-1])["number"]) if whole else 0)
    except (ValueError, KeyError, TypeError):
        return Err(mishap("effect_unwritable", f"the last line of {path} is not an item"))


def keep(path: str, items: list[dict]) -> Result:
    """Appends items to the file, synced.

    >>> keep("/nowhere/at/all", [{"number": 1}]).err().name
    'effect_unwritable'
    """
    fresh = not os.path.exists(path)
    try:
        with open(path, "ab") as file:
            file.write(b"".join(json.dumps(item).encode() + b"\n" for item in items))
            file.flush()
            os.fsync(file.fileno())
        if fresh:
            folder = os.open(os.path.dirname(os.path.abspath(path)), os.O_RDONLY)
            try:
                os.fsync(folder)
            finally:
                os.close(folder)
    except OSError as error:
        return Err(mishap("effect_unwritable", f"the items can't be written: {error}"))
    return Ok(None)


def take_all(
    addresses: list[str],
    name: str,
    database: str,
    path: str,
    count: int,
    seconds: float,
    clock=time.monotonic,
) -> Result:
    """Takes items into the file until the count or the time is reached; 0 of either means without end.

    >>> take_all([], "desk", "books", "/nowhere/at/all", 1, -1.0)
    Ok(0)
    """
    number = last_number(path)
    if number.is_err():
        return number
    taken, last, cutoff = 0, number.ok(), clock() + seconds
    place = f"/api/admin/items/{urllib.parse.quote(database, safe='')}/{urllib.parse.quote(name, safe='')}"
    while (not count or taken < count) and (not seconds or clock() < cutoff):
        cursor = last + 1 if last else 0
        most = min(200, count - taken) if count else 200
        taking = client.call(addresses, "GET", f"{place}?cursor={cursor}&wait=1&most={most}")
        read = taking.and_then(lambda outcome: client.read_json(outcome, dict))
        if read.is_err():
            return read
        items = [item for item in read.ok().get("items", []) if item["number"] > last]
        if items:
            kept = keep(path, items)
            if kept.is_err():
                return kept
            taken, last = taken + len(items), items[-1]["number"]
    if taken:  # what is safe in the file need not be kept for us any more
        client.call(addresses, "GET", f"{place}?cursor={last + 1}&wait=0", patience_s=0.0)
    return Ok(taken)


def agreement(rows: list[dict]) -> tuple[list[str], set]:
    """The nodes that don't hold the newest list, and the digests of those that do.

    >>> agreement([{"node": "a", "generation": 2, "digest": "x"}, {"node": "b", "generation": 1, "digest": "y"}])
    (['b (1)'], {'x'})
    """
    newest = max((row.get("generation", 0) for row in rows), default=0)
    behind = [
        f"{row.get('node')} ({row.get('why') or row.get('generation')})"
        for row in rows
        if row.get("generation", 0) != newest
    ]
    return behind, {row.get("digest") for row in rows if row.get("generation", 0) == newest}
