"""A counter's own state, for the admin API."""

from sumacloom.transport.update_cache import body_digest, list_digest, pool_digest


def report_of(floor, member, now: float) -> dict:
    """The counter's row and its rotation's rows."""
    settings, yard = floor.settings, floor.yard
    digest = member.board.digest()
    counter = {
        "node": settings.node,
        "zone": settings.zone,
        "ready": floor.ready,
        "leaving": floor.leaving,
        "blueprint": floor.blueprint.ver if floor.blueprint else 0,
        "body": body_digest(member.board.packed),
        "evacuations": digest.evacuations,
        "lanes": ",".join(sorted(floor.lanes)),
        "lanes_held": digest.lanes,
        "listeners": digest.listeners,
        "listeners_digest": list_digest(member.board.listeners),
        "unnoted": len(floor.spooling.unnoted),
        "parent": member.parent_address or "registrar",
        "access": floor.gate.access.generation if floor.gate.access else 0,
        "access_held": digest.access,
        "pooling": digest.pooling,
        "pooling_digest": pool_digest(member.board.pool_rows),
        "registrar": member.attached,
        "sessions": len(floor.sessions),
        "waiting": sum(map(len, floor.waitlists.values())),
        "wires": len(floor.wires),
    }
    rotation = [
        {
            "node": settings.node,
            "service": ground.name,
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
            "wires": len(backend.wires),
            "idle": len(backend.idle),
        }
        for ground in yard.grounds.values()
        for backend in ground.backends.values()
        for replica in [ground.rotation.replicas.get(backend.name)]
    ]
    return {
        "counter": counter,
        "rotation": rotation,
        "access": floor.gate.rows(settings.node),
        "sharing": [
            {"node": settings.node, **row} for row in floor.pooling.report(floor.sessions.values())
        ],
    }
