"""What lets a holder of the failover lease call the platform: its fencing token, confirmed right before.

A confirmation is a read of the lease at a quorum and is as old as the moment it was ASKED for: a process
that was stalled, or reads from a backlog, finds it too old and asks anew. A call leaves at most
CONFIRMED_S after that, and is given up FLIGHT_S after it left. So a holder that waits LEASE_S from its own
taking of the lease never meets a call of the one before it; that wait is needed only where the platform
checks no fencing tokens.
"""

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from sumacloom.consensus.codec import decode, unchanged
from sumacloom.controller.registers import FAILOVER_LEASE_KEY
from sumacloom.controller.registers.lease import LeaseValue
from sumacloom.errors import SumacloomError
from sumacloom.types import NEVER

if TYPE_CHECKING:
    from sumacloom.controller.core import ControllerCore
    from sumacloom.controller.process import ControllerProcess

CONFIRMED_S = 0.5
REUSED_S = 0.25  # a plan's first read serves its call too while it is younger than this
FLIGHT_S = 1.5  # the timeout of a call, and of the kernel that still tries to deliver it
LEASE_S = CONFIRMED_S + FLIGHT_S
ATTEMPTS = 2
RATE_WINDOW_S, SHARE_OF_RATE = 1.0, 0.8


class LeaseRead(NamedTuple):
    """A read of the lease at a quorum: when it was asked for, and the value or why there is none."""

    asked_at: float
    value: bytes | None
    error: SumacloomError | None = None

    def lease(self) -> LeaseValue | None:
        """The lease that was read."""
        return decode(LeaseValue, self.value)


class HeldLease:
    """The lease as one plan holds it; only that plan's own raise of the token renews it."""

    def __init__(self, value: LeaseValue, read: LeaseRead | None = None):
        self.value = value
        self.read = read  # the read by which the plan began

    def renew(self, value: LeaseValue) -> None:
        """Our token has risen; what was read before no longer confirms it."""
        self.value = value
        self.read = None


def first_call_at(core: "ControllerCore") -> float:
    """The moment from which this holder may call the platform; long past where it need not wait."""
    bounds, lease = core.settings.bounds, core.failover_lease
    if lease.value is None or lease.value.fencing_token <= 1:
        return NEVER  # nobody held it before
    waits = [] if bounds.fencing else [LEASE_S]
    before = lease.previous_holder
    in_touch = not before or core.is_alive(before, core.now)
    if bounds.lease_ms and before != core.me and in_touch:
        waits.append(bounds.lease_ms / 1000 + CONFIRMED_S)
    return lease.held_since + max(waits) if waits else NEVER


def may_send(core: "ControllerCore", held_lease: HeldLease, read: LeaseRead, now: float) -> bool:
    """Whether a call of this plan may leave now."""
    return (
        read.lease() == held_lease.value == core.failover_lease.value
        and core.failover_lease.is_held(now)
        and now - read.asked_at <= CONFIRMED_S
        and now >= first_call_at(core)
    )


async def read_lease(
    process: "ControllerProcess", held_lease: HeldLease | None = None
) -> LeaseRead:
    """Reads the lease at a quorum; a plan's own first read serves again while it is young."""
    asked_at = process.now()
    first = held_lease.read if held_lease else None
    if first and asked_at - first.asked_at <= REUSED_S:
        return first
    try:
        value = await process.commit(FAILOVER_LEASE_KEY, unchanged, reading=True)
    except SumacloomError as error:
        return LeaseRead(asked_at, None, error)
    return LeaseRead(asked_at, value)


async def confirm(
    process: "ControllerProcess", held_lease: HeldLease, read: LeaseRead | None = None
) -> bool:
    """Whether a call of this plan may leave at once, by this read or a new one; an old one is repeated."""
    for _attempt in range(ATTEMPTS):
        found = read or await read_lease(process, held_lease)
        read = None
        if found.error is not None:
            return False
        if may_send(process.core, held_lease, found, process.now()):
            return True
        if process.now() - found.asked_at <= CONFIRMED_S:
            return False
    return False


def delay_before_call(calls: deque[float], rate: float, now: float) -> float:
    """How long the next call must wait so that no second holds more than our share of the platform's rate.

    >>> delay_before_call(deque([1.0, 1.2]), 2.5, 1.5)
    0.5
    """
    while calls and now - calls[0] >= RATE_WINDOW_S:
        calls.popleft()
    allowed = max(1, int(rate * SHARE_OF_RATE))
    return calls[-allowed] + RATE_WINDOW_S - now if len(calls) >= allowed else 0.0
