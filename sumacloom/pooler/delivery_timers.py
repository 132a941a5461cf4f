"""What the clock does to a write whose intent no registrar took in time."""

from sumacloom.pooler import completion
from sumacloom.pooler.delivery import HOLD_S
from sumacloom.pooler.stage_timers import stage


@stage("spooling")
def check_spooling(floor, errand, now: float) -> None:
    """No registrar took the intent in time: the write was not sent, and the client hears so."""
    if now - errand.ran_at < HOLD_S and now < errand.cutoff:
        return
    wire, transaction = errand.wire, errand.transaction
    if transaction:
        completion.fail_transaction(floor, errand, "ROLLEDBACK", now)
    else:
        completion.finish(floor, errand, ["ERR BUSY not run; come back in 500 ms"], now)
        completion.release(floor, wire, now)
