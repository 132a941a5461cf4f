"""Calls of the data plane: odd answers, half-closed ends, standstills; who hears what. Each case was a fault or guards one."""

import pytest

from sumacloom.pooler import completion, delivery_intents
from sumacloom.pooler.effects import SendToController
from sumacloom.pooler.server_connection import ServerConnection
from sumacloom.transport.messages import IntentStored

from .stage import Stage

ODD = [
    # (tag, text, lines before the odd one, the odd line)
    ("run", "PUT a b", [], "READY I 1.1"),
    ("run", "PUT a b", [], "HELLO"),
    ("run", "PUT a b", [], "DONE -"),
    ("run", "PUT a b", [], "DONE"),
    ("run", "PUT a b", [], ""),
    ("run", "PUT a b", ["DONE 7.1"], "DONE 7.2"),
    ("run", "PUT a b", ["DONE 7.1"], "ROW x"),
    ("run", "PUT a b", ["DONE 7.1"], "ERR BUSY x"),
    ("run", "PUT a b", ["DONE 7.1"], "READY T 1.1"),
    ("run", "PUT a b", ["DONE 7.1"], "READY E 1.1"),
    ("run", "PUT a b", ["DONE 7.1"], "READY X 1.1"),
    ("run", "PUT a b", ["ERR FAIL x"], "READY"),
    ("run", "PUT a b", ["DONE 7.1", "READY I 1.1"], "READY I 1.1"),
    ("run", "PUT a b", ["DONE 7.1", "READY I 1.1"], "DONE 7.1"),
    ("run", "FETCH a", ["ROW x"], "READY I 1.1"),
    ("begin", "BEGIN", [], "DONE 7.1"),
    ("begin", "BEGIN", ["DONE -"], "READY I 1.1"),
    ("anchor", "BEGIN", ["DONE -"], "READY I 1.1"),
    ("clean", "ABORT", ["DONE -"], "READY T 1.1"),
    ("clean", "ABORT", ["ERR FAIL x"], "READY E 1.1"),
    ("pre", "SET a b", ["DONE -"], "READY T 1.1"),
]


@pytest.mark.parametrize(("tag", "text", "before", "odd"), ODD)
def test_a_line_out_of_turn_ends_the_connection(tag, text, before, odd):
    connection = ServerConnection(1, "p", "svc", 0.0)
    connection.ask(tag, "5" if tag == "run" else "-", text, 0.0)
    good = connection.feed("".join(f"{line}\r\n" for line in before).encode())
    assert not connection.lost
    assert connection.feed(f"{odd}\r\n".encode()) == [] and connection.lost
    assert len(good) == (before[-1:] == ["READY I 1.1"])


@pytest.mark.parametrize(
    "line", ["DONE -", "ROW x", "READY T 1.1", "READY E 1.1", "READY", "HELLO"]
)
def test_a_login_is_answered_by_ready_or_err_only(line):
    stage = Stage()
    stage.tick(1.0)
    connection = stage.connections("p")[0]
    stage.answer(connection, line)
    assert connection.key in stage.shut and not connection.open


def test_an_answer_out_of_turn_ends_the_connection_with_one_line_in_the_log(caplog):
    stage = Stage()
    lead, *_others = stage.warm()
    stage.client(1, "books")
    stage.say(1, "QUERY 5 PUT a b")
    caplog.clear()
    stage.answer(lead, "DONE 7.1", "DONE 7.1", "READY I 1.11", "READY I 1.11")
    assert stage.take(1)[0].startswith("ERR UNKNOWN") and lead.key in stage.shut
    assert caplog.text.count("spoke out of turn") == 1


DOUBTS = [
    # (lines of the client, answers, the odd answer, what the client hears, and at its COMMIT after that)
    (["PUT a b"], [], ["DONE 7.1", "READY T 1.1"], "ERR UNKNOWN", None),
    (["PUT a b"], [], ["DONE -", "READY I 1.1"], "ERR UNKNOWN", None),
    (["BEGIN", "PUT a b"], [], ["DONE 7.1", "READY I 1.1"], "ERR UNKNOWN", "ERR UNKNOWN"),
    (["BEGIN", "PUT a b"], [], ["READY T 1.1"], "ERR ROLLEDBACK", "ERR ROLLEDBACK"),
    (
        ["BEGIN", "PUT a b", "COMMIT"],
        [["DONE 7.1", "READY T 1.1"]],
        ["DONE 7.2", "READY T 1.2"],
        "ERR UNKNOWN",
        None,
    ),
    (
        ["BEGIN", "PUT a b", "COMMIT"],
        [["DONE 7.1", "READY T 1.1"]],
        ["DONE 7.2"],
        "ERR UNKNOWN",
        None,
    ),
]


