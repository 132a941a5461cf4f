"""The send rules: what goes to which backend, what may go twice, what a client is told."""

import pytest

from .stage import CONFIGURATION, Stage


def test_primary_read_is_fenced_by_a_plain_begin():
    stage = Stage()
    lead, *_others = stage.warm()
    stage.client(1, "books")
    stage.say(1, "QUERY 5c FETCH a")
    assert stage.take(lead.key) == ["QUERY - BEGIN"]  # FETCH only after BEGIN has succeeded
    stage.answer(lead, "DONE -", "READY T 1.11")
    assert stage.take(lead.key) == ["QUERY 5c FETCH a", "QUERY - ABORT"]
    stage.answer(lead, "ROW x y", "DONE 7.1", "READY T 1.11")
    assert stage.take(1) == ["ROW x y", "DONE 7.1", "READY I 1.11"]
    stage.answer(lead, "DONE -", "READY I 1.11")
    assert lead in stage.core.pools.backends["p"].idle


def test_refused_begin_never_lets_the_read_run_there():
    stage = Stage()
    lead, *_others = stage.warm()
    stage.client(1, "books")
    stage.say(1, "QUERY 5c FETCH a")
    stage.take(lead.key)
    stage.answer(lead, "ERR RO p", "READY I 1.11")
    assert stage.take(lead.key) == [] and stage.take(1) == []
    stage.records("q", role="primary")
    second = stage.connections("q")[0]
    assert stage.take(second.key) == ["QUERY - BEGIN"]


LOST = [
    # (database, lines before, last line, answered BEGIN, expected reply)
    ("books", [], "QUERY 1 PUT a b", ["ERR UNKNOWN", "READY I -"]),
    ("books", ["QUERY 1 BEGIN", "QUERY 2 PUT a b"], "QUERY 3 COMMIT", ["ERR UNKNOWN", "READY I -"]),
    (
        "books",
        ["QUERY 1 BEGIN", "QUERY 2 PUT a b"],
        "QUERY 3 PUT c d",
        ["ERR ROLLEDBACK", "READY E -"],
    ),
    (
        "books",
        ["QUERY 1 BEGIN", "QUERY 2 FETCH a"],
        "QUERY 3 FETCH b",
        ["ERR ROLLEDBACK", "READY E -"],
    ),
]


@pytest.mark.parametrize(("database", "before", "last", "expected"), LOST)
def test_a_lost_connection_is_told_truly(database, before, last, expected):
    stage = Stage()
    lead, *_others = stage.warm()
    stage.client(1, database)
    for line in before:
        stage.say(1, line)
        if "QUERY - BEGIN" in stage.take(lead.key):
            stage.answer(lead, "DONE -", "READY T 1.11")
            stage.answer(lead, "DONE 7.1", "READY T 1.11")
    stage.take(1), stage.take(lead.key)
    stage.say(1, last)
    assert stage.take(lead.key) == [last]
    stage.lose(lead)
    reply = stage.take(1)
    assert [line.split(" the ")[0] for line in reply] == expected
    assert not any(last in lines for lines in stage.sent.values())


def test_a_transaction_lost_at_rest_is_rolled_back_once_then_malformed():
    stage = Stage()
    lead, *_others = stage.warm()
    stage.begun(lead)
    stage.lose(lead)
    stage.say(1, "QUERY 3 PUT c d")
    assert stage.take(1)[0].startswith("ERR ROLLEDBACK")
    stage.say(1, "QUERY 4 PUT e f")
    assert stage.take(1)[0].startswith("ERR MALFORMED")
    stage.say(1, "QUERY 5 ABORT")
    assert stage.take(1) == ["DONE -", "READY I -"]


NOT_RUN = ["BUSY", "NOSUCH", "LAGGING", "RO", "WRONGHOST"]


@pytest.mark.parametrize("code", NOT_RUN)
def test_what_was_not_run_goes_out_again_and_only_then(code):
    stage = Stage()
    lead, *_others = stage.warm()
    stage.client(1, "books")
    stage.say(1, "QUERY 1 PUT a b")
    assert stage.take(lead.key) == ["QUERY 1 PUT a b"]
    stage.answer(lead, f"ERR {code} p", "READY I 1.11")
    assert stage.take(1) == []
    for _tick in range(12):
        stage.tick()
        for connection in [
            connection
            for connection in stage.core.connections.values()
            if "QUERY - RESET" in stage.sent.get(connection.key, [])
        ]:
            stage.take(connection.key)
            stage.answer(
                connection, "DONE -", "READY I 1.11"
            )  # after NOSUCH the connection is not trusted
    again = [line for lines in stage.sent.values() for line in lines if line == "QUERY 1 PUT a b"]
    assert again == ["QUERY 1 PUT a b"]


@pytest.mark.parametrize("code", ["FAIL", "TIMEDOUT"])
def test_what_ran_and_failed_is_told_and_never_sent_again(code):
    stage = Stage()
    lead, *_others = stage.warm()
    stage.client(1, "books")
    stage.say(1, "QUERY 1 PUT a b")
    stage.take(lead.key)
    stage.answer(lead, f"ERR {code} p", "READY I 1.11")
    assert stage.take(1) == [f"ERR {code} p", "READY I 1.11"]
    stage.tick(1.0)
    assert not any("QUERY 1 PUT a b" in lines for lines in stage.sent.values())


