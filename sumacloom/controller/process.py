"""The controller's process: sockets, disk and clock around the core."""

import logging
import random
import time
from collections.abc import Callable
from typing import Any, NamedTuple

import curio

from sumacloom import http
from sumacloom.consensus.codec import Change
from sumacloom.consensus.proposal import Proposal
from sumacloom.controller.admin.router import handle
from sumacloom.controller.admin.tables import TableService
from sumacloom.controller.core import ControllerCore
from sumacloom.controller.disk_writer import DiskWriter
from sumacloom.controller.failover.executor import CommandExecutor
from sumacloom.controller.failover.supervisor import FailoverSupervisor
from sumacloom.controller.metrics import metrics_of
from sumacloom.controller.pooler_link import PoolerLink
from sumacloom.controller.pooler_sessions import PoolerSessions
from sumacloom.controller.stall_detector import StallDetector
from sumacloom.errors import SumacloomError
from sumacloom.metrics import Metric, serve_metrics
from sumacloom.settings import (
    CONTROLLER,
    FileWatch,
    Settings,
    read_settings,
    seed_hosts,
    split_address,
)
from sumacloom.signals import Signals
from sumacloom.transport.link import (
    Link,
    accept_forever,
    configure_socket,
    dial,
    listen,
    run_forever,
)
from sumacloom.transport.messages import (
    CONTROLLER_ROLE,
    POOLER_ROLE,
    Hello,
    PrimaryPending,
    SetLogLevel,
    TablesReply,
    TablesRequest,
)
from sumacloom.wal.log import WriteAheadLog

logger = logging.getLogger(__name__)

TICK_S = 0.05
PEER_DIAL_S = 0.35
REDIAL_S = 0.1
QUORUM_CHANGE_S = 0.4  # a change of standing is logged once it has lasted so long
LEAVE_SHARE = 2 / 3  # of graceS: how long a stopped controller stays at most for what depends on it
WAKING_S = 0.5  # within it, all that came while the process was stalled has been read


class Waiter(NamedTuple):
    """A task that waits for a proposal's outcome."""

    proposal: Proposal
    event: Any


