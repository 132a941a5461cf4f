"""Mechanisms taken out, one at a time: what the searches must notice."""

from contextlib import contextmanager

import msgspec

from sumacloom.consensus.acceptor import Acceptor
from sumacloom.consensus.messages import Accept, Promise, Query, Told
from sumacloom.consensus.proposal import Proposal
from sumacloom.consensus.quorum import Configuration
from sumacloom.types import NO_BALLOT

WITHOUT = {}


def without(name: str, owner, attribute: str):
    """Registers what takes the place of a method: a function of the original that gives the faulty one."""

    def register(function):
        WITHOUT[name] = (owner, attribute, function)
        return function

    return register


@contextmanager
def taken_out(name: str | None):
    """Runs with one mechanism taken out; None takes out nothing."""
    if name not in WITHOUT:
        yield
        return
    owner, attribute, function = WITHOUT[name]
    original = owner.__dict__[attribute]
    setattr(owner, attribute, function(original))
    try:
        yield
    finally:
        setattr(owner, attribute, original)


@without("promise", Acceptor, "hear")
def forget_the_promise(original):
    def hear(self, message):
        if (
            not isinstance(message, Query)
            and message.key in self.slots
            and message.ballot < self.slots[message.key].promised
        ):
            self.slots[message.key] = self.slots[message.key]._replace(promised=NO_BALLOT)
        return original(self, message)

    return hear


@without("incarnation", Acceptor, "hear")
def accept_in_any_incarnation(original):
    def hear(self, message):
        if isinstance(message, Accept):
            message = msgspec.structs.replace(message, incarnation=self.incarnation)
        return original(self, message)

    return hear


@without("generation", Acceptor, "hear")
def vote_in_any_configuration(original):
    def hear(self, message):
        return original(
            self, msgspec.structs.replace(message, configuration=self.configuration.generation)
        )

    return hear


@without("tellers", Configuration, "meets_every_quorum")
def learn_from_one(_original):
    return lambda self, voices: any(voter in voices for voter in self.members)


@without("barrier", Acceptor, "learn")
def learn_from_any_tale(original):
    def learn(self, tales, barrier=NO_BALLOT):
        return original(
            self,
            {
                voter: Told(
                    told.configuration,
                    [
                        (key, barrier, accepted, value)
                        for key, _promised, accepted, value in told.slots
                    ],
                    barrier,
                )
                for voter, told in tales.items()
            },
            barrier,
        )

    return learn


@without("joint", Configuration, "has_quorum")
def count_the_new_alone(_original):
    return lambda self, voices: sum(voter in voices for voter in self.new) > len(self.new) // 2


@without("newest", Proposal, "newest")
def ignore_what_was_accepted(_original):
    return lambda self: (self.known_ballot, self.known_value, False)


@without("counted", Proposal, "hear")
def ask_the_late_too(original):
    def hear(self, voter, message, now):
        late = (
            isinstance(message, Promise)
            and self.round == "accept"
            and message.ballot == self.ballot
        )
        if late and self.outcome is None and self.resume_at is None and voter not in self.replies:
            self.replies[voter] = message
            return [
                (
                    voter,
                    Accept(
                        self.key,
                        self.ballot,
                        self.value,
                        message.incarnation,
                        self.configuration.generation,
                    ),
                )
            ]
        return original(self, voter, message, now)

    return hear
