"""Notices that this process was stalled: what it reads then may have come long before."""

from sumacloom.types import NEVER

STALL_S = 0.6  # a longer gap between two ticks counts as a stall; the clock ticks every 50 ms


class StallDetector:
    """Remembers the last tick of the clock, and the last tick after a stall.

    >>> stalls = StallDetector(8.0); stalls.stalled_since(8.5, 9.0)
    True
    >>> stalls.tick(9.0); stalls.tick(9.05); stalls.stalled_since(8.5, 9.1), stalls.stalled_since(9.02, 9.1)
    (True, False)
    """

    def __init__(self, now: float):
        self.ticked_at = now
        self.stalled_at = NEVER

    def tick(self, now: float) -> None:
        """The clock ticks."""
        if now - self.ticked_at > STALL_S:
            self.stalled_at = now
        self.ticked_at = now

    def stalled_since(self, moment: float, now: float) -> bool:
        """Whether the process was stalled at some point since a moment."""
        return self.stalled_at >= moment or now - self.ticked_at > STALL_S