@pytest.mark.parametrize(("texts", "answers", "odd", "reported", "at_commit"), DOUBTS)
def test_who_hears_what_when_the_answer_does_not_fit(texts, answers, odd, reported, at_commit):
    stage = Stage()
    lead, *_others = stage.warm()
    stage.client(1, "books")
    for number, text in enumerate(texts):
        stage.say(1, f"QUERY {number} {text}")
        if "QUERY - BEGIN" in stage.take(lead.key):
            stage.answer(lead, "DONE -", "READY T 1.1")
        if number + 1 < len(texts) and number:
            stage.answer(lead, *answers.pop(0))
    stage.take(1)
    stage.answer(lead, *odd)
    if odd[-1].startswith("DONE"):
        stage.lose(lead)  # it breaks off there
    assert stage.take(1)[0].startswith(reported) and lead.key in stage.shut
    if at_commit:
        stage.say(1, "QUERY 9 COMMIT")
        assert stage.take(1)[0].startswith(at_commit)


@pytest.mark.parametrize("behind", [["DONE 7.1", "READY I 1.1"], ["READY T 1.1"]])
def test_nothing_more_goes_out_on_a_connection_that_answered_ahead(behind):
    stage = Stage()
    lead, *_others = stage.warm()
    stage.client(1, "books")
    stage.say(1, "QUERY 1 SET tz cairo")
    stage.say(1, "QUERY 2 PUT a b")
    stage.take(lead.key)
    stage.answer(
        lead, "DONE -", "READY I 1.1", *behind
    )  # SET is answered, and then more than was asked
    assert not [line for line in stage.take(lead.key) if "PUT" in line]


def test_a_commit_that_waited_behind_an_answer_out_of_turn_is_not_sent():
    stage = Stage()
    lead, *_others = stage.warm()
    stage.client(1, "books")
    stage.say(1, "QUERY 1 BEGIN", "QUERY 2 PUT a b", "QUERY 3 COMMIT")
    stage.answer(lead, "DONE -", "READY T 1.1")
    stage.take(lead.key), stage.take(1)
    stage.answer(lead, "DONE 7.1", "READY T 1.1", "READY T 1.1")
    assert stage.take(lead.key) == []
    assert next(line for line in stage.take(1) if line.startswith("ERR")).startswith(
        "ERR ROLLEDBACK"
    )


ENDS = [
    # (lines before the client's end of sending, the answer that then comes, what the client reads)
    (["QUERY 5 PUT a b"], ["DONE 7.1", "READY I 1.1"], ["DONE 7.1", "READY I 1.1"]),
    (["QUERY 5 PUT a b"], None, ["ERR UNKNOWN the backend was lost; it may have run", "READY I -"]),
    ([], None, []),
]


@pytest.mark.parametrize(("lines", "answer", "read"), ENDS)
def test_a_client_that_sends_no_more_still_reads_its_answer(lines, answer, read):
    stage = Stage()
    lead, *_others = stage.warm()
    stage.client(1, "books")
    if lines:
        stage.say(1, *lines)
    completion.session_ended(stage.core, 1, stage.now)
    stage.act()
    assert (1 in stage.shut) == (not lines)
    if answer:
        stage.answer(lead, *answer)
    elif lines:
        stage.lose(lead)
    assert stage.take(1) == read and stage.shut.count(1) == 1 and 1 not in stage.core.sessions


def test_a_client_that_sends_no_more_gets_all_it_asked_and_its_connection_is_free_again():
    stage = Stage()
    lead, *_others = stage.warm()
    stage.client(1, "books")
    stage.say(1, "QUERY 1 BEGIN", "QUERY 2 PUT a b", "QUERY 3 COMMIT")
    completion.session_ended(stage.core, 1, stage.now)
    for lines in (
        ["DONE -", "READY T 1.1"],
        ["DONE 7.1", "READY T 1.1"],
        ["DONE 7.2", "READY I 1.2"],
    ):
        stage.answer(lead, *lines)
    assert stage.take(1)[-2:] == ["DONE 7.2", "READY I 1.2"] and 1 in stage.shut
    assert lead in stage.core.pools.backends["p"].idle


