"""A model of the data plane: the real pooler core between clients and backends that really run statements.

Steps come in any order: statements, answers whole, in parts, doubled or broken off, resets, standstills with backlog and
timers in both orders, reused addresses, a lead that moves, leaving, configurations, drains. Each write's runs are
counted, each stamp belongs to one statement, and each promise is held against what is kept.
"""

import msgspec
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from sumacloom.configuration.model import decode_configuration
from sumacloom.pooler import completion, timers

from .simulated_calls import Client, World
from .stage import CONFIGURATION

PLACES = st.integers(0, 30)
SELDOM = st.integers(0, 11).map(lambda drawn: drawn == 11)
HOW = st.sampled_from(["run"] * 12 + ["BUSY", "FAIL", "LAGGING", "MAXCONN"])
ASKED = st.tuples(
    PLACES,
    st.sampled_from(
        [
            "FETCH a",
            "FETCH b",
            "PUT a x",
            "PUT b y",
            "PUT c z",
            "BEGIN",
            "BEGIN",
            "BEGIN",
            "whole",
            "SET tz one",
            "SET tz two",
            "PREP mine PUT q",
            "PREP mine FETCH q",
            "EXEC mine a x",
        ]
    ),
    st.sampled_from(
        [
            "PUT a x",
            "PUT b y",
            "FETCH a",
            "SET tz three",
            "EXEC mine a x",
            "COMMIT",
            "COMMIT",
            "ABORT",
        ]
    ),
    st.sampled_from([0, 0, 1, 4, 4, 4]),
)


