"""The acceptor: a voter's memory of every register.

No I/O: it returns its reply and the keys to write (synced BEFORE the reply leaves).
"""

from typing import NamedTuple

from sumacloom.consensus.messages import (
    Accept,
    Accepted,
    Copy,
    Prepare,
    Promise,
    Query,
    Reconfigured,
    Refused,
    Told,
)
from sumacloom.consensus.quorum import Configuration
from sumacloom.types import NO_BALLOT, Ballot


class Slot(NamedTuple):
    """One key at one acceptor."""

    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: bytes | None = None


class Acceptor:
    """A voter's memory. `learned` is false while a lost disk is being made good; then it keeps silent.

    >>> acceptor = Acceptor(Configuration(1, (), ("a",)), 1)
    >>> reply, writes = acceptor.hear(Prepare("k", Ballot(1, "a", 0), NO_BALLOT))
    >>> reply.accepted == NO_BALLOT, writes
    (True, ['k'])
    """

    def __init__(self, configuration: Configuration, incarnation: int, learned: bool = True):
        self.configuration, self.incarnation, self.learned = configuration, incarnation, learned
        self.slots: dict[str, Slot] = {}
        self.floor = NO_BALLOT  # promised for every key, to one that had lost its memory

    def slot(self, key: str) -> Slot:
        """What is held of a key.

        >>> Acceptor(Configuration(1, (), ("a",)), 1).slot("k") == Slot()
        True
        """
        return self.slots.get(key) or Slot(promised=self.floor)

    def hear(self, message) -> tuple:
        """The reply to a proposal's message, and the keys to write before it may leave.

        Who counts by other voters is told ours and gets no vote: it learns the newer, or tells us its own.

        >>> Acceptor(Configuration(1, (), ("a",)), 1, learned=False).hear(Query("k", NO_BALLOT, NO_BALLOT))
        (None, [])
        >>> Acceptor(Configuration(2, (), ("a",)), 1).hear(Query("k", NO_BALLOT, NO_BALLOT))[0].configuration.generation
        2
        """
        if not self.learned:
            return None, []
        if message.configuration not in (self.configuration.mark, self.configuration.generation):
            return Reconfigured(self.configuration), []
        slot = self.slot(message.key)
        if isinstance(message, Query):
            value = None if message.known == slot.accepted else slot.value
            return Copy(message.key, message.ballot, slot.accepted, value), []
        if message.ballot < slot.promised or (
            isinstance(message, Accept) and message.incarnation != self.incarnation
        ):
            return Refused(message.key, message.ballot, slot.promised), []
        if isinstance(message, Prepare):
            if message.ballot == slot.promised:  # the same prepare again: the same promise
                writes = []
            else:
                self.slots[message.key] = slot._replace(promised=message.ballot)
                writes = [message.key]
            value = None if message.known == slot.accepted else slot.value
            return Promise(
                message.key, message.ballot, slot.accepted, value, self.incarnation
            ), writes
        if slot.accepted == message.ballot:
            return Accepted(message.key, message.ballot), []
        self.slots[message.key] = Slot(message.ballot, message.ballot, message.value)
        return Accepted(message.key, message.ballot), [message.key]

    def mend(self, key: str, ballot: Ballot, value: bytes) -> list[str]:
        """Takes a decided value into an old copy; gives the keys to write.

        >>> Acceptor(Configuration(1, (), ("a",)), 1).mend("k", Ballot(1, "a", 0), b"v")
        ['k']
        """
        slot = self.slot(key)
        if not self.learned or ballot < slot.promised or ballot <= slot.accepted:
            return []
        self.slots[key] = Slot(ballot, ballot, value)
        return [key]

    def raise_floor(self, barrier: Ballot) -> list[str]:
        """Promises a ballot for every key; gives the keys to write.

        >>> acceptor = Acceptor(Configuration(1, (), ("a",)), 1); acceptor.raise_floor(Ballot(4, "b", 0)); acceptor.slot("k").promised.round
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

        >>> Acceptor(Configuration(1, (), ("a",)), 1).tell().slots
        []
        """
        if not self.learned:
            return None
        return Told(
            self.configuration, [(key, *slot) for key, slot in self.slots.items()], self.floor
        )

    def learn(self, tales: dict[str, Told], barrier: Ballot = NO_BALLOT) -> list[str] | None:
        """Adopts the highest value per key once enough others told; gives the keys to write.

        Enough are those that meet every majority of the newest voters told of. A tale counts only if its
        teller refuses whatever is below our barrier and had promised nothing above it: else a vote that we
        gave before our loss could still be counted together with one that the teller gives after its tale.

        >>> configuration = Configuration(1, (), ("a", "b", "c")); acceptor = Acceptor(configuration, 1, learned=False)
        >>> acceptor.learn({"b": Told(configuration, [])}) is None, acceptor.learn({"b": Told(configuration, []), "c": Told(configuration, [])})
        (True, [])
        """
        if self.learned or not tales:
            return None
        newest = max(
            [self.configuration, *(told.configuration for told in tales.values())],
            key=lambda configuration: configuration.generation,
        )
        sure = {
            voter: told
            for voter, told in tales.items()
            if told.floor == barrier
            and all(Ballot(*promised) == barrier for _key, promised, *_rest in told.slots)
        }
        if not newest.meets_every_quorum(sure):
            return None
        self.configuration, self.floor = newest, barrier
        for told in tales.values():
            for key, _promised, accepted, value in told.slots:
                slot = self.slot(key)
                if Ballot(*accepted) > slot.accepted:
                    slot = slot._replace(accepted=Ballot(*accepted), value=value)
                self.slots[key] = slot._replace(promised=barrier)
        self.learned = True
        return list(self.slots)
