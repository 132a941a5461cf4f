"""The promotions that were decided, as a register: from which position of which log each service went on."""

from collections.abc import Sequence

import msgspec
from msgspec import structs

from sumacloom.consensus.codec import Change, decode, encode
from sumacloom.errors import StaleVersionError
from sumacloom.types import Position

MAX_KEPT = 8  # promotions of a service


class Promotion(msgspec.Struct, array_like=True, frozen=True):
    """One decided promotion.

    Attributes:
        backend: the name of the backend that is to lead.
        incarnation: which life of it.
        term: the newest term that may have been led before; the promotion leads to a later one.
        position_term: with `position_number`, the position that the backend had received.
        position_number: see `position_term`.
        led_term: the term that the backend led then; 0 while that isn't known.
    """

    backend: str
    incarnation: int
    term: int
    position_term: int
    position_number: int
    led_term: int = 0

    @property
    def position(self) -> Position:
        """From where the new primary goes on."""
        return Position(self.position_term, self.position_number)

    def is_same(self, other: "Promotion") -> bool:
        """Whether this is the same decision, whatever became known of it since."""
        return structs.replace(self, led_term=0) == structs.replace(other, led_term=0)


class PromotionsValue(msgspec.Struct, array_like=True):
    """The register's value: of each service the newest promotions, the oldest first."""

    services: dict[str, list[Promotion]]


def newest_term(history: Sequence[Promotion]) -> int:
    """The newest term that may have been led after these promotions, as far as they tell."""
    return max((max(one.led_term, one.term + 1) for one in history), default=0)


def record_promotion(service: str, promotion: Promotion, expected: Sequence[Promotion]) -> Change:
    """The change that adds a promotion; refused if the history isn't the one that it was decided by.

    >>> promotion = Promotion("i-1", 0, 3, 3, 9)
    >>> decode(PromotionsValue, record_promotion("s", promotion, [])(None)).services["s"] == [promotion]
    True
    """

    def change(current: bytes | None) -> bytes | None:
        value = decode(PromotionsValue, current) or PromotionsValue({})
        known = value.services.get(service, [])
        if known[-1:] == [promotion]:
            return None  # decided before, without a clear answer of the platform
        if known != list(expected):
            raise StaleVersionError("another promotion was decided meanwhile")
        value.services[service] = [*known, promotion][-MAX_KEPT:]
        return encode(value)

    return change


def confirm_promotion(service: str, backend: str, led_term: int) -> Change:
    """The change that tells which term the newest promotion led, if it is that backend's."""

    def change(current: bytes | None) -> bytes | None:
        value = decode(PromotionsValue, current) or PromotionsValue({})
        known = value.services.get(service, [])
        if not known or known[-1].backend != backend or known[-1].led_term:
            return None
        known[-1] = structs.replace(known[-1], led_term=led_term)
        return encode(value)

    return change


def withdraw_promotion(service: str, promotion: Promotion) -> Change:
    """The change that takes back the newest promotion, which surely never took effect."""

    def change(current: bytes | None) -> bytes | None:
        value = decode(PromotionsValue, current) or PromotionsValue({})
        known = value.services.get(service, [])
        if not known or not known[-1].is_same(promotion):
            return None
        value.services[service] = known[:-1]
        return encode(value)

    return change
