"""Waiting: how long statements are held, what goes first, and who gets connections."""

import pytest

from .stage import CONFIGURATION, Stage, stage_with

HOLDS = [
    # (seconds without a primary before the statement, word of a coming lead, held at least, at most; aim 400 ms, time-out 1 s)
    (0.0, False, 0.10, 0.25),
    (3.0, False, 0.0, 0.15),
    (0.0, True, 0.60, 0.95),
]


@pytest.mark.parametrize(("without_primary", "pending", "least", "most"), HOLDS)
def test_how_long_a_statement_is_held_without_a_lead(without_primary, pending, least, most):
    routes = [{**CONFIGURATION["routes"][0], "goalMs": 400}]
    stage = Stage({**CONFIGURATION, "routes": routes})
    stage.client(1, "books")
    service_pool = stage.core.pools.service_pool("svc")
    service_pool.without_primary_since = stage.now - without_primary
    service_pool.pending_until = stage.now + 2.0 if pending else -1e9
    stage.core.pools.backends["p"].role = "replica"
    started = stage.now
    stage.say(1, "QUERY 1 PUT a b")
    while not stage.sent.get(1):
        stage.tick(0.01)
    assert stage.take(1)[0].startswith("ERR BUSY") and least <= stage.now - started <= most


def test_the_priority_lane_goes_first_and_keeps_the_last_connection():
    stage = Stage(
        svcs=[{"name": "svc", "maxconn": 23}]
    )  # a fair share of two connections for eight members
    lead, *_others = stage.warm()
    stage.core.pools.backends["p"].connection_limit_until = stage.now + 9
    stage.core.apply_priority(["copies"], True, True, stage.now)
    stage.client(1, "books")
    stage.client(2, "books")
    stage.client(3, "copies")
    stage.say(1, "QUERY 1 PUT a b")
    assert stage.take(lead.key) == ["QUERY 1 PUT a b"]
    stage.say(2, "QUERY 2 PUT a b")
    second = stage.connections("p")[1]
    stage.take(second.key)
    stage.answer(second, "READY I 1.10")
    assert stage.take(second.key) == []  # the last connection is kept
    stage.say(3, "QUERY 3 PUT a b")
    assert stage.take(second.key) == ["QUERY 3 PUT a b"]


def test_a_pooler_unsure_of_the_lanes_is_not_ready_and_drops_nothing_asked():
    stage = Stage()
    lead, *_others = stage.warm()
    stage.client(1, "books")
    stage.client(2, "books")
    stage.say(2, "QUERY 1 PUT a b")
    stage.core.apply_priority(["books"], False, False, stage.now)
    stage.act()
    assert stage.core.ready and not stage.shut  # lanes never used: nothing changes
    stage.core.apply_priority(["books"], False, True, stage.now)
    stage.act()
    assert not stage.core.ready and stage.shut == [1]
    stage.answer(lead, "DONE 7.1", "READY I 1.12")
    assert stage.take(2) == ["DONE 7.1", "READY I 1.12"]
    stage.core.apply_priority(["books"], True, True, stage.now)
    assert stage.core.ready


def test_a_value_set_again_inside_a_transaction_is_put_in_place_there():
    stage = Stage()
    lead, *_others = stage.warm()
    stage.begun(lead)
    for number, value in enumerate(["cairo", "alex"]):
        stage.say(1, f"QUERY 3{number} SET tz {value}")
        stage.say(1, f"QUERY 4{number} PUT a b")
        assert stage.take(lead.key) == [f"QUERY - SET tz {value}"]
        stage.answer(lead, "DONE -", "READY T 1.12")
        assert stage.take(lead.key) == [f"QUERY 4{number} PUT a b"]
        stage.answer(lead, f"DONE 7.4{number}", "READY T 1.12")
    stage.say(1, "QUERY 5 ABORT")
    assert stage.take(lead.key) == ["QUERY - ABORT"]
    stage.answer(lead, "DONE -", "READY I 1.12")
    stage.client(2, "books")
    stage.say(2, "QUERY 6 SET tz alex")
    stage.say(2, "QUERY 7 PUT a b")  # a rollback may have undone the SET: not trusted
    assert stage.take(lead.key) == ["QUERY - RESET", "QUERY - SET tz alex"]


