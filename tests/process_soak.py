"""Random days of a fleet of real programs on loopback, some of the release in production and some of today's.

Clients keep their connections until the process at the other end is gone; signals, restarts, changes and
the death of a primary come in series and overlap. Times are those of the real machine, so a seed repeats
the events, not what happens between them.

    python3 -m tests.process_soak --first 0 --count 50 --seconds 12
    python3 -m tests.process_soak --controllers 5 --poolers 150 --clients 1 --count 2
"""

import argparse
import pathlib
import random
import shutil
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterator
from enum import Enum, auto
from signal import SIGHUP, SIGKILL, SIGTERM
from typing import Any, NamedTuple

from . import libraries

if __name__ == "__main__":
    libraries.install()

import curio

from sumacloom.daemon import run_to_end

from .daemon_logs import find_errors
from .fleet_client import FleetClient, StateNotReachedError, await_state
from .fleet_members import CONTROLLER, POOLER, Member, Members
from .loopback_fleet import Network
from .paths import ROOT
from .production import build_production
from .soak_clients import Outcome, SoakClient, Statement
from .soak_operator import SoakOperator
from .standins import Service

GAP_S = (0.02, 0.6)  # between two events
SERIES = (1, 5)  # signals in a series
SERIES_GAP_S = (0.0, 0.3)
AWAY_S = (0.1, 2.5)  # of a primary that comes back
RUNS_S, OVERLOAD_S, FEW_SLOTS = (0.05, 0.2, 0.5), (0.5, 3.0), 2
START_S = 40.0
RETURN_S = 30.0


class Sizes(NamedTuple):
    """How large the fleet is.

    Attributes:
        clients: of each pooler.
        seconds: how long events come.
    """

    controllers: int = 3
    poolers: int = 3
    clients: int = 4
    seconds: float = 12.0


class Breach(NamedTuple):
    """Something that must not be."""

    kind: str
    details: str


class EventKind(Enum):
    """What happens to the fleet."""

    STOP_POOLER = auto()
    KILL_POOLER = auto()
    STOP_CONTROLLER = auto()
    KILL_CONTROLLER = auto()
    HANG_UP = auto()
    CHANGE = auto()
    UNDO = auto()
    LOSE_PRIMARY = auto()
    RESTART_PRIMARY = auto()  # it is back while statements wait
    OVERLOAD = auto()  # more is asked than the slots bear


WEIGHTS = {
    EventKind.STOP_POOLER: 6.0,
    EventKind.KILL_POOLER: 2.0,
    EventKind.STOP_CONTROLLER: 3.0,
    EventKind.KILL_CONTROLLER: 2.0,
    EventKind.HANG_UP: 5.0,
    EventKind.CHANGE: 4.0,
    EventKind.UNDO: 2.0,
    EventKind.LOSE_PRIMARY: 0.5,
    EventKind.RESTART_PRIMARY: 2.0,
    EventKind.OVERLOAD: 2.0,
}


