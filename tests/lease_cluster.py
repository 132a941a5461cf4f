"""Controllers that hold the failover lease in virtual time: real cores, plans and executors; backends and platform stand in.

Tasks are the real coroutines, run by a small scheduler in place of curio. A process may be frozen, and thawed with
all that it was sent meanwhile; what runs first after that, its clock, its tasks or its post, is drawn by the seed.
"""

from types import SimpleNamespace
from typing import NamedTuple

import pytest

from sumacloom.configuration.model import Configuration, Service
from sumacloom.consensus.codec import decode
from sumacloom.controller.failover import executor, lease_confirmation, supervisor
from sumacloom.controller.failover.backend_status import parse_status
from sumacloom.controller.failover.commands import BackendQuery
from sumacloom.controller.failover.executor import QUERY_TIMEOUT_S, CommandExecutor
from sumacloom.controller.failover.supervisor import FailoverSupervisor
from sumacloom.controller.registers import FAILOVER_LEASE_KEY
from sumacloom.controller.registers.lease import LeaseValue
from sumacloom.controller.stall_detector import StallDetector
from sumacloom.http import Response
from sumacloom.transport.messages import FrameDecoder, encode_frame
from sumacloom.transport.updates import BackendRecord

from .simulated_tasks import Task, Trap
from .test_voters import ControllerCluster

STEP_S = 0.02
SERVICES = {"s": 0, "t": 1}  # service: syncAcks


class SimulatedExecutor(CommandExecutor):
    """The real one, but for what leaves for backends."""

    async def query_backend(self, command, _held_lease=None, timeout_s=QUERY_TIMEOUT_S):
        return await self._process.world.ask(self._process, command, timeout_s)


class Process:
    """One life of a controller: what the executor and the supervisor use of a process."""

    def __init__(self, world, ip, core):
        self.world, self.ip, self.core, self.settings = world, ip, core, core.settings
        self.stalls = StallDetector(world.now)
        self.executor = SimulatedExecutor(self)
        self.supervisor = FailoverSupervisor(self, self.executor)
        self.tasks = []

    def now(self):
        return self.world.now

    def announce(self, message):
        """Word to poolers, of which there are none."""

    async def flush(self):
        """What is put out leaves with the next step."""

    async def commit(self, key, change, reading=False):
        proposal = self.core.propose(key, change, self.now(), reading)
        await Trap(lambda: proposal.outcome is not None)
        return proposal.outcome.value()

    def clock(self):
        self.stalls.tick(self.now())
        self.core.tick(self.now())
        Task(self.supervisor.on_timer(self.now())).run()

    def end(self):
        for task in self.tasks:
            task.coroutine.close()

    def work(self):
        for task in list(self.tasks):
            task.run()
        self.tasks = [task for task in self.tasks if not task.terminated]


class Call(NamedTuple):
    """One call to the platform, as it left."""

    ip: str
    holder: str
    fencing_token: int
    service: str
    backend: str
    sent_at: float
    answer: list


