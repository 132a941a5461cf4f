"""A controller's link to a pooler in session here."""

from typing import Any

from sumacloom.controller.policy.access import StampQueue
from sumacloom.transport.link import Link
from sumacloom.types import NEVER


class PoolerLink(Link):
    """A link that was dialled by another daemon; for a pooler, with its session's state.

    Attributes:
        parent: where the pooler takes its updates from; "" for this controller.
        positions_sent_at: when it was last sent replica positions.
        leaving: whether it has said that it is being stopped.
        report: the state that it last sent for the admin API.
        answers_ms: its newest heartbeat received, by its own clock.
    """

    def __init__(self, sock: Any):
        super().__init__(sock)
        self.parent = ""
        self.positions_sent_at = 0.0
        self.leaving = False
        self.stamps = StampQueue()
        self.report: dict[str, Any] | None = None
        self.reported_at = NEVER
        self.answers_ms = 0

    @property
    def node(self) -> str:
        """The name of the far end; "" before its Hello."""
        return self.peer.node if self.peer else ""
