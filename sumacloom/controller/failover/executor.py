"""Runs the commands of plans: texts for backends over a wire of their own, calls to the platform."""

from typing import NamedTuple

import curio

from sumacloom.controller.failover import lease, lease_confirmation
from sumacloom.controller.failover.plans import (
    Announce,
    Ask,
    Fence,
    Look,
    Promote,
    Rest,
    Row,
    read_row,
)
from sumacloom.controller.registers.values import claim_duty
from sumacloom.http import call
from sumacloom.line_protocol import LineSplitter, encode
from sumacloom.logs import Scribe
from sumacloom.settings import split_address
from sumacloom.transport.link import dial
from sumacloom.transport.messages import Pending

scribe = Scribe("failover")
ASK_CUTOFF_S = 0.7
PROBE_CUTOFF_S = 0.3
OTHERS_S = 0.15  # how long the rest of a batch is waited for once one has answered
PROMOTE_CUTOFF_S = 1.2
STOOD_STILL_S = 0.6

RUNNERS = {}


class Doubted(NamedTuple):
    """A call for a service that may yet land: its fence, and until when.

    >>> Doubted(3, 1.5).fence
    3
    """

    fence: int
    until: float


def stood_still(shell, since: float) -> bool:
    """Whether this process was frozen at some point since: the duty, and all that was heard, may be out of date."""
    return shell.stood_still_at >= since or shell.now() - shell.ticked_at > STOOD_STILL_S


def note_tick(shell, now: float) -> None:
    """The clock ticks; a long gap since the last tick is remembered as a standstill."""
    if now - shell.ticked_at > STOOD_STILL_S:
        shell.stood_still_at = now
    shell.ticked_at = now


def runs(kind):
    """Registers what runs commands of a kind.

    >>> Ask in RUNNERS
    True
    """

    def register(function):
        RUNNERS[kind] = function
        return function

    return register


@runs(Ask)
async def run_ask(
    shell, command: Ask, _holding=None, cutoff_s: float = ASK_CUTOFF_S
) -> Row | str | None:
    """One text for one backend: its row, an error code, REFUSED if nothing listens there, or None for silence."""
    address, started = split_address(command.backend.address), shell.now()
    try:
        async with curio.timeout_after(cutoff_s):
            sock = await dial(*address)
            async with sock:
                splitter = LineSplitter()
                await sock.sendall(
                    encode(
                        f"LOGIN {command.backend.service} {shell.settings.node} {command.backend.name}"
                    )
                )
                line = (await read_lines(sock, splitter, ("READY", "ERR")))[-1]
                if line.startswith("ERR"):
                    return line.split(" ")[1]
                if not command.text:
                    return "READY"
                if shell.now() - started > cutoff_s:
                    return None  # we stood still: what the plan meant to say may be out of date
                await sock.sendall(encode(f"QUERY - {command.text}"))
                lines = await read_lines(sock, splitter, ("DONE", "ERR"))
                await sock.sendall(encode("QUIT"))
    except ConnectionRefusedError:
        return "REFUSED"
    except ConnectionResetError:
        return "RESET"  # it took the connection before it ended it: crowded, not dead
    except (OSError, curio.TaskTimeout, IndexError):
        return None
    if lines[-1].startswith("ERR"):
        return lines[-1].split(" ")[1]
    rows = [read_row(line[4:]) for line in lines if line.startswith("ROW ")]
    return rows[0] if rows else None


async def read_lines(sock, splitter: LineSplitter, ends: tuple) -> list[str]:
    """Reads lines up to one that starts with a word of `ends`."""
    lines = []
    while not any(line.split(" ")[0] in ends for line in lines):
        data = await sock.recv(65536)
        if not data:
            raise OSError("the backend closed the wire")
        lines += splitter.feed(data)
    return [line for line in lines if line.split(" ")[0] in (*ends, "ROW")]