class Day:
    """One random day.

    Attributes:
        breaches: what was broken; empty on a good day.
        events: what was begun, by kind.
        statements: all that clients sent.
    """

    def __init__(
        self, seed: int, sizes: Sizes, folder: pathlib.Path, network: Network, releases: list[str]
    ):
        self.random, self.sizes, self.releases = random.Random(seed), sizes, releases
        self.members = Members(folder, network)
        self.client = FleetClient(network)
        self.service = Service(network)
        self.operator = SoakOperator(network)
        self.breaches: list[Breach] = []
        self.events: Counter[EventKind] = Counter()
        self.statements: list[Statement] = []
        self._lost_primaries: list[float] = []
        self._busy: set[Member] = set()
        self._tasks: list[Any] = []

    # ------------------------------------------------------------ the day
    async def run(self) -> None:
        """Plays the day and looks for what was broken."""
        await self._begin()
        clients = [
            SoakClient(self.members, Member(POOLER, number), self.statements, self.random.random())
            for number in range(1, self.sizes.poolers + 1)
            for _one in range(self.sizes.clients)
        ]
        talking = [await curio.spawn(client.run, daemon=True) for client in clients]
        await self._play_events()
        await self._await_return()
        for client in clients:
            client.over = True
        for task in talking:
            await task.join()
        await self.members.stop_all()
        self.breaches += self._find_breaches()

    async def _begin(self) -> None:
        await self.service.run()
        for role, count in ((CONTROLLER, self.sizes.controllers), (POOLER, self.sizes.poolers)):
            for number in range(1, count + 1):
                source = self.random.choice(self.releases)
                self.members.start(Member(role, number), source, bootstrap=True)
        await await_state("the first configuration", self.operator.change, START_S)
        await self._serves(START_S)

    async def _serves(self, seconds: float) -> None:
        for number in range(1, self.sizes.poolers + 1):
            await await_state(
                f"reads at pooler {number}", lambda at=number: self._reads(at), seconds
            )

    async def _reads(self, number: int) -> bool:
        return "DONE" in str(await self.client.talk(number, "books", "FETCH none"))

    async def _play_events(self) -> None:
        ends_at = time.monotonic() + self.sizes.seconds
        while time.monotonic() < ends_at:
            (kind,) = self.random.choices(list(WEIGHTS), list(WEIGHTS.values()))
            await self._begin_event(kind)
            await curio.sleep(self.random.uniform(*GAP_S))
        for task in self._tasks:
            try:
                await task.join()
            except curio.TaskError as error:
                self.breaches.append(Breach("NOT BACK", str(error.__cause__)))

    async def _begin_event(self, kind: EventKind) -> None:
        event = {
            EventKind.STOP_POOLER: lambda: self._restart(POOLER, SIGTERM),
            EventKind.KILL_POOLER: lambda: self._restart(POOLER, SIGKILL),
            EventKind.STOP_CONTROLLER: lambda: self._restart(CONTROLLER, SIGTERM),
            EventKind.KILL_CONTROLLER: lambda: self._restart(CONTROLLER, SIGKILL),
            EventKind.HANG_UP: self._hang_up,
            EventKind.CHANGE: lambda: self.operator.change,
            EventKind.UNDO: lambda: self.operator.undo,
            EventKind.LOSE_PRIMARY: self._lose_primary,
            EventKind.RESTART_PRIMARY: self._restart_primary,
            EventKind.OVERLOAD: self._overload,
        }[kind]()
        if event is not None:
            self.events[kind] += 1
            self._tasks.append(await curio.spawn(event))

    async def _await_return(self) -> None:
        try:
            await self._serves(RETURN_S)
            await await_state("a change after all", self.operator.change, RETURN_S)
            await await_state("all hold it", self._holds_newest, RETURN_S)
        except StateNotReachedError as error:
            self.breaches.append(Breach("NOT BACK", str(error)))

    async def _holds_newest(self) -> bool:
        rows = await self.client.shown("poolers") + await self.client.shown("controllers")
        held = [row["blueprint"] for row in rows if row["node"]]
        wanted = self.sizes.poolers + self.sizes.controllers
        return len(held) == wanted and set(held) == {self.operator.newest}

    # ------------------------------------------------------------ events
    def _choose(self, role: str) -> Member | None:
        """A member that no other event stops now; one controller at a time is as many as are borne."""
        count = self.sizes.controllers if role == CONTROLLER else self.sizes.poolers
        busy = [member for member in self._busy if member.role == role]
        if role == CONTROLLER and busy:
            return None
        free = [Member(role, n) for n in range(1, count + 1) if Member(role, n) not in self._busy]
        return self.random.choice(free) if free else None

    def _restart(self, role: str, by: int) -> Callable[[], Any] | None:
        member = self._choose(role)
        if member is None:
            return None
        source = self.random.choice(self.releases)
        series = [self.random.uniform(*SERIES_GAP_S) for _one in range(self.random.randint(0, 3))]

        async def restart() -> None:
            process = await self.members.await_signal_handlers(member)
            ending = await curio.spawn(self.members.end, member, by)
            for pause_s in series if by == SIGTERM else ():
                await curio.sleep(pause_s)
                if process.poll() is None:
                    process.send_signal(SIGTERM if pause_s < sum(SERIES_GAP_S) / 2 else SIGHUP)
            await ending.join()
            self.members.start(member, source)
            if role == CONTROLLER:
                await await_state(f"{member} votes", lambda: self.operator.votes(member.number))
            self._busy.discard(member)

        self._busy.add(member)
        return restart

    def _hang_up(self) -> Callable[[], Any]:
        members = self.random.sample(list(self.members.processes), k=min(3, self.sizes.poolers))
        pauses = [self.random.uniform(*SERIES_GAP_S) for _ in range(self.random.randint(*SERIES))]

        async def hang_up() -> None:
            for pause_s in pauses:
                for member in members:
                    process = await self.members.await_signal_handlers(member)
                    if process.poll() is None:
                        process.send_signal(SIGHUP)
                await curio.sleep(pause_s)

        return hang_up

    def _lose_primary(self) -> Callable[[], Any] | None:
        alive = [backend for backend in self.service.backends if not backend.dead]
        if len(alive) < len(self.service.backends):
            return None

        async def lose() -> None:
            self._lost_primaries.append(time.monotonic())
            for backend in alive:
                if backend.role == "primary":
                    await backend.die()

        return lose

    def _restart_primary(self) -> Callable[[], Any] | None:
        living = [one for one in self.service.backends if one.role == "primary" and not one.dead]
        if not living or len([one for one in self.service.backends if one.dead]) > 0:
            return None
        away_s = self.random.uniform(*AWAY_S)

        async def restart() -> None:
            self._lost_primaries.append(time.monotonic())
            await living[0].die()
            await curio.sleep(away_s)
            await living[0].come_back()

        return restart

    def _overload(self) -> Callable[[], Any] | None:
        if self.service.run_s:
            return None
        run_s, lasts_s = self.random.choice(RUNS_S), self.random.uniform(*OVERLOAD_S)

        async def overload() -> None:
            self.service.run_s, self.service.slots = run_s, FEW_SLOTS
            await curio.sleep(lasts_s)
            self.service.run_s = 0.0

        return overload

    # ------------------------------------------------------------ what must hold
    def _find_breaches(self) -> Iterator[Breach]:
        for end in self.members.wrong_ends:
            yield Breach("END", str(end))
        written = Counter(self._written())
        for statement in self.statements:
            times = written[statement.thing]
            if statement.outcome is Outcome.ACKNOWLEDGED and times == 0:
                yield Breach("LOST WRITE", str(statement))
            if statement.outcome is Outcome.PROMISED and times:
                yield Breach("KEPT", f"though it was promised not: {statement}")
            if statement.outcome is Outcome.SILENT:
                yield Breach("SILENT", str(statement))
            if times > 1:
                yield Breach("TWICE", f"{times} times: {statement}")
            if self._was_cut(statement) and times:
                yield Breach("CUT", f"run, and no answer: {statement}")
        for name, text in self.members.logs().items():
            yield from (Breach("ERROR", f"{name}: {error}") for error in find_errors(text))

    def _written(self) -> list[str]:
        primaries = [one for one in self.service.backends if one.role == "primary" and not one.dead]
        return [thing for primary in primaries for _term, thing, _data in primary.log]

    def _was_cut(self, statement: Statement) -> bool:
        """Whether a process that was stopped in order ended a connection without the answer."""
        return (
            statement.outcome is Outcome.UNANSWERED
            and statement.process_exit_code() == 0
            and not any(
                statement.sent_at - 1 <= at <= statement.ended_at for at in self._lost_primaries
            )
        )

    def summary(self) -> str:
        """One line for the reader."""
        outcomes = Counter(statement.outcome.name.lower() for statement in self.statements)
        events = ", ".join(f"{count} {kind.name.lower()}" for kind, count in self.events.items())
        return f"{dict(outcomes)}; {events}; {len(self.breaches)} breaches"


