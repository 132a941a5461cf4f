"""What the clock does to a write whose intent no registrar took in time."""

from . import moves
from .spooling import HOLD_S
from .upkeep_stages import stage


@stage("spooling")
def check_spooling(floor, errand, now: float) -> None:
    """No registrar took the intent in time: the write was not sent, and the client hears so."""
    if now - errand.ran_at < HOLD_S and now < errand.cutoff:
        return
    wire, transaction = errand.wire, errand.transaction
    if transaction:
        moves.fail_transaction(floor, errand, "ROLLEDBACK", now)
    else:
        moves.finish(floor, errand, ["ERR BUSY not run; come back in 500 ms"], now)
        moves.release(floor, wire, now)
