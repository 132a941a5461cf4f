"""Pool modes: what sessions do and what is judged of it, wrong votes, and a fleet on a busy Saturday."""

from collections import Counter, deque

import pytest

from sumacloom.controller.policy import pool_modes
from sumacloom.controller.registers import POOL_MODES_KEY
from sumacloom.controller.registers.configuration import put_configuration
from sumacloom.pooler import connection_loss
from sumacloom.pooler.pending_statement import StatementStage
from sumacloom.pooler.pool_mode import PoolModes
from sumacloom.pooler.session import Session
from sumacloom.settings import PoolSettings
from sumacloom.transport.update_cache import pool_modes_checksum
from sumacloom.transport.updates import PoolModeRow

from .simulated_fleet import Client, SimulatedFleet, configuration
from .stage import Stage

NOW = 100.0


def session(mode="statement", who="desk", database="books"):
    found = Session(1, NOW)
    found.database, found.who, found.mode = database, who, mode
    return found


# ---------------------------------------------------------------- what is judged of what sessions do
JUDGED = [
    # (row held, requests, of them with state, seconds, what the pooler says)
    (None, 19, 0, 60.0, []),  # too few to tell
    (None, 60, 0, 9.0, []),  # too soon
    (None, 60, 9, 11.0, [("books", "", "statement", 0)]),
    (None, 60, 10, 11.0, []),  # a sixth of them: between the two bounds
    (PoolModeRow("books", "statement", since=3), 60, 17, 11.0, []),
    (
        PoolModeRow("books", "statement", since=3),
        20,
        6,
        0.1,
        [("books", "", "transaction", 3)],
    ),  # at once
    (PoolModeRow("books", "statement", pinned=True), 20, 20, 11.0, []),
    (PoolModeRow("books", "transaction", pinned=True), 60, 0, 11.0, []),
    (
        PoolModeRow("books", "transaction", strikes=1, since=4),
        60,
        0,
        19.0,
        [],
    ),  # taken back once: twice as long
    (
        PoolModeRow("books", "transaction", strikes=1, since=4),
        60,
        0,
        21.0,
        [("books", "", "statement", 4)],
    ),
]


@pytest.mark.parametrize(("row", "requests", "stateful", "seconds", "said"), JUDGED)
def test_what_a_pooler_says(row, requests, stateful, seconds, said):
    found = PoolModes(PoolSettings())
    found.take(row.since or 1 if row else 0, {"books": row} if row else {})
    for number in range(requests):
        found.seen(session(), number < stateful, NOW)
    assert [mind for mind in found.pool_mode_votes(NOW + seconds) if not mind[1]] == said
    assert not found.pool_mode_votes(NOW + seconds + 0.1)  # said once, and again only later
    assert [
        mind for mind in found.pool_mode_votes(NOW + seconds + 4.0) if not mind[1]
    ] == said or not said


SIGNS = [
    ("QUERY 1 BEGIN", "transaction"),
    ("QUERY 1 SET a b", "transaction"),
    ("QUERY 1 PREP s FETCH q", "transaction"),
    ("QUERY 1 BEGIN FETCH", "transaction"),
    ("QUERY 1 PUT a b", "statement"),
    ("QUERY 1 FETCH a", "statement"),
    ("QUERY 1 FREE s", "statement"),
]


@pytest.mark.parametrize(("line", "mode"), SIGNS)
def test_the_first_sign_of_state_tightens_a_session_at_once(line, mode):
    stage = Stage()
    stage.warm()
    stage.core.pool_modes.take(1, {"books": PoolModeRow("books", "statement")})
    stage.client(1, "books")
    assert stage.core.sessions[1].mode == "statement"
    stage.say(1, line)
    assert stage.core.sessions[1].mode == mode


def test_a_session_is_packed_again_only_after_enough_plain_requests_over_time_and_without_state():
    found, one = PoolModes(PoolSettings()), session()
    found.take(1, {"books": PoolModeRow("books", "statement")})
    found.seen(one, True, NOW)
    for number in range(20):
        found.seen(one, False, NOW + 0.1 * number)
    assert one.mode == "transaction"  # many, but too soon
    one.values["a"] = "1"
    found.seen(one, False, NOW + 6.0)
    assert one.mode == "transaction"  # a value stands
    one.values.clear()
    found.seen(one, False, NOW + 6.1)
    assert one.mode == "statement"