class ControllerProcess:
    """One running controller.

    Attributes:
        outgoing: by peer address, the links that we dialled.
        incoming: by peer address, the links that a peer dialled; used until ours stands.
        sessions: the poolers in session here.
        background: coroutine functions to be started beside the links.
    """

    def __init__(self, settings: Settings, signals: Signals):
        self.settings = settings
        wal = WriteAheadLog(settings.datadir)
        self.core = ControllerCore(settings, wal, random.SystemRandom(), self.now())
        self.core.storage.synchronous = False  # from here on the disk is waited for in a thread
        self.disk_writer = DiskWriter(self)
        self.stalls = StallDetector(self.now())
        self.executor = CommandExecutor(self)
        self.supervisor = FailoverSupervisor(self, self.executor)
        self.tables = TableService(self)
        self.outgoing: dict[str, Link] = {}
        self.incoming: dict[str, Link] = {}
        self.background: list[Callable[[], Any]] = []
        self.signals = signals
        self.port = settings.port_range[0]
        self.sessions = PoolerSessions(self.core, settings, self.port)
        self._watch = FileWatch()
        self._dialled: set[str] = set()
        self._waiters: list[Waiter] = []
        self._requests = http.RequestsUnderWay()
        self._was_in_quorum = False
        self._standing_changed_at: float | None = None
        self._in_quorum_at = self.now()

    @staticmethod
    def now() -> float:
        """Seconds on the steady clock."""
        return time.monotonic()

    def hello(self) -> Hello:
        """How this controller names itself."""
        settings = self.settings
        address = f"{settings.ip}:{self.port}"
        return Hello(settings.node, CONTROLLER_ROLE, settings.zone, address, settings.ip)

    # ------------------------------------------------------------ acting
    async def flush(self) -> None:
        """Sends what the core put out, wakes who waits for an outcome, passes updates on."""
        outbox, self.core.outbox = self.core.outbox, []
        for peer, message in outbox:
            link = (
                self.outgoing.get(peer) or self.incoming.get(peer) or self.sessions.links.get(peer)
            )
            if link:
                link.send(message)
        await self._wake_waiters()
        background, self.background = self.background, []
        for function in background:
            await curio.spawn(function, daemon=True)
        self.sessions.send_updates()
        await self.disk_writer.start()

    async def _wake_waiters(self) -> None:
        still_waiting = []
        for waiter in self._waiters:
            if waiter.proposal.outcome is None:
                still_waiting.append(waiter)
            else:
                await waiter.event.set()
        self._waiters = still_waiting

    async def commit(self, key: str, change: Change, reading: bool = False) -> bytes | None:
        """Proposes a change or a read, and waits for its outcome.

        Returns:
            The committed value.

        Raises:
            SumacloomError: the change was refused, or no quorum answered in time.
        """
        proposal = self.core.propose(key, change, self.now(), reading)
        if proposal.outcome is None:
            event = curio.Event()
            self._waiters.append(Waiter(proposal, event))
            await self.flush()
            await event.wait()
        else:
            await self.flush()
        assert proposal.outcome is not None  # it is what was waited for
        return proposal.outcome.value()

    def is_waking(self) -> bool:
        """Whether this process was stalled a moment ago: what it reads now may have come long before."""
        now = self.now()
        return self.stalls.stalled_since(now - WAKING_S, now)

    # ------------------------------------------------------------ links
    async def _keep_link(self, peer: str) -> None:
        """Keeps a link to another controller, dialling again when it ends."""
        while peer in self.core.peer_addresses():
            try:
                sock = await dial(peer, self.port, PEER_DIAL_S)
            except OSError:
                await curio.sleep(REDIAL_S)
                continue
            link = Link(sock)
            link.send(self.hello())
            self.outgoing[peer] = link
            async for message in link.messages():
                await self._receive_from_peer(peer, message)
                await self.flush()
            del self.outgoing[peer]
            await link.close()
            await curio.sleep(REDIAL_S)
        self._dialled.discard(peer)

    async def _serve_link(self, sock: Any) -> None:
        """A daemon dialled us: another controller, or a pooler."""
        configure_socket(sock._socket)
        link = PoolerLink(sock)
        try:
            async for message in link.messages():
                if link.peer is not None:
                    await self._receive(link, link.peer, message)
                    await self.flush()
                elif isinstance(message, Hello):
                    link.peer = message
                    if message.role == POOLER_ROLE:
                        link.send(self.hello())
                else:
                    break
        finally:
            self._end_link(link)
            await link.close()

    async def _receive(self, link: PoolerLink, peer: Hello, message: Any) -> None:
        if peer.role == POOLER_ROLE:
            self.sessions.receive(link, peer, message, self.now())
        else:
            self.incoming[peer.ip] = link
            await self._receive_from_peer(peer.ip, message)

    def _end_link(self, link: PoolerLink) -> None:
        if link.peer is None:
            return
        if self.incoming.get(link.peer.ip) is link:
            del self.incoming[link.peer.ip]
        self.sessions.end(link, self.now())

    def announce(self, message: PrimaryPending) -> None:
        """Tells the poolers in session here of a new primary on its way."""
        self.sessions.broadcast(message)

    async def _receive_from_peer(self, peer: str, message: Any) -> None:
        if isinstance(message, PrimaryPending):
            self.announce(message)
        elif isinstance(message, TablesReply):
            self.tables.receive_reply(peer, message)
        elif isinstance(message, TablesRequest):
            self.tables.answer_request(peer, message)
        elif isinstance(message, SetLogLevel):
            self.tables.apply_log_level(message.level)
        else:
            self.core.receive(peer, message, self.now())

    # ------------------------------------------------------------ running
    async def _clock(self) -> None:
        """Ticks until SIGTERM."""
        while not self.signals.terminating:
            await curio.sleep(TICK_S)
            now = self.now()
            if self.signals.take_hangup() or self._watch.has_changed(now):
                self._reload_settings()
            self.stalls.tick(now)
            self.core.tick(now)
            self._log_standing(now)
            for peer in set(self.core.peer_addresses()) - self._dialled:
                self._dialled.add(peer)
                await curio.spawn(run_forever, logger, self._keep_link, peer, daemon=True)
            await self.supervisor.on_timer(now)
            for link in [*self.sessions.links.values(), *self.outgoing.values()]:
                link.send_buffer.flush()
            await self.flush()

    def _log_standing(self, now: float) -> None:
        """Logs when the quorum is lost, and when it is there again."""
        in_quorum = self.core.in_quorum(now)
        if in_quorum:
            self._in_quorum_at = now
        if in_quorum == self._was_in_quorum:
            self._standing_changed_at = None
            return
        if self._standing_changed_at is None:
            self._standing_changed_at = now
        if now - self._standing_changed_at >= QUORUM_CHANGE_S:
            self._was_in_quorum = in_quorum
            logger.info(
                "in contact with a quorum, nothing committed is missing"
                if in_quorum
                else "no contact with a quorum, or something committed is missing"
            )

    def out_of_quorum_s(self) -> float:
        """For how long there has been no quorum, or something committed was missing."""
        return self.now() - self._in_quorum_at

    async def _serve_ctl(self, sock: Any) -> None:
        """Serves one HTTP connection."""

        async def handler(request: http.Request) -> http.Reply:
            return await handle(self, request)

        await http.serve_connection(sock, handler, under_way=self._requests)

    def _reload_settings(self) -> None:
        """Takes what may change while running: seeds, bounds, voting, zones; a bad file changes nothing."""
        try:
            fresh = read_settings(CONTROLLER)
        except SumacloomError as error:
            logger.warning("the old settings stay: %s", error.message)
            return
        self.settings.seeds = fresh.seeds
        self.settings.bounds = fresh.bounds
        self.settings.zones = fresh.zones
        self.settings.voting = fresh.voting
        self.settings.tolerate = fresh.tolerate
        self.core.seeds = seed_hosts(fresh.seeds)
        logger.info("the settings were read again")

    def read_metrics(self) -> list[Metric]:
        """This controller's own figures, as they are now."""
        return metrics_of(self.core, self.sessions, self.now())

    async def main(self) -> int:
        """Runs until SIGTERM, then leaves in order; returns the exit code."""
        host, port = split_address(self.settings.listen.ctl)
        for sock, serve in (
            (listen(host, port), self._serve_ctl),
            (listen(self.settings.ip, self.port), self._serve_link),
        ):
            await curio.spawn(run_forever, logger, accept_forever, sock, serve, daemon=True)
        metrics = (self.settings.ip, self.settings.metrics_port, self.read_metrics)
        await curio.spawn(run_forever, logger, serve_metrics, *metrics, daemon=True)
        logger.info("serving at %s", self.settings.listen.ctl)
        await run_forever(logger, self._clock)
        await self._leave()
        return 0

    async def _leave(self) -> None:
        """Waits to be taken out of the voters, and until what it alone holds and its replies are out."""
        logger.info("leaving")
        core = self.core
        longest_s = self.settings.bounds.grace_s * LEAVE_SHARE
        deadline = self.now() + longest_s
        core.announce_leaving()
        while (self._waiters or not self._may_leave()) and self.now() < deadline:
            await curio.sleep(TICK_S)
            core.tick(self.now())
            await self.flush()
        unreplicated = core.delivery.unreplicated()
        if unreplicated:
            logger.warning(
                "left with %d delivery entries that no other disk is known to hold, the first %s",
                len(unreplicated),
                unreplicated[0],
            )
        is_member = core.me in core.acceptor.quorum.members
        if is_member and not core.reconfiguration.may_leave(self.now()):
            logger.warning(
                "left while still among the voters: the change took longer than %.1f s", longest_s
            )

    def _may_leave(self) -> bool:
        now = self.now()
        if self._requests.count:
            return False
        return self.core.reconfiguration.may_leave(now) and self.core.delivery.may_leave(now)
