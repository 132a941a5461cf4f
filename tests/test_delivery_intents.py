"""A write with subscribers: sent only once its intent is stored, its outcome repeated until acknowledged."""

import pytest

from sumacloom.pooler import connection_loss, delivery_intents, server_results, timers
from sumacloom.pooler.effects import SendToController
from sumacloom.transport.messages import DeliveryIntent, DeliveryOutcome, IntentStored

from .stage import Stage


def listened():
    stage = Stage()
    lead, _q, _r = stage.warm()
    stage.core.delivery.listen(["books"], False)
    return stage, lead


def spooled(stage):
    """What goes to the controller; the rest of the effects is done."""
    found = [
        effect.message for effect in stage.core.effects if isinstance(effect, SendToController)
    ]
    stage.core.effects = [
        effect for effect in stage.core.effects if not isinstance(effect, SendToController)
    ]
    stage.act()
    return found


def look(stage):
    """The clock's two looks after a stall in which nothing came."""
    for _look in range(2):
        timers.tick(stage.core, stage.now)


def say(stage, key, line):
    stage.core.session_data(key, (line + "\r\n").encode(), stage.now)
    return spooled(stage)


def grant(stage, intent):
    delivery_intents.handle_intent_stored(
        stage.core, IntentStored(intent.incarnation, intent.number, intent.database), stage.now
    )
    return spooled(stage)


def answer(stage, lead, *lines):
    server_results.receive_data(
        stage.core, lead.key, "".join(line + "\r\n" for line in lines).encode(), stage.now
    )
    return spooled(stage)


def test_a_write_goes_out_only_once_its_intent_is_held_and_its_verdict_is_told_until_noted():
    stage, lead = listened()
    stage.client(1, "books")
    (intent,) = say(stage, 1, "QUERY 5 PUT a b")
    assert (
        isinstance(intent, DeliveryIntent)
        and intent.text == "PUT a b"
        and stage.take(lead.key) == []
    )
    grant(stage, intent)
    assert stage.take(lead.key) == ["QUERY 5 PUT a b"]
    (verdict,) = answer(stage, lead, "DONE 7.1", "READY I 1.11")
    assert (
        isinstance(verdict, DeliveryOutcome)
        and verdict.kind == "done"
        and stage.take(1)[0] == "DONE 7.1"
    )
    stage.now += 1.1
    look(stage)
    assert spooled(stage) == [verdict]
    stage.core.delivery.note("books", verdict.number)
    stage.now += 1.1
    look(stage)
    assert spooled(stage) == []


@pytest.mark.parametrize("transaction", [False, True])
def test_without_a_controller_the_write_is_refused_unsent_and_a_late_word_changes_nothing(
    transaction,
):
    stage, lead = listened()
    if transaction:
        stage.begun(lead)
        (intent,) = say(stage, 1, "QUERY 6 COMMIT")
        assert intent.text == "PUT a b"
    else:
        stage.client(1, "books")
        (intent,) = say(stage, 1, "QUERY 5 PUT a b")
    started, sent = stage.now, []
    while not stage.sent.get(1):
        stage.now += 0.05
        look(stage)
        sent += spooled(stage)
    assert 0.85 <= stage.now - started < 1.0  # its time-out is 1 s
    outcomes = [message for message in sent if isinstance(message, DeliveryOutcome)]
    assert [message for message in sent if message not in outcomes] == [intent]  # sent again
    assert {message.kind for message in outcomes} == {"not"}
    assert stage.take(1)[0].startswith("ERR ROLLEDBACK" if transaction else "ERR BUSY not run")
    grant(stage, intent)
    assert not [line for line in stage.take(lead.key) if "PUT" in line or "COMMIT" in line]


def test_a_write_that_waits_for_its_intent_keeps_no_connection_from_others():
    stage, lead = listened()
    stage.core.pools.connection_limit = lambda _backend, _now: 1
    stage.client(1, "books")
    stage.client(2, "copies")
    (intent,) = say(stage, 1, "QUERY 5 PUT a b")
    stage.say(2, "QUERY 6 PUT c d")
    assert stage.take(lead.key) == ["QUERY 6 PUT c d"]
    grant(stage, intent)
    assert stage.take(lead.key) == []
    stage.answer(lead, "DONE 7.1", "READY I 1.11")
    assert stage.take(lead.key) == ["QUERY 5 PUT a b"]


def test_a_write_is_refused_at_once_while_nobody_takes_outcomes(monkeypatch):
    monkeypatch.setattr(delivery_intents, "MAX_UNACKNOWLEDGED", 1)
    stage, lead = listened()
    stage.client(1, "books")
    (intent,) = say(stage, 1, "QUERY 5 PUT a b")
    grant(stage, intent)
    answer(stage, lead, "DONE 7.1", "READY I 1.11")
    stage.take(1), stage.take(lead.key)
    assert [message.kind for message in say(stage, 1, "QUERY 6 PUT a c")] == ["not"]
    assert stage.take(1)[0].startswith("ERR BUSY not run") and stage.take(lead.key) == []
    assert lead in stage.core.pools.backends["p"].idle


ENDS = [
    # (what the backend answers, or None for a lost connection, what subscribers are told)
    (("DONE 7.1", "READY I 1.12"), "done"),
    (("ERR RO p", "READY E 1.12"), "not"),
    (("ERR FAIL x", "READY E 1.12"), "doubtful"),
    (None, "doubtful"),
]


@pytest.mark.parametrize(("lines", "kind"), ENDS)
@pytest.mark.parametrize("gone", [False, True])
def test_the_verdict_of_a_commit(lines, kind, gone):
    """Also when the client left while its COMMIT was under way."""
    stage, lead = listened()
    stage.begun(lead)
    (intent,) = say(stage, 1, "QUERY 6 COMMIT")
    grant(stage, intent)
    if gone:
        stage.core.session_closed(1, stage.now)
    if lines:
        found = answer(stage, lead, *lines)
    else:
        connection_loss.connection_lost(stage.core, lead, "cut", stage.now)
        found = spooled(stage)
    assert [verdict.kind for verdict in found if isinstance(verdict, DeliveryOutcome)] == [kind]


def test_a_client_that_leaves_before_its_intent_is_held_has_written_nothing():
    stage, lead = listened()
    stage.client(1, "books")
    (intent,) = say(stage, 1, "QUERY 5 PUT a b")
    stage.core.session_closed(1, stage.now)
    assert [verdict.kind for verdict in spooled(stage)] == ["not"]
    grant(stage, intent)
    assert stage.take(lead.key) == [] and lead.owner is None


def test_what_nobody_listens_to_passes_untouched_and_the_unsure_treat_all_as_listened_to():
    stage = Stage()
    lead, _q, _r = stage.warm()
    stage.client(1, "books")
    assert say(stage, 1, "QUERY 5 PUT a b") == [] and stage.take(lead.key) == ["QUERY 5 PUT a b"]
    answer(stage, lead, "DONE 7.1", "READY I 1.11")
    stage.core.delivery.listen([], True)
    assert len(say(stage, 1, "QUERY 6 PUT a c")) == 1
