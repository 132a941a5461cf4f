"""Rows for people, and SQL over them through sqlite in memory."""

import sqlite3

from sumacloom.errors import Err, Ok, Result, mishap

MOST_STEPS = 2_000_000


def as_text(rows: list[dict]) -> str:
    """Rows as aligned columns.

    >>> print(as_text([{"node": "a", "votes": True}]))
    node  votes
    a     yes
    """
    if not rows:
        return "(none)"
    names = list(dict.fromkeys(name for row in rows for name in row))
    lines = [names] + [[show(row.get(name)) for name in names] for row in rows]
    widths = [max(len(line[place]) for line in lines) for place in range(len(names))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths)).rstrip() for line in lines
    )


def show(value) -> str:
    """One cell.

    >>> show(True), show(None), show(3)
    ('yes', '-', '3')
    """
    if isinstance(value, bool):
        return "yes" if value else "no"
    return "-" if value is None or value == "" else str(value)


def clean(value):
    """A cell as sqlite takes it.

    >>> clean(True), clean({"a": 1})
    (1, "{'a': 1}")
    """
    if isinstance(value, bool):
        return int(value)
    return value if value is None or isinstance(value, (int, float, str)) else str(value)


def query(tables: dict[str, list[dict]], text: str) -> Result:
    """Runs one SELECT over the tables, read only and in bounded work.

    >>> query({"members": [{"node": "a"}, {"node": "b"}]}, "SELECT count(*) AS n FROM members").ok()
    [{'n': 2}]
    >>> query({}, "DROP TABLE x").err().name
    'bad_query'
    """
    wire = sqlite3.connect(":memory:")
    try:
        for name, rows in tables.items():
            columns = list(dict.fromkeys(column for row in rows for column in row)) or ["empty"]
            quoted = ", ".join('"{}"'.format(column.replace('"', '""')) for column in columns)
            wire.execute(f'CREATE TABLE "{name}" ({quoted})')
            marks = ", ".join("?" * len(columns))
            wire.executemany(
                f'INSERT INTO "{name}" VALUES ({marks})',
                [[clean(row.get(column)) for column in columns] for row in rows],
            )
        wire.commit()
        allowed = (
            sqlite3.SQLITE_SELECT,
            sqlite3.SQLITE_READ,
            sqlite3.SQLITE_FUNCTION,
            sqlite3.SQLITE_RECURSIVE,
        )
        wire.set_authorizer(
            lambda action, *_rest: sqlite3.SQLITE_OK if action in allowed else sqlite3.SQLITE_DENY
        )
        steps = iter(range(MOST_STEPS // 1000))
        wire.set_progress_handler(lambda: next(steps, None) is None, 1000)
        cursor = wire.execute(text)
        if cursor.description is None:
            return Err(mishap("bad_query", "only SELECT is answered here"))
        names = [column[0] for column in cursor.description]
        return Ok([dict(zip(names, row)) for row in cursor])
    except (sqlite3.Error, sqlite3.Warning) as error:
        reason = (
            "only SELECT is answered here"
            if "authorized" in str(error) or "prohibited" in str(error)
            else error
        )
        return Err(mishap("bad_query", f"the query can't be run: {reason}"))
    finally:
        wire.close()
