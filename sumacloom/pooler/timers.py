"""What a pooler does by the clock: sweeps, warm connections, graceful shutdown."""

import logging

from sumacloom.pooler import completion, connection_loss, delivery, statement_timers
from sumacloom.pooler.core import SHUTDOWN, PoolerCore
from sumacloom.pooler.effects import Exit, Send

logger = logging.getLogger(__name__)
STILL_S = (
    0.25  # between two looks at the clock: this pooler was stalled, and reads before it judges
)
INTERNAL_TIMEOUT_S = 0.8
UNREAD_S = 5.0  # where nothing was drawn from the replicas for so long, it is not swept
DIAL_TIMEOUT_S = 0.8
UNLISTED_S = 2.3
LOGIN_TIMEOUT_S = 5.0
WARM_EVERY_S = 0.5
SCARCE_S = 1.0
SPARE_S = 2.0  # idle for so long, a connection above the cap is closed: others may have none


def tick(core: PoolerCore, now: float) -> None:
    """All that is due; the process calls it some twenty times a second."""
    since, core.ticked_at = core.ticked_at, now
    core.stalled = since is not None and now - since > STILL_S and not core.stalled
    if core.stalled:
        return  # answers may lie unread that came while nobody looked
    statement_timers.check_all(core, now)
    core.scheduler.dispatch_all(now)
    if now - core.warmed_at >= WARM_EVERY_S:
        core.warmed_at = now
        end_resting(core, now)
        check_connections(core, now)
        warm(core, now)
        sweep(core, now)
    delivery.resend_outcomes(core, now)
    if core.leaving not in ("serving", "gone"):
        advance_shutdown(core, now)


def end_resting(core, now: float) -> None:
    """Ends transactions that rest too long, and connections that never log in."""
    rest_s = core.configuration.limits.tx_idle_ms / 1000 if core.configuration else 3.0
    for session in list(core.sessions.values()):
        transaction = session.transaction
        if session.database is None and now - session.opened_at >= LOGIN_TIMEOUT_S:
            core.shut_session(session, now)
        elif transaction and transaction.connection and session.pending is None:
            backend = core.pools.backends.get(transaction.connection.backend)
            closed = backend is not None and core.pools.closed_to_new(backend, now)
            if closed or now - transaction.rested_at >= rest_s:
                connection, transaction.connection, transaction.failed = (
                    transaction.connection,
                    None,
                    "ROLLEDBACK",
                )
                completion.release(core, connection, now, values_changed=transaction.values_changed)


def check_connections(core, now: float) -> None:
    """Closes connections that leave a text of our own unanswered."""
    late = [
        connection
        for connection in core.connections.values()
        if connection.owner is None
        and (connection.expected or not connection.open)
        and now - (connection.asked_at if connection.open else connection.opened_at)
        >= (INTERNAL_TIMEOUT_S if connection.open else DIAL_TIMEOUT_S)
    ]
    for connection in late:
        connection_loss.connection_lost(core, connection, "it went silent", now)


def warm(core, now: float) -> None:
    """Keeps one connection to every backend that this pooler may need; where connections are scarce, none unused."""
    if core.configuration is None:
        return
    wanted = {route.svc for route in core.configuration.routes}
    for backend in core.pools.backends.values():
        closed = backend.phase != "up" or backend.zone in core.pools.draining_zones
        scarce = core.pools.fair_share(backend) < 1
        if backend.service in wanted and not backend.connections and not closed and not scarce:
            core.scheduler.dial(backend, now)
        for connection in [
            connection
            for connection in backend.idle
            if scarce and now - connection.idle_since >= SCARCE_S
        ]:
            completion.drop(core, connection)
        spare = max(0, len(backend.connections) - core.pools.connection_limit(backend, now))
        for connection in [
            connection for connection in backend.idle if now - connection.idle_since >= SPARE_S
        ][:spare]:
            completion.drop(core, connection)


def sweep(core, now: float) -> None:
    """Asks each replica for its position once a second, unless traffic showed it or nobody reads."""
    if core.leaving != "serving":
        return
    for service_pool in core.pools.service_pools.values():
        if (
            now - service_pool.swept_at < core.settings.health.sweep_s * 0.9
            or now - service_pool.read_at > UNREAD_S
        ):
            continue
        service_pool.swept_at = now
        due = [
            backend
            for backend in service_pool.backends.values()
            if backend.role != "primary"
            and backend.idle
            and service_pool.replica_health.due(backend.name, now)
        ]
        for backend in due:
            connection = backend.idle.pop()
            core.effects.append(Send(connection.key, connection.ask("stat", "-", "STAT", now)))


def sigterm(core, now: float) -> None:
    """The platform asks this process to end."""
    if core.leaving == "serving":
        core.leaving_at = now
        shutdown_event(core, "sigterm", now)


def advance_shutdown(core, now: float) -> None:
    """Walks the state machine `leaving` by the clock."""
    grace = core.settings.bounds.grace_s
    gone_for = now - core.leaving_at
    if gone_for >= min(UNLISTED_S, grace * 0.4):
        shutdown_event(core, "unlisted", now)
    if gone_for >= grace / 2:
        shutdown_event(core, "half", now)
    if gone_for >= grace * 0.8:
        shutdown_event(core, "late", now)
    if not core.sessions:
        shutdown_event(core, "empty", now)


def shutdown_event(core, event: str, now: float) -> None:
    """One event of leaving, and what the state machine says to do."""
    core.leaving, actions = SHUTDOWN.step(core.leaving, event)
    for action in actions:
        if action == "say_leaving":
            logger.info("leaving: no longer ready, serving on")
        elif action == "freeze_health":
            for service_pool in core.pools.service_pools.values():
                service_pool.replica_health.frozen = True
        elif action == "close_idle":
            completion.close_idle(core, now)
        elif action == "end_transactions":
            for session in list(core.sessions.values()):
                transaction = session.transaction
                if transaction and session.pending is None:
                    if transaction.connection:
                        completion.release(core, transaction.connection, now, values_changed=True)
                    transaction.connection = None
                    transaction.failed = transaction.failed or "ROLLEDBACK"
        elif action == "end_asked":
            for pending in list(core.active):
                connection_loss.abandon_statement(core, pending, now)
        elif action == "exit":
            for session in list(core.sessions.values()):
                core.shut_session(session, now)
            core.effects.append(Exit())
