"""A pooler's session with a controller."""

import curio

from sumacloom.logs import set_level
from sumacloom.pooler.admission import AccessLease
from sumacloom.pooler.controller_candidates import ControllerCandidates
from sumacloom.pooler.controller_discovery import ControllerDiscovery
from sumacloom.pooler.relay_tree import RelayTree, relay_port
from sumacloom.pooler.session_log import SessionLog
from sumacloom.settings import split_address
from sumacloom.transport.link import Link
from sumacloom.transport.messages import (
    POOLER_ROLE,
    ControllerHeartbeat,
    Follow,
    Hello,
    IntentStored,
    OutcomeAcknowledged,
    PoolerHeartbeat,
    Update,
)
from sumacloom.transport.update_cache import UpdateCache
from sumacloom.transport.updates import UpdateDigest
from sumacloom.types import NEVER

BEAT_S, EARLY_S = 0.35, 0.1  # the second while new: what we hold is to be confirmed soon
QUIET_S = 1.1
BEHIND_S = 0.5
SETTLE_S = 4.0
UNSETTLED_S, MOST_UNSETTLED_S = 0.8, 6.0  # how long a controller that lacks its majority is kept
SEARCH_AGAIN_S = 0.05  # after a search that found no controller
LOOK_NEARER_S = 3.0  # between two looks for a nearer controller
ALONE_S = (
    30.0  # a new pooler that finds no controller in a quorum for so long serves by what it was told
)
CONFIRMED_SHARE = 0.25  # of applyMs: for how long a confirmed configuration counts as the newest
CLAIM_S = 2.0  # shorter than the controllers' SESSION_S: a pooler doubts before it is given up


