"""What daemons say to one another, as msgspec structures."""

from typing import Union

import msgspec

from sumacloom.consensus.messages import (
    Accept,
    Accepted,
    Copy,
    Decided,
    Fetch,
    Message,
    Prepare,
    Promise,
    Query,
    Reconfigured,
    Refused,
    Settled,
    Tell,
    Told,
)
from sumacloom.consensus.quorum import Configuration
from sumacloom.transport.updates import (
    AccessNews,
    Digest,
    LaneNews,
    ListenNews,
    PoolNews,
    Record,
    Sighting,
)
from sumacloom.types import Ballot


class Hello(Message):
    node: str
    role: str
    zone: str
    address: str  # where this daemon takes links
    ip: str = ""
    life: int = 0  # tells one life of a process from the next


class MemberBeat(Message):
    """A counter's heartbeat; `report` is its own state for the admin API, sent when asked for."""

    digest: Digest
    mishaps: list[str] = []
    positions: list[Sighting] = []
    report: dict | None = None
    leaving: bool = False  # it is being stopped: its end is no loss
    stamp: float | None = (
        None  # the sender's own clock, to be confirmed where an access list is in use
    )
    minds: list[
        tuple[str, str, str, int]
    ] = []  # changes of mind about pool modes, see counter/pooling.py
    sent_ms: int = 0  # by the sender's own clock; the answer names it


class RegistrarBeat(Message):
    """A registrar's heartbeat to a counter: news it holds, members, where to take news from."""

    digest: Digest
    members: int
    parent: str
    registrars: list[str]
    positions: list[Sighting] = []
    want_report: bool = False
    log_level: str = ""
    settled: bool = True  # whether this registrar hears a majority and lacks nothing decided
    confirmed: float | None = (
        None  # the newest stamp older than a reading of the access list at a majority
    )
    answers_ms: int = 0  # the counter's newest beat heard here, by the counter's own clock; 0: none


class Follow(Message):
    """A child tells its parent what it holds; the parent sends what is newer, now and later."""

    digest: Digest


class News(Message):
    """Only what the receiver lacks."""

    blueprint: bytes | None
    evacuations: int
    zones: list[str] | None
    records: list[Record] | None
    lanes: LaneNews | None = None
    listeners: ListenNews | None = None
    access: AccessNews | None = None
    pooling: PoolNews | None = None


class PeerBeat(Message):
    """Between registrars: what is decided, who is in session, which backends were heard.

    What rarely changes is told when it does, and now and then for those who missed it.
    """

    decided: dict[str, Ballot] | None  # None: as last told
    sessions: (
        list[tuple[str, str, str, int, int, int]] | None
    )  # see Members.told; None: as last told
    heard: dict[str, int]  # backend: ms since its last beat; only those heard anew
    dark: dict[str, int]  # backend: ms since probes first failed here
    hears: dict[str, int]  # registrar: the number of its newest beat heard here
    records: list[Record] | None
    digest: int  # of the records held
    learned: bool
    suspects: list[str] = []
    positions: list[Sighting] = []
    configuration: Configuration | None = (
        None  # who votes, as this registrar knows; None: as last told
    )
    voting: bool = False  # whether its settings say that it counts as a voter
    number: int = 0  # of this beat; the peers name it in `hears`
    undecided: dict[
        str, Ballot
    ] = {}  # told with `decided`: what is accepted here and not known to be decided
    tolerates: int = 0  # how many machines its settings say may be lost at once


class Inquire(Message):
    """A registrar asks a peer for its part of the fleet's state."""

    number: int


class Part(Message):
    """A peer's part: tables of rows."""

    number: int
    tables: dict[str, list[dict]]


class Pending(Message):
    """A new lead of a service is on its way: what waits for it may be held a little longer."""

    service: str
    seconds: float


class Level(Message):
    """The log level that an operator sets for the whole fleet, until each process ends."""

    level: str


class Intent(Message):
    """A counter is about to send a write on a database that is listened to."""

    life: int
    number: int  # rises by one for each database and life
    database: str
    text: str
    node: str


class Held(Message):
    """The intent is on disk: the write may go."""

    life: int
    number: int
    database: str


class Verdict(Message):
    """What became of an intent: done, not, or doubtful. Sent again until it is noted."""

    life: int
    number: int
    database: str
    text: str
    node: str
    kind: str


class Noted(Message):
    """The feed has the item, or nobody listens: the verdict need not be said again."""

    life: int
    number: int
    database: str


class Spare(Message):
    """A registrar gives another a copy of an intent, or of its verdict, to hold."""

    life: int
    number: int
    database: str
    text: str
    node: str
    kind: str = ""


class SpareHeld(Message):
    """The copy is on disk."""

    life: int
    number: int
    database: str


KINDS = (
    Hello,
    MemberBeat,
    RegistrarBeat,
    Follow,
    News,
    PeerBeat,
    Prepare,
    Promise,
    Accept,
    Accepted,
    Refused,
    Query,
    Copy,
    Decided,
    Fetch,
    Settled,
    Reconfigured,
    Tell,
    Told,
    Inquire,
    Part,
    Level,
    Pending,
    Intent,
    Held,
    Verdict,
    Noted,
    Spare,
    SpareHeld,
)
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Union[KINDS])
MOST_FRAME = 16 << 20


def frame(message) -> bytes:
    """A message with its length before it.

    >>> frame(Fetch("k"))[:4]
    b'\\x00\\x00\\x00\\t'
    """
    body = ENCODER.encode(message)
    return len(body).to_bytes(4, "big") + body


class Unframer:
    """Cuts bytes into messages; garbage raises ValueError.

    >>> unframer = Unframer(); unframer.feed(frame(Fetch("k")) + b"\\0")
    [Fetch(key='k')]
    """

    def __init__(self):
        self.rest = b""

    def feed(self, data: bytes) -> list:
        """Takes bytes, gives whole messages.

        >>> Unframer().feed(frame(Fetch("blueprint")))
        [Fetch(key='blueprint')]
        """
        data = self.rest + data
        messages, at = [], 0
        while len(data) - at >= 4:
            size = int.from_bytes(data[at : at + 4], "big")
            if size > MOST_FRAME:
                raise ValueError("a frame is too large")
            if len(data) - at - 4 < size:
                break
            try:
                messages.append(DECODER.decode(data[at + 4 : at + 4 + size]))
            except msgspec.MsgspecError as error:
                raise ValueError(f"a frame can't be read: {error}") from error
            at += 4 + size
        self.rest = data[at:]
        return messages
