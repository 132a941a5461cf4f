"""Access rules: outcomes, bad lists, what a pooler does by them, and a whole fleet that changes its list under load."""

import pytest

from sumacloom.configuration.access_checks import MAX_BODY_BYTES, parse_access_list
from sumacloom.configuration.access_list import AccessList
from sumacloom.consensus.codec import decode
from sumacloom.controller.policy import access, staged_rollout
from sumacloom.pooler import admission
from sumacloom.transport.updates import AccessUpdate

from .access_lists import AWAY, HOME, OPEN, body, offer
from .changes import apply_change, error_name
from .stage import Stage

VERDICTS = [
    # (rules, database, address, rule, allowed, region)
    ([HOME], "books", "10.1.0.1", "home", True, "north"),
    ([HOME], "books", "10.2.0.1", "default", False, "south"),  # the most specific network wins
    ([HOME], "books", "10.2.9.1", "home", True, "north"),
    ([HOME], "search", "10.1.0.1", "default", False, "north"),
    ([AWAY, OPEN], "search", "10.2.0.1", "away", False, "south"),  # the first match decides
    ([OPEN, AWAY], "search", "10.2.0.1", "open", True, "south"),
    ([OPEN, AWAY], "search", "192.0.2.1", "open", True, "unknown"),
    ([AWAY], "books", "192.0.2.1", "away", False, "unknown"),
    ([AWAY], "books", "nonsense", "away", False, "unknown"),
    ([AWAY], "books", "fd00::7", "away", False, "south"),
    (
        [HOME],
        "books",
        "::ffff:10.1.0.1",
        "home",
        True,
        "north",
    ),  # a mapped address is the one it maps
    ([HOME], "books", "2001:db8::1", "default", False, "unknown"),
]


@pytest.mark.parametrize(("rules", "database", "address", "rule", "allowed", "region"), VERDICTS)
def test_verdicts(rules, database, address, rule, allowed, region):
    found = AccessList(body(*rules)).verdict(database, address)
    assert (found.rule, found.allowed, found.region) == (rule, allowed, region)


INVALID = [
    (b"not json", "invalid_access"),
    (b"[]", "invalid_access"),
    (b"{}", "invalid_access"),  # the default action is explicit
    (body(default="maybe"), "invalid_access"),
    (body({**HOME, "action": "permit"}), "invalid_access"),
    (body({**HOME, "databases": []}), "invalid_access"),
    (body({**HOME, "regions": []}), "invalid_access"),
    (body(HOME, HOME), "invalid_access"),
    (body({**HOME, "name": "default"}), "invalid_access"),
    (body({**HOME, "name": "two words"}), "invalid_access"),
    (
        body({**HOME, "hours": "9-17"}),
        "invalid_access",
    ),  # a misspelt field would change the meaning
    (body(networks={"10.0.0.1/8": "north"}), "invalid_access"),
    (body(networks={"10.0.0.0/8": "north", "10.0.0.0/255.0.0.0": "south"}), "invalid_access"),
    (body({**HOME, "regions": ["mars"]}), "unknown_region"),
    (body(networks={"10.0.0.0/8": "unknown"}), "unknown_region"),
    (body(*[{**HOME, "name": f"r{n}"} for n in range(600)]), "invalid_access"),
    (b" " * (MAX_BODY_BYTES + 1), "too_large"),
    (body(HOME, AWAY, OPEN), ""),
]


@pytest.mark.parametrize(("raw", "name"), INVALID)
def test_lists_are_checked(raw, name):
    assert error_name(parse_access_list, raw, {"north", "south"}) == name


CHANGES = [
    # (changes, what the last comes to, stage and list in force after)
    ([offer(b"a", 0)], "ok", (2, (0, b""))),
    ([offer(b"a", 0), offer(b"a", 0)], "same", (2, (0, b""))),  # sent again after a lost answer
    ([offer(b"a", 0), offer(b"b", 0)], "stale_match", (2, (0, b""))),  # two raced
    ([offer(b"a", 3)], "stale_match", None),
    ([offer(b"a", 0), staged_rollout.enforce(access.AccessValue, 1)], "ok", (3, (1, b"a"))),
    (
        [offer(b"a", 0), staged_rollout.enforce(access.AccessValue, 1), offer(b"b", 1)],
        "ok",
        (4, (1, b"a")),
    ),
    (
        [
            offer(b"a", 0),
            staged_rollout.enforce(access.AccessValue, 1),
            offer(b"b", 1),
            offer(b"c", 2),
        ],
        "ok",
        (6, (1, b"a")),
    ),
    (
        [
            offer(b"a", 0),
            staged_rollout.enforce(access.AccessValue, 1),
            offer(b"b", 1),
            staged_rollout.enforce(access.AccessValue, 1),
        ],
        "stale_match",
        (4, (1, b"a")),
    ),
]


