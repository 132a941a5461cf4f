"""The proposer: changes and readings of one key in two rounds at a majority.

No I/O: it returns the messages to send. There is no leader and no log; any registrar proposes.
"""

import math
import random

from sumacloom.consensus.messages import Accept, Copy, Prepare, Promise, Query, Refused
from sumacloom.consensus.quorum import Configuration
from sumacloom.errors import Err, Ok, mishap
from sumacloom.types import NO_BALLOT, Ballot

RESEND_S = 0.1
RENEW_S = 0.4  # a second round that lasts so long begins anew where a voter asked late tells of something newer
REFUSED_S = 0.2  # a round refused by some, and not answered by the others for so long, begins anew
BACK_OFF_S, MOST_BACK_OFF_S = 0.3, 0.48  # after the first lost duel, doubled with each


class Proposal:
    """One change or reading of one key.

    `change` takes the current value (None if none) and gives Ok(new value), Ok(None) for no change,
    or Err(mishap). `outcome` is set at the end: Ok((ballot, value)) or Err(mishap); `decided` holds
    what is known to be decided, even under an Err.
    """

    def __init__(
        self, key, change, configuration, known, ballots, now, cutoff_s=0.85, reading=False
    ):
        self.key, self.change, self.configuration = key, change, configuration
        self.known_ballot, self.known_value = known
        self.ballots = ballots
        self.cutoff = now + cutoff_s
        self.outcome, self.decided = None, None
        self.reading = reading
        self.round = "query" if reading else "prepare"
        self.resume_at, self.lost = None, 0
        self.begin(now)

    def begin(self, now: float) -> None:
        """A fresh round with a ballot above all seen."""
        self.ballot = self.ballots.next()
        self.replies, self.accepted, self.refused, self.late = {}, set(), set(), set()
        self.value, self.verdict, self.based_on = None, None, NO_BALLOT
        self.resume_at, self.sent_at, self.begun_at = None, now, now

    def hold(self) -> None:
        """Waits until another change of the key has ended; `begin` ends the wait."""
        self.resume_at = math.inf

    @property
    def held(self) -> bool:
        """Whether it waits for another change of the key."""
        return self.resume_at == math.inf

    def count_by(self, configuration: Configuration, now: float) -> list[tuple]:
        """Other voters than we counted by: a fresh round among them."""
        if self.outcome is not None or configuration.generation <= self.configuration.generation:
            return []
        self.configuration = configuration
        self.round = "prepare"
        if not self.held:
            self.begin(now)
        return self.messages()

    def messages(self) -> list[tuple]:
        """What to send now to the voters that have not replied: (voter, message)."""
        if self.outcome is not None or self.resume_at is not None:
            return []
        if self.round == "accept":
            return [
                (
                    voter,
                    Accept(
                        self.key,
                        self.ballot,
                        self.value,
                        promise.incarnation,
                        self.configuration.mark,
                    ),
                )
                for voter, promise in self.replies.items()
                if voter not in self.accepted
            ]
        kind = Query if self.round == "query" else Prepare
        message = kind(self.key, self.ballot, self.known_ballot, self.configuration.mark)
        return [
            (voter, message) for voter in self.configuration.members if voter not in self.replies
        ]

    def hear(self, voter: str, message, now: float) -> list[tuple]:
        """A voter's reply; gives what to send next."""
        if self.outcome is not None or self.resume_at is not None or message.ballot != self.ballot:
            return []
        if isinstance(message, Refused):
            self.ballots.saw(message.promised)
            self.refused.add(voter)
            asked = self.replies if self.round == "accept" else self.configuration.members
            if not self.configuration.has_quorum(set(asked) - self.refused):
                self.back_off(now)
            return []
        if isinstance(message, Copy):
            if self.round == "query":
                self.replies[voter] = message
                return self.read(now)
            return []
        if isinstance(message, Promise):
            if self.round == "accept":
                return self.promised_late(voter, message)
            if voter in self.replies:
                return []
            self.replies[voter] = message
            return self.promised(now)
        self.accepted.add(voter)
        if self.round == "accept" and self.configuration.has_quorum(self.accepted):
            self.decided = (self.ballot, self.value)
            self.outcome = self.verdict or Ok(self.decided)
        return []

    def promised_late(self, voter: str, promise) -> list[tuple]:
        """A promise once the value is on its way: its voter may accept the value if it tells of nothing newer.

        One whose promise gave the value may have lost its disk since, and together with this voter it may have
        decided what this one tells of. All that accept have promised and told of nothing above `based_on`: so
        they are a majority that could have given the value by themselves.
        """
        if voter in self.replies:
            return []
        if Ballot(*promise.accepted) > self.based_on:
            self.late.add(voter)
            return []
        self.replies[voter] = promise
        return [
            (
                voter,
                Accept(
                    self.key, self.ballot, self.value, promise.incarnation, self.configuration.mark
                ),
            )
        ]

    def newest(self) -> tuple:
        """The highest accepted (ballot, value) among the replies, and whether enough hold it."""
        best = max(self.replies.values(), key=lambda reply: reply.accepted)
        holders = {
            voter for voter, reply in self.replies.items() if reply.accepted == best.accepted
        }
        value = self.known_value if best.accepted == self.known_ballot else best.value
        return Ballot(*best.accepted), value, self.configuration.has_quorum(holders)

    def read(self, now: float) -> list[tuple]:
        """Enough copies: the value if a majority holds the same, else two rounds that settle it."""
        if not self.configuration.has_quorum(self.replies):
            return []
        ballot, value, settled = self.newest()
        if settled:
            if ballot != NO_BALLOT:
                self.decided = (ballot, value)
            self.outcome = Ok((ballot, value))
            return []
        if len(self.replies) < len(self.configuration.members) and now < self.sent_at + RESEND_S:
            return []
        self.round = "prepare"
        self.begin(now)
        return self.messages()

    def promised(self, now: float) -> list[tuple]:
        """Enough promises: applies the change to the newest value, unless its caller's time is over.

        A change that finds nothing to do writes the value anew: an order before it that only a minority has
        accepted could else be finished after this one was acknowledged.
        """
        if not self.configuration.has_quorum(self.replies):
            return []
        if now >= self.cutoff:
            self.outcome = Err(mishap("no_majority"))
            return []
        ballot, value, settled = self.newest()
        result = self.change(value)
        changed = result.is_ok() and result.ok() is not None
        if (value is None and not changed) or (
            settled and (result.is_err() or (self.reading and not changed))
        ):
            if value is not None:
                self.decided = (ballot, value)
            self.outcome = result if result.is_err() else Ok((ballot, value))
            return []
        self.value, self.based_on = result.ok() if changed else value, ballot
        self.verdict = result if result.is_err() else None
        self.round = "accept"
        return self.messages()

    def back_off(self, now: float) -> None:
        """Lost a duel: waits a random while, longer with each, then begins again."""
        self.resume_at = now + self.ballots.random.uniform(
            0.01, min(MOST_BACK_OFF_S, BACK_OFF_S * 2**self.lost)
        )
        self.lost += 1
        self.round = "prepare"

    def alarm(self, now: float) -> list[tuple]:
        """By the clock: ends at the cutoff, resumes after a backoff or a refusal, sends again what went unheard."""
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
        if self.round == "accept" and self.late and now - self.begun_at >= RENEW_S:
            self.round = "prepare"
            self.begin(now)
            return self.messages()
        if now - self.sent_at >= RESEND_S:
            if (
                self.refused and now - self.begun_at >= REFUSED_S
            ):  # the silent ones may never answer
                self.back_off(now)
                return []
            self.sent_at = now
            if self.round == "query" and self.configuration.has_quorum(self.replies):
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
