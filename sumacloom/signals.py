"""Signals as flags that the clock looks at; a handler itself does nothing else."""

import signal


class Signals:
    """Remembers SIGTERM (or SIGINT) and SIGHUP until they are taken.

    >>> signals = Signals(); signals.raise_flag(signal.SIGHUP, None); signals.take_hangup(), signals.take_hangup()
    (True, False)
    """

    def __init__(self):
        self.ending = self.hangup = False

    def listen(self) -> "Signals":
        """Installs the handlers."""
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, self.raise_flag)
        return self

    def raise_flag(self, number: int, _frame) -> None:
        """The handler.

        >>> signals = Signals(); signals.raise_flag(signal.SIGTERM, None); signals.ending
        True
        """
        if number == signal.SIGHUP:
            self.hangup = True
        else:
            self.ending = True

    def take_hangup(self) -> bool:
        """Whether a SIGHUP came since the last look.

        >>> Signals().take_hangup()
        False
        """
        came, self.hangup = self.hangup, False
        return came
