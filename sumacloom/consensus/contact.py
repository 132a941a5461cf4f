"""Contact with peers, dated by when we sent what a peer acknowledges, never by when we read it.

After a stall of this process, or over a link that delays messages, old heartbeats are read late. A
heartbeat names the newest of ours that its sender had received, so contact is as old as that heartbeat
of ours, however late the acknowledgement is read.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple

from sumacloom.consensus.proposal_number import NO_PROPOSAL, ProposalNumber
from sumacloom.types import NEVER

CONTACT_S = 1.8  # two heartbeat intervals and the round trip are some 0.8 s; the rest is for delays
REPORTED_S = 2.8  # what rarely changes is reported once a second: contact, and that second


class ReportedNumbers(NamedTuple):
    """The newest proposal number of each key at a peer, and when we sent what that report acknowledges."""

    dated: float
    numbers: Mapping[str, ProposalNumber]


class PeerState(NamedTuple):
    """The newest heartbeat of a peer, and when it came."""

    received_at: float
    heartbeat: Any


class PeerContact:
    """Numbers our heartbeats, and knows how old each peer's contact with us is."""

    def __init__(self, number: int):
        self.number = (
            number  # of our newest heartbeat; each incarnation of a process begins elsewhere
        )
        self.sent_at: dict[int, float] = {}
        self.answered_at: dict[
            str, float
        ] = {}  # peer: when we sent the newest that it acknowledged
        self.reported: dict[str, ReportedNumbers] = {}

    def send(self, now: float) -> None:
        """Numbers the heartbeat that is about to be sent.

        >>> contact = PeerContact(7); contact.send(1.0); contact.sent_at
        {8: 1.0}
        """
        self.number += 1
        self.sent_at[self.number] = now
        recent = {number: at for number, at in self.sent_at.items() if now - at < REPORTED_S}
        self.sent_at = recent

    def _date_of(self, acknowledged: int | None) -> float:
        return NEVER if acknowledged is None else self.sent_at.get(acknowledged, NEVER)

    def receive(self, peer: str, acknowledged: int | None) -> None:
        """A peer acknowledges our heartbeat of that number; one that we don't know dates nothing.

        >>> contact = PeerContact(7); contact.send(1.0); contact.receive("b", 8)
        >>> contact.holds("b", 2.0), contact.holds("b", 9.0)
        (True, False)
        """
        known = self.answered_at.get(peer, NEVER)
        self.answered_at[peer] = max(known, self._date_of(acknowledged))

    def receive_numbers(
        self, peer: str, acknowledged: int | None, numbers: Mapping[str, ProposalNumber]
    ) -> None:
        """A peer reports, per key, the newest number that it has accepted or knows to be committed."""
        self.reported[peer] = ReportedNumbers(self._date_of(acknowledged), numbers)

    def holds(self, peer: str, now: float) -> bool:
        """Whether a peer has acknowledged one of our heartbeats lately."""
        return now - self.answered_at.get(peer, NEVER) < CONTACT_S

    def has_reported(self, peer: str, now: float) -> bool:
        """Whether what a peer reported of its numbers is recent."""
        report = self.reported.get(peer)
        return report is not None and now - report.dated < REPORTED_S


def newest_numbers(
    committed: Mapping[str, ProposalNumber], uncommitted: Mapping[str, ProposalNumber]
) -> dict[str, ProposalNumber]:
    """The newest number of each key, of those known to be committed and those accepted only.

    >>> newest_numbers({"k": (1, "a", 7)}, {"k": (2, "b", 8)})["k"].round
    2
    """
    return {
        key: max(
            ProposalNumber(*committed.get(key, NO_PROPOSAL)),
            ProposalNumber(*uncommitted.get(key, NO_PROPOSAL)),
        )
        for key in {*committed, *uncommitted}
    }
