"""The compare-and-set register: acceptors, and proposals in two rounds at a majority.

No I/O: an acceptor returns its reply and the slots to write (synced BEFORE the reply leaves); a
proposal returns the messages to send. There is no leader and no log; any registrar proposes.
"""
import random
from typing import NamedTuple

from ..common.results import Err, Ok, mishap
from ..common.types import NO_BALLOT, Ballot
from ..courier.messages import Accept, Accepted, Copy, Panel, Panelled, Prepare, Promise, Query, Refused, Told

RESEND_S = 0.1


class Slot(NamedTuple):
    """One key at one acceptor."""

    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: bytes | None = None


class Acceptor:
    """A voter's memory. `learned` is false while a lost disk is being made good; then it keeps silent.

    >>> acceptor = Acceptor(Panel(1, (), ("a",)), 1)
    >>> reply, writes = acceptor.hear(Prepare("k", Ballot(1, "a", 0), NO_BALLOT))
    >>> reply.accepted == NO_BALLOT, writes
    (True, ['k'])
    """

    def __init__(self, panel: Panel, incarnation: int, learned: bool = True):
        self.panel, self.incarnation, self.learned = panel, incarnation, learned
        self.slots: dict[str, Slot] = {}
        self.floor = NO_BALLOT           # promised for every key, to one that had lost its memory

    def slot(self, key: str) -> Slot:
        """What is held of a key.

        >>> Acceptor(Panel(1, (), ("a",)), 1).slot("k") == Slot()
        True
        """
        return self.slots.get(key) or Slot(promised=self.floor)

    def hear(self, message) -> tuple:
        """The reply to a proposal's message, and the keys to write before it may leave.

        Who counts by other voters is told ours and gets no vote: it learns the newer, or tells us its own.

        >>> Acceptor(Panel(1, (), ("a",)), 1, learned=False).hear(Query("k", NO_BALLOT, NO_BALLOT))
        (None, [])
        >>> Acceptor(Panel(2, (), ("a",)), 1).hear(Query("k", NO_BALLOT, NO_BALLOT))[0].panel.generation
        2
        """
        if not self.learned:
            return None, []
        if message.panel != self.panel.generation:
            return Panelled(self.panel), []
        slot = self.slot(message.key)
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

        >>> Acceptor(Panel(1, (), ("a",)), 1).mend("k", Ballot(1, "a", 0), b"v")
        ['k']
        """
        slot = self.slot(key)
        if not self.learned or ballot < slot.promised or ballot <= slot.accepted:
            return []
        self.slots[key] = Slot(ballot, ballot, value)
        return [key]

    def raise_floor(self, barrier: Ballot) -> list[str]:
        """Promises a ballot for every key; gives the keys to write.

        >>> acceptor = Acceptor(Panel(1, (), ("a",)), 1); acceptor.raise_floor(Ballot(4, "b", 0)); acceptor.slot("k").promised.round
        []
        4
        """
        if not self.learned or barrier <= self.floor:
            return []
        self.floor = barrier
        lower = [key for key, slot in self.slots.items() if slot.promised < barrier]
        self.slots.update((key, self.slots[key]._replace(promised=barrier)) for key in lower)
        return lower

    def tell(self) -> Told | None:
        """Everything, for a voter that lost its memory; nothing while this one is learning itself.

        >>> Acceptor(Panel(1, (), ("a",)), 1).tell().slots
        []
        """
        if not self.learned:
            return None
        return Told(self.panel, [(key, *slot) for key, slot in self.slots.items()], self.floor)

    def learn(self, tales: dict[str, Told], barrier: Ballot = NO_BALLOT) -> list[str] | None:
        """Adopts the highest value per key once enough others told; gives the keys to write.

        Enough are those that meet every majority of the newest voters told of. A tale counts only if its
        teller refuses whatever is below our barrier and had promised nothing above it: else a vote that we
        gave before our loss could still be counted together with one that the teller gives after its tale.

        >>> panel = Panel(1, (), ("a", "b", "c")); acceptor = Acceptor(panel, 1, learned=False)
        >>> acceptor.learn({"b": Told(panel, [])}) is None, acceptor.learn({"b": Told(panel, []), "c": Told(panel, [])})
        (True, [])
        """
        if self.learned or not tales:
            return None
        newest = max([self.panel, *(told.panel for told in tales.values())], key=lambda panel: panel.generation)
        sure = {
            voter: told for voter, told in tales.items()
            if told.floor == barrier and all(Ballot(*promised) == barrier for _key, promised, *_rest in told.slots)
        }
        if not newest.met(sure):
            return None
        self.panel, self.floor = newest, barrier
        for told in tales.values():
            for key, _promised, accepted, value in told.slots:
                slot = self.slot(key)
                if Ballot(*accepted) > slot.accepted:
                    slot = slot._replace(accepted=Ballot(*accepted), value=value)
                self.slots[key] = slot._replace(promised=barrier)
        self.learned = True
        return list(self.slots)


class Proposal:
    """One change or reading of one key.

    `change` takes the current value (None if none) and gives Ok(new value), Ok(None) for no change,
    or Err(mishap). `outcome` is set at the end: Ok((ballot, value)) or Err(mishap); `decided` holds
    what is known to be decided, even under an Err.
    """

    def __init__(self, key, change, panel, known, ballots, now, cutoff_s=0.85, reading=False):
        self.key, self.change, self.panel = key, change, panel
        self.known_ballot, self.known_value = known
        self.ballots = ballots
        self.cutoff = now + cutoff_s
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

    def count_by(self, panel: Panel, now: float) -> list[tuple]:
        """Other voters than we counted by: a fresh round among them.

        >>> Proposal.count_by.__name__
        'count_by'
        """
        if self.outcome is not None or panel.generation <= self.panel.generation:
            return []
        self.panel = panel
        self.round = "prepare"
        self.begin(now)
        return self.messages()

    def messages(self) -> list[tuple]:
        """What to send now to the voters that have not replied: (voter, message).

        >>> Proposal.messages.__name__
        'messages'
        """
        if self.outcome is not None or self.resume_at is not None:
            return []
        if self.round == "accept":
            return [
                (voter, Accept(self.key, self.ballot, self.value, promise.incarnation, self.panel.generation))
                for voter, promise in self.replies.items() if voter not in self.accepted
            ]
        kind = Query if self.round == "query" else Prepare
        message = kind(self.key, self.ballot, self.known_ballot, self.panel.generation)
        return [(voter, message) for voter in self.panel.members if voter not in self.replies]

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
            if not self.panel.carried(set(self.panel.members) - self.refused):
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
                return [(voter, Accept(self.key, self.ballot, self.value, message.incarnation, self.panel.generation))]
            return self.promised()
        self.accepted.add(voter)
        if self.round == "accept" and self.panel.carried(self.accepted):
            self.decided = (self.ballot, self.value)
            self.outcome = self.verdict or Ok(self.decided)
        return []

    def newest(self) -> tuple:
        """The highest accepted (ballot, value) among the replies, and whether enough hold it.

        >>> Proposal.newest.__name__
        'newest'
        """
        best = max(self.replies.values(), key=lambda reply: reply.accepted)
        holders = {voter for voter, reply in self.replies.items() if reply.accepted == best.accepted}
        value = self.known_value if best.accepted == self.known_ballot else best.value
        return Ballot(*best.accepted), value, self.panel.carried(holders)

    def read(self, now: float) -> list[tuple]:
        """Enough copies: the value if a majority holds the same, else two rounds that settle it.

        >>> Proposal.read.__name__
        'read'
        """
        if not self.panel.carried(self.replies):
            return []
        ballot, value, settled = self.newest()
        if settled:
            if ballot != NO_BALLOT:
                self.decided = (ballot, value)
            self.outcome = Ok((ballot, value))
            return []
        if len(self.replies) < len(self.panel.members) and now < self.sent_at + RESEND_S:
            return []
        self.round = "prepare"
        self.begin(now)
        return self.messages()

    def promised(self) -> list[tuple]:
        """Enough promises: applies the change to the newest value.

        >>> Proposal.promised.__name__
        'promised'
        """
        if not self.panel.carried(self.replies):
            return []
        ballot, value, settled = self.newest()
        result = self.change(value)
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
            if self.round == "query" and self.panel.carried(self.replies):
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
