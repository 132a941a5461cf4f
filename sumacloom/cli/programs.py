"""The command line, read by defopt."""

import defopt

from sumacloom.cli.commands import COMMANDS
from sumacloom.daemon import run_daemon


def counter(*, settings: str = "") -> int:
    """Carries the clients' statements to the backends.

    :param settings: path of the settings file; else the variable SUMACLOOM_NODE_FILE names it
    """
    return run_daemon("counter", settings)


def registrar(*, settings: str = "") -> int:
    """Keeps blueprint, evacuations, members and backends, and does the failover duty.

    :param settings: path of the settings file; else the variable SUMACLOOM_NODE_FILE names it
    """
    return run_daemon("registrar", settings)


def run(arguments: list[str]) -> int:
    """Runs the program that the arguments name."""
    try:
        return (
            defopt.run(
                {"counter": counter, "registrar": registrar, "fleet": COMMANDS},
                argv=arguments,
                no_negated_flags=True,
            )
            or 0
        )
    except SystemExit as end:
        return end.code if isinstance(end.code, int) else 2
