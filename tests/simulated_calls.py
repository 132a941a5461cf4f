"""Backends that really run statements, and clients that check what they hear, around the real pooler core."""

from collections import Counter, deque

from sumacloom.pooler import connection_loss, server_results
from sumacloom.pooler.effects import Close, Dial, Send

from .stage import Stage

PROMISES = {"BUSY", "ROLLEDBACK", "LAGGING", "RO", "WRONGHOST", "MAXCONN"}


class Conn:
    """A backend's end of one connection: what arrived and was not run, what was answered and not read."""

    def __init__(self, key, name):
        self.key, self.name, self.inbox, self.buffer = key, name, deque(), b""
        self.mode, self.failed, self.writes = None, False, []  # mode: of the open transaction
        self.values, self.kept_values, self.names = {}, {}, {}
        self.closed = False  # by the pooler; what was sent may yet run

    def begin(self, mode):
        self.mode, self.failed, self.writes, self.kept_values = mode, False, [], dict(self.values)

    def end(self, rolled_back):
        self.mode, self.failed, self.writes = None, False, []
        if rolled_back:
            self.values = self.kept_values


class Try:
    """One try of a client's operation."""

    def __init__(self, single):
        self.single, self.writes, self.promised, self.acked, self.conns = (
            single,
            [],
            "",
            False,
            set(),
        )


class World(Stage):
    """The stage with backends that run what they are sent, and clients that check what they hear."""

    def __init__(self):
        self.conns, self.hosts, self.lead, self.term, self.commits = (
            {},
            {name: name for name in "pqr"},
            "p",
            1,
            0,
        )
        self.stamps, self.kept, self.tries, self.clients = {}, Counter(), {}, {}
        self.ids = self.stamped = 0
        super().__init__()

    # -------------------------------------------------------- effects
    def act(self):
        while self.core.effects:
            effects, self.core.effects = self.core.effects, []
            for effect in effects:
                key = getattr(effect, "key", None)
                if isinstance(effect, Dial):
                    self.dialled.append(key)
                    connection = self.core.connections[key]
                    self.conns[key] = Conn(key, self.hosts[connection.backend])
                    self.conns[key].inbox.append(connection.login("edge-1").decode().strip())
                elif isinstance(effect, Send) and key in self.conns:
                    assert not self.conns[key].closed, "bytes on a wire that was shut"
                    self.conns[key].inbox.extend(effect.data.decode().split("\r\n")[:-1])
                elif isinstance(effect, Send) and key in self.clients:
                    self.clients[key].receive(effect.data.decode().split("\r\n")[:-1])
                elif isinstance(effect, Close) and key in self.conns:
                    self.conns[key].closed = True
                elif isinstance(effect, Close):
                    self.clients.pop(key, None)

    # -------------------------------------------------------- backends
    def serve(self, conn, how="run", twice=False):
        """Runs the next line that arrived."""
        if not conn.inbox:
            return
        line = conn.inbox.popleft()
        answer = self.login(conn, line) if line.startswith("LOGIN") else self.run(conn, line, how)
        data = "".join(f"{part}\r\n" for part in answer).encode()
        conn.buffer += data * (1 + twice)

    def login(self, conn, line):
        if line.split(" ")[3] != conn.name:
            conn.inbox.clear()
            return [f"ERR WRONGHOST {conn.name}"]
        return [f"READY I {self.term}.{self.commits}"]

    def run(self, conn, line, how):
        _query, ident, text = line.split(" ", 2)
        if text.startswith("WAITPOS"):
            text = text.split(" ", 2)[2]
        verb, _blank, rest = text.partition(" ")
        own = ident == "-"
        if not own:
            self.check_place(conn, ident, verb, rest)
        lines = self.own(conn, verb, rest) if own else self.asked(conn, ident, verb, rest, how)
        state = "E" if conn.failed else "T" if conn.mode else "I"
        return [*lines, f"READY {state} {self.term}.{self.commits}"]

    def check_place(self, conn, ident, verb, rest):
        """What must hold wherever a client's statement runs."""
        client, one = self.tries[ident]
        if verb == "EXEC":
            assert conn.names[rest.split(" ")[0]] == client.names["mine"], (
                "another shape is prepared here"
            )
        assert conn.closed or client.key not in self.clients or conn.values == client.values, (
            "values of another session"
        )
        if not one.single:
            assert conn.mode, "a statement of a transaction runs outside of it"
            assert set(conn.writes) <= set(one.writes), "inside another transaction"

    def own(self, conn, verb, rest):
        if verb == "BEGIN":
            if rest != "FETCH" and conn.name != self.lead:
                return [f"ERR RO {conn.name}"]
            conn.begin("read" if rest else "plain")
        elif verb == "ABORT":
            conn.end(True)
        elif verb == "RESET":
            conn.values, conn.names = {}, {}
        elif verb == "SET":
            conn.values = {**conn.values, rest.split(" ")[0]: rest.split(" ", 1)[1]}
        elif verb == "PREP":
            name, kind, shape = rest.split(" ")
            conn.names[name] = (kind, shape)
        return ["DONE -"]

    def asked(self, conn, ident, verb, rest, how):
        writes = verb == "PUT" or (verb == "EXEC" and conn.names[rest.split(" ")[0]][0] == "PUT")
        lost = conn.name != self.lead and (
            writes
            if conn.mode is None
            else conn.mode == "plain" and (verb != "COMMIT" or conn.writes)
        )
        if lost:
            conn.failed = conn.mode is not None
            return [f"ERR RO {conn.name}"]
        if how in ("BUSY", "LAGGING", "MAXCONN"):
            return [f"ERR {how} not run"]
        self.stamped += 1
        self.stamps[f"s{self.stamped}"] = (ident, conn.key)
        if verb == "COMMIT":
            self.keep(conn.writes)
            conn.end(False)
        elif writes and conn.mode:
            conn.writes.append(ident)
        elif writes:
            self.keep([ident])
        if how == "FAIL":  # it ran, and says that it failed
            conn.failed = conn.mode is not None
            return ["ERR FAIL x"]
        return [*([] if verb != "FETCH" else [f"ROW row s{self.stamped}"]), f"DONE s{self.stamped}"]

    def keep(self, idents):
        self.kept.update(idents)
        self.commits += bool(idents)

    def serve_all(self):
        for conn in list(self.conns.values()):
            while conn.inbox:
                self.serve(conn)

    # -------------------------------------------------------- the pooler's reading
    def deliver(self, conn, most=None):
        data, conn.buffer = (
            (conn.buffer, b"") if most is None else (conn.buffer[:most], conn.buffer[most:])
        )
        if data and not conn.closed:
            server_results.receive_data(self.core, conn.key, data, self.now)
            self.act()

    def deliver_all(self):
        for conn in list(self.conns.values()):
            self.deliver(conn)

    def reset(self, conn):
        conn.inbox.clear()
        conn.end(True)
        self.conns.pop(conn.key, None)
        connection = self.core.connections.get(conn.key)
        if connection and not conn.closed:
            connection_loss.connection_lost(self.core, connection, "reset", self.now)
            self.act()


