"""A floor with backends played by hand: what the tests of the data plane stand on."""

import math

import msgspec

from sumacloom.configuration.model import decode_configuration
from sumacloom.pooler import connection_loss, server_results, timers
from sumacloom.pooler.core import PoolerCore
from sumacloom.pooler.effects import Close, Dial, Send
from sumacloom.settings import Settings
from sumacloom.transport.updates import BackendRecord

CONFIGURATION = {
    "ver": 1,
    "routes": [
        {
            "name": "r1",
            "host": "books",
            "svc": "svc",
            "kind": "primary",
            "tmoMs": 1000,
            "goalMs": 2400,
            "prio": 1,
        },
        {
            "name": "r2",
            "host": "search",
            "svc": "svc",
            "kind": "stale_ok",
            "tmoMs": 2000,
            "goalMs": 800,
            "prio": 2,
            "maxStaleMs": 1500,
        },
        {
            "name": "r3",
            "host": "copies",
            "svc": "svc",
            "kind": "self",
            "tmoMs": 1000,
            "prio": 2,
            "maxStaleMs": 2500,
        },
        {
            "name": "r4",
            "host": "homely",
            "svc": "svc",
            "kind": "stale_ok",
            "tmoMs": 1000,
            "maxStaleMs": 1500,
            "geo": ["north"],
        },
    ],
    "svcs": [{"name": "svc", "maxconn": 40}],
    "limits": {"txIdleMs": 3000},
}

BOOKS = CONFIGURATION["routes"][0]


class Stage:
    """A pooler's floor at zone `a`; backends p (leads, zone a), q (zone a) and r (zone b)."""

    def __init__(self, configuration=None, **changes):
        self.now = 100.0
        self.settings = Settings(
            "edge-1", "counter", "10.0.0.1", "a", "north", zones={"a": "north", "b": "south"}
        )
        self.core = PoolerCore(self.settings)
        self.core.missing_database.confirmed_until = math.inf
        self.core.pools.next_key = 1000  # connections apart from the clients 1, 2, 3
        self.sent: dict = {}
        self.shut, self.dialled = [], []
        self.seq = 0
        self.raw_configuration = {**(configuration or CONFIGURATION), **changes}
        self.core.apply_configuration(self.configuration(1), self.now)
        self.records("p", role="primary")
        self.records("q")
        self.records("r", zone="b")

    def configuration(self, version, **first_route):
        """The stage's configuration under another number, with other fields of its first route."""
        first, *others = self.raw_configuration["routes"]
        routes = [{**first, **first_route}, *others]
        raw = {**self.raw_configuration, "ver": version, "routes": routes}
        return decode_configuration(msgspec.json.encode(raw))

    def records(self, name, **fields):
        self.seq += 1
        fields = {"zone": "a", "slots": 4, "seq": self.seq, **fields}
        address = f"10.0.1.{ord(name)}:80"
        self.core.apply_records([BackendRecord(name, "svc", address, **fields)], self.now)
        self.act()

    def act(self):
        effects, self.core.effects = self.core.effects, []
        for effect in effects:
            if isinstance(effect, Send):
                lines = effect.data.decode("latin-1").split("\r\n")[:-1]
                self.sent.setdefault(effect.key, []).extend(lines)
            elif isinstance(effect, Close):
                self.shut.append(effect.key)
            elif isinstance(effect, Dial):
                self.dialled.append(effect.key)
                login = self.core.connections[effect.key].login("edge-1").decode().strip()
                self.sent.setdefault(effect.key, []).append(login)

    def tick(self, seconds=0.05):
        """Lets time pass, with nothing to be read in it; after a stall the pooler looks twice."""
        self.thaw(seconds)
        if self.core.stalled:
            self.thaw(0.0)

    def thaw(self, seconds):
        """The pooler was stalled for a while: time has passed without a look at the clock."""
        self.now += seconds
        timers.tick(self.core, self.now)
        self.act()

    def say(self, key, *lines):
        """Lines of a client."""
        self.core.session_data(
            key, "".join(line + "\r\n" for line in lines).encode("latin-1"), self.now
        )
        self.act()

    def client(self, key, database):
        self.core.session_opened(key, self.now)
        self.say(key, f"LOGIN {database} someone")
        assert self.take(key) == ["READY I -"]
        return key

    def take(self, key):
        """What was sent to a session or connection since the last look."""
        return self.sent.pop(key, [])

    def answer(self, connection, *lines):
        """Lines of a backend."""
        server_results.receive_data(
            self.core,
            connection.key,
            "".join(line + "\r\n" for line in lines).encode("latin-1"),
            self.now,
        )
        self.act()

    def lose(self, connection):
        connection_loss.connection_lost(self.core, connection, "cut", self.now)
        self.act()

    def connections(self, name):
        return [
            connection
            for connection in self.core.connections.values()
            if connection.backend == name
        ]

    def warm(self, *names, position="1.10"):
        """Brings one connection up to each backend."""
        self.tick(1.0)
        for name in names or ("p", "q", "r"):
            connection = self.connections(name)[0]
            if not connection.open:
                self.answer(connection, f"READY I {position}")
            self.take(connection.key)
        return [self.connections(name)[0] for name in names or ("p", "q", "r")]

    def begun(self, lead, key=1, database="books"):
        """A client with a transaction of one write that has succeeded."""
        self.client(key, database)
        self.say(key, "QUERY 1 BEGIN")
        self.say(key, "QUERY 2 PUT a b")
        self.answer(lead, "DONE -", "READY T 1.11")
        self.answer(lead, "DONE 7.0", "READY T 1.11")
        self.take(key), self.take(lead.key)

    def anchor(self, connection, position="1.10"):
        """Answers the BEGIN and ABORT that seek an anchor."""
        assert self.take(connection.key) == ["QUERY - BEGIN", "QUERY - ABORT"]
        self.answer(connection, "DONE -", f"READY T {position}", "DONE -", f"READY I {position}")


def stage_with(**route):
    """A stage whose database `books` has a route with these fields."""
    return Stage({**CONFIGURATION, "routes": [{**BOOKS, **route}, *CONFIGURATION["routes"][1:]]})


def without_primary(stage):
    stage.core.pools.backends["p"].role = "replica"


def wait_for_answer(stage, key, step=0.01):
    """Ticks until a client is answered; gives how long that took, and the first line."""
    started = stage.now
    while not stage.sent.get(key):
        stage.tick(step)
    return stage.now - started, stage.take(key)[0]
