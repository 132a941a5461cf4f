"""The registrar's shell: sockets, disk and clock around the office."""

import random
import time
from collections import deque

import curio

from sumacloom import http
from sumacloom.consensus import reconfiguration
from sumacloom.controller.admin import access_calls, routes, tables  # noqa: F401  (access_calls serves calls)
from sumacloom.controller.core import Office
from sumacloom.controller.delivery.log import may_leave, take_intent, take_verdict, unhanded
from sumacloom.controller.disk_writer import sync_disk
from sumacloom.controller.failover.executor import Doubted, note_tick, stood_still
from sumacloom.controller.failover.supervisor import mind_backends
from sumacloom.controller.policy.access import Stamps
from sumacloom.controller.policy.pool_modes import hear_minds
from sumacloom.logs import Scribe
from sumacloom.settings import FileWatch, Settings, read_settings, split_address
from sumacloom.signals import Signals
from sumacloom.transport.link import Link, accept_all, dial, kept, listen, tune
from sumacloom.transport.messages import (
    Follow,
    Hello,
    Intent,
    MemberBeat,
    Pending,
    RegistrarBeat,
    Verdict,
)
from sumacloom.wal.log import Ledger

scribe = Scribe("registrar")
TICK_S = 0.05
FAN = 4
PEER_DIAL_S = 0.35
FLIPPED_S = 0.4
COUNT_S = 0.1
LEAVE_SHARE = 2 / 3  # of graceS: how long a stopped registrar stays at most for what depends on it
WAKING_S = 0.5  # within it, all that came while we stood still has been read