@runs(Promote)
async def run_promote(shell, command: Promote, holding: lease_confirmation.Holding) -> int | None:
    """Tells the platform which backend takes over; the status, 0 for silence, None if the call never left.

    The duty is read at a majority while the connection is made, unless the plan began by a young reading; how old that reading is, and that the duty is still the
    plan's, is looked at once both are there, and nothing waits between that look and the call.
    From the moment it leaves the call counts as one that may yet land, until a clear answer is read: also where the
    plan ends meanwhile. The next plan then begins with a higher fence than that call's.
    """
    address = split_address(shell.settings.cloud.addr)
    headers = (("X-Holder", shell.settings.node), ("X-Fence", str(holding.duty.fence)))
    body = b'{"svc":"%s","id":"%s"}' % (command.service.encode(), command.backend.encode())
    left = []

    async def dial_confirmed(host: str, port: int):
        asking = await curio.spawn(lease_confirmation.ask, shell, holding, daemon=True)
        try:
            sock = await dial(host, port)
        except BaseException:
            await asking.cancel()
            raise
        try:
            if await lease_confirmation.confirm(shell, holding, await asking.join()):
                left.append(shell.doubts.get(command.service))
                shell.doubts[command.service] = Doubted(
                    holding.duty.fence, shell.now() + lease_confirmation.FLIGHT_S
                )
                return sock
        except BaseException:
            await sock.close()
            raise
        await sock.close()
        raise ConnectionAbortedError("the duty is not confirmed")

    pause = lease_confirmation.pause_of(
        shell.platform_calls, shell.settings.cloud.duty_per_s, shell.now()
    )
    shell.platform_calls.append(shell.now() + pause)
    if pause:
        await curio.sleep(pause)
    status, _headers, _body = await call(
        dial_confirmed, address, "POST", "/promote", body, headers, PROMOTE_CUTOFF_S
    )
    if 200 <= status < 300:
        shell.doubts.pop(command.service, None)
        shell.doubts.update({command.service: before for before in left if before})
    if not left:
        scribe.say(
            "no promotion of %s for %s: no connection, or the duty is not confirmed",
            command.backend,
            command.service,
        )
        return None
    scribe.say(
        "the platform answered %d to the promotion of %s for %s",
        status,
        command.backend,
        command.service,
    )
    return status


@runs(Announce)
async def run_announce(shell, command: Announce, _holding=None) -> None:
    """Word to all counters, by way of their registrars."""
    shell.announce(Pending(command.service, command.seconds))
    shell.office.tell_all(Pending(command.service, command.seconds))
    await shell.act()


@runs(Fence)
async def run_fence(shell, command: Fence, holding: lease_confirmation.Holding) -> bool:
    """The duty anew, the same holder with a higher fence, unless our fence is above the unclear call's already.

    Where the platform checks no fences, waits until that call can't land any more.
    """
    office = shell.office
    doubt = shell.doubts.get(command.service, Doubted(holding.duty.fence, -1e9))
    if not shell.settings.bounds.fencing and doubt.until > shell.now():
        await curio.sleep(doubt.until - shell.now())
    if lease.is_ours(office) and office.duty.fence <= doubt.fence:
        await shell.decide(lease.DUTY, claim_duty(office.me, office.nonce, office.duty))
    # whatever the answer was: what counts is which fence of ours is decided now
    if not lease.is_ours(office) or office.duty.fence <= doubt.fence:
        return False
    holding.move_on(office.duty)
    return True


@runs(Look)
async def run_look(shell, command: Look, _holding=None) -> set:
    """Who is there now."""
    return {
        record.name
        for record in shell.office.board.records.values()
        if record.service == command.service and record.phase != "gone" and record.role != "primary"
    }


@runs(Rest)
async def run_rest(shell, command: Rest, _holding=None) -> None:
    """A pause."""
    await curio.sleep(command.seconds)


async def run_batch(shell, commands: list, holding: lease_confirmation.Holding) -> dict:
    """Runs commands side by side; gives each one's outcome.

    Once a backend has answered, the silent ones are waited for a little only, but for patient commands.
    """
    outcomes = dict.fromkeys(commands)

    tasks = {
        command: await curio.spawn(RUNNERS[type(command)], shell, command, holding)
        for command in commands
    }
    first_at = None
    while any(not task.terminated for task in tasks.values()):
        if first_at is None and any(
            task.terminated and isinstance(task.result, Row) for task in tasks.values()
        ):
            first_at = shell.now()
        patient = any(
            not task.terminated
            for command, task in tasks.items()
            if isinstance(command, Ask) and command.patient
        )
        if not patient and first_at is not None and shell.now() - first_at >= OTHERS_S:
            break
        await curio.sleep(0.01)
    for command, task in tasks.items():
        if task.terminated:
            outcomes[command] = await task.join()
        else:
            await task.cancel()
    return outcomes


async def run_plan(shell, plan, holding: lease_confirmation.Holding):
    """Walks a plan to its end; gives what it returns. Stops if the duty is lost, or if we stood still meanwhile."""
    began_at = shell.now()
    try:
        commands = next(plan)
        while True:
            if stood_still(shell, began_at) or not lease.holds_duty(shell.office, shell.now()):
                plan.close()
                return None
            commands = plan.send(await run_batch(shell, commands, holding))
    except StopIteration as end:
        return end.value