def test_a_name_that_comes_back_and_needs_transactions_is_an_exception_everywhere():
    found = PoolModes(PoolSettings())
    found.take(1, {"books": PoolModeRow("books", "statement", since=1)})
    for _session in range(2):
        found.seen(session(who="clerk"), True, NOW)
    assert (
        found.mode("books", "clerk") == "transaction"
        and found.mode("books", "other") == "statement"
    )
    assert ("books", "clerk", "transaction", 1) in found.pool_mode_votes(NOW)
    other = PoolModes(PoolSettings())
    other.take(2, {"books": PoolModeRow("books", "statement", exceptions=["clerk"])})
    assert other.mode("books", "clerk") == "transaction"


def test_what_a_pooler_keeps_is_bounded():
    found = PoolModes(PoolSettings())
    for number in range(6000):
        found.seen(session(who=f"w{number}", database=f"d{number}"), True, NOW)
    assert len(found.tallies) <= 4096 and len(found.names) <= 1024


# ---------------------------------------------------------------- connections
def test_transactions_leave_the_last_connection_to_sessions_that_share_by_the_statement():
    stage = Stage()
    lead, _q, _r = stage.warm()
    stage.core.pools.connection_limit = lambda _backend, _now: 2
    stage.core.pool_modes.take(1, {"books": PoolModeRow("books", "statement")})
    for key in (1, 2, 3):
        stage.client(key, "books")
    stage.say(1, "QUERY 1 PUT a b")
    stage.answer(lead, "DONE 7.1", "READY I 1.11")
    second = stage.core.pools.new_connection(stage.core.pools.backends["p"], stage.now + 1)
    stage.core.connections[second.key] = second
    second.login("edge-1")
    stage.answer(second, "READY I 1.11")
    stage.say(2, "QUERY 2 BEGIN", "QUERY 3 PUT a c")
    stage.say(3, "QUERY 4 BEGIN", "QUERY 5 PUT a d")
    begun = [
        connection for connection in (lead, second) if "QUERY - BEGIN" in stage.take(connection.key)
    ]
    assert len(begun) == 1  # the third waits: one connection is kept
    stage.say(1, "QUERY 6 PUT a e")
    free = second if begun == [lead] else lead
    assert stage.take(free.key) == ["QUERY 6 PUT a e"]


# ---------------------------------------------------------------- a whole fleet
class Registrar(Client):
    """Every other item is a transaction: whatever pooler serves it, half of what that sees are."""

    def is_single(self):
        return self.count % 2


class Searcher(Client):
    """Looks things up by single statements; writes nothing."""

    def is_single(self):
        return True

    def say(self, now, line):
        super().say(now, line.replace(" PUT thing ", " FETCH "))


class Saturday(SimulatedFleet):
    """Registrations on one database, searches on the other, and a log of which connection each transaction used."""

    def __init__(self, seed, wrong=False):
        super().__init__(seed, poolers=4, clients=8, databases=("books",))
        self.clients = [Registrar(self, one.number, one.database) for one in self.clients]
        self.searchers = [Searcher(self, number, "search") for number in range(101, 109)]
        self.clients += self.searchers
        self.split_transactions = []
        for store in self.stores.values():
            self.watch(store)
        if wrong:
            for pooler in self.poolers:
                pooler.core.pool_modes.mode = lambda _database, _who: "statement"
                pooler.core.pool_modes.seen = lambda *_seen: None  # and it never learns better

    def start_pooler(self, region=""):
        pooler = super().start_pooler(region)
        pooler.core.pool_modes.settings.relax_s = 2.0
        return pooler

    def watch(self, store):
        """A client's COMMIT has its write's id and two more: it must come on that write's connection."""
        receive, connections = store.receive, {}

        def checked(connection, line):
            words = line.split(" ")
            if len(words) > 2 and words[2] == "PUT":
                connections[int(words[1], 16)] = connection
            if (
                len(words) > 2
                and words[2] == "COMMIT"
                and connections.get(int(words[1], 16) - 2) != connection
            ):
                self.split_transactions.append(line)
            return receive(connection, line)

        store.receive = checked

    def crash(self, name):
        """The primary dies and comes back with its log: every connection and open transaction is gone."""
        self.stores[name].open.clear()
        self.post = deque(
            entry for entry in self.post if entry[3] != name
        )  # what was under way is lost with it
        for pooler in self.poolers:
            for connection in [
                connection
                for connection in pooler.core.connections.values()
                if connection.backend == name
            ]:
                connection_loss.connection_lost(
                    pooler.core, connection, "the primary died", self.cluster.now
                )

    def agreed(self):
        return {
            (cache.pool_modes_version, pool_modes_checksum(cache.pool_modes))
            for cache in [
                *(pooler.cache for pooler in self.poolers),
                *(one.cache for one in self.cluster.cores.values()),
            ]
        }


