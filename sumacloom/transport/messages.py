"""Messages between daemons besides those of the consensus, and their framing.

Tags and the order of fields are those of the first release and are part of the wire: both a class and
a field may be renamed, neither a tag nor a place may change. The same holds for `POOLER_ROLE` and
`CONTROLLER_ROLE`, which name the programs in `Hello`.
"""

from typing import Any, Union

import msgspec

from sumacloom.consensus.messages import (
    Accept,
    Accepted,
    Committed,
    CommittedValue,
    FetchCommitted,
    Message,
    Prepare,
    Promise,
    QuorumChanged,
    ReadReply,
    ReadRequest,
    Rejected,
    StateRequest,
    StateTransfer,
)
from sumacloom.consensus.proposal_number import ProposalNumber
from sumacloom.consensus.quorum import QuorumConfiguration
from sumacloom.transport.updates import (
    AccessUpdate,
    BackendRecord,
    PoolModeUpdate,
    PositionObservation,
    PriorityUpdate,
    SubscriberUpdate,
    UpdateDigest,
)

POOLER_ROLE, CONTROLLER_ROLE = "counter", "registrar"
LENGTH_BYTES = 4
MAX_FRAME_BYTES = 16 << 20


class Hello(Message, tag="Hello"):
    """The first message on a link: who dials."""

    node: str
    role: str
    zone: str
    address: str  # where this daemon takes links
    ip: str = ""
    incarnation: int = 0  # tells one incarnation of a process from the next


class PoolerHeartbeat(Message, tag="MemberBeat"):
    """A pooler's heartbeat; `report` is its own state for the admin API, sent when asked for."""

    digest: UpdateDigest
    failed_backends: list[str] = []
    positions: list[PositionObservation] = []
    report: dict[str, Any] | None = None
    leaving: bool = False  # it is being stopped: its end is no loss
    stamp: float | None = None  # its clock, to be confirmed where an access list is in use
    pool_mode_votes: list[tuple[str, str, str, int]] = []  # see pooler/pool_mode.py
    sent_ms: int = 0  # by the sender's clock; the reply names it


class ControllerHeartbeat(Message, tag="RegistrarBeat"):
    """A controller's heartbeat to a pooler: updates it holds, members, where to take updates from."""

    digest: UpdateDigest
    members: int
    parent: str
    controllers: list[str]
    positions: list[PositionObservation] = []
    want_report: bool = False
    log_level: str = ""
    in_quorum: bool = True  # whether this controller is in contact with a quorum and lacks nothing
    confirmed: float | None = None  # the newest stamp older than a quorum read of the access list
    answers_ms: int = 0  # the pooler's newest heartbeat received, by its own clock; 0: none


class Follow(Message, tag="Follow"):
    """A child tells its parent what it holds; the parent sends what is newer, now and later."""

    digest: UpdateDigest


class Update(Message, tag="News"):
    """Only what the receiver lacks."""

    configuration: bytes | None
    zone_drains: int
    zones: list[str] | None
    records: list[BackendRecord] | None
    priority: PriorityUpdate | None = None
    subscribers: SubscriberUpdate | None = None
    access: AccessUpdate | None = None
    pool_modes: PoolModeUpdate | None = None


class PeerHeartbeat(Message, tag="PeerBeat"):
    """Between controllers: what is committed, who is in session, which backends were heard.

    What rarely changes is sent when it does, and now and then for those who missed it; None then says
    "as last sent". Ages are in ms.
    """

    committed: dict[str, ProposalNumber] | None
    sessions: list[tuple[str, str, str, int, int, int]] | None  # see Members.rows_for_peers
    backend_ages: dict[str, int]  # backend: since its last heartbeat; only those heard anew
    unreachable_ages: dict[str, int]  # backend: since probes first failed here
    heartbeats_received: dict[str, int]  # controller: the number of its newest heartbeat here
    records: list[BackendRecord] | None
    digest: int  # of the records held
    recovered: bool
    suspects: list[str] = []
    positions: list[PositionObservation] = []
    quorum: QuorumConfiguration | None = None
    voting: bool = False  # whether its settings say that it counts as a voter
    number: int = 0  # of this heartbeat; the peers name it in `heartbeats_received`
    uncommitted: dict[str, ProposalNumber] = {}  # accepted here and not known to be committed
    tolerates: int = 0  # how many machines its settings say may be lost at once


