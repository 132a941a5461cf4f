"""Client sessions: what was asked, the transaction, values and prepared names."""

from collections import deque
from typing import NamedTuple

from sumacloom.line_protocol import LineSplitter, is_clean

MOST_VALUES = 500
MOST_WAITING = 64


class Statement(NamedTuple):
    """A statement decoded: its sort, id, text as sent, and the shape it runs if prepared.

    >>> decode("5c FETCH a", {}).kind
    'read'
    """

    kind: str  # read write commit abort begin begin_read set prep free malformed nosuch
    id: str
    text: str
    name: str = ""
    rest: str = ""
    prepared: tuple | None = None


class Transaction:
    """A client's transaction; its connection is drawn at the first statement, not at BEGIN."""

    __slots__ = (
        "connection",
        "failed",
        "mode",
        "rested_at",
        "rule",
        "statements_run",
        "unclear",
        "values_changed",
        "writes",
    )

    def __init__(self, rule, mode: str, now: float):
        self.rule, self.mode = rule, mode
        self.connection = None
        self.failed = ""
        self.values_changed = (
            False  # SET inside it: the connection's record is not to be trusted after an ABORT
        )
        self.statements_run = 0  # statements that succeeded
        self.writes = []  # those of them that write, as subscribers get them
        self.rested_at = now
        self.unclear = False  # its backend no longer knew of it: no promise


class Session:
    """One client connection."""

    __slots__ = (
        "address",
        "advancing",
        "closed",
        "database",
        "ending",
        "key",
        "last_commit",
        "mode",
        "names",
        "opened_at",
        "pending",
        "plain",
        "region",
        "splitter",
        "stateful",
        "tight_at",
        "transaction",
        "values",
        "waiting",
        "who",
    )

    def __init__(self, key: int, now: float, address: str = ""):
        self.key, self.address = key, address
        self.who, self.mode = "", "transaction"
        self.plain, self.tight_at, self.stateful = 0, now, False  # of how it was seen to behave
        self.region = None  # (version of the access list, region), once looked up
        self.splitter = LineSplitter()
        self.database = None
        self.values, self.names = {}, {}
        self.transaction = self.pending = self.last_commit = None
        self.waiting = deque()
        self.advancing = False  # whether its lines are being handled
        self.opened_at = now
        self.closed = self.ending = False  # ending: the client sends no more, but may read

    @property
    def state(self) -> str:
        """What READY says: I, T or E.

        >>> Session(1, 0.0).state
        'I'
        """
        if self.transaction is None:
            return "I"
        return "E" if self.transaction.failed else "T"


READERS = {}


def reads(verb: str):
    """Registers the reader of one verb.

    >>> "FETCH" in READERS
    True
    """

    def register(function):
        READERS[verb] = function
        return function

    return register


def word(text: str) -> bool:
    """Whether the text is one word.

    >>> word("a"), word(""), word("a b")
    (True, False, False)
    """
    return bool(text) and " " not in text


@reads("FETCH")
def read_fetch(statement_id, text, rest, names):
    """FETCH thing.

    >>> read_fetch("1", "FETCH a", "a", {}).kind
    'read'
    """
    return Statement("read", statement_id, text) if word(rest) else None


@reads("PUT")
def read_put(statement_id, text, rest, names):
    """PUT thing data.

    >>> read_put("1", "PUT a b c", "a b c", {}).kind
    'write'
    """
    thing, blank, data = rest.partition(" ")
    return Statement("write", statement_id, text) if thing and blank and data else None


@reads("BEGIN")
def read_begin(statement_id, text, rest, names):
    """BEGIN, or BEGIN FETCH for a transaction that only reads.

    >>> read_begin("1", "BEGIN FETCH", "FETCH", {}).kind
    'begin_read'
    """
    kind = {"": "begin", "FETCH": "begin_read"}.get(rest)
    return kind and Statement(kind, statement_id, text)


@reads("COMMIT")
def read_commit(statement_id, text, rest, names):
    """COMMIT.

    >>> read_commit("1", "COMMIT", "", {}).kind
    'commit'
    """
    return None if rest else Statement("commit", statement_id, text)


@reads("ABORT")
def read_abort(statement_id, text, rest, names):
    """ABORT.

    >>> read_abort("1", "ABORT", "", {}).kind
    'abort'
    """
    return None if rest else Statement("abort", statement_id, text)


@reads("SET")
def read_set(statement_id, text, rest, names):
    """SET name value.

    >>> read_set("1", "SET a 1", "a 1", {}).rest
    '1'
    """
    name, blank, value = rest.partition(" ")
    return Statement("set", statement_id, text, name, value) if name and blank and value else None


@reads("PREP")
def read_prep(statement_id, text, rest, names):
    """PREP name FETCH|PUT shape.

    >>> read_prep("1", "PREP s PUT q", "s PUT q", {}).prepared
    ('PUT', 'q')
    """
    name, _blank, shape = rest.partition(" ")
    kind, _blank, shape = shape.partition(" ")
    if name and kind in ("FETCH", "PUT") and shape:
        return Statement("prep", statement_id, text, name, "", (kind, shape))
    return None


@reads("EXEC")
def read_exec(statement_id, text, rest, names):
    """EXEC name thing [data]; the session's prepared shape says whether it reads or writes.

    >>> read_exec("1", "EXEC s a", "s a", {"s": ("FETCH", "q")}).kind
    'read'
    """
    name, blank, arguments = rest.partition(" ")
    if not (name and blank and arguments):
        return None
    prepared = names.get(name)
    if prepared is None:
        return Statement("nosuch", statement_id, text, name)
    kind = "read" if prepared[0] == "FETCH" else "write"
    return Statement(kind, statement_id, text, name, arguments, prepared)


@reads("FREE")
def read_free(statement_id, text, rest, names):
    """FREE name.

    >>> read_free("1", "FREE s", "s", {}).kind
    'nosuch'
    """
    if not word(rest):
        return None
    return Statement("free" if rest in names else "nosuch", statement_id, text, rest)


def decode(rest: str, names: dict) -> Statement:
    """Decodes what follows QUERY; what can't be read is `malformed` and goes nowhere.

    >>> decode("5c PAUSE 7", {}).kind
    'malformed'
    >>> decode("- FETCH a", {}).kind
    'malformed'
    """
    statement_id, _blank, text = rest.partition(" ")
    verb, _blank, arguments = text.partition(" ")
    reader = READERS.get(verb)
    statement = None
    if reader and statement_id and statement_id != "-" and is_clean(rest):
        statement = reader(statement_id, text, arguments, names)
    return statement or Statement("malformed", statement_id, text)


def server_text(statement: Statement, server_names: dict) -> str:
    """The text as a connection must carry it: unchanged, but for the connection's own prepared name.

    >>> server_text(decode("1 FETCH a", {}), {})
    'FETCH a'
    """
    if statement.prepared is None:
        return statement.text
    return f"EXEC {server_names[statement.prepared]} {statement.rest}"
