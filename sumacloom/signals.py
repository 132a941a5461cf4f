"""Signals as flags that the process's clock looks at; a handler does nothing else."""

import signal
from types import FrameType

HANDLED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class Signals:
    """Remembers SIGTERM (or SIGINT) and SIGHUP until they are taken.

    Attributes:
        terminated_by: the name of the first signal that asked for the end; empty until then.

    >>> signals = Signals(); signals.handle(signal.SIGHUP, None)
    >>> signals.take_hangup(), signals.take_hangup()
    (True, False)
    """

    def __init__(self) -> None:
        self.terminated_by = ""
        self._hangup = False

    def install(self) -> "Signals":
        """Installs the handlers."""
        for number in HANDLED:
            signal.signal(number, self.handle)
        return self

    @staticmethod
    def ignore_from_now_on() -> None:
        """Lets the interpreter end undisturbed: it takes handlers away, and a signal would end it sooner."""
        for number in HANDLED:
            signal.signal(number, signal.SIG_IGN)

    def handle(self, number: int, _frame: FrameType | None) -> None:
        """The handler."""
        if number == signal.SIGHUP:
            self._hangup = True
        else:
            self.terminated_by = self.terminated_by or signal.Signals(number).name

    @property
    def terminating(self) -> bool:
        """Whether a signal has asked for the end."""
        return bool(self.terminated_by)

    def take_hangup(self) -> bool:
        """Whether a SIGHUP came since the last call."""
        came, self._hangup = self._hangup, False
        return came
