"""What may not grow faster than the fleet: messages and bytes per counter, with the real shells' own code."""

import msgspec
import pytest

from sumacloom.configuration.model import pack_blueprint
from sumacloom.controller.policy.access import Stamps
from sumacloom.controller.process import Shell
from sumacloom.controller.registry.members import Members
from sumacloom.pooler.membership import Member
from sumacloom.pooler.server_pools import Yard
from sumacloom.settings import Settings
from sumacloom.transport.messages import Hello, News, RegistrarBeat, frame
from sumacloom.transport.updates import Record, Sighting

from .test_voters import Land

BEAT_S = 0.35


class Pipe:
    """One direction of a link: counts what goes in and hands it over."""

    def __init__(self, fleet, hear):
        self.fleet, self.hear, self.digest, self.peer, self.parent = fleet, hear, None, None, ""
        self.shared_at, self.leaving, self.report, self.outlet = 0.0, False, None, self
        self.stamps = Stamps()

    def flush(self):
        return True

    def send(self, message):
        self.fleet.messages += 1
        self.fleet.bytes += len(frame(message))
        self.hear(message)


class Counter:
    """A member of the fleet, its session and its parent played by pipes."""

    def __init__(self, fleet, number, shell):
        self.fleet, self.address = fleet, f"10.0.1.{number}:7441"
        settings = Settings(
            f"edge-{number:03d}", "counter", f"10.0.1.{number}", "a", seeds=["10.0.0.1:80"]
        )
        self.yard = Yard(settings)
        self.yard.sightings = lambda _since, _now: fleet.sightings if number % 10 == 0 else []
        self.member = Member(settings, lambda: fleet.now, None, self.yard, [], dict)
        self.down = Pipe(fleet, self.hear)
        self.down.peer = Hello(settings.node, "counter", "a", self.address, settings.ip)
        self.member.session = Pipe(
            fleet, lambda message: shell.hear_counter(self.down, message, fleet.now)
        )
        self.parent = None

    def hear(self, message):
        if isinstance(message, News):
            if self.member.board.take(message):
                self.member.feed_children()
        elif isinstance(message, RegistrarBeat):
            if message.parent != self.member.parent_address:
                self.member.parent_address = message.parent
                pipe = Pipe(self.fleet, self.hear)
                pipe.digest = self.member.board.digest()
                self.fleet.by_address[message.parent].member.children.append(pipe)
            self.member.check_behind(self.member.session, message.digest)


class Fleet:
    """Five registrars, some backends, and as many counters as wanted."""

    def __init__(self, size):
        self.land = Land(1, seeds=3, others=2, loss=0.0, nodes=2)
        self.land.run(4.0)
        self.messages = self.bytes = 0
        self.sightings = [Sighting(f"i-{number}", 1, 7, 40) for number in range(30)]
        self.shells = [self.shell(one) for one in self.land.offices.values()]
        records = {
            f"i-{number}": Record(f"i-{number}", "svc", f"10.0.2.{number}:80", "a")
            for number in range(45)
        }
        for shell in self.shells:
            shell.office.board.records.update(records)
            shell.office.board.forget(())
        self.counters = [Counter(self, number, self.shells[number % 5]) for number in range(size)]
        self.by_address = {counter.address: counter for counter in self.counters}
        self.run(4.0)

    @property
    def now(self):
        return self.land.now

    @staticmethod
    def shell(office):
        shell = Shell.__new__(Shell)
        shell.office, shell.settings, shell.counters, shell.port = office, office.settings, {}, 7440
        return shell

    def run(self, seconds):
        """Gives messages and bytes per counter."""
        self.messages = self.bytes = 0
        for _beat in range(round(seconds / BEAT_S)):
            self.land.run(BEAT_S)
            for shell in self.shells:
                shell.pass_news()
            for counter in self.counters:
                counter.member.feed_children()
                counter.member.beat()
        return self.messages / len(self.counters), self.bytes / len(self.counters)


def body(ver):
    return msgspec.json.encode(
        {
            "ver": ver,
            "svcs": [{"name": "svc"}],
            "routes": [
                {
                    "name": f"r{n}",
                    "host": f"h{n * 7919 % 104729}",
                    "svc": "svc",
                    "tmoMs": 1000 + (n == ver),
                }
                for n in range(1500)
            ],
        }
    )


def change(fleet, ver):
    """One change of the blueprint, and what it cost per counter beyond the beats; sightings rest meanwhile.

    One batch of sightings more in the second window than in the first weighed 390 bytes, more than the change itself.
    """
    sightings, fleet.sightings = fleet.sightings, []
    fleet.run(1.4)
    quiet = fleet.run(2.1)
    for shell in fleet.shells:
        shell.office.board.take(News(pack_blueprint(body(ver)), 0, None, None))
    cost = fleet.run(2.1)
    fleet.sightings = sightings
    assert {counter.member.board.digest().blueprint for counter in fleet.counters} == {ver}
    return cost[0] - quiet[0], cost[1] - quiet[1]


@pytest.fixture(scope="module")
def fleets():
    return {size: Fleet(size) for size in (25, 100)}


def test_a_quiet_minute_costs_a_counter_no_more_in_a_larger_fleet(fleets):
    small, large = (fleets[size].run(60.0) for size in (25, 100))
    assert large[0] <= small[0] * 1.1 and large[1] <= small[1] * 1.2
    assert large[1] / 60 < 4000  # bytes a second: a narrow link bears it


def test_who_is_a_member_is_looked_up_no_more_often_in_a_larger_fleet(fleets, monkeypatch):
    """Found by docs/CAPACITY.md: all members were looked at for each beat of each, and the registrars' time grew fourfold."""
    looked, rows = {25: 0, 100: 0}, Members.rows
    for size, fleet in fleets.items():

        def counted(members, now, size=size):
            looked[size] += 1
            return rows(members, now)

        monkeypatch.setattr(Members, "rows", counted)
        fleet.run(7.0)
    assert 0 < looked[100] <= looked[25] * 1.1


def test_a_change_reaches_each_of_100_counters_about_once_and_later_ones_as_differences(fleets):
    first = {size: change(fleet, 5) for size, fleet in fleets.items()}
    later = {size: change(fleet, 9) for size, fleet in fleets.items()}
    whole = len(pack_blueprint(body(5)))
    assert first[100][1] < 1.3 * whole and first[100][0] < 4
    assert later[100][1] < whole / 20
    assert first[100][1] <= first[25][1] * 1.2 and later[100][1] <= later[25][1] * 1.2 + 500