@pytest.mark.parametrize(("changes", "last", "stage"), CHANGES)
def test_changes_of_the_list(changes, last, stage):
    value = None
    for change in changes:
        name, value = apply_change(change, value)
    found = decode(access.AccessValue, value)
    assert name == last and (found and (found.order, found.current)) == stage


# ---------------------------------------------------------------- one pooler
def enforced(stage, *rules, version=1, lapsed=False):
    admission.take_access(
        stage.core, AccessUpdate(version * 2 + 1, version, body(*rules)), lapsed, stage.now
    )
    stage.act()


def caller(stage, key, address, database="books"):
    stage.core.session_opened(key, stage.now, address)
    stage.say(key, f"LOGIN {database} someone")
    return stage.take(key)


def counts(stage):
    return {
        row["rule"]: [
            row[name]
            for name in ("logins_allowed", "logins_denied", "requests_allowed", "requests_denied")
        ]
        for row in stage.core.access_control.rows("edge-1")
    }


def test_a_denied_login_gets_the_rules_name_and_a_close_and_no_backend_hears_of_it():
    stage = Stage()
    lead, _q, _r = stage.warm()
    enforced(stage, HOME, AWAY)
    assert caller(stage, 1, "10.2.0.1") == [
        "ERR DENIED by the rule away: books is not for the region south"
    ]
    assert 1 in stage.shut and caller(stage, 2, "10.1.0.1") == ["READY I -"]
    assert caller(stage, 3, "10.2.0.1", "nowhere")[0].startswith(
        "ERR DENIED"
    )  # no telling what is there
    assert stage.take(lead.key) == []
    assert counts(stage) == {"home": [1, 0, 0, 0], "away": [0, 2, 0, 0], "default": [0, 0, 0, 0]}


def test_a_new_list_closes_who_rests_denies_requests_and_leaves_open_transactions_their_verdict():
    stage = Stage()
    lead, _q, _r = stage.warm()
    enforced(stage, HOME)
    for key in (1, 2, 3):
        assert caller(stage, key, "10.1.0.1") == ["READY I -"]
    stage.say(1, "QUERY 1 BEGIN")
    stage.say(1, "QUERY 2 PUT a b")
    stage.answer(lead, "DONE -", "READY T 1.11")
    stage.answer(lead, "DONE 7.1", "READY T 1.11")
    stage.say(3, "QUERY 3 SET a b", "QUERY 4 BEGIN")  # begun, nothing run yet
    stage.take(1), stage.take(3), stage.take(lead.key)
    enforced(stage, {**AWAY, "regions": ["north"]}, version=2)
    assert stage.shut == [2]
    stage.say(1, "QUERY 5 COMMIT")
    assert stage.take(lead.key) == ["QUERY 5 COMMIT"]
    stage.answer(lead, "DONE 7.2", "READY I 1.12")
    assert stage.take(1) == ["DONE 7.2", "READY I 1.12"]
    stage.say(1, "QUERY 6 PUT a c")
    stage.say(1, "QUERY 7 BEGIN")
    assert [line.split(" ")[:2] for line in stage.take(1)] == [
        ["ERR", "DENIED"],
        ["READY", "I"],
    ] * 2
    enforced(stage, {**AWAY, "regions": ["north"]}, version=2)  # the next tick closes it
    assert 1 in stage.shut and 3 not in stage.shut
    assert counts(stage) == {"home": [3, 0, 2, 0], "away": [0, 0, 0, 2], "default": [0, 0, 0, 0]}


def test_who_has_no_confirmed_list_takes_nothing_new_and_counts_nothing():
    stage = Stage()
    lead, _q, _r = stage.warm()
    enforced(stage, HOME)
    stage.round_started_at = caller(stage, 1, "10.1.0.1")
    enforced(stage, HOME, lapsed=True)
    stage.say(1, "QUERY 1 PUT a b")
    assert stage.take(1)[0].startswith("ERR BUSY not run") and stage.take(lead.key) == []
    assert caller(stage, 2, "10.1.0.1")[0].startswith("ERR BUSY") and 2 in stage.shut
    assert counts(stage)["home"] == [1, 0, 0, 0]


def test_counts_are_kept_for_the_list_in_force_and_the_one_before():
    stage = Stage()
    for version in (1, 2, 3):
        enforced(stage, HOME, version=version)
        caller(stage, version, "10.1.0.1")
    assert {row["generation"] for row in stage.core.access_control.rows("edge-1")} == {2, 3}
    enforced(stage, AWAY, version=2)  # updates never moves back
    assert stage.core.access_control.access.version == 3
