"""A write-ahead log in segments, with snapshots beside them.

What `append` returned from is on disk, or the log says `damage` when it is opened. Files in the folder:
`log-N` the segments, `snapshot-N` the state before segment N, `draft` a snapshot being written. Folders of
the first release call a snapshot `capture-N`; they are read, and replaced by the next snapshot.
"""

import logging
import os
from typing import NamedTuple

from sumacloom.errors import DamagedLogError, ForeignLogError, SumacloomError
from sumacloom.wal.framing import ScanResult, encode_group, scan

logger = logging.getLogger(__name__)

SEGMENT_BYTES = 2 << 20
MAX_SEGMENTS = 4  # so many full segments without a snapshot, and there must be one first
SEGMENT_PREFIX = "log-"
FIRST_RELEASE_PREFIX = "capture-"
SNAPSHOT_PREFIXES = (FIRST_RELEASE_PREFIX, "snapshot-")
DRAFT = "draft"
FILE_MODE = 0o644


class SnapshotChoice(NamedTuple):
    """The newest readable snapshot (number 0 if none), and the newer ones that can't be read."""

    number: int
    payloads: list[bytes]
    unreadable: list[int]


def write_all(file: int, data: bytes) -> None:
    """Writes every byte, however many calls that takes."""
    view = memoryview(data)
    while view:
        view = view[os.write(file, view) :]


def numbers(names: list[str], prefix: str) -> list[int]:
    """The numbers of the files with that prefix.

    >>> numbers(["log-3", "log-x", "snapshot-1"], "log-")
    [3]
    """
    suffixes = [name[len(prefix) :] for name in names if name.startswith(prefix)]
    return [int(suffix) for suffix in suffixes if suffix.isdigit()]


def find_damage(
    snapshot: int, unreadable: list[int], segments: list[int], scans: list[ScanResult]
) -> SumacloomError | None:
    """What is wrong with the files of a folder.

    >>> whole, empty = ScanResult([], 9, 9, False), ScanResult([], 0, 0, False)
    >>> find_damage(2, [], [2, 3], [empty, whole])
    >>> find_damage(2, [], [3], [empty]).name
    'ledger_damaged'

    Args:
        snapshot: the number of the newest readable snapshot, 0 if there is none.
        unreadable: the numbers of unreadable snapshots above it.
        segments: the numbers of the segments from that snapshot on.
        scans: what each of these segments holds.
    """
    if not (snapshot or unreadable or segments):
        return None
    if not snapshot and segments[:1] == [1] and not unreadable and scans[0].foreign:
        return ForeignLogError("log-1 begins with what no controller writes")
    problems = [
        f"log-{number} is damaged before its synced end"
        for number, found in zip(segments, scans, strict=True)
        if found.damaged or (found.has_torn_tail and number != segments[-1])
    ]
    first = snapshot or 1
    contiguous = segments == list(range(first, first + len(segments)))
    if not contiguous or not segments or segments[-1] < max(unreadable, default=0):
        problems.append(f"the log does not go from {first} on without a gap")
    if problems:
        return DamagedLogError(f"memory is lost: {', '.join(problems)}")
    return None


