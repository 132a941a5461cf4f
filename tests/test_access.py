"""Access rules: outcomes, bad lists, what a pooler does by them, and a whole fleet that changes its list under load."""

import ipaddress
import json
from collections import Counter, defaultdict
from types import SimpleNamespace

import pytest

from sumacloom.cli import access as command
from sumacloom.configuration.access_checks import MAX_BODY_BYTES, parse_access_list
from sumacloom.configuration.access_list import AccessList
from sumacloom.consensus.codec import decode
from sumacloom.controller.admin import access_calls
from sumacloom.controller.policy import access, staged_rollout
from sumacloom.controller.registers import ACCESS_KEY
from sumacloom.controller.registers.configuration import put_configuration
from sumacloom.http import Request
from sumacloom.pooler import admission
from sumacloom.pooler.effects import Send
from sumacloom.transport.updates import AccessUpdate

from .changes import apply_change, error_name, reply_of
from .stage import Stage
from .test_fleet import Stub, refusal, reply
from .town import Client, SimulatedFleet, configuration

NETWORKS = {
    "10.0.0.0/8": "north",
    "10.2.0.0/16": "south",
    "10.2.9.0/24": "north",
    "fd00::/8": "south",
}
HOME = {"name": "home", "action": "allow", "databases": ["books"], "regions": ["north"]}
AWAY = {"name": "away", "action": "deny", "databases": ["*"], "regions": ["south", "unknown"]}
OPEN = {"name": "open", "action": "allow", "databases": ["search"], "regions": ["*"]}


def body(*rules, default="deny", **fields):
    return json.dumps({"default": default, "networks": NETWORKS, "rules": rules, **fields}).encode()


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


def offer(raw, base):
    return staged_rollout.offer(access.AccessValue, raw, b"", base)


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


def test_a_stamp_that_came_while_a_reading_ran_is_not_confirmed_by_it():
    fleet = Village(2)
    fleet.run(2.0)
    fleet.set_list("10.0.0.1", body(HOME), 0)
    rollout, stamps = fleet.cluster.cores["10.0.0.1"].access, access.StampQueue()
    while rollout._read is None:
        fleet.step()
    began = rollout._read_started_at
    stamps.receive(1.0, began - 0.01)
    stamps.receive(2.0, fleet.cluster.now + 0.001)
    while rollout.read_at < began:
        fleet.step()
    assert rollout.read_at == began and stamps.confirmed_by(rollout.read_at) == 1.0


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


# ---------------------------------------------------------------- a whole fleet
ADDRESSES = {"10.1.0.1": "north", "10.2.0.1": "south", "192.0.2.9": "unknown"}


def expected_of(raw, database, address):
    """The outcome again, told plainly: rule, and whether it allows."""
    found = json.loads(raw)
    at = ipaddress.ip_address(address)
    nets = sorted(
        (ipaddress.ip_network(text).prefixlen, region)
        for text, region in found["networks"].items()
        if at.version == ipaddress.ip_network(text).version and at in ipaddress.ip_network(text)
    )
    region = nets[-1][1] if nets else "unknown"
    for rule in found["rules"]:
        if {database, "*"} & {*rule["databases"]} and {region, "*"} & {*rule["regions"]}:
            return rule["name"], rule["action"] == "allow"
    return "default", found["default"] == "allow"


class Caller(Client):
    """A client at an address; keeps what it sent, by node, list and rule."""

    def __init__(self, fleet, number, database):
        super().__init__(fleet, number, database)
        self.address = list(ADDRESSES)[number % 3]
        self.awaits, self.wrong = None, []

    def say(self, now, line):
        core = self.pooler.core
        verb = line.split(" ")[0 if line.startswith("LOGIN") else 2]
        judged = verb in ("LOGIN", "BEGIN") or (verb == "PUT" and len(self.lines) == 1)
        if judged and core.access_control.access and not core.access_control.lapsed:
            held = core.access_control.access
            rule, allowed = expected_of(held.body, self.database, self.address)
            place = (verb != "LOGIN") * 2 + (not allowed)
            self.fleet.sent[self.pooler.node, held.version, rule][place] += 1
            before = len(self.pooler.core.effects)
            super().say(now, line)
            said = [
                effect.data
                for effect in core.effects[before:]
                if isinstance(effect, Send) and effect.key == self.key
            ]
            if any(text.startswith(b"ERR DENIED") for text in said) == allowed:
                self.wrong.append((line, rule, allowed, said))
        else:
            super().say(now, line)


class Village(SimulatedFleet):
    """A town of callers, which checks at each step that nobody serves by a list that is no longer in force."""

    def __init__(self, seed):
        super().__init__(seed, poolers=5, clients=0, databases=("books", "search"))
        self.sent = defaultdict(lambda: [0, 0, 0, 0])
        self.clients = [
            Caller(self, number, ("books", "search")[number % 2]) for number in range(1, 13)
        ]
        self.rows, self.unguarded = [], []

    def kill_pooler(self, pooler):
        self.rows += pooler.core.access_control.rows(pooler.node)
        super().kill_pooler(pooler)

    def step(self):
        super().step()
        forced = max((one.cache.access.order for one in self.cluster.cores.values()), default=0)
        forced -= not forced % 2  # the newest in force anywhere
        self.unguarded += [
            (self.cluster.now, pooler.node, pooler.cache.access.order, forced)
            for pooler in self.poolers
            if forced > 1 and pooler.core.ready and pooler.cache.access.order < forced - 1
        ]

    def set_list(self, ip, raw, base):
        assert self.decide(ip, ACCESS_KEY, offer(raw, base)).succeeded

    def barred(self):
        """What was written by clients whom no list lets reach their database."""
        names = {
            f"books-{client.number}-"
            for client in self.clients
            if client.database == "books" and client.address != "10.1.0.1"
        }
        return sorted(
            token for token in self.written() if any(token.startswith(name) for name in names)
        )

    def in_force(self):
        return {
            pooler.node: pooler.core.access_control.access
            and pooler.core.access_control.access.version
            for pooler in self.poolers
        }


