"""The priority lane: offered to every counter first, in force only once all of them hold it.

Register `lanes`: {generation, databases, before, in_force}. The holder of the failover duty turns an
offer into force when every counter known to any registrar holds the offer; one that has just left is
waited for until its own lease has surely run out, after which it calls itself unready.
"""

from sumacloom.controller.policy import staged_rollout
from sumacloom.logs import Scribe
from sumacloom.transport.updates import LaneNews

scribe = Scribe("lanes")
KEY = "lanes"
MOST_LANES = 64


class LanesValue(staged_rollout.Staged[list[str]]):
    def news(self) -> LaneNews:
        """As it goes to the counters.

        >>> LanesValue(2, ["a"], [], False).news().order
        4
        """
        return LaneNews(self.order, self.current[1], self.wanted)


def offer(databases: list[str]):
    """The change that offers a new set of databases; the same set again changes nothing.

    >>> from sumacloom.controller.registers.values import decode
    >>> decode(LanesValue, offer(["a"])(None).ok()).in_force
    False
    """
    return staged_rollout.offer(LanesValue, sorted(set(databases)), [])


def enforce(generation: int):
    """The change that puts an offer into force.

    >>> enforce(1)(None).err().name
    'stale_match'
    """
    return staged_rollout.enforce(LanesValue, generation)


def mind_lanes(office, now: float) -> None:
    """As holder of the duty: puts an offer into force once every counter holds it."""
    staged_rollout.mind(
        office,
        KEY,
        LanesValue,
        lambda value: (
            now - office.lanes_at >= staged_rollout.OFFER_S
            and not office.members.lacking(value.order, now)
        ),
        scribe,
        now,
    )
