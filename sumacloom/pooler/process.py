"""The counter's shell: sockets and clock around the floor."""

import secrets
import time

import curio

from sumacloom import http
from sumacloom.logs import Scribe
from sumacloom.pooler import (
    admission,
    completion,
    connection_loss,
    delivery,
    server_results,
    timers,
)
from sumacloom.pooler.core import Floor
from sumacloom.pooler.membership import Member
from sumacloom.pooler.status_report import report_of
from sumacloom.settings import FileWatch, Settings, read_settings, split_address
from sumacloom.signals import Signals
from sumacloom.transport.link import Outlet, accept_all, dial, kept, listen, tune
from sumacloom.transport.messages import Held
from sumacloom.transport.update_cache import Board

scribe = Scribe("counter")
TICK_S = 0.05
KEPT_DESCRIPTORS = 600
MOST_WAITING = 16


def caller_of(sock) -> str:
    """The address of the far end; empty once it is gone.

    >>> caller_of(None)
    ''
    """
    try:
        return sock._socket.getpeername()[0]
    except (OSError, AttributeError):
        return ""


class Shell:
    """One running counter."""

    def __init__(self, settings: Settings):
        self.settings = settings
        self.life = secrets.randbits(48)
        self.floor = Floor(settings, self.life)
        self.outlets: dict = {}  # session or wire key: outlet
        self.blocked: set = set()
        self.next_session = 0
        self.most_sessions = max(64, settings.limits.nofile - KEPT_DESCRIPTORS)
        self.over = False
        self.signals = Signals().listen()
        self.watch = FileWatch()
        self.member = Member(
            settings,
            self.now,
            self.take_news,
            self.floor.yard,
            self.floor.mishaps,
            self.report,
            self.life,
            self.hear_spool,
        )
        self.member.minds = self.floor.pooling.minds

    @staticmethod
    def now() -> float:
        """The steady clock.

        >>> Shell.now() <= Shell.now()
        True
        """
        return time.monotonic()

    # ------------------------------------------------------------ effects
    async def act(self) -> None:
        """Does what the floor asked for."""
        while self.floor.effects:
            effects, self.floor.effects = self.floor.effects, []
            for kind, *rest in effects:
                if kind == "send":
                    self.send(*rest)
                elif kind == "shut":
                    self.shut(*rest)
                elif kind == "spool":
                    self.member.say(*rest)
                elif kind == "dial":
                    await curio.spawn(self.run_wire, *rest, daemon=True)
                elif kind == "exit":
                    self.over = True

    def send(self, key, data: bytes) -> None:
        """Bytes for a session or a wire."""
        outlet = self.outlets.get(key)
        if outlet is None:
            return
        if not outlet.send(data):
            self.shut(key)
        elif outlet.waiting:
            self.blocked.add(key)

    def shut(self, key) -> None:
        """Ends a connection; its reader then sees the end."""
        outlet = self.outlets.pop(key, None)
        self.blocked.discard(key)
        if outlet is None:
            return
        outlet.flush()
        outlet.closed = True
        try:
            outlet.sock._socket.shutdown(2)
        except OSError:
            pass

    async def run_wire(self, key: int, host: str, port: int) -> None:
        """Dials a backend and reads from it to the end."""
        wire = self.floor.wires.get(key)
        try:
            sock = await dial(host, port)
        except OSError as error:
            await self.end_wire(key, str(error))
            return
        async with sock:
            wire = self.floor.wires.get(key)
            if wire is None:
                return
            outlet = self.outlets[key] = Outlet(sock)
            outlet.send(wire.login(self.settings.node))
            why = "it was closed"
            try:
                while True:
                    data = await sock.recv(65536)
                    if not data:
                        break
                    server_results.wire_data(self.floor, key, data, self.now())
                    await self.act()
            except OSError as error:
                why = str(error)
            await self.end_wire(key, why)

    async def end_wire(self, key: int, why: str) -> None:
        """A wire has ended."""
        self.outlets.pop(key, None)
        wire = self.floor.wires.get(key)
        if wire:
            connection_loss.wire_lost(self.floor, wire, why, self.now())
            if self.floor.mishaps:
                self.member.beat()
        await self.act()

    async def run_session(self, sock) -> None:
        """Reads from a client to the end."""
        if len(self.floor.sessions) >= self.most_sessions:
            async with sock:
                return
        self.next_session -= 1
        key = self.next_session
        floor = self.floor
        tune(sock._socket, 10_000)
        async with sock:
            self.outlets[key] = Outlet(sock)
            floor.session_opened(key, self.now(), caller_of(sock))
            session = floor.sessions[key]
            try:
                while True:
                    data = await sock.recv(65536)
                    if not data:
                        break
                    floor.session_data(key, data, self.now())
                    await self.act()
                    while len(session.waiting) > MOST_WAITING and not session.closed:
                        await curio.sleep(0.02)
                completion.session_ended(floor, key, self.now())
                await self.act()
                while key in self.outlets and not session.closed:
                    await curio.sleep(TICK_S)
            except OSError:
                pass
            self.outlets.pop(key, None)
            floor.session_closed(key, self.now())
            await self.act()

    # ------------------------------------------------------------ news
    async def take_news(self, _news) -> None:
        """The board has something newer."""
        board: Board = self.member.board
        now = self.now()
        if board.blueprint:
            self.floor.take_blueprint(board.blueprint, now)
        self.floor.yard.take_evacuations(board.zones, now)
        self.floor.pooling.take(board.pooling, board.pool_rows)
        self.floor.take_records(list(board.records.values()), now)
        await self.act()

    async def hear_spool(self, message) -> None:
        """A registrar holds an intent, or has noted a verdict."""
        if isinstance(message, Held):
            delivery.intent_held(self.floor, message, self.now())
            await self.act()
        elif message.life == self.life:
            self.floor.spooling.note(message.database, message.number)

    def report(self) -> dict:
        """What this counter tells the admin API when asked."""
        return report_of(self.floor, self.member, self.now())

    # ------------------------------------------------------------ running
    async def clock(self) -> None:
        """Ticks until this counter has left."""
        while not self.over:
            await curio.sleep(TICK_S)
            if self.signals.take_hangup() or self.watch.changed(self.now()):
                self.reread()
            if self.signals.ending:
                timers.sigterm(self.floor, self.now())
            self.member.look(self.now())
            yard = self.floor.yard
            yard.settled = self.member.settled
            if self.member.settled or self.member.members > yard.members:
                yard.count_members(self.member.members, self.now())
            lanes = self.member.board.lanes
            guarded = bool(self.floor.blueprint and self.floor.blueprint.limits.guarded)
            access, now = self.member.board.access, self.now()
            lapsed = not self.member.lease.held(now)
            admission.take_access(self.floor, access, lapsed, now)
            used = self.member.must_be_sure(guarded or lapsed)
            self.floor.take_lanes(lanes.databases, self.member.sure and not lapsed, used, now)
            listeners = self.member.board.listeners
            self.floor.spooling.listen(
                [database for _name, database, _state in listeners.rows],
                bool(listeners.generation) and not self.member.sure,
            )
            self.member.feed_children()
            self.floor.alone = self.member.settled and not self.member.sure
            self.member.leaving = self.floor.leaving != "serving"
            timers.tick(self.floor, self.now())
            for key in list(self.blocked):
                outlet = self.outlets.get(key)
                if outlet is None or outlet.flush():
                    self.blocked.discard(key)
            if self.floor.mishaps:
                self.member.beat()
            await self.act()

    async def serve_ready(self, sock) -> None:
        """Tells the platform whether to send clients here."""

        async def handler(request):
            path = request.path.partition("?")[0]
            if path != "/api/ready":
                return http.Reply(404)
            if request.method != "GET":
                return http.Reply(405)
            return http.Reply(200 if self.floor.ready else 503)

        await http.serve_wire(sock, handler, 4096)

    def reread(self) -> None:
        """Reads the settings file again; nothing is dropped, a bad file changes nothing."""
        result = read_settings("counter")
        if result.is_err():
            scribe.warn("the old settings stay: %s", result.err().sentence)
            return
        fresh = result.ok()
        self.settings.bounds, self.settings.health, self.settings.seeds = (
            fresh.bounds,
            fresh.health,
            fresh.seeds,
        )
        scribe.say("the settings were read again")

    async def main(self) -> int:
        """Runs until SIGTERM, then leaves in order."""
        settings = self.settings
        for name, serve in (("fe", self.run_session), ("readyz", self.serve_ready)):
            sock = listen(*split_address(getattr(settings.listen, name)))
            await curio.spawn(kept, scribe, accept_all, sock, serve, daemon=True)
        await curio.spawn(kept, scribe, self.member.serve_children, daemon=True)
        await curio.spawn(kept, scribe, self.member.attach, daemon=True)
        scribe.say("serving at %s", settings.listen.fe)
        await kept(scribe, self.clock)
        scribe.say("gone")
        return 0
