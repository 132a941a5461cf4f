"""Takes items of a feed into a file.

The file is the offset too: an item and the proof that it was taken are one line, synced before the next
call acknowledges it. So an item is in the file once, whatever dies in between.
"""

import contextlib
import json
import os
import time
from collections.abc import Callable
from typing import Any

from sumacloom.cli import client
from sumacloom.errors import OutputUnwritableError, SumacloomError

MAX_ITEMS = 200

Item = dict[str, Any]


def last_number(path: str) -> int:
    """The number of the file's last complete line, 0 if there is none; a torn last line is cut off.

    >>> last_number("/nowhere/at/all")
    0

    Raises:
        OutputUnwritableError: the file can't be used, or holds something else.
    """
    try:
        complete = _cut_torn_line(path)
    except FileNotFoundError:
        return 0
    except OSError as error:
        raise OutputUnwritableError(f"the file can't be used: {error}") from error
    if not complete:
        return 0
    try:
        return int(json.loads(complete.splitlines()[-1])["number"])
    except (ValueError, KeyError, TypeError) as error:
        raise OutputUnwritableError(f"the last line of {path} is not an item") from error


def _cut_torn_line(path: str) -> bytes:
    """The file's complete lines."""
    with open(path, "rb+") as file:
        data = file.read()
        complete = data[: data.rfind(b"\n") + 1]
        if len(complete) < len(data):
            file.truncate(len(complete))
            os.fsync(file.fileno())
    return complete


def append_items(path: str, items: list[Item]) -> None:
    """Appends items to the file, synced.

    Raises:
        OutputUnwritableError: the disk refuses.
    """
    is_new = not os.path.exists(path)
    try:
        with open(path, "ab") as file:
            file.write(b"".join(json.dumps(item).encode() + b"\n" for item in items))
            file.flush()
            os.fsync(file.fileno())
        if is_new:
            _sync_folder(os.path.dirname(os.path.abspath(path)))
    except OSError as error:
        raise OutputUnwritableError(f"the items can't be written: {error}") from error


def _sync_folder(path: str) -> None:
    folder = os.open(path, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def take_items(
    addresses: list[str],
    name: str,
    database: str,
    path: str,
    count: int,
    seconds: float,
    clock: Callable[[], float] = time.monotonic,
) -> int:
    """Takes items into the file until the count or the time is reached; 0 of either means without end.

    Returns:
        How many items were taken.

    Raises:
        SumacloomError: a call failed, or the file can't be written.
    """
    last, taken, deadline = last_number(path), 0, clock() + seconds
    feed_path = f"/api/admin/items/{client.quote_path(database, name)}"
    while (not count or taken < count) and (not seconds or clock() < deadline):
        offset = last + 1 if last else 0
        limit = min(MAX_ITEMS, count - taken) if count else MAX_ITEMS
        query = f"cursor={offset}&wait=1&most={limit}"
        reply = client.call(addresses, "GET", f"{feed_path}?{query}").parse(dict)
        items = [item for item in reply.get("items", []) if item["number"] > last]
        if items:
            append_items(path, items)
            taken += len(items)
            last = items[-1]["number"]
    if taken:  # what is safe in the file need not be kept for us any more
        with contextlib.suppress(SumacloomError):
            query = f"cursor={last + 1}&wait=0"
            client.call(addresses, "GET", f"{feed_path}?{query}", patience_s=0.0)
    return taken


def find_disagreement(rows: list[dict[str, Any]]) -> tuple[list[str], set[str | None]]:
    """The nodes that don't hold the newest list, and the digests of those that do.

    >>> find_disagreement([
    ...     {"node": "a", "generation": 2, "digest": "x"}, {"node": "b", "generation": 1, "digest": "y"}])
    (['b (1)'], {'x'})
    """
    newest = max((row.get("generation", 0) for row in rows), default=0)
    behind = [
        f"{row.get('node')} ({row.get('why') or row.get('generation')})"
        for row in rows
        if row.get("generation", 0) != newest
    ]
    return behind, {row.get("digest") for row in rows if row.get("generation", 0) == newest}
