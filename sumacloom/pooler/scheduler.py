"""Which statement gets a connection next, and which can't be done in its time.

Statements of a service wait in one queue: by priority as the operators set it, then the earliest deadline. A
statement that was sent and did not run comes back to its place.
"""

from enum import Enum, auto
from operator import attrgetter
from typing import TYPE_CHECKING

from sumacloom.pooler import completion, server_results
from sumacloom.pooler.completion import CUT_OFF, NOT_IN_TIME
from sumacloom.pooler.effects import Dial
from sumacloom.pooler.pending_statement import PendingStatement, StatementStage
from sumacloom.pooler.routing import FALLBACK, PLANS
from sumacloom.pooler.service_pool import Backend, ServicePool
from sumacloom.pooler.statement_decision import Decision, WaitingStatement, decide_waiting
from sumacloom.pooler.statement_queue import StatementGroup, StatementQueue

if TYPE_CHECKING:
    from sumacloom.pooler.core import PoolerCore

GO_ON = Decision.GO_ON
first_order = attrgetter("first.queue_order")


class Placement(Enum):
    """What came of looking for a connection."""

    STARTED = auto()
    DIALED = auto()  # one is on its way, another may be dialled for the next that waits
    BLOCKED = auto()  # nothing more can be done for its group now


class Round:
    """One look at a queue.

    Attributes:
        full: names of backends without a connection to give, and kinds of statements that found none.
        blocked: groups whose first found none.
        again: whether a connection became free meanwhile.
    """

    def __init__(self) -> None:
        self.full: set = set()
        self.blocked: set[StatementGroup] = set()
        self.again = False

    def restart(self) -> None:
        """A connection became free: what was blocked may go on."""
        self.full.clear()
        self.blocked.clear()
        self.again = False


