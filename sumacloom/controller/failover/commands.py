"""The commands that failover plans yield, each a value without behaviour; the executor runs them."""

from typing import NamedTuple

from sumacloom.controller.registers.promotions import Promotion
from sumacloom.transport.updates import BackendRecord

RETRYABLE_STATUSES = (408, 429)


def is_refusal(status: int) -> bool:
    """Whether the platform's answer says that a promotion does not take place.

    >>> is_refusal(409), is_refusal(429), is_refusal(0)
    (True, False, False)
    """
    return 400 <= status < 500 and status not in RETRYABLE_STATUSES


class BackendQuery(NamedTuple):
    """A text for a backend; its result is a BackendStatus, an error code, or None for silence."""

    backend: BackendRecord
    text: str
    patient: bool = False  # whether the batch waits for a silent backend to the timeout


class Promote(NamedTuple):
    """A call to the platform; its result is the HTTP status, 0 for silence, or None if it never left.

    Attributes:
        service: the service.
        backend: who is to lead.
        promotion: what is decided by it, recorded before the call leaves; None where it changes nothing.
        history: the service's promotions by which it was decided.
    """

    service: str
    backend: str
    promotion: Promotion | None = None
    history: tuple[Promotion, ...] = ()


class HoldBack(NamedTuple):
    """Only logs that a promotion left behind answer; its result is whether one may lead all the same."""

    service: str
    backends: tuple[str, ...]


class Wait(NamedTuple):
    """A pause in seconds."""

    seconds: float


class AnnouncePrimary(NamedTuple):
    """Tells every pooler that a new primary is on its way."""

    service: str
    seconds: float


class RaiseFencingToken(NamedTuple):
    """Asks for a token above that of an earlier unclear call; its result is whether that is committed."""

    service: str


class ListBackends(NamedTuple):
    """Asks the registry; its result is the set of names of the service's replicas that are there."""

    service: str


Command = (
    BackendQuery | Promote | HoldBack | Wait | AnnouncePrimary | RaiseFencingToken | ListBackends
)
