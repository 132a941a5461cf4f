"""What a registrar does with a decided value, key by key."""

from ..agreement import membership
from ..agreement.values import BlueprintValue, DutyValue, EvacuationsValue, decode
from ..common.logs import Scribe
from ..courier.messages import Configuration, News
from . import access, duties, lanes, listeners, pooling
from .feed import Feed

scribe = Scribe("office")
TAKERS = {}


def takes(key: str):
    """Registers what is done with the decided values of a key.

    >>> "blueprint" in TAKERS
    True
    """

    def register(function):
        TAKERS[key] = function
        return function

    return register


def take(office, key: str, value: bytes, now: float) -> None:
    """Puts a decided value to use here."""
    if key in TAKERS:
        TAKERS[key](office, value, now)
    elif key.startswith(listeners.FEEDS):
        office.spool.sweep(key.removeprefix(listeners.FEEDS), decode(Feed, value))


@takes("blueprint")
def take_blueprint(office, value: bytes, now: float) -> None:
    """A blueprint is in force.

    >>> TAKERS["blueprint"] is take_blueprint
    True
    """
    found = decode(BlueprintValue, value)
    if office.board.take(News(found.packed, 0, None, None)):
        restores = f", it restores {found.restores}" if found.restores else ""
        scribe.say("the blueprint %d is decided%s", found.ver, restores)


@takes("evacuations")
def take_evacuations(office, value: bytes, now: float) -> None:
    """Zones are emptied or taken back.

    >>> TAKERS["evacuations"] is take_evacuations
    True
    """
    found = decode(EvacuationsValue, value)
    if office.board.take(News(None, found.generation, found.zones, None)):
        scribe.say("the evacuated zones are now: %s", ", ".join(found.zones) or "none")


@takes(duties.DUTY)
def take_duty(office, value: bytes, now: float) -> None:
    """The duty has a holder.

    >>> TAKERS[duties.DUTY] is take_duty
    True
    """
    found = decode(DutyValue, value)
    if office.duty is None or found.fence >= office.duty.fence:
        if found != office.duty:
            scribe.say(
                "the failover duty is with %s, fence %d", found.holder or "nobody", found.fence
            )
        if office.duty is None or (found.holder, found.nonce) != (
            office.duty.holder,
            office.duty.nonce,
        ):
            office.duty_since = now
            office.duty_before = office.duty.holder if office.duty else ""
        office.duty = found


@takes(membership.KEY)
def take_voters(office, value: bytes, now: float) -> None:
    """Others vote.

    >>> TAKERS[membership.KEY] is take_voters
    True
    """
    office.take_configuration(decode(Configuration, value), now)


@takes(lanes.KEY)
def take_lanes(office, value: bytes, now: float) -> None:
    """A lane is offered or in force.

    >>> TAKERS[lanes.KEY] is take_lanes
    True
    """
    found = decode(lanes.LanesValue, value)
    office.lanes_at = now
    if office.board.take(News(None, 0, None, None, found.news())):
        stage = "in force" if found.in_force else "offered"
        scribe.say(
            "the lanes %d are %s: %s", found.generation, stage, ", ".join(found.wanted) or "none"
        )


@takes(access.KEY)
def take_access(office, value: bytes, now: float) -> None:
    """An access list is offered or in force.

    >>> TAKERS[access.KEY] is take_access
    True
    """
    found = decode(access.AccessValue, value)
    if office.board.take(News(None, 0, None, None, access=found.news())):
        office.readings.offered_at = now
        scribe.say(
            "the access list %d is %s",
            found.generation,
            "in force" if found.in_force else "offered",
        )


@takes(pooling.KEY)
def take_pooling(office, value: bytes, now: float) -> None:
    """Sessions are judged anew.

    >>> TAKERS[pooling.KEY] is take_pooling
    True
    """
    found = decode(pooling.PoolValue, value)
    before = office.board.pooling
    if office.board.take(News(None, 0, None, None, pooling=found.news())):
        scribe.say(
            "the pool modes %d: %s",
            found.generation,
            ", ".join(f"{row.database} {row.mode}" for row in found.rows if row.since > before),
        )


@takes(listeners.KEY)
def take_listeners(office, value: bytes, now: float) -> None:
    """The list of listeners has changed.

    >>> TAKERS[listeners.KEY] is take_listeners
    True
    """
    found = decode(listeners.Listeners, value)
    if office.board.take(News(None, 0, None, None, None, found.news())):
        scribe.say(
            "the listeners %d: %s",
            found.generation,
            ", ".join(f"{row.name} to {row.database} ({row.state})" for row in found.rows)
            or "none",
        )