class Client:
    """A client's session: one operation at a time, and what it may hear."""

    def __init__(self, world, key, database):
        self.world, self.key, self.database = world, key, database
        self.values, self.names, self.asked, self.rows = {}, {}, deque(), []
        self.one, self.state, self.in_session = None, "", False
        world.clients[key] = self
        world.core.session_opened(key, world.now)
        world.core.session_data(key, f"LOGIN {database} me\r\n".encode(), world.now)
        world.act()

    def say(self, *texts):
        lines = ""
        for text in texts:
            self.world.ids += 1
            ident = f"q{self.world.ids}"
            verb = text.split(" ")[0]
            if verb == "BEGIN":
                self.one = Try(False)
            elif self.one is None:
                self.one = Try(True)
            writes = verb == "PUT" or (verb == "EXEC" and self.names["mine"][0] == "PUT")
            if writes:
                self.one.writes.append(ident)
            self.world.tries[ident] = (self, self.one)
            self.asked.append((ident, text, self.one))
            lines += f"QUERY {ident} {text}\r\n"
        self.world.core.session_data(self.key, lines.encode(), self.world.now)
        self.world.act()

    def receive(self, lines):
        for line in lines:
            word, _blank, rest = line.partition(" ")
            if word == "READY":
                self.state = rest[0]
                self.answered_at()
            else:
                self.rows.append(line)

    def answered_at(self):
        lines, self.rows = self.rows, []
        if not self.in_session:
            self.in_session = not lines
            return
        ident, text, one = self.asked.popleft()
        code = lines[-1].split(" ")[1] if lines[-1].startswith("ERR") else ""
        verb = text.split(" ")[0]
        if code in PROMISES:
            one.promised = code
        elif not code and verb in ("PUT", "FETCH", "EXEC", "COMMIT"):
            stamps = {line.split(" ")[-1] for line in lines}
            found = {self.world.stamps[stamp] for stamp in stamps}
            assert {asked for asked, _key in found} == {ident}, f"{lines} does not answer {ident}"
            one.conns.update(key for _asked, key in found)
            one.acked = one.single or verb == "COMMIT"
        elif not code and verb == "SET":
            _set, name, value = text.split(" ")
            self.values[name] = value
        elif not code and verb == "PREP":
            self.names["mine"] = tuple(text.split(" ")[2:])
        if self.state == "I" and not self.asked:
            self.one = None
