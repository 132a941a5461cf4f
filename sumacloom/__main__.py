"""The programs: `python3 -m sumacloom counter`, `registrar`, `fleet`."""

import os
import sys

DEPS = os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "target", "deps")
if os.path.isdir(DEPS) and DEPS not in sys.path:
    sys.path.insert(0, DEPS)


def main(arguments: list[str]) -> int:
    """Runs a program; the bare daemons skip the command line's parser, which is slow to import."""
    if arguments in (["counter"], ["registrar"]):
        from sumacloom.daemon import run_daemon

        return run_daemon(arguments[0])
    sys.argv[0] = "sumacloom"
    from sumacloom.cli.programs import run

    return run(arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
