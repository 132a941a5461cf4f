"""Which logs earlier promotions left behind.

A promotion goes on from what its backend had received. Commits beyond that position are cut back, and reads
that ran since lack them. A log that still ends in them must not lead again.
"""

from collections.abc import Sequence

from sumacloom.controller.failover.backend_status import BackendStatus, Statuses
from sumacloom.controller.registers.promotions import MAX_KEPT, Promotion, newest_term
from sumacloom.transport.updates import BackendRecord


def decide(target: BackendRecord, status: BackendStatus, history: Sequence[Promotion]) -> Promotion:
    """What is decided by promoting a backend.

    Args:
        target: who is to lead.
        status: what it says of itself.
        history: the promotions decided before.
    """
    term = max(status.term, newest_term(history))
    return Promotion(target.name, target.incarnation, term, *status.position)


def has_followed(status: BackendStatus, promotion: Promotion) -> bool:
    """Whether a backend has met the term that a promotion led to, and so was cut back to its log."""
    if promotion.led_term:
        return status.term >= promotion.led_term
    return status.term > promotion.term


def is_left_behind(status: BackendStatus, history: Sequence[Promotion]) -> bool:
    """Whether a log ends in commits that a decided promotion left behind, and has not followed it since.

    Of a log from before all promotions that are kept nothing can be told; it counts as left behind.

    >>> from sumacloom.controller.failover.backend_status import parse_status
    >>> history = [Promotion("i-2", 0, 1, 1, 179)]
    >>> rows = ("1 1.204", "1 1.178", "2 2.193")
    >>> [is_left_behind(parse_status(f"replica {row} 0 0 0 0"), history) for row in rows]
    [True, False, False]
    """
    if len(history) == MAX_KEPT and status.term < history[0].term:
        return True
    return any(
        status.position > promotion.position and not has_followed(status, promotion)
        for promotion in history
    )


def without_ineffective(history: Sequence[Promotion], statuses: Statuses) -> Sequence[Promotion]:
    """The history without a newest promotion whose backend shows that it never took effect.

    The caller has seen to it that the call can't take effect any more.

    Args:
        history: the service's decided promotions, the oldest first.
        statuses: what backends say of themselves.
    """
    if not history or history[-1].led_term:
        return history
    newest = history[-1]
    for backend, status in statuses.items():
        same = (backend.name, backend.incarnation) == (newest.backend, newest.incarnation)
        if same and not status.is_primary and not has_followed(status, newest):
            return history[:-1]
    return history
