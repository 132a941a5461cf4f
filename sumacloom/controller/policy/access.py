"""The access list at the registrars: a staged rollout, and the readings by which counters' leases are confirmed.

Where a list is or was in use, every registrar reads the register at a majority twice a second. A counter's stamp
that came before a reading began is confirmed by that reading. An offer comes into force when it has stood for longer
than a lease: who has not seen it by then has no lease left. No list of members is needed for that.
"""

from collections import deque

from sumacloom.configuration.model import unpack_blueprint
from sumacloom.controller.policy import staged_rollout
from sumacloom.controller.registers.values import keep
from sumacloom.logs import Scribe
from sumacloom.transport.updates import AccessNews

scribe = Scribe("access")
KEY = "access"
READ_S = 0.5
ENFORCE_S = 3.3  # longer than a counter's LEASE_S by more than its clock's tick
MOST_STAMPS = 32


class AccessValue(staged_rollout.Staged[bytes]):
    def news(self) -> AccessNews:
        """As it goes to the counters.

        >>> AccessValue(2, b"new", b"old", False, 1).news()
        AccessNews(order=4, generation=1, body=b'old', offered=b'new')
        """
        generation, body = self.current
        return AccessNews(self.order, generation, body, b"" if self.in_force else self.wanted)


class Readings:
    """When the list was last read at a majority, by this registrar."""

    def __init__(self, now: float):
        self.read_at = -1e9  # when the last reading that succeeded began
        self.began_at, self.reading = -1e9, None
        self.offered_at = now  # when this registrar first saw the present stage

    def mind(self, office, now: float) -> None:
        """Reads anew by the clock, if a list is in use."""
        if self.reading is not None and self.reading.outcome is not None:
            if self.reading.outcome.is_ok():
                self.read_at = self.began_at
            self.reading = None
        if self.reading is None and office.board.access.order and now - self.began_at >= READ_S:
            self.began_at = now
            self.reading = office.propose(KEY, keep, now, reading=True)


class Stamps:
    """A counter's stamps that wait for a reading.

    >>> stamps = Stamps(); stamps.hear(70.0, 1.0); stamps.hear(71.0, 2.0); stamps.confirmed(1.5)
    70.0
    """

    def __init__(self):
        self.waiting = deque(maxlen=MOST_STAMPS)
        self.newest = None

    def hear(self, stamp: float | None, now: float) -> None:
        """A beat that carries a stamp.

        >>> Stamps().hear(None, 1.0)
        """
        if stamp is not None:
            self.waiting.append((now, stamp))

    def confirmed(self, read_at: float) -> float | None:
        """The newest stamp that came before a reading began; None if there is none.

        >>> Stamps().confirmed(1.0) is None
        True
        """
        while self.waiting and self.waiting[0][0] <= read_at:
            self.newest = self.waiting.popleft()[1]
        return self.newest


def held(office) -> AccessValue | None:
    """The value as this registrar knows it to be decided."""
    return staged_rollout.held(office, KEY, AccessValue)


def mind_access(office, now: float) -> None:
    """Reads by the clock; as holder of the duty, puts an offer into force once no lease can be older."""
    office.readings.mind(office, now)
    staged_rollout.mind(
        office,
        KEY,
        AccessValue,
        lambda _value: now - office.readings.offered_at >= ENFORCE_S,
        scribe,
        now,
    )


def body_of(packed: bytes) -> bytes:
    """The operator's own bytes.

    >>> body_of(b"{}")
    b'{}'
    """
    return unpack_blueprint(packed)
