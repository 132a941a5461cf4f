"""The proposer: one change or read of one register, in two rounds at a quorum.

No I/O: methods return the messages to send. Phases of a proposal:

    phase     waits for                     then
    READ      replies of a quorum           finished if a quorum holds the same value, else PREPARE
    PREPARE   promises of a quorum          applies the change to the newest value: ACCEPT, or finished
    ACCEPT    acceptances of a quorum       finished, the value is committed

A rejection by so many that no quorum is left leads back to PREPARE with a higher number, after a random
backoff that grows with each lost round. The deadline ends any phase.
"""

import enum
import math
from typing import NamedTuple

from sumacloom.consensus.codec import Change
from sumacloom.consensus.messages import (
    Accept,
    Accepted,
    Message,
    Prepare,
    Promise,
    ReadReply,
    ReadRequest,
    Rejected,
)
from sumacloom.consensus.proposal_number import NO_PROPOSAL, ProposalNumber, ProposalNumberSource
from sumacloom.consensus.quorum import QuorumConfiguration
from sumacloom.errors import NoQuorumError, SumacloomError

TIMEOUT_S = 0.85  # callers go on to another controller after a second of silence
RESEND_S = 0.1
RENEW_S = (
    0.4  # an ACCEPT phase that lasts so long restarts where a late voter reported a newer value
)
REJECTED_S = 0.2  # a round rejected by some and unanswered by the others for so long restarts
FIRST_BACKOFF_S = 0.3  # doubled with each lost round
MAX_BACKOFF_S = 0.48
MIN_BACKOFF_S = 0.01

VoterMessage = tuple[str, Message]
"""A voter and the message for it."""


class Phase(enum.Enum):
    """How far a proposal has come."""

    READ = "read"
    PREPARE = "prepare"
    ACCEPT = "accept"


class CommittedRegister(NamedTuple):
    """A committed value and its number; the value is None for a register never written."""

    proposal_number: ProposalNumber
    value: bytes | None


class Outcome(NamedTuple):
    """How a proposal ended: with a register's committed state, or with an error."""

    register: CommittedRegister | None = None
    error: SumacloomError | None = None

    @property
    def succeeded(self) -> bool:
        """Whether it ended without an error."""
        return self.error is None

    def value(self) -> bytes | None:
        """The committed value.

        Raises:
            SumacloomError: what the proposal ended with.
        """
        if self.error is not None or self.register is None:
            raise self.error or NoQuorumError
        return self.register.value


class _Reply(NamedTuple):
    """The newest value among the replies, and whether a quorum holds it."""

    proposal_number: ProposalNumber
    value: bytes | None
    held_by_quorum: bool


