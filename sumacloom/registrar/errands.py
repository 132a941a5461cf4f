"""Runs the commands of plans: texts for backends over a wire of their own, calls to the platform."""
import curio

from ..agreement.values import claim_duty
from ..common.http import call
from ..common.lines import LineSplitter, encode
from ..common.logs import Scribe
from ..common.settings import split_address
from ..courier.links import dial
from ..courier.messages import Pending
from . import duties
from .failover import Announce, Ask, Doubt, Fence, Look, Promote, Rest, Row, read_row

scribe = Scribe("failover")
ASK_CUTOFF_S = 0.7
PROBE_CUTOFF_S = 0.3
OTHERS_S = 0.15       # how long the rest of a batch is waited for once one has answered
PROMOTE_CUTOFF_S = 1.2
STOOD_STILL_S = 0.6

RUNNERS = {}


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
async def run_ask(shell, command: Ask, cutoff_s: float = ASK_CUTOFF_S) -> Row | str | None:
    """One text for one backend: its row, an error code, REFUSED if nothing listens there, or None for silence.

    >>> RUNNERS[Ask] is run_ask
    True
    """
    address = split_address(command.backend.address)
    try:
        async with curio.timeout_after(cutoff_s):
            sock = await dial(*address)
            async with sock:
                splitter = LineSplitter()
                await sock.sendall(encode(
                    f"LOGIN {command.backend.service} {shell.settings.node} {command.backend.name}"))
                line = (await read_lines(sock, splitter, ("READY", "ERR")))[-1]
                if line.startswith("ERR"):
                    return line.split(" ")[1]
                if not command.text:
                    return "READY"
                await sock.sendall(encode(f"QUERY - {command.text}"))
                lines = await read_lines(sock, splitter, ("DONE", "ERR"))
                await sock.sendall(encode("QUIT"))
    except ConnectionRefusedError:
        return "REFUSED"
    except ConnectionResetError:
        return "RESET"           # it took the connection before it ended it: crowded, not dead
    except (OSError, curio.TaskTimeout, IndexError):
        return None
    if lines[-1].startswith("ERR"):
        return lines[-1].split(" ")[1]
    rows = [read_row(line[4:]) for line in lines if line.startswith("ROW ")]
    return rows[0] if rows else None


async def read_lines(sock, splitter: LineSplitter, ends: tuple) -> list[str]:
    """Reads lines up to one that starts with a word of `ends`.

    >>> read_lines.__name__
    'read_lines'
    """
    lines = []
    while not any(line.split(" ")[0] in ends for line in lines):
        data = await sock.recv(65536)
        if not data:
            raise OSError("the backend closed the wire")
        lines += splitter.feed(data)
    return [line for line in lines if line.split(" ")[0] in (*ends, "ROW")]


@runs(Promote)
async def run_promote(shell, command: Promote) -> int:
    """Tells the platform which backend takes over; the status, or 0 for silence.

    >>> RUNNERS[Promote] is run_promote
    True
    """
    address = split_address(shell.settings.cloud.addr)
    duty = shell.office.duty
    headers = (("X-Holder", shell.settings.node), ("X-Fence", str(duty.fence)))
    body = b'{"svc":"%s","id":"%s"}' % (command.service.encode(), command.backend.encode())
    path = "/promote"
    status, _headers, _body = await call(dial, address, "POST", path, body, headers, PROMOTE_CUTOFF_S)
    scribe.say("the platform answered %d to the promotion of %s for %s", status, command.backend, command.service)
    return status


@runs(Announce)
async def run_announce(shell, command: Announce) -> None:
    """Word to all counters, by way of their registrars.

    >>> RUNNERS[Announce] is run_announce
    True
    """
    shell.announce(Pending(command.service, command.seconds))
    shell.office.tell_all(Pending(command.service, command.seconds))
    await shell.act()


@runs(Fence)
async def run_fence(shell, command: Fence) -> bool:
    """The duty anew: the same holder, a higher fence.

    >>> RUNNERS[Fence] is run_fence
    True
    """
    office = shell.office
    result = await shell.decide(duties.DUTY, claim_duty(office.me, office.nonce, office.duty))
    return result.is_ok()


@runs(Look)
async def run_look(shell, command: Look) -> set:
    """Who is there now.

    >>> RUNNERS[Look] is run_look
    True
    """
    return {record.name for record in shell.office.board.records.values()
            if record.service == command.service and record.phase != "gone" and record.role != "primary"}


@runs(Doubt)
async def run_doubt(shell, command: Doubt) -> None:
    """An unclear call: the next plan begins with a higher fence.

    >>> RUNNERS[Doubt] is run_doubt
    True
    """
    shell.doubts.add(command.service)


@runs(Rest)
async def run_rest(shell, command: Rest) -> None:
    """A pause.

    >>> RUNNERS[Rest] is run_rest
    True
    """
    await curio.sleep(command.seconds)


async def run_batch(shell, commands: list) -> dict:
    """Runs commands side by side; gives each one's outcome.

    Once a backend has answered, the silent ones are waited for a little only, but for patient commands.

    >>> run_batch.__name__
    'run_batch'
    """
    outcomes = dict.fromkeys(commands)

    tasks = {command: await curio.spawn(RUNNERS[type(command)], shell, command) for command in commands}
    first_at = None
    while any(not task.terminated for task in tasks.values()):
        if first_at is None and any(
                task.terminated and isinstance(task.result, Row) for task in tasks.values()):
            first_at = shell.now()
        patient = any(not task.terminated for command, task in tasks.items() if isinstance(command, Ask) and command.patient)
        if not patient and first_at is not None and shell.now() - first_at >= OTHERS_S:
            break
        await curio.sleep(0.01)
    for command, task in tasks.items():
        if task.terminated:
            outcomes[command] = await task.join()
        else:
            await task.cancel()
    return outcomes


async def run_plan(shell, plan):
    """Walks a plan to its end; gives what it returns. Stops if the duty is lost.

    >>> run_plan.__name__
    'run_plan'
    """
    try:
        commands = next(plan)
        while True:
            stood_still = shell.now() - shell.ticked_at > STOOD_STILL_S     # frozen and woken: the duty may have moved on
            if stood_still or not duties.holds_duty(shell.office, shell.now()):
                plan.close()
                return None
            commands = plan.send(await run_batch(shell, commands))
    except StopIteration as end:
        return end.value
