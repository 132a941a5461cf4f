"""Who votes: a register of its own, changed in two stages.

Joint: decided by the old voters; from then on every round needs a majority of the old and of the new.
Then every key goes through a full round, so that a majority of the new holds it and no round of the old
alone can end any more. Settled: the new alone. Any voter can take up what another left unfinished.
"""

from sumacloom.consensus.quorum import FIRST, Configuration
from sumacloom.controller.registers.values import KEYS, decode, encode
from sumacloom.errors import Err, Ok, mishap
from sumacloom.logs import Scribe

scribe = Scribe("voters")
KEY = "voters"
TOGETHER_S = 0.6  # newcomers within so long of each other come in together
STAGGER_S, SETTLE_S = (
    0.4,
    1.0,
)  # how much later the next in line acts; a step from joint to settled takes longer
UNHEARD_S = 0.6  # a voter that a majority can't hear for so long goes: some 2 s after its last word


class Move:
    """How far the step from joint to settled has come here."""

    def __init__(self, generation: int):
        self.generation, self.stage, self.proposals = generation, 0, {}  # key: its round


def follow_on(configuration: Configuration):
    """The change to the voters of the next generation; it fails if another change was faster.

    >>> follow_on(Configuration(2, ("a",), ("b",)))(None).is_ok(), follow_on(Configuration(3, (), ("b",)))(None).err().name
    (True, 'stale_match')
    """

    def change(current_bytes):
        current = decode(Configuration, current_bytes)
        if (current.generation if current else FIRST) != configuration.generation - 1:
            return Err(mishap("stale_match", "the voters have changed meanwhile"))
        return Ok(encode(configuration))

    return change


def again(current):
    """The change that writes the same value anew, so that all present voters hold it.

    >>> again(b"x"), again(None)
    (Ok(b'x'), Ok(None))
    """
    return Ok(current)


def newcomers(office, now: float) -> set[str]:
    """Registrars that count as voters by their settings, hold all they need, and have no vote."""
    voting = office.acceptor.configuration.new
    return {
        peer
        for peer, (_heard, beat) in office.peers.items()
        if peer not in voting and office.alive(peer, now) and beat.voting and beat.learned
    }


def may_go(office, now: float) -> bool:
    """Whether a registrar that is being stopped may end: it is no voter, and a majority of the voters knows that.

    Nor need it wait where no majority is heard, or where none is there to take its place.
    """
    configuration = office.acceptor.configuration
    if not office.heard_majority(now):
        return True
    if office.me not in configuration.members:
        return configuration.has_quorum(
            [
                voter
                for voter in configuration.members
                if office.generations.get(voter, 0) >= configuration.generation
            ]
        )
    learning = any(
        office.alive(peer, now)
        and beat.voting
        and not beat.learned
        and peer not in configuration.members
        for peer, (_heard, beat) in office.peers.items()
    )
    return not configuration.old and not learning and office.me in wanted(office, now)


def watch_voices(office, now: float) -> None:
    """Notes since when a voter is unheard by a majority."""
    configuration = office.acceptor.configuration
    living = [peer for peer in configuration.members if office.alive(peer, now)]
    for voter in configuration.new:
        deaf = [
            peer
            for peer in living
            if not office.alive(voter, now)
            and (peer == office.me or voter not in office.peers[peer][1].hears)
        ]
        if configuration.has_quorum(deaf):
            office.unheard.setdefault(voter, now)
        else:
            office.unheard.pop(voter, None)


def wanted(office, now: float) -> tuple:
    """Who should vote: all who can, less those who leave and the unheard, the longest first, down to `least`."""
    configuration = office.acceptor.configuration
    target = {*configuration.new, *newcomers(office, now)}
    gone = sorted(
        (
            not leaves(office, voter),
            min(office.unheard.get(voter, now), office.heard_at(voter, now)),
            voter,
        )
        for voter in configuration.new
        if leaves(office, voter) or now - office.unheard.get(voter, now) >= UNHEARD_S
    )
    spare = max(0, len(target) - least(office))
    return tuple(sorted(target - {voter for *_order, voter in gone[:spare]}))


def margin(office, voters, now: float) -> int:
    """How many of these voters may be lost now and the rest still decides; those who leave count as lost."""
    return (
        sum(office.alive(voter, now) and not leaves(office, voter) for voter in voters)
        - len(voters) // 2
        - 1
    )


