"""A stand-in for a backend on loopback: its log, its role, and the statements of its connections."""

import json
import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, NamedTuple

import curio

from sumacloom import http
from sumacloom.line_protocol import LineSplitter, encode
from sumacloom.transport.link import dial, listen
from sumacloom.types import Position, parse_position

from .loopback_fleet import BACKEND, CTL, NUMBERS

if TYPE_CHECKING:
    from .standins import Service

RECEIVE_BYTES = 65536
HEARTBEAT_S = 1.2
SLOTS = 9
PLAIN = "plain"  # a transaction that may write
DONE, MALFORMED = "DONE -", "ERR MALFORMED no"


class Entry(NamedTuple):
    """One committed write."""

    term: int
    thing: str
    data: str


@dataclass
class Session:
    """What one connection has open.

    Attributes:
        transaction: its kind, "plain" or "FETCH"; empty outside a transaction.
        writes: not yet committed.
        prepared: the verb of each prepared name.
    """

    transaction: str = ""
    writes: list[Entry] = field(default_factory=list)
    prepared: dict[str, str] = field(default_factory=dict)


class Backend:
    """One stand-in server.

    Attributes:
        log: what it has received.
        runs: how many statements it has run.
        busy: how many run now; those take a slot each.
        starts: how often it was started; connections of an earlier start run nothing more.
        listening: the task that accepts connections; it ends when the backend dies.
    """

    def __init__(self, number: int, service: "Service"):
        self.name, self.zone = f"i-{number}", f"zone-{'abc'[number - 1]}"
        self.ip = service.network.backend(number)
        self.service = service
        self.role, self.term = ("primary" if number == 1 else "replica"), 1
        self.log: list[Entry] = []
        self.seq, self.dead, self.runs, self.busy = 0, False, 0, 0
        self.starts = 1
        self.connections: set[Any] = set()
        self.listening: curio.Task | None = None
        self._administrative: Mapping[str, Callable[[str], list[str]]] = {
            "STAT": self._status,
            "STEPDOWN": self._step_down,
            "PAUSE": self._status,
            "CONT": self._status,
        }
        self._unlogged: Mapping[str, Callable[[str, Session], list[str]]] = {
            "PREP": self._prepare,
            "SET": self._set_value,
            "FREE": self._set_value,
            "RESET": self._reset,
            "BEGIN": self._begin,
            "ABORT": self._abort,
        }
        self._logged: Mapping[str, Callable[[str, Session], list[str]]] = {
            "FETCH": self._fetch,
            "PUT": self._put,
            "COMMIT": self._commit,
        }

    @property
    def position(self) -> Position:
        """How far its log reaches."""
        return Position(self.log[-1].term if self.log else self.term, len(self.log))

    # ------------------------------------------------------------ connections
    async def serve(self) -> None:
        """Accepts connections until it dies."""
        async with listen(self.ip, BACKEND) as sock:
            while True:
                client, _address = await sock.accept()
                await curio.spawn(self._serve_connection, client, daemon=True)

    async def _serve_connection(self, sock: Any) -> None:
        self.connections.add(sock)
        splitter, session, starts = LineSplitter(), Session(), self.starts
        try:
            async with sock:
                while data := await sock.recv(RECEIVE_BYTES):
                    for line in splitter.feed(data):
                        reply = await self._answer_in_time(line, session, starts)
                        if reply is None or self.has_ended(starts):
                            return
                        await sock.sendall(encode(*reply))
        except OSError:
            pass
        finally:
            self.connections.discard(sock)

    def has_ended(self, starts: int) -> bool:
        """Whether the process that a connection belongs to has died, even if it was started again."""
        return self.dead or starts != self.starts

    async def _answer_in_time(self, line: str, session: Session, starts: int) -> list[str] | None:
        """Answers a line; a read, write or COMMIT holds a slot for the service's run time, or is shed."""
        if self.has_ended(starts):
            return None
        words = line.split(" ")
        if not self.service.run_s or not set(words[2:5]) & set(self._logged):
            return self._answer(line, session)
        if self.busy >= self.service.slots:
            letter = "T" if session.transaction else "I"
            return ["ERR BUSY no slot", f"READY {letter} {self.position}"]
        self.busy += 1
        try:
            await curio.sleep(self.service.run_s)
            return None if self.has_ended(starts) else self._answer(line, session)
        finally:
            self.busy -= not self.has_ended(starts)

    def _answer(self, line: str, session: Session) -> list[str] | None:
        """The lines of a reply; None ends the connection."""
        word, _blank, rest = line.partition(" ")
        if word == "LOGIN":
            service, _who, *expected = rest.split(" ")
            if service != self.service.name or (expected and expected[0] != self.name):
                return ["ERR WRONGHOST not here"]
            return [f"READY I {self.position}"]
        if word != "QUERY":
            return None
        _id, _blank, text = rest.partition(" ")
        lines = self.run(text, session)
        letter = "T" if session.transaction else "I"
        return [*lines, f"READY {letter} {self.position}"]

    # ------------------------------------------------------------ statements
    def run(self, text: str, session: Session) -> list[str]:
        """Runs a statement; returns the lines of its result."""
        verb, _blank, rest = text.partition(" ")
        if verb == "WAITPOS":
            position, _blank, text = rest.partition(" ")
            if not self._holds(position):
                return [f"ERR LAGGING {self.name}"]
            verb, _blank, rest = text.partition(" ")
        if verb == "EXEC":
            name, _blank, rest = rest.partition(" ")
            if name not in session.prepared:
                return ["ERR NOSUCH no such name"]
            verb = session.prepared[name]
        if verb in self._administrative:
            return self._administrative[verb](rest)
        if verb in self._unlogged:
            return self._unlogged[verb](rest, session)
        if verb not in self._logged:
            return [MALFORMED]
        if self.role != "primary" and (verb == "PUT" or session.transaction == PLAIN):
            session.transaction = ""
            return [f"ERR RO {self.name}"]
        self.runs += 1
        return self._logged[verb](rest, session)

    def _holds(self, text: str) -> bool:
        position = parse_position(text)
        return position is not None and position <= self.position

    def _status(self, _rest: str = "") -> list[str]:
        row = f"{self.role} {self.term} {self.position} 0 0 0 {len(self.connections)}"
        return [f"ROW {row}", DONE]

    def _step_down(self, rest: str) -> list[str]:
        self.role, self.term = "replica", int(rest)
        return self._status()

    def _prepare(self, rest: str, session: Session) -> list[str]:
        name, verb, _shape = rest.split(" ", 2)
        session.prepared[name] = verb
        return [DONE]

    def _set_value(self, _rest: str, _session: Session) -> list[str]:
        return [DONE]

    def _reset(self, _rest: str, session: Session) -> list[str]:
        session.prepared.clear()
        return [DONE]

    def _begin(self, rest: str, session: Session) -> list[str]:
        if rest != "FETCH" and self.role != "primary":
            return [f"ERR RO {self.name}"]
        session.transaction, session.writes = rest or PLAIN, []
        return [DONE]

    def _abort(self, _rest: str, session: Session) -> list[str]:
        session.transaction, session.writes = "", []
        return [DONE]

    def _fetch(self, rest: str, session: Session) -> list[str]:
        found = [entry.data for entry in self.log + session.writes if entry.thing == rest]
        return [*(f"ROW {data}" for data in found[-1:]), self._done_with_stamp()]

    def _put(self, rest: str, session: Session) -> list[str]:
        thing, _blank, data = rest.partition(" ")
        session.writes.append(Entry(self.term, thing, data))
        if not session.transaction:
            self._commit_writes(session)
        return [self._done_with_stamp()]

    def _commit(self, _rest: str, session: Session) -> list[str]:
        if not session.transaction:
            return [MALFORMED]
        self._commit_writes(session)
        session.transaction = ""
        return [self._done_with_stamp()]

    def _commit_writes(self, session: Session) -> None:
        self.service.commit(self, session.writes)
        session.writes = []

    def _done_with_stamp(self) -> str:
        return f"DONE {self.runs}.{self.name}"

    # ------------------------------------------------------------ life
    async def send_heartbeats(self) -> None:
        """Tells the first controller that acknowledges, every so often and when the role has changed."""
        while True:
            if not self.dead:
                await self._send_heartbeat()
            await self.service.await_role_change(self, HEARTBEAT_S)

    async def _send_heartbeat(self) -> None:
        self.seq += 1
        record = {
            "svc": self.service.name,
            "addr": f"{self.ip}:{BACKEND}",
            "az": self.zone,
            "ver": "v1",
            "slots": SLOTS,
            "phase": "up",
            "coldLeftMs": 0,
            "dbrole": self.role,
            "seq": self.seq,
        }
        for number in NUMBERS:
            response = await http.call(
                dial,
                (self.service.network.controller(number), CTL),
                "PUT",
                f"/api/instances/{self.name}",
                json.dumps(record).encode(),
            )
            if 200 <= response.status < 300:
                break

    async def die(self) -> None:
        """Ends as a crashed process does: nothing listens any more, and open connections end."""
        self.dead, self.busy = True, 0
        if self.listening:
            await self.listening.cancel()
        for sock in list(self.connections):
            sock._socket.shutdown(socket.SHUT_RDWR)

    async def come_back(self) -> None:
        """Starts again with its log, as a replica of the present primary if another was promoted."""
        primary = next(one for one in self.service.backends if one.role == "primary")
        if primary is not self:
            self.log, self.term = list(primary.log), primary.term
        self.dead, self.starts = False, self.starts + 1
        self.listening = await curio.spawn(self.serve, daemon=True)
        await self.service.send_heartbeat_of(self)
