"""The priority lane: offered to every counter first, in force only once all of them hold it.

Register `lanes`: {generation, databases, before, in_force}. The holder of the failover duty turns an
offer into force when every counter known to any registrar holds the offer; one that has just left is
waited for until its own lease has surely run out, after which it calls itself unready.
"""
import msgspec

from ..common.logs import Scribe
from ..common.results import Err, Ok, mishap
from ..courier.messages import LaneNews
from . import duties
from .values import decode, encode

scribe = Scribe("lanes")
KEY = "lanes"
MOST_LANES = 64
OFFER_S = 0.2


class LanesValue(msgspec.Struct, array_like=True):
    generation: int
    databases: list[str]
    before: list[str]            # what is in force while this is an offer
    in_force: bool

    def news(self) -> LaneNews:
        """As it goes to the counters.

        >>> LanesValue(2, ["a"], [], False).news().order
        4
        """
        return LaneNews(self.generation * 2 + self.in_force, self.databases if self.in_force else self.before, self.databases)


def offer(databases: list[str]):
    """The change that offers a new set of databases; the same set again changes nothing.

    >>> decode(LanesValue, offer(["a"])(None).ok()).in_force
    False
    """
    wanted = sorted(set(databases))

    def change(current_bytes):
        current = decode(LanesValue, current_bytes) or LanesValue(0, [], [], True)
        if current.databases == wanted:
            return Ok(None)
        before = current.databases if current.in_force else current.before
        return Ok(encode(LanesValue(current.generation + 1, wanted, before, False)))
    return change


def enforce(generation: int):
    """The change that puts an offer into force.

    >>> decode(LanesValue, enforce(1)(offer(["a"])(None).ok()).ok()).in_force
    True
    """
    def change(current_bytes):
        current = decode(LanesValue, current_bytes)
        if current is None or current.generation != generation:
            return Err(mishap("stale_match", "the lanes have changed meanwhile"))
        if current.in_force:
            return Ok(None)
        return Ok(encode(LanesValue(generation, current.databases, [], True)))
    return change


def mind_lanes(office, now: float) -> None:
    """As holder of the duty: puts an offer into force once every counter holds it.

    >>> mind_lanes.__name__
    'mind_lanes'
    """
    value = decode(LanesValue, office.decided[KEY][1]) if KEY in office.decided else None
    if value is None or value.in_force or not duties.holds_duty(office, now) or not office.settled(now):
        return
    busy = any(proposal.key == KEY for proposal in office.proposals)
    if not busy and not office.members.lacking(value.news().order, now) and now - office.lanes_at >= OFFER_S:
        scribe.say("every counter holds the lanes %d: they come into force", value.generation)
        office.propose(KEY, enforce(value.generation), now)
