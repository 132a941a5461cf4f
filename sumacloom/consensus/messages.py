"""What voters and proposers say to one another."""

import msgspec

from sumacloom.consensus.quorum import Configuration
from sumacloom.types import NO_BALLOT, Ballot


class Message(msgspec.Struct, array_like=True, tag=True):
    pass


class Prepare(Message):
    key: str
    ballot: Ballot
    known: Ballot
    configuration: int = 1  # the generation of the voters that the proposer counts by


class Promise(Message):
    key: str
    ballot: Ballot
    accepted: Ballot
    value: bytes | None  # None: nothing accepted, or what the asker knows
    incarnation: int


class Accept(Message):
    key: str
    ballot: Ballot
    value: bytes
    incarnation: int
    configuration: int = 1


class Accepted(Message):
    key: str
    ballot: Ballot


class Refused(Message):
    key: str
    ballot: Ballot
    promised: Ballot


class Query(Message):
    key: str
    ballot: Ballot  # names the reading
    known: Ballot
    configuration: int = 1


class Copy(Message):
    key: str
    ballot: Ballot  # of the reading
    accepted: Ballot
    value: bytes | None


class Decided(Message):
    key: str
    ballot: Ballot


class Fetch(Message):
    """Asks for a decided value."""

    key: str


class Settled(Message):
    """A decided value."""

    key: str
    ballot: Ballot
    value: bytes


class Reconfigured(Message):
    """Who votes now, for one that counts by other voters; always decided."""

    configuration: Configuration


class Tell(Message):
    """A voter without memory asks for everything; who tells also promises to refuse what is below the barrier."""

    barrier: Ballot = NO_BALLOT


class Told(Message):
    configuration: Configuration
    slots: list[tuple[str, Ballot, Ballot, bytes | None]]
    floor: Ballot = NO_BALLOT  # what the teller promised for every key
