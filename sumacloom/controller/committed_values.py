"""What a registrar does with a decided value, key by key."""

from sumacloom.consensus import reconfiguration
from sumacloom.controller.delivery import subscribers
from sumacloom.controller.delivery.feed import Feed
from sumacloom.controller.failover import lease
from sumacloom.controller.policy import access, pool_modes, priority
from sumacloom.controller.registers.values import (
    BlueprintValue,
    DutyValue,
    EvacuationsValue,
    decode,
)
from sumacloom.logs import Scribe
from sumacloom.transport.messages import Configuration, News

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
    elif key.startswith(subscribers.FEEDS):
        office.spool.sweep(key.removeprefix(subscribers.FEEDS), decode(Feed, value))


@takes("blueprint")
def take_blueprint(office, value: bytes, now: float) -> None:
    """A blueprint is in force."""
    found = decode(BlueprintValue, value)
    if office.board.take(News(found.packed, 0, None, None)):
        restores = f", it restores {found.restores}" if found.restores else ""
        scribe.say("the blueprint %d is decided%s", found.ver, restores)


@takes("evacuations")
def take_evacuations(office, value: bytes, now: float) -> None:
    """Zones are emptied or taken back."""
    found = decode(EvacuationsValue, value)
    if office.board.take(News(None, found.generation, found.zones, None)):
        scribe.say("the evacuated zones are now: %s", ", ".join(found.zones) or "none")


@takes(lease.DUTY)
def take_duty(office, value: bytes, now: float) -> None:
    """The duty has a holder."""
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


@takes(reconfiguration.KEY)
def take_voters(office, value: bytes, now: float) -> None:
    """Others vote."""
    office.take_configuration(decode(Configuration, value), now)


@takes(priority.KEY)
def take_lanes(office, value: bytes, now: float) -> None:
    """A lane is offered or in force."""
    found = decode(priority.LanesValue, value)
    office.lanes_at = now
    if office.board.take(News(None, 0, None, None, found.news())):
        stage = "in force" if found.in_force else "offered"
        scribe.say(
            "the lanes %d are %s: %s", found.generation, stage, ", ".join(found.wanted) or "none"
        )


@takes(access.KEY)
def take_access(office, value: bytes, now: float) -> None:
    """An access list is offered or in force."""
    found = decode(access.AccessValue, value)
    if office.board.take(News(None, 0, None, None, access=found.news())):
        office.readings.offered_at = now
        scribe.say(
            "the access list %d is %s",
            found.generation,
            "in force" if found.in_force else "offered",
        )


@takes(pool_modes.KEY)
def take_pooling(office, value: bytes, now: float) -> None:
    """Sessions are judged anew."""
    found = decode(pool_modes.PoolValue, value)
    before = office.board.pooling
    if office.board.take(News(None, 0, None, None, pooling=found.news())):
        scribe.say(
            "the pool modes %d: %s",
            found.generation,
            ", ".join(f"{row.database} {row.mode}" for row in found.rows if row.since > before),
        )


@takes(subscribers.KEY)
def take_listeners(office, value: bytes, now: float) -> None:
    """The list of listeners has changed."""
    found = decode(subscribers.Listeners, value)
    if office.board.take(News(None, 0, None, None, None, found.news())):
        scribe.say(
            "the listeners %d: %s",
            found.generation,
            ", ".join(f"{row.name} to {row.database} ({row.state})" for row in found.rows)
            or "none",
        )
