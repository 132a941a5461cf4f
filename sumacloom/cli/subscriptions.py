"""Commands of subscribers: subscribe, unsubscribe, and who subscribes."""

import hashlib
import json as json_library
import os

from sumacloom.cli import client, feed_reader
from sumacloom.cli.calls import Deadline, call, command, rows_printer, show_table
from sumacloom.errors import SubscribersPendingError

TOKEN_LENGTH = 32
JOINED_STATES = ("listening", "lapsed")


@command
def subscribe(
    name: str,
    database: str,
    *,
    into: str,
    count: int = 0,
    seconds: float = 0.0,
    at: str = "",
    wait: float = 15.0,
) -> None:
    """Subscribes to a database: each committed write comes once, as a line of a file.

    :param name: who subscribes; a name is taken by one subscriber
    :param database: the database
    :param into: the file that the items are appended to; the same file again goes on where it ended
    :param count: end after so many items; 0 goes on
    :param seconds: end after so long; 0 goes on
    :param at: controllers to ask, IP:PORT,IP:PORT
    :param wait: how many seconds to wait until every pooler knows of the subscriber
    """
    token = hashlib.sha256(os.path.abspath(into).encode()).hexdigest()[:TOKEN_LENGTH]
    body = json_library.dumps({"name": name, "database": database, "token": token}).encode()
    call(at, "POST", "/api/admin/listeners", dict, body)
    await_joined(name, database, at, wait)
    addresses = client.find_controllers(at)
    taken = feed_reader.take_items(addresses, name, database, into, count, seconds)
    print(f"{taken} items taken")


def await_joined(name: str, database: str, at: str, wait_s: float) -> None:
    """Waits until a subscriber that joins is known to every pooler.

    Raises:
        SubscribersPendingError: it is not in time.
    """
    deadline = Deadline(wait_s)
    while True:
        rows = call(at, "GET", "/api/admin/listeners", list)
        found = [row for row in rows if (row.get("name"), row.get("database")) == (name, database)]
        row = found[0] if found else {}
        if row.get("state") in JOINED_STATES:
            return
        waits_for = row.get("waits_for") or "the controllers"
        deadline.wait_or_raise(SubscribersPendingError(f"{name} joins, but waits for {waits_for}"))


@command
def unsubscribe(name: str, database: str, *, at: str = "") -> None:
    """Ends a subscriber.

    :param name: who subscribes
    :param database: the database
    :param at: controllers to ask, IP:PORT,IP:PORT
    """
    call(at, "DELETE", f"/api/admin/listeners/{client.quote_path(database, name)}", dict)
    print(f"{name} no longer subscribes to {database}")


@command
def subscribers(*, at: str = "", json: bool = False, nodes: bool = False) -> None:
    """Lists who subscribes, how far each is, and whom a joining one waits for.

    :param at: controllers to ask, IP:PORT,IP:PORT
    :param json: rows as JSON
    :param nodes: instead, which list each node holds; ends with 6 unless all hold the identical one
    """
    if not nodes:
        show_table("listeners", at, json)
        return
    rows = call(at, "GET", "/api/admin/listening", list)
    rows_printer(json)(rows)
    behind, digests = feed_reader.find_disagreement(rows)
    if behind or len(digests) > 1:
        why = ", ".join(behind) or "digests differ"
        raise SubscribersPendingError(f"not all nodes hold the newest list: {why}")
