"""JSON logs: short sentences, a fixed prefix for each part."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter


def start_logs(level: str, node: str) -> None:
    """Sends the logs of this process to standard error as JSON lines.

    >>> start_logs("INFO", "edge-1")
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter("%(asctime)s %(levelname)s %(message)s", static_fields={"node": node})
    )
    root = logging.getLogger("sumacloom")
    root.handlers[:] = [handler]
    root.setLevel(level)
    root.propagate = False


LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


def set_level(level: str) -> None:
    """Changes the level of this process's logs; one it does not know changes nothing.

    >>> set_level("INFO")
    """
    if level in LEVELS:
        logging.getLogger("sumacloom").setLevel(level)


class Scribe:
    """Writes the log lines of one part, each with its prefix.

    >>> Scribe("wires").say("the backend %s went dark", "i-1")
    """

    def __init__(self, part: str):
        self.prefix = part + ": "
        self.logger = logging.getLogger("sumacloom")

    def say(self, sentence: str, *values) -> None:
        """Tells of a change of state.

        >>> Scribe("roster").say("quiet")
        """
        self.logger.info(self.prefix + sentence, *values)

    def warn(self, sentence: str, *values) -> None:
        """Tells of something an operator should look at.

        >>> Scribe("ledger").warn("a torn tail of %d bytes was cut off", 12)
        """
        self.logger.warning(self.prefix + sentence, *values)

    def detail(self, sentence: str, *values) -> None:
        """Tells what is only wanted at DEBUG.

        >>> Scribe("rotation").detail("swept")
        """
        self.logger.debug(self.prefix + sentence, *values)
