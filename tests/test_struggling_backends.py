"""Backends that shed, fail or stay silent: how often they are sent something, whoever it is for."""

import pytest

from .stage import Stage, stage_with


def sends_to(stage, lead, seconds, statements):
    """How often a primary that answers BUSY to everything is sent one of the statements, in ticks."""
    sent = 0
    for _tick in range(round(seconds / 0.05)):
        for line in stage.take(lead.key):
            assert line in statements
            sent += 1
            stage.answer(lead, "ERR BUSY x", "READY I 1.10")
        stage.tick()
    return sent


@pytest.mark.parametrize("clients", [1, 8, 40])
def test_sends_to_a_backend_that_sheds_are_bounded_whoever_they_are_for(clients):
    """First sends and repeats count alike: more who wait are not more sends."""
    stage = stage_with(tmoMs=9000)
    lead, *_others = stage.warm()
    stage.core.pools.connection_limit = lambda _backend, _now: 1
    for key in range(1, clients + 1):
        stage.client(key, "books")
        stage.say(key, f"QUERY {key} PUT a b")
    statements = {f"QUERY {key} PUT a b" for key in range(1, clients + 1)}
    assert 5 <= sends_to(stage, lead, 2.0, statements) <= 9
    assert 4 <= sends_to(stage, lead, 2.0, statements) <= 5  # the pause has grown, and no more
    assert not any(stage.take(key) for key in range(1, clients + 1))  # all wait on
    for _tick in range(10):
        stage.tick()
    (line,) = stage.take(lead.key)
    assert line in statements


def test_a_backend_that_sheds_pauses_first_sends_and_open_transactions_as_well():
    stage = Stage()
    lead, *_others = stage.warm()
    stage.begun(lead)
    stage.client(2, "books")
    stage.core.pools.backends["p"].send_backoff.refused(stage.now)
    stage.say(2, "QUERY 7 PUT c d")
    stage.say(1, "QUERY 8 PUT e f")
    assert stage.take(lead.key) == []
    stage.tick()
    assert stage.take(lead.key) == ["QUERY 8 PUT e f"]
