"""A controller's own figures."""

from typing import TYPE_CHECKING

from sumacloom.metrics import Metric

if TYPE_CHECKING:
    from sumacloom.controller.core import ControllerCore
    from sumacloom.controller.pooler_sessions import PoolerSessions


def metrics_of(core: "ControllerCore", sessions: "PoolerSessions", now: float) -> list[Metric]:
    """The present values.

    Args:
        core: the controller's core.
        sessions: the poolers in session here.
        now: seconds on the steady clock.
    """
    held = [link.digest.configuration for link in sessions.links.values() if link.digest]
    own = core.cache.digest().configuration
    return [
        Metric(
            "controller_in_quorum",
            "Whether this controller is in contact with a quorum and lacks nothing committed.",
            core.in_quorum(now),
        ),
        Metric("controller_is_voter", "Whether this controller votes.", core.is_voter),
        Metric("controller_configuration_version", "The newest committed configuration.", own),
        Metric("controller_pooler_sessions", "Poolers in session here.", len(sessions.links)),
        Metric("controller_poolers", "Poolers in session anywhere.", core.members.count(now)),
        Metric(
            "controller_oldest_pooler_configuration_version",
            "The oldest configuration that a pooler in session here holds.",
            min(held, default=own),
        ),
        Metric(
            "controller_peers_heard",
            "Other controllers that are heard.",
            sum(core.is_alive(peer, now) for peer in core.peer_addresses()),
        ),
    ]
