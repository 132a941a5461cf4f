"""Writes decided promotions, and what became of them, into their register."""

import logging
from typing import TYPE_CHECKING

from sumacloom.consensus.codec import Change
from sumacloom.controller.failover.commands import Promote
from sumacloom.controller.registers import PROMOTIONS_KEY
from sumacloom.controller.registers.promotions import (
    confirm_promotion,
    record_promotion,
    withdraw_promotion,
)
from sumacloom.errors import SumacloomError

if TYPE_CHECKING:
    from sumacloom.controller.process import ControllerProcess

logger = logging.getLogger(__name__)


class PromotionRecorder:
    """The lease holder's hand at the register of promotions."""

    def __init__(self, process: "ControllerProcess") -> None:
        self._process = process

    async def record(self, command: Promote) -> bool:
        """Records what is decided; returns whether it is at a quorum."""
        if command.promotion is None:
            return True
        change = record_promotion(command.service, command.promotion, command.history)
        return await self._commit(change, f"the promotion of {command.backend} is not recorded")

    async def withdraw(self, command: Promote) -> None:
        """Takes back a decision whose call surely had no effect; without a quorum it stays."""
        if command.promotion is not None:
            change = withdraw_promotion(command.service, command.promotion)
            await self._commit(change, f"the record of promoting {command.backend} stays")

    async def confirm(self, service: str, backend: str, led_term: int) -> None:
        """Records which term a promoted backend leads; else it is told by the next promotion."""
        change = confirm_promotion(service, backend, led_term)
        await self._commit(change, f"the term that {backend} leads is not recorded")

    async def _commit(self, change: Change, failure: str) -> bool:
        try:
            await self._process.commit(PROMOTIONS_KEY, change)
        except SumacloomError as error:
            logger.info("%s: %s", failure, error.message)
            return False
        return True
