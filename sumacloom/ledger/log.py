"""A log in segments with snapshots beside it; what `append` returned from is on disk."""
import os
import zlib

from ..common.logs import Scribe

scribe = Scribe("ledger")
SEGMENT_BYTES = 2 << 20
SNAPSHOTS = ("capture-", "snapshot-")          # what they were once called, and are now
HEAD = 8


def pack(payload: bytes) -> bytes:
    """A record: length, checksum, payload.

    >>> len(pack(b"abc"))
    11
    """
    return len(payload).to_bytes(4, "big") + zlib.crc32(payload).to_bytes(4, "big") + payload


def unpack(data: bytes) -> tuple[list[bytes], int]:
    """The whole records at the start of the data, and how many bytes they fill.

    >>> unpack(pack(b"a") + pack(b"b")[:-1])
    ([b'a'], 9)
    """
    payloads, at = [], 0
    while len(data) - at >= HEAD:
        size = int.from_bytes(data[at:at + 4], "big")
        payload = data[at + HEAD:at + HEAD + size]
        if len(payload) < size or zlib.crc32(payload) != int.from_bytes(data[at + 4:at + HEAD], "big"):
            break
        payloads.append(payload)
        at += HEAD + size
    return payloads, at


def write_all(file: int, data: bytes) -> None:
    """Writes every byte, however many calls that takes.

    >>> write_all(os.open(os.devnull, os.O_WRONLY), b"abc")
    """
    view = memoryview(data)
    while view:
        view = view[os.write(file, view):]


class Ledger:
    """Opened on a folder; `payloads` holds what it found, oldest first.

    >>> import tempfile; folder = tempfile.mkdtemp()
    >>> ledger = Ledger(folder); ledger.append([b"one"]); ledger.close()
    >>> Ledger(folder).payloads
    [b'one']
    """

    def __init__(self, folder: str, segment_bytes: int = SEGMENT_BYTES):
        self.folder, self.segment_bytes = folder, segment_bytes
        os.makedirs(folder, exist_ok=True)
        names = os.listdir(folder)
        snapshots = {number: f"{prefix}{number}" for prefix in SNAPSHOTS for number in self.numbers(names, prefix)}
        segments = sorted(self.numbers(names, "log-"))
        self.payloads, start = [], 0
        self.fresh = not snapshots and not any(os.path.getsize(self.path(f"log-{number}")) for number in segments)
        self.doubtful = False
        for number in sorted(snapshots, reverse=True):
            payloads, filled, size = self.load(snapshots[number])
            if payloads and filled == size:
                self.payloads, start = payloads, number
                break
        live = [number for number in segments if number >= start]
        for number in live:
            payloads, filled, size = self.load(f"log-{number}")
            self.payloads += payloads
            if filled < size:
                scribe.warn("a torn tail of %d bytes was cut off log-%d", size - filled, number)
                self.cut(f"log-{number}", filled)
        self.number = live[-1] if live else max(start, 1)
        self.file = os.open(self.path(f"log-{self.number}"), os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o644)
        self.size = os.fstat(self.file).st_size
        os.fsync(self.file)
        self.sync_folder()
        for name in [f"log-{n}" for n in segments if n < start] + [snapshots[n] for n in snapshots if n < start]:
            os.unlink(self.path(name))

    @staticmethod
    def numbers(names: list[str], prefix: str) -> list[int]:
        """The numbers of the files with that prefix.

        >>> Ledger.numbers(["log-3", "log-x", "snapshot-1"], "log-")
        [3]
        """
        return [int(name[len(prefix):]) for name in names if name.startswith(prefix) and name[len(prefix):].isdigit()]

    def path(self, name: str) -> str:
        """A file of this ledger.

        >>> Ledger.path.__name__
        'path'
        """
        return os.path.join(self.folder, name)

    def load(self, name: str) -> tuple[list[bytes], int, int]:
        """The whole records of a file, the bytes they fill, and the file's size.

        >>> Ledger.load.__name__
        'load'
        """
        with open(self.path(name), "rb") as file:
            data = file.read()
        payloads, filled = unpack(data)
        return payloads, filled, len(data)

    def cut(self, name: str, size: int) -> None:
        """Cuts a torn tail off for good.

        >>> Ledger.cut.__name__
        'cut'
        """
        file = os.open(self.path(name), os.O_RDWR)
        try:
            os.ftruncate(file, size)
            os.fsync(file)
        finally:
            os.close(file)

    def sync_folder(self) -> None:
        """Makes names in the folder last.

        >>> Ledger.sync_folder.__name__
        'sync_folder'
        """
        folder = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def append(self, payloads: list[bytes]) -> None:
        """Writes records and syncs; only then does it return. After an OSError the same call may be made again.

        >>> Ledger.append.__name__
        'append'
        """
        data = b"".join(map(pack, payloads))
        if self.doubtful:                    # an earlier try failed midway: what it left is no record
            os.ftruncate(self.file, self.size)
        self.doubtful = True
        write_all(self.file, data)
        os.fdatasync(self.file)
        self.doubtful = False
        self.size += len(data)

    @property
    def full(self) -> bool:
        """Whether it is time for a snapshot.

        >>> Ledger.full.fget.__name__
        'full'
        """
        return self.size >= self.segment_bytes

    def snapshot(self, payloads: list[bytes]) -> None:
        """Writes the whole state beside the log, then starts a new segment and removes the old.

        >>> import tempfile; folder = tempfile.mkdtemp(); ledger = Ledger(folder)
        >>> ledger.append([b"one"]); ledger.snapshot([b"state"]); Ledger(folder).payloads
        [b'state']
        """
        number = self.number + 1
        draft = self.path("draft")
        file = os.open(draft, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o644)
        try:
            write_all(file, b"".join(map(pack, payloads)))
            os.fsync(file)
        finally:
            os.close(file)
        segment = os.open(self.path(f"log-{number}"), os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o644)
        os.fsync(segment)
        os.rename(draft, self.path(f"snapshot-{number}"))
        self.sync_folder()
        os.close(self.file)
        old, self.file, self.size, self.number = self.number, segment, 0, number
        for name in (f"log-{old}", *(f"{prefix}{old}" for prefix in SNAPSHOTS)):
            if os.path.exists(self.path(name)):
                os.unlink(self.path(name))
        self.sync_folder()

    def close(self) -> None:
        """Closes the segment.

        >>> Ledger.close.__name__
        'close'
        """
        os.close(self.file)