class WriteAheadLog:
    """The log in one folder.

    Opening destroys nothing: a torn tail is cut by the next append, old files go with the next snapshot.
    A damaged log takes appends in a segment of its own and stays damaged, however often it is opened,
    until a snapshot.

    Attributes:
        payloads: the records found, oldest first.
        damage: what is wrong with the files found; None if nothing is lost.
        fresh: whether the folder held no log.

    >>> import tempfile; folder = tempfile.mkdtemp()
    >>> wal = WriteAheadLog(folder); wal.append([b"one"]); wal.close()
    >>> WriteAheadLog(folder).payloads
    [b'one']
    """

    def __init__(self, folder: str, segment_bytes: int = SEGMENT_BYTES):
        self.folder = folder
        self.segment_bytes = segment_bytes
        os.makedirs(folder, exist_ok=True)
        names = os.listdir(folder)
        snapshots = {
            number: f"{prefix}{number}"
            for prefix in SNAPSHOT_PREFIXES
            for number in numbers(names, prefix)
        }
        all_segments = sorted(numbers(names, SEGMENT_PREFIX))
        chosen = self._choose_snapshot(snapshots)
        segments = [number for number in all_segments if number >= chosen.number]
        scans = [self._scan_file(f"{SEGMENT_PREFIX}{number}", number) for number in segments]
        self.payloads = [*chosen.payloads, *(item for found in scans for item in found.payloads)]
        self.damage = find_damage(chosen.number, chosen.unreadable, segments, scans)
        empty = not snapshots and not any(found.size for found in scans)
        self.fresh = not self.damage and empty
        self._choose_segment(segments, scans, [*all_segments, *snapshots])
        self.bytes_since_snapshot = sum(found.valid_bytes for found in scans)
        self._file = self._open_segment()
        os.fsync(self._file)  # what a killed process had written unsynced is acted on from here
        self._sync_folder()

    def _choose_snapshot(self, snapshots: dict[int, str]) -> SnapshotChoice:
        unreadable: list[int] = []
        for number in sorted(snapshots, reverse=True):
            found = self._scan_file(snapshots[number], number)
            if found.payloads and not found.has_torn_tail:
                return SnapshotChoice(number, found.payloads, unreadable)
            unreadable.append(number)
        return SnapshotChoice(0, [], unreadable)

    def _choose_segment(
        self, segments: list[int], scans: list[ScanResult], used_numbers: list[int]
    ) -> None:
        """Where appends go: behind the readable end of the last segment, or into one of their own."""
        self.number = segments[-1] if segments else 1
        self.size = scans[-1].valid_bytes if scans else 0
        self._torn = bool(scans) and scans[-1].has_torn_tail
        if self.damage:
            logger.warning("%s (code %d)", self.damage.message, self.damage.code)
            self.number, self.size, self._torn = max(used_numbers) + 1, 0, False
        elif self._torn:
            torn_bytes = scans[-1].size - self.size
            logger.warning("a torn tail of %d bytes of log-%d is cut off", torn_bytes, self.number)

    def path(self, name: str) -> str:
        """A file of this log."""
        return os.path.join(self.folder, name)

    def _scan_file(self, name: str, number: int) -> ScanResult:
        with open(self.path(name), "rb") as file:
            return scan(file.read(), number)

    def _open_segment(self) -> int:
        flags = os.O_RDWR | os.O_CREAT | os.O_APPEND
        return os.open(self.path(f"{SEGMENT_PREFIX}{self.number}"), flags, FILE_MODE)

    def _sync_folder(self) -> None:
        """Makes the names in the folder durable."""
        folder = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def append(self, payloads: list[bytes]) -> None:
        """Writes records and syncs; only then does it return.

        Raises:
            OSError: the disk refused; the same call may be made again.
        """
        data = encode_group(self.number, self.size, payloads)
        if self._torn:  # an earlier attempt failed midway: what it left is no record
            os.ftruncate(self._file, self.size)
        self._torn = True
        write_all(self._file, data)
        os.fdatasync(self._file)
        self._torn = False
        self.size += len(data)
        self.bytes_since_snapshot += len(data)

    @property
    def should_snapshot(self) -> bool:
        """Whether it is time for a snapshot; never while state is lost, until all is recovered."""
        return self.bytes_since_snapshot >= self.segment_bytes and not self.damage

    @property
    def must_snapshot(self) -> bool:
        """Whether the log may not grow before a snapshot: what is left of the disk is for that."""
        limit = MAX_SEGMENTS * self.segment_bytes
        return self.bytes_since_snapshot >= limit and not self.damage

    def snapshot(self, payloads: list[bytes]) -> None:
        """Writes all state beside the log, starts a new segment and removes the old files.

        The new segment is begun before the snapshot gets its name: whichever names outlive a loss of power,
        what is appended afterwards is read.

        Raises:
            OSError: the disk refused; the log goes on, and the same call may be made again.

        >>> import tempfile; folder = tempfile.mkdtemp(); wal = WriteAheadLog(folder)
        >>> wal.append([b"one"]); wal.snapshot([b"state"]); WriteAheadLog(folder).payloads
        [b'state']
        """
        if self._torn:  # no segment but the last may have a torn end
            os.ftruncate(self._file, self.size)
            os.fsync(self._file)
            self._torn = False
        number = self.number + bool(self.size)
        self.write_draft(encode_group(number, 0, payloads))
        if self.size:
            self._begin_segment()
        os.fsync(self._file)  # its name must be durable before the snapshot's is
        os.rename(self.path(DRAFT), self.path(f"snapshot-{self.number}"))
        self._sync_folder()
        self.damage = None
        self.bytes_since_snapshot = self.size
        self._remove_old()

    def write_draft(self, data: bytes) -> None:
        """Writes and syncs a file beside the others; one that did not fit is removed."""
        file = os.open(self.path(DRAFT), os.O_RDWR | os.O_CREAT | os.O_TRUNC, FILE_MODE)
        try:
            write_all(file, data)
            os.fsync(file)
        except OSError:
            os.unlink(self.path(DRAFT))
            raise
        finally:
            os.close(file)

    def _begin_segment(self) -> None:
        """Opens the next segment; all appends go there, and their sync makes its name durable."""
        self.number += 1
        try:
            fresh = self._open_segment()
        except OSError:
            self.number -= 1
            raise
        os.close(self._file)
        self._file, self.size = fresh, 0

    def _remove_old(self) -> None:
        """Removes what the newest snapshot stands for."""
        names = os.listdir(self.folder)
        for prefix in (SEGMENT_PREFIX, *SNAPSHOT_PREFIXES):
            for number in numbers(names, prefix):
                superseded = prefix == FIRST_RELEASE_PREFIX and number == self.number
                if number < self.number or superseded:
                    os.unlink(self.path(f"{prefix}{number}"))
        self._sync_folder()

    def close(self) -> None:
        """Closes the segment."""
        os.close(self._file)