class Calls(RuleBasedStateMachine):
    """The steps."""

    def __init__(self):
        super().__init__()
        self.world, self.keys = World(), 0

    @initialize()
    def warm(self):
        self.world.tick(1.0)
        self.world.serve_all()
        self.world.deliver_all()

    def conn(self, place, wanted=lambda conn: conn.inbox or conn.buffer):
        found = [conn for conn in self.world.conns.values() if wanted(conn)]
        return found[place % len(found)] if found else None

    # -------------------------------------------------------- clients
    @rule(asked=st.lists(ASKED, min_size=1, max_size=8))
    def ask(self, asked):
        for place, text, end, rounds in asked:
            self.world.tick(0.05)
            self.say(place, text, end)
            for _round in range(rounds):
                self.all_answer()

    @rule(asked=st.lists(ASKED, min_size=1, max_size=4))
    def ask_and_be_answered(self, asked):
        self.ask(asked)
        self.all_answer()

    def say(self, place, text, end):
        clients = list(self.world.clients.values())
        if len(clients) < 3 or place == 30:
            self.keys += 1
            clients.append(Client(self.world, self.keys, ["books", "copies"][self.keys % 2]))
        client = clients[place % len(clients)]
        if client.asked or not client.in_session or client.key not in self.world.clients:
            return
        if client.state == "E":
            text = "ABORT" if end == "ABORT" else "COMMIT"
        elif client.state == "T":
            text = end
        if text.startswith("EXEC") and not client.names:
            text = "PUT a x"
        if text == "whole":
            client.say("BEGIN", "PUT a x", "FETCH b", "COMMIT")
        else:
            client.say(text)

    @rule(place=PLACES, ends=st.booleans())
    def leave(self, place, ends):
        keys = list(self.world.clients)
        if place < 8 and keys:
            key = keys[place % len(keys)]
            if ends:
                completion.session_ended(self.world.core, key, self.world.now)
            else:
                self.world.core.session_closed(key, self.world.now)
                self.world.clients.pop(key)
            self.world.act()

    # -------------------------------------------------------- backends
    @rule(place=PLACES, how=HOW)
    def backend_runs(self, place, how):
        if conn := self.conn(place, lambda conn: conn.inbox):
            self.world.serve(conn, how)

    @rule(place=PLACES, how=HOW)
    def backend_answers(self, place, how):
        if conn := self.conn(place):
            self.world.serve(conn, how)
            self.world.deliver(conn)

    @rule()
    def all_answer(self):
        self.world.serve_all()
        self.world.deliver_all()

    @rule(place=PLACES, most=st.integers(1, 60))
    def part_of_an_answer(self, place, most):
        if conn := self.conn(place, lambda conn: conn.buffer):
            self.world.deliver(conn, most)

    @rule(place=PLACES, at_once=st.booleans())
    def second_answer(self, place, at_once):
        if conn := self.conn(place, lambda conn: conn.inbox and not conn.buffer):
            self.world.serve(conn, twice=True)
            self.world.deliver(conn, None if at_once else len(conn.buffer) // 2)

    @rule(place=PLACES, runs=st.booleans(), most=st.integers(0, 60))
    def reset(self, place, runs, most):
        if conn := self.conn(place):
            while runs and conn.inbox:
                self.world.serve(conn)
            self.world.deliver(conn, most)
            if conn.key in self.world.conns:
                self.world.reset(conn)

    @rule(name=st.sampled_from("pqr"), other=st.sampled_from("pqrx"), seldom=SELDOM)
    def address_taken(self, name, other, seldom):
        if not seldom and self.world.hosts[name] == name:
            return
        self.world.hosts[name] = other if self.world.hosts[name] == name else name
        for conn in [conn for conn in self.world.conns.values() if conn.name == name]:
            self.world.reset(conn)

    @rule(name=st.sampled_from("pqr"), reported=st.sampled_from([True, True, False]), seldom=SELDOM)
    def lead_moves(self, name, reported, seldom):
        world = self.world
        name = name if seldom else world.lead
        world.lead, world.term = name, world.term + (name != world.lead)
        if reported:
            for one in "pqr":
                world.records(
                    one,
                    role="primary" if one == name else "replica",
                    zone="b" if one == "r" else "a",
                )

    # -------------------------------------------------------- time, and what comes down
    @rule(seconds=st.sampled_from([0.05, 0.05, 0.1, 0.2, 0.5]))
    def time_passes(self, seconds):
        self.world.tick(seconds)

    @rule(seconds=st.sampled_from([0.3, 0.9, 1.2, 2.5, 4.0]), bytes_first=st.booleans())
    def stands_still(self, seconds, bytes_first):
        """Backends go on; at the thaw a backlog of answers lies there and all timers are due."""
        self.world.serve_all()
        self.world.now += seconds
        if bytes_first:
            self.world.deliver_all()
        self.world.thaw(0.0)
        self.world.deliver_all()
        self.world.tick(0.05)

    @rule(
        change=st.sampled_from(
            [{"tmoMs": 300}, {"tmoMs": 1000}, {"kind": "stale_ok", "maxStaleMs": 900}]
        )
    )
    def quorum(self, change):
        routes = [
            {**route, **(change if route["host"] == "books" else {})}
            for route in CONFIGURATION["routes"]
        ]
        configuration = {
            **CONFIGURATION,
            "routes": routes,
            "ver": self.world.core.configuration.ver + 1,
        }
        self.world.core.apply_configuration(
            decode_configuration(msgspec.json.encode(configuration)), self.world.now
        )
        self.world.act()

    @rule(zones=st.sampled_from([["a"], ["b"]]), seldom=SELDOM)
    def evacuation(self, zones, seldom):
        self.world.core.pools.apply_zone_drains(zones if seldom else [], self.world.now)

    @precondition(lambda self: self.keys > 6)
    @rule(seldom=SELDOM)
    def sigterm(self, seldom):
        if seldom:
            timers.sigterm(self.world.core, self.world.now)

    # -------------------------------------------------------- what must always hold
    @invariant()
    def holds(self):
        kept = self.world.kept
        assert all(count == 1 for count in kept.values()), f"run twice: {kept}"
        for _client, one in self.world.tries.values():
            assert not (one.promised and any(kept[ident] for ident in one.writes)), (
                f"kept after {one.promised}"
            )
            assert not one.acked or all(kept[ident] for ident in one.writes), (
                "an acknowledged write is not there"
            )
            assert one.single or len(one.conns) <= 1, "one transaction on two wires"
        for backend in self.world.core.pools.backends.values():
            assert not any(
                connection.expected
                or connection.owner
                or connection.state != "I"
                or connection.lost
                for connection in backend.idle
            )

    def teardown(self):
        """All that was sent may yet run; the rest is answered or lost."""
        self.world.serve_all()
        self.holds()
        self.world.deliver_all()
        self.world.serve_all()
        self.holds()


CallsTest = Calls.TestCase
CallsTest.settings = settings(
    max_examples=400,
    stateful_step_count=50,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