class LeaseCluster(ControllerCluster):
    """The world, and what must hold in it."""

    def __init__(self, seed, fencing, lease_ms=0):
        self.fencing, self.lease_ms = fencing, lease_ms
        self.processes, self.frozen, self.backlog = {}, set(), {}
        self.fencing_tokens, self.newest_duty = (
            {},
            (0, None, -1e9),
        )  # fence: (holder, nonce); (fence, holder, since)
        self.calls, self.underway, self.seen, self.asked = [], [], {}, {}
        self.unclear, self.arrived = {}, []
        self.dark = {}
        self.rows = {
            service: {
                f"{service}{number}": ["primary" if number == 0 else "replica", 3, 0]
                for number in range(3)
            }
            for service in SERVICES
        }
        super().__init__(seed, loss=0.01)
        self.run(2.6)

    # ------------------------------------------------------------ processes
    def start(self, ip, bootstrap=False):
        super().start(ip, bootstrap)
        one = self.cores[ip]
        one.settings.bounds.fencing, one.settings.bounds.lease_ms = self.fencing, self.lease_ms
        one.settings.cloud.addr = "10.9.9.9:80"
        one.registry.sweep, one.registry.suspects = lambda now: [], lambda beat_s, now: []
        one.registry.unreachable_since = lambda name, voters, now: self.dark.get(name)
        one.cache.configuration = Configuration(
            1, svcs=[Service(name, sync_acks=acks) for name, acks in SERVICES.items()]
        )
        original = one.commit

        def commit(key, proposal_number, value, now):
            if key == FAILOVER_LEASE_KEY:
                found = decode(LeaseValue, value)
                if found.holder:
                    assert self.fencing_tokens.setdefault(
                        found.fencing_token, (found.holder, found.nonce)
                    ) == (
                        found.holder,
                        found.nonce,
                    )
                if found.fencing_token > self.newest_duty[0]:
                    changed = found.holder != self.newest_duty[1]
                    self.newest_duty = (
                        found.fencing_token,
                        found.holder,
                        self.now if changed else self.newest_duty[2],
                    )
            return original(key, proposal_number, value, now)

        one.commit = commit
        self.processes[ip] = Process(self, ip, one)
        self.show()

    def show(self):
        """Every controller sees the backends as they are."""
        records = {
            name: BackendRecord(name, service, "10.0.1.1:80", "a", role=row[0])
            for service, rows in self.rows.items()
            for name, row in rows.items()
        }
        for one in self.cores.values():
            one.cache.records = dict(records)

    def kill(self, ip, disk=True):
        super().kill(ip, disk)
        self.processes.pop(ip).end()
        self.frozen.discard(ip)
        self.backlog.pop(ip, None)

    def freeze(self, ip):
        self.frozen.add(ip)
        self.backlog.setdefault(ip, [])

    def thaw(self, ip):
        self.frozen.discard(ip)
        process, post = self.processes[ip], self.backlog.pop(ip)

        def read():
            for peer, message in post:
                process.core.receive(peer, FrameDecoder().feed(encode_frame(message))[0], self.now)

        steps = [read, process.clock, process.work]
        self.random.shuffle(steps)
        for step in steps:
            step()

    def step(self):
        self.now = round(self.now + STEP_S, 6)
        for ip in self.random.sample(sorted(self.cores), len(self.cores)):
            if ip in self.frozen:
                continue
            one, process = self.cores[ip], self.processes[ip]
            halves = [process.clock, process.work]
            self.random.shuffle(halves)
            for half in halves:
                half()
            if one.storage.batches:
                batches = one.storage.pending_batches()
                one.storage.sync(batches)
                one.handle_synced(batches, self.now)
            post, one.outbox = one.outbox, []
            self.post += [
                (self.now + self.random.expovariate(50), ip, peer, message)
                for peer, message in post
                if self.random.random() >= self.loss
            ]
        due = [entry for entry in self.post if entry[0] <= self.now]
        self.post = [entry for entry in self.post if entry[0] > self.now]
        for _at, ip, peer, message in sorted(due, key=lambda entry: entry[0]):
            if peer not in self.cores or frozenset((ip, peer)) in self.partitioned:
                continue
            if peer in self.frozen:
                self.backlog[peer].append((ip, message))
            else:
                self.cores[peer].receive(
                    ip, FrameDecoder().feed(encode_frame(message))[0], self.now
                )

    # ------------------------------------------------------------ what stands in
    async def spawn(self, function, *values, daemon=False):
        task = Task(function(*values))
        self.process_of(function, values).tasks.append(task)
        return task

    def process_of(self, function, values):
        """Whose task it is: a function's first argument, or the owner of the method."""
        owner = (
            values[0] if values and isinstance(values[0], Process) else function.__self__._process
        )
        assert isinstance(owner, Process)
        return owner

    async def sleep(self, seconds):
        until = self.now + seconds
        await Trap(lambda: self.now >= until)

    async def ask(self, process, command: BackendQuery, timeout_s):
        """A backend answers within a step, but a dark one, which is silent."""
        service, name = command.backend.service, command.backend.name
        await self.sleep(STEP_S)
        if name in self.dark:
            await self.sleep(timeout_s)
            return None
        row = self.rows[service][name]
        word, _space, term = command.text.partition(" ")
        if word == "STAT":
            self.asked[service, process.ip] = self.now
        if word == "PAUSE":
            row[2] = max(row[2], int(term))
        elif word == "CONT":
            row[2] = 0
        elif word == "STEPDOWN" and row[0] == "primary":
            row[0] = "replica"
            self.show()
        return parse_status(f"{row[0]} {row[1]} {row[1]}.9 {row[2]} 0 0 0")

    async def dial(self, _host, _port):
        await self.sleep(STEP_S * self.random.choice([1, 2, 10, 25, 38]))
        return SimpleNamespace(close=self.close)

    async def close(self):
        """A socket that is closed."""

    async def call(self, dial, address, _method, _path, body, headers, timeout_s):
        """The connection, then the call in the same moment, then its answer or the cutoff.

        After a freeze the call goes on as if no cutoff had passed: the confirmation alone must hold it back.
        """
        began_at = self.now
        try:
            await dial(*address)
        except OSError:
            return Response(0, {}, b"")
        service, backend = body.decode().split('"')[3::4]
        fields = dict(headers)
        holder = next(
            ip for ip, one in self.cores.items() if one.settings.node == fields["X-Holder"]
        )
        call = Call(
            holder, fields["X-Holder"], int(fields["X-Fence"]), service, backend, self.now, []
        )
        self.check_sent(call)
        self.calls.append(call)
        self.unclear[service] = call  # until a clear answer is read
        self.underway.append(call)
        await Trap(lambda: call.answer or self.now - began_at > timeout_s)
        status = call.answer[0] if call.answer else 0
        if 200 <= status < 300 and self.unclear.get(service) is call:
            del self.unclear[service]
        return Response(status, {}, b"")

    def check_sent(self, call):
        """What must hold as a call leaves."""
        process = self.processes[call.ip]
        assert self.fencing_tokens.get(call.fencing_token) == (call.ip, process.core.nonce), (
            "another's fence, or none that was decided"
        )
        _fence, holder, since = self.newest_duty
        assert holder == call.ip or self.now - since <= lease_confirmation.CONFIRMED_S + STEP_S, (
            "the duty had long moved on"
        )
        doubted = self.unclear.get(call.service)
        if doubted:
            assert call.fencing_token > doubted.fencing_token, (
                "repeated with the fence of the unclear call"
            )
            assert self.asked.get((call.service, call.ip), -1e9) > doubted.sent_at, (
                "repeated blindly"
            )
        if not self.fencing:
            others = [
                old
                for old in self.calls
                if old.fencing_token < call.fencing_token and old.ip != call.ip
            ]
            assert all(self.now - old.sent_at >= lease_confirmation.FLIGHT_S for old in others), (
                "two holders inside the bound"
            )
        if self.lease_ms:
            others = [
                old for old in self.calls if old.ip != call.ip and self.in_touch(old.ip, call.ip)
            ]
            assert all(self.now - old.sent_at >= self.lease_ms / 1000 for old in others), (
                "took turns inside the lease"
            )

    def in_touch(self, old, new):
        """Whether the new holder hears the old one."""
        return (
            old in self.cores and old not in self.frozen and self.cores[new].is_alive(old, self.now)
        )

    def arrive(self, call, answer):
        """The platform reads a call; where it checks no fences, it is gone FLIGHT_S after it left."""
        self.underway.remove(call)
        if not self.fencing and self.now - call.sent_at > lease_confirmation.FLIGHT_S:
            return
        seen = self.seen.get(call.service, 0)
        if call.fencing_token < seen and self.fencing:
            status = 409
        else:
            assert call.fencing_token >= seen, "a lower fence than the platform has seen"
            self.seen[call.service] = call.fencing_token
            status = 409 if call.backend in self.dark else 200
            rows = self.rows[call.service]
            if status == 200 and rows[call.backend][0] != "primary":
                term = max(row[1] for row in rows.values()) + 1
                self.rows[call.service] = {
                    name: [
                        "primary" if name == call.backend else "replica",
                        term,
                        0 if name == call.backend else row[2],
                    ]
                    for name, row in rows.items()
                }
                self.show()
        if answer:
            call.answer.append(status)

    def end(self):
        """The play is over."""
        for process in self.processes.values():
            process.end()

    def holders(self):
        return [ip for ip, one in self.cores.items() if one.failover_lease.is_held(self.now)]


def staged(patch: pytest.MonkeyPatch, world: LeaseCluster) -> LeaseCluster:
    """The real supervisor and executor over the stand-ins."""
    stand_in = SimpleNamespace(spawn=world.spawn, sleep=world.sleep)
    for module in (executor, supervisor):
        patch.setattr(module, "curio", stand_in)
    patch.setattr(executor, "call", world.call)
    patch.setattr(executor, "dial", world.dial)
    return world
