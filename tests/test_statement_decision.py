"""The one decision on waiting, refusing and sending again, and the estimates that it rests on."""

import pytest

from sumacloom.pooler.run_times import MAX_AGE_S, RunTimes
from sumacloom.pooler.send_backoff import SendBackoff
from sumacloom.pooler.statement_decision import (
    Decision,
    SentStatement,
    WaitingStatement,
    decide_sent,
    decide_waiting,
    read_overdue_s,
)

GO_ON, REFUSE, SEND_AGAIN = Decision.GO_ON, Decision.REFUSE, Decision.SEND_AGAIN

WAITING = [
    # (seconds since arrival, time-out, turn, run, possible here, decision)
    (0.0, 3.0, None, None, True, GO_ON),
    (2.89, 3.0, None, None, True, GO_ON),  # unknown: as long as there is time
    (2.91, 3.0, None, None, True, REFUSE),  # the caller still reads it
    (3.5, 3.0, None, None, True, REFUSE),
    (0.0, 0.1, None, None, True, GO_ON),
    (0.04, 0.1, None, None, True, GO_ON),
    (0.06, 0.1, None, None, True, REFUSE),
    (0.0, 60.0, None, None, True, GO_ON),
    (59.8, 60.0, None, None, True, GO_ON),  # never a share of the time-out
    (0.0, 3.0, None, 2.9, True, GO_ON),
    (0.2, 3.0, None, 2.9, True, REFUSE),  # less is left than the shortest run
    (0.0, 3.0, 2.5, 0.4, True, GO_ON),
    (0.0, 3.0, 2.7, 0.4, True, REFUSE),  # its turn comes too late
    (0.0, 3.0, 3.1, None, True, REFUSE),
    (0.0, 3.0, None, None, False, REFUSE),  # another pooler may do it, this one can't
    (0.0, 3.0, 0.0, 0.01, False, REFUSE),
]


@pytest.mark.parametrize(("age", "timeout", "turn", "run", "possible", "decision"), WAITING)
def test_what_becomes_of_a_statement_that_waits(age, timeout, turn, run, possible, decision):
    statement = WaitingStatement(100.0 + timeout, timeout, turn, run, possible)
    assert decide_waiting(100.0 + age, statement) is decision


SENT = [
    # (seconds since it was sent, time left when it was sent, overdue after, run, decision)
    (0.0, 3.0, None, None, GO_ON),
    (2.99, 3.0, None, None, GO_ON),  # a write is waited for to the end
    (3.0, 3.0, None, None, REFUSE),
    (1.4, 3.0, 1.5, None, GO_ON),
    (1.5, 3.0, 1.5, None, SEND_AGAIN),
    (1.5, 3.0, 1.5, 1.6, GO_ON),  # a repeat would not end in time
    (3.0, 3.0, 1.5, None, REFUSE),
    (0.24, 1.0, 0.25, None, GO_ON),
    (0.25, 1.0, 0.25, None, SEND_AGAIN),
]


@pytest.mark.parametrize(("since", "left", "overdue", "run", "decision"), SENT)
def test_what_becomes_of_a_statement_without_an_answer(since, left, overdue, run, decision):
    statement = SentStatement(100.0 + left, 100.0, overdue, run)
    assert decide_sent(100.0 + since, statement) is decision


@pytest.mark.parametrize("left", [0.6, 1.0, 3.0, 60.0])
@pytest.mark.parametrize("usual", [None, 0.01, 0.2])
def test_a_repeat_of_a_read_has_as_long_as_the_send_before_it(left, usual):
    assert read_overdue_s(100.0 + left, 100.0, usual) == pytest.approx(left / 2)


@pytest.mark.parametrize("usual", [2.0, 2.9])
def test_a_read_is_not_overdue_before_answers_usually_come(usual):
    assert read_overdue_s(103.0, 100.0, usual) == usual


def test_run_times_follow_what_is_seen_and_are_forgotten():
    times = RunTimes()
    for number in range(50):
        times.observe("write", 0.1, number / 10)
    assert times.mean_s("write", 5.0) == pytest.approx(0.1)
    assert times.usual_s("write", 5.0) == pytest.approx(0.1, abs=0.01)
    for number in range(50):
        times.observe("write", 0.4, 5.0 + number / 10)
    assert times.mean_s("write", 10.0) == pytest.approx(0.4, abs=0.01)
    assert times.shortest_s("write", 10.0) == 0.1  # still of the window before
    for number in range(60):
        times.observe("write", 0.4, 10.0 + number / 10)
    assert times.shortest_s("write", 16.0) == 0.4
    assert times.mean_s("write", 16.0 + MAX_AGE_S) is None
    times.observe("write", 0.2, 40.0)
    assert times.mean_s("write", 40.0) == times.shortest_s("write", 40.0) == 0.2


def test_run_times_are_bounded():
    times = RunTimes()
    times.observe("write", 1e9, 1.0)
    assert times.mean_s("write", 1.0) <= 60.0


def test_the_pause_grows_with_each_refusal_up_to_a_bound_and_starts_anew_after_a_success():
    backoff, now, pauses = SendBackoff(), 0.0, []
    for _refusal in range(8):
        backoff.refused(now)
        backoff.refused(now)  # sent before the pause: counts once
        pauses.append(round(backoff.resumes_at - now, 3))
        now = backoff.resumes_at
    assert pauses == [0.03, 0.06, 0.12, 0.24, 0.48, 0.48, 0.48, 0.48]
    backoff.accepted()
    assert not backoff.is_paused(now)
    backoff.refused(now)
    assert round(backoff.resumes_at - now, 3) == 0.03
