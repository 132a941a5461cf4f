"""A disk that is full or refuses: replies, snapshots, and the bound of the log."""

import errno
import itertools
import os
import random

import curio
import pytest

from sumacloom.controller import disk_writer
from sumacloom.controller.core import ControllerCore
from sumacloom.controller.disk_writer import DiskWriter
from sumacloom.controller.process import ControllerProcess
from sumacloom.settings import Settings
from sumacloom.wal import log
from sumacloom.wal.log import WriteAheadLog

pytestmark = pytest.mark.usefixtures("no_fsync")


class FullDisk(WriteAheadLog):
    """A log on a disk of so many bytes; `refusals` counts what did not fit."""

    room, refusals, drafts, appended, most = 1 << 30, 0, 0, 0, 0

    def used(self):
        return sum(os.path.getsize(self.path(name)) for name in os.listdir(self.folder))

    def check(self, payloads):
        self.most = max(self.most, self.used())
        if self.used() + sum(map(len, payloads)) > self.room:
            self.refuse()

    def refuse(self, *_anything):
        self.refusals += 1
        raise OSError(errno.ENOSPC, "no space left")

    def append(self, payloads):
        self.check(payloads)
        super().append(payloads)
        self.appended += len(payloads)

    def write_draft(self, data):
        self.drafts += 1
        self.check([data])
        super().write_draft(data)


class Clock:
    now = 0.0


def small_process(folder, monkeypatch, segment_bytes=2000):
    """A controller's process without sockets, its log on a disk with bounds, its clock ours."""
    settings = Settings(
        "core", "controller", "10.0.0.1", "a", seeds=["10.0.0.1:80"], bootstrap=True
    )
    one = object.__new__(ControllerProcess)
    one.core = ControllerCore(settings, FullDisk(str(folder), segment_bytes), random.Random(1), 0.0)
    one.core.storage.synchronous, one.disk_writer = False, DiskWriter(one)
    one.settings, clock, one.sent = settings, Clock(), []
    one.now = lambda: clock.now

    async def flush():
        one.sent += [message for _peer, message in one.core.outbox]
        one.core.outbox = []

    async def sleep(seconds):
        clock.now += seconds
        if clock.now > 200:
            raise RuntimeError("the disk was never well again")

    one.flush = flush
    monkeypatch.setattr(disk_writer.curio, "sleep", sleep)
    return one, clock


def put(one, number, size=300):
    one.core.storage.write_records([("spent", number, "x" * size, number)])
    one.core.storage.defer("10.0.0.9", f"reply {number}")


def test_what_was_synced_is_released_once_though_the_snapshot_is_refused(tmp_path, monkeypatch):
    one, clock = small_process(tmp_path, monkeypatch)
    wal = one.core.storage.wal
    wal.write_draft = wal.refuse  # no room for a snapshot
    before = wal.appended
    for number in range(8):
        put(one, number)
        curio.run(one.disk_writer.run)
    assert one.sent == [f"reply {number}" for number in range(8)] and wal.appended - before == 8
    assert wal.refusals == 1 and not one.core.storage.batches and clock.now == 0.0


def test_a_refused_snapshot_is_tried_again_after_growing_pauses_and_the_log_is_bounded(
    tmp_path, monkeypatch
):
    one, clock = small_process(tmp_path, monkeypatch, segment_bytes=4000)
    wal = one.core.storage.wal
    wal.room = 30000
    tries, ill = [], []
    original = wal.write_draft

    def write_draft(data):
        tries.append(clock.now)
        ill.append(one.disk_writer.failing)
        if clock.now < 100:
            wal.refuse()
        original(data)

    wal.write_draft = write_draft
    for number in range(600):
        clock.now += 0.25
        put(one, number)
        curio.run(one.disk_writer.run)
    pauses = [later - earlier for earlier, later in itertools.pairwise(tries)][:3]
    assert (
        all(later >= 1.5 * earlier for earlier, later in itertools.pairwise(pauses))
        and pauses[0] >= 1
    )
    assert wal.most <= 4 * 4000 + 8000
    assert one.sent == [f"reply {number}" for number in range(600)]
    assert (
        not any(ill[:3]) and any(ill) and not one.disk_writer.failing
    )  # the status tells it once no vote leaves
    again = WriteAheadLog(str(tmp_path), 4000)
    assert not again.damage and not again.must_snapshot


def test_a_full_disk_gives_no_wrong_reply_and_leaves_no_draft(tmp_path, monkeypatch):
    one, clock = small_process(tmp_path, monkeypatch, segment_bytes=1 << 20)
    wal = one.core.storage.wal
    wal.room = wal.used() + 1000
    for number in range(2):
        put(one, number)
    curio.run(one.disk_writer.run)
    assert one.sent == ["reply 0", "reply 1"]
    put(one, 2, size=2000)
    with pytest.raises(RuntimeError):
        curio.run(one.disk_writer.run)
    assert (
        one.sent == ["reply 0", "reply 1"] and one.core.storage.batches and one.disk_writer.failing
    )
    wal.room, clock.now = 1 << 30, 0.0
    curio.run(one.disk_writer.run)
    assert one.sent[-1] == "reply 2" and not one.disk_writer.failing


def test_a_draft_that_does_not_fit_is_removed(tmp_path, monkeypatch):
    wal = WriteAheadLog(str(tmp_path))
    wal.append([b"one"])
    write = os.write

    def refuse(file, data):
        if len(data) > 1000:
            write(file, data[:500])
            raise OSError(errno.ENOSPC, "no space left")
        return write(file, data)

    monkeypatch.setattr(log.os, "write", refuse)
    with pytest.raises(OSError, match="no space left"):
        wal.snapshot([b"x" * 5000])
    assert os.listdir(tmp_path) == ["log-1"]
    wal.append([b"two"])
    assert WriteAheadLog(str(tmp_path)).payloads == [b"one", b"two"]


def test_a_storm_does_not_starve_the_snapshot(tmp_path, monkeypatch):
    """New writes come while each batch is synced, so that the disk is never idle."""
    one, _clock = small_process(tmp_path, monkeypatch)
    wal, reported = one.core.storage.wal, iter(range(200))
    original = wal.append

    def append(payloads):
        original(payloads)
        number = next(reported, None)
        if number is not None:
            put(one, number)

    wal.append = append
    put(one, 1000)
    curio.run(one.disk_writer.run)
    assert wal.drafts > 20 and wal.most < 8000 and len(one.sent) == 201


def test_one_who_has_not_learned_writes_no_whole_memory(tmp_path):
    """A snapshot while learning once held the record that says: all is here."""
    settings = Settings(
        "core", "controller", "10.0.0.1", "a", seeds=["10.0.0.1:80"], bootstrap=False
    )
    one = ControllerCore(settings, WriteAheadLog(str(tmp_path), 500), random.Random(1), 0.0)
    assert not one.acceptor.recovered
    one.storage.write_records([("spent", 1, "x" * 600, 1)])
    one.snapshot_if_due()
    assert "snapshot-2" in os.listdir(tmp_path)
    assert not ControllerCore(
        settings, WriteAheadLog(str(tmp_path)), random.Random(2), 0.0
    ).acceptor.recovered
