"""State transfer: how a voter that lost its state gets it back from the others before it votes."""

import logging
from typing import TYPE_CHECKING

from sumacloom.consensus import storage
from sumacloom.consensus.messages import StateRequest, StateTransfer
from sumacloom.consensus.proposal_number import NO_PROPOSAL, ProposalNumber
from sumacloom.types import NEVER

if TYPE_CHECKING:
    from sumacloom.consensus.node import ConsensusNode

logger = logging.getLogger(__name__)

REQUEST_EVERY_S = 0.3
INCARNATION_BITS = 48


class StateRecovery:
    """Requests and sends whole states.

    Attributes:
        barrier: the number that the others are asked to promise for every key, so that no vote given
            before our loss can be counted with one that they give later.
        transfers: the newest transfer of each voter under this barrier.
    """

    def __init__(self, node: "ConsensusNode"):
        self._node = node
        self.barrier = NO_PROPOSAL
        self.transfers: dict[str, StateTransfer] = {}
        self.requested_at = NEVER

    def on_timer(self, now: float) -> None:
        """Requests the state of all others again and again until this node has recovered."""
        if self._node.acceptor.recovered or now - self.requested_at < REQUEST_EVERY_S:
            return
        self.requested_at = now
        if self.barrier == NO_PROPOSAL or self._has_promise_above_barrier():
            self.barrier = self._node.proposal_numbers.next()
            self.transfers = {}
        self._node.broadcast(StateRequest(self.barrier))

    def _has_promise_above_barrier(self) -> bool:
        return any(
            ProposalNumber(*promised) > self.barrier
            for transfer in self.transfers.values()
            for promised in (transfer.promised_floor, *(row[1] for row in transfer.registers))
        )

    def handle_request(self, peer: str, message: StateRequest, now: float) -> None:
        """A voter without its state asks for ours, and for a promise that holds for every key."""
        node, acceptor = self._node, self._node.acceptor
        barrier = ProposalNumber(*message.barrier)
        node.proposal_numbers.observe(barrier)
        before = acceptor.promised_floor
        keys = acceptor.promise_at_least(barrier)
        if acceptor.promised_floor != before:
            node.storage.write(
                [
                    storage.promised_floor_record(acceptor),
                    *(storage.register_record(acceptor, key, True) for key in keys),
                ]
            )
        state = acceptor.export_state()
        if state is not None:
            node.send_when_synced(peer, state)

    def handle_transfer(self, peer: str, message: StateTransfer, now: float) -> None:
        """Another voter's state; with enough of them this node votes again, as a new incarnation."""
        node, acceptor = self._node, self._node.acceptor
        if acceptor.recovered:
            return
        for _key, promised, _accepted, _value in message.registers:
            node.proposal_numbers.observe(ProposalNumber(*promised))
        node.proposal_numbers.observe(message.promised_floor)
        self.transfers[peer] = message
        if acceptor.recover(self.transfers, self.barrier) is None:
            return
        acceptor.incarnation = node.random.getrandbits(INCARNATION_BITS)
        node.write_snapshot()
        logger.info("recovered: the state of %d voters is taken over", len(self.transfers))
