"""A pooler's own state, for the admin API."""

from sumacloom.release import release
from sumacloom.transport.update_cache import (
    body_checksum,
    pool_modes_checksum,
    subscribers_checksum,
)


def report_of(core, controller_session, now: float) -> dict:
    """The pooler's row and its rotation's rows."""
    settings, pools = core.settings, core.pools
    digest = controller_session.cache.digest()
    pooler = {
        "node": settings.node,
        "zone": settings.zone,
        "ready": core.ready,
        "leaving": core.leaving,
        "blueprint": core.configuration.ver if core.configuration else 0,
        "body": body_checksum(controller_session.cache.compressed),
        "evacuations": digest.zone_drains,
        "lanes": ",".join(sorted(core.priority_databases)),
        "lanes_held": digest.priority,
        "listeners": digest.subscribers,
        "listeners_digest": subscribers_checksum(controller_session.cache.subscribers),
        "unnoted": len(core.delivery.unacknowledged),
        "parent": controller_session.relays.parent_address or "registrar",
        "access": core.access_control.access.version if core.access_control.access else 0,
        "access_held": digest.access,
        "pooling": digest.pool_modes,
        "pooling_digest": pool_modes_checksum(controller_session.cache.pool_modes),
        "registrar": controller_session.controller_address,
        "sessions": len(core.sessions),
        "waiting": core.scheduler.waiting_count(),
        "wires": len(core.connections),
        "release": release(),
    }
    replica_health = [
        {
            "node": settings.node,
            "service": service_pool.name,
            "backend": backend.name,
            "leads": backend.role == "primary",
            "state": replica.state
            if replica
            else ("leads" if backend.role == "primary" else "unseen"),
            "position": str(replica.position) if replica else "-",
            "behind": replica.lag if replica else 0,
            "seen_ms": round((now - replica.seen_at) * 1000)
            if replica and replica.seen_at is not None
            else -1,
            "wires": len(backend.connections),
            "idle": len(backend.idle),
        }
        for service_pool in pools.service_pools.values()
        for backend in service_pool.backends.values()
        for replica in [service_pool.replica_health.replicas.get(backend.name)]
    ]
    return {
        "counter": pooler,
        "rotation": replica_health,
        "access": core.access_control.rows(settings.node),
        "sharing": [
            {"node": settings.node, **row} for row in core.pool_modes.report(core.sessions.values())
        ],
    }
