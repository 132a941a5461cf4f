"""The log: old folders, damage told from a torn end, and every point at which it may be cut short."""

import copy
import os

import pytest

from sumacloom.wal import log
from sumacloom.wal.framing import encode_bare_record
from sumacloom.wal.log import WriteAheadLog

from .crashes import MemoryDisk


def write(folder, name, data):
    with open(os.path.join(folder, name), "wb") as file:
        file.write(data)


def read(folder, name):
    with open(os.path.join(folder, name), "rb") as file:
        return file.read()


def files(folder):
    return {name: read(folder, name) for name in os.listdir(folder)}


def filled(folder, appends=5, snapshot_after=None):
    """A folder with that many appends of two records each, perhaps with a snapshot between."""
    wal = WriteAheadLog(str(folder))
    for number in range(appends):
        wal.append([b"first of %d" % number, b"second of %d" % number])
        if number == snapshot_after:
            wal.snapshot([b"state to %d" % number])
    wal.close()
    return str(folder)


# ---------------------------------------------------------------- folders of the first version
def test_a_folder_with_captures_still_opens_and_its_next_one_is_a_snapshot(tmp_path):
    folder = str(tmp_path)
    write(folder, "capture-3", encode_bare_record(b"state"))
    write(folder, "log-3", encode_bare_record(b"one") + encode_bare_record(b"two"))
    wal = WriteAheadLog(folder)
    assert wal.payloads == [b"state", b"one", b"two"] and not wal.damage
    wal.append([b"three"])
    wal.close()
    again = WriteAheadLog(folder)  # records of both versions in one segment
    assert again.payloads == [b"state", b"one", b"two", b"three"] and not again.damage
    again.snapshot([b"new state"])
    again.close()
    assert sorted(os.listdir(folder)) == ["log-4", "snapshot-4"]
    assert WriteAheadLog(folder).payloads == [b"new state"]


OLD = [encode_bare_record(b"record %d" % number) for number in range(4)]
OLD_LOGS = [
    # (log-1, what is read, damaged)
    (b"".join(OLD), 4, False),
    (b"".join(OLD)[:-1], 3, False),
    (b"".join(OLD[:3]) + bytes(40), 3, False),  # a hole at the end is no record
    (OLD[0] + OLD[1][:-1] + b"?" + OLD[2] + OLD[3], 4, True),  # whole records behind the damage
    (OLD[0] + b"\xff" + OLD[1][1:] + OLD[2], 3, True),  # the same, its length unreadable
    (bytes(len(OLD[0])) + OLD[1], 2, True),
]


@pytest.mark.parametrize(("data", "most", "damage"), OLD_LOGS)
def test_a_log_of_the_first_version_with_whole_records_behind_damage_is_lost_memory(
    tmp_path, data, most, damage
):
    write(str(tmp_path), "log-1", data)
    wal = WriteAheadLog(str(tmp_path))
    assert bool(wal.damage) == damage and len(wal.payloads) <= most
    assert damage or len(wal.payloads) == most


# ---------------------------------------------------------------- damage
def test_any_flipped_byte_before_the_last_append_is_seen(tmp_path):
    folder = filled(tmp_path)
    complete = read(folder, "log-1")
    wal = WriteAheadLog(folder)
    before = wal.size
    wal.append([b"the last"])
    wal.close()
    data, expected = read(folder, "log-1"), WriteAheadLog(folder).payloads
    assert len(expected) == 11 and len(complete) == before
    for at in range(before):
        write(folder, "log-1", data[:at] + bytes([data[at] ^ 0x10]) + data[at + 1 :])
        found = WriteAheadLog(folder)
        found.close()
        assert found.damage and found.damage.code == 1007, at
        for name in set(os.listdir(folder)) - {"log-1"}:
            os.unlink(os.path.join(folder, name))


def test_a_torn_last_append_still_tells_that_all_before_it_was_synced(tmp_path):
    folder = filled(tmp_path, appends=2)
    data = read(folder, "log-1")
    write(folder, "log-1", data[:-1])
    assert not WriteAheadLog(folder).damage
    write(folder, "log-1", data[:50] + b"?" + data[51:-1])
    assert WriteAheadLog(folder).damage


def test_a_hole_in_the_last_append_is_a_torn_end(tmp_path):
    folder = filled(tmp_path)
    start = len(read(folder, "log-1"))
    wal = WriteAheadLog(folder)
    wal.append([b"record %d" % number for number in range(6)])
    wal.close()
    data = read(folder, "log-1")
    for at in range(start, len(data)):
        for size in (1, 8, 40):
            hole = bytes(min(size, len(data) - at))
            write(folder, "log-1", data[:at] + hole + data[at + len(hole) :])
            found = WriteAheadLog(folder)
            found.close()
            assert not found.damage and len(found.payloads) in (10, 16)
            assert len(found.payloads) == 10 or hole == data[at : at + len(hole)]