class Shell:
    """One running registrar."""

    counted, counted_at = 1, -1e9  # the members of the whole fleet, and when they were counted

    def __init__(self, settings: Settings):
        self.settings = settings
        self.most_blueprint = 4 << 20
        self.office = Office(settings, Ledger(settings.datadir), random.SystemRandom(), self.now())
        self.office.storage.prompt = (
            False  # from here on the disk is waited for in a thread of its own
        )
        self.syncing = self.disk_ill = self.was_settled = False
        self.flipped_at, self.settled_at = None, self.now()
        self.dialled: set[str] = set()
        self.ticked_at, self.stood_still_at = self.now(), -1e9
        self.out_links: dict[str, Link] = {}  # peer ip: link we dialled
        self.in_links: dict[str, Link] = {}  # peer ip: link it dialled; used until ours stands
        self.counters: dict[str, Link] = {}  # node: its link
        self.waiting: list[tuple] = []  # (proposal, event)
        self.plans, self.probing, self.misses = {}, set(), {}
        self.doubts: dict[str, Doubted] = {}  # services for which a promotion may yet land
        self.platform_calls = deque()  # when the last calls to the platform left
        self.duty_known = None  # the holding of the duty that the doubts belong to
        self.parts: dict[int, dict] = {}  # inquiry: peer ip: its tables
        self.inquiries = 0
        self.errands: list = []  # coroutine functions to be run beside the links
        self.nobody_since: dict[str, float] = {}
        self.signals = Signals().listen()
        self.watch = FileWatch()
        self.port = settings.port_range[0]

    @staticmethod
    def now() -> float:
        """The steady clock.

        >>> Shell.now() <= Shell.now()
        True
        """
        return time.monotonic()

    def hello(self) -> Hello:
        """How this registrar names itself."""
        settings = self.settings
        return Hello(
            settings.node, "registrar", settings.zone, f"{settings.ip}:{self.port}", settings.ip
        )

    # ------------------------------------------------------------ acting
    async def act(self) -> None:
        """Sends what the office put out, wakes who waits for an outcome, passes news on."""
        office = self.office
        outbox, office.outbox = office.outbox, []
        for peer, message in outbox:
            link = self.out_links.get(peer) or self.in_links.get(peer) or self.counters.get(peer)
            if link:
                link.send(message)
        still = []
        for proposal, event in self.waiting:
            if proposal.outcome is None:
                still.append((proposal, event))
            else:
                await event.set()
        self.waiting = still
        errands, self.errands = self.errands, []
        for errand in errands:
            await curio.spawn(errand, daemon=True)
        self.pass_news()
        if office.storage.batches and not self.syncing:
            self.syncing = True
            await curio.spawn(sync_disk, self, daemon=True)

    def pass_news(self) -> None:
        """Sends the counters that hang on us directly what they lack."""
        board, digest = self.office.board, self.office.board.digest()
        for _node, link in self.counters.items():
            if (
                link.digest is None
                or link.digest == digest
                or link.parent
                or not link.outlet.flush()
            ):
                continue
            news = board.news_for(link.digest)
            if news:
                link.send(news)
            link.digest = digest

    async def decide(self, key: str, change, reading: bool = False):
        """Proposes, and waits for the outcome."""
        proposal = self.office.propose(key, change, self.now(), reading)
        if proposal.outcome is None:
            event = curio.Event()
            self.waiting.append((proposal, event))
            await self.act()
            await event.wait()
        else:
            await self.act()
        return proposal.outcome

    def waking(self) -> bool:
        """Whether this process stood still a moment ago: what it reads now may have come long before.

        >>> from types import SimpleNamespace
        >>> [Shell.waking(SimpleNamespace(now=lambda: 9.0, ticked_at=ticked_at, stood_still_at=stood_still_at))
        ...  for ticked_at, stood_still_at in [(8.0, -1e9), (8.95, 8.9), (8.95, 1.0)]]
        [True, True, False]
        """
        return stood_still(self, self.now() - WAKING_S)

    # ------------------------------------------------------------ links
    async def keep_link(self, peer: str) -> None:
        """Keeps a link to another registrar, dialling anew when it ends."""
        while peer in self.office.others():
            try:
                sock = await dial(peer, self.port, PEER_DIAL_S)
            except OSError:
                await curio.sleep(0.1)
                continue
            link = Link(sock)
            link.send(self.hello())
            self.out_links[peer] = link
            async for message in link.messages():
                self.hear_peer(peer, message)
                await self.act()
            del self.out_links[peer]
            await link.close()
            await curio.sleep(0.1)
        self.dialled.discard(peer)

    async def take_link(self, sock) -> None:
        """A daemon dialled us: another registrar, or a counter."""
        tune(sock._socket)
        link = Link(sock)
        link.parent, link.shared_at, link.leaving, link.stamps = "", 0.0, False, Stamps()
        link.report, link.reported_at, link.answers_ms = None, -1e9, 0
        try:
            async for message in link.messages():
                now = self.now()
                if link.peer is None:
                    if not isinstance(message, Hello):
                        break
                    link.peer = message
                    if message.role == "counter":
                        link.send(self.hello())
                    continue
                if link.peer.role == "counter":
                    self.hear_counter(link, message, now)
                else:
                    self.in_links[link.peer.ip] = link
                    self.hear_peer(link.peer.ip, message)
                await self.act()
        finally:
            if link.peer and self.in_links.get(link.peer.ip) is link:
                del self.in_links[link.peer.ip]
            if link.peer and self.counters.get(link.peer.node) is link:
                del self.counters[link.peer.node]
                self.office.members.end(link.peer.node, self.now(), link.leaving)
            await link.close()

    def hear_counter(self, link: Link, message, now: float) -> None:
        """A counter's heartbeat, or its call for news."""
        office, node = self.office, link.peer.node
        if isinstance(message, Follow):
            link.digest = message.digest
            news = office.board.news_for(message.digest)
            if news:
                link.send(news)
            return
        if isinstance(message, Intent):
            take_intent(office, node, message, now)
        elif isinstance(message, Verdict):
            take_verdict(office, node, message, now)
        if not isinstance(message, MemberBeat):
            return
        link.leaving, link.answers_ms = message.leaving, message.sent_ms
        link.stamps.hear(message.stamp, now)
        hear_minds(office, message.minds)
        office.members.hear(
            node,
            link.peer.zone,
            link.peer.address,
            now,
            message.digest.lanes,
            message.digest.listeners,
            link.peer.life,
        )
        self.counters[node] = link
        link.digest = message.digest
        if message.report:
            link.report, link.reported_at = message.report, now
        office.roster.take_sightings(message.positions, now, own=True)
        for name in message.mishaps:
            if name not in office.roster.suspected or now - office.roster.suspected[name] > 0.5:
                office.roster.suspect(name, now)
                office.told_suspects.add(name)
                office.beaten_at = -1e9
        link.parent = office.members.parent(node, self.settings.zone, FAN)
        self.beat_counter(link, now)

    def beat_counter(
        self, link: Link, now: float, want_report: bool = False, level: str = ""
    ) -> None:
        """Our heartbeat to a counter."""
        office = self.office
        registrars = [f"{ip}:{self.port}" for ip in [self.settings.ip, *office.others()]]
        if (
            now - self.counted_at >= COUNT_S
        ):  # all members are looked at: not for each counter's beat
            self.counted, self.counted_at = max(1, office.members.count(now)), now
        sightings = office.roster.sightings(link.shared_at, now)
        link.shared_at = now
        link.send(
            RegistrarBeat(
                office.board.digest(),
                self.counted,
                link.parent,
                registrars,
                sightings,
                want_report,
                level,
                office.settled(now),
                link.stamps.confirmed(office.readings.read_at),
                link.answers_ms,
            )
        )

    def announce(self, message: Pending) -> None:
        """Passes word of a coming lead to the counters in session here."""
        for link in self.counters.values():
            link.send(message)

    def hear_peer(self, peer: str, message) -> None:
        """A message of another registrar, on whichever link it came."""
        if isinstance(message, Pending):
            self.announce(message)
        elif not tables.hear(self, peer, message):
            self.office.hear(peer, message, self.now())

    # ------------------------------------------------------------ running
    async def clock(self) -> None:
        """Ticks until SIGTERM."""
        while not self.signals.ending:
            await curio.sleep(TICK_S)
            if self.signals.take_hangup() or self.watch.changed(self.now()):
                self.reread()
            now = self.now()
            note_tick(self, now)
            self.office.tick(now)
            self.note_settled(now)
            for peer in set(self.office.others()) - self.dialled:
                self.dialled.add(peer)
                await curio.spawn(kept, scribe, self.keep_link, peer, daemon=True)
            await mind_backends(self, now)
            for link in [*self.counters.values(), *self.out_links.values()]:
                link.outlet.flush()
            await self.act()

    def note_settled(self, now: float) -> None:
        """Logs when the majority is lost, and when it is heard again."""
        settled = self.office.settled(now)
        if settled:
            self.settled_at = now
        if settled == self.was_settled:
            self.flipped_at = None
            return
        self.flipped_at = self.flipped_at or now
        if now - self.flipped_at >= FLIPPED_S:
            self.was_settled = settled
            scribe.say(
                "a majority is heard and nothing decided is lacking"
                if settled
                else "no majority is heard, or something decided is lacking"
            )

    def unsettled_s(self) -> float:
        """For how long no majority has been heard, or something decided was lacking."""
        return self.now() - self.settled_at

    async def serve_ctl(self, sock) -> None:
        """Serves one HTTP connection."""

        async def handler(request):
            return await routes.handle(self, request)

        await http.serve_wire(sock, handler)

    def reread(self) -> None:
        """Takes what may change while running: seeds, bounds, log level; a bad file changes nothing."""
        result = read_settings("registrar")
        if result.is_err():
            scribe.warn("the old settings stay: %s", result.err().sentence)
            return
        fresh = result.ok()
        self.settings.seeds, self.settings.bounds, self.settings.zones = (
            fresh.seeds,
            fresh.bounds,
            fresh.zones,
        )
        self.settings.voting, self.settings.tolerate = fresh.voting, fresh.tolerate
        self.office.seeds = list(dict.fromkeys(split_address(seed)[0] for seed in fresh.seeds))
        scribe.say("the settings were read again")

    async def main(self) -> int:
        """Runs until SIGTERM."""
        settings = self.settings
        host, port = split_address(settings.listen.ctl)
        await curio.spawn(kept, scribe, accept_all, listen(host, port), self.serve_ctl, daemon=True)
        await curio.spawn(
            kept, scribe, accept_all, listen(settings.ip, self.port), self.take_link, daemon=True
        )
        scribe.say("serving at %s", settings.listen.ctl)
        await kept(scribe, self.clock)
        await self.leave()
        return 0

    async def leave(self) -> None:
        """Says that it leaves; waits to be taken out of the voters and until what it alone holds is handed over."""
        scribe.say("leaving")
        office, cutoff = self.office, self.now() + self.settings.bounds.grace_s * LEAVE_SHARE
        self.settings.voting = False
        office.beaten_at = office.told_whole_at = -1e9
        while (self.waiting or not may_leave(office, self.now())) and self.now() < cutoff:
            await curio.sleep(TICK_S)
            office.tick(self.now())
            await self.act()
        left = unhanded(office)
        if left:
            scribe.warn(
                "left with %d entries of the spool that no other disk is known to hold, the first %s",
                len(left),
                left[0],
            )
        if office.me in office.acceptor.configuration.members and not reconfiguration.may_go(
            office, self.now()
        ):
            scribe.warn(
                "left while still among the voters: the change took longer than %.1f s",
                self.settings.bounds.grace_s * LEAVE_SHARE,
            )
