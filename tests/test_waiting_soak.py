"""Random days of waiting statements; more of them by hand: `python3 -m tests.waiting_soak`."""

import pytest

from .waiting_soak import Day

DAYS, DAY_S = 40, 15.0


@pytest.mark.parametrize("seed", range(DAYS))
def test_no_statement_is_late_lost_doubled_or_refused_without_a_reason(seed):
    day = Day(seed, DAY_S).play()
    assert day.breaches == []
    assert day.acknowledged
    assert day.outcomes["BUSY"]
