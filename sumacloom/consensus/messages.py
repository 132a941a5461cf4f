"""Messages between proposers and voters.

Tags and the order of fields are those of the first release and are part of the wire: both a class and
a field may be renamed, neither a tag nor a place may change.
"""

import msgspec

from sumacloom.consensus.proposal_number import NO_PROPOSAL, ProposalNumber
from sumacloom.consensus.quorum import QuorumConfiguration


class Message(msgspec.Struct, array_like=True):
    """Base of all messages between daemons."""


class Prepare(Message, tag="Prepare"):
    """Asks a voter to promise; `quorum` is the identity of the configuration that the proposer counts by."""

    key: str
    proposal_number: ProposalNumber
    known: ProposalNumber  # the proposer holds the value accepted under this number already
    quorum: int = 1


class Promise(Message, tag="Promise"):
    """A voter's promise, with what it has accepted; no value if there is none or the proposer knows it."""

    key: str
    proposal_number: ProposalNumber
    accepted: ProposalNumber
    value: bytes | None
    incarnation: int


class Accept(Message, tag="Accept"):
    """Asks a voter, in the incarnation that promised, to accept a value."""

    key: str
    proposal_number: ProposalNumber
    value: bytes
    incarnation: int
    quorum: int = 1


class Accepted(Message, tag="Accepted"):
    """A voter has accepted the value."""

    key: str
    proposal_number: ProposalNumber


class Rejected(Message, tag="Refused"):
    """A voter has promised a higher number, or has lost its disk since its promise."""

    key: str
    proposal_number: ProposalNumber
    promised: ProposalNumber


class ReadRequest(Message, tag="Query"):
    """Asks a voter what it has accepted; the number only tells one read from another."""

    key: str
    proposal_number: ProposalNumber
    known: ProposalNumber
    quorum: int = 1


class ReadReply(Message, tag="Copy"):
    """What a voter has accepted; no value if there is none or the reader knows it."""

    key: str
    proposal_number: ProposalNumber
    accepted: ProposalNumber
    value: bytes | None


class Committed(Message, tag="Decided"):
    """The value accepted under this number is committed."""

    key: str
    proposal_number: ProposalNumber


class FetchCommitted(Message, tag="Fetch"):
    """Asks for a committed value."""

    key: str


class CommittedValue(Message, tag="Settled"):
    """A committed value."""

    key: str
    proposal_number: ProposalNumber
    value: bytes


class QuorumChanged(Message, tag="Reconfigured"):
    """The sender's quorum configuration, for one that counts by another; it is always committed."""

    quorum: QuorumConfiguration


class StateRequest(Message, tag="Tell"):
    """A voter without its state asks for everything; who replies also promises the barrier for every key."""

    barrier: ProposalNumber = NO_PROPOSAL


class StateTransfer(Message, tag="Told"):
    """Everything that a voter holds."""

    quorum: QuorumConfiguration
    registers: list[tuple[str, ProposalNumber, ProposalNumber, bytes | None]]
    promised_floor: ProposalNumber = NO_PROPOSAL  # promised for every key
