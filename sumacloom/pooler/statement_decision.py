"""Decides whether a statement goes on, is refused now, or is sent again.

Three facts decide, and nothing else: the time that the caller has (its deadline), the work that is left, as
observed lately, and whether this pooler can do it at all. The decision knows no socket, queue or clock. First
sends and repeats are the same to it.
"""

from enum import Enum, auto
from typing import NamedTuple

# a refusal must reach its caller before the deadline: two looks at the clock, and the way back
ANSWER_MARGIN_S = 0.1
# network: a round trip between regions and one retransmission, which comes after 0.2 s at the least
SILENCE_BOUND_S = 0.25


class Decision(Enum):
    """What becomes of a statement."""

    GO_ON = auto()  # it waits on, or its answer is waited for
    REFUSE = auto()  # its caller is told the truth now
    SEND_AGAIN = auto()  # its answer counts as lost


class WaitingStatement(NamedTuple):
    """A statement of which nothing has been sent to a backend.

    Attributes:
        deadline: the end of its route's time-out, counted from its arrival; seconds on the steady clock.
        timeout_s: that time-out.
        turn_s: how long what waits before it will take, None if unknown.
        run_s: the shortest run of its kind observed lately, None if unknown.
        possible_here: False where this pooler can't do it whatever comes, and another may.
    """

    deadline: float
    timeout_s: float
    turn_s: float | None = None
    run_s: float | None = None
    possible_here: bool = True


class SentStatement(NamedTuple):
    """A statement, or our own preparation for it, that a backend has not answered.

    Attributes:
        deadline: as above.
        sent_at: when it was sent.
        overdue_s: after how long without an answer it counts as lost; None if it must not be sent again.
        run_s: the shortest run of its kind observed lately, None if unknown.
    """

    deadline: float
    sent_at: float
    overdue_s: float | None = None
    run_s: float | None = None


def answer_margin_s(timeout_s: float) -> float:
    """How long before its deadline a statement that has not run is refused; half a short time-out at most.

    >>> answer_margin_s(3.0), answer_margin_s(0.1)
    (0.1, 0.05)
    """
    return min(ANSWER_MARGIN_S, timeout_s / 2)


def read_overdue_s(deadline: float, sent_at: float, usual_answer_s: float | None) -> float:
    """After how long the answer of a single read counts as lost.

    Half of the time that was left when it was sent: a slow answer comes in it, or a repeat has as long. Never
    sooner than answers usually come, or than the network may take.

    >>> read_overdue_s(12.0, 10.0, None), read_overdue_s(12.0, 10.0, 1.5), read_overdue_s(10.2, 10.0, None)
    (1.0, 1.5, 0.25)
    """
    return max(SILENCE_BOUND_S, (deadline - sent_at) / 2, usual_answer_s or 0.0)


def decide_waiting(now: float, statement: WaitingStatement) -> Decision:
    """Refuses once success is not possible any more; what is unknown never refuses.

    >>> decide_waiting(10.0, WaitingStatement(13.0, 3.0)), decide_waiting(12.9, WaitingStatement(13.0, 3.0))
    (<Decision.GO_ON: 1>, <Decision.REFUSE: 2>)
    """
    if not statement.possible_here:
        return Decision.REFUSE
    work_s = (statement.turn_s or 0.0) + (statement.run_s or 0.0)
    left_s = statement.deadline - now
    if left_s <= max(work_s, answer_margin_s(statement.timeout_s)):
        return Decision.REFUSE
    return Decision.GO_ON


def decide_sent(now: float, statement: SentStatement) -> Decision:
    """Refuses at the deadline; sends again what is overdue, if a run still fits before it.

    >>> decide_sent(10.3, SentStatement(11.0, 10.0, overdue_s=0.25))
    <Decision.SEND_AGAIN: 3>
    """
    left_s = statement.deadline - now
    if left_s <= 0:
        return Decision.REFUSE
    overdue = statement.overdue_s is not None and now - statement.sent_at >= statement.overdue_s
    if overdue and left_s > (statement.run_s or 0.0):
        return Decision.SEND_AGAIN
    return Decision.GO_ON
