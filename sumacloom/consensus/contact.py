"""Who is in contact with us: dated by when we sent what a peer answers, never by when we read the answer.

After standing still, or over a link that holds letters back, old beats are read late. A beat says which of ours
its sender had heard last, so that contact is as old as that beat of ours, however late the answer is read.
"""

from sumacloom.types import NO_BALLOT, Ballot

CONTACT_S = (
    1.8  # two beats' intervals and the way there and back are 0.8 s or so; the rest is for delays
)
TOLD_S = 2.8  # what rarely changes is told once a second: contact, and that second
LONG_AGO = -1e9


class Contact:
    """The numbers of our beats, and how old each peer's contact with us is."""

    def __init__(self, number: int):
        self.number = number  # of our newest beat; each life of a process begins elsewhere
        self.sent: dict[int, float] = {}  # number: when we sent it
        self.answered: dict[
            str, float
        ] = {}  # peer: when we sent the newest beat that it has answered
        self.told: dict[str, tuple] = {}  # peer: (dated likewise, {key: newest ballot it accepted})

    def send(self, now: float) -> None:
        """Numbers the beat that is to be sent now.

        >>> contact = Contact(7); contact.send(1.0); contact.sent
        {8: 1.0}
        """
        self.number += 1
        self.sent[self.number] = now
        self.sent = {number: sent for number, sent in self.sent.items() if now - sent < TOLD_S}

    def hear(self, peer: str, echo: int | None) -> None:
        """A peer's beat answers ours of this number; one that we don't know dates nothing.

        >>> contact = Contact(7); contact.send(1.0); contact.hear("b", 8); contact.holds("b", 2.0), contact.holds("b", 9.0)
        (True, False)
        """
        self.answered[peer] = max(self.answered.get(peer, LONG_AGO), self.sent.get(echo, LONG_AGO))

    def hear_ballots(self, peer: str, echo: int | None, ballots: dict[str, Ballot]) -> None:
        """A peer tells the newest ballot of each key that it has accepted, or knows to be decided.

        >>> contact = Contact(7); contact.hear_ballots("b", None, {}); contact.told
        {'b': (-1000000000.0, {})}
        """
        self.told[peer] = (self.sent.get(echo, LONG_AGO), ballots)

    def holds(self, peer: str, now: float) -> bool:
        """Whether a peer has answered one of our beats of late.

        >>> Contact(7).holds("b", 0.0)
        False
        """
        return now - self.answered.get(peer, LONG_AGO) < CONTACT_S

    def has_told(self, peer: str, now: float) -> bool:
        """Whether what a peer told of its ballots is recent.

        >>> Contact(7).has_told("b", 0.0)
        False
        """
        return now - self.told.get(peer, (LONG_AGO,))[0] < TOLD_S


def newest_ballots(decided: dict, undecided: dict) -> dict[str, Ballot]:
    """One ballot for each key, of those known to be decided and those accepted only.

    >>> newest_ballots({"k": (1, "a", 7)}, {"k": (2, "b", 8)})["k"].round
    2
    """
    return {
        key: max(Ballot(*decided.get(key, NO_BALLOT)), Ballot(*undecided.get(key, NO_BALLOT)))
        for key in {*decided, *undecided}
    }
