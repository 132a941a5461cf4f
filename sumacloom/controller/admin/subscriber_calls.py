"""The subscribers' calls of the admin API: subscribe, end, take items, and who holds which list."""

import json
import math
import urllib.parse
from typing import TYPE_CHECKING, Any, NamedTuple

import curio

from sumacloom.consensus.codec import Change, decode
from sumacloom.consensus.contact import CONTACT_S
from sumacloom.controller.admin.holders import holder_row, unanswered_rows
from sumacloom.controller.admin.orders import commit_order
from sumacloom.controller.admin.routing import route, split_path
from sumacloom.controller.delivery.feed import FeedItem, acknowledge, lapsed_error
from sumacloom.controller.delivery.subscribers import (
    JOINING,
    LAPSED,
    Subscriber,
    SubscribersValue,
    subscribe,
    unsubscribe,
)
from sumacloom.controller.registers import FEED_PREFIX, SUBSCRIBERS_KEY
from sumacloom.errors import (
    BadRequestError,
    NoQuorumError,
    SubscriberNotFoundError,
    UnknownDatabaseError,
)
from sumacloom.http import Reply, Request, json_reply
from sumacloom.transport.messages import CONTROLLER_ROLE, POOLER_ROLE
from sumacloom.transport.update_cache import subscribers_checksum

if TYPE_CHECKING:
    from sumacloom.controller.core import ControllerCore
    from sumacloom.controller.process import ControllerProcess

RETRY_AFTER_S = str(math.ceil(CONTACT_S))  # by then a majority that is back is heard
POLL_S = 0.05
MAX_WAIT_S, MAX_ITEMS = 20.0, 200
MAX_NAME_LENGTH = 64
RESERVED_CHARACTERS = frozenset(" /?#%")
WHY_ASKED = "asked"


class SubscribeCall(NamedTuple):
    """The body of a call to subscribe."""

    name: str
    database: str
    token: str


class TakeCall(NamedTuple):
    """The query of a call that takes items."""

    offset: int
    wait_s: float
    limit: int


def is_name(value: Any) -> bool:
    """Whether a value may name a subscriber: one word, not too long.

    >>> is_name("desk-1"), is_name("a b"), is_name(7)
    (True, False, False)
    """
    return (
        isinstance(value, str)
        and 0 < len(value) <= MAX_NAME_LENGTH
        and value.isprintable()
        and not set(value) & RESERVED_CHARACTERS
    )


async def _commit(
    process: "ControllerProcess", key: str, change: Change, request: Request | None = None
) -> bytes | None:
    """Commits a change, refused at once without a quorum; with a request, only while its caller waits."""
    if not process.core.has_quorum_contact(process.now()):
        raise NoQuorumError("no majority of the controllers is heard from here")
    if request is not None:
        return await commit_order(process, request, key, change)
    return await process.commit(key, change)


def parse_subscribe_call(body: bytes, databases: set[str]) -> SubscribeCall:
    """Reads the body of a call to subscribe.

    Raises:
        BadRequestError: a field is missing or wrong.
        UnknownDatabaseError: the configuration has no such database.
    """
    try:
        fields = json.loads(body)
        call = SubscribeCall(fields["name"], fields["database"], fields.get("token", ""))
    except (ValueError, KeyError, TypeError, AttributeError):
        raise BadRequestError(
            'the body must be {"name": ..., "database": ..., "token": ...}'
        ) from None
    valid_token = isinstance(call.token, str) and len(call.token) <= MAX_NAME_LENGTH
    if not is_name(call.name) or not isinstance(call.database, str) or not valid_token:
        raise BadRequestError(f"name and token are words of {MAX_NAME_LENGTH} letters at most")
    if call.database not in databases:
        raise UnknownDatabaseError(f"the configuration has no database '{call.database}'")
    return call


@route("POST", "/api/admin/listeners", RETRY_AFTER_S)
async def post_subscriber(process: "ControllerProcess", request: Request) -> Reply:
    """Somebody wants to subscribe; the same call again is the same subscriber."""
    name, database, token = parse_subscribe_call(request.body, process.core.cache.databases())
    change = subscribe(name, database, token)
    value = decode(SubscribersValue, await _commit(process, SUBSCRIBERS_KEY, change, request))
    found = value.find(name, database) if value else None
    return json_reply(
        200,
        {
            "name": name,
            "database": database,
            "generation": value.version if value else 0,
            "state": found.state if found else "ended",
        },
    )


