"""One real pooler under load on loopback: processor time per statement, memory per session."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from functools import partial

import curio

from sumacloom.daemon import run_to_end
from sumacloom.line_protocol import LineSplitter, encode
from sumacloom.transport.link import dial, listen

from .fleet import CONTROLLERS, CTL, NET, PORTS, ROOT, TICKS, Fleet, call

FE, READY, BACKEND = 17230, 17231, 17232
IP, PAIR = f"{NET}.11", (f"{NET}.21", f"{NET}.22")


def settings(folder: str) -> str:
    """The pooler's settings file; gives its path."""
    path = os.path.join(folder, "pooler.toml")
    seeds = json.dumps([f"{NET}.{one}:{CTL}" for one in range(1, CONTROLLERS + 1)])
    with open(path, "w", encoding="utf-8") as file:
        file.write(f'''node = "edge-real"
role = "pooler"
ip = "{IP}"
az = "zone-a"
rgn = "north"
portRange = [{PORTS[0]}, {PORTS[1]}]
seeds = {seeds}
logLevel = "ERROR"
[limits]
nofile = 12000
[listen]
fe = "{IP}:{FE}"
readyz = "{IP}:{READY}"
''')
    return path


async def backend(sock) -> None:
    """A backend that grants everything; its log stands still."""
    splitter, state = LineSplitter(), "I"
    async with sock:
        while True:
            try:
                data = await sock.recv(65536)
            except OSError:
                return
            if not data:
                return
            out = b""
            for line in splitter.feed(data):
                words = line.split(" ")
                if words[0] == "LOGIN":
                    out += b"READY I 1.10\r\n"
                    continue
                verb = words[4] if words[2] == "WAITPOS" else words[2]
                state = {"BEGIN": "T", "COMMIT": "I", "ABORT": "I"}.get(verb, state)
                row = (
                    "ROW primary 1 1.10 0 0 4 1\r\n"
                    if verb == "STAT"
                    else "ROW x\r\n"
                    if verb == "FETCH"
                    else ""
                )
                stamp = "-" if words[1] == "-" else "7.1"  # the pooler's own texts have no stamp
                out += f"{row}DONE {stamp}\r\nREADY {state} 1.10\r\n".encode()
            await sock.sendall(out)


async def session(asked: list, until: list, pause_s: float) -> None:
    """A client: reads and writes by turns until told to end."""
    sock = await dial(IP, FE, 10.0, 0)
    splitter = LineSplitter()
    async with sock:
        await sock.sendall(encode("LOGIN h0 someone"))
        while True:
            while not any(
                line.startswith("READY") for line in splitter.feed(await sock.recv(65536))
            ):
                pass
            if until[0]:
                return
            await curio.sleep(pause_s)
            if until[0]:
                return
            asked[0] += 1
            verb = "PUT a b" if asked[0] % 4 == 0 else "FETCH a"
            await sock.sendall(encode(f"QUERY {asked[0]:x} {verb}"))


def used(pid: int) -> tuple[float, int]:
    """Processor seconds and resident KB of a process.

    >>> used(os.getpid())[1] > 0
    True
    """
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        resident = next(int(line.split()[1]) for line in file if line.startswith("VmRSS"))
    return (int(fields[11]) + int(fields[12])) / TICKS, resident


async def play(pid: int, sessions: int, pause_s: float, seconds: float) -> dict:
    """Sessions for a while; what the pooler used."""
    asked, over = [0], [False]
    tasks = [await curio.spawn(session, asked, over, pause_s) for _session in range(sessions)]
    await curio.sleep(1.0 + sessions / 1000)
    before, count, began = used(pid), asked[0], time.monotonic()
    await curio.sleep(seconds)
    after, done, took = used(pid), asked[0] - count, time.monotonic() - began
    over[0] = True
    for task in tasks:
        await task.cancel()
    return {
        "sessions": sessions,
        "statements": done,
        "seconds": round(took, 2),
        "cpu_s": round(after[0] - before[0], 3),
        "rss_kb": after[1],
    }


async def measure(pid: int, sizes: list[tuple], seconds: float) -> list[dict]:
    """All sizes, one after the other."""
    for ip in PAIR:
        await curio.spawn(serve, ip, daemon=True)
    found = []
    for sessions, pause_s in sizes:
        found.append(await play(pid, sessions, pause_s, seconds))
    return found


async def serve(ip: str) -> None:
    """Takes a backend's connections."""
    sock = listen(ip, BACKEND)
    while True:
        client, _address = await sock.accept()
        await curio.spawn(backend, client, daemon=True)


def run(sizes: list[tuple], seconds: float) -> list[dict]:
    """Starts controllers and one real pooler, and measures."""
    with Fleet(0, 0, 1) as fleet, tempfile.TemporaryDirectory() as folder:
        over = threading.Event()

        def heartbeat():
            seq = 0
            while not over.is_set():
                seq += 1
                for number, ip in enumerate(PAIR):
                    body = json.dumps(
                        {
                            "svc": "s0",
                            "addr": f"{ip}:{BACKEND}",
                            "az": "zone-a",
                            "ver": "v1",
                            "slots": 64,
                            "phase": "up",
                            "coldLeftMs": 0,
                            "dbrole": "replica" if number else "primary",
                            "seq": seq,
                        }
                    )
                    call(1, "PUT", f"/api/instances/i-{number}", body.encode())
                over.wait(1.0)

        beater = threading.Thread(target=heartbeat, daemon=True)
        beater.start()
        environment = {
            **os.environ,
            "PYTHONPATH": os.pathsep.join([ROOT, os.path.join(ROOT, "target", "deps")]),
        }
        pooler = subprocess.Popen(
            [sys.executable, "-m", "sumacloom", "pooler"],
            cwd=ROOT,
            stderr=subprocess.DEVNULL,
            env={**environment, "SUMACLOOM_NODE_FILE": settings(folder)},
        )
        try:
            fleet.until(
                "the pooler is ready",
                lambda: "edge-real" in str(call(1, "GET", "/api/admin/counters")[1]),
                20.0,
            )
            time.sleep(1.0)
            return run_to_end(partial(measure, pooler.pid, sizes, seconds))
        finally:
            over.set()
            beater.join(6.0)
            pooler.send_signal(signal.SIGTERM)
            try:
                pooler.wait(8.0)
            except subprocess.TimeoutExpired:
                pooler.kill()
                pooler.wait()
