"""What follows when a wire is lost: resent where that is safe, else the truth about what may have run."""

from sumacloom.pooler.completion import drop, fail_transaction, finish, refuse
from sumacloom.pooler.pending_statement import Errand
from sumacloom.pooler.session import Transaction

MOST_READ_SENDS = 3


def wire_lost(floor, wire, why: str, now: float, report: bool = True) -> None:
    """A wire is gone: its errand is sent again, or told the truth about what may have run."""
    if wire.key not in floor.wires:
        return
    was_idle = wire.open and wire.owner is None and not wire.expected
    drop(floor, wire)
    backend = floor.yard.backends.get(wire.backend)
    if (
        backend
        and report
        and wire.login_sent
        and not wire.open
        and any(other.open for other in backend.wires.values())
    ):
        floor.yard.note_crowd(
            backend, now
        )  # it took the connection and ended it, while others stand
    elif backend and report and not was_idle:
        floor.yard.note_mishap(backend, now)
        floor.mishaps.append(wire.backend)
    owner = wire.owner
    wire.owner = None
    if isinstance(owner, Transaction):
        owner.failed, owner.wire = "ROLLEDBACK", None
    elif isinstance(owner, Errand):
        errand_lost(floor, owner, now, wire.doubtful)


def backend_silent(floor, wire, why: str, now: float) -> None:
    """A wire left our own texts unanswered: the backend is dark, and its idle wires are no better."""
    backend = floor.yard.backends.get(wire.backend)
    for idle in list(backend.idle) if backend else []:
        drop(floor, idle)
    wire_lost(floor, wire, why, now)


def errand_lost(floor, errand, now: float, doubtful: bool = False) -> None:
    """The wire of an errand is gone; doubtful says that its backend no longer knew of the transaction."""
    transaction, stage = errand.transaction, errand.stage
    errand.wire = None
    if transaction:
        transaction.wire = None
    if errand.session.closed:
        floor.end_errand(errand)
        return
    fresh = transaction is None or not transaction.ran
    harmless = stage == "setup" or (errand.only_reads and errand.sends < MOST_READ_SENDS)
    if doubtful and transaction and stage == "run" and errand.statement.sort != "commit":
        transaction.doubtful = True
        fail_transaction(floor, errand, "UNKNOWN", now)
    elif fresh and harmless and now < errand.hold_until:
        floor.enlist(errand, now)
    elif transaction and (errand.statement.sort != "commit" or stage != "run"):
        fail_transaction(floor, errand, "ROLLEDBACK", now)
    else:
        tell_truth(floor, errand, now)


def tell_truth(floor, errand, now: float) -> None:
    """The final word on an errand outside a living transaction: a promise only if nothing ran."""
    if errand.stage != "run":
        refuse(floor, errand, now)
    elif errand.only_reads:
        finish(floor, errand, ["ERR FAIL the backend was lost"], now)
    else:
        errand.session.transaction = None
        finish(floor, errand, ["ERR UNKNOWN the backend was lost; it may have run"], now)


def errand_ended(floor, errand, now: float) -> None:
    """This process is about to end: nothing asked stays without a word."""
    if errand.transaction and not (errand.statement.sort == "commit" and errand.stage == "run"):
        fail_transaction(floor, errand, "ROLLEDBACK", now)
    else:
        tell_truth(floor, errand, now)
