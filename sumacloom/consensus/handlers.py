"""What a registrar does with its peers' messages on registers and voters."""

from sumacloom.consensus.messages import (
    Accept,
    Accepted,
    Copy,
    Decided,
    Fetch,
    Prepare,
    Promise,
    Query,
    Reconfigured,
    Refused,
    Settled,
    Tell,
    Told,
)
from sumacloom.errors import mishap
from sumacloom.logs import Scribe
from sumacloom.types import NO_BALLOT, Ballot

scribe = Scribe("office")
HEARERS = {}
MOST_ROUND = (
    1 << 48
)  # no life of a cluster draws so many; a ballot above can't be overtaken, nor sent one day
MOST_KEY = 512  # characters
KNOWN_S = 30.0  # a registrar that nobody has named for so long is no longer dialled


def hears(*kinds):
    """Registers the handler of peers' messages of these kinds.

    >>> Tell in HEARERS
    True
    """

    def register(function):
        HEARERS.update(dict.fromkeys(kinds, function))
        return function

    return register


def ballots_of(message) -> list:
    """All ballots that a message names.

    >>> ballots_of(Decided("k", Ballot(4, "a", 1)))
    [Ballot(round=4, proposer='a', nonce=1)]
    """
    named = [
        getattr(message, name)
        for name in ("ballot", "known", "accepted", "promised", "barrier", "floor")
        if hasattr(message, name)
    ]
    return named + [
        ballot for _key, *ballots, _value in getattr(message, "slots", []) for ballot in ballots
    ]


def is_credible(peer: str, message) -> bool:
    """Whether a peer may say this: ballots in range, its own where it asks for a vote, a key of a bearable length.

    >>> is_credible("a", Prepare("k", Ballot(4, "a", 1), NO_BALLOT)), is_credible("b", Prepare("k", Ballot(4, "a", 1), NO_BALLOT))
    (True, False)
    >>> is_credible("a", Decided("k", Ballot(1 << 60, "a", 1)))
    False
    """
    asked = (
        getattr(message, "barrier", None)
        if isinstance(message, Tell)
        else (message.ballot if isinstance(message, (Prepare, Accept, Query)) else None)
    )
    return (
        (asked in (None, NO_BALLOT) or asked[1] == peer)
        and len(getattr(message, "key", "")) <= MOST_KEY
        and all(
            0 <= number <= MOST_ROUND and nonce >= 0
            for number, _proposer, nonce in ballots_of(message)
        )
    )


@hears(Prepare, Accept, Query)
def hear_proposal(office, peer: str, message, now: float) -> None:
    """A proposal of a peer asks for our vote."""
    if not isinstance(message, Query):
        office.ballots.saw(message.ballot)
    office.vote(peer, message)


@hears(Promise, Accepted, Refused, Copy)
def hear_vote(office, peer: str, message, now: float) -> None:
    """A vote on one of our proposals."""
    for proposal in [proposal for proposal in office.proposals if proposal.key == message.key]:
        office.post(proposal.hear(peer, message, now), now)
        office.conclude(proposal, now)


@hears(Decided)
def hear_decided(office, peer: str, message, now: float) -> None:
    """A peer knows a value to be decided; it is taken from our own copy, or asked for."""
    slot = office.acceptor.slot(message.key)
    if slot.accepted == message.ballot:
        office.settle(message.key, message.ballot, slot.value, now)
    elif message.ballot > office.decided.get(message.key, (NO_BALLOT,))[0]:
        office.outbox.append((peer, Fetch(message.key)))


@hears(Fetch)
def hear_fetch(office, peer: str, message, now: float) -> None:
    """A peer lacks a decided value."""
    if message.key in office.decided:
        office.outbox.append((peer, Settled(message.key, *office.decided[message.key])))


@hears(Settled)
def hear_settled(office, peer: str, message, now: float) -> None:
    """A decided value that we lacked."""
    office.settle(message.key, message.ballot, message.value, now)


@hears(Reconfigured)
def hear_configuration(office, peer: str, message, now: float) -> None:
    """A peer counts by other voters: we take the newer ones, or tell ours."""
    ours = office.acceptor.configuration
    if (
        message.configuration.generation == ours.generation
        and message.configuration.mark != ours.mark
        and peer not in office.disputed
    ):
        office.disputed.add(peer)
        found = mishap("voters_disputed")
        scribe.warn(
            "%d %s: %s here, %s at %s; neither counts the other's votes",
            found.code,
            found.sentence,
            ", ".join(ours.new),
            ", ".join(message.configuration.new),
            peer,
        )
    if message.configuration.generation < office.acceptor.configuration.generation:
        if office.acceptor.learned:
            office.release(peer, Reconfigured(office.acceptor.configuration))
    else:
        office.take_configuration(message.configuration, now)


@hears(Tell)
def hear_tell(office, peer: str, message, now: float) -> None:
    """A voter without memory asks for everything, and for a promise that holds for every key."""
    barrier = Ballot(*message.barrier)
    office.ballots.saw(barrier)
    floor = office.acceptor.floor
    keys = office.acceptor.raise_floor(barrier)
    if office.acceptor.floor != floor:
        office.write_floor(keys)
    told = office.acceptor.tell()
    if told:
        office.release(peer, told)


@hears(Told)
def hear_told(office, peer: str, message, now: float) -> None:
    """What another voter holds; with enough of them we vote again, as a new incarnation."""
    acceptor = office.acceptor
    if acceptor.learned:
        return
    for _key, promised, *_rest in message.slots:
        office.ballots.saw(Ballot(*promised))
    office.ballots.saw(message.floor)
    office.tales[peer] = message
    if acceptor.learn(office.tales, office.barrier) is None:
        return
    acceptor.incarnation = office.random.getrandbits(48)
    office.write_all()
    scribe.say("learned all that %d voters held", len(office.tales))