def test_a_client_that_sends_no_more_waits_for_a_connection_like_any_other():
    """It was refused at once, though it may read what comes."""
    stage = Stage()
    stage.client(1, "books")
    stage.say(1, "QUERY 5 PUT a b")
    completion.session_ended(stage.core, 1, stage.now)
    stage.act()
    assert stage.take(1) == [] and 1 not in stage.shut
    connection = stage.connections("p")[0]
    stage.take(connection.key)
    stage.answer(connection, "READY I 1.1")
    assert stage.take(connection.key) == ["QUERY 5 PUT a b"]
    stage.answer(connection, "DONE 7.1", "READY I 1.2")
    assert stage.take(1) == ["DONE 7.1", "READY I 1.2"] and 1 in stage.shut


def test_a_session_that_is_closed_while_its_statement_waits_leaves_nothing_behind():
    stage = Stage()
    stage.client(1, "books")
    stage.say(1, "QUERY 5 PUT a b")
    stage.core.session_closed(1, stage.now)
    stage.act()
    assert stage.take(1) == []
    connection = stage.connections("p")[0]
    stage.take(connection.key)
    stage.answer(connection, "READY I 1.1")
    assert (
        stage.take(connection.key) == []
        and connection in stage.core.pools.backends["p"].idle
        and not stage.core.active
    )


def test_an_answer_read_together_with_a_failed_one_does_not_count_for_the_next_statement():
    """The connection was given to the next while an answer to the last was still to be acted on: that counted as
    one of the next, whose statement then went out before its own BEGIN was answered.
    """
    stage = Stage()
    lead, *_others = stage.warm()
    stage.core.pools.connection_limit = lambda _backend, _now: 1
    stage.client(1, "books")
    stage.say(1, "QUERY 1 SET a 1", "QUERY 2 SET b 2", "QUERY 3 PUT c d")
    stage.client(2, "books")
    stage.say(2, "QUERY 4 SET x 9", "QUERY 5 BEGIN", "QUERY 6 FETCH a")
    assert stage.take(lead.key) == ["QUERY - SET a 1", "QUERY - SET b 2"]
    stage.core.session_closed(1, stage.now)
    stage.answer(lead, "ERR NOSUCH x", "READY I 1.10", "DONE -", "READY I 1.10")
    assert stage.take(lead.key) == ["QUERY - RESET", "QUERY - SET x 9", "QUERY - BEGIN"]
    stage.answer(lead, "DONE -", "READY I 1.10", "DONE -", "READY I 1.10")
    assert stage.take(lead.key) == []  # BEGIN is still to be answered
    stage.answer(lead, "DONE -", "READY T 1.10")
    assert stage.take(lead.key) == ["QUERY 6 FETCH a"]


def test_a_client_that_resets_after_its_commit_was_sent_frees_the_connection_once_it_is_answered():
    stage = Stage()
    lead, *_others = stage.warm()
    stage.begun(lead)
    stage.say(1, "QUERY 3 COMMIT")
    stage.take(lead.key)
    stage.core.session_closed(1, stage.now)
    stage.act()
    assert lead not in stage.core.pools.backends["p"].idle and stage.take(lead.key) == []
    stage.answer(lead, "DONE 7.2", "READY I 1.2")
    assert lead in stage.core.pools.backends["p"].idle and stage.take(1) == []


def test_a_second_answer_that_comes_after_the_next_statement_was_sent_is_not_taken_for_its_answer():
    stage = Stage()
    lead, *_others = stage.warm()
    for key in (1, 2):
        stage.client(key, "books")
        stage.say(key, f"QUERY {key} PUT a b")
        if key == 1:
            stage.answer(lead, "DONE 7.1", "READY I 1.1")
    stage.answer(lead, "DONE 7.1", "READY I 1.1")
    assert (
        stage.take(1)[0] == "DONE 7.1"
        and stage.take(2)[0].startswith("ERR UNKNOWN")
        and lead.key in stage.shut
    )


STILL = [
    # (lines of the client, what lies unread at the thaw, what it must hear)
    (["QUERY 5 PUT a b"], ["DONE 7.1", "READY I 1.1"], "DONE 7.1"),
    (["QUERY 1 SET tz cairo", "QUERY 5 PUT a b"], ["DONE -", "READY I 1.1"], None),
]


@pytest.mark.parametrize(("lines", "unread", "reported"), STILL)
def test_after_a_stall_what_lies_unread_is_read_before_a_timer_judges(lines, unread, reported):
    stage = Stage()
    lead, *_others = stage.warm()
    stage.client(1, "books")
    stage.say(1, *lines)
    stage.take(1)
    stage.thaw(0.9)
    assert lead.key not in stage.shut and stage.take(1) == []
    stage.answer(lead, *unread)
    stage.tick()
    assert lead.key not in stage.shut and (reported is None or stage.take(1)[0] == reported)


