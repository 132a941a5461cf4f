"""The pooler's process: sockets and clock around the core."""

import logging
import secrets
import time

import curio

from sumacloom import http
from sumacloom.errors import SumacloomError
from sumacloom.metrics import Metric, serve_metrics
from sumacloom.pooler import (
    admission,
    completion,
    connection_loss,
    delivery_intents,
    server_results,
    timers,
)
from sumacloom.pooler.closing_buffers import ClosingBuffers, end_connection
from sumacloom.pooler.controller_session import ControllerSession
from sumacloom.pooler.core import PoolerCore
from sumacloom.pooler.effects import Close, Dial, Effect, Exit, Send, SendToController
from sumacloom.pooler.metrics import metrics_of
from sumacloom.pooler.status_report import report_of
from sumacloom.settings import POOLER, FileWatch, Settings, read_settings, split_address
from sumacloom.signals import Signals
from sumacloom.transport.link import (
    SendBuffer,
    accept_forever,
    configure_socket,
    dial,
    listen,
    run_forever,
)
from sumacloom.transport.messages import IntentStored
from sumacloom.transport.update_cache import UpdateCache

logger = logging.getLogger(__name__)
TICK_S = 0.05
KEPT_DESCRIPTORS = 600
MOST_WAITING = 16
LAST_ANSWER_SHARE = 0.95  # of graceS: until when answers may still go out


def caller_of(sock) -> str:
    """The address of the far end; empty once it is gone.

    >>> caller_of(None)
    ''
    """
    try:
        return sock._socket.getpeername()[0]
    except (OSError, AttributeError):
        return ""