class Proposal:
    """One change or read of one register.

    Attributes:
        outcome: None until the proposal has ended.
        committed: what is known to be committed, even where the outcome is an error.
    """

    def __init__(
        self,
        key: str,
        change: Change,
        quorum: QuorumConfiguration,
        known: tuple[ProposalNumber, bytes | None],
        proposal_numbers: ProposalNumberSource,
        now: float,
        timeout_s: float = TIMEOUT_S,
        reading: bool = False,
    ):
        """Begins the first round.

        Args:
            key: the register.
            change: what to make of the current value; refuses by raising a `SumacloomError`.
            quorum: who votes.
            known: number and value that the proposer's own acceptor holds; voters needn't send it.
            proposal_numbers: where numbers come from.
            now: seconds on the steady clock.
            timeout_s: seconds until the proposal ends without an outcome of its own.
            reading: whether one round of reads comes first.
        """
        self.key = key
        self.change = change
        self.quorum = quorum
        self.known_number, self.known_value = known
        self.proposal_numbers = proposal_numbers
        self.deadline = now + timeout_s
        self.outcome: Outcome | None = None
        self.committed: CommittedRegister | None = None
        self.reading = reading
        self.phase = Phase.READ if reading else Phase.PREPARE
        self.lost_rounds = 0
        self.start_round(now)

    def start_round(self, now: float) -> None:
        """Starts a fresh round under a number above all observed."""
        self.proposal_number = self.proposal_numbers.next()
        self.replies: dict[str, Promise | ReadReply] = {}
        self.accepted_by: set[str] = set()
        self.rejected_by: set[str] = set()
        self.newer_at: set[str] = (
            set()
        )  # late voters that reported a newer value than ours is based on
        self.value: bytes | None = None
        self.change_error: SumacloomError | None = None
        self.based_on = NO_PROPOSAL
        self.resume_at: float | None = None
        self.sent_at = self.round_started_at = now

    def queue(self) -> None:
        """Waits until another change of the same key has ended; `start_round` ends the wait."""
        self.resume_at = math.inf

    @property
    def queued(self) -> bool:
        """Whether it waits for another change of the same key."""
        return self.resume_at == math.inf

    def use_quorum(self, quorum: QuorumConfiguration, now: float) -> list[VoterMessage]:
        """Restarts among other voters, if they are newer than those it counts by."""
        if self.outcome is not None or quorum.version <= self.quorum.version:
            return []
        self.quorum = quorum
        self.phase = Phase.PREPARE
        if not self.queued:
            self.start_round(now)
        return self.messages()

    def messages(self) -> list[VoterMessage]:
        """What to send now to the voters that have not replied."""
        if self.outcome is not None or self.resume_at is not None:
            return []
        if self.phase is Phase.ACCEPT:
            return [
                (voter, self._accept_for(promise))
                for voter, promise in self.replies.items()
                if voter not in self.accepted_by and isinstance(promise, Promise)
            ]
        kind = ReadRequest if self.phase is Phase.READ else Prepare
        message = kind(self.key, self.proposal_number, self.known_number, self.quorum.identity)
        return [(voter, message) for voter in self.quorum.members if voter not in self.replies]

    def _accept_for(self, promise: Promise) -> Accept:
        assert self.value is not None  # set when the ACCEPT phase begins
        return Accept(
            self.key,
            self.proposal_number,
            self.value,
            promise.incarnation,
            self.quorum.identity,
        )

    def receive(
        self, voter: str, message: Rejected | ReadReply | Promise | Accepted, now: float
    ) -> list[VoterMessage]:
        """Takes a voter's reply; returns what to send next."""
        if self.outcome is not None or self.resume_at is not None:
            return []
        if message.proposal_number != self.proposal_number:
            return []
        if isinstance(message, Rejected):
            return self._handle_rejection(voter, message, now)
        if isinstance(message, ReadReply):
            return self._handle_read_reply(voter, message, now)
        if isinstance(message, Promise):
            return self._handle_promise(voter, message, now)
        self.accepted_by.add(voter)
        if self.phase is Phase.ACCEPT and self.quorum.has_quorum(self.accepted_by):
            self.committed = CommittedRegister(self.proposal_number, self.value)
            self.outcome = Outcome(self.committed, self.change_error)
        return []

    def _handle_rejection(self, voter: str, message: Rejected, now: float) -> list[VoterMessage]:
        self.proposal_numbers.observe(message.promised)
        self.rejected_by.add(voter)
        asked = self.replies if self.phase is Phase.ACCEPT else self.quorum.members
        if not self.quorum.has_quorum(set(asked) - self.rejected_by):
            self.back_off(now)
        return []

    def _handle_read_reply(self, voter: str, message: ReadReply, now: float) -> list[VoterMessage]:
        if self.phase is not Phase.READ:
            return []
        self.replies[voter] = message
        return self._finish_read(now)

    def _handle_promise(self, voter: str, message: Promise, now: float) -> list[VoterMessage]:
        if self.phase is Phase.ACCEPT:
            return self.handle_late_promise(voter, message)
        if voter in self.replies:
            return []
        self.replies[voter] = message
        return self._finish_prepare(now)

    def handle_late_promise(self, voter: str, promise: Promise) -> list[VoterMessage]:
        """A promise in the ACCEPT phase: its voter may accept too if it reports nothing newer.

        A voter whose promise gave the value may have lost its disk since; together with this voter it may
        have committed what this one reports. All that accept have promised and reported nothing above
        `based_on`, so they are a quorum that could have given the value by themselves.
        """
        if voter in self.replies:
            return []
        if ProposalNumber(*promise.accepted) > self.based_on:
            self.newer_at.add(voter)
            return []
        self.replies[voter] = promise
        return [(voter, self._accept_for(promise))]

    def _newest_reply(self) -> _Reply:
        newest = max(self.replies.values(), key=lambda reply: reply.accepted)
        holders = {
            voter for voter, reply in self.replies.items() if reply.accepted == newest.accepted
        }
        value = self.known_value if newest.accepted == self.known_number else newest.value
        number = ProposalNumber(*newest.accepted)
        return _Reply(number, value, self.quorum.has_quorum(holders))

    def _finish_read(self, now: float) -> list[VoterMessage]:
        """With replies of a quorum: done if a quorum holds the same value, else two rounds commit it."""
        if not self.quorum.has_quorum(self.replies):
            return []
        newest = self._newest_reply()
        if newest.held_by_quorum:
            register = CommittedRegister(newest.proposal_number, newest.value)
            if newest.proposal_number != NO_PROPOSAL:
                self.committed = register
            self.outcome = Outcome(register)
            return []
        if len(self.replies) < len(self.quorum.members) and now < self.sent_at + RESEND_S:
            return []  # the others may show that a quorum holds it
        self.phase = Phase.PREPARE
        self.start_round(now)
        return self.messages()

    def _finish_prepare(self, now: float) -> list[VoterMessage]:
        """With promises of a quorum: applies the change to the newest value, unless the deadline is over.

        A change that has nothing to change writes the value again: an earlier change that only a minority
        has accepted could else be committed after this one was acknowledged.
        """
        if not self.quorum.has_quorum(self.replies):
            return []
        if now >= self.deadline:
            self.outcome = Outcome(error=NoQuorumError())
            return []
        newest = self._newest_reply()
        changed, error = self._apply_change(newest.value)
        nothing_to_write = newest.value is None and changed is None
        is_plain_read = self.reading and changed is None
        if nothing_to_write or (newest.held_by_quorum and (error is not None or is_plain_read)):
            self._finish_unchanged(newest, error)
            return []
        self.value = newest.value if changed is None else changed
        self.based_on = newest.proposal_number
        self.change_error = error
        self.phase = Phase.ACCEPT
        return self.messages()

    def _apply_change(self, current: bytes | None) -> tuple[bytes | None, SumacloomError | None]:
        try:
            return self.change(current), None
        except SumacloomError as error:
            return None, error

    def _finish_unchanged(self, newest: _Reply, error: SumacloomError | None) -> None:
        register = CommittedRegister(newest.proposal_number, newest.value)
        if newest.value is not None:
            self.committed = register
        self.outcome = Outcome(register, error)

    def back_off(self, now: float) -> None:
        """After a lost round: waits a random time, longer with each, then starts again."""
        longest = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**self.lost_rounds)
        self.resume_at = now + self.proposal_numbers.random.uniform(MIN_BACKOFF_S, longest)
        self.lost_rounds += 1
        self.phase = Phase.PREPARE

    def on_timer(self, now: float) -> list[VoterMessage]:
        """Ends at the deadline, resumes after a backoff, restarts or resends; returns what to send."""
        if self.outcome is not None:
            return []
        if now >= self.deadline:
            self.outcome = Outcome(error=NoQuorumError())
            return []
        if self.resume_at is not None:
            if now < self.resume_at:
                return []
            self.start_round(now)
            return self.messages()
        round_s = now - self.round_started_at
        if self.phase is Phase.ACCEPT and self.newer_at and round_s >= RENEW_S:
            self.phase = Phase.PREPARE
            self.start_round(now)
            return self.messages()
        if now - self.sent_at < RESEND_S:
            return []
        if self.rejected_by and round_s >= REJECTED_S:  # those that are silent may never reply
            self.back_off(now)
            return []
        self.sent_at = now
        if self.phase is Phase.READ and self.quorum.has_quorum(self.replies):
            return self._finish_read(now)
        return self.messages()