class ControllerSession:
    """Keeps one session standing, and what it holds up to date."""

    def __init__(
        self,
        settings,
        clock,
        on_update,
        pools,
        failed_backends,
        report,
        incarnation=0,
        on_delivery_reply=None,
    ):
        self.settings, self.clock, self.on_update = settings, clock, on_update
        self.pools, self.failed_backends, self.report = pools, failed_backends, report
        self.incarnation, self.on_delivery_reply, self.leaving = (
            incarnation,
            on_delivery_reply,
            False,
        )
        self.shared_at = 0.0
        self.cache = UpdateCache()
        self.low = settings.port_range[0]  # where controllers take links
        self.relays = RelayTree(self.cache, self.hello, self.apply_update)
        self.session: Link | None = None
        self.members = 1
        self.members_counted = False  # whether members have had the time to be counted
        self.started_at = clock()
        self.log = SessionLog(self.started_at)
        self.candidates = ControllerCandidates(self.seed_addresses(), self.started_at)
        self.discovery = ControllerDiscovery(self.candidates, self.hello, clock, self.log)
        self.replacement: tuple[str, Link] | None = None  # what the next session is to be with
        self.end_reason = ""  # of the present session, once this side ends it
        self.current_at = None  # when we sent what a controller that lacks nothing answered last
        self.configuration_confirmed_at = NEVER  # the same, where nothing newer was named
        self.caught_up = False  # whether such a one, ever, told us nothing that we lack
        self.behind_since = None
        self.awake_at = None  # when the clock was last looked at
        self.anew = False  # whether the session ended by a stall of ours, not by the controller
        self.controller_address, self.lease = "", AccessLease()
        self.pool_mode_votes = lambda _now: []  # what the core's pooling has to say
        self.unsettled_since = None

    def seed_addresses(self) -> list[str]:
        """Where the settings' seeds take links."""
        return [f"{split_address(seed)[0]}:{self.low}" for seed in self.settings.seeds]

    def take_seeds(self) -> None:
        """The settings were read again, and may name other seeds."""
        self.candidates.replace_seeds(self.seed_addresses(), self.clock())

    @property
    def fresh(self) -> bool:
        """Whether a controller in a quorum has answered a heartbeat of ours within the claim."""
        return self.current_at is not None and self.clock() - self.current_at < CLAIM_S

    @property
    def is_current(self) -> bool:
        """Whether what we hold is what the fleet holds: a controller in a quorum spoke to us within the claim."""
        return self.is_informed and self.fresh

    @property
    def is_informed(self) -> bool:
        """Whether we once held all that a controller in a quorum held, or have looked for one long enough."""
        return self.caught_up or self.clock() - self.started_at > ALONE_S

    def confirmed_age_s(self, now: float) -> float:
        """Since we sent a heartbeat that a controller in a quorum answered; -1: none ever did."""
        return -1.0 if self.current_at is None else now - self.current_at

    def configuration_confirmed_until(self) -> float:
        """Until when no controller in a quorum can have had a newer configuration for `applyMs`."""
        claim_s = min(CLAIM_S, self.settings.bounds.apply_ms / 1000 * CONFIRMED_SHARE)
        return self.configuration_confirmed_at + claim_s

    def must_be_current(self, guarded: bool) -> bool:
        """Whether this pooler may serve only while it is sure: rules that must hold everywhere are in use, or it is new."""
        return guarded or bool(self.cache.priority.order) or not self.is_informed

    def hello(self) -> Hello:
        """How this pooler names itself."""
        settings = self.settings
        return Hello(
            settings.node,
            POOLER_ROLE,
            settings.zone,
            f"{settings.ip}:{relay_port(settings)}",
            settings.ip,
            self.incarnation,
        )

    async def apply_update(self, update: Update) -> None:
        """Takes an update, and passes on to the children what they lack."""
        if self.cache.apply(update):
            await self.on_update(update)
            self.relays.send_to_children()

    def heartbeat(self, reporting: bool = False) -> None:
        """Sends a heartbeat now."""
        if self.session:
            failed_backends = sorted(set(self.failed_backends))
            self.failed_backends.clear()
            now = self.clock()
            observations, self.shared_at = self.pools.observations(self.shared_at, now), now
            self.session.send(
                PoolerHeartbeat(
                    self.cache.digest(),
                    failed_backends,
                    observations,
                    self.report() if reporting else None,
                    self.leaving,
                    None if self.lease.until is None else now,
                    self.pool_mode_votes(now),
                    1 + round((now - self.started_at) * 1000),
                )
            )

    def say(self, message) -> None:
        """A message for the controller; without a session it is dropped, and said again later."""
        if self.session:
            self.session.send(message)

    # ------------------------------------------------------------ the session
    async def attach(self) -> None:
        """Keeps a session with the nearest controller that answers."""
        while True:
            opened = self.replacement or await self.discovery.open_first(self.candidates.order())
            self.replacement = None
            if opened is None:
                self.candidates.record_round_failed(self.clock())
                await curio.sleep(SEARCH_AGAIN_S)
                continue
            address, link = opened
            await self.hold_session(address, link)
            now = self.clock()
            self.log.session_ended(
                address, self.end_reason or "the link broke", self.cache.digest().configuration, now
            )
            if not (self.anew or self.replacement):
                self.candidates.record_failure(address, now)
            self.anew = False

    async def hold_session(self, address: str, link: Link) -> None:
        """One session, from its first heartbeat to its end."""
        self.session, self.controller_address, self.unsettled_since = link, address, None
        link.last_heartbeat_at = self.clock()
        self.end_reason = ""
        self.log.session_opened(address, self.clock())
        async with curio.TaskGroup(wait=None) as tasks:
            await tasks.spawn(self.watch, link, tasks)
            await tasks.spawn(self.look_for_nearer, link)
            self.heartbeat()
            await self.receive_all(link)
        self.session = None
        await link.close()

    async def receive_all(self, link: Link) -> None:
        """Takes what the controller says, to the session's end."""
        while (message := await link.receive()) is not None:
            if self.stalled():
                self.end_reason = "this pooler was stalled, it is opened anew"
                self.anew = True
                return
            link.last_heartbeat_at = self.clock()
            await self.receive(link, message)

    def stalled(self) -> bool:
        """Whether this pooler has not run for so long that what lies unread may be old."""
        return self.awake_at is not None and self.clock() - self.awake_at > QUIET_S

    def look(self, now: float) -> None:
        """The clock runs; after a stall the session is opened anew, since its backlog would count as fresh."""
        if self.stalled() and self.session:
            self.end_reason = "this pooler was stalled, it is opened anew"
            self.anew = True
            self.session.abort()
        self.awake_at = now

    async def watch(self, link: Link, tasks: curio.TaskGroup) -> None:
        """Beats on the session; ends it when it goes quiet, or when its controller lacks a quorum and another answers."""
        while True:
            await curio.sleep(BEAT_S if self.is_informed else EARLY_S)
            now = self.clock()
            if now - link.last_heartbeat_at > QUIET_S:
                self.end_reason = "the controller went quiet"
                break
            self.heartbeat()
            if self.unsettled_since is not None and now - self.unsettled_since > self.patience_s():
                self.unsettled_since = now
                await tasks.spawn(self.look_for_another, link)
        link.abort()

    def patience_s(self) -> float:
        """How long a controller that lacks its majority is kept; longer while none has one."""
        return min(MOST_UNSETTLED_S, UNSETTLED_S * 2 ** min(self.candidates.least_failures, 9))

    async def look_for_another(self, link: Link) -> None:
        """Goes on to another controller that answers, since the present one lacks its majority."""
        self.candidates.record_failure(self.controller_address, self.clock())
        others = self.candidates.others(self.controller_address)
        opened = await self.discovery.open_first(others)
        if opened:
            await self.replace(link, opened, "the controller lacks its majority, another is tried")

    async def look_for_nearer(self, link: Link) -> None:
        """Goes on to a clearly nearer controller once one answers."""
        while True:
            await curio.sleep(LOOK_NEARER_S)
            present = self.controller_address
            nearer = self.candidates.nearer_than(present, self.clock())
            opened = await self.discovery.open_first(nearer)
            if opened and self.candidates.is_nearer(opened[0], present):
                await self.replace(link, opened, "a nearer controller answers again")
            elif opened:
                await opened[1].close()

    async def replace(self, link: Link, opened: tuple[str, Link], reason: str) -> None:
        """Ends a session for one with a controller that has answered; nothing if it has ended meanwhile."""
        if self.session is not link or self.replacement or link.aborted:
            await opened[1].close()
            return
        self.replacement, self.end_reason = opened, reason
        link.abort()

    async def receive(self, link: Link, message) -> None:
        """What the controller says."""
        if isinstance(message, Update):
            await self.apply_update(message)
        elif isinstance(message, (IntentStored, OutcomeAcknowledged)):
            await self.on_delivery_reply(message)
        elif isinstance(message, ControllerHeartbeat):
            self.members = message.members
            self.members_counted = self.members_counted or self.clock() - self.started_at > SETTLE_S
            self.candidates.learn(message.controllers, self.clock())
            self.pools.take_observations(message.positions, self.clock())
            self.lease.receive(
                message.digest.access, self.cache.access.order, message.confirmed, self.clock()
            )
            if message.in_quorum:
                if message.answers_ms:  # by our own clock: an answer may be read late
                    sent_at = self.started_at + (message.answers_ms - 1) / 1000
                    self.current_at = max(self.current_at or 0.0, sent_at)
                    if message.digest.configuration <= self.cache.digest().configuration:
                        self.configuration_confirmed_at = max(
                            self.configuration_confirmed_at, sent_at
                        )
                self.caught_up = self.caught_up or (
                    self.fresh and self.cache.covers(message.digest)
                )
                self.unsettled_since = None
                self.candidates.record_answer(self.controller_address)
            else:
                self.unsettled_since = self.unsettled_since or self.clock()
            if message.log_level:
                set_level(message.log_level)
            if message.want_report:
                self.heartbeat(reporting=True)
            await self.relays.follow(message.parent)
            self.check_behind(link, message.digest)

    def check_behind(self, link: Link, digest: UpdateDigest) -> None:
        """Pulls from the controller itself when the tree leaves us behind for long."""
        now = self.clock()
        if digest == self.cache.digest():
            self.behind_since = None
        elif self.behind_since is None:
            self.behind_since = now
            if not self.relays.parent_address:
                link.send(Follow(self.cache.digest()))
        elif now - self.behind_since >= BEHIND_S:
            self.behind_since = now
            link.send(Follow(self.cache.digest()))