class Scheduler:
    """The queues of one pooler."""

    def __init__(self, core: "PoolerCore"):
        self._core = core
        self.queues: dict[str, StatementQueue] = {}
        self._rounds: dict[str, Round] = {}  # under way, by service

    def waiting_count(self) -> int:
        """How many statements wait."""
        return sum(map(len, self.queues.values()))

    # ------------------------------------------------------------ coming and going
    def enqueue(self, pending: PendingStatement, now: float) -> None:
        """Puts a statement at its place, tries at once, and refuses at once what can't be done in its time."""
        pending.stage, pending.connection = StatementStage.WAITING, None
        if not self._take_present_rule(pending, now):
            return
        service = pending.rule.service
        self.queues.setdefault(service, StatementQueue()).add(pending)
        self.dispatch(service, now)
        if pending.stage == StatementStage.WAITING and service not in self._rounds:
            self._refuse_if_hopeless(pending, self._turn_s(pending, now), now)

    def withdraw(self, pending: PendingStatement) -> None:
        """A statement is over: it leaves its queue."""
        if pending.queue_group is not None:
            self.queues[pending.rule.service].remove(pending)

    def _take_present_rule(self, pending: PendingStatement, now: float) -> bool:
        """Single statements go by the newest configuration; False if that has no route, which the caller hears."""
        core = self._core
        if pending.transaction:
            return True  # it ends by the rule that it began with
        rule = core.rules.get(pending.session.database)
        if rule is None:
            completion.finish(core, pending, [core.missing_database.answer(now)], now)
            return False
        if rule is not pending.rule and rule != pending.rule:
            pending.take_rule(rule, rule.plans[pending.statement.kind])
        return True

    def reroute(self, now: float) -> None:
        """Another configuration is in force: what waits goes by its rules and time-outs."""
        moving = [
            pending
            for queue in self.queues.values()
            for pending in queue
            if pending.transaction is None
            and self._core.rules.get(pending.session.database) != pending.rule
        ]
        for pending in moving:
            self.withdraw(pending)  # all of them first: none may start while another is moved
        for pending in moving:
            if pending.stage == StatementStage.WAITING:
                self.enqueue(pending, now)

    # ------------------------------------------------------------ starting
    def dispatch_all(self, now: float) -> None:
        """Starts what can start, at every service."""
        for service in list(self.queues):
            self.dispatch(service, now)

    def dispatch(self, service: str, now: float) -> None:
        """Starts what can start; what finds no connection waits on, in its order."""
        queue = self.queues.get(service)
        if not queue:
            return
        if service in self._rounds:
            self._rounds[service].again = True
            return
        this_round = self._rounds[service] = Round()
        try:
            while queue and (group := self._next_group(queue, this_round)):
                pending = group.first
                placement = self._place(pending, queue, this_round, now)
                if this_round.again:
                    this_round.restart()
                elif placement is Placement.BLOCKED:
                    this_round.blocked.add(group)
        finally:
            del self._rounds[service]

    @staticmethod
    def _next_group(queue: StatementQueue, this_round: Round) -> StatementGroup | None:
        groups = [group for group in queue.groups() if group not in this_round.blocked]
        return min(groups, key=first_order, default=None) if len(groups) != 1 else groups[0]

    def _place(
        self, pending: PendingStatement, queue: StatementQueue, this_round: Round, now: float
    ) -> Placement:
        """Chooses a backend and a connection, and starts the statement on it."""
        core, pools, full = self._core, self._core.pools, this_round.full
        key = pending.placement_key()
        if key in full:
            return Placement.BLOCKED
        plan_name, backends = self._candidates(pending, now)
        reserved = False  # a connection is there, but not for this one
        open_to_sends = []
        for backend in backends:
            if backend.name in full or backend.send_backoff.is_paused(now):
                continue
            open_to_sends.append(backend)
            if pools.is_reserved(backend, pending, bool(core.priority_databases), now):
                reserved = True
                continue
            connection = pools.take_connection(
                backend, pending.session.values, pending.statement.prepared
            )
            if connection is None:
                continue
            if not pools.warm_enough(backend, now):
                backend.idle.append(connection)
                full.add(backend.name)
                continue
            queue.remove(pending)
            pending.plan_name = plan_name
            core.start_on(pending, connection, now)
            return Placement.STARTED
        return self._dial_for(pending, open_to_sends, reserved, len(queue), this_round, now)

    def _candidates(self, pending: PendingStatement, now: float) -> tuple[str, list[Backend]]:
        """The backends that may run it, the best first, and the plan by which; replicas lacking, the primary."""
        pools = self._core.pools
        service_pool = pools.service_pool(pending.rule.service)
        plan_name = pending.plan_name
        if pending.plan[0] == "rotation":
            service_pool.read_at = now
            pending.needed = server_results.needed(self._core, pending, service_pool, now)
            if pending.needed is None:
                return plan_name, []
            replicas = pools.select_replicas(service_pool, pending.rule, pending.needed, now)
            if replicas:
                return plan_name, replicas
            plan_name = FALLBACK[plan_name]
        return plan_name, pools.primary_candidates(service_pool, pending.rule, now)[:1]

    def _dial_for(
        self,
        pending: PendingStatement,
        backends: list[Backend],
        reserved: bool,
        waiting: int,
        this_round: Round,
        now: float,
    ) -> Placement:
        """No connection is idle: one is dialled, as many at once as statements wait."""
        if not backends:
            return Placement.BLOCKED
        best = backends[0]
        if not reserved and best.dialing < waiting and self.dial(best, now):
            return Placement.DIALED
        if not reserved:
            this_round.full.add(best.name)
        this_round.full.add(pending.placement_key())
        return Placement.BLOCKED

    def dial(self, backend: Backend, now: float) -> bool:
        """Opens one more connection to a backend, if it may have one; tells whether it may."""
        core = self._core
        connection = core.pools.new_connection(backend, now)
        if connection:
            core.connections[connection.key] = connection
            core.effects.append(Dial(connection.key, backend.host, backend.port))
        return connection is not None

    # ------------------------------------------------------------ refusing
    def refuse_hopeless(self, now: float) -> None:
        """Refuses all that can't be done in its time any more."""
        for queue in list(self.queues.values()):
            for group in queue.groups():
                while group.statements and self._refuse_if_hopeless(group.first, None, now):
                    pass
            if queue:
                self._refuse_behind(queue, now)

    def may_go_again(self, pending: PendingStatement, now: float) -> bool:
        """Whether a statement that did not run, or may be run twice, can still be done, here and in its time."""
        return self._decide(pending, None, self._is_possible_here(pending, now), now) is GO_ON

    def is_in_time(self, pending: PendingStatement, now: float) -> bool:
        """Whether a statement that has a connection, and has not run, can still be done in its time."""
        return self._decide(pending, None, True, now) is GO_ON

    def _decide(
        self, pending: PendingStatement, turn_s: float | None, possible_here: bool, now: float
    ) -> Decision:
        run_times = self._core.pools.service_pool(pending.rule.service).run_times
        statement = WaitingStatement(
            pending.deadline,
            pending.rule.statement_s,
            turn_s,
            run_times.shortest_s(pending.plan_name, now),
            possible_here,
        )
        return decide_waiting(now, statement)

    def _refuse_if_hopeless(
        self, pending: PendingStatement, turn_s: float | None, now: float
    ) -> bool:
        possible_here = self._is_possible_here(pending, now)
        if self._decide(pending, turn_s, possible_here, now) is GO_ON:
            return False
        core, session = self._core, pending.session
        completion.refuse(core, pending, now, NOT_IN_TIME if possible_here else CUT_OFF)
        if not possible_here and session.state == "I" and session.pending is None:
            core.shut_session(session, now)  # another pooler may be better placed
        return True

    def _is_possible_here(self, pending: PendingStatement, now: float) -> bool:
        """False at a pooler that reaches no primary, and no controller that could tell it of a new one."""
        core = self._core
        if not core.isolated:
            return True
        service_pool = core.pools.service_pool(pending.rule.service)
        reads_replicas = pending.plan[0] == "rotation" and pending.needed is not None
        return reads_replicas or core.pools.reaches_primary(service_pool, pending.rule, now)

    def _turn_s(self, pending: PendingStatement, now: float) -> float | None:
        """How long what waits before a statement will take, from observed runs; None if unknown."""
        service_pool = self._core.pools.service_pool(pending.rule.service)
        lanes = self._lanes(pending, service_pool, now)
        if not lanes:
            return None
        work_s = 0.0
        for group in self.queues[pending.rule.service].groups():
            if PLANS[group.plan_name][0] == pending.plan[0]:
                mean_s = service_pool.run_times.mean_s(group.plan_name, now) or 0.0
                work_s += mean_s * group.count_before(pending)
        return work_s / lanes

    def _lanes(self, pending: PendingStatement, service_pool: ServicePool, now: float) -> int:
        """How many statements like this one may run at once; 0 while no backend is known that could run one."""
        pools = self._core.pools
        if pending.plan[0] == "lead":
            if not pools.reaches_primary(service_pool, pending.rule, now):
                return 0
            backends = pools.primary_candidates(service_pool, pending.rule, now)[:1]
        elif pending.needed is None:
            return 0
        else:
            backends = pools.select_replicas(service_pool, pending.rule, pending.needed, now)
        return sum(
            min(max(1, backend.slots), pools.connection_limit(backend, now)) for backend in backends
        )

    def _refuse_behind(self, queue: StatementQueue, now: float) -> None:
        """Refuses those whose turn comes too late, in the order of the queue; who is refused delays nobody."""
        if not self._may_come_too_late(queue, now):
            return
        ahead_s: dict[str, float] = {}
        lanes: dict[tuple, int] = {}
        for pending in list(queue):
            if pending.stage != StatementStage.WAITING:
                continue
            service_pool = self._core.pools.service_pool(pending.rule.service)
            step = pending.plan[0]
            kind = (step, id(pending.rule))
            if kind not in lanes:
                lanes[kind] = self._lanes(pending, service_pool, now)
            turn_s = ahead_s.get(step, 0.0) / lanes[kind] if lanes[kind] else None
            if not self._refuse_if_hopeless(pending, turn_s, now):
                mean_s = service_pool.run_times.mean_s(pending.plan_name, now) or 0.0
                ahead_s[step] = ahead_s.get(step, 0.0) + mean_s

    def _may_come_too_late(self, queue: StatementQueue, now: float) -> bool:
        """A quick look: whether all that waits, one after the other, takes longer than the most urgent has."""
        work_s, left_s = 0.0, float("inf")
        for group in queue.groups():
            service_pool = self._core.pools.service_pool(group.first.rule.service)
            mean_s = service_pool.run_times.mean_s(group.plan_name, now) or 0.0
            work_s += mean_s * len(group.statements)
            left_s = min(left_s, group.first.deadline - now)
        return work_s > left_s
