"""Clients of the soak: each keeps its connection until the process at the other end closes it."""

import itertools
import random
import subprocess
import time
from enum import Enum, auto

import curio

from sumacloom.line_protocol import LineSplitter, encode
from sumacloom.transport.link import dial

from .fleet_members import Member, Members
from .loopback_fleet import FE

ANSWER_S = 8.0
PAUSE_S = (0.0, 0.06)
REDIAL_S = 0.05
EXIT_S = 20.0
RECEIVE_BYTES = 65536
TRANSACTION_SHARE = 0.3
PROMISES = ("BUSY", "ROLLEDBACK", "LAGGING", "RO", "WRONGHOST", "MAXCONN")
_numbers = itertools.count()


class Outcome(Enum):
    """What a client saw of a write."""

    ACKNOWLEDGED = auto()
    PROMISED = auto()  # that nothing of it is kept
    REFUSED = auto()  # without a promise
    UNANSWERED = auto()  # the connection ended
    SILENT = auto()  # nothing came in time


class Statement:
    """A write that a client sent, under a name of its own.

    Attributes:
        thing: what it wrote.
        sources: the folder that the process asked runs from.
        sent_at, ended_at: seconds on the steady clock; the end is the answer, or the connection's end.
        outcome: what the client saw.
    """

    def __init__(self, member: Member, process: subprocess.Popen, sources: str):
        self.thing = f"thing-{next(_numbers)}"
        self.member, self._process, self.sources = member, process, sources
        self.sent_at = self.ended_at = time.monotonic()
        self.outcome = Outcome.SILENT

    def process_exit_code(self) -> int | None:
        """With what the process that was asked ended; None while it runs."""
        return self._process.poll()

    def __str__(self) -> str:
        lasted_ms = 1000 * (self.ended_at - self.sent_at)
        return f"{self.thing} at {self.member} (process {self._process.pid}), {lasted_ms:.0f} ms, {self.outcome.name}"


class ConnectionEndedError(Exception):
    """The process at the other end closed or reset the connection."""


class SoakClient:
    """One client of one pooler.

    Attributes:
        over: set from outside; the client then ends between two statements.
    """

    def __init__(self, members: Members, member: Member, statements: list[Statement], seed: float):
        self.over = False
        self._members, self._member, self._statements = members, member, statements
        self._random = random.Random(seed)

    async def run(self) -> None:
        """Talks until it is over; a connection that ended is followed by another."""
        while not self.over:
            process, sources = self._members.process_of(self._member)
            try:
                sock = await dial(self._members.network.pooler(self._member.number), FE)
                async with sock:
                    await self._talk(sock, process, sources)
            except (OSError, ConnectionEndedError, curio.TaskTimeout):
                await curio.sleep(REDIAL_S)

    async def _talk(self, sock, process: subprocess.Popen, sources: str) -> None:
        splitter = LineSplitter()
        await self._ask(sock, splitter, "LOGIN books someone")
        while not self.over:
            statement = Statement(self._member, process, sources)
            self._statements.append(statement)
            try:
                statement.outcome = await self._write(sock, splitter, statement.thing)
            except (OSError, ConnectionEndedError):
                statement.outcome = Outcome.UNANSWERED
                raise
            finally:
                statement.ended_at = time.monotonic()
            await curio.sleep(self._random.uniform(*PAUSE_S))

    async def _write(self, sock, splitter: LineSplitter, thing: str) -> Outcome:
        texts = [f"PUT {thing} data"]
        if self._random.random() < TRANSACTION_SHARE:
            texts = ["BEGIN", *texts, "COMMIT"]
        for number, text in enumerate(texts):
            lines = await self._ask(sock, splitter, f"QUERY q{number} {text}")
            errors = [line.split(" ")[1] for line in lines if line.startswith("ERR")]
            if errors:
                if not lines[-1].startswith("READY I"):
                    await self._ask(sock, splitter, "QUERY end ABORT")  # else nothing runs any more
                return Outcome.PROMISED if errors[0] in PROMISES else Outcome.REFUSED
        return Outcome.ACKNOWLEDGED

    @staticmethod
    async def _ask(sock, splitter: LineSplitter, text: str) -> list[str]:
        lines: list[str] = []
        async with curio.timeout_after(ANSWER_S):
            await sock.sendall(encode(text))
            while not any(line.startswith("READY") for line in lines):
                data = await sock.recv(RECEIVE_BYTES)
                if not data:
                    raise ConnectionEndedError
                lines += splitter.feed(data)
        return lines
