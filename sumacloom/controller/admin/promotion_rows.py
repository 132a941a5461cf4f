"""Tables of decided promotions, and of services that wait for a log that none of them left behind."""

from typing import Any

from sumacloom.controller.failover.held_back import HeldBackLogs
from sumacloom.controller.registers.promotions import PromotionsValue


def promotion_rows(promotions: PromotionsValue) -> list[dict[str, Any]]:
    """The promotions that are remembered, of each service the oldest first; `led` 0 is one not confirmed."""
    return [
        {
            "service": service,
            "backend": promotion.backend,
            "position": str(promotion.position),
            "led": promotion.led_term,
        }
        for service, history in sorted(promotions.services.items())
        for promotion in history
    ]


def held_back_rows(held_back: HeldBackLogs, node: str, now: float) -> list[dict[str, Any]]:
    """The services that wait at this controller, the lease's holder."""
    return [
        {
            "node": node,
            "service": service,
            "backends": ",".join(held.backends),
            "waits_ms": round((now - held.since) * 1000),
        }
        for service, held in sorted(held_back.services.items())
    ]
