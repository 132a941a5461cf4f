"""A whole fleet without sockets: registrars, counters, backends and clients, time and luck from one seed."""

import random
from collections import deque

import msgspec

from sumacloom.controller.delivery.log import take_intent, take_verdict
from sumacloom.controller.policy.access import Stamps
from sumacloom.controller.policy.pool_modes import hear_minds
from sumacloom.pooler import admission, connection_loss, delivery, server_results, timers
from sumacloom.pooler.core import Floor
from sumacloom.settings import Settings
from sumacloom.transport.messages import Held, Intent
from sumacloom.transport.update_cache import Board
from sumacloom.transport.updates import Record

from .test_voters import Land

WAY_S = 0.004


def blueprint(ver, service="shelf-a", databases=("books",), **limits):
    return msgspec.json.encode(
        {
            "ver": ver,
            "svcs": [{"name": "shelf-a"}, {"name": "shelf-b"}],
            "limits": {"txIdleMs": 3000, **limits},
            "routes": [
                {
                    "name": f"r-{database}",
                    "host": database,
                    "svc": service,
                    "kind": "primary",
                    "tmoMs": 1000,
                    "goalMs": 1000,
                }
                for database in databases
            ],
        }
    )


class Store:
    """A backend that leads its service; its log holds what was committed, in order."""

    def __init__(self, name, service):
        self.name, self.service, self.log, self.runs = name, service, [], 0
        self.open = {}  # wire: writes of its transaction, None outside

    def hear(self, wire, line):
        """The lines that answer one line."""
        word, _blank, rest = line.partition(" ")
        if word != "QUERY":
            return ["READY I 1.0"] if word == "LOGIN" else []
        statement_id, _blank, text = rest.partition(" ")
        writes = self.open.get(wire)
        verb = text.split(" ")[0]
        if verb == "BEGIN":
            self.open[wire] = []
        elif verb == "PUT" and writes is not None:
            writes.append(text)
        elif verb == "PUT":
            self.log.append(text)
        elif verb in ("COMMIT", "ABORT"):
            self.log += writes if verb == "COMMIT" and writes else []
            self.open[wire] = None
        state = "T" if self.open.get(wire) is not None else "I"
        self.runs += 1
        return [
            "DONE -" if statement_id == "-" else f"DONE 7.{self.runs}",
            f"READY {state} 1.{len(self.log)}",
        ]


class Desk:
    """One counter: its floor, its board, its wires to the stores."""

    def __init__(self, town, number, region):
        self.town, self.node, self.region = town, f"edge-{number}", region
        self.life = town.random.getrandbits(40)
        self.floor = Floor(
            Settings(self.node, "counter", f"10.0.1.{number}", "a", "north", zones={"a": "north"}),
            self.life,
        )
        self.floor.yard.next_key = 1 << 20
        self.floor.yard.members = 4
        self.board, self.sure_at = Board(), -1e9
        self.replies, self.session = {}, ""
        self.lease, self.stamps, self.said = admission.Lease(), Stamps(), None

    def office(self):
        """The registrar this counter can hear, if any."""
        land = self.town.land
        return next(
            (
                land.offices[ip]
                for ip in sorted(
                    land.offices, key=lambda ip: self.town.region_of(ip) != self.region
                )
                if not self.town.parted(self.region, self.town.region_of(ip))
            ),
            None,
        )

    def take_news(self, now):
        one = self.office()
        if one is None:
            return
        news = one.board.news_for(self.board.digest())
        if one.settled(now):
            self.sure_at = now
        digest = self.board.digest()
        one.members.hear(self.node, "a", self.node, now, digest.lanes, digest.listeners, self.life)
        if self.session not in ("", one.me) and self.session in self.town.land.offices:
            self.town.land.offices[self.session].members.end(self.node, now)
        if self.session != one.me:
            self.stamps, self.said = Stamps(), None
        self.session = one.me
        hear_minds(one, self.floor.pooling.minds(now))
        said, self.said = (
            self.said,
            (one.board.access.order, self.stamps.confirmed(one.readings.read_at)),
        )
        if said:  # the beat before this one has arrived by now
            self.lease.hear(said[0], self.board.access.order, said[1], now)
        self.stamps.hear(None if self.lease.until is None else now, now)
        if news and self.board.take(news):
            if self.board.blueprint:
                self.floor.take_blueprint(self.board.blueprint, now)
            self.floor.pooling.take(self.board.pooling, self.board.pool_rows)
            self.floor.take_records(list(self.board.records.values()), now)

    @property
    def sure(self):
        return self.town.land.now - self.sure_at < 2.0

    def act(self, now):
        town = self.town
        effects, self.floor.effects = self.floor.effects, []
        for kind, *rest in effects:
            if kind == "dial":
                wire = self.floor.wires[rest[0]]
                town.to_store(self, wire.key, wire.backend, wire.login(self.node))
            elif kind == "send" and rest[0] in self.floor.wires:
                town.to_store(self, rest[0], self.floor.wires[rest[0]].backend, rest[1])
            elif kind == "send":
                self.replies.setdefault(rest[0], []).extend(rest[1].decode().split("\r\n")[:-1])
            elif kind == "shut":
                town.shut(self, rest[0])
            elif (
                kind == "spool"
                and self.session
                and not town.parted(self.region, town.region_of(self.session))
            ):
                town.letters.append(
                    (now + town.random.uniform(0.001, 0.03), self, self.session, rest[0])
                )


