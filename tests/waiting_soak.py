"""Random days of one pooler whose statements wait: overload, outages, changed time-outs, shutdown; in simulated time.

More clients than the slots bear, a primary that goes and returns late in a time-out, time-outs that change
under waiting statements, clients that leave, and at the end SIGTERM while many wait.

    python3 -m tests.waiting_soak --first 0 --count 100 --seconds 30
"""

import argparse
import heapq
import itertools
import random
import sys
from collections import Counter, deque
from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple

from . import libraries

if __name__ == "__main__":
    libraries.install()

from sumacloom.pooler import completion, timers
from sumacloom.pooler.effects import Close, Dial, Exit, Send
from sumacloom.pooler.run_times import MAX_AGE_S

from .stage import CONFIGURATION, Stage

TICK_S = 0.05
STEP_S = 0.005
ONE_WAY_S = 0.002
LATE_S = 0.12  # two looks at the clock, and the way of the answer
RUN_S, SHORTEST_RUN, LONGEST_RUN = 0.02, 0.7, 1.5  # usual, and shares of it
SLOTS = 4
MOST_TIMEOUT_MS = 3000
SETTLED_S = 0.6  # within which a primary that is back serves the few that wait
VALUES_SHARE = 0.1  # of what a client asks
PRIMARY = "p"
PROMISES = ("BUSY", "ROLLEDBACK", "LAGGING", "RO", "WRONGHOST", "MAXCONN")


class Breach(NamedTuple):
    """Something that must not be."""

    kind: str
    details: str


class EventKind(Enum):
    """What happens."""

    OUTAGE = auto()  # the primary's process ends, and starts again later
    DARK = auto()  # the primary says nothing for a while
    SLOW = auto()
    TIMEOUTS = auto()
    SURGE = auto()
    CUT_OFF = auto()  # no controller is heard
    LEAVE = auto()  # clients close, or shut their sending half


WEIGHTS = dict.fromkeys(EventKind, 1) | {EventKind.TIMEOUTS: 4}


class Asked(NamedTuple):
    """A statement that waits for its answer."""

    text: str
    at: float
    single: bool


class SoakClient:
    """Keeps its session until that ends; asks again at once whatever it was told."""

    def __init__(self, day: "Day", key: int, database: str):
        self.day, self.key, self.database = day, key, database
        self.asked: Asked | None = None
        self.script: list[str] = []
        self.thing = self.first_text = ""
        self.next_at, self.half_closed, self.gone = day.now, False, False
        self.shortest_s = self.longest_s = 0.0
        self.must_serve = False

    def step(self) -> None:
        """Asks what is next, if nothing is asked."""
        if self.gone or self.asked or self.half_closed or self.day.now < self.next_at:
            return
        if not self.script:
            self.script = self.day.new_script(self)
        text = self.script.pop(0)
        self.asked = Asked(text, self.day.now, len(self.script) == 0 and self.single)
        if self.single or text == "BEGIN":  # a transaction ends by the rule that it began with
            self.shortest_s = self.longest_s = self.day.timeouts[self.database]
        self.must_serve = False
        number = str(next(self.day.ids))
        self.day.askers[number] = self
        self.day.say(self.key, f"QUERY {number} {text}")

    single = True

    def hear(self, lines: list[str]) -> None:
        """Takes the lines of an answer."""
        last = lines[-2] if len(lines) > 1 else lines[-1]
        if self.asked is None:
            return
        self.day.check_answer(self, last)
        ended = not self.script or last.startswith("ERR")
        if ended:
            kept = self.asked.text.startswith("PUT") or self.asked.text == "COMMIT"
            if last.startswith("DONE") and kept:
                self.day.acknowledged.append(self.thing)
            elif last.startswith("ERR"):
                self.day.outcomes[last.split(" ")[1]] += 1
                self.day.judge_refusal(self, last)
                if not self.single and self.asked.text != "COMMIT":
                    self.script = ["ABORT"]
                    self.asked = None
                    return
            self.script = []
            self.next_at = self.day.now + self.day.random.uniform(0.0, 0.05)
        self.asked = None


class SlowBackend:
    """Runs what it is sent, each in its time; sheds what it has no slot for."""

    def __init__(self, name: str):
        self.name, self.busy, self.slow, self.dark, self.down = name, 0, 1.0, False, False
        self.log: list[str] = []
        self.incarnation = 0


