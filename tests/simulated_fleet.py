"""A whole fleet without sockets: controllers, poolers, backends and clients, time and luck from one seed."""

import random
from collections import deque

import msgspec

from sumacloom.controller.policy.access import StampQueue
from sumacloom.pooler import admission, connection_loss, delivery_intents, server_results, timers
from sumacloom.pooler.core import PoolerCore
from sumacloom.pooler.effects import Close, Dial, Send, SendToController
from sumacloom.settings import Settings
from sumacloom.transport.messages import DeliveryIntent, IntentStored
from sumacloom.transport.update_cache import UpdateCache
from sumacloom.transport.updates import BackendRecord

from .simulated_backend import SimulatedBackend
from .test_voters import ControllerCluster

WAY_S = 0.004


def configuration(ver, service="shelf-a", databases=("books",), **limits):
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


class SimulatedPooler:
    """One pooler: its floor, its board, its connections to the stores."""

    def __init__(self, fleet, number, region):
        self.fleet, self.node, self.region = fleet, f"edge-{number}", region
        self.incarnation = fleet.random.getrandbits(40)
        self.core = PoolerCore(
            Settings(self.node, "counter", f"10.0.1.{number}", "a", "north", zones={"a": "north"}),
            self.incarnation,
        )
        self.core.pools.next_key = 1 << 20
        self.core.pools.members = 4
        self.cache, self.current_at = UpdateCache(), -1e9
        self.replies, self.session = {}, ""
        self.lease, self.stamps, self.said = admission.AccessLease(), StampQueue(), None

    def controller(self):
        """The controller this pooler can hear, if any."""
        cluster = self.fleet.cluster
        return next(
            (
                cluster.cores[ip]
                for ip in sorted(
                    cluster.cores, key=lambda ip: self.fleet.region_of(ip) != self.region
                )
                if not self.fleet.parted(self.region, self.fleet.region_of(ip))
            ),
            None,
        )

    def apply_update(self, now):
        one = self.controller()
        if one is None:
            return
        update = one.cache.update_for(self.cache.digest())
        if one.in_quorum(now):
            self.current_at = now
        digest = self.cache.digest()
        one.members.receive(
            self.node, "a", self.node, now, digest.priority, digest.subscribers, self.incarnation
        )
        if self.session not in ("", one.me) and self.session in self.fleet.cluster.cores:
            self.fleet.cluster.cores[self.session].members.end(self.node, now)
        if self.session != one.me:
            self.stamps, self.said = StampQueue(), None
        self.session = one.me
        one.pool_mode_votes.receive(self.core.pool_modes.pool_mode_votes(now))
        said, self.said = (
            self.said,
            (one.cache.access.order, self.stamps.confirmed_by(one.access.read_at)),
        )
        if said:  # the heartbeat before this one has arrived by now
            self.lease.receive(said[0], self.cache.access.order, said[1], now)
        self.stamps.receive(None if self.lease.until is None else now, now)
        if update and self.cache.apply(update):
            if self.cache.configuration:
                self.core.apply_configuration(self.cache.configuration, now)
            self.core.pool_modes.take(self.cache.pool_modes, self.cache.pool_modes)
            self.core.apply_records(list(self.cache.records.values()), now)

    @property
    def is_current(self):
        return self.fleet.cluster.now - self.current_at < 2.0

    def act(self, now):
        fleet = self.fleet
        effects, self.core.effects = self.core.effects, []
        for effect in effects:
            if isinstance(effect, Dial):
                connection = self.core.connections[effect.key]
                fleet.to_store(
                    self, connection.key, connection.backend, connection.login(self.node)
                )
            elif isinstance(effect, Send) and effect.key in self.core.connections:
                backend = self.core.connections[effect.key].backend
                fleet.to_store(self, effect.key, backend, effect.data)
            elif isinstance(effect, Send):
                lines = effect.data.decode().split("\r\n")[:-1]
                self.replies.setdefault(effect.key, []).extend(lines)
            elif isinstance(effect, Close):
                fleet.shut(self, effect.key)
            elif (
                isinstance(effect, SendToController)
                and self.session
                and not fleet.parted(self.region, fleet.region_of(self.session))
            ):
                fleet.letters.append(
                    (now + fleet.random.uniform(0.001, 0.03), self, self.session, effect.message)
                )


