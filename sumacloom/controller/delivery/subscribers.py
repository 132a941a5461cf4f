"""Who listens: a register, brought to every node as news; nobody disappears but by a recorded order.

A listener is `joining` until every counter holds the list (also one lost without a word, for as long as it is
remembered), then its place in the feed is taken, then it is `listening`. One that is too slow is `lapsed`.
"""

import msgspec

from sumacloom.controller.delivery.feed import Feed, join, leave
from sumacloom.controller.failover import lease
from sumacloom.controller.registers.values import decode, encode
from sumacloom.errors import Err, Ok, mishap
from sumacloom.logs import Scribe
from sumacloom.transport.updates import ListenNews

scribe = Scribe("listeners")
KEY = "listeners"
FEEDS = "feed/"
MOST_LISTENERS, MOST_ENDED = 256, 64


class Row(msgspec.Struct, array_like=True):
    name: str
    database: str
    state: str  # joining listening lapsed
    token: str  # the caller's own: the same call again is no second listener
    since: int  # the generation in which it came
    missed: int = 0


class Listeners(msgspec.Struct, array_like=True):
    generation: int = 0
    rows: list[Row] = []
    feeds: list[str] = []  # databases that were ever listened to
    ended: list[tuple[str, str, int, str]] = []  # name, database, generation, by what order

    def news(self) -> ListenNews:
        """As it goes to every node.

        >>> Listeners(1, [Row("desk", "books", "joining", "t", 1)]).news().rows
        [('desk', 'books', 'joining')]
        """
        return ListenNews(
            self.generation, [(row.name, row.database, row.state) for row in self.rows]
        )

    def find(self, name: str, database: str) -> Row | None:
        """The row of a listener.

        >>> Listeners().find("desk", "books") is None
        True
        """
        return next(
            (row for row in self.rows if (row.name, row.database) == (name, database)), None
        )


def held(office) -> Listeners:
    """The list as this registrar knows it to be decided."""
    return decode(Listeners, office.decided[KEY][1]) if KEY in office.decided else Listeners()


def feed_of(office, database: str) -> Feed:
    """The feed as this registrar knows it to be decided."""
    found = office.decided.get(FEEDS + database)
    return decode(Feed, found[1]) if found else Feed()


def subscribe(name: str, database: str, token: str):
    """The change that adds a listener; the same call again changes nothing, another's name is taken.

    >>> change = subscribe("desk", "books", "t"); first = change(None).ok()
    >>> change(first), subscribe("desk", "books", "u")(first).err().name
    (Ok(None), 'listener_exists')
    """

    def change(current_bytes):
        current = decode(Listeners, current_bytes) or Listeners()
        row = current.find(name, database)
        if row and row.state != "lapsed":
            return Ok(None) if row.token == token else Err(mishap("listener_exists"))
        if len(current.rows) >= MOST_LISTENERS:
            return Err(mishap("too_many_listeners"))
        generation = current.generation + 1
        rows = [other for other in current.rows if other is not row]
        return Ok(
            encode(
                Listeners(
                    generation,
                    [*rows, Row(name, database, "joining", token, generation)],
                    sorted({*current.feeds, database}),
                    current.ended,
                )
            )
        )

    return change


def unsubscribe(name: str, database: str, why: str):
    """The change that ends a listener, by a recorded order; ended before, it changes nothing.

    >>> unsubscribe("desk", "books", "asked")(None).err().name
    'no_listener'
    """

    def change(current_bytes):
        current = decode(Listeners, current_bytes) or Listeners()
        if current.find(name, database) is None:
            was = any(entry[:2] == (name, database) for entry in current.ended)
            return Ok(None) if was else Err(mishap("no_listener"))
        generation = current.generation + 1
        rows = [row for row in current.rows if (row.name, row.database) != (name, database)]
        ended = [*current.ended, (name, database, generation, why)][-MOST_ENDED:]
        return Ok(encode(Listeners(generation, rows, current.feeds, ended)))

    return change


def turn(row: Row, state: str, missed: int = 0):
    """The change of a listener's state, if it is still the one that was looked at.

    >>> decode(Listeners, turn(Row("d", "b", "joining", "t", 1), "listening")(subscribe("d", "b", "t")(None).ok()).ok()).rows[0].state
    'listening'
    """

    def change(current_bytes):
        current = decode(Listeners, current_bytes) or Listeners()
        found = current.find(row.name, row.database)
        if found is None or (found.since, found.state) != (row.since, row.state):
            return Err(mishap("stale_match", "the listener has changed meanwhile"))
        found.state, found.missed = state, missed
        current.generation += 1
        return Ok(encode(current))

    return change


def mind_listeners(office, now: float) -> None:
    """As holder of the duty: takes listeners in, one step at a time; ends lapsed ones and forgets the ended."""
    value = held(office)
    if not value.feeds or not lease.holds_duty(office, now) or not office.settled(now):
        return
    busy = {proposal.key for proposal in office.proposals}
    for row in value.rows:
        feed, key = feed_of(office, row.database), FEEDS + row.database
        if KEY in busy or key in busy:
            continue
        if row.state == "joining" and not office.members.unaware(row.since, now):
            if row.name not in feed.cursors:
                office.propose(key, join(row.name), now)
                busy.add(key)
            else:
                scribe.say(
                    "%s listens to %s from item %d on",
                    row.name,
                    row.database,
                    feed.cursors[row.name],
                )
                office.propose(KEY, turn(row, "listening"), now)
                busy.add(KEY)
        elif row.state == "listening" and row.name in feed.lapsed:
            scribe.warn(
                "%s was too slow for %s and missed %d items",
                row.name,
                row.database,
                feed.lapsed[row.name],
            )
            office.propose(KEY, turn(row, "lapsed", feed.lapsed[row.name]), now)
            busy.add(KEY)
    for database in value.feeds:
        key, feed = FEEDS + database, feed_of(office, database)
        gone = [
            name for name in [*feed.cursors, *feed.lapsed] if value.find(name, database) is None
        ]
        if gone and key not in busy:
            office.propose(key, leave(gone[0]), now)


def keys(office) -> list[str]:
    """The keys of the feeds."""
    return [FEEDS + database for database in held(office).feeds] if KEY in office.decided else []
