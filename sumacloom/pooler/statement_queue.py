"""The statements of one service that wait for a connection, in their order.

They stand in groups whose members find the same connections, so that a round looks at the first of each
group and not at all that wait.
"""

from bisect import bisect_left, insort
from collections.abc import Iterator
from heapq import merge
from operator import attrgetter

from sumacloom.pooler.pending_statement import PendingStatement

queue_order = attrgetter("queue_order")


class StatementGroup:
    """Waiting statements of one kind, in order.

    Attributes:
        plan_name: the plan that all of them have.
        statements: the earliest first.
    """

    __slots__ = ("plan_name", "statements")

    def __init__(self, plan_name: str):
        self.plan_name = plan_name
        self.statements: list[PendingStatement] = []

    @property
    def first(self) -> PendingStatement:
        """The one whose turn is next."""
        return self.statements[0]

    def count_before(self, statement: PendingStatement) -> int:
        """How many of the group go before a statement of this or another group."""
        return bisect_left(self.statements, statement.queue_order, key=queue_order)


class StatementQueue:
    """A queue with the order that each statement had as it came in; it keeps that order when it comes again."""

    def __init__(self) -> None:
        self._groups: dict[tuple, StatementGroup] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, statement: PendingStatement) -> None:
        """Puts a statement at its place."""
        statement.queue_order = statement.order()
        statement.queue_group = key = statement.group_key()
        group = self._groups.get(key)
        if group is None:
            group = self._groups[key] = StatementGroup(statement.plan_name)
        insort(group.statements, statement, key=queue_order)
        self._count += 1

    def remove(self, statement: PendingStatement) -> None:
        """Takes a statement out that is here."""
        key, statement.queue_group = statement.queue_group, None
        group = self._groups[key]
        del group.statements[group.count_before(statement)]
        self._count -= 1
        if not group.statements:
            del self._groups[key]

    def groups(self) -> list[StatementGroup]:
        """All groups; none is empty."""
        return list(self._groups.values())

    def __iter__(self) -> Iterator[PendingStatement]:
        """All statements, those whose turn is next first; on a copy of each group."""
        return merge(*(list(group.statements) for group in self._groups.values()), key=queue_order)