def test_a_write_past_its_deadline_is_timed_out_and_its_connection_closed():
    stage = Stage()
    lead, *_others = stage.warm()
    stage.client(1, "books")
    stage.say(1, "QUERY 1 PUT a b")
    stage.tick(1.01)
    assert stage.take(1)[0].startswith("ERR TIMEDOUT") and lead.key in stage.shut


def test_without_a_lead_the_client_hears_busy_not_silence():
    stage = Stage()
    stage.client(1, "books")
    stage.say(1, "QUERY 1 PUT a b")
    stage.tick(1.01)
    assert stage.take(1)[0].startswith("ERR BUSY")


def test_stale_reads_carry_the_oldest_anchor_that_is_fresh_enough():
    stage = Stage()
    lead, near, _far = stage.warm()
    stage.client(1, "search")
    stage.say(1, "QUERY 5c FETCH a")
    stage.anchor(lead, "1.10")
    assert stage.take(near.key) == ["QUERY 5c WAITPOS 1.10 FETCH a"]
    stage.answer(near, "ROW x", "DONE 7.1", "READY I 1.10")
    assert stage.take(1) == ["ROW x", "DONE 7.1", "READY I 1.10"]
    stage.now += 1.0  # young enough: no new question
    stage.say(1, "QUERY 5d FETCH a")
    assert stage.take(near.key) == ["QUERY 5d WAITPOS 1.10 FETCH a"] and stage.take(lead.key) == []
    stage.answer(near, "DONE 7.2", "READY I 1.10")
    stage.now += 1.0  # 2.0 s old: too old for 1.5 s
    stage.say(1, "QUERY 5e FETCH a")
    stage.anchor(lead, "1.40")
    assert stage.take(near.key) == ["QUERY 5e WAITPOS 1.40 FETCH a"]


def test_a_lagging_replica_sends_the_read_to_the_lead_behind_a_begin():
    stage = Stage()
    lead, near, _far = stage.warm()
    stage.client(1, "search")
    stage.say(1, "QUERY 5c FETCH a")
    stage.anchor(lead, "1.10")
    stage.answer(near, "ERR LAGGING q", "READY I 1.8")
    assert stage.take(lead.key) == ["QUERY - BEGIN"]


def test_self_reads_wait_for_the_sessions_own_commit():
    stage = Stage()
    lead, near, _far = stage.warm()
    stage.client(1, "copies")
    stage.say(1, "QUERY 1 PUT a b")
    stage.answer(lead, "DONE 7.1", "READY I 1.30")
    stage.say(1, "QUERY 2 FETCH a")
    sent = stage.take(near.key) + stage.take(stage.connections("r")[0].key)
    assert sent == ["QUERY 2 WAITPOS 1.30 FETCH a"]


def test_homes_bind_reads_and_writes():
    stage = Stage()
    lead, near, far = stage.warm()
    stage.client(1, "homely")
    stage.say(1, "QUERY 1 FETCH a")
    stage.anchor(lead)
    assert stage.take(near.key) and not stage.take(far.key)
    abroad = Stage({**CONFIGURATION, "routes": [{**CONFIGURATION["routes"][3], "geo": ["south"]}]})
    lead, *_others = abroad.warm()
    abroad.client(1, "homely")
    abroad.say(1, "QUERY 1 PUT a b")
    assert abroad.take(lead.key) == []


def test_values_and_names_are_put_in_place_and_names_are_shared():
    stage = Stage()
    lead, *_others = stage.warm()
    for key in (1, 2):
        stage.client(key, "books")
        stage.say(key, f"QUERY 1 PREP mine{key} PUT q2c")
        assert stage.take(key) == ["DONE -", "READY I -"]
    stage.say(1, "QUERY 2 SET tz cairo")
    stage.take(1)
    stage.say(1, "QUERY 3 EXEC mine1 a b c")
    assert stage.take(lead.key) == ["QUERY - SET tz cairo", "QUERY - PREP p1 PUT q2c"]
    stage.answer(lead, "DONE -", "READY I -", "DONE -", "READY I -")
    assert stage.take(lead.key) == ["QUERY 3 EXEC p1 a b c"]
    stage.answer(lead, "DONE 7.1", "READY I 1.12")
    stage.say(2, "QUERY 4 EXEC mine2 a d")  # other values: RESET first
    assert stage.take(lead.key) == ["QUERY - RESET", "QUERY - PREP p1 PUT q2c"]
    stage.answer(lead, "DONE -", "READY I -", "DONE -", "READY I -")
    assert stage.take(lead.key) == ["QUERY 4 EXEC p1 a d"]


