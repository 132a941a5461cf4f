"""What an office puts on its disk, and how it opens what the disk kept."""
from . import desk

KEEP_ROSTER_S = 1.0


class Keeping:
    """The part of an office that deals with its disk."""

    def open_acceptor(self):
        """The acceptor as the ledger left it; at the very first start, a new one.

        >>> Keeping.open_acceptor.__name__
        'open_acceptor'
        """
        ledger = self.desk.ledger
        opened = desk.open_acceptor(ledger.payloads, self.desk.others)
        if opened.is_err():
            raise desk.ForeignLedger(opened.err())
        acceptor = opened.ok()
        for slot in [*acceptor.slots.values()]:
            self.ballots.saw(slot.promised)
        self.ballots.saw(acceptor.floor)
        records = desk.after_start(acceptor, self.settings, self.seeds, self.nonce, ledger.fresh)
        if records:
            self.desk.write(records)
        ledger.payloads = []
        return acceptor

    def write(self, keys: list[str], promise_only: bool = False) -> None:
        """Puts keys on their way to the disk.

        >>> Keeping.write.__name__
        'write'
        """
        if keys:
            self.desk.write([desk.slot_record(self.acceptor, key, promise_only) for key in keys])
            self.capture_if_full()

    def write_floor(self, keys: list[str]) -> None:
        """Puts the promise that holds for every key on its way to the disk.

        >>> Keeping.write_floor.__name__
        'write_floor'
        """
        self.desk.write([desk.floor_record(self.acceptor), *(
            desk.slot_record(self.acceptor, key, True) for key in keys)])

    def write_all(self) -> None:
        """Puts everything on its way to the disk.

        >>> Keeping.write_all.__name__
        'write_all'
        """
        self.desk.write(desk.whole(self.acceptor))

    def whole(self) -> list[bytes]:
        """Everything, as a capture holds it.

        >>> Keeping.whole.__name__
        'whole'
        """
        return [*map(desk.encode, [*self.spool.records(), self.roster.record()]), *desk.whole(self.acceptor)]

    def keep_roster(self, now: float) -> None:
        """Keeps the backends on disk, so that after a loss of all power they need not be learned from beats.

        >>> Keeping.keep_roster.__name__
        'keep_roster'
        """
        if self.board.known_digest != self.kept_roster and now - self.kept_at >= KEEP_ROSTER_S:
            self.kept_roster, self.kept_at = self.board.known_digest, now
            self.desk.write_records([self.roster.record()])

    def capture_if_full(self) -> None:
        """Writes a capture when the segment is full and the disk is ours alone.

        >>> Keeping.capture_if_full.__name__
        'capture_if_full'
        """
        if self.desk.prompt and self.desk.ledger.full:
            self.desk.ledger.capture(self.whole())
