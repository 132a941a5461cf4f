"""What happens when a connection comes up, answers, errs or is lost; and the send rules that follow.

A statement that was certainly not run may go out again; a read may; a write or COMMIT that may
have reached its backend never does. Promises are made only where they are certainly true.
"""

import logging

from sumacloom.pooler.completion import drop, fail_transaction, finish, release, settle
from sumacloom.pooler.connection_loss import connection_lost
from sumacloom.pooler.delivery import item_text, judge
from sumacloom.pooler.effects import Send
from sumacloom.pooler.pending_statement import PendingStatement, StatementStage
from sumacloom.types import LOG_START

logger = logging.getLogger(__name__)
NOT_RUN = frozenset({"BUSY", "NOSUCH", "LAGGING", "RO", "WRONGHOST", "MAXCONN"})
# answers of a backend that struggles, and how long reads prefer another one after it
AVOIDED_S = {"BUSY": 0.1, "MAXCONN": 0.1, "FAIL": 1.5}
BARRED_S = 0.5
ANCHOR_SLACK_S = 0.02
ANCHOR_RETRY_S = 0.5  # network: a position asked of the primary that has not come by then

RESULTS = {}


def result_of(tag: str):
    """Registers the handler of results with that tag.

    >>> "login" in RESULTS
    True
    """

    def register(function):
        RESULTS[tag] = function
        return function

    return register


def receive_data(core, key, data: bytes, now: float) -> None:
    """Bytes of a backend."""
    connection = core.connections.get(key)
    if connection is None:
        return
    results = connection.feed(data)
    connection.unhandled = len(results)
    for result in results:
        connection.unhandled -= 1
        if connection.key in core.connections:
            RESULTS[result.tag](core, connection, result, now)
    if connection.lost and connection.key in core.connections:
        logger.warning(
            "the backend %s spoke out of turn: its connection is closed", connection.backend
        )
        connection_lost(core, connection, "it spoke out of turn", now)


def observe(core, connection, result, now: float):
    """Takes the position that every READY shows; gives the backend."""
    backend = core.pools.backends.get(connection.backend)
    if backend and result.position and backend.role != "primary":
        core.pools.service_pool(backend.service).replica_health.see(
            backend.name, result.position, now
        )
    return backend


def judge_send(backend, code: str, now: float) -> None:
    """What an answer says of its backend: after one that struggles all sends pause, and reads prefer others."""
    if backend is None:
        return
    if not code:
        backend.send_backoff.accepted()
    elif code in AVOIDED_S:
        backend.send_backoff.refused(now)
        backend.deprioritized_until = now + AVOIDED_S[code]


@result_of("login")
def login_result(core, connection, result, now: float) -> None:
    """A connection is up, or its backend refused it."""
    backend = observe(core, connection, result, now)
    if result.code:
        logger.info("the backend %s refused a connection: %s", connection.backend, result.code)
        drop(core, connection)
        if backend and result.code == "MAXCONN":
            core.pools.record_connection_limit(backend, now)
        elif backend:
            backend.backoff_until = now + BARRED_S
        return
    connection.open = True
    if backend:
        backend.dialing -= 1
        core.pools.record_success(backend)
    settle(core, connection, now)


@result_of("pre")
def setup_result(core, connection, result, now: float) -> None:
    """One of the texts that prepare a connection was answered."""
    pending = connection.owner
    if not isinstance(pending, PendingStatement) or pending.stage != StatementStage.SETUP:
        connection.dirty = connection.dirty or bool(result.code)
        settle(core, connection, now)
        return
    if result.code:
        judge_send(core.pools.backends.get(connection.backend), result.code, now)
        connection.dirty = True
        setup_failed(core, pending, result, now)
    else:
        setup_step(core, pending, now)


def setup_step(core, pending, now: float) -> None:
    """One text less to wait for; with the last, the statement goes out."""
    pending.setup_replies_due -= 1
    if (
        pending.setup_replies_due or pending.connection.lost
    ):  # lost: something more came behind, out of turn
        return
    if pending.session.closed:
        core.complete(pending)
        release(core, pending.connection, now)
    else:
        core.run(pending, now)


@result_of("begin")
def begin_result(core, connection, result, now: float) -> None:
    """The BEGIN that fences a statement was answered."""
    backend = observe(core, connection, result, now)
    pending = connection.owner
    led = not result.code and isinstance(pending, PendingStatement) and "open" in pending.plan
    if backend and led:
        core.pools.prove_primary(backend, result.asked_at, result.position, now)
    if not isinstance(pending, PendingStatement) or pending.stage != StatementStage.SETUP:
        settle(core, connection, now)
    elif result.code:
        judge_send(backend, result.code, now)
        setup_failed(core, pending, result, now)
    else:
        if pending.transaction and not pending.session.closed:
            pending.transaction.connection = connection
        setup_step(core, pending, now)


def setup_failed(core, pending, result, now: float) -> None:
    """The connection could not be prepared; nothing of the client's has run."""
    connection, transaction = pending.connection, pending.transaction
    if transaction and transaction.connection is connection and transaction.statements_run:
        fail_transaction(
            core, pending, result.code if result.code in NOT_RUN else "ROLLEDBACK", now
        )
        return
    requeue(core, pending, result.code, now)


