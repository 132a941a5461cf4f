"""A staged rollout: a value is offered first, and in force only once nobody can still serve by the one before.

The value in its register: generation, what is wanted, what is in force meanwhile, and whether the wanted is in force.
The holder of the failover duty turns an offer into force; who says when it may is the caller's affair.
"""

from typing import Generic, TypeVar

import msgspec

from sumacloom.controller.failover import lease
from sumacloom.controller.registers.order_history import Taken
from sumacloom.controller.registers.values import decode, digest_of, encode
from sumacloom.errors import Err, Ok, mishap
from sumacloom.logs import Scribe

Body = TypeVar("Body")
OFFER_S = 0.2
MOST_TAKEN = 64


class Staged(msgspec.Struct, Generic[Body], array_like=True):
    generation: int
    wanted: Body
    before: Body  # what is in force while this is an offer
    in_force: bool
    since: int = 0  # the generation of `before`
    history: bytes = b""  # the offers that were taken, of those that name what they build on

    @property
    def order(self) -> int:
        """What makes one stage newer than another: twice the generation, and one more once in force.

        >>> Staged(2, ["a"], [], False).order
        4
        """
        return self.generation * 2 + self.in_force

    @property
    def current(self) -> tuple:
        """What is in force now: (its generation, the body).

        >>> Staged(2, ["a"], ["b"], False, 1).current, Staged(2, ["a"], ["b"], True, 1).current
        ((1, ['b']), (2, ['a']))
        """
        return (self.generation, self.wanted) if self.in_force else (self.since, self.before)


def offer(kind, wanted, empty, base: int | None = None):
    """The change that offers a value; the same again changes nothing, another base is stale.

    >>> decode(Staged[list[str]], offer(Staged[list[str]], ["a"], [])(None).ok()).in_force
    False
    >>> offer(Staged[list[str]], ["a"], [], base=3)(None).err().name
    'stale_match'
    """

    def change(current_bytes):
        found = decode(kind, current_bytes) or kind(0, empty, empty, True)
        taken, digest = Taken.unpack(found.history), digest_of(encode(wanted))
        if base is not None and taken.holds(base + 1, digest):
            return Ok(None)
        if base is not None and base < taken.forgotten:
            return Err(
                mishap(
                    "forgotten",
                    f"it is not known any more whether the generation {base + 1} was this one",
                )
            )
        resent = base is None or base in (found.generation, found.generation - 1)
        if found.generation and found.wanted == wanted and resent:
            return Ok(None)
        if base is None and found.wanted == wanted:
            return Ok(None)
        if base is not None and base != found.generation:
            return Err(
                mishap("stale_match", f"the current generation is {found.generation}, not {base}")
            )
        since, before = found.current
        history = found.history if base is None else taken.add(base + 1, digest, MOST_TAKEN).pack()
        return Ok(encode(kind(found.generation + 1, wanted, before, False, since, history)))

    return change


def enforce(kind, generation: int):
    """The change that puts an offer into force.

    >>> offered = offer(Staged[list[str]], ["a"], [])(None).ok()
    >>> decode(Staged[list[str]], enforce(Staged[list[str]], 1)(offered).ok()).in_force
    True
    """

    def change(current_bytes):
        found = decode(kind, current_bytes)
        if found is None or found.generation != generation:
            return Err(mishap("stale_match", "another generation was offered meanwhile"))
        if found.in_force:
            return Ok(None)
        return Ok(
            encode(kind(generation, found.wanted, type(found.before)(), True, 0, found.history))
        )

    return change


def held(office, key: str, kind):
    """The value as this registrar knows it to be decided; None if there is none."""
    return decode(kind, office.decided[key][1]) if key in office.decided else None


def mind(office, key: str, kind, may_enforce, scribe: Scribe, now: float) -> None:
    """As holder of the duty: puts an offer into force once it may be."""
    value = held(office, key, kind)
    if (
        value is None
        or value.in_force
        or not lease.holds_duty(office, now)
        or not office.settled(now)
    ):
        return
    busy = any(proposal.key == key for proposal in office.proposals)
    if not busy and may_enforce(value):
        scribe.say(
            "nobody can serve by an older one: the %s %d come into force", key, value.generation
        )
        office.propose(key, enforce(kind, value.generation), now)
