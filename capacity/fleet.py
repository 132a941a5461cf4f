"""A fleet for one measurement: real controllers, hollow poolers in a few processes, heartbeats of backends."""

import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
CTL, PORTS, PER_PROCESS, BEAT_S = 17200, (17210, 17225), 50, 1.2
CONTROLLERS = 3
TICKS = os.sysconf("SC_CLK_TCK")
NET = f"127.{32 + os.getpid() % 64}.{os.getpid() // 64 % 64}"  # of this run alone: two may share a machine


def settings(number: int, folder: str) -> str:
    """A controller's settings.

    >>> "voting = true" in settings(1, "/tmp/x")
    True
    """
    seeds = json.dumps([f"{NET}.{one}:{CTL}" for one in range(1, CONTROLLERS + 1)])
    return f'''node = "core-{number}"
role = "controller"
ip = "{NET}.{number}"
az = "zone-{"abc"[number - 1]}"
portRange = [{PORTS[0]}, {PORTS[1]}]
seeds = {seeds}
bootstrap = true
voting = true
datadir = "{folder}/data-{number}"
logLevel = "ERROR"
[azs]
zone-a = "north"
zone-b = "middle"
zone-c = "south"
[listen]
ctl = "{NET}.{number}:{CTL}"
'''


def call(
    number: int,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict | None = None,
    timeout_s: float = 5.0,
):
    """A call to a controller: (status, body)."""
    link = http.client.HTTPConnection(f"{NET}.{number}", CTL, timeout=timeout_s)
    try:
        link.request(method, path, body or None, headers or {})
        reply = link.getresponse()
        return reply.status, reply.read()
    except OSError:
        return 0, b""
    finally:
        link.close()