def test_a_machine_that_is_always_slow_still_comes_to_its_timers():
    stage = Stage()
    _lead, *_others = stage.warm()
    stage.client(1, "books")
    stage.say(1, "QUERY 5 PUT a b")
    for _look in range(6):
        stage.thaw(0.4)
    assert stage.take(1)[0].startswith("ERR TIMEDOUT")


def test_a_silence_ends_an_open_transaction_no_sooner_than_its_statement_does():
    stage = Stage()
    lead, *_others = stage.warm()
    stage.begun(lead)
    stage.say(1, "QUERY 3 SET tz cairo", "QUERY 4 PUT c d")
    stage.take(1)
    for _tick in range(8):
        stage.tick()
    assert stage.take(1) == [] and lead.key not in stage.shut
    for _tick in range(14):
        stage.tick()
    assert stage.take(1)[0].startswith("ERR ROLLEDBACK")


def test_an_open_transaction_ends_where_its_zone_is_evacuated_before_more_is_sent_there():
    stage = Stage()
    lead, *_others = stage.warm()
    stage.begun(lead)
    stage.core.pools.apply_zone_drains(["a"], stage.now)
    stage.now += stage.settings.bounds.evac_ms / 1000 * 0.6
    stage.say(1, "QUERY 3 PUT c d")
    assert stage.take(lead.key) == ["QUERY - ABORT"] and stage.take(1)[0].startswith(
        "ERR ROLLEDBACK"
    )


def test_a_statement_prepared_on_an_evacuated_backend_is_not_sent_there():
    stage = Stage()
    lead, *_others = stage.warm()
    stage.client(1, "books")
    stage.core.pools.apply_zone_drains(["a"], stage.now)
    stage.now += stage.settings.bounds.evac_ms / 1000 * 0.6 - 0.01
    stage.say(1, "QUERY 1 SET tz cairo", "QUERY 2 PUT a b")
    stage.take(lead.key)
    stage.now += 0.02
    stage.answer(lead, "DONE -", "READY I 1.1")
    assert stage.take(lead.key) == []
    stage.tick(1.2)
    assert stage.take(1)[-2].startswith(
        "ERR BUSY not run"
    )  # only that backend could run it: refused


def test_a_word_for_an_earlier_life_does_not_use_up_the_present_ones():
    stage = Stage()
    lead, *_others = stage.warm()
    stage.core.delivery.listen(["books"], False)
    stage.client(1, "books")
    stage.core.session_data(1, b"QUERY 5 PUT a b\r\n", stage.now)
    intent = next(
        effect.message for effect in stage.core.effects if isinstance(effect, SendToController)
    )
    stage.core.effects = [
        effect for effect in stage.core.effects if not isinstance(effect, SendToController)
    ]
    stage.act()
    delivery_intents.handle_intent_stored(
        stage.core, IntentStored(intent.incarnation + 1, intent.number, "books"), stage.now
    )
    stage.act()
    assert stage.take(lead.key) == []
    delivery_intents.handle_intent_stored(
        stage.core, IntentStored(intent.incarnation, intent.number, "books"), stage.now
    )
    stage.act()
    assert stage.take(lead.key) == ["QUERY 5 PUT a b"]


def test_an_answer_on_a_connection_that_was_given_up_reaches_nobody():
    stage = Stage()
    lead, *_others = stage.warm()
    stage.client(1, "books")
    stage.say(1, "QUERY 5 PUT a b")
    stage.tick(1.01)
    assert stage.take(1)[0].startswith("ERR TIMEDOUT")
    stage.say(1, "QUERY 6 PUT c d")
    stage.answer(lead, "DONE 7.1", "READY I 1.1")
    assert stage.take(1) == [] and lead not in stage.core.pools.backends["p"].idle


def test_a_connection_to_a_reused_address_is_refused_and_nothing_is_sent_on_it():
    stage = Stage()
    stage.tick(1.0)
    connection = stage.connections("p")[0]
    assert stage.take(connection.key) == ["LOGIN svc edge-1 p"]
    stage.client(1, "books")
    stage.say(1, "QUERY 5 PUT a b")
    stage.answer(connection, "ERR WRONGHOST other")
    assert connection.key in stage.shut and stage.take(connection.key) == []