@pytest.mark.parametrize("isolated", [False, True])
def test_a_pooler_that_hears_nobody_and_has_no_lead_lets_its_clients_go_elsewhere_at_once(
    isolated,
):
    """Found on emra-tiles-control scale-2: cut off together with the old primary, three poolers held what they
    could not serve, for a lead that was on the other side.
    """
    stage = Stage()
    lead, _q, _r = stage.warm()
    stage.core.isolated = isolated
    stage.client(1, "books")
    stage.say(1, "QUERY 5 PUT a b")
    stage.answer(lead, "ERR RO p", "READY I 1.10")
    for _tick in range(3):
        stage.tick()
    reported = stage.take(1)
    assert (1 in stage.shut) == isolated and bool(reported) == isolated
    if isolated:
        assert reported[0].startswith("ERR BUSY not run: this pooler reaches no primary")


def test_resends_to_a_struggling_service_are_bounded_and_what_has_none_left_is_told_at_once():
    stage = Stage()
    lead, _q, _r = stage.warm()
    sent = 0
    for key in range(1, 9):
        stage.client(key, "books")
        stage.say(key, f"QUERY {key} PUT a b")
        for _try in range(25):
            if f"QUERY {key} PUT a b" in stage.take(lead.key):
                sent += 1
                stage.answer(lead, "ERR BUSY x", "READY I 1.10")
            stage.tick()
        assert stage.take(key)[0].startswith("ERR BUSY")
    assert 20 <= sent <= 8 + 20 + 50  # one each, the budget, and what ten seconds add to it


@pytest.mark.parametrize("code", ["BUSY", "FAIL"])
def test_a_replica_that_sheds_or_fails_reads_behind_a_good_health_answer_is_asked_last(code):
    stage = Stage()
    _lead, near, far = stage.warm()
    stage.client(1, "search")
    stage.say(1, "QUERY 5 FETCH a")
    stage.anchor(stage.connections("p")[0])
    assert "FETCH a" in stage.take(near.key)[0]
    stage.answer(near, f"ERR {code} x", "READY I 1.10")
    stage.tick(0.04)
    assert "FETCH a" in stage.take(far.key)[0]


def test_a_fleet_that_starts_at_once_does_not_give_all_connections_to_whoever_comes_first():
    """Found on a large day after all power was lost: 195 poolers thought they were 8; 4,171 connections were reset,
    and who had none stayed without, since idle connections above the fair share were kept.
    """
    stage = Stage(svcs=[{"name": "svc", "maxconn": 800}])
    pools, lead = stage.core.pools, stage.core.pools.backends["p"]
    pools.members_counted = False
    assert pools.connection_limit(lead, stage.now) == 4  # 8 members would make it 32
    pools.members_counted = True
    assert pools.connection_limit(lead, stage.now) == 32
    stage.warm()
    for _wire in range(9):
        connection = pools.new_connection(lead, stage.now)
        stage.core.connections[connection.key] = connection
        connection.login("edge-1")
        stage.answer(connection, "READY I 1.10")
    pools.count_members(200, stage.now)  # now they are counted: 2 each, 4 while nobody minds
    stage.tick(0.5)
    assert len(lead.connections) == 10
    for _tick in range(4):
        stage.tick(0.6)
    assert len(lead.connections) == 4


def test_many_lines_refused_at_once_are_all_answered():
    """One answer led to the next within the last: a long row of them exhausted the stack."""
    stage = Stage({**CONFIGURATION, "limits": {"txIdleMs": 3000, "guarded": True}})
    stage.warm()
    stage.client(1, "books")
    stage.core.unsure = True
    stage.say(1, *(f"QUERY {number} PUT a b" for number in range(3000)))
    assert len(stage.take(1)) == 2 * 3000


@pytest.mark.parametrize("outage_s", [0.4, 0.8])
def test_a_primary_that_is_started_anew_is_dialled_while_statements_wait_for_it(outage_s):
    """Its dials had failed, and the pause between them had grown."""
    stage = stage_with(tmoMs=3000)
    lead, *_others = stage.warm()
    stage.client(1, "books")
    stage.lose(lead)
    stage.say(1, "QUERY 1 PUT a b")
    for _tick in range(round(outage_s / 0.05)):
        for connection in stage.connections("p"):
            stage.lose(connection)  # refused
        stage.tick()
    assert stage.take(1) == []
    for connection in stage.connections("p"):
        stage.lose(connection)
    stage.records("p", role="primary", incarnation=1)
    (connection,) = stage.connections("p")
    stage.take(connection.key)
    stage.answer(connection, "READY I 1.10")
    assert stage.take(connection.key) == ["QUERY 1 PUT a b"]
