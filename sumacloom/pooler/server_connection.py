"""One pooled connection to a backend: its record of values and names, and its results."""

from collections import deque
from typing import NamedTuple

from sumacloom.line_protocol import LineSplitter, encode
from sumacloom.types import Position, parse_position

MOST_NAMES = 200
MOST_ROWS = 3 << 20
AFTER = {
    "login": "I",
    "begin": "T",
    "anchor": "T",
    "clean": "I",
}  # the state after a success; else as before


class ServerResult(NamedTuple):
    """A whole result of a backend: what it answers, rows, last line, state and position after it."""

    tag: str
    rows: list
    line: str
    state: str
    position: Position | None
    asked_at: float

    @property
    def code(self) -> str:
        """The code of an ERR, else nothing.

        >>> ServerResult("run", [], "ERR RO i-1", "E", None, 0.0).code
        'RO'
        """
        return self.line.split(" ", 2)[1] if self.line.startswith("ERR ") else ""


class ServerConnection:
    """A connection's state machine: lines in, results out; asks give bytes to send.

    >>> connection = ServerConnection(1, "i-1", "svc", 0.0)
    >>> connection.login("me")
    b'LOGIN svc me i-1\\r\\n'
    >>> [result.tag for result in connection.feed(b"READY I 3.7\\r\\n")]
    ['login']
    >>> connection.ask("run", "5c", "FETCH a", 1.0)
    b'QUERY 5c FETCH a\\r\\n'
    >>> [result.line for result in connection.feed(b"ROW x\\r\\nDONE 7.1\\r\\nREADY I 3.8\\r\\n")]
    ['DONE 7.1']
    """

    __slots__ = (
        "asked_at",
        "backend",
        "dirty",
        "expected",
        "idle_since",
        "key",
        "line",
        "login_sent",
        "lost",
        "names",
        "open",
        "opened_at",
        "owner",
        "position",
        "rows",
        "service",
        "size",
        "splitter",
        "stamp",
        "state",
        "unclear",
        "unhandled",
        "values",
    )

    def __init__(self, key: int, backend: str, service: str, now: float):
        self.key, self.backend, self.service = key, backend, service
        self.splitter = LineSplitter()
        self.expected = deque()
        self.rows, self.size, self.line = [], 0, ""
        self.state, self.position = "I", None
        self.values, self.names, self.dirty = {}, {}, False
        self.owner = None
        self.unhandled = 0  # results that were read with others, and are still to be acted on
        self.open = self.lost = self.login_sent = False
        self.stamp = (
            ""  # of the last success: one that comes again is no answer to what was asked since
        )
        self.unclear = False  # a success came with a state that does not fit: who knows what ran
        self.opened_at = self.idle_since = self.asked_at = now

    def login(self, who: str) -> bytes:
        """The first line, with the id expected at that address.

        >>> ServerConnection(1, "i-1", "svc", 0.0).login("me")
        b'LOGIN svc me i-1\\r\\n'
        """
        self.expected.append(("login", self.opened_at, "I"))
        self.login_sent = True
        return encode(f"LOGIN {self.service} {who} {self.backend}")

    def ask(self, tag: str, statement_id: str, text: str, now: float) -> bytes:
        """A statement to send, whose result will carry the tag.

        >>> ServerConnection(1, "i-1", "svc", 0.0).ask("own", "-", "BEGIN", 0.0)
        b'QUERY - BEGIN\\r\\n'
        """
        before = self.expected[-1][2] if self.expected else self.state
        self.expected.append((tag, now, "I" if text == "COMMIT" else AFTER.get(tag, before)))
        self.asked_at = now
        return encode(f"QUERY {statement_id} {text}")

    def feed(self, data: bytes) -> list[ServerResult]:
        """Takes bytes of the backend; anything odd sets `lost`, and the connection is closed.

        >>> connection = ServerConnection(1, "i-1", "svc", 0.0); connection.feed(b"ROW stray\\r\\n"), connection.lost
        ([], True)
        """
        results = []
        for line in self.splitter.feed(data):
            word, _blank, rest = line.partition(" ")
            if not self.in_turn(word, rest):
                self.lost = True
                break
            if word == "ROW":
                self.rows.append(line)
                self.size += len(line)
                self.lost = self.size > MOST_ROWS
            elif word == "READY":
                state, _blank, position = rest.partition(" ")
                self.state, self.position = state, parse_position(position) or self.position
                results.append(self.finish(state, parse_position(position)))
            else:
                self.line = line
                self.stamp = rest if word == "DONE" and rest != "-" else self.stamp
                if self.expected[0][0] == "login":
                    results.append(self.finish("", None))
            if self.lost:
                break
        self.lost = self.lost or self.splitter.overflow
        return results

    def in_turn(self, word: str, rest: str) -> bool:
        """Whether a line may come now: answers carry no id, so one out of order makes all later ones doubtful.

        A client's statement succeeds with a stamp, a text of our own with `-`; the state after a success is known.

        >>> connection = ServerConnection(1, "i-1", "svc", 0.0); _bytes = connection.ask("run", "5c", "FETCH a", 0.0)
        >>> connection.in_turn("DONE", "7.1"), connection.in_turn("DONE", "-"), connection.in_turn("READY", "I -")
        (True, False, False)
        """
        if not self.expected:
            return False
        tag, _asked_at, after = self.expected[0]
        if word == "READY":
            state = rest.partition(" ")[0]
            if self.line.startswith("ERR "):
                return state in ("I", "T", "E") and (tag != "clean" or state == "I")
            if not self.line and tag != "login":
                return False
            self.unclear = state != after
            return state == after
        if self.line or tag == "login":
            return not self.line and word == "ERR"
        stamped = rest not in ("", "-", self.stamp)
        return word in ("ROW", "ERR") or (
            word == "DONE" and (stamped if tag == "run" else rest == "-")
        )

    def finish(self, state: str, position: Position | None) -> ServerResult:
        """Ends the result being read.

        >>> connection = ServerConnection(1, "i-1", "svc", 0.0); _bytes = connection.login("me"); connection.finish("I", None).tag
        'login'
        """
        tag, asked_at, _after = self.expected.popleft()
        result = ServerResult(tag, self.rows, self.line, state, position, asked_at)
        self.rows, self.size, self.line = [], 0, ""
        return result

    def fits(self, values: dict) -> bool:
        """Whether the session's values need no RESET here: SET can change a value, but not take one away.

        >>> ServerConnection(1, "i-1", "svc", 0.0).fits({"a": "1"})
        True
        """
        return not self.dirty and self.values.keys() <= values.keys()

    def setup(self, values: dict, prepared: tuple | None, in_transaction: bool) -> list[str] | None:
        """The texts that put a session's values and a prepared shape in place.

        None says that this connection can't do so inside its transaction.

        >>> ServerConnection(1, "i-1", "svc", 0.0).setup({"a": "1"}, ("FETCH", "q"), False)
        ['SET a 1', 'PREP p1 FETCH q']
        """
        texts = []
        if not self.fits(values) or len(self.names) > MOST_NAMES:
            if in_transaction:
                return None
            texts.append("RESET")
            self.values, self.names, self.dirty = {}, {}, False
        missing = {name: value for name, value in values.items() if self.values.get(name) != value}
        texts += [f"SET {name} {value}" for name, value in missing.items()]
        self.values.update(missing)
        if prepared and prepared not in self.names:
            kind, shape = prepared
            self.names[prepared] = f"p{len(self.names) + 1}"
            texts.append(f"PREP {self.names[prepared]} {kind} {shape}")
        return texts
