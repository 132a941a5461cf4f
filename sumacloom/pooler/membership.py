"""A counter's session with a registrar, its parent in the relay tree, and its children."""

import curio

from sumacloom.logs import Scribe, set_level
from sumacloom.pooler.admission import Lease
from sumacloom.pooler.controller_discovery import Places
from sumacloom.settings import split_address
from sumacloom.transport.link import Link, accept_all, listen, tune
from sumacloom.transport.messages import (
    Follow,
    Held,
    Hello,
    MemberBeat,
    News,
    Noted,
    Pending,
    RegistrarBeat,
)
from sumacloom.transport.update_cache import Board
from sumacloom.transport.updates import Digest

scribe = Scribe("member")
BEAT_S, EARLY_S = 0.35, 0.1  # the second while new: what we hold is to be confirmed soon
QUIET_S = 1.1
BEHIND_S = 0.5
SETTLE_S = 4.0
UNSETTLED_S, MOST_UNSETTLED_S = 0.8, 6.0  # how long a registrar that lacks its majority is kept
ALONE_S = (
    30.0  # a new counter that finds no settled registrar for so long serves by what it was told
)
CLAIM_S = 2.0  # shorter than the registrars' SESSION_S: a counter doubts before it is given up


class Member(Places):
    """Keeps one session standing, and the news fresh."""

    def __init__(self, settings, clock, on_news, yard, mishaps, report, life=0, on_spool=None):
        self.settings, self.clock, self.on_news = settings, clock, on_news
        self.yard, self.mishaps, self.report = yard, mishaps, report
        self.life, self.on_spool, self.leaving = life, on_spool, False
        self.shared_at = 0.0
        self.board = Board()
        self.low, self.high = settings.port_range[0], settings.port_range[0] + 1
        self.registrars = [f"{split_address(seed)[0]}:{self.low}" for seed in settings.seeds]
        self.nearness: dict[str, float] = {}
        self.session: Link | None = None
        self.parent: Link | None = None
        self.parent_address = ""
        self.children: list[Link] = []
        self.members = 1
        self.settled = False  # whether members have had the time to be counted
        self.started_at = clock()
        self.sure_at = None  # when we sent what a registrar that lacks nothing answered last
        self.caught_up = False  # whether such a one, ever, told us nothing that we lack
        self.behind_since = None
        self.awake_at = None  # when the clock was last looked at
        self.anew = False  # whether the session ended by a standstill of ours, not by the registrar
        self.turn = 0  # of parents: a task of an earlier one ends
        self.attached, self.lease = "", Lease()
        self.minds = lambda _now: []  # what the floor's pooling has to say
        self.unsettled_since, self.patience = None, UNSETTLED_S

    @property
    def fresh(self) -> bool:
        """Whether a settled registrar has answered a beat of ours within the claim."""
        return self.sure_at is not None and self.clock() - self.sure_at < CLAIM_S

    @property
    def sure(self) -> bool:
        """Whether what we hold is what the fleet holds: a settled registrar spoke to us within the claim."""
        return self.informed and self.fresh

    @property
    def informed(self) -> bool:
        """Whether we once held all that a settled registrar held, or have looked for one long enough."""
        return self.caught_up or self.clock() - self.started_at > ALONE_S

    def must_be_sure(self, guarded: bool) -> bool:
        """Whether this counter may serve only while it is sure: rules that must hold everywhere are in use, or it is new."""
        return guarded or bool(self.board.lanes.order) or not self.informed

    def hello(self) -> Hello:
        """How this counter names itself."""
        settings = self.settings
        return Hello(
            settings.node,
            "counter",
            settings.zone,
            f"{settings.ip}:{self.high}",
            settings.ip,
            self.life,
        )

    async def take_news(self, news: News) -> None:
        """Takes news, and passes on to the children what they lack."""
        if self.board.take(news):
            await self.on_news(news)
            self.feed_children()

    def feed_children(self) -> None:
        """Sends each child what it lacks; one whose link is still full gets the newest once that is through."""
        digest = self.board.digest()
        for child in self.children:
            if not child.outlet.flush():
                continue
            if child.digest is not None and child.digest != digest:
                news = self.board.news_for(child.digest)
                if news:
                    child.send(news)
                child.digest = digest

    def beat(self, reporting: bool = False) -> None:
        """Sends a heartbeat now."""
        if self.session:
            mishaps = sorted(set(self.mishaps))
            self.mishaps.clear()
            now = self.clock()
            sightings, self.shared_at = self.yard.sightings(self.shared_at, now), now
            self.session.send(
                MemberBeat(
                    self.board.digest(),
                    mishaps,
                    sightings,
                    self.report() if reporting else None,
                    self.leaving,
                    None if self.lease.until is None else now,
                    self.minds(now),
                    1 + round((now - self.started_at) * 1000),
                )
            )

    def say(self, message) -> None:
        """A message for the registrar; without a session it is dropped, and said again later."""
        if self.session:
            self.session.send(message)

    # ------------------------------------------------------------ the session
    async def attach(self) -> None:
        """Keeps a session with the nearest registrar that answers."""
        await self.measure()
        barred: dict[str, float] = {}
        while True:
            now = self.clock()
            order = sorted(
                self.registrars,
                key=lambda address: (barred.get(address, 0) > now, self.nearness.get(address, 1.0)),
            )
            address = order[0]
            try:
                link = await self.open(address)
            except OSError:
                barred[address] = now + 1.5
                await curio.sleep(0.05)
                continue
            self.session, self.attached, self.unsettled_since = link, address, None
            link.heard_at = self.clock()
            watcher = await curio.spawn(self.watch, link, daemon=True)
            self.beat()
            async for message in link.messages():
                if self.stood_still():
                    self.anew = True
                    break
                link.heard_at = self.clock()
                await self.hear(link, message)
            await watcher.cancel()
            self.session = None
            await link.close()
            if not self.anew:
                barred[address] = self.clock() + 1.5
            self.anew = False

    def stood_still(self) -> bool:
        """Whether this counter has not run for so long that what lies unread may be old."""
        return self.awake_at is not None and self.clock() - self.awake_at > QUIET_S

    def look(self, now: float) -> None:
        """The clock runs; after a standstill the session is opened anew, since its backlog would count as fresh."""
        if self.stood_still() and self.session:
            scribe.say(
                "this counter stood still: the session with %s is opened anew", self.attached
            )
            self.anew = True
            self.session.end()
        self.awake_at = now

    async def watch(self, link: Link) -> None:
        """Beats on the session; ends it when it goes quiet, or when a nearer registrar is back."""
        looked_at = self.clock()
        while True:
            await curio.sleep(BEAT_S if self.informed else EARLY_S)
            now = self.clock()
            if now - link.heard_at > QUIET_S:
                scribe.say("the registrar at %s went quiet", self.attached)
                break
            self.beat()
            if self.unsettled_since is not None and now - self.unsettled_since > self.patience:
                self.unsettled_since, self.patience = now, min(MOST_UNSETTLED_S, self.patience * 2)
                if await self.another_answers():
                    scribe.say(
                        "the registrar at %s lacks its majority, another is tried", self.attached
                    )
                    break
            if now - looked_at > 3.0:
                looked_at = now
                if await self.nearer_is_back():
                    break
        link.end()

    async def hear(self, link: Link, message) -> None:
        """What the registrar says."""
        if isinstance(message, News):
            await self.take_news(message)
        elif isinstance(message, (Held, Noted)):
            await self.on_spool(message)
        elif isinstance(message, Pending):
            self.yard.ground(message.service).pending_until = self.clock() + message.seconds
        elif isinstance(message, RegistrarBeat):
            self.members = message.members
            self.settled = self.settled or self.clock() - self.started_at > SETTLE_S
            self.registrars = list(dict.fromkeys([*message.registrars, *self.registrars]))[:9]
            self.yard.take_sightings(message.positions, self.clock())
            self.lease.hear(
                message.digest.access, self.board.access.order, message.confirmed, self.clock()
            )
            if message.settled:
                if message.answers_ms:  # by our own clock: an answer may be read late
                    self.sure_at = max(
                        self.sure_at or 0.0, self.started_at + (message.answers_ms - 1) / 1000
                    )
                self.caught_up = self.caught_up or (self.fresh and self.board.holds(message.digest))
                self.unsettled_since, self.patience = None, UNSETTLED_S
            else:
                self.unsettled_since = self.unsettled_since or self.clock()
            if message.log_level:
                set_level(message.log_level)
            if message.want_report:
                self.beat(reporting=True)
            await self.follow(message.parent)
            self.check_behind(link, message.digest)

    def check_behind(self, link: Link, digest: Digest) -> None:
        """Pulls from the registrar itself when the tree leaves us behind for long."""
        now = self.clock()
        if digest == self.board.digest():
            self.behind_since = None
        elif self.behind_since is None:
            self.behind_since = now
            if not self.parent_address:
                link.send(Follow(self.board.digest()))
        elif now - self.behind_since >= BEHIND_S:
            self.behind_since = now
            link.send(Follow(self.board.digest()))

    # ------------------------------------------------------------ the tree
    async def follow(self, address: str) -> None:
        """Takes news from the parent that the registrar names; nothing means from itself."""
        if address == self.parent_address:
            if self.parent:
                self.parent.send(Follow(self.board.digest()))
            return
        self.parent_address = address
        if self.parent:
            old, self.parent = self.parent, None
            old.end()
        self.turn += 1
        if address:
            await curio.spawn(self.keep_parent, address, self.turn, daemon=True)

    async def keep_parent(self, address: str, turn: int) -> None:
        """Listens to one parent while it is ours."""
        while self.turn == turn:
            try:
                link = await self.open(address)
            except OSError:
                await curio.sleep(0.5)
                continue
            if self.turn != turn:  # another parent was named while this one was dialled
                await link.close()
                return
            self.parent = link
            link.send(Follow(self.board.digest()))
            async for message in link.messages():
                if isinstance(message, News):
                    await self.take_news(message)
            if self.parent is link:
                self.parent = None
            await link.close()
            await curio.sleep(0.2)

    async def take_child(self, sock) -> None:
        """Another counter takes its news from us."""
        tune(sock._socket)
        link = Link(sock)
        self.children.append(link)
        async for message in link.messages():
            if isinstance(message, Follow):
                link.digest = message.digest
                self.feed_children()
        self.children.remove(link)
        await link.close()

    async def serve_children(self) -> None:
        """Takes links of children for ever."""
        await accept_all(listen(self.settings.ip, self.high), self.take_child)
