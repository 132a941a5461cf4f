"""The failover duty: won by ballots on its register when it falls vacant."""

from sumacloom.controller.registers.values import DutyValue, claim_duty, decode, encode
from sumacloom.errors import Err, Ok, mishap
from sumacloom.logs import Scribe

scribe = Scribe("duties")
DUTY = "duty/failover"
WARM_UP_S = 1.1
STAGGER_S = 0.3


def vacant(office, now: float) -> bool:
    """Whether the duty has nobody: no holder yet, an earlier life of ours, or one a majority can't hear."""
    duty, configuration = office.duty, office.acceptor.configuration
    living = [peer for peer in configuration.members if office.alive(peer, now)]
    if not configuration.has_quorum(living) or now - office.started_at < WARM_UP_S:
        return False
    if duty is None or not duty.holder:
        return True
    if duty.holder == office.me:
        return duty.nonce != office.nonce
    if duty.holder not in configuration.members:
        return True
    if office.alive(duty.holder, now):
        return False
    deaf = [
        peer
        for peer in living
        if peer == office.me or duty.holder not in office.peers[peer][1].hears
    ]
    return configuration.has_quorum(deaf)


def mind_duty(office, now: float) -> None:
    """Stands for the duty when it falls vacant, the registrars one after the other."""
    if not vacant(office, now) or now < office.unfit_until:
        office.duty_vacant_since = None
        return
    if office.duty_vacant_since is None:
        office.duty_vacant_since = now
    holder = office.duty.holder if office.duty else ""
    line = [
        peer
        for peer in office.acceptor.configuration.members
        if office.alive(peer, now) and peer != holder
    ]
    place = 0 if holder == office.me else line.index(office.me)
    busy = any(proposal.key == DUTY for proposal in office.proposals)
    if not busy and now - office.duty_vacant_since >= STAGGER_S * place:
        office.propose(DUTY, claim_duty(office.me, office.nonce, office.duty), now)


def is_ours(office) -> bool:
    """Whether this life of this registrar is the holder, as far as it knows."""
    return (
        office.duty is not None
        and office.duty.holder == office.me
        and office.duty.nonce == office.nonce
    )


def holds_duty(office, now: float) -> bool:
    """Whether this registrar may act; any doubt says no."""
    return is_ours(office) and office.votes and office.heard_majority(now)


def give_up_duty(office, now: float, rest_s: float = 6.0) -> None:
    """Lays the duty down because the platform can't be reached from here."""
    mine = office.duty
    office.unfit_until = now + rest_s
    scribe.warn("the platform can't be reached from here: laying the failover duty down")

    def change(current):
        if decode(DutyValue, current) != mine:
            return Err(mishap("stale_match"))
        return Ok(encode(DutyValue("", mine.fence, 0)))

    office.propose(DUTY, change, now)
