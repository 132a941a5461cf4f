"""Staged rollout: a value is offered first, and in force only once nobody can still serve by the one before.

The holder of the failover lease turns an offer into force; when it may is for each policy to say.
"""

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Generic, TypeVar

import msgspec

from sumacloom.consensus.codec import Change, decode, encode
from sumacloom.controller.registers.configuration import body_digest
from sumacloom.controller.registers.order_history import OrderHistory
from sumacloom.errors import OrderForgottenError, StaleVersionError

if TYPE_CHECKING:
    from sumacloom.controller.core import ControllerCore

logger = logging.getLogger(__name__)

Body = TypeVar("Body")
MIN_OFFER_S = 0.2
MAX_ORDERS = 64


class StagedValue(msgspec.Struct, Generic[Body], array_like=True):
    """The value of a register that is rolled out in stages.

    Attributes:
        wanted: the newest body.
        before: what is in force while `wanted` is only offered.
        since: the version of `before`.
        history: the offers that were taken, packed, of those that name what they build on.
    """

    version: int
    wanted: Body
    before: Body
    in_force: bool
    since: int = 0
    history: bytes = b""

    @property
    def order(self) -> int:
        """What makes one stage newer than another: twice the version, and one more once in force.

        >>> StagedValue(2, ["a"], [], False).order
        4
        """
        return self.version * 2 + self.in_force

    @property
    def current(self) -> tuple[int, Body]:
        """What is in force now, and its version.

        >>> StagedValue(2, ["a"], ["b"], False, 1).current, StagedValue(2, ["a"], ["b"], True, 1).current
        ((1, ['b']), (2, ['a']))
        """
        return (self.version, self.wanted) if self.in_force else (self.since, self.before)


def offer(kind: Any, wanted: Any, empty: Any, base: int | None = None) -> Change:
    """The change that offers a body; the same again changes nothing.

    >>> decode(StagedValue[list[str]], offer(StagedValue[list[str]], ["a"], [])(None)).in_force
    False

    Args:
        kind: the type of the register's value.
        wanted: the body.
        empty: the body before the first.
        base: the version that it builds on; None for an order without one.
    """

    def change(current: bytes | None) -> bytes | None:
        value = decode(kind, current) or kind(0, empty, empty, True)
        if base is None:
            if value.wanted == wanted:
                return None
            history = value.history
        else:
            taken, digest = OrderHistory.unpack(value.history), body_digest(encode(wanted))
            if _was_taken(value, wanted, base, taken, digest):
                return None
            if base != value.version:
                raise StaleVersionError(f"the current version is {value.version}, not {base}")
            history = taken.add(base + 1, digest, MAX_ORDERS).pack()
        since, before = value.current
        return encode(kind(value.version + 1, wanted, before, False, since, history))

    return change


def _was_taken(
    value: StagedValue, wanted: Any, base: int, taken: OrderHistory, digest: bytes
) -> bool:
    """Whether an order that names its base was taken before.

    Raises:
        OrderForgottenError: it is too old to tell.
    """
    if taken.contains(base + 1, digest):
        return True
    if base < taken.forgotten:
        raise OrderForgottenError(
            f"it is not known any more whether the version {base + 1} was this one"
        )
    resent = base in (value.version, value.version - 1)
    return bool(value.version) and value.wanted == wanted and resent


def enforce(kind: Any, version: int) -> Change:
    """The change that puts an offer into force; refused if another was offered meanwhile."""

    def change(current: bytes | None) -> bytes | None:
        value = decode(kind, current)
        if value is None or value.version != version:
            raise StaleVersionError("another version was offered meanwhile")
        if value.in_force:
            return None
        empty = type(value.before)()
        return encode(kind(version, value.wanted, empty, True, 0, value.history))

    return change


def advance(
    core: "ControllerCore", key: str, kind: Any, may_enforce: Callable[[Any], bool], now: float
) -> None:
    """As holder of the lease: puts an offer into force once it may be."""
    value = core.committed_value(key, kind)
    if value is None or value.in_force:
        return
    if not core.failover_lease.is_held(now) or not core.in_quorum(now):
        return
    if not core.is_busy(key) and may_enforce(value):
        logger.info("nobody can serve by an older one: %s %d come into force", key, value.version)
        core.propose(key, enforce(kind, value.version), now)
