"""Mechanisms taken out, one at a time: what the searches must notice."""

from contextlib import contextmanager

import msgspec

from sumacloom.consensus.acceptor import Acceptor
from sumacloom.consensus.messages import Accept, Promise, ReadRequest, StateTransfer
from sumacloom.consensus.proposal import Phase, Proposal, _Reply
from sumacloom.consensus.proposal_number import NO_PROPOSAL
from sumacloom.consensus.quorum import QuorumConfiguration

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


@without("promise", Acceptor, "receive")
def forget_the_promise(original):
    def receive(self, message):
        if (
            not isinstance(message, ReadRequest)
            and message.key in self.registers
            and message.proposal_number < self.registers[message.key].promised
        ):
            self.registers[message.key] = self.registers[message.key]._replace(promised=NO_PROPOSAL)
        return original(self, message)

    return receive


@without("incarnation", Acceptor, "receive")
def accept_in_any_incarnation(original):
    def receive(self, message):
        if isinstance(message, Accept):
            message = msgspec.structs.replace(message, incarnation=self.incarnation)
        return original(self, message)

    return receive


@without("generation", Acceptor, "receive")
def vote_in_any_configuration(original):
    def receive(self, message):
        return original(self, msgspec.structs.replace(message, quorum=self.quorum.version))

    return receive


@without("tellers", QuorumConfiguration, "intersects_every_quorum")
def learn_from_one(_original):
    return lambda self, voices: any(voter in voices for voter in self.members)


@without("barrier", Acceptor, "recover")
def learn_from_any_tale(original):
    def recover(self, transfers, barrier=NO_PROPOSAL):
        return original(
            self,
            {
                voter: StateTransfer(
                    reported.quorum,
                    [
                        (key, barrier, accepted, value)
                        for key, _promised, accepted, value in reported.registers
                    ],
                    barrier,
                )
                for voter, reported in transfers.items()
            },
            barrier,
        )

    return recover


@without("joint", QuorumConfiguration, "has_quorum")
def count_the_new_alone(_original):
    return lambda self, voices: sum(voter in voices for voter in self.new) > len(self.new) // 2


@without("newest", Proposal, "_newest_reply")
def ignore_what_was_accepted(_original):
    return lambda self: _Reply(self.known_number, self.known_value, False)


@without("counted", Proposal, "receive")
def ask_the_late_too(original):
    def receive(self, voter, message, now):
        late = (
            isinstance(message, Promise)
            and self.phase is Phase.ACCEPT
            and message.proposal_number == self.proposal_number
        )
        if late and self.outcome is None and self.resume_at is None and voter not in self.replies:
            self.replies[voter] = message
            return [
                (
                    voter,
                    Accept(
                        self.key,
                        self.proposal_number,
                        self.value,
                        message.incarnation,
                        self.quorum.version,
                    ),
                )
            ]
        return original(self, voter, message, now)

    return receive
