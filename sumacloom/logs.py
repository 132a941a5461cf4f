"""Logging: JSON lines on standard error, the logger's name tells the module."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

ROOT_LOGGER = "sumacloom"
LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
DEFAULT_LEVEL = "INFO"
FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure_logging(level: str, node: str) -> None:
    """Sends the logs of this process to standard error as JSON lines, each with the node's name."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter(FORMAT, static_fields={"node": node}))
    root = logging.getLogger(ROOT_LOGGER)
    root.handlers[:] = [handler]
    root.setLevel(level)
    root.propagate = False


def set_level(level: str) -> None:
    """Changes the level of this process's logs; an unknown one changes nothing."""
    if level in LEVELS:
        logging.getLogger(ROOT_LOGGER).setLevel(level)
