"""Small worlds of bare acceptors and proposals: states that can be searched whole.

A message in the bag may be delivered at any later step or never, so a drop and a delay need no step of
their own. A write and its sync are one step, or the process dies between them and only the message is lost.
A vote reaches its proposer, and a tale its learner, at once or never: nothing else changes what is made of it.
What a voter refuses changes nothing and is no step; what a proposal that has ended asks for is forgotten.
"""

import copy
import itertools
import random

import msgspec

from sumacloom.consensus.acceptor import Acceptor
from sumacloom.consensus.messages import Accept, Prepare, Reconfigured, Refused, Tell, Told
from sumacloom.consensus.proposal import Ballots, Proposal
from sumacloom.consensus.quorum import Configuration
from sumacloom.consensus.reconfiguration import KEY, again, follow_on
from sumacloom.controller.registers.values import BlueprintValue, decode, put_blueprint
from sumacloom.types import NO_BALLOT

FIRST = Configuration(1, (), ("a", "b", "c"))
JOINT = Configuration(2, ("a", "b", "c"), ("b", "c", "d"))
LAST = Configuration(3, (), ("b", "c", "d"))
VICTIM = "b"


class Violation(Exception):
    """An invariant does not hold; `schedule` is filled in by the search."""

    schedule: list = []


class Luck(random.Random):
    """No luck: every proposal is played alike."""

    def uniform(self, low, _high):
        return low


def frozen(value):
    """A message as something that can be hashed."""
    return msgspec.msgpack.encode(value)


class Voter:
    """An acceptor with its disk, and what it needs to learn."""

    def __init__(self, name, configuration):
        self.acceptor, self.name = Acceptor(configuration, 1), name
        self.ballots, self.barrier, self.tales, self.asks = (
            Ballots(name, 7, Luck()),
            NO_BALLOT,
            {},
            0,
        )
        self.freeze()

    def thaw(self):
        """A copy that may be changed."""
        other = copy.copy(self)
        other.acceptor = copy.copy(self.acceptor)
        other.acceptor.slots = dict(self.acceptor.slots)
        other.ballots, other.tales = copy.copy(self.ballots), dict(self.tales)
        return other

    def freeze(self):
        acceptor = self.acceptor
        self.state = hash(
            (
                acceptor.configuration.generation,
                acceptor.incarnation,
                acceptor.learned,
                acceptor.floor,
                tuple(sorted(acceptor.slots.items())),
                self.barrier,
                self.asks,
                self.ballots.round,
                tuple(sorted((voter, frozen(told)) for voter, told in self.tales.items())),
            )
        )
        return self


class Asker:
    """A proposal that is played message by message."""

    def __init__(self, proposal):
        self.proposal = proposal
        self.freeze()

    def thaw(self):
        other = copy.copy(self)
        proposal = other.proposal = copy.copy(self.proposal)
        for name in ("replies", "accepted", "refused", "late"):
            setattr(proposal, name, copy.copy(getattr(proposal, name)))
        proposal.ballots = copy.copy(proposal.ballots)
        return other

    def freeze(self):
        proposal = self.proposal
        if proposal.outcome is not None:
            self.state = hash(proposal.decided)
            return self
        replies = proposal.replies.items()
        told = (
            tuple(sorted((voter, frozen(reply)) for voter, reply in replies))
            if proposal.round == "prepare"
            else tuple(sorted(proposal.replies))
        )
        self.state = hash(
            (
                proposal.round,
                proposal.ballot,
                proposal.configuration.generation,
                proposal.value,
                told,
                tuple(sorted(proposal.accepted)),
            )
        )
        return self