def missing(name):
    return lambda folder: os.unlink(os.path.join(folder, name))


def spoiled(name, at=-1):
    def spoil(folder):
        data = bytearray(read(folder, name))
        data[at] ^= 1
        write(folder, name, bytes(data))

    return spoil


def three_segments(folder):
    """snapshot-2, log-2, log-3, log-4, as failed renames leave them."""
    filled(folder, appends=3, snapshot_after=1)
    for number in (3, 4):
        write(folder, f"log-{number}", encode_bare_record(b"of %d" % number))


LOSSES = [
    # (what is done to the folder, damaged)
    (lambda folder: None, False),
    (missing("log-2"), True),  # the snapshot's own segment
    (missing("log-3"), True),  # a gap in the row
    (missing("snapshot-2"), True),  # the log does not reach back
    (spoiled("snapshot-2"), True),
    (spoiled("log-2"), True),  # the end of a segment that is not the last
    (spoiled("log-3"), True),
    (spoiled("log-4"), False),  # the end of the last one: a torn tail
    (lambda folder: write(folder, "snapshot-9", b"rotten"), True),
    (
        lambda folder: write(folder, "snapshot-4", b"rotten"),
        False,
    ),  # the log reaches back behind it
]


@pytest.mark.parametrize("number", range(len(LOSSES)))
def test_what_is_missing_from_the_row_is_lost_memory_and_stays_so_until_a_snapshot(
    tmp_path, number
):
    spoil, damage = LOSSES[number]
    folder = str(tmp_path)
    three_segments(folder)
    spoil(folder)
    before = files(folder)
    wal = WriteAheadLog(folder)
    assert bool(wal.damage) == damage and not wal.fresh
    if not damage:
        return
    wal.append([b"of the spool"])
    wal.close()
    again = WriteAheadLog(folder, segment_bytes=1)
    assert again.damage and again.payloads[-1] == b"of the spool"
    assert {
        name: data for name, data in files(folder).items() if name in before
    } == before  # nothing destroyed
    assert not again.should_snapshot and not again.must_snapshot
    again.snapshot([b"learned"])
    again.append([b"after"])
    again.close()
    healed = WriteAheadLog(folder)
    assert healed.payloads == [b"learned", b"after"] and not healed.damage
    assert len(os.listdir(folder)) == 2


def test_records_behind_the_damage_are_read_for_the_spool(tmp_path):
    folder = filled(tmp_path)
    spoiled("log-1", 60)(folder)
    wal = WriteAheadLog(folder)
    assert wal.damage and wal.payloads[-1] == b"second of 4" and len(wal.payloads) == 8


FOREIGN = [b"#!/bin/sh\necho somebody else's log\n", b"2024-01-01 a line of another program\n"]


@pytest.mark.parametrize("data", FOREIGN)
def test_a_file_of_another_program_is_left_as_it_is(tmp_path, data):
    write(str(tmp_path), "log-1", data)
    wal = WriteAheadLog(str(tmp_path))
    assert wal.damage.name == "ledger_foreign" and read(str(tmp_path), "log-1") == data


def test_a_group_that_is_told_of_inside_a_torn_append_proves_nothing(tmp_path):
    """A payload may hold the bytes of another group; only one at its own place says that all before it was synced."""
    folder = filled(tmp_path, appends=2)
    inner = read(folder, "log-1")
    wal = WriteAheadLog(folder)
    wal.append([b"before", inner, b"behind"])
    wal.close()
    write(folder, "log-1", read(folder, "log-1")[:-3])
    found = WriteAheadLog(folder)
    assert not found.damage and len(found.payloads) == 4


# ---------------------------------------------------------------- losses of power
@pytest.fixture
def disk_of(monkeypatch):
    def use(disk):
        monkeypatch.setattr(log, "os", disk)
        monkeypatch.setattr(log, "open", disk.read_file, raising=False)
        return disk

    return use


def play(record, wal, first=0, most=9):
    """Appends numbers, snapshots each third time; tries again what was refused."""
    for number in range(first, first + most):
        for attempt in range(3):
            try:
                wal.append([b"%d" % number, b"%d again" % number])
                break
            except OSError:
                assert attempt < 2
        record.append(number)
        if number % 3 == 2:
            for attempt in range(3):
                try:
                    wal.snapshot([b"0-%d" % number])
                    break
                except OSError:
                    assert attempt < 2


def numbers(payloads):
    """The numbers that payloads hold, snapshots unfolded."""
    held = set()
    for payload in payloads:
        if b"-" in payload:
            held |= set(range(int(payload.split(b"-")[1]) + 1))
        elif b"again" not in payload:
            held.add(int(payload))
    return held


