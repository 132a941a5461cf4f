"""Stand-ins for the review's scripts: servers with replication, the platform, the operator, clients.

Standard library only. They follow PROTOCOL, RULES and DEPLOY; where a page is silent they are sound.
The programs under test run as processes of their own, with the commands of deploy/system.toml.
"""

import asyncio
import contextlib
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BOUNDS = {
    "seedLagS": 3, "reuseS": 2, "contactMs": 5000, "ackMs": 6000, "catchupS": 4, "drainMs": 7000,
    "graceS": 6, "slackMs": 200, "applyMs": 4000, "downgradeMs": 250, "stretchMs": 15000,
    "coldExcess": 1.5, "coldSlack": 5, "evacMs": 5000, "healS": 12, "fencing": "true", "thawMs": 300,
}  # fmt: skip
BEAT_S = 1.2


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def note(self, text, show=False):
        line = f"{self.now():8.3f} {text}"
        self.file.write(line + "\n")
        if show:
            print(line, flush=True)


def free_ports(count):
    """Ports that are free on loopback, below the range that the kernel gives out itself."""
    while True:
        low = random.randrange(12000, 30000, 32)
        try:
            for port in range(low, low + count):
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", port))
        except OSError:
            continue
        return low


class Fleet:
    """The project's own programs: three controllers and some poolers, a zone each."""

    def __init__(self, record, zones, poolers=3, bounds=None):
        self.record, self.zones, self.poolers = record, zones, poolers
        self.net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        low = free_ports(24)
        self.ctl, self.fe, self.ready, self.platform, self.server = range(low, low + 5)
        self.range = (low + 6, low + 21)
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.processes = {}
        self.started = set()
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]

    def ip(self, role, number):
        return f"{self.net}.{number if role == 'controller' else 10 + number}"

    def settings(self, role, number):
        ip, name = self.ip(role, number), f"{role}-{number}"
        zone = list(self.zones)[(number - 1) % len(self.zones)]
        core = role == "controller"
        lines = [
            f'node = "{name}"', f'role = "{role}"', f'mclass = "{"core" if core else "edge"}"',
            f'serves = ["{"ctl" if core else "edge"}"]', f'ip = "{ip}"', f'az = "{zone}"',
            f'rgn = "{self.zones[zone]}"', f"portRange = [{self.range[0]}, {self.range[1]}]",
            "seeds = [" + ", ".join(f'"{self.ip("controller", n)}:{self.ctl}"' for n in (1, 2, 3)) + "]",
            f"bootstrap = {'false' if name in self.started else 'true'}",
            f"voting = {str(core).lower()}", f"beatMs = {round(BEAT_S * 1000)}",
            'disco = "reg"', 'entry = "vip"',
            'clauses = ["base", "drain", "config", "cost", "sql", "recover", "places"]',
        ]  # fmt: skip
        if core:
            lines.append(f'datadir = "{self.folder.name}/data-{number}"')
        lines += ["[azs]", *(f'{zone} = "{region}"' for zone, region in self.zones.items())]
        lines += ["[listen]"]
        lines += [f'ctl = "{ip}:{self.ctl}"'] if core else [f'fe = "{ip}:{self.fe}"', f'readyz = "{ip}:{self.ready}"']
        lines += ["[limits]", "cpu = 0.9", "ncpu = 1", "memMb = 300", "nofile = 4300", "netMbps = 1000.0"]
        lines += ["[tolerate]", "nodes = 1", "azs = 1", "rgns = 1", "[bounds]"]
        lines += [f"{key} = {value}" for key, value in self.bounds.items()]
        lines += ["[cloud]", f'addr = "{self.net}.200:{self.platform}"', "ratePerS = 50.0",
                  'jobs = ["failover"]', "dutyPerS = 50.0"]  # fmt: skip
        path = os.path.join(self.folder.name, f"{name}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        self.started.add(name)
        return path

    def start(self, role, number):
        path, name = self.settings(role, number), f"{role}-{number}"
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env = {**kept, "PYTHONPATH": os.path.join(ROOT, "target/deps"), "SUMACLOOM_NODE_FILE": path}
        with open(path.replace(".toml", ".log"), "ab") as log:
            self.processes[name] = subprocess.Popen(
                shlex.split(self.roles[role]["run"]), cwd=ROOT, env=env,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            )  # fmt: skip
        self.record.note(f"fleet: {name} is started")

    def start_all(self):
        for number in (1, 2, 3):
            self.start("controller", number)
        for number in range(1, self.poolers + 1):
            self.start("pooler", number)

    def log(self, name):
        with open(os.path.join(self.folder.name, f"{name}.log"), encoding="utf-8") as file:
            return file.read()

    def end(self):
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.folder.cleanup()


async def http_call(address, method, path, body=b"", headers=(), timeout=1.0):
    """One call; the status is 0 if no clear answer comes in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            head = [f"{method} {path} HTTP/1.1", f"Host: {address[0]}:{address[1]}", "Connection: close",
                    f"Content-Length: {len(body)}", "Content-Type: application/json", *headers]  # fmt: skip
            writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)
            line = await reader.readline()
            rest = await reader.read()
            return int(line.split()[1]), rest
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0, b""
    finally:
        if writer:
            writer.close()


class Server:
    """One server of a service, with its log, its role and what it sends to replicas."""

    def __init__(self, service, number, zone, role, slots=5):
        self.service, self.number, self.zone, self.role = service, number, zone, role
        self.name = f"i-{random.getrandbits(40):010x}"
        self.ip = f"{service.fleet.net}.{100 + number}"
        self.term, self.log, self.paused = 1, [], 0  # log: (term, number, (writes))
        self.seq, self.running, self.beats, self.phase = 0, False, True, "up"
        self.slots, self.sockets, self.listener = asyncio.Semaphore(slots), set(), None
        self.slot_count, self.changed = slots, asyncio.Event()
        self.received = asyncio.Condition()
        self.beater, self.cut_off_core = None, False

    @property
    def position(self):
        return f"{self.log[-1][0]}.{self.log[-1][1]}" if self.log else f"{self.term}.0"

    @property
    def address(self):
        return f"{self.ip}:{self.service.fleet.server}"

    async def start(self):
        self.running = True
        self.listener = await asyncio.start_server(
            self.talk, self.ip, self.service.fleet.server, limit=2 << 20
        )
        self.beater = asyncio.create_task(self.beat())

    def crash(self):
        """The process is gone: connections are reset, the port is dead, nothing more is sent."""
        self.running = False
        self.listener.close()
        self.beater.cancel()
        for writer in list(self.sockets):
            writer.transport.abort()

    # ------------------------------------------------------------ beats
    async def beat(self):
        fleet, calls = self.service.fleet, 0
        place = random.randrange(3)
        while self.beats:
            if self.cut_off_core:  # its calls reach no controller
                await asyncio.sleep(0.1)
                continue
            self.seq += 1
            body = json.dumps({
                "svc": self.service.name, "addr": self.address, "az": self.zone, "ver": "v1",
                "slots": self.slot_count, "phase": self.phase, "coldLeftMs": 0, "dbrole": self.role,
                "seq": self.seq,
            }).encode()  # fmt: skip
            for _try in range(3):
                address = (fleet.ip("controller", place + 1), fleet.ctl)
                status, _ = await http_call(address, "PUT", f"/api/instances/{self.name}", body)
                if 200 <= status < 300:
                    break
                place = (place + 1) % 3
            calls += 1
            self.changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(BEAT_S):
                    await self.changed.wait()

    async def say_delete(self):
        """DELETE /api/instances/ID, to any controller, until it is acknowledged; the moment of that."""
        fleet = self.service.fleet
        for attempt in range(12):
            address = (fleet.ip("controller", attempt % 3 + 1), fleet.ctl)
            status, _ = await http_call(address, "DELETE", f"/api/instances/{self.name}")
            if 200 <= status < 300:
                return self.service.record.now()
        return None

    # ------------------------------------------------------------ the wire
    async def talk(self, reader, writer):
        if not self.running:
            writer.transport.abort()
            return
        self.sockets.add(writer)
        state, who = {"open": "", "writes": [], "names": {}, "term": 0, "failed": False}, ""
        try:
            while line := await reader.readline():
                word, _blank, rest = line.decode("latin-1").rstrip("\r\n").partition(" ")
                if word == "QUIT":
                    break
                if word == "LOGIN":
                    service, who, *expected = rest.split(" ")
                    if self.cut_off_core and who.startswith("controller"):
                        await asyncio.sleep(60)  # the cut: nothing comes back
                    if service != self.service.name or (expected and expected[0] != self.name):
                        writer.write(b"ERR WRONGHOST not here\r\n")
                        break
                    await asyncio.sleep(self.service.login_s)
                    answer = []
                else:
                    statement, _blank, text = rest.partition(" ")
                    answer = await self.run(statement, text, state)
                if not self.running or (self.cut_off_core and who.startswith("controller")):
                    return
                letter = "E" if state["failed"] else "T" if state["open"] else "I"
                lines = [*answer, f"READY {letter} {self.position}"]
                writer.write("".join(one + "\r\n" for one in lines).encode("latin-1"))
                await writer.drain()
                if word == "QUERY" and statement != "-":
                    self.service.answered[statement] = self.service.record.now()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.sockets.discard(writer)
            with contextlib.suppress(RuntimeError):  # the loop is closed: the case is over
                writer.close()

    def row(self):
        return [f"ROW {self.role} {self.term} {self.position} {self.paused} 0 0 {len(self.sockets)}", "DONE -"]

    def stamp(self):
        return f"DONE {random.getrandbits(64):016x}.{self.name}"

    async def run(self, statement, text, state):
        """The lines that answer one statement."""
        verb, _blank, rest = text.partition(" ")
        if state["failed"] and verb not in ("COMMIT", "ABORT"):
            return ["ERR MALFORMED the transaction has failed"]
        if verb == "WAITPOS":
            wanted, _blank, text = rest.partition(" ")
            verb, _blank, rest = text.partition(" ")
            have = tuple(map(int, self.position.split(".")))
            if tuple(map(int, wanted.split("."))) > have:
                return [f"ERR LAGGING {self.name}"]
        if verb == "STAT":
            return self.row()
        if verb == "PAUSE":
            if self.role == "replica" and int(rest) > max(self.term, self.paused):
                self.paused = int(rest)
                self.service.record.note(f"server {self.name}: PAUSE {rest} at {self.position}")
            return self.row()
        if verb == "CONT":
            self.paused = 0
            self.service.record.note(f"server {self.name}: CONT")
            return self.row()
        if verb == "STEPDOWN":
            if self.role == "primary" and self.term < int(rest):
                self.set_role("replica", int(rest))
            return self.row()
        if verb == "RESET":
            state["names"].clear()
            return ["DONE -"]
        if verb == "SET":
            return ["DONE -"]
        if verb == "PREP":
            name, kind, _shape = rest.split(" ", 2)
            state["names"][name] = kind
            return ["DONE -"]
        if verb == "BEGIN":
            if rest != "FETCH" and self.role != "primary":
                return [f"ERR RO {self.name}"]
            state.update(open=rest or "plain", writes=[], term=self.term, failed=False)
            return ["DONE -"]
        if verb == "ABORT":
            state.update(open="", writes=[], failed=False)
            return ["DONE -"]
        if verb == "EXEC":
            name, _blank, rest = rest.partition(" ")
            if name not in state["names"]:
                return ["ERR NOSUCH no such name"]
            verb = state["names"][name]
        lost = state["open"] == "plain" and (self.role != "primary" or state["term"] != self.term)
        if (lost and not (verb == "COMMIT" and not state["writes"])) or (verb == "PUT" and self.role != "primary"):
            state["failed"] = bool(state["open"])
            return [f"ERR RO {self.name}"]
        async with self.slots:
            await asyncio.sleep(self.service.work_s(verb, rest))
        if not self.running:
            return []
        if verb == "FETCH":
            self.service.record.note(f"server {self.name}: runs {statement} FETCH {rest[:40]}")
            return [*self.service.rows(self, rest, state), self.stamp()]
        if verb == "PUT":
            state["writes"].append(rest)
            if state["open"]:
                self.service.record.note(f"server {self.name}: runs {statement} PUT {rest[:40]}")
                return [self.stamp()]
        if verb in ("PUT", "COMMIT"):
            writes = state["writes"]
            state.update(open="", writes=[], failed=False)
            if writes and not await self.commit(statement, writes):
                return [f"ERR RO {self.name}"]
            return [self.stamp()]
        return ["ERR MALFORMED no"]

    # ------------------------------------------------------------ replication
    async def commit(self, statement, writes):
        if self.role != "primary":
            return False
        number = (self.log[-1][1] if self.log else 0) + 1
        entry = (self.term, number, tuple(writes))
        self.log.append(entry)
        self.service.record.note(f"server {self.name}: runs {statement}, commits {self.term}.{number} {writes[-1][:40]}")
        acks = asyncio.Semaphore(0)
        for other in self.service.servers:
            if other is not self and other.running:
                asyncio.create_task(self.ship(other, entry, acks))
        for _ack in range(self.service.sync_acks):
            await acks.acquire()
        return True

    async def ship(self, other, entry, acks):
        """One entry over the network to one replica, in order; its word that it has it comes back."""
        delay = self.service.delay_s(self, other)
        await asyncio.sleep(delay)
        while self.running and other.running and not other.take(self, entry):
            async with other.received:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(0.05):
                        await other.received.wait()
        if not (self.running and other.running):
            return
        async with other.received:
            other.received.notify_all()
        await asyncio.sleep(delay)
        acks.release()

    def take(self, source, entry):
        """Whether an entry is received now: in order, from the primary of our term, and not while paused."""
        if self.role != "replica" or self.paused or source.role != "primary" or source.term != entry[0]:
            return False
        have = self.log[-1][1] if self.log else 0
        if entry[1] <= have:
            return True
        if entry[1] != have + 1:
            return False
        self.log.append(entry)
        self.term = max(self.term, entry[0])
        return True

    def set_role(self, role, term):
        self.role, self.term, self.paused = role, term, 0
        self.changed.set()
        self.service.record.note(f"server {self.name}: is {role} in term {term}, log to {self.position}", True)


class Service:
    """A primary, its replicas, and the platform that promotes."""

    def __init__(self, fleet, record, name="svc1", sync_acks=0, regions=None):
        self.fleet, self.record, self.name, self.sync_acks = fleet, record, name, sync_acks
        self.login_s, self.servers, self.fence = 0.012, [], 0
        self.answered = {}  # by statement: when its answer was handed over
        self.promotions = []  # (moment, server, the log with which it leads)
        self.zone_ms, self.region_ms = 0.9, 20.0

    def delay_s(self, one, other):
        zones = self.fleet.zones
        same = zones[one.zone] == zones[other.zone]
        return (self.zone_ms if same else self.region_ms) / 1000

    def work_s(self, verb, rest):
        return 0.0045

    def rows(self, server, thing, state):
        entries = [write for _term, _number, writes in server.log for write in writes] + state["writes"]
        found = [write.partition(" ")[2] for write in entries if write.partition(" ")[0] == thing]
        return [f"ROW {data}" for data in found[-1:]]

    async def platform(self):
        """POST /promote, as the pages say; some hundred ms later the server named leads."""

        async def serve(reader, writer):
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                headers = {name.lower(): value.strip() for name, _c, value in (line.partition(":") for line in head[1:])}
                body = json.loads(await reader.readexactly(int(headers.get("content-length", 0))) or b"{}")
                status = await self.promote(body, headers) if head[0].startswith("POST /promote") else 404
                writer.write(f"HTTP/1.1 {status} x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode())
                await writer.drain()
            writer.close()

        return await asyncio.start_server(serve, f"{self.fleet.net}.200", self.fleet.platform)

    async def promote(self, body, headers):
        fence, holder = int(headers["x-fence"]), headers["x-holder"]
        target = next((one for one in self.servers if one.name == body["id"] and one.running), None)
        status = 409 if fence < self.fence or target is None else 200
        self.record.note(f"platform: promote {body['id']} by {holder}, fence {fence}: {status}", True)
        if status == 200:
            self.fence = fence
            if target.role != "primary":
                asyncio.create_task(self.lead(target))
        return status

    async def lead(self, target):
        await asyncio.sleep(0.3)
        if not target.running:
            return
        term = max(one.term for one in self.servers) + 1
        for one in self.servers:
            if one is not target and one.running:
                one.log = one.log[: len(target.log)]
                one.set_role("replica", term)
        target.set_role("primary", term)
        self.promotions.append((self.record.now(), target, list(target.log)))
        for one in self.servers:  # what the replicas lack of the new primary's log
            if one is not target and one.running:
                one.log = list(target.log)


class Client:
    """One session at a pooler."""

    def __init__(self, fleet, pooler, database, receive_buffer=0):
        self.address, self.database = (fleet.ip("pooler", pooler), fleet.fe), database
        self.receive_buffer = receive_buffer
        self.reader = self.writer = None

    async def open(self, timeout=2.0):
        """Whether READY came within the two seconds that a client waits."""
        sock = socket.socket()
        sock.setblocking(False)
        if self.receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        try:
            async with asyncio.timeout(timeout):
                await asyncio.get_running_loop().sock_connect(sock, self.address)
                limit = self.receive_buffer or 1 << 16
                self.reader, self.writer = await asyncio.open_connection(sock=sock, limit=limit)
                self.writer.write(f"LOGIN {self.database} u{random.getrandbits(16):x}\r\n".encode())
                return (await self.reader.readline()).startswith(b"READY")
        except (OSError, TimeoutError, ValueError):
            sock.close()
            return False

    async def ask(self, text, timeout=6.0):
        """The id, and the lines that answer up to READY, or those before the end and None."""
        statement, lines = f"{random.getrandbits(64):016x}", []
        try:
            self.writer.write(f"QUERY {statement} {text}\r\n".encode())
            async with asyncio.timeout(timeout):
                while not lines or not lines[-1].startswith("READY"):
                    line = await self.reader.readline()
                    if not line.endswith(b"\r\n"):
                        return statement, [*lines, None]
                    lines.append(line.decode("latin-1").rstrip("\r\n"))
        except (OSError, TimeoutError, ValueError):
            return statement, [*lines, None]
        return statement, lines

    def close(self):
        if self.writer:
            self.writer.close()


async def put_configuration(fleet, record, configuration, base=0, seconds=25.0):
    """The operator: sent until it is taken."""
    body, ends = json.dumps(configuration).encode(), record.now() + seconds
    place = 0
    while record.now() < ends:
        address = (fleet.ip("controller", place % 3 + 1), fleet.ctl)
        status, _ = await http_call(address, "PUT", "/api/config", body, (f"If-Match: {base}",))
        record.note(f"operator: configuration {configuration['ver']} on {base}: {status}")
        if status == 200:
            return True
        place += 1
        await asyncio.sleep(0.3)
    return False


async def until_ready(fleet, record, seconds=25.0):
    """The platform's probe: whether every pooler says that it is ready."""
    ends = record.now() + seconds
    while record.now() < ends:
        found = [
            await http_call((fleet.ip("pooler", number), fleet.ready), "GET", "/api/ready")
            for number in range(1, fleet.poolers + 1)
        ]
        if all(status == 200 for status, _body in found):
            return True
        await asyncio.sleep(0.3)
    return False


def route(name, host, service, kind="primary", tmo=800, goal=600, stale=None):
    found = {"name": name, "host": host, "pfx": "/", "kind": kind, "tmoMs": tmo, "goalMs": goal,
             "prio": 1, "svc": service, "tries": 2, "geo": []}  # fmt: skip
    return {**found, "maxStaleMs": stale} if stale else found


def service_entry(name, sync_acks=0, maxconn=64):
    return {"name": name, "probe": "/healthz", "maxconn": maxconn, "proto": "h1", "tls": False,
            "coldS": 0.0, "coldPerS": 0.0, "syncAcks": sync_acks}  # fmt: skip


LIMITS = {"hdrBytes": 16384, "bodyMaxBytes": 262144, "hdrMs": 3000, "idleMs": 15000, "txIdleMs": 3000}


def play(folder, case, seconds=110):
    """Runs a case to its end within its time; the exit code. Ends every process that was started."""
    record = Record(folder)
    fleets = []

    def make_fleet(*args, **kwargs):
        fleets.append(Fleet(record, *args, **kwargs))
        return fleets[-1]

    def interrupt(_number, _frame):
        raise KeyboardInterrupt

    async def limited():
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
        async with asyncio.timeout(seconds):
            return await case(record, make_fleet)

    signal.signal(signal.SIGTERM, interrupt)
    code = 2
    try:
        code = asyncio.run(limited())
    except (TimeoutError, KeyboardInterrupt, OSError, AssertionError) as error:
        record.note(f"the case could not run: {error!r}", True)
    finally:
        for fleet in fleets:
            fleet.end()
        record.note(f"exit {code}", True)
        record.file.close()
    return code