def requeue(core, pending, code: str, now: float) -> None:
    """Back to the queue after a send that did not run, its connection freed."""
    connection, transaction = pending.connection, pending.transaction
    backend = core.pools.backends.get(connection.backend)
    if transaction:
        transaction.connection = None
    if code == "RO" and backend:
        core.pools.record_read_only(backend, now)
    elif code == "LAGGING":
        pending.fall_back()
    elif code == "NOSUCH":
        connection.dirty = True
    elif code == "WRONGHOST" and backend:
        backend.backoff_until = now + BARRED_S
    pending.stage, pending.connection = StatementStage.WAITING, None
    release(core, connection, now)
    if pending.session.closed:
        core.complete(pending)
    else:
        core.scheduler.enqueue(pending, now)


def drained_meanwhile(core, pending, now: float) -> bool:
    """Whether the zone of the statement's backend is closed by now; if so it is taken back before anything is sent."""
    connection, transaction = pending.connection, pending.transaction
    backend = core.pools.backends.get(connection.backend)
    if backend is None or not core.pools.zone_closed(backend, now):
        return False
    if transaction and transaction.connection is connection and transaction.statements_run:
        fail_transaction(core, pending, "ROLLEDBACK", now)
    else:
        requeue(core, pending, "", now)
    return True


@result_of("run")
def run_result(core, connection, result, now: float) -> None:
    """The client's own statement was answered."""
    backend = observe(core, connection, result, now)
    pending = connection.owner
    if not isinstance(pending, PendingStatement) or pending.stage != StatementStage.RUNNING:
        settle(core, connection, now)
        return
    judge_send(backend, result.code, now)
    if not result.code:
        run_times = core.pools.service_pool(connection.service).run_times
        run_times.observe(pending.plan_name, now - pending.started_at, now)
    # a COMMIT that wrote nothing succeeds even where the primary was lost: it proves nothing
    proves = not result.code and pending.plan[0] == "lead" and pending.statement.kind != "commit"
    if proves and backend:
        core.pools.prove_primary(backend, result.asked_at, result.position, now)
    if pending.session.closed:
        judge(core, pending, [result.line])
        core.complete(pending)
        release(core, connection, now)
    elif pending.transaction:
        transaction_result(core, pending, result, now)
    else:
        single_result(core, pending, result, now)


def single_result(core, pending, result, now: float) -> None:
    """A single statement's result: told to the client, or sent again where that is safe."""
    code = result.code
    again = code in NOT_RUN or (code == "FAIL" and pending.only_reads)
    if again and core.scheduler.may_go_again(pending, now):
        requeue(core, pending, code, now)
        return
    if not code and pending.statement.kind == "write":
        pending.session.last_commit = result.position or pending.session.last_commit
    connection = pending.connection
    finish(core, pending, [*result.rows, result.line], now, result.position)
    release(core, connection, now)


def transaction_result(core, pending, result, now: float) -> None:
    """The result of a statement or COMMIT inside a transaction."""
    transaction, connection, code = pending.transaction, pending.connection, result.code
    lines = [*result.rows, result.line]
    again = code in NOT_RUN and core.scheduler.may_go_again(pending, now)
    if again and code == "BUSY" and result.state == "T":
        backend = core.pools.backends.get(connection.backend)
        pending.stage = StatementStage.PAUSED
        pending.not_before = backend.send_backoff.resumes_at if backend else now
    elif again and not transaction.statements_run:
        requeue(core, pending, code, now)
    elif pending.statement.kind == "commit":
        if not code and transaction.mode == "begin":
            pending.session.last_commit = result.position or pending.session.last_commit
        pending.session.transaction = None
        finish(core, pending, lines, now, result.position)
        release(core, connection, now, values_changed=bool(code) and transaction.values_changed)
    elif not code and result.state == "T":
        transaction.statements_run += 1
        if pending.statement.kind == "write":
            transaction.writes.append(item_text(pending.statement))
        connection.owner = transaction
        finish(core, pending, lines, now, result.position)
    else:
        transaction.failed, transaction.connection = "told", None
        finish(core, pending, lines, now, result.position)
        release(core, connection, now, values_changed=transaction.values_changed)


@result_of("clean")
@result_of("stat")
def own_result(core, connection, result, now: float) -> None:
    """A text of our own was answered: an end, or a sweep's STAT."""
    observe(core, connection, result, now)
    settle(core, connection, now)


@result_of("anchor")
def anchor_result(core, connection, result, now: float) -> None:
    """A BEGIN that only asks for a proven position."""
    backend = observe(core, connection, result, now)
    service_pool = core.pools.service_pool(connection.service)
    service_pool.seeking = None
    if backend and not result.code:
        core.pools.prove_primary(backend, result.asked_at, result.position, now)
        core.scheduler.dispatch(connection.service, now)
    elif backend and result.code == "RO":
        core.pools.record_read_only(backend, now)


def needed(core, pending, service_pool, now: float):
    """The position a replica must hold for this read; None while an anchor is sought."""
    anchor = service_pool.primary_positions.as_of(
        pending.received_at - max(0.0, pending.rule.stale_s - ANCHOR_SLACK_S)
    )
    if anchor is None:
        seek_anchor(core, service_pool, now)
        return None
    return max(anchor, pending.session.last_commit or LOG_START)


def seek_anchor(core, service_pool, now: float) -> None:
    """Asks the primary for a position when ordinary traffic gave none of late."""
    if service_pool.seeking is not None and now - service_pool.seeking < ANCHOR_RETRY_S:
        return
    for backend in core.pools.primary_candidates(service_pool, None, now)[:1]:
        connection = core.pools.take_connection(backend, {}, None)
        if connection is None:
            if not backend.dialing:
                core.scheduler.dial(backend, now)
            return
        service_pool.seeking = now
        data = connection.ask("anchor", "-", "BEGIN", now) + connection.ask(
            "clean", "-", "ABORT", now
        )
        core.effects.append(Send(connection.key, data))
