"""Starts a daemon: settings, logs, and the process of its role; logs why it ended.

Modules of the two roles are imported only when they are started: start-up time counts.
"""

import errno
import logging
import os
import resource
import time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, Protocol, TypeVar

from sumacloom.errors import AddressUnusableError, DiskUnusableError, SumacloomError
from sumacloom.logs import DEFAULT_LEVEL, configure_logging
from sumacloom.release import release
from sumacloom.settings import POOLER, Settings, read_settings
from sumacloom.signals import Signals

logger = logging.getLogger(__name__)

Result = TypeVar("Result")

DISK_ATTEMPTS, DISK_RETRY_S = 40, 0.5
TRANSIENT_DISK_ERRORS = (errno.EIO, errno.ENOSPC)
UNEXPECTED_ERROR_EXIT_CODE = 1
SHUTDOWN_ROUNDS = 10
KIB_PER_MIB = 1024


class Process(Protocol):
    """What every role's process has."""

    async def main(self) -> int:
        """Runs to the end; returns the exit code."""


class End(NamedTuple):
    """How a daemon ended.

    Attributes:
        exit_code: 0 where it was stopped.
        reason: the signal that stopped it, or the error.
        error: an error that nothing expected; its traceback is logged.
    """

    exit_code: int
    reason: str
    error: Exception | None = None


def run_daemon(role: str, settings_path: str = "", signals: Signals | None = None) -> int:
    """Reads the settings, starts the logs and runs the daemon; returns the exit code.

    Its last line in the log says why it ended; one that was killed, by a signal or for its memory,
    has none.

    Args:
        role: which program.
        settings_path: of the settings file; else the environment names it.
        signals: installed already, where the caller did so before it imported this module.
    """
    started_at = time.monotonic()
    signals = signals or Signals().install()
    configure_logging(DEFAULT_LEVEL, node="")
    end = _run_to_its_end(role, settings_path, signals)
    logger.log(
        logging.ERROR if end.exit_code else logging.INFO,
        "%s %s ends with exit code %d after %.1f s: %s; its peak memory was %d MiB",
        role,
        release(),
        end.exit_code,
        time.monotonic() - started_at,
        end.reason,
        resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // KIB_PER_MIB,
        exc_info=end.error,
    )
    signals.ignore_from_now_on()
    return end.exit_code


def _run_to_its_end(role: str, settings_path: str, signals: Signals) -> End:
    try:
        settings = read_settings(role, settings_path)
        configure_logging(settings.log_level, settings.node)
        logger.info("%s %s starts as process %d", role, release(), os.getpid())
        process_class = _process_class(role)
        process = open_process(lambda settings: process_class(settings, signals), settings, signals)
        if process is None:
            return End(0, f"{signals.terminated_by} before it served")
        exit_code = _run_process(process)
    except SumacloomError as error:
        return End(error.exit_code, f"{error.message} (code {error.code})")
    except Exception as error:  # noqa: BLE001 - the caller logs it with its traceback
        return End(UNEXPECTED_ERROR_EXIT_CODE, repr(error), error)
    return End(exit_code, signals.terminated_by or "nothing stopped it")


def _process_class(role: str) -> Callable[[Settings, Signals], Process]:
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
    """Runs a coroutine function under curio, and ends all other tasks after it.

    >>> async def main(): return 0
    >>> run_to_end(main)
    0
    """
    import curio

    kernel = curio.Kernel()
    try:
        return kernel.run(main)
    finally:
        shut_down(kernel)


def shut_down(kernel: Any) -> None:
    """Cancels all tasks of a kernel; those that were spawned meanwhile are cancelled in a further round."""
    for _round in range(SHUTDOWN_ROUNDS):
        try:
            kernel.run(shutdown=True)
        except AssertionError:  # curio's own, where a task was spawned during the round
            continue
        return
    logger.warning("tasks still began others after %d rounds of the shutdown", SHUTDOWN_ROUNDS)


def open_process(
    make_process: Callable[[Settings], Any], settings: Settings, signals: Signals | None = None
) -> Any:
    """Makes the role's process; a disk that refuses for a moment is tried again, a missing one is not.

    Returns:
        The process; None where a signal asked for the end meanwhile.

    Raises:
        DiskUnusableError: the data folder can't be used.
        ForeignLogError: it holds the log of another program.
    """
    for attempt in range(1, DISK_ATTEMPTS + 1):
        if signals and signals.terminating:
            return None
        try:
            process = make_process(settings)
        except OSError as error:
            failure = DiskUnusableError(f"the data folder can't be used: {error}")
            if error.errno not in TRANSIENT_DISK_ERRORS or attempt == DISK_ATTEMPTS:
                raise failure from error
            logger.warning("the data folder can't be used: %s; it is tried again", error)
            time.sleep(DISK_RETRY_S)
        else:
            return None if signals and signals.terminating else process
    raise AssertionError("unreachable: the last attempt returns or raises")
