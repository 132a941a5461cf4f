"""Proposal numbers: they order the proposals of all controllers, as in Paxos."""

import random
from typing import NamedTuple


class ProposalNumber(NamedTuple):
    """The number of a proposal; the nonce keeps two incarnations of one proposer apart.

    >>> ProposalNumber(1, "b", 7) < ProposalNumber(2, "a", 1)
    True
    """

    round: int
    proposer: str
    nonce: int


NO_PROPOSAL = ProposalNumber(0, "", 0)


class ProposalNumberSource:
    """Gives out numbers above all that were observed; the nonce differs in each incarnation.

    >>> source = ProposalNumberSource("a", 7, random.Random(1))
    >>> source.observe(ProposalNumber(4, "b", 1)); source.next()
    ProposalNumber(round=5, proposer='a', nonce=7)
    """

    def __init__(self, proposer: str, nonce: int, source: random.Random):
        self.proposer = proposer
        self.nonce = nonce
        self.random = source
        self.round = 0

    def observe(self, proposal_number: ProposalNumber) -> None:
        """Remembers a number that another proposer has used."""
        self.round = max(self.round, proposal_number[0])

    def next(self) -> ProposalNumber:
        """A number above all observed so far."""
        self.round += 1
        return ProposalNumber(self.round, self.proposer, self.nonce)
