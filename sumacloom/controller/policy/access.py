"""Access lists at the controllers: a staged rollout, and the quorum reads that confirm poolers' leases.

Where a list is or was in use, every controller reads the register at a quorum twice a second. A pooler's
stamp that came before a read began is confirmed by that read. An offer comes into force when it has
stood for longer than a pooler's lease: who has not seen it by then has no lease left. No list of members
is needed for that.
"""

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from sumacloom.consensus.codec import unchanged
from sumacloom.consensus.proposal import Proposal
from sumacloom.controller.policy import staged_rollout
from sumacloom.controller.registers import ACCESS_KEY
from sumacloom.transport.updates import AccessUpdate
from sumacloom.types import NEVER

if TYPE_CHECKING:
    from sumacloom.controller.core import ControllerCore

READ_EVERY_S = 0.5
ENFORCE_S = 3.3  # longer than a pooler's LEASE_S by more than its clock's tick
MAX_STAMPS = 32


class AccessValue(staged_rollout.StagedValue[bytes]):
    """The register's value: the operator's own bytes, compressed."""

    def update(self) -> AccessUpdate:
        """As it goes to the poolers.

        >>> AccessValue(2, b"new", b"old", False, 1).update()
        AccessUpdate(order=4, version=1, body=b'old', offered=b'new')
        """
        version, body = self.current
        return AccessUpdate(self.order, version, body, b"" if self.in_force else self.wanted)


class AccessRollout:
    """Reads the register by the clock, and turns an offer into force once no older lease can stand.

    Attributes:
        read_at: when the last read that succeeded began.
        offered_at: when this controller first saw the present stage.
    """

    def __init__(self, core: "ControllerCore", now: float):
        self._core = core
        self.read_at = NEVER
        self.offered_at = now
        self._read_started_at = NEVER
        self._read: Proposal | None = None

    def on_timer(self, now: float) -> None:
        """Reads anew; as holder of the failover lease, puts an offer into force."""
        self._read_register(now)

        def may_enforce(_value: AccessValue) -> bool:
            return now - self.offered_at >= ENFORCE_S

        staged_rollout.advance(self._core, ACCESS_KEY, AccessValue, may_enforce, now)

    def _read_register(self, now: float) -> None:
        if self._read is not None and self._read.outcome is not None:
            if self._read.outcome.succeeded:
                self.read_at = self._read_started_at
            self._read = None
        in_use = self._core.cache.access.order
        if self._read is None and in_use and now - self._read_started_at >= READ_EVERY_S:
            self._read_started_at = now
            self._read = self._core.propose(ACCESS_KEY, unchanged, now, reading=True)


class _Stamp(NamedTuple):
    received_at: float
    stamp: float


class StampQueue:
    """A pooler's stamps that wait for a read.

    >>> stamps = StampQueue(); stamps.receive(70.0, 1.0); stamps.receive(71.0, 2.0)
    >>> stamps.confirmed_by(1.5)
    70.0
    """

    def __init__(self) -> None:
        self._waiting: deque[_Stamp] = deque(maxlen=MAX_STAMPS)
        self._newest: float | None = None

    def receive(self, stamp: float | None, now: float) -> None:
        """A heartbeat that may carry a stamp."""
        if stamp is not None:
            self._waiting.append(_Stamp(now, stamp))

    def confirmed_by(self, read_at: float) -> float | None:
        """The newest stamp that came before a read began; None if there is none."""
        while self._waiting and self._waiting[0].received_at <= read_at:
            self._newest = self._waiting.popleft().stamp
        return self._newest
