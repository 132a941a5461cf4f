"""How many connections a pooler may hold to a backend: its fair share of what the backend takes."""

from sumacloom.configuration.model import Configuration, Service
from sumacloom.pooler.pending_statement import PendingStatement
from sumacloom.pooler.service_pool import Backend

BACKOFF_S, MAX_BACKOFF_S = 0.15, 1.2  # between dials to a backend that can't be reached
DIALS_IN_TIMEOUT = 4  # so often a backend that is back may be found while a statement waits for it
SHARE_OF_MAXCONN = 0.7
DEFAULT_MAXCONN = 32
MAX_CONNECTIONS = 32
UNCONTENDED_CONNECTIONS = 4  # more than a fair share, as long as the backend does not mind
CROWD_S = (
    5.0  # so long after a backend refused a connection for their number, no more than the share
)
UNKNOWN_MEMBERS = 8  # poolers assumed until a controller tells their number
MEMBERS_S = 10.0
PACKED_S = 5.0  # so long after a statement in statement mode a connection is kept for the next


class ConnectionLimits:
    """The part of `ServerPools` that knows the fleet's size and what services take.

    Attributes:
        services: the configuration's services, by name.
        shortest_timeout_s: by service, the shortest time-out of the routes to it.
        members: how many poolers share the backends.
        members_counted: whether the poolers have had the time to be counted.
    """

    def __init__(self) -> None:
        self.services: dict[str, Service] = {}
        self.shortest_timeout_s: dict[str, float] = {}
        self.members = UNKNOWN_MEMBERS
        self.members_counted = True
        self.members_seen: list[tuple[float, int]] = []

    def apply_services(self, configuration: Configuration) -> None:
        """Takes what a configuration says of services, and the time-outs of the routes to them.

        >>> from sumacloom.configuration.model import Route, Service
        >>> limits = ConnectionLimits()
        >>> limits.apply_services(Configuration(1, [Route("r", "db", "svc", tmo_ms=800)], [Service("svc")]))
        >>> limits.shortest_timeout_s
        {'svc': 0.8}
        """
        self.services = {service.name: service for service in configuration.svcs}
        self.shortest_timeout_s = {}
        for route in configuration.routes:
            shortest = self.shortest_timeout_s.get(route.svc, float("inf"))
            self.shortest_timeout_s[route.svc] = min(shortest, route.tmo_ms / 1000)

    def count_members(self, members: int, now: float) -> None:
        """Takes the member count; the most of the last seconds counts, since connections outlive their ends.

        >>> limits = ConnectionLimits(); limits.count_members(3, 0.0); limits.count_members(2, 1.0)
        >>> limits.members
        3
        """
        self.members_seen = [
            (seen, count) for seen, count in self.members_seen if now - seen < MEMBERS_S
        ]
        if not self.members_seen or self.members_seen[-1][1] != members:
            self.members_seen.append((now, members))
        else:
            self.members_seen[-1] = (now, members)
        self.members = max(count for _seen, count in self.members_seen)

    def fair_share(self, backend: Backend) -> float:
        """This pooler's fair share of the backend's connections; below 1 in a fleet larger than those.

        >>> limits = ConnectionLimits(); limits.members = 2; round(limits.fair_share(Backend("i-1", "svc")), 1)
        11.2
        """
        service = self.services.get(backend.service)
        return (
            (service.maxconn if service else DEFAULT_MAXCONN)
            * SHARE_OF_MAXCONN
            / max(1, self.members)
        )

    def connection_limit(self, backend: Backend, now: float) -> int:
        """How many connections this pooler may hold to the backend: its fair share, or a few more until told that the backend has too many.

        Until the members are counted it is a few: a fleet that starts at once would else take all of `maxconn` by
        whoever comes first.

        >>> limits = ConnectionLimits(); limits.members = 1; limits.connection_limit(Backend("i-1", "svc"), 0.0)
        22
        """
        fair = max(
            1,
            min(
                MAX_CONNECTIONS if self.members_counted else UNCONTENDED_CONNECTIONS,
                int(self.fair_share(backend)),
            ),
        )
        return fair if now < backend.connection_limit_until else max(fair, UNCONTENDED_CONNECTIONS)

    def record_connection_limit(self, backend: Backend, now: float) -> None:
        """The backend has more connections than it takes: everyone keeps to the fair share for a while.

        >>> backend = Backend("i-1", "s"); ConnectionLimits().record_connection_limit(backend, 1.0)
        >>> backend.connection_limit_until
        6.0
        """
        backend.connection_limit_until = now + CROWD_S
        backend.backoff_until = max(backend.backoff_until, now + BACKOFF_S)

    def is_last_connection(self, backend: Backend, now: float) -> bool:
        """Whether the one idle connection is all that is left under the cap: it is kept for the priority databases.

        >>> ConnectionLimits().is_last_connection(Backend("i-1", "svc"), 0.0)
        False
        """
        return len(backend.idle) == 1 and 1 < self.connection_limit(backend, now) <= len(
            backend.connections
        )

    def is_reserved(
        self, backend: Backend, pending: PendingStatement, priority_databases: bool, now: float
    ) -> bool:
        """Whether the last connection is not for this one: it is kept for the priority databases, or for sessions that share connections
        by the statement, which transactions with their pauses would else starve.
        """
        if pending.shares_connection:
            backend.statement_mode_at = now
        lacks_priority = priority_databases and not pending.prioritized
        packs = (
            not pending.shares_connection
            and pending.transaction is not None
            and now - backend.statement_mode_at < PACKED_S
        )
        return (lacks_priority or packs) and self.is_last_connection(backend, now)

    def max_backoff_s(self, backend: Backend) -> float:
        """The longest pause between two dials: who waits for the backend finds it when it is back.

        >>> limits = ConnectionLimits(); backend = Backend("i-1", "s")
        >>> limits.max_backoff_s(backend); limits.shortest_timeout_s["s"] = 1.0; limits.max_backoff_s(backend)
        1.2
        0.25
        """
        timeout_s = self.shortest_timeout_s.get(backend.service, MAX_BACKOFF_S * DIALS_IN_TIMEOUT)
        return min(MAX_BACKOFF_S, max(BACKOFF_S, timeout_s / DIALS_IN_TIMEOUT))
