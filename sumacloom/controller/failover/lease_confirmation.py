"""What lets a holder of the failover duty call the platform: the fence its plan began under, confirmed right before.

A confirmation is a reading of the duty at a majority and is as old as the moment it was ASKED for: whoever stood
still, or reads from a backlog, finds it too old and asks anew. A call leaves CONFIRMED_S after that at the latest and
is given up FLIGHT_S after it left. So a holder that waits LEASE_S from its own taking of the duty never meets a call
of the one before it; that wait is needed only where the platform checks no fences.
"""

from collections import deque

from sumacloom.controller.failover import lease
from sumacloom.controller.registers.values import DutyValue, decode, keep

CONFIRMED_S = 0.5
REUSED_S = 0.25  # a plan's first reading serves its call too while it is younger than this
FLIGHT_S = 1.5  # the cutoff of a call, and of the kernel that still tries to deliver it
LEASE_S = CONFIRMED_S + FLIGHT_S
TRIES = 2
CALLS_S, SHARE_OF_CALLS = 1.0, 0.8


class Holding:
    """The duty as one plan holds it; only a `Fence` of that plan moves it on.

    >>> Holding(DutyValue("a", 3, 7)).duty.fence
    3
    """

    def __init__(self, duty: DutyValue, asked: tuple | None = None):
        self.duty, self.asked = duty, asked  # asked: the reading by which the plan began

    def move_on(self, duty: DutyValue) -> None:
        """The plan's own fence has risen; what was read before no longer confirms it.

        >>> holding = Holding(DutyValue("a", 3, 7)); holding.move_on(DutyValue("a", 4, 7)); holding.duty.fence
        4
        """
        self.duty, self.asked = duty, None


def first_call_at(office) -> float:
    """The moment from which this holder may call the platform; long past where it need not wait."""
    bounds, duty, before = office.settings.bounds, office.duty, office.duty_before
    if duty is None or duty.fence <= 1:
        return -1e9  # nobody held it before
    waits = [] if bounds.fencing else [LEASE_S]
    if bounds.lease_ms and before != office.me and (not before or office.alive(before, office.now)):
        waits.append(bounds.lease_ms / 1000 + CONFIRMED_S)
    return office.duty_since + max(waits) if waits else -1e9


def may_send(office, holding: Holding, read: bytes | None, asked_at: float, now: float) -> bool:
    """Whether a call of this plan may leave now, the duty having been read at a majority that was asked at `asked_at`."""
    return (
        decode(DutyValue, read) == holding.duty == office.duty
        and lease.holds_duty(office, now)
        and now - asked_at <= CONFIRMED_S
        and now >= first_call_at(office)
    )


async def ask(shell, holding: Holding | None = None) -> tuple:
    """The duty read at a majority: (when that was asked for, the result). The plan's own reading, if it is young."""
    asked_at = shell.now()
    if holding and holding.asked and asked_at - holding.asked[0] <= REUSED_S:
        return holding.asked
    return asked_at, await shell.decide(lease.DUTY, keep, reading=True)


async def confirm(shell, holding: Holding, asked: tuple | None = None) -> bool:
    """Whether a call of this plan may leave at once, by the reading `asked` or a new one; one too old is asked anew."""
    for _try in range(TRIES):
        asked_at, result = asked or await ask(shell, holding)
        asked = None
        if result.is_ok() and may_send(
            shell.office, holding, result.ok()[1], asked_at, shell.now()
        ):
            return True
        if result.is_err() or shell.now() - asked_at <= CONFIRMED_S:
            return False
    return False


def pause_of(calls: deque, most: float, now: float) -> float:
    """How long the next call must wait so that no second holds more than our share of the platform's `most`.

    >>> pause_of(deque([1.0, 1.2]), 2.5, 1.5)
    0.5
    """
    while calls and now - calls[0] >= CALLS_S:
        calls.popleft()
    allowed = max(1, int(most * SHARE_OF_CALLS))
    return calls[-allowed] + CALLS_S - now if len(calls) >= allowed else 0.0
