"""A pooler's own figures."""

from typing import TYPE_CHECKING

from sumacloom.metrics import Metric, MetricKind
from sumacloom.pooler.completion import CUT_OFF, NOT_IN_TIME

if TYPE_CHECKING:
    from sumacloom.pooler.controller_session import ControllerSession
    from sumacloom.pooler.core import PoolerCore


def metrics_of(
    core: "PoolerCore", controller_session: "ControllerSession", now: float
) -> list[Metric]:
    """The present values.

    Args:
        core: the pooler's core.
        controller_session: its session with a controller.
        now: seconds on the steady clock.
    """
    return [*_session_metrics(controller_session, now), *_core_metrics(core)]


def _session_metrics(controller_session: "ControllerSession", now: float) -> list[Metric]:
    log = controller_session.log
    return [
        Metric(
            "pooler_in_controller_session",
            "Whether a session with a controller stands.",
            controller_session.session is not None,
        ),
        Metric(
            "pooler_configuration_confirmed_age_seconds",
            "Since a heartbeat was sent that a controller in a quorum answered; -1: never.",
            controller_session.confirmed_age_s(now),
        ),
        Metric(
            "pooler_held_configuration_version",
            "The configuration received; above the one in force only while it is applied.",
            controller_session.cache.digest().configuration,
        ),
        Metric(
            "pooler_controllers_known",
            "Controllers whose addresses are known.",
            len(controller_session.candidates),
        ),
        Metric(
            "pooler_controller_sessions_opened",
            "Sessions with a controller that were opened.",
            log.opened,
            MetricKind.COUNTER,
        ),
        Metric(
            "pooler_controller_sessions_ended",
            "Sessions with a controller that ended.",
            log.ended,
            MetricKind.COUNTER,
        ),
        Metric(
            "pooler_controller_dials_failed",
            "Connections to a controller that could not be opened.",
            log.dials_failed,
            MetricKind.COUNTER,
        ),
        Metric(
            "pooler_updates_not_applied",
            "Configurations received that were of no use: older, or a difference of another base.",
            controller_session.cache.configurations_refused,
            MetricKind.COUNTER,
        ),
    ]


def _core_metrics(core: "PoolerCore") -> list[Metric]:
    return [
        Metric("pooler_ready", "Whether this pooler calls itself ready.", core.ready),
        Metric(
            "pooler_configuration_version",
            "The configuration in force.",
            core.configuration.ver if core.configuration else 0,
        ),
        Metric("pooler_client_sessions", "Clients' sessions.", len(core.sessions)),
        Metric(
            "pooler_waiting_statements",
            "Statements that wait for a connection to a backend.",
            core.scheduler.waiting_count(),
        ),
        Metric(
            "pooler_statements_refused_not_in_time",
            "Statements refused since no backend could take them in their time.",
            core.refusals[NOT_IN_TIME],
            MetricKind.COUNTER,
        ),
        Metric(
            "pooler_statements_refused_cut_off",
            "Statements refused since neither a primary nor a controller in a quorum is reached.",
            core.refusals[CUT_OFF],
            MetricKind.COUNTER,
        ),
        Metric("pooler_server_connections", "Connections to backends.", len(core.connections)),
        Metric(
            "pooler_missing_database_answers",
            "Sessions and statements answered NODB.",
            core.missing_database.answers,
            MetricKind.COUNTER,
        ),
        Metric(
            "pooler_missing_database_unconfirmed",
            "The same, answered BUSY since no controller had confirmed the configuration.",
            core.missing_database.unconfirmed_answers,
            MetricKind.COUNTER,
        ),
    ]