class Fleet:
    """Starts everything; `close` ends all of it."""

    def __init__(self, poolers: int, backends: int, routes: int):
        self.poolers, self.backends, self.routes, self.ver = poolers, backends, routes, 0
        self.folder = tempfile.TemporaryDirectory()
        self.over = threading.Event()
        self.controllers, self.hollows, self.beaters = [], [], []

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_error):
        self.close()

    def start(self) -> None:
        """Controllers first, then poolers, then the backends' heartbeats."""
        environment = {
            **os.environ,
            "PYTHONPATH": os.pathsep.join([ROOT, os.path.join(ROOT, "target", "deps")]),
        }
        for number in range(1, CONTROLLERS + 1):
            path = os.path.join(self.folder.name, f"{number}.toml")
            with open(path, "w", encoding="utf-8") as file:
                file.write(settings(number, self.folder.name))
            self.controllers.append(
                subprocess.Popen(
                    [sys.executable, "-m", "capacity.counted", "controller", path + ".counts"],
                    cwd=ROOT,
                    env={**environment, "SUMACLOOM_NODE_FILE": path},
                    stderr=subprocess.DEVNULL,
                )
            )
        self.until(
            "the controllers answer",
            lambda: all(
                call(number, "GET", "/api/admin/registrars")[0] == 200
                for number in range(1, CONTROLLERS + 1)
            ),
        )
        self.put()
        seeds = ",".join(f"{NET}.{number}:{CTL}" for number in range(1, CONTROLLERS + 1))
        for first in range(0, self.poolers, PER_PROCESS):
            count = min(PER_PROCESS, self.poolers - first)
            self.hollows.append(
                subprocess.Popen(
                    [sys.executable, "-m", "capacity.hollow", str(first), str(count), seeds],
                    cwd=ROOT,
                    env=environment,
                    stdin=subprocess.PIPE,
                    stdout=subprocess.PIPE,
                    stderr=subprocess.DEVNULL,
                    text=True,
                )
            )
        for share in range(CONTROLLERS):
            beater = threading.Thread(target=self.heartbeat, args=(share,), daemon=True)
            beater.start()
            self.beaters.append(beater)
        self.until(
            "all poolers hold all",
            lambda: (
                all(
                    one["attached"] == one["holding"] and one["records"] >= self.backends
                    for one in self.states()
                )
                and sum(one["attached"] for one in self.states()) == self.poolers
            ),
            120.0,
        )

    def until(self, what: str, check, seconds: float = 20.0) -> None:
        """Waits for something to be so."""
        deadline = time.monotonic() + seconds
        while not check():
            if time.monotonic() > deadline:
                raise RuntimeError(f"{what}: not within {seconds:.0f} s")
            time.sleep(0.1)

    def put(self) -> float:
        """A configuration of as many routes as wanted, one of them changed; gives when it was acknowledged."""
        base, self.ver = self.ver, self.ver + 1
        body = json.dumps(
            {
                "ver": self.ver,
                "svcs": [{"name": f"s{n}"} for n in range(max(1, self.routes // 3))],
                "routes": [
                    {
                        "name": f"r{n}",
                        "host": f"h{n * 7919 % 104729}",
                        "svc": f"s{n % max(1, self.routes // 3)}",
                        "tmoMs": 1000 + (n == 0) * self.ver,
                    }
                    for n in range(self.routes)
                ],
            },
            separators=(",", ":"),
        ).encode()
        self.until(
            "a blueprint is taken",
            lambda: call(1, "PUT", "/api/config", body, {"If-Match": str(base)}, 20.0)[0] == 200,
            40.0,
        )
        return time.monotonic()

    def heartbeat(self, share: int) -> None:
        """Every backend says that it is there, once in 1.2 s, over one connection for each controller."""
        seq = 0
        link = http.client.HTTPConnection(f"{NET}.{share + 1}", CTL, timeout=5.0)
        while not self.over.is_set():
            began, seq = time.monotonic(), seq + 1
            for number in range(share, self.backends, CONTROLLERS):
                body = json.dumps(
                    {
                        "svc": f"s{number // 3}",
                        "addr": f"127.9.{number // 250}.{number % 250 + 1}:80",
                        "az": "zone-a",
                        "ver": "v1",
                        "slots": 4,
                        "phase": "up",
                        "coldLeftMs": 0,
                        "dbrole": "primary" if number % 3 == 0 else "replica",
                        "seq": seq,
                    }
                )
                try:
                    link.request("PUT", f"/api/instances/i-{number}", body)
                    link.getresponse().read()
                except OSError:
                    link.close()
                if self.over.is_set():
                    return
            self.over.wait(max(0.0, BEAT_S - (time.monotonic() - began)))

    def states(self) -> list[dict]:
        """What the processes of the hollow poolers tell."""
        for process in self.hollows:
            process.stdin.write("\n")
            process.stdin.flush()
        return [json.loads(process.stdout.readline()) for process in self.hollows]

    def registrar_state(self) -> list[dict]:
        """Processor time, memory and counts of each controller."""
        found = []
        for number, process in enumerate(self.controllers, 1):
            path = os.path.join(self.folder.name, f"{number}.toml.counts")
            if os.path.exists(path):
                os.remove(path)
            process.send_signal(signal.SIGUSR1)
            self.until("a controller tells its counts", lambda path=path: os.path.exists(path))
            with open(path, encoding="utf-8") as file:
                counts = json.load(file)
            with open(f"/proc/{process.pid}/stat", encoding="ascii") as file:
                fields = file.read().rsplit(")", 1)[1].split()
            with open(f"/proc/{process.pid}/status", encoding="ascii") as file:
                resident = next(int(line.split()[1]) for line in file if line.startswith("VmRSS"))
            found.append(
                {**counts, "cpu_s": (int(fields[11]) + int(fields[12])) / TICKS, "rss_kb": resident}
            )
        return found

    def close(self) -> None:
        """Ends all that was started, by its own handle."""
        self.over.set()
        for beater in self.beaters:
            beater.join(6.0)
        for process in self.hollows:
            process.stdin.close()
        for process in [*self.hollows, *self.controllers]:
            process.terminate()
        for process in [*self.hollows, *self.controllers]:
            try:
                process.wait(5.0)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.folder.cleanup()
