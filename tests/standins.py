"""Stand-ins for backends and platform on loopback, and the real programs between them.

    python3 -m tests.standins            runs a small fleet until Ctrl-C and tells its addresses
    python3 -m tests.standins --trial    plays a short day with a dead primary, shows what was served and ends 0 if it was

Both install the pinned libraries first, if they are missing.
"""

import argparse
import json
import os
import signal
import socket
import subprocess
import tempfile
from functools import partial

from . import libraries

if __name__ == "__main__":
    libraries.install()

import curio

from sumacloom import http
from sumacloom.daemon import run_to_end
from sumacloom.transport.link import listen

from .loopback_fleet import CTL, FE, NUMBERS, PLATFORM, TRIAL_NETWORK, Network, start
from .standin_backend import SLOTS, Backend, Entry

PROMOTION_S = 0.2


class Service:
    """The stand-in service, and the platform that promotes.

    Attributes:
        newest_fence: the highest fencing token that the platform has seen.
        run_s: how long a read, write or COMMIT holds a slot of its backend, of which each has `slots`.
    """

    def __init__(self, network: Network = TRIAL_NETWORK):
        self.name, self.network = "register", network
        self.backends = [Backend(number, self) for number in NUMBERS]
        self.newest_fence = 0
        self.run_s, self.slots = 0.0, SLOTS
        self._role_changed = {backend.name: curio.Event() for backend in self.backends}

    async def run(self) -> None:
        """Starts the platform and the backends."""
        await curio.spawn(self._serve_platform, daemon=True)
        for backend in self.backends:
            backend.listening = await curio.spawn(backend.serve, daemon=True)
            await curio.spawn(backend.send_heartbeats, daemon=True)

    def commit(self, primary: Backend, writes: list[Entry]) -> None:
        """Writes reach the log of the primary and of each living replica at once."""
        for backend in self.backends:
            if not backend.dead and (backend is primary or backend.role == "replica"):
                backend.log.extend(writes)

    async def await_role_change(self, backend: Backend, at_most_s: float) -> None:
        """Waits until a promotion, or for so long."""
        async with curio.ignore_after(at_most_s):
            await self._role_changed[backend.name].wait()
        self._role_changed[backend.name].clear()

    async def send_heartbeat_of(self, backend: Backend) -> None:
        """Lets a backend send its heartbeat now."""
        await self._role_changed[backend.name].set()

    async def _serve_platform(self) -> None:
        async with listen(self.network.platform, PLATFORM) as sock:
            while True:
                client, _address = await sock.accept()
                await curio.spawn(http.serve_connection, client, self._answer_platform, daemon=True)

    async def _answer_platform(self, request: http.Request) -> http.Reply:
        if request.path != "/promote" or request.method != "POST":
            return http.Reply(404)
        name, fence = json.loads(request.body)["id"], int(request.headers["x-fence"])
        living = {backend.name: backend for backend in self.backends if not backend.dead}
        if fence < self.newest_fence or name not in living:
            return http.Reply(409)
        self.newest_fence = fence
        await curio.sleep(PROMOTION_S)
        await self._promote(living[name])
        return http.Reply(200)

    async def _promote(self, target: Backend) -> None:
        """Living replicas follow the new primary's term at once."""
        term = max(backend.term for backend in self.backends) + 1
        for backend in self.backends:
            backend.role = "primary" if backend is target else "replica"
            if not backend.dead:
                backend.term = term
        for event in self._role_changed.values():
            await event.set()


async def main(with_trial: bool, processes: dict[str, subprocess.Popen]) -> None:
    """The fleet; its programs are noted in `processes`."""
    service = Service()
    await service.run()
    with tempfile.TemporaryDirectory() as folder:
        processes |= {
            f"{role}-{number}": start(folder, role, number)
            for role in ("controller", "pooler")
            for number in NUMBERS
        }
        try:
            if with_trial:
                from .trial import trial

                await trial(service, processes, folder)
                print("trial: all well")
                return
            print(
                f"controllers at 127.0.0.1 to .3, port {CTL}; poolers at 127.1.0.1 to .3, port {FE}; logs in {folder}\n"
                f"try: python3 -m sumacloom fleet status --at 127.0.0.1:{CTL}\nCtrl-C ends it",
                flush=True,
            )
            while True:
                await curio.sleep(3600)
        finally:
            for process in processes.values():
                process.send_signal(signal.SIGTERM)
            codes = {
                name: await curio.run_in_thread(process.wait) for name, process in processes.items()
            }
            print("exit codes:", codes)
            for name in (name for name, code in codes.items() if code):
                with open(os.path.join(folder, f"{name}.log"), encoding="utf-8") as file:
                    print(
                        f"the end of the log of {name}:", "".join(file.readlines()[-40:]), sep="\n"
                    )
            if with_trial and any(codes.values()):
                raise SystemExit(1)


def interrupt(_number, _frame):
    """SIGTERM ends the fleet as Ctrl-C does, its programs with it."""
    raise KeyboardInterrupt


def parse_arguments() -> argparse.Namespace:
    """The options of the command."""
    parser = argparse.ArgumentParser(
        prog="python3 -m tests.standins", description="A small fleet between stand-ins on loopback."
    )
    parser.add_argument(
        "--trial",
        action="store_true",
        help="play a short day with a dead primary, show what was served and end 0 if it was",
    )
    return parser.parse_args()


if __name__ == "__main__":
    options = parse_arguments()
    signal.signal(signal.SIGTERM, interrupt)
    started: dict[str, subprocess.Popen] = {}
    with socket.socket() as probe:
        if probe.connect_ex(("127.0.0.1", CTL)) == 0:
            raise SystemExit(f"another fleet serves at 127.0.0.1:{CTL}; end it first")
    try:
        run_to_end(partial(main, options.trial, started))
    except KeyboardInterrupt:
        pass
    finally:
        for program in started.values():
            program.kill()  # none outlives the stand-ins; those that have ended are left alone