def check_images(disk_of, disk, acked, tried, seen):
    """Opens what a loss of power may leave: all that was acknowledged is there, no damage, and it goes on well."""
    for image in disk.images():
        key = (frozenset(image.items()), acked)
        if key in seen:
            continue
        seen.add(key)
        left = disk_of(MemoryDisk(image))
        wal = WriteAheadLog("disk")
        held = numbers(wal.payloads)
        assert not wal.damage, (image, wal.damage)
        assert set(range(acked)) <= held <= set(range(tried)), (acked, held, image)
        wal.append([b"%d" % 77])
        again = [
            numbers(WriteAheadLog("disk").payloads)
            for later in list(left.images())[:1]
            if disk_of(MemoryDisk(later))
        ]
        assert all(held | {77} <= found for found in again)


def test_a_snapshot_after_a_refused_append_leaves_no_torn_end_behind(disk_of):
    images = []

    def watch(disk):
        images.extend(disk.images())

    disk = disk_of(MemoryDisk())
    wal = WriteAheadLog("disk")
    wal.append([b"1"])
    disk.fail_at = disk.steps + 1
    with pytest.raises(OSError, match="refused"):
        wal.append([b"2", b"2 again"])
    disk.watch = watch
    wal.snapshot([b"0-2"])
    for image in images:
        disk_of(MemoryDisk(image))
        again = WriteAheadLog("disk")
        assert not again.damage and 1 in numbers(again.payloads)
    assert len(images) > 5


def test_what_was_read_after_a_kill_is_there_after_a_loss_of_power(disk_of):
    """A killed process leaves what it wrote and did not sync; whoever reads it may act on it at once."""
    seen, copies = [], []

    def watch(disk):
        copies.append(copy.deepcopy(disk))

    disk_of(MemoryDisk(watch=watch))
    play([], WriteAheadLog("disk"), most=6)
    for left in copies:
        left.watch = None
        disk_of(left)
        held = numbers(WriteAheadLog("disk").payloads)
        for image in left.images():
            disk_of(MemoryDisk(image))
            again = WriteAheadLog("disk")
            assert held <= numbers(again.payloads) and not again.damage
            seen.append(held)
    assert len(seen) > 20


def crash_everywhere(disk_of, fail_at=None, most=9):
    """Plays the log's work on a disk in memory, and loses power at every step of it."""
    seen, acked, failed = set(), [], []

    def watch(disk):
        check_images(disk_of, disk, len(acked), len(acked) + 1, seen)
        disk_of(disk)

    disk = disk_of(MemoryDisk(watch=watch, fail_at=fail_at))
    try:
        wal = WriteAheadLog("disk")
    except OSError:  # refused while it was opened: tried again, as the daemon does
        failed.append(fail_at)
        wal = WriteAheadLog("disk")
    play(acked, wal, most=most)
    watch(disk)
    return disk, wal, seen


def test_what_append_returned_from_is_there_after_a_loss_of_power_at_any_step(disk_of):
    disk, _ledger, seen = crash_everywhere(disk_of)
    assert len(seen) > 40 and sorted(disk.names) == ["log-4", "snapshot-4"]


@pytest.mark.parametrize("fail_at", range(1, 35))
def test_the_same_with_any_one_step_refused(disk_of, fail_at):
    disk, _ledger, _seen = crash_everywhere(disk_of, fail_at, most=6)
    assert disk.steps >= fail_at, "no such step: shorten the table"
    assert len(disk.names) <= 4


@pytest.mark.parametrize("fail_at", range(15))
def test_lost_memory_stays_known_until_the_snapshot_that_follows_learning(
    disk_of, tmp_path, fail_at
):
    """Power is lost at every step from the opening to the healing, with any one step refused: never silently less."""
    folder = str(tmp_path)
    three_segments(folder)
    spoiled("log-3")(folder)
    found = []

    def watch(disk):
        for image in disk.images():
            disk_of(MemoryDisk(image))
            again = WriteAheadLog("disk")
            assert again.damage or again.payloads[0] == b"learned"
            assert "log-2" in image or again.payloads[0] == b"learned"
            found.append(bool(again.damage))
        disk_of(disk)

    disk = disk_of(MemoryDisk(files(folder), watch=watch, fail_at=fail_at))
    tasks = [
        lambda: opened.append(WriteAheadLog("disk")),
        lambda: opened[0].append([b"of the spool"]),
        lambda: opened[0].snapshot([b"learned"]),
        lambda: opened[0].append([b"after"]),
    ]
    opened = []
    for task in tasks:
        try:
            task()
        except OSError:
            task()
    watch(disk)
    assert disk.steps >= fail_at and set(found) == {True, False} and not found[-1]
