"""The task that waits for a registrar's disk; one at a time."""

import curio

from sumacloom.consensus.storage import FIRST_PAUSE_S
from sumacloom.logs import Scribe

scribe = Scribe("registrar")
DISK_PAUSE_S = 0.25


async def sync_disk(shell) -> None:
    """Syncs what waits, batch after batch; a disk that hangs or refuses holds up votes and nothing else.

    A snapshot that is refused holds nothing up until the log is crowded: then no more is written before there is
    one, so that the log can't fill the disk.
    """
    storage = shell.office.storage
    while storage.batches:
        await snapshot_if_due(shell)
        if storage.ledger.crowded:
            if not shell.disk_ill:
                scribe.warn(
                    "the log is as long as it may be, no votes until the disk takes a snapshot"
                )
            shell.disk_ill = True
            await curio.sleep(DISK_PAUSE_S)
            continue
        batches = storage.take()
        try:
            await curio.run_in_thread(storage.sync, batches)
        except OSError as error:
            if not shell.disk_ill:
                scribe.warn("the disk refuses writes, no votes until it takes them: %s", error)
            shell.disk_ill = True
            await curio.sleep(DISK_PAUSE_S)
            continue
        if shell.disk_ill:
            scribe.say("the disk takes writes again")
        shell.disk_ill = False
        shell.office.written(batches, shell.now())
        shell.syncing = False  # what follows may be written by a task of its own
        await shell.act()
        if shell.syncing:
            return
        shell.syncing = True
    shell.syncing = False


async def snapshot_if_due(shell) -> None:
    """Replaces a full log by a snapshot; a disk that refuses is asked again after a growing pause.

    What is in memory and not yet synced is in the snapshot too, and appended after it: no reply to it has left.
    """
    storage = shell.office.storage
    if not storage.snapshot_due(shell.now()):
        return
    ill = storage.pause_s > FIRST_PAUSE_S
    try:
        await curio.run_in_thread(storage.ledger.snapshot, shell.office.whole())
    except OSError as error:
        if not ill:
            scribe.warn("the disk refuses a snapshot, the log grows until it takes one: %s", error)
        storage.snapshot_refused(shell.now())
    else:
        if ill:
            scribe.say("the disk takes snapshots again")
        storage.snapshot_taken()
