"""What the clock does to a write whose intent no controller took in time."""

from sumacloom.pooler import completion
from sumacloom.pooler.delivery import HOLD_S
from sumacloom.pooler.stage_timers import stage


@stage("spooling")
def check_spooling(core, pending, now: float) -> None:
    """No controller took the intent in time: the write was not sent, and the client hears so."""
    if now - pending.sent_at < HOLD_S and now < pending.deadline:
        return
    connection, transaction = pending.connection, pending.transaction
    if transaction:
        completion.fail_transaction(core, pending, "ROLLEDBACK", now)
    else:
        completion.finish(core, pending, ["ERR BUSY not run; come back in 500 ms"], now)
        completion.release(core, connection, now)