class Client:
    """Registers one item after the other; starts again only after a promise."""

    address = ""

    def __init__(self, town, number, database):
        self.town, self.number, self.database = town, number, database
        self.desk, self.key = None, number
        self.token, self.step, self.lines, self.count = "", 0, [], 0
        self.acked, self.doubtful, self.at = [], [], 0.0

    def fresh(self):
        self.count += 1
        self.token = f"{self.database}-{self.number}-{self.count}"

    def tick(self, now):
        if self.desk is None or self.desk not in self.town.desks:
            if self.lines:  # the counter died with something asked
                self.end("UNKNOWN" if self.commits() else "ROLLEDBACK", now)
            ready = [desk for desk in self.town.desks if desk.floor.ready]
            if not ready:
                return
            self.desk = self.town.random.choice(ready)
            self.desk.floor.session_opened(self.key, now, self.address)
            self.say(now, f"LOGIN {self.database} me")
            return
        replies = self.desk.replies.pop(self.key, [])
        if self.key not in self.desk.floor.sessions and not any(
            line.startswith("ERR") for line in replies
        ):
            if self.lines:
                self.end("UNKNOWN" if self.commits() else "ROLLEDBACK", now)
            self.desk = None
            return
        errors = [line.split(" ")[1] for line in replies if line.startswith("ERR")]
        done = any(line.startswith("READY") for line in replies)
        if errors:
            self.end(errors[0], now)
            self.desk.floor.session_closed(self.key, now)
            self.desk = None
        elif done and self.lines:
            self.lines.pop(0)
            if not self.lines:
                self.end("", now)
            else:
                self.say(now, self.lines[0])
        elif not self.lines and now >= self.at and not self.town.over:
            if not self.token:
                self.fresh()
            put = f"QUERY {self.town.next_id()} PUT thing {self.token}"
            whole = [
                f"QUERY {self.town.next_id()} BEGIN",
                put,
                f"QUERY {self.town.next_id()} COMMIT",
            ]
            self.lines = [put] if self.number % 2 else whole
            self.say(now, self.lines[0])

    def commits(self):
        return self.lines and (self.lines[0].endswith("COMMIT") or len(self.lines) == 1)

    def say(self, now, line):
        self.desk.floor.session_data(self.key, (line + "\r\n").encode(), now)

    def end(self, code, now):
        """What the try came to: a promise lets the same item start again, doubt does not."""
        if not code:
            self.acked.append(self.token)
        elif code in ("UNKNOWN", "TIMEDOUT"):
            self.doubtful.append(self.token)
        if not code or code in ("UNKNOWN", "TIMEDOUT"):
            self.token = ""
        self.lines, self.at = [], now + self.town.random.uniform(0.02, 0.2)


