"""What can't be done in its time is refused at once; queues while time-outs change and sessions go."""

from sumacloom.configuration.model import Configuration

from .stage import stage_with, without_primary


def overloaded(run_s, timeout_ms=1000, waiting=0):
    """A stage with one connection to the primary, on which writes take so long, and so many waiting."""
    stage = stage_with(tmoMs=timeout_ms)
    lead, *_others = stage.warm()
    stage.core.pools.connection_limit = lambda _backend, _now: 1
    stage.client(1, "books")
    for number in range(20):
        stage.say(1, f"QUERY {number} PUT a b")
        stage.now += run_s
        stage.answer(lead, f"DONE 7.{number}", "READY I 1.11")
    stage.take(1), stage.take(lead.key)
    stage.say(1, "QUERY 99 PUT a b")
    for key in range(2, 2 + waiting):
        stage.client(key, "books")
        stage.say(key, f"QUERY {key} PUT a b")
    return stage, lead


def test_what_can_not_be_done_in_its_time_is_refused_at_once():
    stage, _lead = overloaded(0.2, waiting=12)
    refused = [key for key in range(2, 14) if stage.take(key)]
    # each waits for 0.2 s times those before it: the sixth would need 1.0 s and its own run
    assert refused == list(range(6, 14))


def test_what_is_refused_for_a_long_queue_delays_nobody_and_ends_with_the_queue():
    stage, lead = overloaded(0.2, waiting=12)
    for number in range(5):
        stage.now += 0.2
        stage.answer(lead, f"DONE 8.{number}", "READY I 1.11")
        stage.tick(0.0)
    assert [stage.take(key)[0] for key in range(2, 6)] == [f"DONE 8.{n}" for n in (1, 2, 3, 4)]
    stage.client(50, "books")
    stage.say(50, "QUERY 50 PUT a b")
    assert stage.take(lead.key)[-1] == "QUERY 50 PUT a b"


def test_those_that_higher_priority_overtakes_are_refused_once_their_turn_comes_too_late():
    stage, _lead = overloaded(0.2, waiting=4)
    stage.core.apply_priority(["copies"], True, True, stage.now)
    for key in range(20, 23):
        stage.client(key, "copies")
        stage.say(key, f"QUERY {key} PUT a b")
    stage.tick(0.0)
    assert [bool(stage.take(key)) for key in (2, 3, 4, 5)] == [False, True, True, True]
    assert not any(stage.take(key) for key in range(20, 23))


def test_an_unknown_or_old_run_time_refuses_nothing():
    stage = stage_with(tmoMs=1000)
    lead, *_others = stage.warm()
    stage.core.pools.connection_limit = lambda _backend, _now: 1
    for key in range(1, 40):
        stage.client(key, "books")
        stage.say(key, f"QUERY {key} PUT a b")
    assert not any(stage.take(key) for key in range(1, 40))
    old, lead = overloaded(0.9)
    old.now += 0.1
    old.answer(lead, "DONE 9.1", "READY I 1.11")
    old.now += 10.1  # longer than an estimate is believed: nothing locks itself in
    for key in range(2, 30):
        old.client(key, "books")
        old.say(key, f"QUERY {key} PUT a b")
    assert not any(old.take(key) for key in range(2, 30))


def test_a_slow_run_alone_never_keeps_a_statement_from_an_idle_connection():
    """Else a service that was slow once would refuse all, and never be measured again."""
    stage, lead = overloaded(0.9)
    stage.now += 0.9
    stage.answer(lead, "DONE 9.1", "READY I 1.11")
    stage.core.pools.service_pool("svc").run_times.observe("write", 30.0, stage.now)
    stage.client(2, "books")
    stage.say(2, "QUERY 2 PUT a b")
    assert stage.take(lead.key)[-1] == "QUERY 2 PUT a b"


def test_a_changed_time_out_binds_what_waits_from_its_arrival_on():
    stage = stage_with(tmoMs=1000)
    without_primary(stage)
    for key in (1, 2, 3):
        stage.client(key, "books")
    stage.say(1, "QUERY 1 PUT a b")
    for _tick in range(10):
        stage.tick()
    stage.core.apply_configuration(stage.configuration(2, tmoMs=3000), stage.now)
    for _tick in range(30):
        stage.tick()
    assert stage.take(1) == []  # 2.0 s old
    stage.core.apply_configuration(stage.configuration(3, tmoMs=500), stage.now)
    stage.act()
    assert stage.take(1)[0].startswith("ERR BUSY not run: ")


def test_a_change_of_time_outs_sends_nothing_twice_that_it_lets_start():
    """Moving the first to the new rule let both start; the second was then moved, and started again, though it ran."""
    stage = stage_with(tmoMs=3000)
    stage.warm()
    stage.client(1, "books")
    stage.client(2, "books")
    backend = stage.core.pools.backends["p"]
    second = stage.core.pools.new_connection(backend, stage.now)
    stage.core.connections[second.key] = second
    second.login("edge-1")
    stage.answer(second, "READY I 1.10")
    backend.send_backoff.refused(stage.now)
    stage.say(1, "QUERY 1 PUT a b")
    stage.say(2, "QUERY 2 PUT c d")
    stage.sent.clear()
    stage.now = backend.send_backoff.resumes_at
    stage.core.apply_configuration(stage.configuration(2, tmoMs=1000), stage.now)
    stage.act()
    for _tick in range(4):
        stage.tick()
    sent = [line for lines in stage.sent.values() for line in lines]
    assert sorted(sent) == ["QUERY 1 PUT a b", "QUERY 2 PUT c d"]
    assert stage.core.scheduler.waiting_count() == 0


def test_a_statement_that_comes_back_after_a_change_of_its_route_goes_by_the_new_one():
    stage = stage_with(tmoMs=3000)
    lead, *_others = stage.warm()
    stage.client(1, "books")
    stage.say(1, "QUERY 1 PUT a b")
    stage.core.apply_configuration(Configuration(2), stage.now)
    stage.answer(lead, "ERR BUSY x", "READY I 1.10")
    assert stage.take(1)[0].startswith("ERR NODB")


def test_many_lines_refused_at_once_are_all_answered():
    """One answer led to the next within the last: a long row of them exhausted the stack."""
    stage = stage_with()
    without_primary(stage)
    stage.core.isolated = True
    stage.client(1, "books")
    stage.core.shut_session = lambda *_session: None
    stage.say(1, *(f"QUERY {number} PUT a b" for number in range(3000)))
    assert len(stage.take(1)) == 2 * 3000


def test_a_session_that_is_closed_leaves_the_queue_at_once():
    stage = stage_with()
    without_primary(stage)
    for key in range(1, 50):
        stage.client(key, "books")
        stage.say(key, f"QUERY {key} PUT a b")
    assert stage.core.scheduler.waiting_count() == 49
    for key in range(1, 50):
        stage.core.session_closed(key, stage.now)
    assert stage.core.scheduler.waiting_count() == 0 and not stage.core.active