class TablesRequest(Message, tag="Inquire"):
    """A controller asks a peer for its part of the fleet's tables."""

    number: int


class TablesReply(Message, tag="Part"):
    """A peer's part: tables of rows."""

    number: int
    tables: dict[str, list[dict[str, Any]]]


class PrimaryPending(Message, tag="Pending"):
    """A new primary of a service is on its way; poolers up to dc17e1a wait longer for it."""

    service: str
    seconds: float


class SetLogLevel(Message, tag="Level"):
    """The log level that an operator sets for the whole fleet, until each process ends."""

    level: str


class DeliveryIntent(Message, tag="Intent"):
    """A pooler is about to send a write on a database that has subscribers."""

    incarnation: int
    number: int  # rises by one for each database and incarnation
    database: str
    text: str
    node: str


class IntentStored(Message, tag="Held"):
    """The intent is on disk: the write may go."""

    incarnation: int
    number: int
    database: str


class DeliveryOutcome(Message, tag="Verdict"):
    """What became of an intent: done, not, or doubtful. Sent again until it is acknowledged."""

    incarnation: int
    number: int
    database: str
    text: str
    node: str
    kind: str


class OutcomeAcknowledged(Message, tag="Noted"):
    """The feed has the item, or there is no subscriber: the outcome need not be sent again."""

    incarnation: int
    number: int
    database: str


class IntentReplica(Message, tag="Spare"):
    """A controller gives another a replica of an intent, or of its outcome."""

    incarnation: int
    number: int
    database: str
    text: str
    node: str
    kind: str = ""


class ReplicaStored(Message, tag="SpareHeld"):
    """The replica is on disk."""

    incarnation: int
    number: int
    database: str


KINDS = (
    Hello,
    PoolerHeartbeat,
    ControllerHeartbeat,
    Follow,
    Update,
    PeerHeartbeat,
    Prepare,
    Promise,
    Accept,
    Accepted,
    Rejected,
    ReadRequest,
    ReadReply,
    Committed,
    FetchCommitted,
    CommittedValue,
    QuorumChanged,
    StateRequest,
    StateTransfer,
    TablesRequest,
    TablesReply,
    SetLogLevel,
    PrimaryPending,
    DeliveryIntent,
    IntentStored,
    DeliveryOutcome,
    OutcomeAcknowledged,
    IntentReplica,
    ReplicaStored,
)
ENCODER = msgspec.msgpack.Encoder()
DECODER: Any = msgspec.msgpack.Decoder(Union[KINDS])  # noqa: UP007 - a union made of a tuple


def encode_frame(message: Message) -> bytes:
    r"""A message with its length before it.

    >>> encode_frame(FetchCommitted("k"))[:4]
    b'\x00\x00\x00\t'
    """
    body = ENCODER.encode(message)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


class FrameDecoder:
    r"""Splits a stream of bytes into messages.

    >>> decoder = FrameDecoder(); decoder.feed(encode_frame(FetchCommitted("k")) + b"\0")
    [FetchCommitted(key='k')]
    """

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[Any]:
        """Takes bytes, returns the messages that are complete.

        Raises:
            ValueError: a frame is too large, or unreadable.
        """
        data = self._buffer + data
        messages: list[Any] = []
        offset = 0
        while len(data) - offset >= LENGTH_BYTES:
            start = offset + LENGTH_BYTES
            size = int.from_bytes(data[offset:start], "big")
            if size > MAX_FRAME_BYTES:
                raise ValueError("a frame is too large")
            if len(data) - start < size:
                break
            try:
                messages.append(DECODER.decode(data[start : start + size]))
            except msgspec.MsgspecError as error:
                raise ValueError(f"a frame can't be read: {error}") from error
            offset = start + size
        self._buffer = data[offset:]
        return messages
