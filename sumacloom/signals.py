"""Signals as flags that the process's clock looks at; a handler does nothing else."""

import signal
from types import FrameType


class Signals:
    """Remembers SIGTERM (or SIGINT) and SIGHUP until they are taken.

    >>> signals = Signals(); signals.handle(signal.SIGHUP, None)
    >>> signals.take_hangup(), signals.take_hangup()
    (True, False)
    """

    def __init__(self) -> None:
        self.terminating = False
        self._hangup = False

    def install(self) -> "Signals":
        """Installs the handlers."""
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, self.handle)
        return self

    def handle(self, number: int, _frame: FrameType | None) -> None:
        """The handler."""
        if number == signal.SIGHUP:
            self._hangup = True
        else:
            self.terminating = True

    def take_hangup(self) -> bool:
        """Whether a SIGHUP came since the last call."""
        came, self._hangup = self._hangup, False
        return came