class FarEnd:
    """A backend's end of one connection: what arrived, and the writes of the open transaction."""

    def __init__(self):
        self.inbox: deque[str] = deque()
        self.outbox: list[str] = []
        self.running = False
        self.writes: list[str] | None = None


class Day(Stage):
    """One random day of one pooler.

    Attributes:
        breaches: what was broken; empty on a good day.
        outcomes: errors by code, and answers.
        most_waiting: the longest queue.
    """

    def __init__(self, seed: int, seconds: float):
        self.random = random.Random(seed)
        self.seconds, self.ids = seconds, itertools.count(1)
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.backends = {name: SlowBackend(name) for name in "pqr"}
        self.open: dict[int, FarEnd] = {}  # by connection
        self.askers: dict[str, SoakClient] = {}  # by a statement's id
        self.places: dict[str, int] = {}  # the connection of a transaction's first statement
        self.clients: dict[int, SoakClient] = {}
        self.breaches: list[Breach] = []
        self.outcomes: Counter[str] = Counter()
        self.events: Counter[EventKind] = Counter()
        self.acknowledged: list[str] = []
        self.promised: list[str] = []
        self.most_waiting = 0
        self.slow_spells: list[tuple[float, float]] = []  # remembered until, and runs of so long
        self.disturbed_at = -1e9
        self.ended = False
        self.timeouts = {"books": 1.0, "search": 2.0, "copies": 1.0}
        self.version = 1
        super().__init__(svcs=[{"name": "svc", "maxconn": 40}])

    # ------------------------------------------------------------ time
    def later(self, seconds: float, action: Callable[[], None]) -> None:
        """Does something after a while."""
        heapq.heappush(self.due, (self.now + seconds, next(self.order), action))

    def advance(self, seconds: float) -> None:
        """Lets time pass: what is due happens, clients ask, the clock ticks."""
        ends_at = self.now + seconds
        while self.now < ends_at and not self.ended:
            self.now += STEP_S
            while self.due and self.due[0][0] <= self.now:
                heapq.heappop(self.due)[2]()
            for client in list(self.clients.values()):
                client.step()
            if self.core.ticked_at is None or self.now - self.core.ticked_at >= TICK_S:
                timers.tick(self.core, self.now)
                self.act()
                self.check_bounds()

    # ------------------------------------------------------------ effects
    def act(self) -> None:
        """Does what the core asked for."""
        while self.core.effects:
            effects, self.core.effects = self.core.effects, []
            for effect in effects:
                key = getattr(effect, "key", None)
                if isinstance(effect, Dial):
                    self.dial(key)
                elif isinstance(effect, Send) and key in self.clients:
                    self.clients[key].hear(effect.data.decode().split("\r\n")[:-1])
                elif isinstance(effect, Send):
                    for line in effect.data.decode().split("\r\n")[:-1]:
                        self.later(ONE_WAY_S, lambda key=key, line=line: self.serve(key, line))
                elif isinstance(effect, Close):
                    self.closed(key)
                elif isinstance(effect, Exit):
                    self.ended = True

    def dial(self, key: int) -> None:
        connection = self.core.connections[key]
        backend = self.backends[connection.backend]
        if backend.down:
            self.later(ONE_WAY_S, lambda: self.drop(key))
            return
        self.open[key] = FarEnd()
        line = connection.login("edge-1").decode().strip()
        self.later(ONE_WAY_S, lambda: self.serve(key, line))

    def drop(self, key: int) -> None:
        connection = self.core.connections.get(key)
        self.open.pop(key, None)
        if connection:
            self.lose(connection)

    def closed(self, key: int) -> None:
        self.open.pop(key, None)
        client = self.clients.pop(key, None)
        if client:
            client.gone = True
            if client.asked:
                self.breaches.append(Breach("CUT", f"{client.asked} at {self.now:.2f}"))

    # ------------------------------------------------------------ backends
    def serve(self, key: int, line: str) -> None:
        """A line reaches a backend, which takes those of one connection in turn."""
        connection, far_end = self.core.connections.get(key), self.open.get(key)
        if far_end is None or connection is None:
            return
        backend = self.backends[connection.backend]
        if not backend.dark and not backend.down:
            far_end.inbox.append(line)
            self.take_next(key, backend)

    def take_next(self, key: int, backend: SlowBackend) -> None:
        """Runs the lines that arrived on a connection, up to one that takes a slot."""
        far_end = self.open.get(key)
        while far_end and far_end.inbox and not far_end.running:
            line = far_end.inbox.popleft()
            text = "LOGIN" if line.startswith("LOGIN") else line.split(" ", 2)[2]
            self.check_place(key, far_end, line)
            if text.startswith("WAITPOS"):
                text = text.split(" ", 2)[2]
            if not text.startswith(("FETCH", "PUT", "COMMIT")):
                self.run(key, far_end, backend, text)
            elif backend.busy >= SLOTS:
                self.reply(key, ["ERR BUSY no slot", self.state(far_end)])
            else:
                self.begin_run(key, far_end, backend, text)

    def check_place(self, key: int, far_end: FarEnd, line: str) -> None:
        """A transaction's statements come on the connection of the first, inside the transaction there."""
        number, text = [*line.split(" ", 2), "", ""][1:3]
        client = self.askers.get(number)
        if client is None or client.single:
            return
        if far_end.writes is None:
            self.breaches.append(
                Breach("PINNED", f"outside a transaction: {line} at {self.now:.2f}")
            )
        if text != client.first_text and self.places.get(client.thing) != key:
            self.breaches.append(Breach("PINNED", f"another connection: {line} {self.now:.2f}"))
        self.places[client.thing] = key

    def begin_run(self, key: int, far_end: FarEnd, backend: SlowBackend, text: str) -> None:
        backend.busy += 1
        far_end.running = True
        incarnation = backend.incarnation

        def end_run() -> None:
            if incarnation != backend.incarnation:
                return
            backend.busy -= 1
            far_end.running = False
            self.run(key, far_end, backend, text)
            self.take_next(key, backend)

        self.later(RUN_S * backend.slow * self.random.uniform(SHORTEST_RUN, LONGEST_RUN), end_run)

    def run(self, key: int, far_end: FarEnd, backend: SlowBackend, text: str) -> None:
        verb, _blank, rest = text.partition(" ")
        if verb == "LOGIN":
            self.reply(key, [self.state(far_end)])
            return
        if verb in ("PUT", "BEGIN") and backend.name != PRIMARY and rest != "FETCH":
            self.reply(key, [f"ERR RO {backend.name}", self.state(far_end)])
            return
        answer = "DONE -"
        if verb == "BEGIN":
            far_end.writes = []
        elif verb == "PUT" and far_end.writes is not None:
            far_end.writes.append(rest)
        elif verb == "PUT":
            backend.log.append(rest)
        elif verb in ("COMMIT", "ABORT"):
            committed = far_end.writes if verb == "COMMIT" and key in self.open else []
            backend.log += committed or []
            far_end.writes = None
        if verb in ("FETCH", "PUT", "COMMIT"):
            answer = f"DONE 7.{next(self.ids)}"
        self.reply(key, [answer, self.state(far_end)])

    def state(self, far_end: FarEnd) -> str:
        letter = "I" if far_end.writes is None else "T"
        return f"READY {letter} 1.{1 + len(self.backends[PRIMARY].log)}"

    def reply(self, key: int, lines: list[str]) -> None:
        """Answers; what is answered within one step is read at once."""
        far_end = self.open.get(key)
        if far_end is None:
            return
        if not far_end.outbox:
            self.later(ONE_WAY_S, lambda: self.arrive(key, far_end))
        far_end.outbox += lines

    def arrive(self, key: int, far_end: FarEnd) -> None:
        """Answers reach the pooler."""
        lines, far_end.outbox = far_end.outbox, []
        connection = self.core.connections.get(key)
        if connection and not self.backends[connection.backend].dark:
            self.answer(connection, *lines)

    # ------------------------------------------------------------ clients
    def join(self, database: str) -> None:
        """One more client."""
        key = -next(self.ids)
        self.core.session_opened(key, self.now)
        self.core.session_data(key, f"LOGIN {database} me\r\n".encode(), self.now)
        self.core.effects.clear()
        self.clients[key] = SoakClient(self, key, database)

    def new_script(self, client: SoakClient) -> list[str]:
        """What a client does next: a read, a write, or a transaction."""
        client.thing = f"t{next(self.ids)} x"
        if self.random.random() < VALUES_SHARE:
            client.single = True
            return [f"SET v{self.random.randrange(4)} {self.random.randrange(3)}"]
        client.single = self.random.random() < 0.8
        if not client.single:
            texts = [self.random.choice((f"PUT {client.thing}", "FETCH a")) for _one in range(3)]
            texts[-1] = f"PUT {client.thing}"
            texts = texts[self.random.randrange(3) :]
            while texts.count(f"PUT {client.thing}") > 1:
                texts.remove(f"PUT {client.thing}")
            client.first_text = texts[0]
            return ["BEGIN", *texts, "COMMIT"]
        reads = 0.8 if client.database == "search" else 0.3
        return ["FETCH a"] if self.random.random() < reads else [f"PUT {client.thing}"]

    # ------------------------------------------------------------ what must hold
    def check_answer(self, client: SoakClient, last: str) -> None:
        """An answer comes within the longest time-out that was in force, and what must be served is."""
        waited = self.now - client.asked.at
        if waited > client.longest_s + LATE_S:
            details = f"{waited:.2f} s of {client.longest_s}: {client.asked.text}, {last}"
            self.breaches.append(Breach("LATE", details))
        if client.must_serve and last.startswith("ERR"):
            details = f"{client.asked} after {waited:.2f} s: {last}"
            self.breaches.append(Breach("NOT SERVED", details))

    def judge_refusal(self, client: SoakClient, last: str) -> None:
        """A refusal before its time needs a reason: a queue, slow runs lately, a change, or a pooler that can't."""
        waited = self.now - client.asked.at
        code = last.split(" ")[1]
        if code in PROMISES:
            self.promised.append(client.thing)
        left_s = client.shortest_s - waited
        too_slow = any(until > self.now and run_s >= left_s for until, run_s in self.slow_spells)
        early = code == "BUSY" and left_s > 2 * LATE_S and not too_slow
        under_way = len(self.core.active)
        if (
            early
            and client.asked.single
            and under_way <= SLOTS
            and not self.core.isolated
            and self.core.leaving == "serving"
        ):
            details = f"{waited:.2f} s of {client.shortest_s}, {under_way} under way: {client.asked} {last}"
            self.breaches.append(Breach("EARLY", details))

    def check_bounds(self) -> None:
        """What is kept for statements is bounded by the sessions."""
        waiting = self.core.scheduler.waiting_count()
        self.most_waiting = max(self.most_waiting, waiting)
        under_way = [one for one in self.core.active if not one.session.closed]
        if max(waiting, len(under_way)) > len(self.core.sessions):
            self.breaches.append(Breach("QUEUE", f"{waiting} of {len(self.core.sessions)}"))
        if len(self.core.connections) > 3 * 32:
            self.breaches.append(Breach("CONNECTIONS", str(len(self.core.connections))))

    def check_end(self) -> None:
        """Nothing is left, no write is lost, doubled, or kept after a promise."""
        if self.core.scheduler.waiting_count() or self.core.active or not self.ended:
            self.breaches.append(Breach("LEFT", f"{len(self.core.active)} statements"))
        written = Counter(self.backends[PRIMARY].log)
        for thing, times in written.items():
            if times > 1:
                self.breaches.append(Breach("TWICE", thing))
        for thing in self.acknowledged:
            if not written[thing]:
                self.breaches.append(Breach("LOST", thing))
        for thing in self.promised:
            if written[thing]:
                self.breaches.append(Breach("REFUSED", thing))

    # ------------------------------------------------------------ events
    def disturb(self) -> None:
        """From now on nobody must be served because of what was before."""
        self.disturbed_at = self.now
        for client in self.clients.values():
            client.must_serve = False

    def outage(self) -> None:
        backend = self.backends[PRIMARY]
        if backend.down or backend.dark:
            return
        backend.down = True
        backend.incarnation += 1
        backend.busy = 0
        for key in [
            connection.key
            for connection in self.core.connections.values()
            if connection.backend == PRIMARY
        ]:
            self.drop(key)
        self.later(self.random.uniform(0.05, 3.5), self.back)

    def back(self) -> None:
        """The primary is back: few that wait, with time left, are served."""
        backend = self.backends[PRIMARY]
        backend.down = False
        self.records(PRIMARY, role="primary", incarnation=backend.incarnation)
        self.disturb()
        waiting = [client for client in self.clients.values() if client.asked]
        calm = backend.slow == 1.0 and not self.core.isolated and len(waiting) <= SLOTS
        for client in waiting if calm else ():
            left_s = client.asked.at + client.shortest_s - self.now
            client.must_serve = client.asked.single and left_s > SETTLED_S

    def dark(self) -> None:
        backend = self.backends[PRIMARY]
        if backend.down:
            return
        backend.dark = True

        def again() -> None:
            backend.dark = False
            backend.incarnation += 1
            backend.busy = 0
            for connection in list(self.core.connections.values()):
                if connection.backend == PRIMARY:
                    self.drop(connection.key)

        self.later(self.random.uniform(0.05, 2.5), again)

    def slow_down(self) -> None:
        backend = self.backends[self.random.choice("pqr")]
        factor, lasts_s = self.random.choice((3.0, 10.0, 40.0)), self.random.uniform(0.5, 4.0)
        backend.slow = factor
        self.slow_spells.append((self.now + lasts_s + MAX_AGE_S, RUN_S * factor * LONGEST_RUN))
        self.later(lasts_s, lambda: setattr(backend, "slow", 1.0))

    def change_timeouts(self) -> None:
        self.version += 1
        routes = []
        for route in CONFIGURATION["routes"]:
            milliseconds = self.random.choice((200, 500, 1000, 2000, MOST_TIMEOUT_MS))
            goal = self.random.choice((1, 100, 5000))
            routes.append({**route, "tmoMs": milliseconds, "goalMs": goal})
            self.timeouts[route["host"]] = milliseconds / 1000
        for client in self.clients.values():
            if client.asked and client.single:
                timeout_s = self.timeouts[client.database]
                client.shortest_s = min(client.shortest_s, timeout_s)
                client.longest_s = max(client.longest_s, timeout_s)
        self.raw_configuration = {**self.raw_configuration, "routes": routes}
        self.core.apply_configuration(self.configuration(self.version), self.now)
        self.act()

    def change_soon(self) -> None:
        """A change at once, or just as a pause of sends ends and what waits may start."""
        resumes_at = self.core.pools.backends[PRIMARY].send_backoff.resumes_at
        self.change_timeouts()
        self.later(max(0.0, resumes_at - self.now), self.change_timeouts)

    def surge(self) -> None:
        for _client in range(self.random.randint(5, 60)):
            self.join(self.random.choice(("books", "books", "search", "copies")))

    def cut_off(self) -> None:
        self.core.isolated = True
        self.later(self.random.uniform(0.2, 3.0), lambda: setattr(self.core, "isolated", False))

    def leave(self) -> None:
        keys = list(self.clients)
        for key in self.random.sample(keys, k=min(len(keys), self.random.randint(1, 30))):
            client = self.clients[key]
            if self.random.random() < 0.5 and client.asked:
                client.half_closed = True
                completion.session_ended(self.core, key, self.now)
            else:
                client.gone, client.asked = True, None
                del self.clients[key]
                self.core.session_closed(key, self.now)
            self.act()

    # ------------------------------------------------------------ the day
    def play(self) -> "Day":
        """Plays the day."""
        self.advance(1.0)
        for _client in range(3):
            self.join("books")
        events = {
            EventKind.OUTAGE: self.outage,
            EventKind.DARK: self.dark,
            EventKind.SLOW: self.slow_down,
            EventKind.TIMEOUTS: self.change_soon,
            EventKind.SURGE: self.surge,
            EventKind.CUT_OFF: self.cut_off,
            EventKind.LEAVE: self.leave,
        }
        ends_at = self.now + self.seconds
        while self.now < ends_at:
            (kind,) = self.random.choices(list(WEIGHTS), list(WEIGHTS.values()))
            self.events[kind] += 1
            self.disturb()
            events[kind]()
            self.advance(self.random.uniform(0.05, 1.5))
        self.surge()
        self.outage()
        self.advance(self.random.uniform(0.1, 1.0))
        timers.sigterm(self.core, self.now)
        self.advance(self.settings.bounds.grace_s)
        self.check_end()
        return self


def main() -> int:
    """Plays days of following seeds; returns 1 if something was broken."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--count", type=int, default=50)
    parser.add_argument("--seconds", type=float, default=30.0)
    options = parser.parse_args()
    broken = 0
    for seed in range(options.first, options.first + options.count):
        day = Day(seed, options.seconds).play()
        broken += bool(day.breaches)
        print(
            f"seed {seed}: {len(day.acknowledged)} written, {dict(day.outcomes)}, "
            f"{day.most_waiting} waited at most",
            *day.breaches[:5],
            sep="\n    ",
            flush=True,
        )
    print(f"{options.count} days of {options.seconds:.0f} s, {broken} with a breach")
    return int(broken > 0)


if __name__ == "__main__":
    sys.exit(main())
