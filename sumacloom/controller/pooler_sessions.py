"""The poolers in session at this controller: their heartbeats, and the updates that go out to them."""

from typing import TYPE_CHECKING, Any

from sumacloom.controller.pooler_link import PoolerLink
from sumacloom.settings import Settings
from sumacloom.transport.messages import (
    ControllerHeartbeat,
    DeliveryIntent,
    DeliveryOutcome,
    Follow,
    Hello,
    Message,
    PoolerHeartbeat,
)
from sumacloom.types import NEVER

if TYPE_CHECKING:
    from sumacloom.controller.core import ControllerCore

FAN_OUT = 4  # how many poolers of a zone, or of a parent, take their updates directly
COUNT_EVERY_S = 0.1
SUSPECT_REPEAT_S = 0.5


class PoolerSessions:
    """Sessions of poolers.

    Attributes:
        links: by node, the link of each pooler in session here.
    """

    def __init__(self, core: "ControllerCore", settings: Settings, port: int):
        self._core = core
        self._settings = settings
        self._port = port
        self.links: dict[str, PoolerLink] = {}
        self._member_count, self._counted_at = 1, NEVER

    def end(self, link: PoolerLink, now: float) -> None:
        """A link has ended; so has the session, unless the pooler has a newer link."""
        if self.links.get(link.node) is link:
            del self.links[link.node]
            self._core.members.end(link.node, now, link.leaving)

    def broadcast(self, message: Message) -> None:
        """A message for all poolers in session here."""
        for link in self.links.values():
            link.send(message)

    def send_updates(self) -> None:
        """Sends the poolers that take their updates from us what they lack."""
        cache, digest = self._core.cache, self._core.cache.digest()
        for link in self.links.values():
            if link.digest != digest and not link.parent:
                cache.send_newer(link, digest)

    def receive(self, link: PoolerLink, peer: Hello, message: Any, now: float) -> None:
        """A message of a pooler."""
        if isinstance(message, Follow):
            link.digest = message.digest
            update = self._core.cache.update_for(message.digest)
            if update:
                link.send(update)
        elif isinstance(message, DeliveryIntent):
            self._core.delivery.take_intent(peer.node, message, now)
        elif isinstance(message, DeliveryOutcome):
            self._core.delivery.take_outcome(peer.node, message, now)
        elif isinstance(message, PoolerHeartbeat):
            self._receive_heartbeat(link, peer, message, now)

    def _receive_heartbeat(
        self, link: PoolerLink, peer: Hello, message: PoolerHeartbeat, now: float
    ) -> None:
        core = self._core
        link.leaving, link.answers_ms = message.leaving, message.sent_ms
        link.stamps.receive(message.stamp, now)
        core.pool_mode_votes.receive(message.pool_mode_votes)
        core.members.receive(
            peer.node,
            peer.zone,
            peer.address,
            now,
            message.digest.priority,
            message.digest.subscribers,
            peer.incarnation,
        )
        self.links[peer.node] = link
        link.digest = message.digest
        if message.report:
            link.report, link.reported_at = message.report, now
        core.registry.take_observations(message.positions, now, own=True)
        for name in message.failed_backends:
            if now - core.registry.suspected_at.get(name, NEVER) > SUSPECT_REPEAT_S:
                core.report_suspect(name, now)
        link.parent = core.members.parent(peer.node, self._settings.zone, FAN_OUT)
        self.send_heartbeat(link, now)

    def send_heartbeat(
        self, link: PoolerLink, now: float, want_report: bool = False, log_level: str = ""
    ) -> None:
        """Our heartbeat to a pooler."""
        core = self._core
        addresses = [self._settings.ip, *core.peer_addresses()]
        positions = core.registry.observations(link.positions_sent_at, now)
        link.positions_sent_at = now
        link.send(
            ControllerHeartbeat(
                core.cache.digest(),
                self._count_members(now),
                link.parent,
                [f"{address}:{self._port}" for address in addresses],
                positions,
                want_report,
                log_level,
                core.in_quorum(now),
                link.stamps.confirmed_by(core.access.read_at),
                link.answers_ms,
            )
        )

    def _count_members(self, now: float) -> int:
        """How many poolers the fleet has; all are looked at, so not for each pooler's heartbeat."""
        if now - self._counted_at >= COUNT_EVERY_S:
            self._member_count, self._counted_at = max(1, self._core.members.count(now)), now
        return self._member_count