class PoolerProcess:
    """One running pooler."""

    def __init__(self, settings: Settings, signals: Signals):
        self.settings = settings
        self.incarnation = secrets.randbits(48)
        self.core = PoolerCore(settings, self.incarnation)
        self.send_buffers: dict = {}  # session or connection key: send buffer
        self.blocked: set = set()
        self.closing = ClosingBuffers()
        self.next_session = 0
        self.most_sessions = max(64, settings.limits.nofile - KEPT_DESCRIPTORS)
        self.over = False
        self.signals = signals
        self.watch = FileWatch()
        self.controller_session = ControllerSession(
            settings,
            self.now,
            self.apply_update,
            self.core.pools,
            self.core.failed_backends,
            self.report,
            self.incarnation,
            self.receive_delivery_reply,
        )
        self.controller_session.pool_mode_votes = self.core.pool_modes.pool_mode_votes

    @staticmethod
    def now() -> float:
        """The steady clock.

        >>> PoolerProcess.now() <= PoolerProcess.now()
        True
        """
        return time.monotonic()

    # ------------------------------------------------------------ effects
    async def run_effects(self) -> None:
        """Does what the core asked for."""
        while self.core.effects:
            effects, self.core.effects = self.core.effects, []
            for effect in effects:
                await self.run_effect(effect)

    async def run_effect(self, effect: Effect) -> None:
        """Does one thing that the core asked for."""
        if isinstance(effect, Send):
            self.send(effect.key, effect.data)
        elif isinstance(effect, Close):
            self.shut(effect.key)
        elif isinstance(effect, SendToController):
            self.controller_session.say(effect.message)
        elif isinstance(effect, Dial):
            await curio.spawn(self.run_server_connection, *effect, daemon=True)
        elif isinstance(effect, Exit):
            self.over = True

    def send(self, key, data: bytes) -> None:
        """Bytes for a session or a connection."""
        send_buffer = self.send_buffers.get(key)
        if send_buffer is None:
            return
        if not send_buffer.send(data):
            self.shut(key)
        elif send_buffer.chunks:
            self.blocked.add(key)

    def shut(self, key) -> None:
        """Ends a connection; a client's once its answers are out, a backend's at once."""
        send_buffer = self.send_buffers.pop(key, None)
        self.blocked.discard(key)
        if send_buffer is None:
            return
        if key < 0:
            self.closing.close(key, send_buffer, self.now())
            return
        send_buffer.flush()
        end_connection(send_buffer)

    async def run_server_connection(self, key: int, host: str, port: int) -> None:
        """Dials a backend and reads from it to the end."""
        connection = self.core.connections.get(key)
        try:
            sock = await dial(host, port)
        except OSError as error:
            await self.server_connection_ended(key, str(error))
            return
        async with sock:
            connection = self.core.connections.get(key)
            if connection is None:
                return
            send_buffer = self.send_buffers[key] = SendBuffer(sock)
            send_buffer.send(connection.login(self.settings.node))
            why = "it was closed"
            try:
                while True:
                    data = await sock.recv(65536)
                    if not data:
                        break
                    server_results.receive_data(self.core, key, data, self.now())
                    await self.run_effects()
            except OSError as error:
                why = str(error)
            await self.server_connection_ended(key, why)

    async def server_connection_ended(self, key: int, why: str) -> None:
        """A connection has ended."""
        self.send_buffers.pop(key, None)
        connection = self.core.connections.get(key)
        if connection:
            connection_loss.connection_lost(self.core, connection, why, self.now())
            if self.core.failed_backends:
                self.controller_session.heartbeat()
        await self.run_effects()

    async def run_session(self, sock) -> None:
        """Reads from a client to the end; what comes once this pooler has left is not read."""
        if self.over or len(self.core.sessions) + len(self.closing) >= self.most_sessions:
            async with sock:
                return
        self.next_session -= 1
        key = self.next_session
        core = self.core
        configure_socket(sock._socket, 10_000)
        async with sock:
            self.send_buffers[key] = SendBuffer(sock)
            core.session_opened(key, self.now(), caller_of(sock))
            session = core.sessions[key]
            try:
                while True:
                    data = await sock.recv(65536)
                    if not data:
                        break
                    core.session_data(key, data, self.now())
                    await self.run_effects()
                    while len(session.waiting) > MOST_WAITING and not session.closed:
                        await curio.sleep(0.02)
                completion.session_ended(core, key, self.now())
                await self.run_effects()
                while key in self.send_buffers and not session.closed:
                    await curio.sleep(TICK_S)
                while key in self.closing:
                    await curio.sleep(TICK_S)
            except OSError:
                self.closing.drop(key)
            self.send_buffers.pop(key, None)
            core.session_closed(key, self.now())
            await self.run_effects()

    # ------------------------------------------------------------ updates
    async def apply_update(self, _update) -> None:
        """The cache has something newer."""
        cache: UpdateCache = self.controller_session.cache
        now = self.now()
        if cache.configuration:
            self.core.apply_configuration(cache.configuration, now)
        self.core.pools.apply_zone_drains(cache.zones, now)
        self.core.pool_modes.take(cache.pool_modes_version, cache.pool_modes)
        self.core.apply_records(list(cache.records.values()), now)
        await self.run_effects()

    async def receive_delivery_reply(self, message) -> None:
        """A controller holds an intent, or has acknowledged an outcome."""
        if isinstance(message, IntentStored):
            delivery_intents.handle_intent_stored(self.core, message, self.now())
            await self.run_effects()
        elif message.incarnation == self.incarnation:
            self.core.delivery.note(message.database, message.number)

    def report(self) -> dict:
        """What this pooler tells the admin API when asked."""
        return report_of(self.core, self.controller_session, self.now())

    def read_metrics(self) -> list[Metric]:
        """This pooler's own figures, as they are now."""
        return metrics_of(self.core, self.controller_session, self.now())

    # ------------------------------------------------------------ running
    async def clock(self) -> None:
        """Ticks until this pooler has left."""
        while not self.may_end(self.now()):
            await curio.sleep(TICK_S)
            if self.signals.take_hangup() or self.watch.has_changed(self.now()):
                self.reread()
            if self.signals.terminating:
                timers.sigterm(self.core, self.now())
            self.controller_session.look(self.now())
            pools = self.core.pools
            pools.members_counted = self.controller_session.members_counted
            if (
                self.controller_session.members_counted
                or self.controller_session.members > pools.members
            ):
                pools.count_members(self.controller_session.members, self.now())
            priority_databases = self.controller_session.cache.priority
            guarded = bool(self.core.configuration and self.core.configuration.limits.guarded)
            access, now = self.controller_session.cache.access, self.now()
            lapsed = not self.controller_session.lease.held(now)
            admission.take_access(self.core, access, lapsed, now)
            used = self.controller_session.must_be_current(guarded or lapsed)
            self.core.apply_priority(
                priority_databases.databases,
                self.controller_session.is_current and not lapsed,
                used,
                now,
            )
            listeners = self.controller_session.cache.subscribers
            self.core.delivery.listen(
                [database for _name, database, _state in listeners.rows],
                bool(listeners.version) and not self.controller_session.is_current,
            )
            self.controller_session.relays.send_to_children()
            self.core.missing_database.confirmed_until = (
                self.controller_session.configuration_confirmed_until()
            )
            self.core.isolated = (
                self.controller_session.members_counted and not self.controller_session.is_current
            )
            self.controller_session.leaving = self.core.leaving != "serving"
            timers.tick(self.core, self.now())
            self.closing.flush(self.now())
            for key in list(self.blocked):
                send_buffer = self.send_buffers.get(key)
                if send_buffer is None or send_buffer.flush():
                    self.blocked.discard(key)
            if self.core.failed_backends:
                self.controller_session.heartbeat()
            await self.run_effects()

    def may_end(self, now: float) -> bool:
        """Whether this pooler has left, and all answers are out; some may be lost when `graceS` is nearly over."""
        last_s = self.settings.bounds.grace_s * LAST_ANSWER_SHARE
        return self.over and (not self.closing or now - self.core.leaving_at >= last_s)

    async def serve_ready(self, sock) -> None:
        """Tells the platform whether to send clients here."""

        async def handler(request):
            path = request.path.partition("?")[0]
            if path != "/api/ready":
                return http.Reply(404)
            if request.method != "GET":
                return http.Reply(405)
            return http.Reply(200 if self.core.ready else 503)

        await http.serve_connection(sock, handler, 4096)

    def reread(self) -> None:
        """Reads the settings file again; nothing is dropped, a bad file changes nothing."""
        try:
            fresh = read_settings(POOLER)
        except SumacloomError as error:
            logger.warning("the old settings stay: %s", error.message)
            return
        self.settings.bounds, self.settings.health, self.settings.seeds = (
            fresh.bounds,
            fresh.health,
            fresh.seeds,
        )
        self.controller_session.take_seeds()
        logger.info("the settings were read again")

    async def main(self) -> int:
        """Runs until SIGTERM, then leaves in order."""
        settings = self.settings
        for name, serve in (("fe", self.run_session), ("readyz", self.serve_ready)):
            sock = listen(*split_address(getattr(settings.listen, name)))
            await curio.spawn(run_forever, logger, accept_forever, sock, serve, daemon=True)
        serve_children = self.controller_session.relays.serve_children
        await curio.spawn(run_forever, logger, serve_children, settings, daemon=True)
        await curio.spawn(run_forever, logger, self.controller_session.attach, daemon=True)
        metrics = (settings.ip, settings.metrics_port, self.read_metrics)
        await curio.spawn(run_forever, logger, serve_metrics, *metrics, daemon=True)
        logger.info("serving at %s", settings.listen.fe)
        await run_forever(logger, self.clock)
        logger.info("gone")
        return 0