@route("DELETE", "/api/admin/listeners/([^/]+)/([^/]+)", RETRY_AFTER_S)
async def delete_subscriber(
    process: "ControllerProcess", request: Request, database: str, name: str
) -> Reply:
    """Ends a subscriber by a recorded order."""
    await _commit(process, SUBSCRIBERS_KEY, unsubscribe(name, database, WHY_ASKED), request)
    return json_reply(200, {"name": name, "database": database, "state": "ended"})


def parse_take_call(query: str) -> TakeCall:
    """Reads the query of a call that takes items.

    >>> parse_take_call("cursor=4&wait=1")
    TakeCall(offset=4, wait_s=1.0, limit=200)

    Raises:
        BadRequestError: a number is missing or out of range.
    """
    fields = dict(urllib.parse.parse_qsl(query))
    try:
        offset = int(fields.get("cursor", 0))
        wait_s = float(fields.get("wait", 0))
        limit = int(fields.get("most", MAX_ITEMS))
    except ValueError:
        raise BadRequestError("cursor, wait and most must be numbers") from None
    if offset < 0 or not wait_s >= 0 or limit < 1:
        raise BadRequestError("cursor, wait and most must not be below 0, 0 and 1")
    return TakeCall(offset, min(wait_s, MAX_WAIT_S), min(limit, MAX_ITEMS))


def require_subscriber(core: "ControllerCore", name: str, database: str) -> Subscriber:
    """The subscriber, if it may take items.

    Raises:
        SubscriberNotFoundError: there is none.
        SubscriberLapsedError: it was too slow.
    """
    subscriber = core.subscriptions.value().find(name, database)
    if subscriber is None:
        raise SubscriberNotFoundError(f"nobody called '{name}' listens to '{database}'")
    feed = core.subscriptions.feed(database)
    if name in feed.lapsed:
        raise lapsed_error(feed.lapsed[name])
    if subscriber.state == LAPSED:
        raise lapsed_error(subscriber.missed)
    return subscriber


@route("GET", "/api/admin/items/([^/]+)/([^/]+)", RETRY_AFTER_S)
async def get_items(
    process: "ControllerProcess", request: Request, database: str, name: str
) -> Reply:
    """A long poll: the offset acknowledges all below it, and what follows comes, each item once."""
    core = process.core
    call = parse_take_call(split_path(request)[1])
    require_subscriber(core, name, database)
    deadline = process.now() + call.wait_s
    while True:
        subscriber = require_subscriber(core, name, database)
        acknowledged = core.subscriptions.feed(database).offsets.get(name)
        if acknowledged is not None and call.offset and call.offset != acknowledged:
            await _commit(process, FEED_PREFIX + database, acknowledge(name, call.offset))
        start = call.offset or acknowledged or 0
        items: list[FeedItem] = []
        if acknowledged is not None:
            feed = core.subscriptions.feed(database)
            items = [item for item in feed.items if item.number >= start][: call.limit]
        if items or process.now() >= deadline:
            return json_reply(200, _items_body(subscriber, items, start))
        await curio.sleep(POLL_S)


def _items_body(subscriber: Subscriber, items: list[FeedItem], start: int) -> dict[str, Any]:
    return {
        "state": subscriber.state,
        "cursor": items[-1].number + 1 if items else start,
        "items": [
            {"number": item.number, "text": item.text, "doubtful": item.doubtful} for item in items
        ],
    }


def subscriber_rows(core: "ControllerCore", now: float) -> list[dict[str, Any]]:
    """The subscribers, how far each is, and whom a joining one waits for."""
    rows = []
    for subscriber in core.subscriptions.value().rows:
        feed = core.subscriptions.feed(subscriber.database)
        offset = feed.offsets.get(subscriber.name)
        waits_for: list[str] = []
        if subscriber.state == JOINING:
            waits_for = core.members.without_subscribers(subscriber.since, now)
        rows.append(
            {
                "name": subscriber.name,
                "database": subscriber.database,
                "state": subscriber.state,
                "cursor": offset or 0,
                "behind": feed.next - offset if offset else 0,
                "missed": feed.lapsed.get(subscriber.name, subscriber.missed),
                "waits_for": ",".join(waits_for),
            }
        )
    return rows


def holder_rows(
    core: "ControllerCore", node: str, poolers: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    """Which list this controller and its poolers hold; who does not answer, or is lost, holds none."""
    held = core.cache.subscribers
    entries = len(core.delivery.entries)
    own = holder_row(
        node, CONTROLLER_ROLE, held.version, subscribers_checksum(held), spooled=entries
    )
    answered = [
        holder_row(
            row["node"],
            POOLER_ROLE,
            row["listeners"],
            row["listeners_digest"],
            spooled=row["unnoted"],
        )
        for row in poolers
    ]
    return [own, *answered, *unanswered_rows(core, poolers, spooled=0)]