def play(seed: int, sizes: Sizes, network: Network, releases: list[str]) -> Day:
    """Plays one day in a folder of its own, which is removed unless something was broken."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    day = Day(seed, sizes, folder, network, releases)
    try:
        run_to_end(day.run)
    finally:
        day.members.kill_all()
    if day.breaches:
        day.breaches.append(Breach("LOGS", str(folder)))
    else:
        shutil.rmtree(folder)
    return day


def main(arguments: list[str]) -> int:
    """Plays days of following seeds; returns 1 if something was broken."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter
    )
    parser.add_argument("--first", type=int, default=0, help="the first seed")
    parser.add_argument("--count", type=int, default=10, help="how many seeds")
    parser.add_argument("--network", type=int, default=20, help="number of the loopback network")
    parser.add_argument(
        "--old", default="", help="sources in production, if they are built already"
    )
    for name, default in Sizes()._asdict().items():
        parser.add_argument(f"--{name}", type=type(default), default=default)
    options = parser.parse_args(arguments)
    sizes = Sizes(*(getattr(options, name) for name in Sizes._fields))
    broken = 0
    with tempfile.TemporaryDirectory() as folder:
        releases = [options.old or build_production(pathlib.Path(folder)), ROOT]
        for seed in range(options.first, options.first + options.count):
            day = play(seed, sizes, Network(options.network), releases)
            broken += bool(day.breaches)
            print(f"seed {seed}: {day.summary()}", *day.breaches, sep="\n    ", flush=True)
    print(f"{options.count} days, {broken} with a breach")
    return int(broken > 0)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
