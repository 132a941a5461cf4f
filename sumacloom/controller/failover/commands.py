"""The commands that failover plans yield, each a value without behaviour; the executor runs them."""

from typing import NamedTuple

from sumacloom.transport.updates import BackendRecord


class BackendQuery(NamedTuple):
    """A text for a backend; its result is a BackendStatus, an error code, or None for silence."""

    backend: BackendRecord
    text: str
    patient: bool = False  # whether the batch waits for a silent backend to the timeout


class Promote(NamedTuple):
    """A call to the platform; its result is the HTTP status, 0 for silence, or None if it never left."""

    service: str
    backend: str


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


Command = BackendQuery | Promote | Wait | AnnouncePrimary | RaiseFencingToken | ListBackends
