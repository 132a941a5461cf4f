"""Starts a daemon: settings, logs, the shell of its role."""

import errno
import sys

DISK_TRIES, DISK_PAUSE_S = 40, 0.5


def run_daemon(role: str, settings_path: str = "") -> int:
    """Reads the settings, starts the logs and runs the daemon.

    >>> run_daemon("counter", "/nowhere")
    2
    """
    from sumacloom.errors import exit_code
    from sumacloom.logs import start_logs
    from sumacloom.settings import read_settings

    result = read_settings(role, settings_path)
    if result.is_err():
        found = result.err()
        print(f"sumacloom {role}: {found.sentence} (code {found.code})", file=sys.stderr)
        return exit_code(found.name)
    settings = result.ok()
    start_logs(settings.log_level, settings.node)
    if role == "counter":
        from sumacloom.pooler.process import Shell
    else:
        from sumacloom.controller.process import Shell
    opened = open_shell(Shell, settings)
    if opened.is_err():
        found = opened.err()
        print(f"sumacloom {role}: {found.sentence} (code {found.code})", file=sys.stderr)
        return exit_code(found.name)
    try:
        return run_whole(opened.ok().main)
    except OSError as error:
        print(
            f"sumacloom {role}: an address of the settings can't be served: {error} (code 1005)",
            file=sys.stderr,
        )
        return exit_code("address_unusable")


def run_whole(main) -> int:
    """Runs a daemon's main to its end; its code stands, whatever tasks begin while the loop cancels all others.

    >>> async def main(): return 0
    >>> run_whole(main)
    0
    """
    import curio

    codes = []

    async def whole():
        codes.append(await main())

    try:
        curio.run(whole)
    except (AssertionError, RuntimeError):
        if not codes:
            raise
    return codes[0]


def open_shell(kind, settings):
    """Makes the daemon's shell; a disk that refuses for a moment is tried again, a missing one is not.

    >>> open_shell(lambda settings: settings, "settings").ok()
    'settings'
    """
    import time

    from sumacloom.errors import Err, Ok, mishap
    from sumacloom.logs import Scribe

    for _try in range(DISK_TRIES):
        try:
            return Ok(kind(settings))
        except OSError as error:
            found = mishap("disk_unusable", f"the data folder can't be used: {error}")
            if error.errno not in (errno.EIO, errno.ENOSPC):
                break
            Scribe("registrar").warn("the data folder can't be used: %s; it is tried again", error)
            time.sleep(DISK_PAUSE_S)
        except Exception as error:
            if not hasattr(error, "found"):
                raise
            return Err(error.found)
    return Err(found)
