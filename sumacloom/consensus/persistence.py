"""What a node puts on its disk, and how it opens what the disk kept."""

from sumacloom.consensus import storage


class OnDisk:
    """The part of a node that deals with its disk."""

    def open_acceptor(self):
        """The acceptor as the ledger left it; at the very first start, a new one."""
        ledger = self.storage.ledger
        opened = storage.open_acceptor(ledger.payloads, self.storage.others)
        if opened.is_err():
            raise storage.ForeignLedger(opened.err())
        if ledger.damaged and ledger.damaged.name == "ledger_foreign":
            raise storage.ForeignLedger(ledger.damaged)
        acceptor = opened.ok()
        acceptor.learned = acceptor.learned and not ledger.damaged
        for slot in [*acceptor.slots.values()]:
            self.ballots.saw(slot.promised)
        self.ballots.saw(acceptor.floor)
        records = storage.after_start(acceptor, self.settings, self.seeds, self.nonce, ledger.fresh)
        if records:
            self.storage.write(records)
        ledger.payloads = []
        return acceptor

    def write(self, keys: list[str], promise_only: bool = False) -> None:
        """Puts keys on their way to the disk."""
        if keys:
            self.storage.write(
                [storage.slot_record(self.acceptor, key, promise_only) for key in keys]
            )
            self.snapshot_if_full()

    def write_floor(self, keys: list[str]) -> None:
        """Puts the promise that holds for every key on its way to the disk."""
        self.storage.write(
            [
                storage.floor_record(self.acceptor),
                *(storage.slot_record(self.acceptor, key, True) for key in keys),
            ]
        )

    def write_all(self) -> None:
        """Puts everything on its way to the disk."""
        self.storage.write(self.whole(), whole=True)

    def snapshot_if_full(self) -> None:
        """Writes a snapshot when the segment is full and the disk is ours alone."""
        if self.storage.prompt and self.storage.ledger.full:
            self.storage.ledger.snapshot(self.whole())