class Client:
    """Registers one item after the other; starts again only after a promise."""

    address = ""

    def __init__(self, fleet, number, database):
        self.fleet, self.number, self.database = fleet, number, database
        self.pooler, self.key = None, number
        self.token, self.step, self.lines, self.count = "", 0, [], 0
        self.acked, self.doubtful, self.at = [], [], 0.0

    def fresh(self):
        self.count += 1
        self.token = f"{self.database}-{self.number}-{self.count}"

    def tick(self, now):
        if self.pooler is None or self.pooler not in self.fleet.poolers:
            if self.lines:  # the pooler died with something asked
                self.end("UNKNOWN" if self.commits() else "ROLLEDBACK", now)
            ready = [pooler for pooler in self.fleet.poolers if pooler.core.ready]
            if not ready:
                return
            self.pooler = self.fleet.random.choice(ready)
            self.pooler.core.session_opened(self.key, now, self.address)
            self.say(now, f"LOGIN {self.database} me")
            return
        replies = self.pooler.replies.pop(self.key, [])
        if self.key not in self.pooler.core.sessions and not any(
            line.startswith("ERR") for line in replies
        ):
            if self.lines:
                self.end("UNKNOWN" if self.commits() else "ROLLEDBACK", now)
            self.pooler = None
            return
        errors = [line.split(" ")[1] for line in replies if line.startswith("ERR")]
        done = any(line.startswith("READY") for line in replies)
        if errors:
            self.end(errors[0], now)
            self.pooler.core.session_closed(self.key, now)
            self.pooler = None
        elif done and self.lines:
            self.lines.pop(0)
            if not self.lines:
                self.end("", now)
            else:
                self.say(now, self.lines[0])
        elif not self.lines and now >= self.at and not self.fleet.over:
            if not self.token:
                self.fresh()
            put = f"QUERY {self.fleet.next_id()} PUT thing {self.token}"
            complete = [
                f"QUERY {self.fleet.next_id()} BEGIN",
                put,
                f"QUERY {self.fleet.next_id()} COMMIT",
            ]
            self.lines = [put] if self.is_single() else complete
            self.say(now, self.lines[0])

    def is_single(self):
        """Whether its next item is a single write, not a transaction."""
        return self.number % 2

    def commits(self):
        return self.lines and (self.lines[0].endswith("COMMIT") or len(self.lines) == 1)

    def say(self, now, line):
        self.pooler.core.session_data(self.key, (line + "\r\n").encode(), now)

    def end(self, code, now):
        """What the try came to: a promise lets the same item start again, doubt does not."""
        if not code:
            self.acked.append(self.token)
        elif code in ("UNKNOWN", "TIMEDOUT"):
            self.doubtful.append(self.token)
        if not code or code in ("UNKNOWN", "TIMEDOUT"):
            self.token = ""
        self.lines, self.at = [], now + self.fleet.random.uniform(0.02, 0.2)


