"""The task that syncs a controller's writes to its disk; one at a time."""

import logging
from typing import TYPE_CHECKING

import curio

from sumacloom.consensus.storage import FIRST_RETRY_S

if TYPE_CHECKING:
    from sumacloom.controller.process import ControllerProcess

logger = logging.getLogger(__name__)

RETRY_S = 0.25


class DiskWriter:
    """Syncs what is queued, batch after batch; a disk that hangs or refuses holds up votes and nothing else.

    Attributes:
        failing: whether the disk refuses writes, so that no vote leaves.
    """

    def __init__(self, process: "ControllerProcess"):
        self._process = process
        self._running = False
        self.failing = False

    async def start(self) -> None:
        """Starts the task if there is something to write and it is not running."""
        if self._process.core.storage.batches and not self._running:
            self._running = True
            await curio.spawn(self.run, daemon=True)

    async def run(self) -> None:
        """Writes until nothing is queued.

        A snapshot that is refused holds nothing up until the log must be replaced: then no more is
        written before there is one, so that the log can't fill the disk.
        """
        storage = self._process.core.storage
        self._running = True
        while storage.batches:
            await self.snapshot_if_due()
            if storage.wal.must_snapshot:
                self._set_failing(
                    "no votes until the disk takes a snapshot: the log is at its limit"
                )
                await curio.sleep(RETRY_S)
                continue
            batches = storage.pending_batches()
            try:
                await curio.run_in_thread(storage.sync, batches)
            except OSError as error:
                self._set_failing(f"no votes until the disk takes writes: {error}")
                await curio.sleep(RETRY_S)
                continue
            if self.failing:
                logger.info("the disk takes writes again")
            self.failing = False
            self._process.core.handle_synced(batches, self._process.now())
            self._running = False  # what follows may be written by a task of its own
            await self._process.flush()
            if self._running:
                return
            self._running = True
        self._running = False

    def _set_failing(self, why: str) -> None:
        if not self.failing:
            logger.warning("%s", why)
        self.failing = True

    async def snapshot_if_due(self) -> None:
        """Replaces a long log by a snapshot; a disk that refuses is asked again after a growing delay.

        What is in memory and not yet synced is in the snapshot too, and appended after it: no reply that
        depends on it has left.
        """
        storage, process = self._process.core.storage, self._process
        if not storage.snapshot_due(process.now()):
            return
        repeated = storage.retry_s > FIRST_RETRY_S
        try:
            await curio.run_in_thread(storage.wal.snapshot, process.core.snapshot_records())
        except OSError as error:
            storage.snapshot_refused(process.now())
            if not repeated:
                logger.warning("the disk refuses a snapshot, the log grows meanwhile: %s", error)
        else:
            storage.snapshot_taken()
            if repeated:
                logger.info("the disk takes snapshots again")
