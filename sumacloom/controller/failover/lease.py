"""The failover lease: one controller at a time replaces primaries; it is taken when it falls vacant."""

import logging
from typing import TYPE_CHECKING

from sumacloom.controller.registers import FAILOVER_LEASE_KEY
from sumacloom.controller.registers.lease import LeaseValue, acquire_lease, release_lease
from sumacloom.types import NEVER

if TYPE_CHECKING:
    from sumacloom.controller.core import ControllerCore

logger = logging.getLogger(__name__)

WARM_UP_S = 1.1  # after a start, the time in which a living holder is heard
STAGGER_S = 0.3  # how much later the next controller in line stands for the lease
RELEASE_REST_S = 6.0


class FailoverLease:
    """The lease as one controller knows it.

    Attributes:
        value: the committed value; None before the first holder.
        held_since: when this holding began here.
        previous_holder: who held it before.
        not_before: this controller doesn't stand for the lease before that moment.
    """

    def __init__(self, core: "ControllerCore", now: float):
        self._core = core
        self.value: LeaseValue | None = None
        self.held_since = now
        self.previous_holder = ""
        self.not_before = NEVER
        self._vacant_since: float | None = None

    def apply(self, value: LeaseValue, now: float) -> None:
        """The lease was committed anew."""
        before = self.value
        if before is not None and value.fencing_token < before.fencing_token:
            return
        if value != before:
            holder = value.holder or "nobody"
            logger.info("the failover lease is with %s, token %d", holder, value.fencing_token)
        if before is None or (value.holder, value.nonce) != (before.holder, before.nonce):
            self.held_since = now
            self.previous_holder = before.holder if before else ""
        self.value = value

    def is_vacant(self, now: float) -> bool:
        """Whether nobody holds it: no holder yet, an earlier incarnation of ours, one no quorum hears."""
        core, value, quorum = self._core, self.value, self._core.acceptor.quorum
        reachable = core.reconfiguration.reachable(now)
        if not quorum.has_quorum(reachable) or now - core.started_at < WARM_UP_S:
            return False
        if value is None or not value.holder:
            return True
        if value.holder == core.me:
            return value.nonce != core.nonce
        if value.holder not in quorum.members:
            return True
        if core.is_alive(value.holder, now):
            return False
        unaware = [
            peer
            for peer in reachable
            if peer == core.me or value.holder not in core.peers[peer].heartbeat.heartbeats_received
        ]
        return quorum.has_quorum(unaware)

    def on_timer(self, now: float) -> None:
        """Stands for the lease when it falls vacant, the controllers one after the other."""
        if not self.is_vacant(now) or now < self.not_before:
            self._vacant_since = None
            return
        if self._vacant_since is None:
            self._vacant_since = now
        core = self._core
        busy = core.is_busy(FAILOVER_LEASE_KEY)
        if not busy and now - self._vacant_since >= STAGGER_S * self._place_in_line(now):
            core.propose(FAILOVER_LEASE_KEY, acquire_lease(core.me, core.nonce, self.value), now)

    def _place_in_line(self, now: float) -> int:
        holder = self.value.holder if self.value else ""
        if holder == self._core.me:
            return 0
        line = [peer for peer in self._core.reconfiguration.reachable(now) if peer != holder]
        return line.index(self._core.me)

    def is_own(self) -> bool:
        """Whether this incarnation of this controller is the holder, as far as it knows."""
        value, core = self.value, self._core
        return value is not None and (value.holder, value.nonce) == (core.me, core.nonce)

    def is_held(self, now: float) -> bool:
        """Whether this controller may act as the holder; any doubt says no."""
        return self.is_own() and self._core.is_voter and self._core.has_quorum_contact(now)

    def release(self, now: float, rest_s: float = RELEASE_REST_S) -> None:
        """Gives the lease up because the platform can't be reached from here."""
        assert self.value is not None  # only a holder gives it up
        self.not_before = now + rest_s
        logger.warning("the platform can't be reached from here: releasing the failover lease")
        self._core.propose(FAILOVER_LEASE_KEY, release_lease(self.value), now)
