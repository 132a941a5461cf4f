"""The pause of all sends to a backend that sheds or fails them."""

FIRST_PAUSE_S = 0.03
MAX_PAUSE_S = 0.48


class SendBackoff:
    """Counts sends that a backend refused or failed; first sends and repeats are the same to it.

    >>> backoff = SendBackoff(); backoff.refused(1.0); backoff.is_paused(1.02), backoff.is_paused(1.03)
    (True, False)
    >>> backoff.refused(1.03); round(backoff.resumes_at, 2)
    1.09
    """

    __slots__ = ("_pauses", "resumes_at")

    def __init__(self) -> None:
        self.resumes_at = 0.0
        self._pauses = 0

    def refused(self, now: float) -> None:
        """A send was refused or failed; what was sent before the present pause doesn't lengthen it."""
        if now < self.resumes_at:
            return
        self.resumes_at = now + min(MAX_PAUSE_S, FIRST_PAUSE_S * 2**self._pauses)
        self._pauses = min(self._pauses + 1, 16)

    def accepted(self) -> None:
        """A send succeeded: the next pause is a short one again."""
        self._pauses = 0

    def is_paused(self, now: float) -> bool:
        """Whether nothing is to be sent now."""
        return now < self.resumes_at
