"""The acceptor: what one voter has promised and accepted, per register.

No I/O: it returns its reply and the keys to write. The caller syncs these keys BEFORE it sends the
reply; an acceptor that forgot a promise could let two values be committed.
"""

from collections.abc import Mapping
from typing import NamedTuple

from sumacloom.consensus.messages import (
    Accept,
    Accepted,
    Message,
    Prepare,
    Promise,
    QuorumChanged,
    ReadReply,
    ReadRequest,
    Rejected,
    StateTransfer,
)
from sumacloom.consensus.proposal_number import NO_PROPOSAL, ProposalNumber
from sumacloom.consensus.quorum import QuorumConfiguration


class RegisterState(NamedTuple):
    """One register at one acceptor."""

    promised: ProposalNumber = NO_PROPOSAL
    accepted: ProposalNumber = NO_PROPOSAL
    value: bytes | None = None


class AcceptorReply(NamedTuple):
    """A reply, and the keys whose state must be synced before it leaves."""

    message: Message | None
    dirty_keys: list[str]


class Acceptor:
    """One voter's state.

    Attributes:
        recovered: False while the state of a lost disk is being restored; until then it does not vote.
        incarnation: changes when state was lost; a promise of another incarnation binds nobody.
        promised_floor: promised for every key, to a voter that had lost its state.

    >>> acceptor = Acceptor(QuorumConfiguration(1, (), ("a",)), 1)
    >>> reply, dirty = acceptor.receive(Prepare("k", ProposalNumber(1, "a", 0), NO_PROPOSAL))
    >>> reply.accepted == NO_PROPOSAL, dirty
    (True, ['k'])
    """

    def __init__(self, quorum: QuorumConfiguration, incarnation: int, recovered: bool = True):
        self.quorum = quorum
        self.incarnation = incarnation
        self.recovered = recovered
        self.registers: dict[str, RegisterState] = {}
        self.promised_floor = NO_PROPOSAL

    def register_state(self, key: str) -> RegisterState:
        """What this acceptor holds of a key."""
        return self.registers.get(key) or RegisterState(promised=self.promised_floor)

    def receive(self, message: Prepare | Accept | ReadRequest) -> AcceptorReply:
        """Replies to a proposer. One that counts by another configuration gets ours instead of a vote."""
        if not self.recovered:
            return AcceptorReply(None, [])
        if message.quorum not in (self.quorum.identity, self.quorum.version):
            return AcceptorReply(QuorumChanged(self.quorum), [])
        state = self.register_state(message.key)
        if isinstance(message, ReadRequest):
            return self._read(message, state)
        stale = message.proposal_number < state.promised
        if stale or (isinstance(message, Accept) and message.incarnation != self.incarnation):
            rejected = Rejected(message.key, message.proposal_number, state.promised)
            return AcceptorReply(rejected, [])
        if isinstance(message, Prepare):
            return self._promise(message, state)
        return self._accept(message, state)

    @staticmethod
    def _read(message: ReadRequest, state: RegisterState) -> AcceptorReply:
        value = None if message.known == state.accepted else state.value
        reply = ReadReply(message.key, message.proposal_number, state.accepted, value)
        return AcceptorReply(reply, [])

    def _promise(self, message: Prepare, state: RegisterState) -> AcceptorReply:
        dirty_keys = []
        if message.proposal_number != state.promised:  # a repeated Prepare changes nothing
            self.registers[message.key] = state._replace(promised=message.proposal_number)
            dirty_keys = [message.key]
        value = None if message.known == state.accepted else state.value
        promise = Promise(
            message.key, message.proposal_number, state.accepted, value, self.incarnation
        )
        return AcceptorReply(promise, dirty_keys)

    def _accept(self, message: Accept, state: RegisterState) -> AcceptorReply:
        accepted = Accepted(message.key, message.proposal_number)
        if state.accepted == message.proposal_number:
            return AcceptorReply(accepted, [])
        number = message.proposal_number
        self.registers[message.key] = RegisterState(number, number, message.value)
        return AcceptorReply(accepted, [message.key])

    def repair(self, key: str, proposal_number: ProposalNumber, value: bytes) -> list[str]:
        """Takes a committed value in place of an older one; returns the keys to write."""
        state = self.register_state(key)
        outdated = proposal_number < state.promised or proposal_number <= state.accepted
        if not self.recovered or outdated:
            return []
        self.registers[key] = RegisterState(proposal_number, proposal_number, value)
        return [key]

    def promise_at_least(self, barrier: ProposalNumber) -> list[str]:
        """Promises a number for every key; returns the keys to write.

        >>> acceptor = Acceptor(QuorumConfiguration(1, (), ("a",)), 1)
        >>> acceptor.promise_at_least(ProposalNumber(4, "b", 0)); acceptor.register_state("k").promised.round
        []
        4
        """
        if not self.recovered or barrier <= self.promised_floor:
            return []
        self.promised_floor = barrier
        lower = [key for key, state in self.registers.items() if state.promised < barrier]
        for key in lower:
            self.registers[key] = self.registers[key]._replace(promised=barrier)
        return lower

    def export_state(self) -> StateTransfer | None:
        """Everything, for a voter that lost its state; None while this one is recovering itself."""
        if not self.recovered:
            return None
        registers = [(key, *state) for key, state in self.registers.items()]
        return StateTransfer(self.quorum, registers, self.promised_floor)

    def recover(
        self, transfers: Mapping[str, StateTransfer], barrier: ProposalNumber = NO_PROPOSAL
    ) -> list[str] | None:
        """Restores the state from other voters once enough have sent theirs.

        Enough are those that intersect every quorum of the newest configuration told of. A transfer
        counts only if its sender rejects whatever is below our barrier and had promised nothing above
        it: else a vote that we gave before our loss could be counted together with one that the sender
        gives after its transfer.

        Args:
            transfers: the newest transfer of each voter.
            barrier: the number that these voters were asked to promise for every key.

        Returns:
            The keys to write, or None while this acceptor can't vote yet (or needn't recover).
        """
        if self.recovered or not transfers:
            return None
        known = [self.quorum, *(transfer.quorum for transfer in transfers.values())]
        newest = max(known, key=lambda quorum: quorum.version)
        usable = {
            voter
            for voter, transfer in transfers.items()
            if transfer.promised_floor == barrier
            and all(ProposalNumber(*row[1]) == barrier for row in transfer.registers)
        }
        if not newest.intersects_every_quorum(usable):
            return None
        self.quorum = newest
        self.promised_floor = barrier
        for transfer in transfers.values():
            self._adopt(transfer, barrier)
        self.recovered = True
        return list(self.registers)

    def _adopt(self, transfer: StateTransfer, barrier: ProposalNumber) -> None:
        """Takes over what a transfer holds where it is newer."""
        for key, _promised, accepted, value in transfer.registers:
            state = self.register_state(key)
            if ProposalNumber(*accepted) > state.accepted:
                state = state._replace(accepted=ProposalNumber(*accepted), value=value)
            self.registers[key] = state._replace(promised=barrier)
