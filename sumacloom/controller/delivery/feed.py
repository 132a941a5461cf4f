"""The feed of one database: the items that listeners take, each once; a register, changed by any registrar."""

import msgspec

from sumacloom.controller.registers.values import decode, encode
from sumacloom.errors import Err, Ok, mishap

MOST_ITEMS, MOST_BYTES = 1000, 256 << 10
MOST_LIVES = 512


class Item(msgspec.Struct, array_like=True):
    number: int
    text: str
    doubtful: bool  # its commit may or may not be kept: no answer of the backend came


class Feed(msgspec.Struct, array_like=True):
    """`seen` holds, for each life of a counter, the ranges of its numbers that were appended or dropped."""

    next: int = 1
    items: list[Item] = []
    seen: dict[int, list[list[int]]] = {}
    cursors: dict[str, int] = {}  # listener: the first number that it has not yet acknowledged
    lapsed: dict[str, int] = {}  # listener that was too slow: how many items it missed

    def has(self, life: int, number: int) -> bool:
        """Whether the item of that life and number is behind us.

        >>> feed = Feed(); feed.note(7, 1); feed.has(7, 1), feed.has(7, 2), feed.has(8, 1)
        (True, False, False)
        """
        return any(low <= number <= high for low, high in self.seen.get(life, ()))

    def note(self, life: int, number: int) -> None:
        """Remembers a number; neighbours become one range.

        >>> feed = Feed(); feed.note(7, 1); feed.note(7, 3); feed.note(7, 2); feed.seen
        {7: [[1, 3]]}
        """
        ranges = sorted([*self.seen.pop(life, []), [number, number]])
        joined = ranges[:1]
        for low, high in ranges[1:]:
            if low <= joined[-1][1] + 1:
                joined[-1][1] = max(joined[-1][1], high)
            else:
                joined.append([low, high])
        self.seen[life] = joined  # the life heard of last stands last
        while len(self.seen) > MOST_LIVES:
            del self.seen[next(iter(self.seen))]

    def trim(self) -> None:
        """Drops what every listener has acknowledged; ends the slowest, loudly, while there is too much.

        >>> feed = Feed(next=3, items=[Item(1, "a", False), Item(2, "b", False)], cursors={"desk": 2}); feed.trim()
        >>> [item.number for item in feed.items]
        [2]
        """
        while True:
            least = min(self.cursors.values(), default=self.next)
            self.items = [item for item in self.items if item.number >= least]
            if not self.cursors or (
                len(self.items) <= MOST_ITEMS
                and sum(len(item.text) for item in self.items) <= MOST_BYTES
            ):
                return
            slowest = min(self.cursors, key=self.cursors.get)
            self.lapsed[slowest] = self.next - self.cursors.pop(slowest)


def changing(function):
    """A change of a feed from a function that alters it and tells whether it did, or refuses.

    >>> changing(lambda feed: Ok(False))(None)
    Ok(None)
    """

    def change(current_bytes):
        feed = decode(Feed, current_bytes) or Feed()
        result = function(feed)
        return result if result.is_err() else Ok(encode(feed) if result.ok() else None)

    return change


def append(entries: list[tuple[int, int, str, str]]):
    """The change that appends (life, number, text, kind); what was seen before is a no-op.

    >>> once = append([(7, 1, "PUT a b", "done")]); joined = join("desk")(None).ok()
    >>> feed = decode(Feed, once(joined).ok()); [item.text for item in feed.items], once(once(joined).ok())
    (['PUT a b'], Ok(None))
    """

    def alter(feed):
        fresh = [entry for entry in entries if not feed.has(*entry[:2])]
        for life, number, text, kind in fresh:
            if feed.has(life, number):
                continue
            feed.note(life, number)
            if kind != "not" and feed.cursors:
                feed.items.append(Item(feed.next, text, kind == "doubtful"))
                feed.next += 1
        feed.trim()
        return Ok(bool(fresh))

    return changing(alter)


def join(name: str):
    """The change that lets a listener in: it gets all that is appended from now on.

    >>> decode(Feed, join("desk")(None).ok()).cursors
    {'desk': 1}
    """

    def alter(feed):
        if name in feed.cursors:
            return Ok(False)
        feed.lapsed.pop(name, None)
        feed.cursors[name] = feed.next
        return Ok(True)

    return changing(alter)


def leave(name: str):
    """The change that forgets a listener.

    >>> decode(Feed, leave("desk")(join("desk")(None).ok()).ok()).cursors
    {}
    """

    def alter(feed):
        there = name in feed.cursors or name in feed.lapsed
        feed.cursors.pop(name, None), feed.lapsed.pop(name, None)
        feed.trim()
        return Ok(there)

    return changing(alter)


def acknowledge(name: str, cursor: int):
    """The change that takes a listener's cursor: all below it is acknowledged.

    >>> acknowledge("desk", 9)(join("desk")(None).ok()).err().name
    'cursor_ahead'
    """

    def alter(feed):
        if name in feed.lapsed:
            return Err(
                mishap(
                    "lapsed",
                    f"the listener was too slow and missed {feed.lapsed[name]} items; listen anew",
                )
            )
        if name not in feed.cursors:
            return Err(mishap("no_listener"))
        if cursor > feed.next:
            return Err(
                mishap(
                    "cursor_ahead",
                    f"the cursor {cursor} is ahead of the feed, whose next item is {feed.next}",
                )
            )
        if cursor < feed.cursors[name]:
            return Err(
                mishap(
                    "cursor_behind",
                    f"all below {feed.cursors[name]} was acknowledged and is no longer kept",
                )
            )
        moved = cursor > feed.cursors[name]
        feed.cursors[name] = cursor
        feed.trim()
        return Ok(moved)

    return changing(alter)