class Town:
    """Two regions: registrars and counters north and south, a link between that may be cut."""

    def __init__(self, seed, desks=4, clients=8, loss=0.02, databases=("books",)):
        self.random = random.Random(seed)
        self.land = Land(seed)
        self.loss, self.cut, self.over, self.ids, self.made = loss, False, False, 0, 0
        self.post, self.letters = deque(), []
        self.land.mail = self.mail
        self.stores = {
            name: Store(name, service) for name, service in (("p", "shelf-a"), ("q", "shelf-b"))
        }
        self.desks = []
        for _desk in range(desks):
            self.start_desk()
        self.clients = [
            Client(self, number, databases[number % len(databases)])
            for number in range(1, clients + 1)
        ]

    def region_of(self, ip):
        return "south" if ip == "10.0.0.3" else "north"

    def parted(self, one, other):
        return self.cut and one != other

    def split(self, cut):
        self.cut = cut
        self.land.cut = (
            {frozenset(("10.0.0.3", ip)) for ip in ("10.0.0.1", "10.0.0.2")} if cut else set()
        )

    def start_desk(self, region=""):
        self.made += 1
        self.desks.append(Desk(self, self.made, region or ("south" if self.made % 2 else "north")))
        return self.desks[-1]

    def kill_desk(self, desk):
        self.desks.remove(desk)
        self.post = deque(entry for entry in self.post if entry[1] is not desk or entry[0] == "in")

    def next_id(self):
        self.ids += 1
        return f"{self.ids:016x}"

    def to_store(self, desk, key, name, data):
        """Bytes for a backend: they arrive, and their answer may be lost with the wire."""
        for line in data.decode().split("\r\n")[:-1]:
            self.post.append(("in", desk, key, name, line, self.land.now + WAY_S))

    def shut(self, desk, key):
        for store in self.stores.values():
            store.open.pop((desk.life, key), None)

    def mail(self, ip, node, message):
        """A registrar's message for a counter."""
        desk = next((desk for desk in self.desks if desk.node == node), None)
        if (
            desk is None
            or self.parted(desk.region, self.region_of(ip))
            or self.random.random() < self.loss
        ):
            return
        if isinstance(message, Held):
            delivery.intent_held(desk.floor, message, self.land.now)
        elif message.life == desk.life:
            desk.floor.spooling.note(message.database, message.number)

    def carry_letters(self, now):
        """What counters tell registrars; some of it is lost."""
        due = [letter for letter in self.letters if letter[0] <= now]
        self.letters = [letter for letter in self.letters if letter[0] > now]
        for _at, desk, ip, message in due:
            if (
                ip in self.land.offices
                and not self.parted(desk.region, self.region_of(ip))
                and self.random.random() >= self.loss
            ):
                take = take_intent if isinstance(message, Intent) else take_verdict
                take(self.land.offices[ip], desk.node, message, now)

    def step(self):
        land = self.land
        land.step()
        now = land.now
        for one in land.offices.values():
            if not one.board.records:
                one.board.records.update(
                    (
                        name,
                        Record(name, store.service, f"10.0.2.{place}:80", "a", 9, role="primary"),
                    )
                    for place, (name, store) in enumerate(self.stores.items(), 1)
                )
                one.board.forget(())
        due = [entry for entry in self.post if entry[5] <= now]
        self.post = deque(entry for entry in self.post if entry[5] > now)
        for kind, desk, key, name, payload, _at in due:
            if kind == "in":
                lost = self.random.random() < self.loss
                answer = self.stores[name].hear((desk.life, key), payload)
                if lost and not payload.startswith("LOGIN"):
                    self.post.append(("lost", desk, key, name, "", now + WAY_S))
                elif answer:
                    self.post.append(("out", desk, key, name, answer, now + WAY_S))
            elif desk in self.desks and key in desk.floor.wires:
                if kind == "lost":
                    connection_loss.wire_lost(desk.floor, desk.floor.wires[key], "cut", now)
                else:
                    server_results.wire_data(
                        desk.floor, key, "".join(line + "\r\n" for line in payload).encode(), now
                    )
        for desk in list(self.desks):
            if self.random.random() < 0.3:
                desk.take_news(now)
            lapsed = not desk.lease.held(now)
            admission.take_access(desk.floor, desk.board.access, lapsed, now)
            desk.floor.take_lanes(
                desk.board.lanes.databases, desk.sure and not lapsed, self.used(desk) or lapsed, now
            )
            rows = desk.board.listeners
            desk.floor.spooling.listen(
                [database for _name, database, _state in rows.rows],
                bool(rows.generation) and not desk.sure,
            )
            timers.tick(desk.floor, now)
            desk.act(now)
        self.carry_letters(now)
        for client in self.clients:
            client.tick(now)
        for desk in self.desks:
            desk.act(now)

    def used(self, desk):
        found = desk.floor.blueprint
        return bool(found and found.limits.guarded)

    def run(self, seconds):
        for _step in range(int(seconds / 0.02)):
            self.step()

    def decide(self, ip, key, change):
        proposal = self.land.offices[ip].propose(key, change, self.land.now)
        while proposal.outcome is None:
            self.step()
        return proposal.outcome

    def end(self):
        """No new work; what is asked comes to its end."""
        self.over = True
        self.run(4.0)

    def written(self):
        return [text.split(" ")[2] for store in self.stores.values() for text in store.log]
