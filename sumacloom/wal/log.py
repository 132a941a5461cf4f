"""A log in segments with snapshots beside it; what `append` returned from is on disk, or the ledger says `damaged`."""

import os

from sumacloom.errors import Mishap, mishap
from sumacloom.logs import Scribe
from sumacloom.wal.framing import Scan, group, pack, scan  # noqa: F401  (pack: the first version's records)

scribe = Scribe("ledger")
SEGMENT_BYTES = 2 << 20
MOST_SEGMENTS = 4  # so many full segments without a snapshot, and there must be one first
SNAPSHOTS = ("capture-", "snapshot-")  # what they were once called, and are now


def write_all(file: int, data: bytes) -> None:
    """Writes every byte, however many calls that takes.

    >>> write_all(os.open(os.devnull, os.O_WRONLY), b"abc")
    """
    view = memoryview(data)
    while view:
        view = view[os.write(file, view) :]


class Ledger:
    """Opened on a folder; `payloads` holds what it found, oldest first, and `damaged` says if some is lost.

    Opening destroys nothing: a torn tail is cut by the next append, old files go with the next snapshot. A damaged
    ledger takes appends in a segment of its own and stays damaged, however often it is opened, until a snapshot.

    >>> import tempfile; folder = tempfile.mkdtemp()
    >>> ledger = Ledger(folder); ledger.append([b"one"]); ledger.close()
    >>> Ledger(folder).payloads
    [b'one']
    """

    def __init__(self, folder: str, segment_bytes: int = SEGMENT_BYTES):
        self.folder, self.segment_bytes = folder, segment_bytes
        os.makedirs(folder, exist_ok=True)
        names = os.listdir(folder)
        snapshots = {
            number: f"{prefix}{number}"
            for prefix in SNAPSHOTS
            for number in self.numbers(names, prefix)
        }
        segments = sorted(self.numbers(names, "log-"))
        self.payloads, start, rotten = [], 0, []
        for number in sorted(snapshots, reverse=True):
            found = self.load(snapshots[number], number)
            if found.payloads and found.filled == found.size:
                self.payloads, start = found.payloads, number
                break
            rotten.append(number)
        row = [number for number in segments if number >= start]
        scans = [self.load(f"log-{number}", number) for number in row]
        self.payloads += [payload for found in scans for payload in found.payloads]
        self.damaged: Mishap | None = self.judge(start, rotten, row, scans)
        self.fresh = not self.damaged and not snapshots and not any(found.size for found in scans)
        self.number = row[-1] if row else 1
        self.size, self.doubtful = (
            (scans[-1].filled, scans[-1].filled < scans[-1].size) if row else (0, False)
        )
        if self.damaged:
            scribe.warn("%s (code %d)", self.damaged.sentence, self.damaged.code)
            self.number, self.size, self.doubtful = max([*segments, *snapshots]) + 1, 0, False
        elif self.doubtful:
            scribe.warn(
                "a torn tail of %d bytes of log-%d is cut off",
                scans[-1].size - self.size,
                self.number,
            )
        self.unkept = sum(
            found.filled for found in scans
        )  # bytes in segments since the last snapshot
        self.file = self.open_segment()
        os.fsync(self.file)  # what a killed process had not synced is acted on
        self.sync_folder()

    @staticmethod
    def judge(start: int, rotten: list[int], row: list[int], scans: list[Scan]) -> Mishap | None:
        """What is wrong with the files found: the last readable snapshot, unreadable ones above, segments from there.

        >>> Ledger.judge(2, [], [2, 3], [Scan([], 0, 0, False), Scan([], 0, 9, False)])
        >>> Ledger.judge(2, [], [3], [Scan([], 0, 0, False)]).name
        'ledger_damaged'
        """
        first = start or 1
        if not (start or rotten or row):
            return None
        if not start and row[:1] == [1] and not rotten and scans[0].foreign:
            return mishap("ledger_foreign", "log-1 begins with what no registrar writes")
        wrong = [
            f"log-{number} is damaged before its synced end"
            for number, found in zip(row, scans)
            if found.damaged or (found.filled < found.size and number != row[-1])
        ]
        if (
            row != list(range(first, first + len(row)))
            or not row
            or row[-1] < max(rotten, default=0)
        ):
            wrong.append(f"the log does not go from {first} on without a gap")
        return mishap("ledger_damaged", f"memory is lost: {', '.join(wrong)}") if wrong else None

    @staticmethod
    def numbers(names: list[str], prefix: str) -> list[int]:
        """The numbers of the files with that prefix.

        >>> Ledger.numbers(["log-3", "log-x", "capture-1"], "log-")
        [3]
        """
        return [
            int(name[len(prefix) :])
            for name in names
            if name.startswith(prefix) and name[len(prefix) :].isdigit()
        ]

    def path(self, name: str) -> str:
        """A file of this ledger."""
        return os.path.join(self.folder, name)

    def load(self, name: str, number: int) -> Scan:
        """What a file of this ledger holds."""
        with open(self.path(name), "rb") as file:
            return scan(file.read(), number)

    def open_segment(self) -> int:
        """The file of the current segment, made if it isn't there."""
        return os.open(self.path(f"log-{self.number}"), os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o644)

    def sync_folder(self) -> None:
        """Makes names in the folder last."""
        folder = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def append(self, payloads: list[bytes]) -> None:
        """Writes records and syncs; only then does it return. After an OSError the same call may be made again."""
        data = group(self.number, self.size, payloads)
        if self.doubtful:  # an earlier try failed midway: what it left is no record
            os.ftruncate(self.file, self.size)
        self.doubtful = True
        write_all(self.file, data)
        os.fdatasync(self.file)
        self.doubtful = False
        self.size += len(data)
        self.unkept += len(data)

    @property
    def full(self) -> bool:
        """Whether it is time for a snapshot; never while memory is lost, until all is learned anew."""
        return self.unkept >= self.segment_bytes and not self.damaged

    @property
    def crowded(self) -> bool:
        """Whether the log may not grow any more before a snapshot: what is left of the disk is for that."""
        return self.unkept >= MOST_SEGMENTS * self.segment_bytes and not self.damaged

    def snapshot(self, payloads: list[bytes]) -> None:
        """Writes the whole state beside the log, starts a new segment and removes the old files.

        The new segment is begun before the snapshot gets its name: whichever names outlive a loss of power, what is
        appended afterwards is read. After an OSError the ledger goes on, and the same call may be made again.

        >>> import tempfile; folder = tempfile.mkdtemp(); ledger = Ledger(folder)
        >>> ledger.append([b"one"]); ledger.snapshot([b"state"]); Ledger(folder).payloads
        [b'state']
        """
        if self.doubtful:  # no segment but the last may have a torn end
            os.ftruncate(self.file, self.size)
            os.fsync(self.file)
            self.doubtful = False
        self.write_draft(group(self.number + bool(self.size), 0, payloads))
        if self.size:
            self.begin_segment()
        os.fsync(self.file)  # its name lasts before the snapshot's does
        os.rename(self.path("draft"), self.path(f"snapshot-{self.number}"))
        self.sync_folder()
        self.damaged, self.unkept = None, self.size
        self.remove_old()

    def write_draft(self, data: bytes) -> None:
        """A synced file beside the others; one that did not fit is removed."""
        file = os.open(self.path("draft"), os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o644)
        try:
            write_all(file, data)
            os.fsync(file)
        except OSError:
            os.unlink(self.path("draft"))
            raise
        finally:
            os.close(file)

    def begin_segment(self) -> None:
        """The next segment; from here on all appends go there, and their sync makes its name last."""
        self.number += 1
        try:
            fresh = self.open_segment()
        except OSError:
            self.number -= 1
            raise
        os.close(self.file)
        self.file, self.size = fresh, 0

    def remove_old(self) -> None:
        """Removes what the newest snapshot stands for."""
        names = os.listdir(self.folder)
        for prefix in ("log-", *SNAPSHOTS):
            for number in self.numbers(names, prefix):
                if number < self.number or (prefix == "capture-" and number == self.number):
                    os.unlink(self.path(f"{prefix}{number}"))
        self.sync_folder()

    def close(self) -> None:
        """Closes the segment."""
        os.close(self.file)