class World:
    """One state: voters, proposals, the bag of messages and what may still be lost or doubled."""

    name, configurations, follows = "", [FIRST], True

    def __init__(self, losses=0, doubles=0, early_reply=False):
        (
            NUMBERS.clear(),
            MESSAGES.clear(),
        )  # one search at a time: its numbers don't depend on those before
        self.losses, self.doubles, self.early_reply = losses, doubles, early_reply
        self.voters = {
            name: Voter(name, FIRST)
            for name in sorted({v for c in self.configurations for v in c.members})
        }
        self.askers, self.bag, self.stage = {}, (), 0

    def key(self):
        """The state in short: two worlds alike have the same."""
        return hash(
            (
                tuple(voter.state for voter in self.voters.values()),
                tuple(asker.state for asker in self.askers.values()),
                self.bag,
                self.losses,
                self.doubles,
                self.stage,
            )
        )

    def branch(self):
        other = copy.copy(self)
        other.voters, other.askers = dict(self.voters), dict(self.askers)
        return other

    # ------------------------------------------------------------ changes of one state into the next
    def ask(self, name, ver, configuration, above=0):
        ballots = Ballots(name, 7, Luck())
        ballots.round = above
        proposal = Proposal(
            "k", put_blueprint(ver, b"%d" % ver, 0), configuration, (NO_BALLOT, None), ballots, 0.0
        )
        self.askers[name] = Asker(proposal)
        self.put(name, proposal.messages())

    def put(self, source, messages):
        self.bag = tuple(
            sorted(
                [*self.bag, *((voter, source, message_id(message)) for voter, message in messages)]
            )
        )

    def deliver(self, entry, doubled=False, dies=False, unheard=False):
        """The world in which a message of the bag was heard; None if that changes nothing."""
        world = self.branch()
        if doubled:
            world.doubles -= 1
        else:
            bag = list(self.bag)
            bag.remove(entry)
            world.bag = tuple(bag)
        target, source, number = entry
        before = world.voters[target]
        voter = world.voters[target] = before.thaw()
        reply = hear(voter, source, MESSAGES[number], world.askers.get(source))
        voter.freeze()
        if isinstance(reply, Refused) or (reply is None and voter.state == before.state):
            return None
        if dies:  # the disk keeps what it had; a reply that waits for it never leaves
            world.losses -= 1
            world.voters[target] = before
            reply = reply if self.early_reply else None
        if source in world.voters:
            learner = world.voters[source] = world.voters[source].thaw()
            learn(learner, target, reply)
            learner.freeze()
        elif (
            reply is not None
            and not unheard
            and (self.follows or not isinstance(reply, Reconfigured))
        ):
            world.answer(source, target, reply)
            world.forget(source)
        return world

    def forget(self, name):
        """Drops the first rounds of a proposer that are over; they could only make voters refuse more."""
        proposal = self.askers[name].proposal
        self.bag = tuple(
            entry
            for entry in self.bag
            if entry[1] != name
            or not isinstance(MESSAGES[entry[2]], Prepare)
            or (proposal.outcome is None and MESSAGES[entry[2]].ballot == proposal.ballot)
        )

    def answer(self, name, voter, reply):
        """A proposer hears a vote, or who votes now."""
        asker = self.askers[name] = self.askers[name].thaw()
        if isinstance(reply, Reconfigured):
            self.put(name, asker.proposal.count_by(reply.configuration, 0.0))
        else:
            self.put(name, asker.proposal.hear(voter, reply, 0.0))
        asker.freeze()
        self.check()

    def check(self):
        """All that is known to be decided is one chain: each value was built on those before."""
        decided = sorted(
            asker.proposal.decided for asker in self.askers.values() if asker.proposal.decided
        )
        values = [decode(BlueprintValue, value) for _ballot, value in decided]
        for lower, higher in itertools.pairwise(values):
            if not set(lower.taken.entries) <= set(higher.taken.entries):
                raise Violation(
                    f"{lower.taken.entries} was decided and is missing from {higher.taken.entries}"
                )

    # ------------------------------------------------------------ all that may happen next
    def steps(self):
        """Every next step: (its name, a function that gives the world after it)."""
        for at, entry in enumerate(self.bag):
            if at and entry == self.bag[at - 1]:
                continue
            message = MESSAGES[entry[2]]
            yield ("deliver", *entry), lambda entry=entry: self.deliver(entry)
            if self.doubles:
                yield ("double", *entry), lambda entry=entry: self.deliver(entry, doubled=True)
            if isinstance(message, Prepare):
                yield ("unheard", *entry), lambda entry=entry: self.deliver(entry, unheard=True)
            if self.losses and self.early_reply and isinstance(message, (Prepare, Accept)):
                yield ("crash", *entry), lambda entry=entry: self.deliver(entry, dies=True)


def message_id(message) -> int:
    """The number of a message; the same message has the same number."""
    body = frozen(message)
    if body not in NUMBERS:
        NUMBERS[body] = len(MESSAGES)
        MESSAGES.append(message)
    return NUMBERS[body]


NUMBERS, MESSAGES = {}, []


def hear(voter, source, message, asker):
    """What a voter says to a message; one that counts by older voters is told the newer first."""
    acceptor = voter.acceptor
    if isinstance(message, Tell):
        acceptor.raise_floor(message.barrier)
        return acceptor.tell()
    if asker and acceptor.configuration.generation < message.configuration:
        acceptor.configuration = asker.proposal.configuration
    return acceptor.hear(message)[0]


