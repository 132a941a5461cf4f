"""The programs: `python3 -m sumacloom pooler`, `controller` and `fleet`.

Signal handlers come before all other imports: a signal's default action ends a process that is starting.
"""

import os
import sys

DEPENDENCIES = os.path.join(
    os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "target", "deps"
)
if os.path.isdir(DEPENDENCIES) and DEPENDENCIES not in sys.path:
    sys.path.insert(0, DEPENDENCIES)


def main(arguments: list[str]) -> int:
    """Runs a program; bare daemons skip the command line's parser, which is slow to import."""
    if arguments in (["pooler"], ["controller"]):
        from sumacloom.signals import Signals

        signals = Signals().install()
        from sumacloom.daemon import run_daemon

        return run_daemon(arguments[0], signals=signals)
    sys.argv[0] = "sumacloom"
    from sumacloom.cli.programs import run

    return run(arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
