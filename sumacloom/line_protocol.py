"""The wire's lines: words parted by blanks, CR LF at the end."""

LIMIT = 1 << 20


class LineSplitter:
    r"""Cuts bytes into lines; a line past the limit sets `overflow` and ends the cutting.

    >>> splitter = LineSplitter()
    >>> splitter.feed(b"LOGIN a b\r\nQU")
    ['LOGIN a b']
    >>> splitter.feed(b"IT\r\n")
    ['QUIT']
    """

    __slots__ = ("limit", "overflow", "rest")

    def __init__(self, limit: int = LIMIT):
        self.rest = b""
        self.limit = limit
        self.overflow = False

    def feed(self, data: bytes) -> list[str]:
        r"""Takes bytes, gives whole lines as Latin-1 text, so every byte survives.

        >>> LineSplitter().feed(b"\xff\r\n")
        ['\xff']
        """
        if self.overflow:
            return []
        *lines, self.rest = (self.rest + data).split(b"\r\n")
        if len(self.rest) > self.limit or any(len(line) > self.limit for line in lines):
            self.overflow = True
            lines = [line for line in lines if len(line) <= self.limit]
            self.rest = b""
        return [line.decode("latin-1") for line in lines]


def encode(*lines: str) -> bytes:
    r"""Lines as bytes on the wire.

    >>> encode("READY I -")
    b'READY I -\r\n'
    """
    return "".join(line + "\r\n" for line in lines).encode("latin-1")


def is_clean(line: str) -> bool:
    r"""Whether a line holds no control character that a peer could take for an end.

    >>> is_clean("FETCH a"), is_clean("FETCH a\nPUT b c")
    (True, False)
    """
    return not ("\n" in line or "\r" in line or "\0" in line)
