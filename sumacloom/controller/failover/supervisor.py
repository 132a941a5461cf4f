"""The failover duty at work: probes of suspected primaries, and the plans that services need."""

import curio

from sumacloom.controller.failover import lease, lease_confirmation
from sumacloom.controller.failover.executor import PROBE_CUTOFF_S, Doubted, run_ask, run_plan
from sumacloom.controller.failover.plans import Ask, draw_plan
from sumacloom.controller.registers.values import DutyValue, decode
from sumacloom.logs import Scribe

scribe = Scribe("registrar")
PROBE_S = 0.2
DARK_S = 0.15
LEAD_S = 2.5  # how long a promoted backend may take to say that it leads
LOOK_S = 0.05


def may_act(shell) -> bool:
    """Whether the failover duty is ours at this moment."""
    return lease.holds_duty(shell.office, shell.now())


async def probe(shell, record) -> None:
    """Tries a suspected primary from here."""
    roster, started = shell.office.roster, shell.now()
    outcome = await run_ask(shell, Ask(record, ""), cutoff_s=PROBE_CUTOFF_S)
    if outcome not in (None, "REFUSED", "WRONGHOST"):
        roster.probed.pop(record.name, None)
    elif roster.probed.setdefault(record.name, started) == started:
        scribe.say("the primary %s can't be reached from here", record.name)
        shell.office.tell_all(shell.office.peer_beat(shell.now()))
    await curio.sleep(PROBE_S)
    shell.probing.discard(record.name)


async def mind_backends(shell, now: float) -> None:
    """Probes suspected primaries; as holder of the duty, starts the plans that services need."""
    office = shell.office
    roster, records = office.roster, office.board.records
    for name in [
        name for name in roster.probed if name not in records or records[name].phase == "gone"
    ]:
        del roster.probed[name]
    for name in roster.suspects(shell.settings.beat_ms / 1000, now):
        if name not in shell.probing:
            shell.probing.add(name)
            await curio.spawn(probe, shell, records[name], daemon=True)
    if not may_act(shell):
        return
    if shell.duty_known != (office.duty.holder, office.duty.nonce):
        # what an earlier holder left unfinished may yet land; the very first holder has none before it
        shell.duty_known = (office.duty.holder, office.duty.nonce)
        shell.doubts = dict.fromkeys(
            {record.service for record in records.values()} if office.duty.fence > 1 else set(),
            Doubted(office.duty.fence - 1, lease_confirmation.first_call_at(office)),
        )
    if now < lease_confirmation.first_call_at(office):
        return
    services = {}
    for record in records.values():
        services.setdefault(record.service, []).append(record)
    known = (
        {service.name: service for service in office.board.blueprint.svcs}
        if office.board.blueprint
        else {}
    )
    voters = len(office.acceptor.configuration.new)
    for service, members in services.items():
        if any(record.role == "primary" and record.phase != "gone" for record in members):
            shell.nobody_since.pop(service, None)
        else:
            shell.nobody_since.setdefault(service, now)
        if service in shell.plans or service not in known:
            continue
        drawn = draw_plan(
            service,
            members,
            office.board.zones,
            lambda name: roster.dark_since(name, voters, now),
            known[service].sync_acks,
            now,
            DARK_S,
            shell.nobody_since.get(service),
            service in shell.doubts,
        )
        if drawn:
            shell.plans[service] = drawn[0]
            await curio.spawn(carry_out, shell, service, *drawn, daemon=True)


async def carry_out(shell, service: str, name: str, plan) -> None:
    """Runs one plan, after a majority has confirmed that the duty is ours."""
    try:
        asked = await lease_confirmation.ask(shell)
        holding, result = lease_confirmation.Holding(shell.office.duty, asked), asked[1]
        if (
            result.is_err()
            or decode(DutyValue, result.ok()[1]) != holding.duty
            or not may_act(shell)
        ):
            await curio.sleep(0.2)
            return
        scribe.say("%s for %s begins", name, service)
        doubtful = service in shell.doubts
        leads = await run_plan(shell, plan, holding)
        if leads and doubtful:
            shell.doubts.pop(service, None)
        scribe.say("%s for %s ended, %s leads", name, service, leads or "nobody new")
        shell.misses[service] = 0 if leads else shell.misses.get(service, 0) + 1
        if not leads:
            await curio.sleep(min(1.0, 0.1 * 2 ** shell.misses[service]))
        started = shell.now()
        while leads and shell.now() - started < LEAD_S:
            record = shell.office.board.records.get(leads)
            if record is None or record.role == "primary":
                break
            await curio.sleep(LOOK_S)
    finally:
        shell.plans.pop(service, None)