def learn(voter, source, message: Told) -> None:
    """What a node does with a tale."""
    if voter.acceptor.learned or message is None:
        return
    for promised in (message.floor, *(slot[1] for slot in message.slots)):
        voter.ballots.saw(promised)
    voter.tales[source] = message
    if voter.acceptor.learn(voter.tales, voter.barrier) is not None:
        voter.acceptor.incarnation, voter.tales = 2, {}


class Lossy(World):
    """Three voters, two proposers with different changes on one base, and one lost disk or one death."""

    name = "loss"

    def __init__(self, losses=1, doubles=0, early_reply=False):
        super().__init__(losses, doubles, early_reply)
        self.ask("p", 4, FIRST)
        self.ask("q", 5, FIRST)

    def steps(self):
        yield from super().steps()
        voter = self.voters[VICTIM]
        if self.losses and voter.acceptor.learned and not self.early_reply:
            yield ("wipe", VICTIM), self.wipe
        above = any(
            promised > voter.barrier
            for told in voter.tales.values()
            for promised in (told.floor, *(slot[1] for slot in told.slots))
        )
        if not voter.acceptor.learned and above and voter.asks < 2:
            yield ("ask", VICTIM), self.learn

    def wipe(self):
        world = self.branch()
        world.losses -= 1
        voter = world.voters[VICTIM] = Voter(VICTIM, FIRST)
        voter.acceptor.learned, voter.acceptor.incarnation = False, 0
        return world.learn()

    def learn(self):
        world = self.branch()
        voter = world.voters[VICTIM] = world.voters[VICTIM].thaw()
        voter.asks, voter.barrier, voter.tales = voter.asks + 1, voter.ballots.next(), {}
        world.put(
            VICTIM, [(other, Tell(voter.barrier)) for other in world.voters if other != VICTIM]
        )
        voter.freeze()
        return world


class Changing(World):
    """Voters a, b, c become b, c, d by the real changes, each at every smallest majority, while two propose.

    The rounds of the change are steps of their own; what proposers say meanwhile is played message by message.
    """

    name, configurations = "change", [FIRST, LAST]

    def __init__(self, losses=0, doubles=0, early_reply=False, rewrite=True, follows=True):
        super().__init__(losses, doubles, early_reply)
        self.rewrite, self.follows = (
            rewrite,
            follows,
        )  # whether the first proposer ever hears who votes now
        self.ask(
            "p", 4, FIRST, above=8
        )  # the rounds of the change are below, unless this one was heard

    def steps(self):
        yield from super().steps()
        rounds = [
            (FIRST, [(KEY, follow_on(JOINT))]),
            (JOINT, [(KEY, again), *([("k", again)] if self.rewrite else [])]),
            (JOINT, [(KEY, follow_on(LAST))]),
        ]
        if self.stage < len(rounds):
            configuration, changes = rounds[self.stage]
            for quorum in smallest(configuration):
                yield (
                    ("round", self.stage + 1, *quorum),
                    lambda quorum=quorum: self.whole_round(configuration, changes, quorum),
                )
        elif "q" not in self.askers:
            yield ("ask", "q"), self.second

    def second(self):
        world = self.branch()
        world.ask("q", 5, LAST, above=19)
        return world

    def whole_round(self, configuration, changes, quorum):
        """The world after these changes were decided at these voters; those learn who votes by it."""
        world = self.branch()
        world.stage += 1
        for name in quorum:
            voter = world.voters[name] = world.voters[name].thaw()
            if voter.acceptor.configuration.generation > configuration.generation:
                raise Violation(f"{name} votes by {voter.acceptor.configuration} already")
            voter.acceptor.configuration = configuration
        for key, change in changes:
            proposal = Proposal(
                key, change, configuration, (NO_BALLOT, None), Ballots("m", self.stage, Luck()), 0.0
            )
            for name in quorum:
                proposal.ballots.saw(world.voters[name].acceptor.slot(key).promised)
            proposal.begin(0.0)
            post = proposal.messages()
            while post:
                name, message = post.pop(0)
                if name in quorum:
                    reply, _keys = world.voters[name].acceptor.hear(message)
                    post += proposal.hear(name, reply, 0.0)
            if proposal.outcome is None or proposal.outcome.is_err():
                return None  # refused at some voter: no step
        for name in quorum:
            world.voters[name].freeze()
        return world


def smallest(configuration: Configuration) -> list[tuple]:
    """The majorities from which no voter can be taken."""
    members = configuration.members
    subsets = [
        tuple(name for bit, name in enumerate(members) if mask >> bit & 1)
        for mask in range(1 << len(members))
    ]
    enough = [voices for voices in subsets if configuration.has_quorum(voices)]
    return [voices for voices in enough if not any(set(other) < set(voices) for other in enough)]


WORLDS = {world.name: world for world in (Lossy, Changing)}