def betters(office, target: tuple, now: float) -> bool:
    """Whether a change of voters is for the better: one that adds a vote beside a silent one is not."""
    after = margin(office, target, now)
    return after >= tolerated(office) or after > margin(
        office, office.acceptor.configuration.new, now
    )


def least(office) -> int:
    """How many voters there must be, whoever has gone, so that what may be lost at once can be borne."""
    return max(3, 2 * tolerated(office) + 1)


def tolerated(office) -> int:
    """How many machines may be lost at once: where settings differ, the most that a voter says."""
    told = [
        beat.tolerates
        for peer, (_heard, beat) in office.peers.items()
        if peer in office.acceptor.configuration.members
    ]
    return max([office.settings.tolerate.nodes, *told])


def leaves(office, voter: str) -> bool:
    """Whether a voter has said that it no longer counts as one, as it does when it is stopped."""
    return (
        not office.settings.voting
        if voter == office.me
        else (voter in office.peers and not office.peers[voter][1].voting)
    )


def our_turn(office, need, wait_s: float, now: float, stagger_s: float = STAGGER_S) -> bool:
    """Whether a need has lasted long enough for us to act: the voters stand in line."""
    if office.need[0] != need:
        office.need = (need, now)
    line = [peer for peer in office.acceptor.configuration.members if office.alive(peer, now)]
    return now - office.need[1] >= wait_s + stagger_s * line.index(office.me)


def mind_voters(office, now: float) -> None:
    """Brings newcomers in and the gone out, one change at a time."""
    configuration = office.acceptor.configuration
    if not office.votes:
        return
    watch_voices(office, now)
    living = [peer for peer in configuration.members if office.alive(peer, now)]
    if not configuration.has_quorum(living) or any(
        proposal.key == KEY for proposal in office.proposals
    ):
        return
    if configuration.old:
        if our_turn(office, configuration.generation, 0.0, now, SETTLE_S):
            settle_move(office, now)
        return
    target, fresh = wanted(office, now), newcomers(office, now)
    if target == tuple(sorted(configuration.new)):
        office.need = (None, now)
    elif (
        our_turn(
            office,
            (configuration.generation, tuple(sorted(fresh))),
            TOGETHER_S if fresh else 0.0,
            now,
        )
        and betters(office, target, now)
        and Configuration(0, (), target).has_quorum(
            [voter for voter in target if office.alive(voter, now)]
        )
    ):
        scribe.say("the voters are to be %s", ", ".join(target))
        office.propose(
            KEY,
            follow_on(Configuration(configuration.generation + 1, configuration.new, target)),
            now,
        )


def settle_move(office, now: float) -> None:
    """From joint to settled: every key in a full round, the voters first, then the new set alone."""
    configuration, move = office.acceptor.configuration, office.move
    if move is None or move.generation != configuration.generation:
        move = office.move = Move(configuration.generation)
    failed = [
        key
        for key, proposal in move.proposals.items()
        if proposal.outcome is not None and proposal.outcome.is_err()
    ]
    move.proposals.update(
        (key, office.propose(key, again, now)) for key in failed
    )  # the other rounds stand
    if any(proposal.outcome is None for proposal in move.proposals.values()):
        return
    stages = (
        [KEY],
        [key for key in KEYS if key != KEY],
        [key for key in office.keys() if key not in KEYS],  # noqa: SIM118 - not a mapping
    )  # the listeners name the feeds
    if move.stage < len(stages):
        keys = stages[move.stage]
        move.stage += 1
        move.proposals = {key: office.propose(key, again, now) for key in keys}
    else:
        office.propose(
            KEY, follow_on(Configuration(configuration.generation + 1, (), configuration.new)), now
        )


def rows(office, node: str, now: float) -> dict:
    """What one registrar tells of the voters: generation, who votes, who is learning and why."""
    configuration = office.acceptor.configuration
    if not office.acceptor.learned:
        why = "learning: its disk held no whole memory"
    elif office.me in configuration.members:
        why = "joint: both sets decide" if configuration.old else "votes"
    else:
        why = "comes in" if office.settings.voting else "its settings say voting = false"
    return {
        "voters_generation": configuration.generation,
        "voters": ",".join(configuration.new),
        "leaving_voters": ",".join(
            voter for voter in configuration.old if voter not in configuration.new
        ),
        "standing": why,
    }