class SimulatedFleet:
    """Two regions: controllers and poolers north and south, a link between that may be cut."""

    def __init__(self, seed, poolers=4, clients=8, loss=0.02, databases=("books",)):
        self.random = random.Random(seed)
        self.cluster = ControllerCluster(seed)
        self.loss, self.partitioned, self.over, self.ids, self.made = loss, False, False, 0, 0
        self.post, self.letters = deque(), []
        self.cluster.mail = self.mail
        self.stores = {
            name: SimulatedBackend(name, service)
            for name, service in (("p", "shelf-a"), ("q", "shelf-b"))
        }
        self.poolers = []
        for _desk in range(poolers):
            self.start_pooler()
        self.clients = [
            Client(self, number, databases[number % len(databases)])
            for number in range(1, clients + 1)
        ]

    def region_of(self, ip):
        return "south" if ip == "10.0.0.3" else "north"

    def parted(self, one, other):
        return self.partitioned and one != other

    def split(self, partitioned):
        self.partitioned = partitioned
        self.cluster.partitioned = (
            {frozenset(("10.0.0.3", ip)) for ip in ("10.0.0.1", "10.0.0.2")}
            if partitioned
            else set()
        )

    def start_pooler(self, region=""):
        self.made += 1
        self.poolers.append(
            SimulatedPooler(self, self.made, region or ("south" if self.made % 2 else "north"))
        )
        return self.poolers[-1]

    def kill_pooler(self, pooler):
        self.poolers.remove(pooler)
        self.post = deque(
            entry for entry in self.post if entry[1] is not pooler or entry[0] == "in"
        )

    def next_id(self):
        self.ids += 1
        return f"{self.ids:016x}"

    def to_store(self, pooler, key, name, data):
        """Bytes for a backend: they arrive, and their answer may be lost with the connection."""
        for line in data.decode().split("\r\n")[:-1]:
            self.post.append(("in", pooler, key, name, line, self.cluster.now + WAY_S))

    def shut(self, pooler, key):
        for store in self.stores.values():
            store.open.pop((pooler.incarnation, key), None)

    def mail(self, ip, node, message):
        """A controller's message for a pooler."""
        pooler = next((pooler for pooler in self.poolers if pooler.node == node), None)
        if (
            pooler is None
            or self.parted(pooler.region, self.region_of(ip))
            or self.random.random() < self.loss
        ):
            return
        if isinstance(message, IntentStored):
            delivery_intents.handle_intent_stored(pooler.core, message, self.cluster.now)
        elif message.incarnation == pooler.incarnation:
            pooler.core.delivery.note(message.database, message.number)

    def carry_letters(self, now):
        """What poolers tell controllers; some of it is lost."""
        due = [letter for letter in self.letters if letter[0] <= now]
        self.letters = [letter for letter in self.letters if letter[0] > now]
        for _at, pooler, ip, message in due:
            if (
                ip in self.cluster.cores
                and not self.parted(pooler.region, self.region_of(ip))
                and self.random.random() >= self.loss
            ):
                log = self.cluster.cores[ip].delivery
                is_intent = isinstance(message, DeliveryIntent)
                take = log.take_intent if is_intent else log.take_outcome
                take(pooler.node, message, now)

    def step(self):
        cluster = self.cluster
        cluster.step()
        now = cluster.now
        for one in cluster.cores.values():
            if not one.cache.records:
                one.cache.records.update(
                    (
                        name,
                        BackendRecord(
                            name, store.service, f"10.0.2.{place}:80", "a", 9, role="primary"
                        ),
                    )
                    for place, (name, store) in enumerate(self.stores.items(), 1)
                )
                one.cache.refresh_records_digest()
        due = [entry for entry in self.post if entry[5] <= now]
        self.post = deque(entry for entry in self.post if entry[5] > now)
        for kind, pooler, key, name, payload, _at in due:
            if kind == "in":
                lost = self.random.random() < self.loss
                answer = self.stores[name].receive((pooler.incarnation, key), payload)
                if lost and not payload.startswith("LOGIN"):
                    self.post.append(("lost", pooler, key, name, "", now + WAY_S))
                elif answer:
                    self.post.append(("out", pooler, key, name, answer, now + WAY_S))
            elif pooler in self.poolers and key in pooler.core.connections:
                if kind == "lost":
                    connection_loss.connection_lost(
                        pooler.core, pooler.core.connections[key], "cut", now
                    )
                else:
                    server_results.receive_data(
                        pooler.core, key, "".join(line + "\r\n" for line in payload).encode(), now
                    )
        for pooler in list(self.poolers):
            if self.random.random() < 0.3:
                pooler.apply_update(now)
            lapsed = not pooler.lease.held(now)
            admission.take_access(pooler.core, pooler.cache.access, lapsed, now)
            pooler.core.apply_priority(
                pooler.cache.priority.databases,
                pooler.is_current and not lapsed,
                self.used(pooler) or lapsed,
                now,
            )
            rows = pooler.cache.subscribers
            pooler.core.delivery.listen(
                [database for _name, database, _state in rows.rows],
                bool(rows.version) and not pooler.is_current,
            )
            timers.tick(pooler.core, now)
            pooler.act(now)
        self.carry_letters(now)
        for client in self.clients:
            client.tick(now)
        for pooler in self.poolers:
            pooler.act(now)

    def used(self, pooler):
        found = pooler.core.configuration
        return bool(found and found.limits.guarded)

    def run(self, seconds):
        for _step in range(int(seconds / 0.02)):
            self.step()

    def decide(self, ip, key, change):
        proposal = self.cluster.cores[ip].propose(key, change, self.cluster.now)
        while proposal.outcome is None:
            self.step()
        return proposal.outcome

    def end(self):
        """No new work; what is asked comes to its end."""
        self.over = True
        self.run(4.0)

    def written(self):
        return [text.split(" ")[2] for store in self.stores.values() for text in store.log]
