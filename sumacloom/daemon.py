"""Starts a daemon: settings, logs, and the process of its role.

Modules of the two roles are imported only when they are started: start-up time counts.
"""

import errno
import logging
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any, Protocol, TypeVar

from sumacloom.errors import AddressUnusableError, DiskUnusableError, SumacloomError
from sumacloom.logs import configure_logging
from sumacloom.settings import POOLER, Settings, read_settings

logger = logging.getLogger(__name__)

Result = TypeVar("Result")

DISK_ATTEMPTS, DISK_RETRY_S = 40, 0.5
TRANSIENT_DISK_ERRORS = (errno.EIO, errno.ENOSPC)


class Process(Protocol):
    """What every role's process has."""

    async def main(self) -> int:
        """Runs to the end; returns the exit code."""


def run_daemon(role: str, settings_path: str = "") -> int:
    """Reads the settings, starts the logs and runs the daemon; returns the exit code."""
    try:
        settings = read_settings(role, settings_path)
        configure_logging(settings.log_level, settings.node)
        process = open_process(_process_class(role), settings)
        return _run_process(process)
    except SumacloomError as error:
        print(f"sumacloom {role}: {error.message} (code {error.code})", file=sys.stderr)
        return error.exit_code


def _process_class(role: str) -> Callable[[Settings], Process]:
    if role == POOLER:
        from sumacloom.pooler.process import PoolerProcess

        return PoolerProcess
    from sumacloom.controller.process import ControllerProcess

    return ControllerProcess


def _run_process(process: Process) -> int:
    try:
        return run_to_end(process.main)
    except OSError as error:
        raise AddressUnusableError(
            f"an address of the settings can't be served: {error}"
        ) from error


def run_to_end(main: Callable[[], Awaitable[Result]]) -> Result:
    """Runs a coroutine function under curio; its result stands, whatever the kernel's shutdown raises.

    Tasks may still be spawned while the kernel cancels all others, which it reports as an error.

    >>> async def main(): return 0
    >>> run_to_end(main)
    0
    """
    import curio

    results: list[Result] = []

    async def run() -> None:
        results.append(await main())

    try:
        curio.run(run)
    except (AssertionError, RuntimeError):
        if not results:
            raise
    return results[0]


def open_process(process_class: Callable[[Settings], Any], settings: Settings) -> Any:
    """Makes the role's process; a disk that refuses for a moment is tried again, a missing one is not.

    Raises:
        DiskUnusableError: the data folder can't be used.
        ForeignLogError: it holds the log of another program.
    """
    for attempt in range(1, DISK_ATTEMPTS + 1):
        try:
            return process_class(settings)
        except OSError as error:
            failure = DiskUnusableError(f"the data folder can't be used: {error}")
            if error.errno not in TRANSIENT_DISK_ERRORS or attempt == DISK_ATTEMPTS:
                raise failure from error
            logger.warning("the data folder can't be used: %s; it is tried again", error)
            time.sleep(DISK_RETRY_S)
    raise AssertionError("unreachable: the last attempt returns or raises")