@pytest.mark.parametrize("seed", range(6))
def test_counts_agree_with_what_was_sent_while_the_list_changes_and_nodes_come_and_go(seed):
    fleet = Village(seed)
    fleet.decide(
        "10.0.0.1",
        "blueprint",
        put_configuration(4, configuration(4, databases=("books", "search")), 0),
    )
    fleet.run(2.0)
    fleet.set_list("10.0.0.1", body(HOME, OPEN), 0)
    fleet.run(6.0)
    assert set(fleet.in_force().values()) == {1}
    barred = fleet.barred()  # written before there was a list
    fleet.set_list("10.0.0.2", body(AWAY, HOME, OPEN), 1)
    fleet.run(fleet.random.uniform(0.1, 2.0))
    fleet.split(True)  # the south hears no majority, mid-offer or mid-force
    holder = fleet.cluster.cores["10.0.0.1"].failover_lease.value.holder
    if holder != "10.0.0.3":  # the lease's holder is lost with the offer open
        fleet.cluster.kill(holder)
    fleet.run(fleet.random.uniform(0.5, 2.0))
    if holder != "10.0.0.3":
        fleet.cluster.start(holder)
    fleet.kill_pooler(fleet.random.choice(fleet.poolers))
    fleet.start_pooler("south"), fleet.start_pooler("north")
    fleet.run(9.0)
    south = [pooler for pooler in fleet.poolers if pooler.region == "south"]
    assert south and not any(pooler.core.ready for pooler in south)
    assert {
        pooler.core.access_control.access.version
        for pooler in fleet.poolers
        if pooler.region == "north"
    } == {2}
    fleet.split(False)
    fleet.run(3.0)
    assert set(fleet.in_force().values()) == {2} and all(
        pooler.core.ready for pooler in fleet.poolers
    )
    fleet.end()
    assert not fleet.unguarded and not [client.wrong for client in fleet.clients if client.wrong]
    rows = fleet.rows + [
        row for pooler in fleet.poolers for row in pooler.core.access_control.rows(pooler.node)
    ]
    reported = {
        (row["node"], row["generation"], row["rule"]): [
            row["logins_allowed"],
            row["logins_denied"],
            row["requests_allowed"],
            row["requests_denied"],
        ]
        for row in rows
    }
    assert {key: found for key, found in reported.items() if any(found)} == dict(fleet.sent)
    written, acked = (
        Counter(fleet.written()),
        [token for client in fleet.clients for token in client.acked],
    )
    assert (
        len(acked) > 50
        and all(written[token] == 1 for token in acked)
        and set(written.values()) == {1}
    )
    assert (
        barred
        and fleet.barred() == barred
        and sum(found[1] + found[3] for found in reported.values()) > 20
    )


@pytest.mark.parametrize("used", [False, True])
def test_with_no_list_ever_set_a_cut_off_counter_serves_on(used):
    fleet = Village(3)
    fleet.decide(
        "10.0.0.1",
        "blueprint",
        put_configuration(4, configuration(4, databases=("books", "search")), 0),
    )
    if used:
        fleet.set_list("10.0.0.1", body(HOME, OPEN), 0)
    fleet.run(6.0)
    fleet.split(True)
    fleet.run(5.0)
    assert {pooler.core.ready for pooler in fleet.poolers if pooler.region == "south"} == {not used}


# ---------------------------------------------------------------- the command
COUNTERS = [
    {"node": "edge-1", "access": 2, "access_held": 5},
    {"node": "edge-2", "access": 1, "access_held": 4},
]
COMMANDS = [
    (
        [
            reply(200, {"generation": 2, "in_force": False, "not_routed": ["old"]}),
            reply(200, COUNTERS),
        ],
        6,
        "edge-2",
    ),
    (
        [
            reply(200, {"generation": 2, "in_force": False, "not_routed": []}),
            reply(200, COUNTERS[:1]),
        ],
        0,
        "",
    ),
    ([refusal("stale_match")], 5, "1202"),
    ([refusal("unknown_region")], 4, "1434"),
]


@pytest.mark.parametrize(("replies", "code", "reported"), COMMANDS)
def test_the_command_waits_for_every_counter_and_names_who_is_missing(
    tmp_path, replies, code, reported, capsys
):
    file = tmp_path / "access.json"
    file.write_bytes(body(HOME))
    assert command.set_list(str(file), base=1, at=Stub(*replies).address, wait=0.0) == code
    assert reported in capsys.readouterr().err


def test_a_call_with_a_bad_base_or_address_changes_nothing():
    import curio

    fleet = Village(1)
    fleet.run(2.0)
    process = SimpleNamespace(
        core=fleet.cluster.cores["10.0.0.1"],
        settings=SimpleNamespace(zones={"a": "north", "b": "south"}),
    )
    for call, request, status in [
        (access_calls.put_access, Request("PUT", "/api/admin/access", {}, body(HOME)), 428),
        (
            access_calls.put_access,
            Request("PUT", "/api/admin/access", {"if-match": "0"}, b"{}"),
            400,
        ),
        (access_calls.get_access, Request("GET", "/api/admin/access", {}, b""), 404),
        (
            access_calls.get_check,
            Request("GET", "/api/admin/access/check?database=books&address=10.1.0.1", {}, b""),
            404,
        ),
    ]:
        assert curio.run(reply_of, call, process, request).status == status
    assert ACCESS_KEY not in process.core.committed
