"""syncAcks 1: a replica that leaves by DELETE first still holds commits alone when the primary crashes."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins as s  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1")  # 0: nothing; crash, leave: one of the two alone
WRITERS, LEAVE_AT, CRASH_AFTER, WATCH_S = 12, 4.0, 2.0, 12.0


async def writer(number, fleet, record, acknowledged, over):
    """Single writes, one after the other; a try that fails is not repeated, the next one is new."""
    client, count = None, 0
    while not over.is_set():
        if client is None:
            client = s.Client(fleet, number % 3 + 1, "tiles")
            if not await client.open():
                client = None
                await asyncio.sleep(0.2)
                continue
        count += 1
        write = f"t{number} w{number}-{count}"
        statement, lines = await client.ask(f"PUT {write}")
        answer = next((line for line in lines if line and not line.startswith("ROW")), "(no answer)")
        record.note(f"client {number}: sent {statement} PUT {write}, answered {answer}")
        if answer.startswith("DONE ") and lines[-1]:
            acknowledged[write] = record.now()
        elif lines[-1] is None or "READY I" not in lines[-1]:
            client.close()
            client = None
        await asyncio.sleep(random.uniform(0.005, 0.02) if answer.startswith("DONE") else 0.2)


async def case(record, make_fleet):
    # two zones of one region and one of another, as the grown deployments have them
    zones = {"cairo-abb": "cairo", "cairo-hlw": "cairo", "aswan-sd": "aswan"}
    fleet = make_fleet(zones)
    service = s.Service(fleet, record, sync_acks=1)
    service.servers = [
        s.Server(service, 1, "cairo-abb", "primary"),
        s.Server(service, 2, "cairo-hlw", "replica"),
        s.Server(service, 3, "aswan-sd", "replica"),
    ]
    primary, leaver, other = service.servers
    platform = await service.platform()
    fleet.start_all()
    for server in service.servers:
        await server.start()
    configuration = {
        "ver": 1,
        "routes": [s.route("r1", "tiles", service.name)],
        "svcs": [s.service_entry(service.name, sync_acks=1)],
        "limits": s.LIMITS,
    }
    assert await s.put_configuration(fleet, record, configuration), "no configuration"
    assert await s.until_ready(fleet, record), "not ready"
    acknowledged, over = {}, asyncio.Event()
    tasks = [asyncio.create_task(writer(n, fleet, record, acknowledged, over)) for n in range(WRITERS)]
    await asyncio.sleep(LEAVE_AT)
    assert len(acknowledged) > 100, "writes are not served"
    end_at = None
    if TROUBLE in ("1", "leave"):
        # "Some never say draining: they send DELETE first, serve on as long, and end."
        leaver.beats = False
        deleted_at = await leaver.say_delete()
        assert deleted_at is not None, "DELETE was not acknowledged"
        record.note(f"server {leaver.name}: DELETE acknowledged, it serves on", True)
        end_at = deleted_at + fleet.bounds["drainMs"] / 1000 + 1.0
    await asyncio.sleep(CRASH_AFTER)
    crashed_at = None
    if TROUBLE in ("1", "crash"):
        crashed_at = record.now()
        record.note(f"server {primary.name}: crashes; logs: " + ", ".join(f"{one.name} {one.position}" for one in service.servers), True)
        primary.crash()
    stop = record.now() + WATCH_S
    while record.now() < stop:
        if end_at is not None and record.now() >= end_at and leaver.running:
            record.note(f"server {leaver.name}: its planned end, log to {leaver.position}", True)
            leaver.crash()
            if leaver.role == "replica":  # "Its log goes to a new backend at its address."
                heir = s.Server(service, 2, leaver.zone, "replica")
                heir.log, heir.term = list(leaver.log), leaver.term
                service.servers.append(heir)
                await heir.start()
        await asyncio.sleep(0.1)
    over.set()
    await asyncio.gather(*tasks)
    platform.close()
    lost = []
    for moment, target, log in service.promotions:
        held = {write for _term, _number, writes in log for write in writes}
        missing = [write for write, at in acknowledged.items() if at < (crashed_at or moment) and write not in held]
        record.note(f"promoted: {target.name} with {len(log)} commits, lacks {len(missing)} of those acknowledged", True)
        for write in missing:
            record.note(f"LOST: PUT {write}, acknowledged at {acknowledged[write]:.3f}")
        lost += missing
    record.note(f"acknowledged {len(acknowledged)}, promotions {len(service.promotions)}, lost {len(lost)}", True)
    if lost:
        return 1
    if TROUBLE == "0":
        return 0 if not service.promotions else 2
    return 0


if __name__ == "__main__":
    sys.exit(s.play(FOLDER, case))
