"""Rows for people, and SQL over them through sqlite in memory."""

import sqlite3
from typing import Any

from sumacloom.errors import InvalidQueryError

MAX_STEPS = 2_000_000  # of sqlite's virtual machine
STEPS_PER_CHECK = 1000
ONLY_SELECT = "only SELECT is answered here"
ALLOWED_ACTIONS = (
    sqlite3.SQLITE_SELECT,
    sqlite3.SQLITE_READ,
    sqlite3.SQLITE_FUNCTION,
    sqlite3.SQLITE_RECURSIVE,
)

Rows = list[dict[str, Any]]


def format_rows(rows: Rows) -> str:
    """Rows as aligned columns.

    >>> print(format_rows([{"node": "a", "votes": True}]))
    node  votes
    a     yes
    """
    if not rows:
        return "(none)"
    names = list(dict.fromkeys(name for row in rows for name in row))
    lines = [names] + [[format_cell(row.get(name)) for name in names] for row in rows]
    widths = [max(len(line[column]) for line in lines) for column in range(len(names))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )


def format_cell(value: Any) -> str:
    """One cell.

    >>> format_cell(True), format_cell(None), format_cell(3)
    ('yes', '-', '3')
    """
    if isinstance(value, bool):
        return "yes" if value else "no"
    return "-" if value is None or value == "" else str(value)


def _sql_value(value: Any) -> Any:
    """A cell as sqlite takes it."""
    if isinstance(value, bool):
        return int(value)
    return value if value is None or isinstance(value, int | float | str) else str(value)


def query(tables: dict[str, Rows], text: str) -> Rows:
    """Runs one SELECT over the tables, read only and in bounded work.

    >>> query({"members": [{"node": "a"}, {"node": "b"}]}, "SELECT count(*) AS n FROM members")
    [{'n': 2}]

    Raises:
        InvalidQueryError: it is no SELECT, wrong, or takes too long.
    """
    connection = sqlite3.connect(":memory:")
    try:
        for name, rows in tables.items():
            _create_table(connection, name, rows)
        connection.commit()
        connection.set_authorizer(_authorize)
        budget = iter(range(MAX_STEPS // STEPS_PER_CHECK))
        connection.set_progress_handler(lambda: next(budget, None) is None, STEPS_PER_CHECK)
        cursor = connection.execute(text)
        if cursor.description is None:
            raise InvalidQueryError(ONLY_SELECT)
        names = [column[0] for column in cursor.description]
        return [dict(zip(names, row, strict=True)) for row in cursor]
    except (sqlite3.Error, sqlite3.Warning) as error:
        refused = "authorized" in str(error) or "prohibited" in str(error)
        reason = ONLY_SELECT if refused else error
        raise InvalidQueryError(f"the query can't be run: {reason}") from error
    finally:
        connection.close()


def _create_table(connection: sqlite3.Connection, name: str, rows: Rows) -> None:
    columns = list(dict.fromkeys(column for row in rows for column in row)) or ["empty"]
    quoted = ", ".join('"' + column.replace('"', '""') + '"' for column in columns)
    connection.execute(f'CREATE TABLE "{name}" ({quoted})')
    placeholders = ", ".join("?" * len(columns))
    connection.executemany(
        f'INSERT INTO "{name}" VALUES ({placeholders})',
        [[_sql_value(row.get(column)) for column in columns] for row in rows],
    )


def _authorize(action: int, *_details: Any) -> int:
    return sqlite3.SQLITE_OK if action in ALLOWED_ACTIONS else sqlite3.SQLITE_DENY
