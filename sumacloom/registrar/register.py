"""The compare-and-set register: acceptors, and proposals in two rounds at a majority.

No I/O: an acceptor returns its reply and the slots to write (synced BEFORE the reply leaves); a
proposal returns the messages to send. There is no leader and no log; any registrar proposes.
"""
import random
from typing import NamedTuple

import msgspec

from ..common.results import Err, Ok, mishap
from ..common.types import NO_BALLOT, Ballot
from ..courier.messages import Accept, Accepted, Copy, Prepare, Promise, Query, Refused, Told

RESEND_S = 0.1


class Slot(NamedTuple):
    """One key at one acceptor."""

    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: bytes | None = None


class Meta(msgspec.Struct, array_like=True):
    voters: list[str]
    incarnation: int


class Acceptor:
    """A voter's memory. `learned` is false while a lost disk is being made good; then it keeps silent.

    >>> acceptor = Acceptor(["a"], 1)
    >>> reply, writes = acceptor.hear(Prepare("k", Ballot(1, "a", 0), NO_BALLOT))
    >>> reply.accepted == NO_BALLOT, writes
    (True, ['k'])
    """

    def __init__(self, voters: list[str], incarnation: int, learned: bool = True):
        self.voters, self.incarnation, self.learned = voters, incarnation, learned
        self.slots: dict[str, Slot] = {}

    def hear(self, message) -> tuple:
        """The reply to a proposal's message, and the keys to write before it may leave.

        >>> Acceptor(["a"], 1, learned=False).hear(Query("k", NO_BALLOT, NO_BALLOT))
        (None, [])
        """
        if not self.learned:
            return None, []
        slot = self.slots.get(message.key, Slot())
        if isinstance(message, Query):
            value = None if message.known == slot.accepted else slot.value
            return Copy(message.key, message.ballot, slot.accepted, value), []
        if message.ballot < slot.promised or (
                isinstance(message, Accept) and message.incarnation != self.incarnation):
            return Refused(message.key, message.ballot, slot.promised), []
        if isinstance(message, Prepare):
            if message.ballot == slot.promised:      # the same prepare again: the same promise
                writes = []
            else:
                self.slots[message.key] = slot._replace(promised=message.ballot)
                writes = [message.key]
            value = None if message.known == slot.accepted else slot.value
            return Promise(message.key, message.ballot, slot.accepted, value, self.incarnation), writes
        if slot.accepted == message.ballot:
            return Accepted(message.key, message.ballot), []
        self.slots[message.key] = Slot(message.ballot, message.ballot, message.value)
        return Accepted(message.key, message.ballot), [message.key]

    def mend(self, key: str, ballot: Ballot, value: bytes) -> list[str]:
        """Takes a decided value into an old copy; gives the keys to write.

        >>> Acceptor(["a"], 1).mend("k", Ballot(1, "a", 0), b"v")
        ['k']
        """
        slot = self.slots.get(key, Slot())
        if not self.learned or ballot < slot.promised or ballot <= slot.accepted:
            return []
        self.slots[key] = Slot(ballot, ballot, value)
        return [key]

    def tell(self) -> Told | None:
        """Everything, for a voter that lost its disk; nothing while this one is learning itself.

        >>> Acceptor(["a"], 1).tell()
        Told(voters=['a'], slots=[])
        """
        return Told(self.voters, [(key, *slot) for key, slot in self.slots.items()]) if self.learned else None

    def needed_to_learn(self) -> int:
        """How many others must have told all, so that every majority that could have decided is met.

        >>> Acceptor(["a", "b", "c"], 1).needed_to_learn()
        2
        >>> Acceptor(["a", "b", "c", "d", "e"], 1).needed_to_learn()
        3
        """
        count = len(self.voters)
        return count - (count // 2 + 1) + 1

    def learn(self, tales: dict[str, Told]) -> list[str] | None:
        """Adopts the highest promise and value per key once enough others told; gives the keys to write.

        >>> acceptor = Acceptor(["a", "b", "c"], 1, learned=False)
        >>> acceptor.learn({"b": Told(["a", "b", "c"], [])}) is None
        True
        """
        others = [told for voter, told in tales.items() if voter in self.voters]
        if self.learned or len(others) < self.needed_to_learn():
            return None
        for told in others:
            for key, promised, accepted, value in told.slots:
                slot = self.slots.get(key, Slot())
                if accepted > slot.accepted:
                    slot = slot._replace(accepted=Ballot(*accepted), value=value)
                self.slots[key] = slot._replace(promised=max(slot.promised, Ballot(*promised)))
        self.learned = True
        return list(self.slots)


class Proposal:
    """One change or reading of one key.

    `change` takes the current value (None if none) and gives Ok(new value), Ok(None) for no change,
    or Err(mishap). `outcome` is set at the end: Ok((ballot, value)) or Err(mishap); `decided` holds
    what is known to be decided, even under an Err.
    """

    def __init__(self, key, change, voters, known, ballots, now, cutoff_s=0.85, reading=False):
        self.key, self.change, self.voters = key, change, voters
        self.known_ballot, self.known_value = known
        self.ballots = ballots
        self.cutoff = now + cutoff_s
        self.majority = len(voters) // 2 + 1
        self.outcome, self.decided = None, None
        self.round = "query" if reading else "prepare"
        self.resume_at = None
        self.begin(now)

    def begin(self, now: float) -> None:
        """A fresh round with a ballot above all seen.

        >>> Proposal.begin.__name__
        'begin'
        """
        self.ballot = self.ballots.next()
        self.replies, self.accepted, self.refused = {}, set(), set()
        self.value, self.verdict = None, None
        self.resume_at, self.sent_at = None, now

    def messages(self) -> list[tuple]:
        """What to send now to the voters that have not replied: (voter, message).

        >>> Proposal.messages.__name__
        'messages'
        """
        if self.outcome is not None or self.resume_at is not None:
            return []
        if self.round == "accept":
            return [
                (voter, Accept(self.key, self.ballot, self.value, promise.incarnation))
                for voter, promise in self.replies.items() if voter not in self.accepted
            ]
        kind = Query if self.round == "query" else Prepare
        message = kind(self.key, self.ballot, self.known_ballot)
        return [(voter, message) for voter in self.voters if voter not in self.replies]

    def hear(self, voter: str, message, now: float) -> list[tuple]:
        """A voter's reply; gives what to send next.

        >>> Proposal.hear.__name__
        'hear'
        """
        if self.outcome is not None or self.resume_at is not None or message.ballot != self.ballot:
            return []
        if isinstance(message, Refused):
            self.ballots.saw(message.promised)
            self.refused.add(voter)
            if len(self.voters) - len(self.refused) < self.majority:
                self.back_off(now)
            return []
        if isinstance(message, Copy):
            if self.round == "query":
                self.replies[voter] = message
                return self.read(now)
            return []
        if isinstance(message, Promise):
            if voter in self.replies:
                return []
            self.replies[voter] = message
            if self.round == "accept":
                return [(voter, Accept(self.key, self.ballot, self.value, message.incarnation))]
            return self.promised()
        self.accepted.add(voter)
        if len(self.accepted) >= self.majority and self.round == "accept":
            self.decided = (self.ballot, self.value)
            self.outcome = self.verdict or Ok(self.decided)
        return []

    def newest(self) -> tuple:
        """The highest accepted (ballot, value) among the replies, and how many hold it.

        >>> Proposal.newest.__name__
        'newest'
        """
        best = max(self.replies.values(), key=lambda reply: reply.accepted)
        holders = sum(reply.accepted == best.accepted for reply in self.replies.values())
        value = self.known_value if best.accepted == self.known_ballot else best.value
        return Ballot(*best.accepted), value, holders

    def read(self, now: float) -> list[tuple]:
        """Enough copies: the value if a majority holds the same, else two rounds that settle it.

        >>> Proposal.read.__name__
        'read'
        """
        if len(self.replies) < self.majority:
            return []
        ballot, value, holders = self.newest()
        if holders >= self.majority:
            if ballot != NO_BALLOT:
                self.decided = (ballot, value)
            self.outcome = Ok((ballot, value))
            return []
        if len(self.replies) < len(self.voters) and now < self.sent_at + RESEND_S:
            return []
        self.round = "prepare"
        self.begin(now)
        return self.messages()

    def promised(self) -> list[tuple]:
        """Enough promises: applies the change to the newest value.

        >>> Proposal.promised.__name__
        'promised'
        """
        if len(self.replies) < self.majority:
            return []
        ballot, value, holders = self.newest()
        result = self.change(value)
        settled = holders >= self.majority
        changed = result.is_ok() and result.ok() is not None
        if not changed and (settled or value is None):
            if value is not None:
                self.decided = (ballot, value)
            self.outcome = result if result.is_err() else Ok((ballot, value))
            return []
        self.value = result.ok() if changed else value
        self.verdict = result if result.is_err() else None
        self.round = "accept"
        return self.messages()

    def back_off(self, now: float) -> None:
        """Lost a duel: waits a random while, then begins again.

        >>> Proposal.back_off.__name__
        'back_off'
        """
        self.resume_at = now + self.ballots.random.uniform(0.01, 0.12)
        self.round = "prepare"

    def alarm(self, now: float) -> list[tuple]:
        """By the clock: ends at the cutoff, resumes after a backoff, sends again what went unheard.

        >>> Proposal.alarm.__name__
        'alarm'
        """
        if self.outcome is not None:
            return []
        if now >= self.cutoff:
            self.outcome = Err(mishap("no_majority"))
            return []
        if self.resume_at is not None:
            if now < self.resume_at:
                return []
            self.begin(now)
            return self.messages()
        if now - self.sent_at >= RESEND_S:
            self.sent_at = now
            if self.round == "query" and len(self.replies) >= self.majority:
                return self.read(now)
            return self.messages()
        return []


class Ballots:
    """Draws ballots above all that were seen; the nonce differs in each life of a process.

    >>> ballots = Ballots("a", 7, random.Random(1)); ballots.saw(Ballot(4, "b", 1)); ballots.next()
    Ballot(round=5, proposer='a', nonce=7)
    """

    def __init__(self, proposer: str, nonce: int, source: random.Random):
        self.proposer, self.nonce, self.random = proposer, nonce, source
        self.round = 0

    def saw(self, ballot: Ballot) -> None:
        """Remembers a ballot of another.

        >>> Ballots("a", 1, random.Random(1)).saw(NO_BALLOT)
        """
        self.round = max(self.round, ballot[0])

    def next(self) -> Ballot:
        """A ballot above all seen.

        >>> Ballots("a", 1, random.Random(1)).next().round
        1
        """
        self.round += 1
        return Ballot(self.round, self.proposer, self.nonce)
