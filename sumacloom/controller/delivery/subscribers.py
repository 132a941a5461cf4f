"""Who subscribes to which database: a register, brought to every node as an update.

A subscriber is `joining` until every pooler holds the list (also one lost without a goodbye, for as long as
it is remembered); then its offset in the feed is taken, then it is `listening`. One that is too slow is
`lapsed`. Nobody disappears but by a recorded order.
"""

import logging
from typing import TYPE_CHECKING

import msgspec

from sumacloom.consensus.codec import Change, decode, encode
from sumacloom.controller.delivery.feed import Feed, join, leave
from sumacloom.controller.registers import FEED_PREFIX, SUBSCRIBERS_KEY
from sumacloom.errors import (
    StaleVersionError,
    SubscriberExistsError,
    SubscriberNotFoundError,
    TooManySubscribersError,
)
from sumacloom.transport.updates import SubscriberUpdate

if TYPE_CHECKING:
    from sumacloom.controller.core import ControllerCore

logger = logging.getLogger(__name__)

MAX_SUBSCRIBERS, MAX_ENDED = 256, 64
JOINING, LISTENING, LAPSED = "joining", "listening", "lapsed"


class Subscriber(msgspec.Struct, array_like=True):
    """One subscriber.

    Attributes:
        token: the caller's own; the same call again is no second subscriber.
        since: the version in which it came.
        missed: how many items it missed when it lapsed.
    """

    name: str
    database: str
    state: str
    token: str
    since: int
    missed: int = 0


class SubscribersValue(msgspec.Struct, array_like=True):
    """The register's value.

    Attributes:
        feeds: databases that ever had a subscriber.
        ended: (name, database, version, by what order) of those that ended lately.
    """

    version: int = 0
    rows: list[Subscriber] = []
    feeds: list[str] = []
    ended: list[tuple[str, str, int, str]] = []

    def update(self) -> SubscriberUpdate:
        """As it goes to every node."""
        rows = [(row.name, row.database, row.state) for row in self.rows]
        return SubscriberUpdate(self.version, rows)

    def find(self, name: str, database: str) -> Subscriber | None:
        """A subscriber by name and database."""
        wanted = (name, database)
        return next((row for row in self.rows if (row.name, row.database) == wanted), None)


def subscribe(name: str, database: str, token: str) -> Change:
    """The change that adds a subscriber; the same call again changes nothing.

    >>> change = subscribe("desk", "books", "t"); first = change(None); change(first) is None
    True
    """

    def change(current: bytes | None) -> bytes | None:
        value = decode(SubscribersValue, current) or SubscribersValue()
        known = value.find(name, database)
        if known and known.state != LAPSED:
            if known.token != token:
                raise SubscriberExistsError
            return None
        if len(value.rows) >= MAX_SUBSCRIBERS:
            raise TooManySubscribersError
        version = value.version + 1
        others = [row for row in value.rows if row is not known]
        rows = [*others, Subscriber(name, database, JOINING, token, version)]
        feeds = sorted({*value.feeds, database})
        return encode(SubscribersValue(version, rows, feeds, value.ended))

    return change


def unsubscribe(name: str, database: str, why: str) -> Change:
    """The change that ends a subscriber by a recorded order; ended before, it changes nothing."""

    def change(current: bytes | None) -> bytes | None:
        value = decode(SubscribersValue, current) or SubscribersValue()
        if value.find(name, database) is None:
            if not any(entry[:2] == (name, database) for entry in value.ended):
                raise SubscriberNotFoundError
            return None
        version = value.version + 1
        rows = [row for row in value.rows if (row.name, row.database) != (name, database)]
        ended = [*value.ended, (name, database, version, why)][-MAX_ENDED:]
        return encode(SubscribersValue(version, rows, value.feeds, ended))

    return change


def set_state(subscriber: Subscriber, state: str, missed: int = 0) -> Change:
    """The change of a subscriber's state, refused if it is another by now."""

    def change(current: bytes | None) -> bytes:
        value = decode(SubscribersValue, current) or SubscribersValue()
        found = value.find(subscriber.name, subscriber.database)
        expected = (subscriber.since, subscriber.state)
        if found is None or (found.since, found.state) != expected:
            raise StaleVersionError("the subscriber has changed meanwhile")
        found.state = state
        found.missed = missed
        value.version += 1
        return encode(value)

    return change


class Subscriptions:
    """The subscribers and feeds as one controller knows them; as lease holder it moves them on."""

    def __init__(self, core: "ControllerCore"):
        self._core = core

    def value(self) -> SubscribersValue:
        """The list as this controller knows it to be committed."""
        return self._core.committed_value(SUBSCRIBERS_KEY, SubscribersValue) or SubscribersValue()

    def feed(self, database: str) -> Feed:
        """A feed as this controller knows it to be committed."""
        return self._core.committed_value(FEED_PREFIX + database, Feed) or Feed()

    def feed_keys(self) -> list[str]:
        """The keys of the feeds."""
        if SUBSCRIBERS_KEY not in self._core.committed:
            return []
        return [FEED_PREFIX + database for database in self.value().feeds]

    def on_timer(self, now: float) -> None:
        """As lease holder: takes subscribers in step by step, ends lapsed ones, forgets ended ones."""
        core, value = self._core, self.value()
        if not value.feeds or not core.failover_lease.is_held(now) or not core.in_quorum(now):
            return
        busy = {proposal.key for proposal in core.proposals}
        for subscriber in value.rows:
            feed_key = FEED_PREFIX + subscriber.database
            if SUBSCRIBERS_KEY not in busy and feed_key not in busy:
                busy |= self._advance(subscriber, feed_key, now)
        for database in value.feeds:
            feed_key, feed = FEED_PREFIX + database, self.feed(database)
            ended = [
                name for name in [*feed.offsets, *feed.lapsed] if value.find(name, database) is None
            ]
            if ended and feed_key not in busy:
                core.propose(feed_key, leave(ended[0]), now)

    def _advance(self, subscriber: Subscriber, feed_key: str, now: float) -> set[str]:
        """Proposes a subscriber's next step, if one is due; returns the keys that are busy by it."""
        core, name, database = self._core, subscriber.name, subscriber.database
        feed = self.feed(database)
        if subscriber.state == JOINING:
            if core.members.without_subscribers(subscriber.since, now):
                return set()
            if name not in feed.offsets:
                core.propose(feed_key, join(name), now)
                return {feed_key}
            logger.info("%s listens to %s from item %d on", name, database, feed.offsets[name])
            core.propose(SUBSCRIBERS_KEY, set_state(subscriber, LISTENING), now)
            return {SUBSCRIBERS_KEY}
        if subscriber.state == LISTENING and name in feed.lapsed:
            missed = feed.lapsed[name]
            logger.warning("%s was too slow for %s and missed %d items", name, database, missed)
            core.propose(SUBSCRIBERS_KEY, set_state(subscriber, LAPSED, missed), now)
            return {SUBSCRIBERS_KEY}
        return set()
