"""After hundreds of changes: full and refusing disks, and a member that was away catches up or learns anew."""

import os
import random

import msgspec
import pytest

from sumacloom.consensus.codec import decode
from sumacloom.controller.core import ControllerCore
from sumacloom.controller.registers.configuration import ConfigurationValue, put_configuration
from sumacloom.daemon import open_process
from sumacloom.errors import ForeignLogError
from sumacloom.settings import Settings
from sumacloom.wal import log
from sumacloom.wal.framing import MAGIC, encode_bare_record
from sumacloom.wal.log import WriteAheadLog

from .test_voters import ControllerCluster

pytestmark = pytest.mark.usefixtures("no_fsync")


# ---------------------------------------------------------------- lost memory, and what is not ours
SPOOLED = ("spooled", 7, "books", 1, "edge-1", "PUT a b", "", False)


def lone_controller(folder, nonce=1):
    settings = Settings(
        "core", "controller", "10.0.0.1", "a", seeds=["10.0.0.1:80"], bootstrap=True
    )
    return ControllerCore(settings, WriteAheadLog(str(folder)), random.Random(nonce), 0.0)


def damaged_folder(folder):
    one = lone_controller(folder)
    one.storage.write_records([SPOOLED])
    for number in range(3):
        one.propose(
            "blueprint", put_configuration(number + 1, b'{"ver": %d}' % (number + 1), number), 0.0
        )
    assert version(one) == 3
    one.storage.wal.close()
    data = bytearray((folder / "log-1").read_bytes())
    data[len(data) // 2] ^= 1  # behind the record that says who votes
    (folder / "log-1").write_bytes(data)
    return one


def test_lost_memory_is_not_voted_with_nor_bootstrapped_and_the_spool_stays(tmp_path):
    damaged_folder(tmp_path)
    for incarnation in (2, 3):  # ended before it had learned: the next one knows as well
        one = lone_controller(tmp_path, incarnation)
        assert (
            one.storage.wal.damage.code == 1007
            and not one.acceptor.recovered
            and not one.acceptor.registers
        )
        assert (
            one.propose("blueprint", put_configuration(9, b"{}", 3), 0.0).outcome.error.name
            == "rejoining"
        )
        assert one.delivery.records() == [SPOOLED]
        one.storage.write_records([("spent", 8, "books", incarnation)])
        one.storage.wal.close()


def test_after_learning_the_whole_memory_takes_the_place_of_the_damaged_one(tmp_path):
    old = damaged_folder(tmp_path)
    one = lone_controller(tmp_path, 2)
    one.storage.synchronous = False
    one.acceptor.quorum, one.acceptor.recovered, one.acceptor.incarnation = (
        old.acceptor.quorum,
        True,
        99,
    )
    one.storage.write_records([("spent", 8, "books", 1)])
    one.write_snapshot()
    one.storage.write_records([("spent", 8, "books", 2)])
    assert "log-1" in os.listdir(tmp_path)
    one.storage.sync(one.storage.pending_batches())
    assert sorted(os.listdir(tmp_path)) == ["log-2", "snapshot-2"] and not one.storage.wal.damage
    again = lone_controller(tmp_path, 3)
    assert (
        again.acceptor.recovered
        and again.acceptor.incarnation == 99
        and again.delivery.records() == [SPOOLED]
    )


STRANGE = [
    # what log-1 holds
    b"#!/bin/sh\necho somebody else's log\n",
    encode_bare_record(msgspec.msgpack.encode(["other", 1])),
    encode_bare_record(msgspec.msgpack.encode(["other", 1])) + b"torn",
]


@pytest.mark.parametrize("data", STRANGE)
def test_a_foreign_ledger_ends_the_start_with_a_number_and_stays_as_it_is(tmp_path, data):
    (tmp_path / "log-1").write_bytes(data)
    with pytest.raises(ForeignLogError) as raised:
        open_process(lambda _settings: lone_controller(tmp_path), None)
    found = raised.value
    assert (found.code, found.exit_code) == (1006, 3) and "\n" not in found.message
    assert (tmp_path / "log-1").read_bytes() == data


# ---------------------------------------------------------------- away through a storm
CHANGES, ROUTES = 2500, 60
BACK_S = 5.0  # simulated seconds within which who comes back holds all and votes
SEGMENT = 64 << 10


class FolderDisk:
    """A log of the real kind for `Land`, in a folder of its own."""

    def __init__(self, folder):
        self.folder = str(folder)

    def open(self):
        return WriteAheadLog(self.folder, SEGMENT)

    def files(self):
        return {
            name: os.path.getsize(os.path.join(self.folder, name))
            for name in os.listdir(self.folder)
        }


class StormyLand(ControllerCluster):
    """`Land` on real logs, snapshots taken when due; notes the most that each disk held."""

    def __init__(self, seed, folder):
        self.folder, self.most = folder, {}
        super().__init__(seed, loss=0.01)

    def start(self, ip, bootstrap=False):
        self.disks.setdefault(ip, FolderDisk(self.folder / ip))
        super().start(ip, bootstrap)

    def kill(self, ip, disk=True):
        self.cores[ip].storage.wal.close()
        super().kill(ip, disk)

    def step(self):
        super().step()
        for ip, one in self.cores.items():
            files = self.disks[ip].files()
            most = self.most.get(ip, (0, 0))
            self.most[ip] = (max(most[0], sum(files.values())), max(most[1], len(files)))
            if one.storage.snapshot_due(self.now):
                one.storage.wal.snapshot(one.snapshot_records())


def body(ver, luck):
    """A configuration of some 6.6 KB of which each change alters a few numbers."""
    routes = [
        {
            "name": f"route-{number}",
            "host": f"host-{number}.example",
            "pfx": f"/records/{number}",
            "kind": "stale_ok",
            "tmoMs": 2000 + (ver * luck.randrange(1, 9) if luck.random() < 0.05 else 0),
            "svc": f"svc-{number % 9}",
        }
        for number in range(ROUTES)
    ]
    return msgspec.json.encode({"ver": ver, "routes": routes})


def storm(cluster, first, changes):
    """That many configurations one after another, proposed by whoever is there; gives the last."""
    base = first - 1
    for ver in range(first, first + changes):
        at, raw = cluster.random.choice(list(cluster.cores)), body(ver, cluster.random)
        proposal = cluster.cores[at].propose(
            "blueprint", put_configuration(ver, raw, base), cluster.now
        )
        for _step in range(500):
            if proposal.outcome is not None:
                if proposal.outcome.succeeded:
                    break
                proposal = cluster.cores[at].propose(
                    "blueprint", put_configuration(ver, raw, base), cluster.now
                )
            cluster.step()
        assert proposal.outcome.succeeded
        base = ver
    return base


def version(one):
    return (
        decode(ConfigurationValue, one.committed["blueprint"][1]).ver
        if "blueprint" in one.committed
        else 0
    )


def spoil_log(folder):
    """One bit amid the newest segment; in the snapshot, if the segment has too little for that."""
    newest = max(int(name.split("-")[1]) for name in os.listdir(folder))
    name = (
        f"log-{newest}"
        if (folder / f"log-{newest}").read_bytes().count(MAGIC) > 2
        else f"snapshot-{newest}"
    )
    data = bytearray((folder / name).read_bytes())
    data[data.rindex(MAGIC) // 2] ^= (
        4  # behind the record that says who votes, before the last append
    )
    (folder / name).write_bytes(data)


@pytest.fixture(scope="module")
def after_storm(tmp_path_factory):
    """A folder for each of three members: one was killed after a few changes, two lived through them all."""
    patch = pytest.MonkeyPatch()
    patch.setattr(log.os, "fsync", lambda file: None)
    patch.setattr(log.os, "fdatasync", lambda file: None)
    cluster = StormyLand(1, tmp_path_factory.mktemp("storm"))
    cluster.run(3.0)
    storm(cluster, 1, 20)
    cluster.kill("10.0.0.3")
    last = storm(cluster, 21, CHANGES)
    yield cluster, last
    patch.undo()


def test_the_disk_stays_small_through_a_storm(after_storm):
    cluster, _last = after_storm
    for ip in ("10.0.0.1", "10.0.0.2"):
        size, count = cluster.most[ip]
        assert size < 4 * SEGMENT and count <= 4, cluster.most
        assert cluster.cores[ip].storage.wal.number > 5  # snapshots were taken


@pytest.mark.parametrize("disk", ["old", "empty", "damaged"])
def test_who_was_away_through_a_storm_catches_up_and_never_leads_with_old_state(after_storm, disk):
    cluster, _last = after_storm
    ip, others = "10.0.0.3", ("10.0.0.1", "10.0.0.2")
    if ip in cluster.cores:
        cluster.kill(ip)
    last = storm(cluster, max(map(version, cluster.cores.values())) + 1, 20)
    incarnation = None
    if disk == "empty":
        for name in os.listdir(cluster.folder / ip):
            os.unlink(cluster.folder / ip / name)
    elif disk == "damaged":
        incarnation = ControllerCore(
            cluster.cores[others[0]].settings, cluster.disks[ip].open(), random.Random(3), 0.0
        ).acceptor.incarnation
        spoil_log(cluster.folder / ip)
    cluster.start(ip)
    one, started = cluster.cores[ip], cluster.now
    assert bool(one.storage.wal.damage) == (disk == "damaged")
    assert one.acceptor.recovered == (disk == "old")
    while not (one.in_quorum(cluster.now) and one.is_voter and version(one) == last):
        if one.in_quorum(cluster.now):
            assert version(one) == last  # it does not count as ready with old state
        if not one.acceptor.recovered:
            refused = one.propose(
                "blueprint", put_configuration(last + 1, b"{}", last), cluster.now
            )
            assert refused.outcome.error.name == "rejoining"
        assert one.cache.digest().configuration in (0, last)  # nor serves any
        cluster.step()
        assert cluster.now - started < BACK_S
    assert one.acceptor.incarnation != incarnation
    cluster.run(1.0)
    assert not one.storage.wal.damage
    last = storm(cluster, last + 1, 3)
    cluster.run(1.0)
    assert {version(each) for each in cluster.cores.values()} == {last}
    assert not WriteAheadLog(str(cluster.folder / ip), SEGMENT).damage
