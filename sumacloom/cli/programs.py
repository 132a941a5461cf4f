"""The command line, parsed by defopt: the two daemons, and the commands over the fleet."""

import defopt

from sumacloom.cli.commands import COMMANDS
from sumacloom.daemon import run_daemon
from sumacloom.settings import CONTROLLER, POOLER

USAGE_EXIT_CODE = 2


def pooler(*, settings: str = "") -> int:
    """Carries the clients' statements to the backends.

    :param settings: path of the settings file; else the variable SUMACLOOM_NODE_FILE names it
    """
    return run_daemon(POOLER, settings)


def controller(*, settings: str = "") -> int:
    """Keeps configuration, zone drains, members and backends, and replaces primaries.

    :param settings: path of the settings file; else the variable SUMACLOOM_NODE_FILE names it
    """
    return run_daemon(CONTROLLER, settings)


def run(arguments: list[str]) -> int:
    """Runs the program that the arguments name; returns its exit code."""
    programs = {"pooler": pooler, "controller": controller, "fleet": COMMANDS}
    try:
        return defopt.run(programs, argv=arguments, no_negated_flags=True) or 0
    except SystemExit as end:
        return end.code if isinstance(end.code, int) else USAGE_EXIT_CODE
