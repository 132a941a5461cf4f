"""The programs: `python3 -m sumacloom counter`, `registrar`, `fleet`."""
import os
import sys

DEPS = os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "target", "deps")
if os.path.isdir(DEPS) and DEPS not in sys.path:
    sys.path.insert(0, DEPS)


def run_daemon(role: str, settings_path: str = "") -> int:
    """Reads the settings, starts the logs and runs the daemon.

    >>> run_daemon("counter", "/nowhere")
    2
    """
    from .common.logs import start_logs
    from .common.results import exit_code
    from .common.settings import read_settings

    result = read_settings(role, settings_path)
    if result.is_err():
        found = result.err()
        print(f"sumacloom {role}: {found.sentence} (code {found.code})", file=sys.stderr)
        return exit_code(found.name)
    settings = result.ok()
    start_logs(settings.log_level, settings.node)
    import curio
    if role == "counter":
        from .counter.shell import Shell
    else:
        from .registrar.shell import Shell
    try:
        shell = Shell(settings)
    except OSError as error:
        print(f"sumacloom {role}: the data folder can't be used: {error} (code 1004)", file=sys.stderr)
        return exit_code("disk_unusable")
    try:
        return curio.run(shell.main)
    except OSError as error:
        print(f"sumacloom {role}: an address of the settings can't be served: {error} (code 1005)", file=sys.stderr)
        return exit_code("address_unusable")


def main(arguments: list[str]) -> int:
    """Runs a program; the bare daemons skip the command line's parser, which is slow to import.

    >>> main.__name__
    'main'
    """
    if arguments in (["counter"], ["registrar"]):
        return run_daemon(arguments[0])
    sys.argv[0] = "sumacloom"
    from .programs import run
    return run(arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
