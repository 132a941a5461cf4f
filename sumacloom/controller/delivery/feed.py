"""The feed of one database: the items that its subscribers take, each once; a register of its own."""

from collections.abc import Callable
from typing import NamedTuple

import msgspec

from sumacloom.consensus.codec import Change, decode, encode
from sumacloom.errors import (
    OffsetAheadError,
    OffsetBehindError,
    SubscriberLapsedError,
    SubscriberNotFoundError,
)

MAX_ITEMS, MAX_BYTES = 1000, 256 << 10
MAX_INCARNATIONS = 512

# what became of a write, in delivery outcomes
DONE, NOT_DONE, DOUBTFUL = "done", "not", "doubtful"


class FeedItem(msgspec.Struct, array_like=True):
    """One committed write; `doubtful` if no answer told whether it was committed."""

    number: int
    text: str
    doubtful: bool


class FeedEntry(NamedTuple):
    """A write to append: the pooler's incarnation and number make it known again."""

    incarnation: int
    number: int
    text: str
    kind: str


class Feed(msgspec.Struct, array_like=True):
    """The register's value.

    Attributes:
        next: the number of the next item.
        items: those that some subscriber has not acknowledged.
        seen: for each incarnation of a pooler, the ranges of its numbers that were appended or dropped.
        offsets: for each subscriber, the first number that it has not acknowledged.
        lapsed: subscribers that were too slow, and how many items they missed.
    """

    next: int = 1
    items: list[FeedItem] = []
    seen: dict[int, list[list[int]]] = {}
    offsets: dict[str, int] = {}
    lapsed: dict[str, int] = {}

    def has_seen(self, incarnation: int, number: int) -> bool:
        """Whether the write of that incarnation and number was appended or dropped.

        >>> feed = Feed(); feed.mark_seen(7, 1)
        >>> feed.has_seen(7, 1), feed.has_seen(7, 2), feed.has_seen(8, 1)
        (True, False, False)
        """
        return any(low <= number <= high for low, high in self.seen.get(incarnation, ()))

    def mark_seen(self, incarnation: int, number: int) -> None:
        """Remembers a number; neighbours become one range.

        >>> feed = Feed(); feed.mark_seen(7, 1); feed.mark_seen(7, 3); feed.mark_seen(7, 2); feed.seen
        {7: [[1, 3]]}
        """
        ranges = sorted([*self.seen.pop(incarnation, []), [number, number]])
        joined = ranges[:1]
        for low, high in ranges[1:]:
            if low <= joined[-1][1] + 1:
                joined[-1][1] = max(joined[-1][1], high)
            else:
                joined.append([low, high])
        self.seen[incarnation] = joined  # the incarnation heard of last stands last
        while len(self.seen) > MAX_INCARNATIONS:
            del self.seen[next(iter(self.seen))]

    def append(self, entry: FeedEntry) -> bool:
        """Appends a write, or drops one that was not done; False if it was seen before."""
        if self.has_seen(entry.incarnation, entry.number):
            return False
        self.mark_seen(entry.incarnation, entry.number)
        if entry.kind != NOT_DONE and self.offsets:
            self.items.append(FeedItem(self.next, entry.text, entry.kind == DOUBTFUL))
            self.next += 1
        return True

    def trim(self) -> None:
        """Drops what every subscriber has acknowledged; ends the slowest while there is too much."""
        while True:
            least = min(self.offsets.values(), default=self.next)
            self.items = [item for item in self.items if item.number >= least]
            if not self.offsets or self._fits():
                return
            slowest = min(self.offsets, key=lambda name: self.offsets[name])
            self.lapsed[slowest] = self.next - self.offsets.pop(slowest)

    def _fits(self) -> bool:
        size = sum(len(item.text) for item in self.items)
        return len(self.items) <= MAX_ITEMS and size <= MAX_BYTES


def _change_feed(alter: Callable[[Feed], bool]) -> Change:
    """A change made of a function that alters a feed and returns whether it did."""

    def change(current: bytes | None) -> bytes | None:
        feed = decode(Feed, current) or Feed()
        return encode(feed) if alter(feed) else None

    return change


def append(entries: list[FeedEntry]) -> Change:
    """The change that appends writes; what was seen before is left out.

    >>> once = append([FeedEntry(7, 1, "PUT a b", "done")]); joined = join("desk")(None)
    >>> feed = decode(Feed, once(joined)); [item.text for item in feed.items], once(once(joined))
    (['PUT a b'], None)
    """

    def alter(feed: Feed) -> bool:
        appended = [feed.append(entry) for entry in entries]
        feed.trim()
        return any(appended)

    return _change_feed(alter)


def join(name: str) -> Change:
    """The change that lets a subscriber in: it gets all that is appended from now on.

    >>> decode(Feed, join("desk")(None)).offsets
    {'desk': 1}
    """

    def alter(feed: Feed) -> bool:
        if name in feed.offsets:
            return False
        feed.lapsed.pop(name, None)
        feed.offsets[name] = feed.next
        return True

    return _change_feed(alter)


def leave(name: str) -> Change:
    """The change that forgets a subscriber."""

    def alter(feed: Feed) -> bool:
        known = name in feed.offsets or name in feed.lapsed
        feed.offsets.pop(name, None)
        feed.lapsed.pop(name, None)
        feed.trim()
        return known

    return _change_feed(alter)


def lapsed_error(missed: int) -> SubscriberLapsedError:
    """The error for a subscriber that was too slow."""
    return SubscriberLapsedError(
        f"the subscriber was too slow and missed {missed} items; subscribe anew"
    )


def acknowledge(name: str, offset: int) -> Change:
    """The change that takes a subscriber's offset: all below it is acknowledged."""

    def alter(feed: Feed) -> bool:
        if name in feed.lapsed:
            raise lapsed_error(feed.lapsed[name])
        if name not in feed.offsets:
            raise SubscriberNotFoundError
        if offset > feed.next:
            raise OffsetAheadError(
                f"the offset {offset} is ahead of the feed, whose next item is {feed.next}"
            )
        before = feed.offsets[name]
        if offset < before:
            raise OffsetBehindError(f"all below {before} was acknowledged and is no longer kept")
        feed.offsets[name] = offset
        feed.trim()
        return offset > before

    return _change_feed(alter)
