"""Priority databases: offered to every pooler first, in force only once all of them hold the offer.

A pooler that has just left is waited for until its own doubt has surely made it unready.
"""

from typing import TYPE_CHECKING

from sumacloom.consensus.codec import Change
from sumacloom.controller.policy import staged_rollout
from sumacloom.controller.registers import PRIORITY_KEY
from sumacloom.transport.updates import PriorityUpdate

if TYPE_CHECKING:
    from sumacloom.controller.core import ControllerCore

MAX_DATABASES = 64


class PriorityValue(staged_rollout.StagedValue[list[str]]):
    """The register's value: databases by name."""

    def update(self) -> PriorityUpdate:
        """As it goes to the poolers.

        >>> PriorityValue(2, ["a"], [], False).update().order
        4
        """
        return PriorityUpdate(self.order, self.current[1], self.wanted)


def offer(databases: list[str]) -> Change:
    """The change that offers a new set of databases; the same set again changes nothing."""
    return staged_rollout.offer(PriorityValue, sorted(set(databases)), [])


def enforce(version: int) -> Change:
    """The change that puts an offer into force."""
    return staged_rollout.enforce(PriorityValue, version)


class PriorityRollout:
    """Turns an offer into force once every pooler holds it."""

    def __init__(self, core: "ControllerCore", now: float):
        self._core = core
        self.offered_at = now  # when this controller first saw the present stage

    def on_timer(self, now: float) -> None:
        """As holder of the failover lease: puts an offer into force once every pooler holds it."""

        def may_enforce(value: PriorityValue) -> bool:
            stands = now - self.offered_at >= staged_rollout.MIN_OFFER_S
            return stands and not self._core.members.without_priority(value.order, now)

        staged_rollout.advance(self._core, PRIORITY_KEY, PriorityValue, may_enforce, now)
