"""What a peer may say: bounds on its messages, checked before they reach any state."""

from typing import Any

from sumacloom.consensus.messages import Accept, Prepare, ReadRequest, StateRequest
from sumacloom.consensus.proposal_number import NO_PROPOSAL, ProposalNumber

MAX_ROUND = 1 << 48  # no system gets so far; a number above could not be outbid, nor sent one day
MAX_KEY_LENGTH = 512  # characters
NUMBER_FIELDS = ("proposal_number", "known", "accepted", "promised", "barrier", "promised_floor")


def proposal_numbers_of(message: Any) -> list[ProposalNumber]:
    """All proposal numbers that a message names."""
    named = [getattr(message, field) for field in NUMBER_FIELDS if hasattr(message, field)]
    rows = getattr(message, "registers", [])
    return named + [number for _key, *numbers, _value in rows for number in numbers]


def is_credible(peer: str, message: Any) -> bool:
    """Whether a peer may send this: its own numbers where it asks for votes, all in range, a short key.

    >>> prepare = Prepare("k", ProposalNumber(4, "a", 1), NO_PROPOSAL)
    >>> is_credible("a", prepare), is_credible("b", prepare)
    (True, False)
    """
    own = NO_PROPOSAL
    if isinstance(message, StateRequest):
        own = message.barrier
    elif isinstance(message, Prepare | Accept | ReadRequest):
        own = message.proposal_number
    if own != NO_PROPOSAL and own[1] != peer:
        return False
    if len(getattr(message, "key", "")) > MAX_KEY_LENGTH:
        return False
    return all(
        0 <= number <= MAX_ROUND and nonce >= 0
        for number, _proposer, nonce in proposal_numbers_of(message)
    )