def check_writes(fleet):
    counts = Counter(fleet.written())
    acked = [
        token for client in fleet.clients if client not in fleet.searchers for token in client.acked
    ]
    doubtful = {token for client in fleet.clients for token in client.doubtful}
    assert len(acked) > 50 and all(
        counts[token] == 1 for token in acked
    )  # none missing, none doubled
    assert (
        set(counts.values()) == {1}
        and set(counts) <= {*acked} | doubtful
        and not fleet.split_transactions
    )


@pytest.mark.parametrize("seed", range(6))
def test_a_saturday_ends_without_a_missing_or_doubled_write_and_all_nodes_agree(seed):
    fleet = Saturday(seed)
    fleet.decide(
        "10.0.0.1",
        "blueprint",
        put_configuration(4, configuration(4, databases=("books", "search")), 0),
    )
    fleet.run(9.0)
    assert fleet.poolers[0].core.pool_modes.of("search").mode == "statement"
    assert (
        fleet.poolers[0].core.pool_modes.of("books").mode == "transaction"
    )  # half of them are transactions
    fleet.crash("p")
    fleet.run(0.5)
    fleet.split(True)
    fleet.kill_pooler(fleet.random.choice(fleet.poolers))
    holder = fleet.cluster.cores["10.0.0.1"].failover_lease.value.holder
    if holder != "10.0.0.3":
        fleet.cluster.kill(holder)
    fleet.run(1.0)
    if holder != "10.0.0.3":
        fleet.cluster.start(holder)
        fleet.run(1.5)
    assert fleet.decide(
        "10.0.0.1", POOL_MODES_KEY, pool_modes.pin_mode("books", "transaction")
    ).succeeded
    fleet.start_pooler("south"), fleet.start_pooler("north")
    fleet.crash("p")
    fleet.run(2.0)
    fleet.split(False)
    fleet.run(4.0)
    fleet.end()
    check_writes(fleet)
    assert len(fleet.agreed()) == 1 and fleet.poolers[-1].cache.pool_modes["books"].pinned
    assert all(
        pooler.core.pool_modes.mode("search", "x") == "statement" for pooler in fleet.poolers
    )  # joined ones, too
    for ip in list(fleet.cluster.cores):  # all power is lost; the disks are kept
        fleet.cluster.kill(ip)
    for number in (1, 2, 3):
        fleet.cluster.start(f"10.0.0.{number}")
    fleet.run(3.0)
    assert {
        row.database: row.mode for row in fleet.cluster.cores["10.0.0.2"].cache.pool_modes.values()
    } == {"search": "statement", "books": "transaction"}


@pytest.mark.parametrize("seed", range(4))
def test_a_judgement_wrong_for_every_session_splits_and_doubles_nothing(seed):
    fleet = Saturday(seed, wrong=True)
    fleet.decide(
        "10.0.0.1",
        "blueprint",
        put_configuration(4, configuration(4, databases=("books", "search")), 0),
    )
    fleet.run(3.0)
    for _crash in range(3):
        fleet.crash("p")
        fleet.run(1.0)
    fleet.end()
    check_writes(fleet)


def test_a_long_queue_costs_each_statement_no_more_looks_for_a_connection():
    """Found by capacity.measure: 100 sessions were served 560 statements a second by one pooler, 500 sessions 69."""
    looks = {}
    for size in (20, 400):
        stage = Stage()
        lead, _q, _r = stage.warm()
        stage.core.pools.connection_limit = lambda _backend, _now: 1
        for key in range(1, size + 1):
            stage.client(-key, "books")
            stage.say(-key, f"QUERY {key:x} PUT a b")
        count, look = [0], stage.core.pools.primary_candidates

        def counted(*values, look=look, count=count):
            count[0] += 1
            return look(*values)

        stage.core.pools.primary_candidates = counted
        stage.answer(lead, "DONE 7.1", "READY I 1.11")
        looks[size] = count[0]
        assert (
            sum(pending.stage == StatementStage.WAITING for pending in stage.core.active)
            == size - 2
        )
    assert 0 < looks[400] == looks[20]