def test_a_failed_setup_never_lets_the_statement_run_on_wrong_values():
    stage = Stage()
    lead, *_others = stage.warm()
    stage.client(1, "books")
    stage.say(1, "QUERY 1 SET tz cairo")
    stage.say(1, "QUERY 2 PUT a b")
    stage.take(lead.key)
    stage.answer(lead, "ERR FAIL no", "READY I -")
    assert stage.take(lead.key) == []  # a backend that fails is not met with more at once
    stage.tick()
    sent = stage.take(lead.key)
    assert sent == [
        "QUERY - RESET",
        "QUERY - SET tz cairo",
    ]  # the connection is not trusted any more


def test_a_session_that_leaves_midway_rolls_its_connection_back():
    stage = Stage()
    lead, *_others = stage.warm()
    stage.begun(lead)
    stage.core.session_closed(1, stage.now)
    stage.act()
    assert stage.take(lead.key) == ["QUERY - ABORT"]
    assert lead not in stage.core.pools.backends["p"].idle


def test_a_resting_transaction_is_ended_and_its_connection_freed():
    stage = Stage()
    lead, *_others = stage.warm()
    stage.begun(lead)
    stage.tick(3.1)
    assert stage.take(lead.key) == ["QUERY - ABORT"]


def test_a_connection_that_speaks_out_of_turn_is_closed():
    stage = Stage()
    lead, *_others = stage.warm()
    stage.answer(lead, "DONE 7.1")
    assert lead.key in stage.shut


BAD_LINES = [
    "QUERY 1 FETCH",
    "QUERY 1 FETCH a b",
    "QUERY 1 PUT a",
    "QUERY 1 STAT",
    "QUERY 1 PAUSE 9",
    "QUERY 1 RESET",
    "QUERY 1 WAITPOS 1.1 FETCH a",
    "QUERY - FETCH a",
    "QUERY",
    "HELO",
    "",
    "QUERY 1 FETCH a\nQUERY 2 PUT b c",
    "QUERY 1 COMMIT",
    "QUERY 1 ABORT",
    "QUERY 1 SET a",
    "QUERY 1 PREP s DROP x",
    "QUERY 1 BEGIN PUT",
    "query 1 FETCH a",
    "LOGIN books again",
]


@pytest.mark.parametrize("line", BAD_LINES)
def test_bad_lines_get_malformed_and_reach_no_backend(line):
    stage = Stage()
    connections = stage.warm()
    stage.client(1, "books")
    stage.say(1, line)
    reply = stage.take(1)
    assert reply[0].startswith("ERR MALFORMED") and reply[1] == "READY I -"
    assert not any(stage.take(connection.key) for connection in connections)


LOGINS = [
    ("LOGIN nowhere me", "ERR NODB"),
    ("LOGIN books", "ERR MALFORMED"),
    ("GET / HTTP/1.1", "ERR MALFORMED"),
    ("x" * ((1 << 20) + 9), "ERR TOOLONG"),
]


@pytest.mark.parametrize(("line", "reply"), LOGINS)
def test_bad_logins_are_told_and_closed(line, reply):
    stage = Stage()
    stage.core.session_opened(1, stage.now)
    stage.say(1, line)
    assert stage.take(1)[0].startswith(reply) and 1 in stage.shut


def test_a_dropped_route_binds_from_the_next_transaction_on():
    stage = Stage()
    lead, *_others = stage.warm()
    stage.client(1, "books")
    stage.say(1, "QUERY 1 BEGIN")
    stage.say(1, "QUERY 2 PUT a b")
    stage.answer(lead, "DONE -", "READY T 1.11")
    from sumacloom.configuration.model import Configuration

    stage.core.apply_configuration(Configuration(2), stage.now)
    stage.take(lead.key)
    stage.answer(lead, "DONE 7.1", "READY T 1.11")
    stage.say(1, "QUERY 3 COMMIT")
    assert stage.take(lead.key) == ["QUERY 3 COMMIT"]
    stage.answer(lead, "DONE 7.2", "READY I 1.12")
    stage.take(1)
    stage.say(1, "QUERY 4 PUT a b")
    assert stage.take(1)[0].startswith("ERR NODB")


def test_evacuated_and_draining_backends_get_no_reads_and_soon_nothing():
    stage = Stage()
    lead, near, far = stage.warm()
    stage.client(1, "search")
    stage.core.pools.apply_zone_drains(["a"], stage.now)
    stage.say(1, "QUERY 1 FETCH a")
    stage.anchor(lead)  # the primary serves on until the hand-over
    assert stage.take(far.key) and not stage.take(near.key)
    stage.now += 4.0
    stage.client(2, "books")
    stage.say(2, "QUERY 2 PUT a b")
    assert stage.take(lead.key) == []


def test_a_cold_backend_gets_its_share_of_the_budget_only():
    stage = Stage(svcs=[{"name": "svc", "maxconn": 40, "coldS": 5, "coldPerS": 4}])
    lead, *_others = stage.warm()
    stage.core.pools.members = 4
    stage.records("p", role="primary", cold_ms=5000)
    sent = 0
    for key in range(1, 9):
        stage.client(key, "books")
        stage.say(key, f"QUERY {key} PUT a b")
        lines = stage.take(lead.key)
        sent += len(lines)
        if lines:
            stage.answer(lead, "DONE 7.1", "READY I 1.12")
    assert sent == 1  # 4 a second over 4 members, one in hand
